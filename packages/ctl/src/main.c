#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "commands.h"

#define VERSION "0.1.0"
#define DEFAULT_ENTRY "127.0.0.1:9900"

struct arguments {
	struct invocation invocation;
	gboolean help;
	gboolean version;
};

static const char options_help[] =
	"OPTIONS\n"
	"  --entry IP:PORT    admin address of an entry; may be given several\n"
	"                     times, the next one is tried when one cannot be\n"
	"                     reached; default: the environment's\n"
	"                     CATKINHILL_ENTRY, else " DEFAULT_ENTRY "\n"
	"  --json             print the answer as JSON\n"
	"  --out FILE         store the plan\n"
	"  --against FILE     check: the configuration in force\n"
	"  --store IP:PORT    check: the platform's store, which holds the\n"
	"                     routes in force\n"
	"  --count N          watch: end after N polls; 0: never\n"
	"  --interval-ms N    watch: time between polls, default 1000\n"
	"  --help, --version\n\n"
	"EXIT CODES\n"
	"  0 ok   1 failed, or the outcome is unknown   2 usage or a bad\n"
	"  intent   3 refused by the system, such as a stale plan   4 the\n"
	"  entry or its store cannot be reached\n"
	"  check: 0 no finding   1 findings   2 could not check\n";

static int print_help(void)
{
	const struct command *command;

	puts("NAME\n  catkinhillctl - plan, confirm and look at the system\n\n"
	     "SYNOPSIS\n  catkinhillctl COMMAND [ARGUMENT...] [OPTION...]\n\n"
	     "COMMANDS");
	for (command = command_table(); command->name; command++)
		printf("  %-12s %-28s %s\n", command->name, command->synopsis,
		       command->summary);
	putchar('\n');
	fputs(options_help, stdout);
	return EXIT_OK;
}

static int print_command_help(const struct command *command)
{
	printf("NAME\n  catkinhillctl %s - %s\n\n"
	       "SYNOPSIS\n  catkinhillctl %s %s [OPTION...]\n\n"
	       "DESCRIPTION\n%s\n",
	       command->name, command->summary, command->name,
	       command->synopsis, command->description);
	fputs(options_help, stdout);
	return EXIT_OK;
}

static int report_usage_error(const char *message, const char *detail)
{
	fprintf(stderr, "catkinhillctl: %s%s; see catkinhillctl --help\n",
		message, detail);
	return EXIT_USAGE;
}

static int run_command(struct arguments *args, char **positional, int count)
{
	struct invocation *invocation = &args->invocation;
	const struct command *command;

	if (!count)
		return args->help
			       ? print_help()
			       : report_usage_error("a command is missing", "");
	command = command_find(positional[0]);
	if (!command)
		return report_usage_error("unknown command ", positional[0]);
	if (args->help)
		return print_command_help(command);
	if (count - 1 < command->min_args || count - 1 > command->max_args) {
		fprintf(stderr, "catkinhillctl: usage: catkinhillctl %s %s\n",
			command->name, command->synopsis);
		return EXIT_USAGE;
	}
	if (invocation->count < 0 || invocation->interval_ms < 1)
		return report_usage_error(
			"--count and --interval-ms must be positive", "");
	invocation->args = positional + 1;
	invocation->arg_count = count - 1;
	return command->run(command, invocation);
}

static int parse_options(int *argc, char ***argv, struct arguments *args)
{
	struct invocation *invocation = &args->invocation;
	const GOptionEntry options[] = {
		{ "entry", 'e', 0, G_OPTION_ARG_STRING_ARRAY,
		  &invocation->entries, NULL, NULL },
		{ "json", 'j', 0, G_OPTION_ARG_NONE, &invocation->json, NULL,
		  NULL },
		{ "against", 0, 0, G_OPTION_ARG_FILENAME, &invocation->against,
		  NULL, NULL },
		{ "store", 0, 0, G_OPTION_ARG_STRING, &invocation->store, NULL,
		  NULL },
		{ "out", 'o', 0, G_OPTION_ARG_FILENAME, &invocation->out, NULL,
		  NULL },
		{ "count", 0, 0, G_OPTION_ARG_INT, &invocation->count, NULL,
		  NULL },
		{ "interval-ms", 0, 0, G_OPTION_ARG_INT,
		  &invocation->interval_ms, NULL, NULL },
		{ "help", 'h', 0, G_OPTION_ARG_NONE, &args->help, NULL, NULL },
		{ "version", 0, 0, G_OPTION_ARG_NONE, &args->version, NULL,
		  NULL },
		{ NULL }
	};
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;
	gboolean ok;

	g_option_context_set_help_enabled(context, FALSE);
	g_option_context_add_main_entries(context, options, NULL);
	ok = g_option_context_parse(context, argc, argv, &error);
	g_option_context_free(context);
	if (ok)
		return EXIT_OK;
	report_usage_error(error->message, "");
	g_error_free(error);
	return EXIT_USAGE;
}

static void set_default_entry(struct invocation *invocation)
{
	const char *entry = g_getenv("CATKINHILL_ENTRY");

	if (invocation->entries)
		return;
	invocation->entries = g_new0(char *, 2);
	invocation->entries[0] = g_strdup(entry ? entry : DEFAULT_ENTRY);
}

int main(int argc, char **argv)
{
	struct arguments args = { .invocation = { .interval_ms = 1000 } };
	int code = parse_options(&argc, &argv, &args);

	if (!code && args.version) {
		printf("catkinhillctl %s\n", VERSION);
	} else if (!code) {
		set_default_entry(&args.invocation);
		code = run_command(&args, argv + 1, argc - 1);
	}
	g_strfreev(args.invocation.entries);
	g_free(args.invocation.out);
	g_free(args.invocation.against);
	g_free(args.invocation.store);
	return code;
}
