#ifndef CATKINHILL_JOBSTORE_H
#define CATKINHILL_JOBSTORE_H

#include <stddef.h>

#include "workflow.h"

/*
 * NAME
 *	jobstore - keys and records of submitted workflows in the store
 *
 * NOTES
 *	submitted/job/ID	what the caller sent, with its queue; written
 *				once by a gateway, before the caller is told
 *				that the workflow is accepted
 *	submitted/cancel/ID	the caller has cancelled it
 *	state/ID		progress, written by the scheduler only; see
 *				workflow_encode()
 *	pending			workflows without a started task, by queue
 */
#define SUBMITTED_PREFIX "submitted/"
#define SUBMITTED_JOB_PREFIX "submitted/job/"
#define SUBMITTED_CANCEL_PREFIX "submitted/cancel/"
#define STATE_PREFIX "state/"
#define PENDING_KEY "pending"
#define JOBSTORE_KEY_SIZE 64

void jobstore_key(char *key, const char *prefix, const char *job);

/* Identifier in a key with this prefix; NULL when it has another prefix. */
const char *jobstore_key_suffix(const char *key, const char *prefix);

/* The record of submitted/job/ID, newly allocated. */
char *jobstore_record_encode(const struct queue_config *queue, const char *body,
			     size_t len);

/*
 * RETURN VALUE
 *	the workflow, or NULL; then *reason is a text of static storage.
 */
struct workflow *jobstore_record_decode(const char *job, const char *record,
					size_t len, int64_t submitted_ms,
					const char **reason);

/* Count of a queue in the record of pending workflows; 0 when not named. */
uint32_t jobstore_pending_count(const char *record, size_t len,
				const char *queue);

#endif
