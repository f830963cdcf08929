#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "log.h"
#include "scheduler_internal.h"
#include "sysclock.h"

#define PUBLISH_INTERVAL_MS 1000

void scheduler_outlook_note_end(struct scheduler *scheduler,
				const struct dispatch_event *event)
{
	const struct workflow_step *step;

	if (!event->workflow || strcmp(event->reason, "done") != 0 ||
	    event->task->step >= event->workflow->spec.step_count)
		return;
	step = &event->workflow->spec.steps[event->task->step];
	if (step->long_running)
		return;
	outlook_meter_add(
		&scheduler->outlook.meter, event->workflow->queue.service,
		step->need.cpu_milli * step->estimate_ms, sysclock_now());
}

static void on_outlook_written(void *arg, const struct kv_result *result)
{
	struct scheduler *scheduler = *(struct scheduler **)arg;
	struct scheduler_outlook *outlook = &scheduler->outlook;

	outlook->in_flight = 0;
	if (result->err)
		return;
	if (outlook->is_short_stored != outlook->is_short_sent)
		log_event(EV_OUTLOOK_PUBLISHED, "epoch=%lld short=%d",
			  (long long)scheduler->epoch, outlook->is_short_sent);
	outlook->is_short_stored = outlook->is_short_sent;
}

static void publish(struct scheduler *scheduler, const char *text)
{
	struct kv_txn txn = { .compare_count = 1, .put_count = 1 };

	txn.compares[0].key = ELECTION_KEY;
	txn.compares[0].revision = scheduler->epoch;
	txn.puts[0].key = OUTLOOK_KEY;
	txn.puts[0].value = text;
	txn.puts[0].len = strlen(text);
	scheduler->outlook.in_flight = 1;
	kv_txn(scheduler->kv, &txn, on_outlook_written, &scheduler->self);
}

/*
 * While something waits for room the same text is written again: its revision
 * tells gateways that it is fresh.
 */
void scheduler_publish_outlook(struct scheduler *scheduler, struct mstime now)
{
	struct scheduler_outlook *state = &scheduler->outlook;
	struct outlook outlook;
	char *text;
	size_t i;

	if (!scheduler->daemon->settings->outlook_age_ms || state->in_flight ||
	    mstime_diff(now, state->sent_at) < PUBLISH_INTERVAL_MS)
		return;
	state->sent_at = now;
	dispatch_get_outlook(scheduler->dispatch, &outlook, now);
	state->is_short_sent = outlook_is_short(&outlook);
	if (!state->is_short_sent && !state->is_short_stored)
		return;
	for (i = 0; i < outlook.count; i++)
		outlook.services[i].rate_milli = outlook_meter_rate(
			&state->meter, outlook.services[i].name, now);
	text = outlook_encode(&outlook);
	publish(scheduler, text);
	free(text);
}

void scheduler_outlook_stop(struct scheduler *scheduler)
{
	memset(&scheduler->outlook, 0, sizeof(scheduler->outlook));
}
