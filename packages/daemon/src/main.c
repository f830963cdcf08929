#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include <glib.h>

#include "admin.h"
#include "agent.h"
#include "daemon.h"
#include "entry.h"
#include "gateway.h"
#include "log.h"
#include "runner.h"

#define VERSION "0.1.0"

/* Given to a part that misses its own bound before the process ends. */
#define STOP_MARGIN_MS 2000

enum exit_code {
	EXIT_OK = 0,
	EXIT_FAILED = 1,
	EXIT_USAGE = 2
};

struct process {
	struct settings settings;
	struct daemon daemon;
	const char *config_path;
	const struct role_part *part;
	void *instance; /* of the part */
	struct loop_timer *stop_timer;
	int stopping;
};

struct arguments {
	gchar *config_path;
	gboolean check;
	gboolean help_settings;
	gboolean version;
};

/* The part of the process that differs by role. */
struct role_part {
	void *(*create)(struct daemon *daemon);
	void (*destroy)(void *instance);
	void (*stop)(void *instance, stopped_fn fn, void *arg);
};

#define ROLE_PART(name)                                                        \
	static void *name##_create(struct daemon *daemon)                      \
	{                                                                      \
		return name##_new(daemon);                                     \
	}                                                                      \
	static void name##_destroy(void *instance)                             \
	{                                                                      \
		name##_delete(instance);                                       \
	}                                                                      \
	static void name##_end(void *instance, stopped_fn fn, void *arg)       \
	{                                                                      \
		name##_stop(instance, fn, arg);                                \
	}

ROLE_PART(entry)
ROLE_PART(agent)
ROLE_PART(gateway)
ROLE_PART(runner)

static const struct role_part role_parts[ROLE_COUNT] = {
	[ROLE_ENTRY] = { entry_create, entry_destroy, entry_end },
	[ROLE_AGENT] = { agent_create, agent_destroy, agent_end },
	[ROLE_GATEWAY] = { gateway_create, gateway_destroy, gateway_end },
	[ROLE_RUNNER] = { runner_create, runner_destroy, runner_end },
};

static void on_stopped(void *arg)
{
	struct process *process = arg;

	loop_break(process->daemon.loop);
}

static void on_stop_overdue(void *arg)
{
	log_event(EV_STOP_OVERDUE, "margin_ms=%d", STOP_MARGIN_MS);
	on_stopped(arg);
}

/* The first signal stops gracefully, the second one ends the process. */
static void on_terminate(void *arg)
{
	struct process *process = arg;

	if (process->stopping) {
		log_event(EV_DAEMON_STOPPED, "reason=second-signal");
		_exit(EXIT_FAILED);
	}
	process->stopping = 1;
	log_event(EV_DAEMON_STOPPING, "bound_ms=%lld",
		  (long long)process->settings.stop_ms);
	admin_set_ready(process->daemon.admin, 0, "stopping");
	loop_timer_start(process->stop_timer,
			 process->settings.stop_ms + STOP_MARGIN_MS);
	process->part->stop(process->instance, on_stopped, process);
}

/* Only the log level can change while the process runs. */
static void on_reload(void *arg)
{
	struct process *process = arg;
	struct settings settings;
	char message[512];

	if (settings_load(&settings, process->config_path, message,
			  sizeof(message))) {
		log_event(EV_SETTINGS_INVALID, "message=\"%s\"", message);
		return;
	}
	process->settings.log_level = settings.log_level;
	log_init(stdout, settings.log_level, process->settings.id);
	log_event(EV_SETTINGS_RELOADED, "log_level=%s",
		  log_level_name(settings.log_level));
}

static int uses_etcd(const struct settings *settings)
{
	return settings->role == ROLE_ENTRY || settings->role == ROLE_AGENT;
}

static void daemon_init(struct daemon *daemon, const struct settings *settings)
{
	daemon->loop = loop_new();
	daemon->settings = settings;
	metric_set_init(&daemon->counters);
	daemon->incarnation = daemon_new_incarnation();
	config_init(&daemon->config);
	if (settings->store_address[0] && uses_etcd(settings))
		daemon->store = store_new(daemon->loop, settings->store_address,
					  settings->store_timeout_ms);
}

static void daemon_clear(struct daemon *daemon)
{
	admin_delete(daemon->admin);
	if (daemon->store)
		store_delete(daemon->store);
	loop_delete(daemon->loop);
}

