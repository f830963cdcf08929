#include "never.h"

#include <stdio.h>
#include <string.h>

#include "hash.h"
#include "jobspec.h"
#include "model.h"
#include "partition.h"
#include "taskhealth.h"

#define JOBS 600
#define KINDS 6 /* of which one is too large and one fails */
#define TOO_LARGE 0
#define FAILING 1
#define STEPS 7200
#define FAILS_AFTER_S 2
#define TRIES 3

struct never {
	struct partition *partition;
	struct taskhealth *health;
	struct worker_view views[MODEL_WORKERS];
	struct rng rng;
	struct mstime now;
};

static int kind_of(const struct job *job)
{
	int number = 0;

	if (sscanf(job->id, "job-%d", &number) != 1)
		return -1;
	return number % KINDS;
}

static void submit_jobs(struct never *never, int with_bad)
{
	struct job_spec spec = { .team = "t" };
	int i;

	snprintf(spec.command, sizeof(spec.command), "run");
	for (i = 0; i < JOBS; i++) {
		snprintf(spec.job, sizeof(spec.job), "job-%d", i);
		spec.need.cpu_milli = 2000 + rng_below(&never->rng, 8000);
		spec.need.mem_mb = 4000 + rng_below(&never->rng, 30000);
		if (i % KINDS == TOO_LARGE)
			spec.need.cpu_milli = model_capacity.cpu_milli + 1;
		if (with_bad || i % KINDS > FAILING)
			partition_submit(never->partition, &spec, never->now);
	}
}

static int worker_of(const struct never *never, const char *agent)
{
	int i;

	for (i = 0; i < MODEL_WORKERS - 1; i++)
		if (!strcmp(never->views[i].agent, agent))
			break;
	return i;
}

static void refresh_views(struct never *never)
{
	struct list *pos;
	int i;

	for (i = 0; i < MODEL_WORKERS; i++) {
		struct worker_view *view = &never->views[i];

		memset(&view->used, 0, sizeof(view->used));
		view->ejected = taskhealth_ejected(
			never->health, view->agent_hash, never->now);
	}
	list_for_each (pos, &never->partition->jobs) {
		struct job *job = list_entry(pos, struct job, node);
		struct resources *used;

		if (job->state != JOB_RUNNING)
			continue;
		used = &never->views[worker_of(never, job->agent)].used;
		used->cpu_milli += job->reserved.cpu_milli;
		used->mem_mb += job->reserved.mem_mb;
	}
}

static enum task_effect report(struct never *never, struct job *job,
			       enum task_state state)
{
	struct task_status status = { .run = job->run,
				      .state = state,
				      .checkpoint = "",
				      .detail = "exit status 1" };
	struct job_retry_policy policy = { .failed_agents_max = TRIES };

	snprintf(status.job, sizeof(status.job), "%s", job->id);
	policy.faulty_agents =
		taskhealth_blamed(never->health, &policy.faulty_agent_count);
	return partition_apply_report(never->partition, job->agent, &status,
				      &policy, never->now);
}

static void place(struct never *never, struct job *job)
{
	struct placement_request request = { .need = job->declared,
					     .failed_agents =
						     job->failed_agents,
					     .failed_agent_count =
						     job->failed_agent_count,
					     .latency_weight_percent = 50,
					     .eviction_weight_percent = 50 };
	struct worker_view *view;
	struct placement result;

	if (!placement_possible(&job->declared, never->views, MODEL_WORKERS)) {
		partition_mark_impossible(never->partition, job,
					  "larger than every worker",
					  never->now);
		return;
	}
	placement_choose(&result, &request, never->views, MODEL_WORKERS,
			 &never->rng);
	if (result.worker < 0)
		return;
	view = &never->views[result.worker];
	if (partition_start_run(never->partition, job, view->agent,
				&request.need, "fits", never->now))
		return;
	partition_mark_committed(never->partition, never->partition->version);
	partition_next_command(never->partition, job, 1, never->now);
	view->used.cpu_milli += request.need.cpu_milli;
	view->used.mem_mb += request.need.mem_mb;
	report(never, job, TASK_RUNNING);
}

static void end_runs(struct never *never)
{
	struct list *pos;

	list_for_each (pos, &never->partition->jobs) {
		struct job *job = list_entry(pos, struct job, node);
		int64_t ran_s = mstime_diff(never->now, job->started_at) / 1000;
		uint64_t agent = hash_str(job->agent);

		if (job->state != JOB_RUNNING)
			continue;
		if (kind_of(job) == FAILING && ran_s >= FAILS_AFTER_S) {
			taskhealth_failed(never->health, agent,
					  hash_str(job->id), MODEL_WORKERS,
					  never->now);
			report(never, job, TASK_FAILED);
		} else if (ran_s >= 30 + (int64_t)job->arrival_order % 60) {
			taskhealth_finished(never->health, agent);
			report(never, job, TASK_FINISHED);
		}
	}
}

static void count(const struct never *never, struct never_result *result)
{
	struct list *pos;

	memset(result, 0, sizeof(*result));
	list_for_each (pos, &never->partition->jobs) {
		const struct job *job = list_entry(pos, struct job, node);

		if (kind_of(job) > FAILING) {
			result->good++;
			result->done += job->state == JOB_DONE;
			result->waited_s +=
				(int)(mstime_diff(job->ended_at,
						  job->submitted_at) /
				      1000);
			continue;
		}
		result->bad++;
		result->named += (job->state == JOB_FAILED ||
				  job->state == JOB_IMPOSSIBLE) &&
				 *job->reason;
		if (job->run > result->most_runs)
			result->most_runs = (uint32_t)job->run;
	}
}

void never_run(struct never_result *result, int with_bad, uint64_t seed)
{
	static const char *const agents[MODEL_WORKERS] = { "w0", "w1", "w2",
							   "w3", "w4", "w5",
							   "w6", "w7", "w8",
							   "w9", "w10" };
	struct never never = { .partition = partition_new(0),
			       .health = taskhealth_new(),
			       .now = mstime_from(1000) };
	struct list *pos;
	int i, step;

	rng_seed(&never.rng, seed);
	for (i = 0; i < MODEL_WORKERS; i++) {
		never.views[i].agent = agents[i];
		never.views[i].agent_hash = hash_str(agents[i]);
		never.views[i].domain = (uint32_t)(i / MODEL_RACK);
		never.views[i].capacity = model_capacity;
		never.views[i].request_slots = 8;
		never.views[i].usable = 1;
	}
	submit_jobs(&never, with_bad);
	for (step = 0; step < STEPS; step++) {
		never.now = mstime_add(never.now, 1000);
		end_runs(&never);
		refresh_views(&never);
		list_for_each (pos, &never.partition->jobs) {
			struct job *job = list_entry(pos, struct job, node);

			if (job->state == JOB_QUEUED)
				place(&never, job);
		}
	}
	count(&never, result);
	partition_delete(never.partition);
	taskhealth_delete(never.health);
}
