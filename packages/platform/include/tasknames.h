#ifndef CATKINHILL_TASKNAMES_H
#define CATKINHILL_TASKNAMES_H

#include <stddef.h>

#include "message.h"

/*
 * NAME
 *	tasknames - text form of task identifiers: job.occurrence.step.index
 */
#define TASK_NAME_SIZE 80

void task_name_format(const struct task_id *task, char *buf, size_t size);

/* ERR_MALFORMED when the text is not a task name. */
int task_name_parse(const char *text, struct task_id *task);

/* RETURN VALUE: 1 for an identifier of a job: 16 hexadecimal digits. */
int job_id_valid(const char *text);

#endif
