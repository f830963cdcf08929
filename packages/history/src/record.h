#ifndef CATKINHILL_RECORD_H
#define CATKINHILL_RECORD_H

#include <stddef.h>
#include <stdint.h>

#define RECORD_TEXT 96
#define RECORD_RESOURCES 5

enum record_kind {
	RECORD_INVOKE,
	RECORD_ANSWER,
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
	RECORD_KINDS
};

/*
 * NAME
 *	record - one parsed record of a history; see history.h
 */
struct record {
	enum record_kind kind;
	size_t position; /* index in order of history_add() */
	int64_t t;	 /* ms; equal times are ordered by position */
	char id[RECORD_TEXT];
	char key[RECORD_TEXT];
	char who[RECORD_TEXT];
	char outcome[RECORD_TEXT];
	char digest[RECORD_TEXT];
	int64_t status;
	int64_t complete;
	int64_t run;
	int64_t step;
	int64_t version;
	int64_t used[RECORD_RESOURCES];
	int64_t limit[RECORD_RESOURCES];
};

/* RETURN VALUE: 0, ERR_MALFORMED or ERR_INVALID; see history_add(). */
int record_parse(struct record *record, const char *json, size_t len);

extern const char *const record_resource_names[RECORD_RESOURCES];

#endif
