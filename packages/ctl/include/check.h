#ifndef CATKINHILL_CHECK_H
#define CATKINHILL_CHECK_H

#include "commands.h"

/* The command "check": 0 without findings, 1 with some, 2 if not checked. */
int run_check(const struct command *command,
	      const struct invocation *invocation);

#endif
