#include "fakeworker/fakeworker.h"

#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "mem.h"

/* Effects of a job so far; the file has one line for each. */
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

/* One write() is one effect: a process that is killed leaves all or none. */
static void append(int fd, json_t *record)
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
	char *path = xstrfmt("%s/%s", worker->effects, job);
	int fd = open(path, O_RDWR | O_CREAT | O_APPEND, 0600);
	int is_new;

	if (fd < 0)
		abort();
	is_new = step >= count_lines(fd);
	if (is_new)
		append(fd, record);
	close(fd);
	free(path);
	return is_new;
}