static int serve(struct process *process)
{
	const struct settings *settings = &process->settings;
	struct daemon *daemon = &process->daemon;

	if (loop_on_signal(daemon->loop, SIGTERM, on_terminate, process) ||
	    loop_on_signal(daemon->loop, SIGINT, on_terminate, process) ||
	    loop_on_signal(daemon->loop, SIGHUP, on_reload, process))
		return EXIT_FAILED;
	daemon->admin = admin_new(daemon);
	if (!daemon->admin) {
		log_event(EV_LISTEN_FAILED, "key=listen.admin address=%s",
			  settings->admin);
		return EXIT_FAILED;
	}
	process->instance = process->part->create(daemon);
	if (!process->instance)
		return EXIT_FAILED;
	log_event(EV_DAEMON_START,
		  "role=%s region=%s domain=%s incarnation=%016llx admin=%s",
		  role_name(settings->role), settings->region, settings->domain,
		  (unsigned long long)daemon->incarnation, settings->admin);
	loop_run(daemon->loop);
	log_event(EV_DAEMON_STOPPED, "reason=stopped");
	return EXIT_OK;
}

static int run(const char *path)
{
	struct process *process = g_new0(struct process, 1);
	char message[512];
	int code;

	if (settings_load(&process->settings, path, message, sizeof(message))) {
		log_event(EV_SETTINGS_INVALID, "message=\"%s\"", message);
		g_free(process);
		return EXIT_USAGE;
	}
	log_init(stdout, process->settings.log_level, process->settings.id);
	process->config_path = path;
	process->part = &role_parts[process->settings.role];
	signal(SIGPIPE, SIG_IGN);
	daemon_init(&process->daemon, &process->settings);
	process->stop_timer =
		loop_timer_new(process->daemon.loop, on_stop_overdue, process);
	code = serve(process);
	metric_set_clear(&process->daemon.counters);
	if (process->instance)
		process->part->destroy(process->instance);
	loop_timer_delete(process->stop_timer);
	daemon_clear(&process->daemon);
	g_free(process);
	return code;
}

static int check(const char *path)
{
	struct settings settings;
	char message[512];

	if (settings_load(&settings, path, message, sizeof(message))) {
		fprintf(stderr, "%s\n", message);
		return EXIT_USAGE;
	}
	printf("%s: ok\n", path);
	return EXIT_OK;
}

static int describe(void)
{
	char *text = settings_describe();

	fputs(text, stdout);
	free(text);
	return EXIT_OK;
}

static int parse_arguments(int argc, char **argv, struct arguments *args)
{
	const GOptionEntry options[] = {
		{ "config", 'c', 0, G_OPTION_ARG_FILENAME, &args->config_path,
		  "Settings file", "FILE" },
		{ "check", 0, 0, G_OPTION_ARG_NONE, &args->check,
		  "Check the settings file and end", NULL },
		{ "help-settings", 0, 0, G_OPTION_ARG_NONE,
		  &args->help_settings, "Describe all settings and end", NULL },
		{ "version", 0, 0, G_OPTION_ARG_NONE, &args->version,
		  "Print the version and end", NULL },
		{ NULL }
	};
	GOptionContext *context = g_option_context_new(
		"- daemon of catkinhill, in the role of its settings");
	GError *error = NULL;
	int ok;

	g_option_context_add_main_entries(context, options, NULL);
	ok = g_option_context_parse(context, &argc, &argv, &error) && argc == 1;
	g_option_context_free(context);
	if (ok)
		return 0;
	fprintf(stderr, "catkinhilld: %s; see --help\n",
		error ? error->message : "unexpected argument");
	g_clear_error(&error);
	return -1;
}

int main(int argc, char **argv)
{
	struct arguments args = { 0 };
	int code;

	if (parse_arguments(argc, argv, &args)) {
		code = EXIT_USAGE;
	} else if (args.version) {
		printf("catkinhilld %s\n", VERSION);
		code = EXIT_OK;
	} else if (args.help_settings) {
		code = describe();
	} else if (!args.config_path) {
		fprintf(stderr, "catkinhilld: --config FILE is missing; see "
				"--help\n");
		code = EXIT_USAGE;
	} else if (args.check) {
		code = check(args.config_path);
	} else {
		code = run(args.config_path);
	}
	g_free(args.config_path);
	return code;
}
