#ifndef CATKINHILL_RECORD_H
#define CATKINHILL_RECORD_H

#include <stddef.h>
#include <stdint.h>

#define RECORD_TEXT_SIZE 96
#define RECORD_RESOURCE_COUNT 5

enum record_kind {
	RECORD_INVOKE,
	RECORD_RESPONSE,
	RECORD_EXECUTE,
	RECORD_TASK_START,
	RECORD_TASK_STOP,
	RECORD_TASK_EFFECT,
	RECORD_JOB_END,
	RECORD_USAGE,
	RECORD_LEAVING,
	RECORD_CONFIG_ACCEPTED,
	RECORD_CONFIG_SEEN,
	RECORD_PROCESS_START,
	RECORD_PROCESS_END,
	RECORD_FAULT,
	RECORD_KIND_COUNT
};

/*
 * NAME
 *	record - one parsed record of a history; see history.h
 */
struct record {
	enum record_kind kind;
	size_t arrival_index; /* order of arrival, breaks ties of time */
	int64_t time_ms;
	char id[RECORD_TEXT_SIZE];
	char key[RECORD_TEXT_SIZE];
	char process_id[RECORD_TEXT_SIZE];
	char outcome[RECORD_TEXT_SIZE];
	char digest[RECORD_TEXT_SIZE];
	int64_t status;
	int64_t is_complete;
	int64_t run;
	int64_t step;
	int64_t version;
	int64_t used[RECORD_RESOURCE_COUNT];
	int64_t limit[RECORD_RESOURCE_COUNT];
};

/* RETURN VALUE: 0, ERR_MALFORMED or ERR_INVALID; see history_add(). */
int record_parse(struct record *record, const char *json, size_t len);

extern const char *const record_resource_names[RECORD_RESOURCE_COUNT];

#endif
