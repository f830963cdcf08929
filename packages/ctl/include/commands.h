#ifndef CATKINHILL_COMMANDS_H
#define CATKINHILL_COMMANDS_H

#include <glib.h>

/*
 * NAME
 *	commands - table of the subcommands of catkinhillctl
 */
enum exit_code {
	EXIT_OK = 0,
	EXIT_FAILED = 1,
	EXIT_USAGE = 2,
	EXIT_REFUSED = 3,
	EXIT_UNREACHABLE = 4
};

struct invocation {
	char **entries;	  /* admin addresses; ends with NULL */
	gboolean json;	  /* print responses as JSON */
	char *out;	  /* file to write the plan to, or NULL */
	char *against;	  /* file with the configuration in force, or NULL */
	gint count;	  /* polls of watch; 0: no limit */
	gint interval_ms; /* between polls of watch */
	char *store;	  /* address of the platform's store, or NULL */
	char **args;	  /* arguments after the command's name */
	int arg_count;
};

struct command {
	const char *name;
	const char *synopsis; /* its arguments, for usage texts */
	int min_args, max_args;
	int (*run)(const struct command *command,
		   const struct invocation *invocation);
	const char *summary;
	const char *description;
};

/* RETURN VALUE: the table's row, or NULL. */
const struct command *command_find(const char *name);

/* The table; ends with a row whose name is NULL. */
const struct command *command_table(void);

#endif
