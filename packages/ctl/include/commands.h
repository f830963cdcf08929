#ifndef CATKINHILL_COMMANDS_H
#define CATKINHILL_COMMANDS_H

#include <glib.h>

/*
 * NAME
 *	commands - the subcommands of catkinhillctl, one table
 */
enum exit_code {
	EXIT_OK = 0,
	EXIT_FAILED = 1,
	EXIT_USAGE = 2,
	EXIT_REFUSED = 3,
	EXIT_UNREACHABLE = 4
};

struct invocation {
	char **entries;	  /* addresses, ends with NULL */
	gboolean json;	  /* print answers as JSON */
	char *out;	  /* file for a plan, or NULL */
	gint count;	  /* polls of watch; 0: until it is ended */
	gint interval_ms; /* between polls of watch */
	char **args;	  /* after the name of the command */
	int arg_count;
};

struct command {
	const char *name;
	const char *synopsis; /* arguments */
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
