#include "never.h"

#include <stdio.h>
#include <string.h>

#include "hash.h"
#include "jobspec.h"
#include "model.h"
#include "partition.h"
#include "taskhealth.h"

#define JOB_COUNT 600
#define JOB_KINDS 6 /* one is too large, one fails */
#define KIND_TOO_LARGE 0
#define KIND_FAILING 1
#define DURATION_S 7200
#define FAIL_AFTER_S 2
#define FAILED_AGENTS_MAX 3

struct unrunnable_simulation {
	struct partition *partition;
	struct taskhealth *health;
	struct worker_view views[MODEL_WORKERS];
	struct rng rng;
	struct mstime now;
};

static int kind_of(const struct job *job)
{
	int index = 0;

	if (sscanf(job->id, "job-%d", &index) != 1)
		return -1;
	return index % JOB_KINDS;
}

static void submit_jobs(struct unrunnable_simulation *sim, int with_unrunnable)
{
	struct job_spec spec = { .team = "t" };
	int i;

	snprintf(spec.command, sizeof(spec.command), "run");
	for (i = 0; i < JOB_COUNT; i++) {
		snprintf(spec.job, sizeof(spec.job), "job-%d", i);
		spec.need.cpu_milli = 2000 + rng_below(&sim->rng, 8000);
		spec.need.mem_mb = 4000 + rng_below(&sim->rng, 30000);
		if (i % JOB_KINDS == KIND_TOO_LARGE)
			spec.need.cpu_milli = model_capacity.cpu_milli + 1;
		if (with_unrunnable || i % JOB_KINDS > KIND_FAILING)
			partition_submit(sim->partition, &spec, sim->now);
	}
}

static int find_worker(const struct unrunnable_simulation *sim,
		       const char *agent)
{
	int i;

	for (i = 0; i < MODEL_WORKERS - 1; i++)
		if (!strcmp(sim->views[i].agent, agent))
			break;
	return i;
}

static void refresh_views(struct unrunnable_simulation *sim)
{
	struct list *pos;
	int i;

	for (i = 0; i < MODEL_WORKERS; i++) {
		struct worker_view *view = &sim->views[i];

		memset(&view->used, 0, sizeof(view->used));
		view->ejected = taskhealth_ejected(sim->health,
						   view->agent_hash, sim->now);
	}
	list_for_each (pos, &sim->partition->jobs) {
		struct job *job = list_entry(pos, struct job, node);
		struct resources *used;

		if (job->state != JOB_RUNNING)
			continue;
		used = &sim->views[find_worker(sim, job->agent)].used;
		used->cpu_milli += job->reserved.cpu_milli;
		used->mem_mb += job->reserved.mem_mb;
	}
}

static enum task_effect report_state(struct unrunnable_simulation *sim,
				     struct job *job, enum task_state state)
{
	struct task_status status = { .run = job->run,
				      .state = state,
				      .checkpoint = "",
				      .detail = "exit status 1" };
	struct job_retry_policy policy = { .failed_agents_max =
						   FAILED_AGENTS_MAX };

	snprintf(status.job, sizeof(status.job), "%s", job->id);
	policy.faulty_agents =
		taskhealth_blamed(sim->health, &policy.faulty_agent_count);
	return partition_apply_report(sim->partition, job->agent, &status,
				      &policy, sim->now);
}

static void place_job(struct unrunnable_simulation *sim, struct job *job)
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

	if (!placement_possible(&job->declared, sim->views, MODEL_WORKERS)) {
		partition_mark_impossible(sim->partition, job,
					  "larger than every worker", sim->now);
		return;
	}
	placement_choose(&result, &request, sim->views, MODEL_WORKERS,
			 &sim->rng);
	if (result.worker < 0)
		return;
	view = &sim->views[result.worker];
	if (partition_start_run(sim->partition, job, view->agent, &request.need,
				"fits", sim->now))
		return;
	partition_mark_committed(sim->partition, sim->partition->version);
	partition_next_command(sim->partition, job, 1, sim->now);
	view->used.cpu_milli += request.need.cpu_milli;
	view->used.mem_mb += request.need.mem_mb;
	report_state(sim, job, TASK_RUNNING);
}

static void end_runs(struct unrunnable_simulation *sim)
{
	struct list *pos;

	list_for_each (pos, &sim->partition->jobs) {
		struct job *job = list_entry(pos, struct job, node);
		int64_t ran_s = mstime_diff(sim->now, job->started_at) / 1000;
		uint64_t agent = hash_str(job->agent);

		if (job->state != JOB_RUNNING)
			continue;
		if (kind_of(job) == KIND_FAILING && ran_s >= FAIL_AFTER_S) {
			taskhealth_failed(sim->health, agent, hash_str(job->id),
					  MODEL_WORKERS, sim->now);
			report_state(sim, job, TASK_FAILED);
		} else if (ran_s >= 30 + (int64_t)job->arrival_order % 60) {
			taskhealth_finished(sim->health, agent);
			report_state(sim, job, TASK_FINISHED);
		}
	}
}

static void count_jobs(const struct unrunnable_simulation *sim,
		       struct unrunnable_result *result)
{
	struct list *pos;

	memset(result, 0, sizeof(*result));
	list_for_each (pos, &sim->partition->jobs) {
		const struct job *job = list_entry(pos, struct job, node);

		if (kind_of(job) > KIND_FAILING) {
			result->others++;
			result->others_done += job->state == JOB_DONE;
			result->others_total_s +=
				(int)(mstime_diff(job->ended_at,
						  job->submitted_at) /
				      1000);
			continue;
		}
		result->unrunnable++;
		result->explained += (job->state == JOB_FAILED ||
				      job->state == JOB_IMPOSSIBLE) &&
				     *job->reason;
		if (job->run > result->runs_max)
			result->runs_max = (uint32_t)job->run;
	}
}

void simulate_unrunnable_jobs(struct unrunnable_result *result,
			      int with_unrunnable, uint64_t seed)
{
	static const char *const agents[MODEL_WORKERS] = { "w0", "w1", "w2",
							   "w3", "w4", "w5",
							   "w6", "w7", "w8",
							   "w9", "w10" };
	struct unrunnable_simulation sim = { .partition = partition_new(0),
					     .health = taskhealth_new(),
					     .now = mstime_from(1000) };
	struct list *pos;
	int i, step;

	rng_seed(&sim.rng, seed);
	for (i = 0; i < MODEL_WORKERS; i++) {
		sim.views[i].agent = agents[i];
		sim.views[i].agent_hash = hash_str(agents[i]);
		sim.views[i].domain = (uint32_t)(i / MODEL_WORKERS_PER_RACK);
		sim.views[i].capacity = model_capacity;
		sim.views[i].request_slots = 8;
		sim.views[i].usable = 1;
	}
	submit_jobs(&sim, with_unrunnable);
	for (step = 0; step < DURATION_S; step++) {
		sim.now = mstime_add(sim.now, 1000);
		end_runs(&sim);
		refresh_views(&sim);
		list_for_each (pos, &sim.partition->jobs) {
			struct job *job = list_entry(pos, struct job, node);

			if (job->state == JOB_QUEUED)
				place_job(&sim, job);
		}
	}
	count_jobs(&sim, result);
	partition_delete(sim.partition);
	taskhealth_delete(sim.health);
}
