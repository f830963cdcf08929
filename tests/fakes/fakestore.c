#include <signal.h>
#include <stdio.h>

#include <glib.h>

#include "loop.h"
#include "fakestore/storeserver.h"

static gchar *listen_address, *control_address;

static const GOptionEntry options[] = {
	{ "listen", 0, 0, G_OPTION_ARG_STRING, &listen_address,
	  "address of the store's interface", "IP:PORT" },
	{ "control", 0, 0, G_OPTION_ARG_STRING, &control_address,
	  "address of /control, if another; reachable in mode \"refuse\"",
	  "IP:PORT" },
	{ NULL },
};

static int parse_options(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;
	int ok;

	g_option_context_add_main_entries(context, options, NULL);
	ok = g_option_context_parse(context, &argc, &argv, &error);
	g_option_context_free(context);
	if (ok && listen_address)
		return 0;
	fprintf(stderr, "fakestore: %s\n",
		error ? error->message : "--listen is required");
	g_clear_error(&error);
	return -1;
}

static void on_stop(void *arg)
{
	loop_break(arg);
}

int main(int argc, char **argv)
{
	struct storeserver *server;
	struct loop *loop;

	if (parse_options(argc, argv))
		return 2;
	loop = loop_new();
	server = storeserver_new(loop, listen_address, control_address);
	if (!server) {
		fprintf(stderr, "fakestore: cannot listen on %s\n",
			listen_address);
		loop_delete(loop);
		return 1;
	}
	loop_on_signal(loop, SIGTERM, on_stop, loop);
	loop_on_signal(loop, SIGINT, on_stop, loop);
	puts("ready");
	fflush(stdout);
	loop_run(loop);
	storeserver_delete(server);
	loop_delete(loop);
	g_free(listen_address);
	g_free(control_address);
	return 0;
}
