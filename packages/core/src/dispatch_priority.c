#include "dispatch.h"
#include "dispatch_internal.h"

/*
 * Among those that are late, or overdue, the shortest goes first, but for how
 * much earlier others were due: a workflow is passed only by those due within
 * this multiple of what is left of it, so that the longest end, too.
 */
#define REMAINING_FACTOR (OUTLOOK_WORTH_FACTOR - 1)

int64_t dispatch_objective_ms(const struct workflow *workflow)
{
	double stretch = workflow->queue.stretch;

	if (stretch < 1)
		stretch = 1;
	return (int64_t)(stretch * (double)workflow->critical_path_ms) +
	       workflow->queue.extra_ms;
}

static enum urgency get_urgency(const struct workflow *workflow,
				int64_t objective_ms, struct mstime now)
{
	int64_t age_ms = mstime_diff(now, workflow->submitted_at);
	int64_t end_ms = age_ms + workflow->remaining_ms;

	if (end_ms <= objective_ms)
		return URGENCY_ON_TIME;
	if (end_ms <= objective_ms * OUTLOOK_WORTH_FACTOR)
		return URGENCY_LATE;
	return URGENCY_OVERDUE;
}

static int is_over_share(const struct workflow *workflow, struct mstime now)
{
	if (!workflow->share)
		return 0;
	if (workflow->block != PLACEMENT_POSSIBLE)
		queue_share_note_waiting(workflow->share,
					 workflow->queue.priority, now);
	return queue_share_is_over(workflow->share, now);
}

void dispatch_count_share(const struct run *run, struct mstime now)
{
	const struct workflow *workflow = run->workflow;
	const struct workflow_step *step = &workflow->spec.steps[run->id.step];

	if (!workflow->share || step->long_running)
		return;
	queue_share_add(
		workflow->share,
		(double)step->need.cpu_milli * (double)step->estimate_ms, now);
}

void dispatch_update_urgency(struct workflow *workflow, struct mstime now)
{
	int64_t objective_ms = dispatch_objective_ms(workflow);
	int64_t due_ms = workflow->submitted_at.ms + objective_ms;

	/* Recurring and long-running workflows have no deadline. */
	if (workflow->spec.occurrences > 1 ||
	    workflow->spec.steps[0].long_running) {
		workflow->urgency = workflow->spec.steps[0].long_running
					    ? URGENCY_LASTING
					    : URGENCY_ON_TIME;
		workflow->sort_key_ms = workflow->submitted_at.ms;
		return;
	}
	workflow->over_share = (unsigned)is_over_share(workflow, now);
	workflow->remaining_ms = workflow_remaining_ms(workflow);
	workflow->urgency = get_urgency(workflow, objective_ms, now);
	workflow->sort_key_ms =
		due_ms +
		workflow->remaining_ms * (workflow->urgency == URGENCY_ON_TIME
						  ? 1
						  : REMAINING_FACTOR);
}

/* What is of worth and what is not, before the shares of queues. */
static int worth_class(const struct workflow *workflow)
{
	if (workflow->urgency == URGENCY_LASTING)
		return 0;
	return workflow->urgency == URGENCY_OVERDUE ? 2 : 1;
}

int dispatch_goes_before(const struct workflow *a, const struct workflow *b)
{
	if (a->queue.priority != b->queue.priority)
		return a->queue.priority < b->queue.priority;
	if (worth_class(a) != worth_class(b))
		return worth_class(a) < worth_class(b);
	if (a->over_share != b->over_share)
		return a->over_share < b->over_share;
	if (a->urgency != b->urgency)
		return a->urgency < b->urgency;
	return a->sort_key_ms < b->sort_key_ms;
}
