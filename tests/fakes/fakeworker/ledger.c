#include "fakeworker/fakeworker.h"

#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "mem.h"

/* A job's file has one line for each effect so far. */
static int64_t count_lines(int fd)
{
	char buffer[65536];
	int64_t lines = 0;
	ssize_t i, len;

	while ((len = read(fd, buffer, sizeof(buffer))) > 0)
		for (i = 0; i < len; i++)
			lines += buffer[i] == '\n';
	return lines;
}

/* One write() per effect: a killed process leaves a whole line or none. */
static void append_record(int fd, json_t *record)
{
	char *text = json_dumps(record, JSON_COMPACT);
	char *line = xstrfmt("%s\n", text);

	if (write(fd, line, strlen(line)) != (ssize_t)strlen(line))
		abort();
	free(line);
	free(text);
}

int ledger_apply(struct worker *worker, const char *job, int64_t step,
		 json_t *record)
{
	char *path = xstrfmt("%s/%s", worker->ledger_dir, job);
	int fd = open(path, O_RDWR | O_CREAT | O_APPEND, 0600);
	int is_new;

	if (fd < 0)
		abort();
	is_new = step >= count_lines(fd);
	if (is_new)
		append_record(fd, record);
	close(fd);
	free(path);
	return is_new;
}
