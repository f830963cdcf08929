#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "log.h"
#include "mem.h"
#include "runner_internal.h"
#include "sysclock.h"

/* Between the clocks of a worker and of this VM, which may be stepped. */
#define CLOCK_DIFFERENCE_MAX_MS (24 * 3600 * 1000)
/* Announcements that wait for the worker; the oldest makes room. */
#define CANDIDATES_MAX 8
/* A worker may announce itself shortly before it accepts calls. */
#define CONFIRM_RETRY_MS 100
#define CONFIRM_ATTEMPTS 10

/* An announcement of a worker that is not bound. */
struct candidate {
	struct list node; /* of runner->candidates */
	struct runner *runner;
	struct worker_target target;
	struct announcement announcement;
	struct loop_timer *retry_timer;
	int attempts;
};

static void log_dropped(const char *id, const struct announcement *announcement,
			const char *reason)
{
	log_event(EV_ANNOUNCEMENT_DROPPED,
		  "worker=%s born=%llu sequence=%llu service=%s reason=%s", id,
		  (unsigned long long)announcement->worker_start_ms,
		  (unsigned long long)announcement->sequence,
		  announcement->service, reason);
}

static void bind_worker(struct runner *runner, const char *id,
			const struct announcement *announcement)
{
	log_event(EV_WORKER_BOUND,
		  "worker=%s born=%llu service=%s cpu=%u "
		  "mem_mb=%u former=%s",
		  id, (unsigned long long)announcement->worker_start_ms,
		  announcement->service, announcement->capacity.cpu_milli,
		  announcement->capacity.mem_mb, runner->target.id);
	workercall_cancel(runner->calls, &runner->hold_call_arg);
	runner->hold_in_flight = 0;
	runner_clear_lists(runner);
	str_copy(runner->target.id, id, sizeof(runner->target.id));
	runner->target.fence = 0;
	runner->is_bound = 1;
	runner->lease_end = mstime_from(0);
	runner->worker_clock_at = mstime_from(0);
	runner->answered_start_ms = 0;
	runner->connections_lost = 0;
	runner->listed_at = sysclock_now();
	/* Reports without a worker are not answered. */
	runner->heard_at = runner->listed_at;
	runner->pace_percent = 100;
}

static int is_bound_worker(const struct runner *runner, const char *id,
			   const struct announcement *announcement)
{
	return runner->is_bound && !strcmp(runner->target.id, id) &&
	       runner->worker.worker_start_ms == announcement->worker_start_ms;
}

/*
 * Why an announcement in the name of the bound worker is not used, or NULL. A
 * worker keeps its service as long as it runs.
 */
static const char *reject_reason(const struct runner *runner,
				 const struct announcement *announcement)
{
	if (strcmp(announcement->service, runner->worker.service) != 0)
		return "service";
	if (announcement->sequence < runner->worker.sequence)
		return "outdated";
	return NULL;
}

static void update_worker(struct runner *runner, const char *id,
			  const struct announcement *announcement)
{
	int changed = announcement->state != runner->worker.state;

	if (changed)
		log_event(EV_WORKER_STATE,
			  "worker=%s state=%d remaining_ms=%lld", id,
			  (int)announcement->state,
			  (long long)announcement->remaining_ms);
	runner->worker = *announcement;
	if (changed)
		runner_report_now(runner);
}

static void candidate_delete(struct candidate *candidate)
{
	workercall_cancel(candidate->runner->calls, candidate);
	loop_timer_delete(candidate->retry_timer);
	list_del(&candidate->node);
	free(candidate);
}

void runner_candidates_clear(struct runner *runner)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &runner->candidates)
		candidate_delete(list_entry(pos, struct candidate, node));
}

static void accept_candidate(struct candidate *candidate)
{
	struct runner *runner = candidate->runner;
	struct announcement announcement = candidate->announcement;
	char id[ID_SIZE];

	str_copy(id, candidate->target.id, sizeof(id));
	candidate_delete(candidate);
	runner->has_left = 0;
	if (is_bound_worker(runner, id, &announcement)) {
		update_worker(runner, id, &announcement);
		return;
	}
	bind_worker(runner, id, &announcement);
	runner->worker = announcement;
	runner_report_now(runner);
}

static void drop_candidate(struct candidate *candidate, const char *reason)
{
	log_dropped(candidate->target.id, &candidate->announcement, reason);
	candidate_delete(candidate);
}

static int start_differs(const struct candidate *candidate,
			 const struct worker_response *response)
{
	return response->worker_start_ms &&
	       response->worker_start_ms !=
		       candidate->announcement.worker_start_ms;
}

static int has_bound_id(const struct candidate *candidate)
{
	return candidate->runner->is_bound &&
	       !strcmp(candidate->runner->target.id, candidate->target.id);
}

/*
 * A worker that refuses the fence has the id. Whether it is the bound one is
 * known only with its start.
 */
