#include <stdio.h>
#include <stdlib.h>

#include "errors.h"
#include "history.h"

/*
 * Reads a history from standard input and checks it. Exit status: 0 if all
 * rules hold, 1 if one is violated, 2 if it cannot be read or is empty.
 */
static void print_violation(void *arg, enum history_rule rule, const char *text)
{
	printf("violation of %s: %s\n", history_rule_name(rule), text);
}

static int read_records(struct history *history)
{
	char *line = NULL;
	size_t size = 0, number = 0;
	ssize_t len;
	int err = 0;

	while (!err && (len = getline(&line, &size, stdin)) > 0) {
		number++;
		err = history_add(history, line, (size_t)len);
		if (err)
			fprintf(stderr, "line %zu: %s\n", number,
				error_text(err));
	}
	free(line);
	return err;
}

int main(void)
{
	struct history *history = history_new();
	size_t violations;

	if (read_records(history) || !history_length(history)) {
		fputs("check_history: no valid history\n", stderr);
		history_delete(history);
		return 2;
	}
	violations = history_check(history, print_violation, NULL);
	printf("%zu records, %zu violations\n", history_length(history),
	       violations);
	history_delete(history);
	return violations ? 1 : 0;
}
