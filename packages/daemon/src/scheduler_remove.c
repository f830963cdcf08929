#include <string.h>

#include "errors.h"
#include "log.h"
#include "mem.h"
#include "scheduler_internal.h"

static const char *const record_prefixes[] = { SUBMITTED_JOB_PREFIX,
					       SUBMITTED_CANCEL_PREFIX,
					       STATE_PREFIX };

#define RECORD_PREFIX_COUNT                                                    \
	(sizeof(record_prefixes) / sizeof(record_prefixes[0]))

static void on_removed(void *arg, const struct kv_result *result)
{
	struct scheduler *scheduler = *(struct scheduler **)arg;
	size_t i;

	/* Repeating a removal is harmless, so it is retried on any error. */
	if (result->err)
		log_event(EV_STATE_UNSETTLED, "epoch=%lld removals=%zu err=%s",
			  (long long)scheduler->epoch, scheduler->removal_count,
			  error_name(result->err));
	for (i = 0; !result->err && i < scheduler->removal_count; i++)
		dispatch_remove(scheduler->dispatch, scheduler->removals[i]);
	scheduler->removal_count = 0;
}

static void choose_workflows(struct scheduler *scheduler, struct mstime now)
{
	const char *job = NULL;

	while (scheduler->removal_count < REMOVE_WORKFLOWS_MAX &&
	       (job = dispatch_next_removable(scheduler->dispatch, job, now)))
		str_copy(scheduler->removals[scheduler->removal_count++], job,
			 JOB_ID_SIZE);
}

void scheduler_remove_old(struct scheduler *scheduler, struct mstime now)
{
	char keys[REMOVE_WORKFLOWS_MAX * RECORD_PREFIX_COUNT]
		 [JOBSTORE_KEY_SIZE];
	struct kv_txn txn = { .compare_count = 1 };
	size_t i, k;

	if (scheduler->removal_count)
		return;
	choose_workflows(scheduler, now);
	if (!scheduler->removal_count)
		return;
	txn.compares[0].key = ELECTION_KEY;
	txn.compares[0].revision = scheduler->epoch;
	for (i = 0; i < scheduler->removal_count; i++)
		for (k = 0; k < RECORD_PREFIX_COUNT; k++) {
			char *key = keys[txn.removal_count];

			jobstore_key(key, record_prefixes[k],
				     scheduler->removals[i]);
			txn.removals[txn.removal_count++] = key;
		}
	kv_txn(scheduler->kv, &txn, on_removed, &scheduler->self);
}