static int is_identified(const struct candidate *candidate,
			 const struct worker_response *response)
{
	if (response->err == ERR_FENCED)
		return response->worker_start_ms || !has_bound_id(candidate);
	return !response->err;
}

static void on_confirmed(void *arg, const struct worker_response *response)
{
	struct candidate *candidate = arg;

	if (response->err == ERR_NOT_FOUND) {
		drop_candidate(candidate, "another-id");
	} else if (!is_identified(candidate, response)) {
		if (candidate->attempts < CONFIRM_ATTEMPTS)
			loop_timer_start(candidate->retry_timer,
					 CONFIRM_RETRY_MS);
		else
			drop_candidate(candidate, "unconfirmed");
	} else if (start_differs(candidate, response)) {
		drop_candidate(candidate, "another-start");
	} else {
		accept_candidate(candidate);
	}
}

static void ask_candidate(void *arg)
{
	struct candidate *candidate = arg;

	candidate->attempts++;
	/* The bound worker refuses a lower fence than this. */
	candidate->target.fence =
		has_bound_id(candidate) ? candidate->runner->target.fence : 0;
	workercall_identify(candidate->runner->calls, &candidate->target,
			    on_confirmed, candidate);
}

static struct candidate *find_candidate(struct runner *runner, const char *id,
					const struct announcement *announcement)
{
	struct list *pos;

	list_for_each (pos, &runner->candidates) {
		struct candidate *candidate =
			list_entry(pos, struct candidate, node);

		if (!strcmp(candidate->target.id, id) &&
		    candidate->announcement.worker_start_ms ==
			    announcement->worker_start_ms)
			return candidate;
	}
	return NULL;
}

static size_t count_candidates(const struct runner *runner)
{
	const struct list *pos;
	size_t count = 0;

	list_for_each (pos, &runner->candidates)
		count++;
	return count;
}

static void add_candidate(struct runner *runner, const char *id,
			  const struct announcement *announcement)
{
	struct candidate *candidate = find_candidate(runner, id, announcement);

	if (candidate) {
		if (announcement->sequence > candidate->announcement.sequence)
			candidate->announcement = *announcement;
		candidate->attempts = 0;
		return;
	}
	if (count_candidates(runner) == CANDIDATES_MAX)
		drop_candidate(list_entry(runner->candidates.next,
					  struct candidate, node),
			       "too-many");
	candidate = xcalloc(1, sizeof(*candidate));
	candidate->runner = runner;
	candidate->announcement = *announcement;
	str_copy(candidate->target.id, id, sizeof(candidate->target.id));
	candidate->retry_timer =
		loop_timer_new(runner->daemon->loop, ask_candidate, candidate);
	list_add_tail(&runner->candidates, &candidate->node);
	ask_candidate(candidate);
}

static void apply_announcement(struct runner *runner, const char *id,
			       const struct announcement *announcement)
{
	int is_bound = is_bound_worker(runner, id, announcement);
	const char *reason =
		is_bound ? reject_reason(runner, announcement) : NULL;

	if (reason)
		log_dropped(id, announcement, reason);
	else if (is_bound && !runner->has_left)
		update_worker(runner, id, announcement);
	else
		add_candidate(runner, id, announcement);
}

/* Such an entry is not from a worker. */
static int starts_in_future(const struct announcement *announcement)
{
	return (int64_t)announcement->worker_start_ms >
	       sysclock_wall_ms() + CLOCK_DIFFERENCE_MAX_MS;
}

void runner_handle_announcement(struct runner *runner, const char *id,
				struct httpd_request *request)
{
	struct announcement announcement;
	size_t len;
	const char *body = httpd_body(request, &len);

	if (strlen(id) >= sizeof(runner->target.id) ||
	    platform_decode_announcement(body, len, &announcement) ||
	    starts_in_future(&announcement)) {
		log_event(EV_ANNOUNCEMENT_DROPPED, "worker=%s reason=malformed",
			  id);
		httpd_reply(request, 400, "{}");
		return;
	}
	apply_announcement(runner, id, &announcement);
	httpd_reply(request, 200, "{}");
}

/* A worker may start again under its id; a late call is of its former life. */
void runner_handle_deregistration(struct runner *runner, const char *id,
				  struct httpd_request *request)
{
	size_t len;
	const char *body = httpd_body(request, &len);
	uint64_t start_ms = platform_decode_deregistration(body, len);

	if (!runner->is_bound || strcmp(runner->target.id, id) != 0)
		return;
	if (start_ms && start_ms != runner->worker.worker_start_ms) {
		log_event(EV_ANNOUNCEMENT_DROPPED,
			  "worker=%s born=%llu reason=outdated-deregistration",
			  id, (unsigned long long)start_ms);
		return;
	}
	log_event(EV_WORKER_STATE, "worker=%s state=deregistered", id);
	runner->has_left = 1;
	runner->worker.state = WORKER_ABSENT;
	runner_report_now(runner);
}
