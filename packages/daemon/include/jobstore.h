#ifndef CATKINHILL_JOBSTORE_H
#define CATKINHILL_JOBSTORE_H

#include <stddef.h>

#include "workflow.h"

/*
 * NAME
 *	jobstore - keys and records of submitted workflows in the store
 *
 * NOTES
 *	submitted/job/ID	the caller's request body and the settings of
 *				its queue, as the gateway knew them; written
 *				once, before the caller is told that it is
 *				accepted
 *	submitted/cancel/ID	exists once the caller has cancelled it
 *	state/ID		progress, written by the scheduler only; see
 *				workflow_encode()
 *	pending			number of workflows without a started task,
 *				by queue
 *	interference		what the scheduler has learned of images that
 *				slow each other on a worker
 *	full			exists while so many jobs wait that submissions
 *				are refused; written by the scheduler
 *	outlook			room and what waits for it; see outlook.h
 *	handover		leases of runs when the last scheduler resigned;
 *				removed by the next one
 */
#define SUBMITTED_PREFIX "submitted/"
#define SUBMITTED_JOB_PREFIX "submitted/job/"
#define SUBMITTED_CANCEL_PREFIX "submitted/cancel/"
#define STATE_PREFIX "state/"
#define PENDING_KEY "pending"
#define INTERFERENCE_KEY "interference"
#define FULL_KEY "full"
#define OUTLOOK_KEY "outlook"
#define HANDOVER_KEY "handover"
#define JOBSTORE_KEY_SIZE 64

void jobstore_key(char *key, const char *prefix, const char *job);

/* What follows prefix in key; NULL when key has another prefix. */
const char *jobstore_key_suffix(const char *key, const char *prefix);

/* Newly allocated record of submitted/job/ID; NULL: body is not UTF-8. */
char *jobstore_record_encode(const struct queue_config *queue, const char *body,
			     size_t len);

/*
 * RETURN VALUE
 *	the workflow, or NULL; then *reason is a static string.
 */
struct workflow *jobstore_record_decode(const char *job, const char *record,
					size_t len, int64_t submitted_ms,
					const char **reason);

/* Queue of a record of submitted/job/ID. ERR_MALFORMED: it names none. */
int jobstore_record_config(const char *record, size_t len,
			   struct queue_config *queue);

/*
 * Name of the queue of a record of submitted/job/ID, ID_SIZE bytes at most.
 * ERR_MALFORMED when the record does not name one.
 */
int jobstore_record_queue(const char *record, size_t len, char *queue);

/* Pending workflows of a queue; 0 when the record does not name it. */
uint32_t jobstore_pending_count(const char *record, size_t len,
				const char *queue);

#endif
