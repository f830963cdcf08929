#include "opjobs.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "mem.h"
#include "partstore.h"
#include "sysclock.h"

#define PREFIX "part/"

struct opjobs {
	struct daemon *daemon;
	opjobs_done_fn fn;
	void *arg;
	struct loop_timer *timer; /* ends a read that needs no store */
	char job[ID_SIZE];	  /* "" for all */
	uint32_t partition;
	struct plan_job *jobs;
	size_t count;
	int known;
};

static void finish(struct opjobs *jobs, int known)
{
	jobs->known = known;
	jobs->fn(jobs->arg, jobs);
}

static void on_timer(void *arg)
{
	struct opjobs *jobs = arg;

	finish(jobs, !jobs->job[0]);
}

static void add_job(struct opjobs *jobs, const char *job, const char *agent,
		    int ended)
{
	struct plan_job *added;

	jobs->jobs =
		xrealloc(jobs->jobs, (jobs->count + 1) * sizeof(*jobs->jobs));
	added = &jobs->jobs[jobs->count++];
	memset(added, 0, sizeof(*added));
	str_copy(added->job, job, sizeof(added->job));
	str_copy(added->agent, agent, sizeof(added->agent));
	added->ended = ended;
}

/* RETURN VALUE: 0, or ERR_MALFORMED. */
static int add_partition(struct opjobs *jobs, const struct store_item *items,
			 size_t count)
{
	const char *number = items[0].key + strlen(PREFIX);
	struct partition *partition =
		partition_new((uint32_t)strtoul(number, NULL, 10));
	const struct list *pos;
	struct partstore_state state;
	int err = partstore_replay(partition, items, count, sysclock_now(),
				   &state);

	if (!err)
		list_for_each (pos, &partition->jobs) {
			const struct job *job =
				list_entry(pos, struct job, node);
			int placed = job->state == JOB_STARTING ||
				     job->state == JOB_RUNNING ||
				     job->state == JOB_STOPPING;

			add_job(jobs, job->id, placed ? job->agent : "",
				job->state >= JOB_DONE);
		}
	partition_delete(partition);
	return err;
}

static void on_partitions(void *arg, int err, const struct store_item *items,
			  size_t count)
{
	struct opjobs *jobs = arg;
	size_t group, i;

	for (i = 0; !err && i < count; i += group) {
		group = partstore_group_size(&items[i], count - i);
		err = add_partition(jobs, &items[i], group);
	}
	finish(jobs, !err);
}

static void on_inbox(void *arg, int err, const struct store_item *item)
{
	struct opjobs *jobs = arg;

	if (!err)
		add_job(jobs, jobs->job, "", 0);
	finish(jobs, !err || err == ERR_NOT_FOUND);
}

static void on_partition(void *arg, int err, const struct store_item *items,
			 size_t count)
{
	struct opjobs *jobs = arg;
	char *key;

	if (!err && count)
		err = add_partition(jobs, items, count);
	if (err) {
		finish(jobs, 0);
		return;
	}
	key = xstrfmt("inbox/%" PRIu32 "/%s", jobs->partition, jobs->job);
	store_get(jobs->daemon->store, key, on_inbox, jobs);
	free(key);
}

static void read_job(struct opjobs *jobs, const char *job)
{
	uint32_t partitions =
		(uint32_t)jobs->daemon->config.limits[LIMIT_PARTITIONS];

	str_copy(jobs->job, job, sizeof(jobs->job));
	if (!jobs->daemon->store) {
		loop_timer_start(jobs->timer, 0);
		return;
	}
	jobs->partition = job_partition(job, partitions);
	partstore_read(jobs->daemon->store, jobs->partition, on_partition,
		       jobs);
}

static void read_all(struct opjobs *jobs)
{
	const struct config *config = &jobs->daemon->config;

	if (jobs->daemon->store)
		store_list(jobs->daemon->store, PREFIX,
			   partstore_keys_max(
				   (uint32_t)config->limits[LIMIT_PARTITIONS]),
			   on_partitions, jobs);
	else
		loop_timer_start(jobs->timer, 0);
}

struct opjobs *opjobs_start(struct daemon *daemon, const struct intent *intent,
			    opjobs_done_fn fn, void *arg)
{
	struct opjobs *jobs = xcalloc(1, sizeof(*jobs));

	jobs->daemon = daemon;
	jobs->fn = fn;
	jobs->arg = arg;
	jobs->timer = loop_timer_new(daemon->loop, on_timer, jobs);
	if (intent->kind == INTENT_SUBMIT)
		read_job(jobs, intent->u.submit.job);
	else if (intent->kind == INTENT_CANCEL)
		read_job(jobs, intent->u.job);
	else if (intent->kind == INTENT_DRAIN)
		read_all(jobs);
	else
		loop_timer_start(jobs->timer, 0);
	return jobs;
}

void opjobs_delete(struct opjobs *jobs)
{
	if (!jobs)
		return;
	if (jobs->daemon->store)
		store_cancel(jobs->daemon->store, jobs);
	loop_timer_delete(jobs->timer);
	free(jobs->jobs);
	free(jobs);
}

void opjobs_fill_view(const struct opjobs *jobs, struct plan_view *view)
{
	view->jobs = jobs->jobs;
	view->job_count = jobs->count;
	view->jobs_known = jobs->known;
}
