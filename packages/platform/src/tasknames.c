#include "tasknames.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "errors.h"
#include "mem.h"

#define JOB_ID_DIGITS 16

void task_name_format(const struct task_id *task, char *buf, size_t size)
{
	snprintf(buf, size, "%s.%" PRIu32 ".%" PRIu32 ".%" PRIu32, task->job,
		 task->occurrence, task->step, task->index);
}

int job_id_valid(const char *text)
{
	return strlen(text) == JOB_ID_DIGITS &&
	       strspn(text, "0123456789abcdefABCDEF") == JOB_ID_DIGITS;
}

int task_name_parse(const char *text, struct task_id *task)
{
	char job[JOB_ID_DIGITS + 1];
	int used = 0;

	if (sscanf(text,
		   "%16[0-9a-fA-F].%9" SCNu32 ".%9" SCNu32 ".%9" SCNu32 "%n",
		   job, &task->occurrence, &task->step, &task->index,
		   &used) != 4 ||
	    text[used] || !job_id_valid(job))
		return ERR_MALFORMED;
	return str_copy(task->job, job, sizeof(task->job));
}
