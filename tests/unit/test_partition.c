#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "errors.h"
#include "hash.h"
#include "jobspec.h"
#include "partition.h"

static const struct resources need = { 1000, 512, 0 };
static const struct job_retry_policy policy = { .failed_agents_max = 3 };

static struct mstime at(int64_t ms)
{
	return mstime_from(100000 + ms);
}

static struct job *submit(struct partition *partition, const char *id)
{
	struct job_spec spec = { .team = "t", .need = need, .command = "c" };

	snprintf(spec.job, sizeof(spec.job), "%s", id);
	assert_int_equal(partition_submit(partition, &spec, at(0)), 0);
	return partition_find(partition, id);
}

static void mark_committed(struct partition *partition)
{
	partition_mark_committed(partition, partition->version);
}

static struct job *start_run(struct partition *partition, const char *id,
			     const char *agent)
{
	struct job *job = partition_find(partition, id);

	if (!job)
		job = submit(partition, id);
	assert_int_equal(
		partition_start_run(partition, job, agent, &need, "r", at(0)),
		0);
	assert_int_equal(partition_next_command(partition, job, 1, at(0)),
			 COMMAND_NONE);
	mark_committed(partition);
	assert_int_equal(partition_next_command(partition, job, 1, at(0)),
			 COMMAND_START);
	return job;
}

static enum task_effect report(struct partition *partition, const char *agent,
			       uint64_t run, enum task_state state,
			       const char *checkpoint)
{
	const struct task_status status = {
		.job = "j", .run = run, .state = state, .checkpoint = checkpoint
	};

	return partition_apply_report(partition, agent, &status, &policy,
				      at(1000));
}

enum stop_request {
	STOP_REQUEST_NONE,
	STOP_REQUEST_EVICT,
	STOP_REQUEST_CANCEL
};

/* How a run ends, by the stop request that preceded its end. */
static const struct {
	enum stop_request request;
	enum task_state end_state;
	enum task_effect effect;
	enum job_state state;
} run_end_cases[] = {
	{ STOP_REQUEST_NONE, TASK_FINISHED, EFFECT_DONE, JOB_DONE },
	{ STOP_REQUEST_NONE, TASK_STOPPED, EFFECT_REQUEUED, JOB_QUEUED },
	{ STOP_REQUEST_NONE, TASK_FAILED, EFFECT_RETRY, JOB_QUEUED },
	{ STOP_REQUEST_NONE, TASK_LOST, EFFECT_RETRY, JOB_QUEUED },
	{ STOP_REQUEST_NONE, TASK_REFUSED, EFFECT_REFUSED, JOB_QUEUED },
	{ STOP_REQUEST_EVICT, TASK_STOPPED, EFFECT_REQUEUED, JOB_QUEUED },
	{ STOP_REQUEST_EVICT, TASK_FINISHED, EFFECT_DONE, JOB_DONE },
	{ STOP_REQUEST_EVICT, TASK_LOST, EFFECT_RETRY, JOB_QUEUED },
	{ STOP_REQUEST_CANCEL, TASK_STOPPED, EFFECT_CANCELLED, JOB_CANCELLED },
	{ STOP_REQUEST_CANCEL, TASK_FAILED, EFFECT_CANCELLED, JOB_CANCELLED },
	{ STOP_REQUEST_CANCEL, TASK_REFUSED, EFFECT_CANCELLED, JOB_CANCELLED },
	{ STOP_REQUEST_CANCEL, TASK_FINISHED, EFFECT_DONE, JOB_DONE },
};

/*
 * Guards against recording the end of a run twice, when its report is repeated
 * or comes from another agent, and against creating a new run of a job before
 * the old one is proved to have stopped.
 */
static void test_run_ends_once(void **state)
{
	size_t i;

	for (i = 0; i < sizeof(run_end_cases) / sizeof(run_end_cases[0]); i++) {
		struct partition *p = partition_new(1);
		struct job *job = start_run(p, "j", "a1");

		assert_int_equal(report(p, "a1", 1, TASK_RUNNING, "c1"),
				 EFFECT_RUNNING);
		if (run_end_cases[i].request == STOP_REQUEST_EVICT)
			partition_evict_run(p, job, "r", at(1));
		if (run_end_cases[i].request == STOP_REQUEST_CANCEL)
			partition_cancel(p, "j", at(1));
		assert_int_equal(
			partition_start_run(p, job, "a2", &need, "r", at(2)),
			ERR_INVALID);
		assert_int_equal(report(p, "a2", 1, TASK_FINISHED, ""),
				 EFFECT_NONE);
		assert_int_equal(report(p, "a2", 1, TASK_RUNNING, ""),
				 EFFECT_STALE);
		assert_int_equal(
			report(p, "a1", 1, run_end_cases[i].end_state, "c2"),
			run_end_cases[i].effect);
		assert_int_equal(job->state, run_end_cases[i].state);
		assert_string_equal(job->checkpoint, "c2");
		assert_int_equal(
			report(p, "a1", 1, run_end_cases[i].end_state, "c2"),
			EFFECT_NONE);
		assert_int_equal(report(p, "a1", 1, TASK_RUNNING, "c3"),
				 EFFECT_STALE);
		partition_delete(p);
	}
}

/*
 * Guards against sending a command, or letting an agent forget the end of a
 * run, before the change behind it is committed: a later owner would not find
 * that change in the store.
 */
static void test_no_command_before_commit(void **state)
{
	struct partition *p = partition_new(1);
	struct job *job = start_run(p, "j", "a1");
	struct task_status end = { .job = "j",
				   .run = 1,
				   .state = TASK_FINISHED };

	assert_int_equal(partition_next_command(p, job, 1, at(10)),
			 COMMAND_NONE);
	assert_int_equal(partition_next_command(p, job, 1, at(1000)),
			 COMMAND_START);
	assert_int_equal(partition_next_command(p, job, 2, at(5000)),
			 COMMAND_NONE);
	partition_evict_run(p, job, "r", at(1001));
	assert_int_equal(partition_next_command(p, job, 1, at(1001)),
			 COMMAND_NONE);
	partition_mark_committed(p, p->version - 1);
	assert_int_equal(partition_next_command(p, job, 1, at(1001)),
			 COMMAND_NONE);
	mark_committed(p);
	assert_int_equal(partition_next_command(p, job, 1, at(1001)),
			 COMMAND_STOP);
	report(p, "a1", 1, TASK_FINISHED, "");
	assert_true(partition_end_version(p, &end) > p->committed_version);
	mark_committed(p);
	assert_true(partition_end_version(p, &end) <= p->committed_version);
	end.run = 2;
	assert_true(partition_end_version(p, &end) > p->committed_version);
	partition_delete(p);
}

/*
 * Guards against starting a job that was cancelled while it was queued, or
 * after its run was created but before the start command was sent.
 */
static void test_cancelled_never_starts(void **state)
{
	struct partition *p = partition_new(1);
	struct job *queued = submit(p, "q"), *placed = submit(p, "p");

	assert_int_equal(partition_start_run(p, placed, "a", &need, "", at(0)),
			 0);
	assert_int_equal(partition_cancel(p, "q", at(1)), 0);
	assert_int_equal(partition_cancel(p, "p", at(1)), 0);
	assert_int_equal(partition_cancel(p, "none", at(1)), ERR_NOT_FOUND);
	mark_committed(p);
	assert_int_equal(queued->state, JOB_CANCELLED);
	assert_int_equal(placed->state, JOB_CANCELLED);
	assert_int_equal(partition_next_command(p, placed, 1, at(2)),
			 COMMAND_NONE);
	assert_int_equal(partition_start_run(p, queued, "a", &need, "", at(2)),
			 ERR_INVALID);
	assert_int_equal(partition_cancel(p, "q", at(3)), 0);
	partition_delete(p);
}

/*
 * Guards against retrying a job without limit, and against counting its
 * failures at a faulty worker. Repeated failures at one agent count once.
 */
static void test_failed_run_limit(void **state)
{
	static const char *const agents[] = { "a1", "a1", "a2", "bad", "a3" };
	const uint64_t faulty[] = { hash_str("bad") };
	const struct job_retry_policy exclude_faulty = { 3, faulty, 1 };
	struct partition *p = partition_new(1);
	struct job *job = NULL;
	size_t i;

	for (i = 0; i < 5; i++) {
		struct task_status status = { .job = "j", .run = i + 1 };

		status.state = TASK_FAILED;
		status.detail = "exit 1";
		job = start_run(p, "j", agents[i]);
		assert_int_equal(partition_apply_report(p, agents[i], &status,
							&exclude_faulty, at(1)),
				 i < 4 ? EFFECT_RETRY : EFFECT_FAILED);
	}
	assert_int_equal(job->state, JOB_FAILED);
	assert_non_null(strstr(job->reason, "exit 1"));
	partition_delete(p);
}

/* Starts the next run and reports it as running, for the last time. */
static struct job *run_and_report(struct partition *partition,
				  const char *agent, int64_t last_report_ms)
{
	struct job *job = start_run(partition, "j", agent);
	struct task_status status = { .job = "j",
				      .run = job->run,
				      .state = TASK_RUNNING };

	partition_apply_report(partition, agent, &status, &policy,
			       at(last_report_ms));
	return job;
}

/*
 * Guards against failing a long job because its VMs fail: a lost run does not
 * count as a failure of the job.
 */
static void test_lost_runs_are_not_failures(void **state)
{
	struct partition *p = partition_new(1);
	struct job *job = NULL;
	char agent[ID_SIZE];
	int i;

	for (i = 0; i < 50; i++) {
		struct task_status lost = { .job = "j", .state = TASK_LOST };

		snprintf(agent, sizeof(agent), "a%d", i);
		job = run_and_report(p, agent, JOB_EARLY_LOSS_MS);
		lost.run = job->run;
		assert_int_equal(
			i % 2 ? partition_run_lost(p, job, "silent",
						   at(JOB_EARLY_LOSS_MS))
			      : partition_apply_report(p, agent, &lost, &policy,
						       at(JOB_EARLY_LOSS_MS)),
			EFFECT_RETRY);
		assert_int_equal(job->state, JOB_QUEUED);
	}
	assert_int_equal(job->failed_runs, 0);
	assert_int_equal(job->failed_agent_count, 0);
	/* A run that no agent listed cannot have brought its worker down. */
	for (i = 0; i <= JOB_EARLY_LOSSES_MAX; i++) {
		job = start_run(p, "j", "a");
		assert_int_equal(partition_run_lost(p, job, "silent", at(1)),
				 EFFECT_RETRY);
	}
	partition_delete(p);
}

/*
 * Guards against a job that brings down one worker after another. A loss is
 * detected long after the last report of the run, so the time of that report,
 * and not of the detection, tells whether the loss was early.
 */
static void test_early_losses(void **state)
{
	struct partition *p = partition_new(1), *q = partition_new(1);
	struct job *job;
	char *data;
	size_t len;
	uint32_t i;

	for (i = 0; i < JOB_EARLY_LOSSES_MAX; i++) {
		job = run_and_report(p, "a", JOB_EARLY_LOSS_MS - 1);
		assert_int_equal(partition_run_lost(p, job, "silent",
						    at(JOB_EARLY_LOSS_MS * 10)),
				 EFFECT_RETRY);
	}
	/* A loss that is not early resets the count. */
	job = run_and_report(p, "a", JOB_EARLY_LOSS_MS);
	partition_run_lost(p, job, "silent", at(JOB_EARLY_LOSS_MS * 10));
	for (i = 0; i < JOB_EARLY_LOSSES_MAX; i++) {
		job = run_and_report(p, "a", 1);
		assert_int_equal(
			partition_run_lost(p, job, "silent", at(50000)),
			EFFECT_RETRY);
	}
	/* The count is part of the stored value. */
	assert_int_equal(partition_encode(p, "e", at(0), &data, &len), 0);
	assert_int_equal(partition_decode(q, data, len, at(0)), 0);
	job = run_and_report(q, "last", 1);
	assert_int_equal(partition_run_lost(q, job, "silent", at(50000)),
			 EFFECT_FAILED);
	assert_int_equal(job->state, JOB_FAILED);
	assert_non_null(strstr(job->reason, "lost"));
	assert_non_null(strstr(job->reason, "last"));
	free(data);
	partition_delete(p);
	partition_delete(q);
}

/*
 * Guards against a field that is lost on a takeover because it is not encoded,
 * and against accepting a truncated value.
 */
static void test_encode_decode_round_trip(void **state)
{
	struct partition *p = partition_new(3), *q = partition_new(3);
	uint64_t epoch, seq, version;
	struct job *job;
	char *data;
	size_t len, prefix_len;

	p->epoch = 7;
	p->holdover_ms = 1234;
	job = start_run(p, "j", "a1");
	report(p, "a1", 1, TASK_STOPPED, "c9");
	start_run(p, "j", "a2");
	report(p, "a2", 2, TASK_FAILED, "");
	start_run(p, "j", "a3");
	submit(p, "k");
	assert_int_equal(partition_encode(p, "e1/1", at(5000), &data, &len), 0);
	assert_int_equal(partition_decode(q, data, len, at(9000)), 0);
	assert_int_equal(q->epoch, 7);
	assert_int_equal(q->holdover_ms, 1234);
	job = partition_find(q, "j");
	assert_int_equal(job->state, JOB_STARTING);
	assert_int_equal(job->run, 3);
	assert_int_equal(job->failed_runs, 1);
	assert_int_equal(job->evictions, 1);
	assert_int_equal(job->failed_agents[0], hash_str("a2"));
	assert_string_equal(job->checkpoint, "c9");
	assert_string_equal(job->agent, "a3");
	assert_true(job->inherited);
	assert_int_equal(mstime_diff(at(9000), job->evicted_at), 4000);
	assert_int_equal(partition_find(q, "k")->state, JOB_QUEUED);
	assert_int_equal(
		partition_written_by(data, len, "e1/1", &epoch, &seq, &version),
		1);
	assert_int_equal(version, p->version);
	assert_int_equal(
		partition_written_by(data, len, "e1", &epoch, &seq, &version),
		0);
	for (prefix_len = 0; prefix_len < len; prefix_len++) {
		struct partition *r = partition_new(3);

		assert_int_equal(partition_decode(r, data, prefix_len, at(0)),
				 ERR_MALFORMED);
		partition_delete(r);
	}
	free(data);
	partition_delete(p);
	partition_delete(q);
}

/*
 * Guards against a value that grows too large for the store when its jobs are
 * started, and against removing an ended job while its inbox key may still
 * exist and would submit the job again.
 */
static void test_size_limit_and_expiry(void **state)
{
	struct partition *p = partition_new(1);
	char id[ID_SIZE], *data;
	struct list *pos;
	uint32_t i;
	size_t len;

	for (i = 0;; i++) {
		struct job_spec spec = { .team = "team", .need = need };

		snprintf(spec.job, sizeof(spec.job), "job-%u", i);
		memset(spec.command, 'x', i % 100 + 1);
		if (partition_submit(p, &spec, at(i)) == ERR_FULL)
			break;
	}
	assert_true(i > 2000);
	list_for_each (pos, &p->jobs) {
		struct job *job = list_entry(pos, struct job, node);

		if (partition_start_run(p, job, "agent", &need, "reason",
					at(0)))
			break;
	}
	assert_int_equal(partition_encode(p, "w", at(0), &data, &len), 0);
	assert_true(len <= p->bytes + 200);
	free(data);
	for (i = 0; i < 1000; i++) {
		snprintf(id, sizeof(id), "job-%u", i);
		partition_cancel(p, id, at(0));
	}
	mark_committed(p);
	partition_expire(p, 10, 0, at(1000));
	assert_non_null(partition_find(p, "job-999"));
	p->inbox_listings += 2;
	partition_expire(p, 10, 0, at(1000));
	assert_null(partition_find(p, "job-999"));
	partition_delete(p);
}

static const struct {
	const char *json;
	int err;
} spec_cases[] = {
	{ "{\"job\":\"j-1.a\",\"team\":\"t\",\"cpu_milli\":1,\"mem_mb\":1,"
	  "\"command\":\"c\"}",
	  0 },
	{ "{\"job\":\"j.cancel\",\"team\":\"t\",\"cpu_milli\":1,\"mem_mb\":1,"
	  "\"command\":\"c\"}",
	  ERR_INVALID },
	{ "{\"job\":\"a/b\",\"team\":\"t\",\"cpu_milli\":1,\"mem_mb\":1,"
	  "\"command\":\"c\"}",
	  ERR_INVALID },
	{ "{\"job\":\"j\",\"team\":\"t\",\"cpu_milli\":0,\"mem_mb\":1,"
	  "\"command\":\"c\"}",
	  ERR_INVALID },
	{ "{\"job\":\"j\",\"team\":\"t\",\"cpu_milli\":1,\"mem_mb\":1}",
	  ERR_INVALID },
	{ "{\"job\":\"j\",\"size\":1}", ERR_INVALID },
	{ "{\"job\":3}", ERR_MALFORMED },
	{ "[]", ERR_MALFORMED },
	{ "{", ERR_MALFORMED },
};

/*
 * Guards against accepting an invalid job spec, such as a job id whose inbox
 * key would be read as a cancellation.
 */
static void test_job_spec_validation(void **state)
{
	struct job_spec spec, reparsed;
	char message[160], *json;
	size_t i;

	for (i = 0; i < sizeof(spec_cases) / sizeof(spec_cases[0]); i++) {
		assert_int_equal(job_spec_parse(&spec, spec_cases[i].json,
						strlen(spec_cases[i].json),
						message, sizeof(message)),
				 spec_cases[i].err);
		if (spec_cases[i].err)
			continue;
		json = job_spec_render(&spec);
		assert_int_equal(job_spec_parse(&reparsed, json, strlen(json),
						message, sizeof(message)),
				 0);
		assert_memory_equal(&spec, &reparsed, sizeof(spec));
		free(json);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_run_ends_once),
		cmocka_unit_test(test_no_command_before_commit),
		cmocka_unit_test(test_cancelled_never_starts),
		cmocka_unit_test(test_failed_run_limit),
		cmocka_unit_test(test_lost_runs_are_not_failures),
		cmocka_unit_test(test_early_losses),
		cmocka_unit_test(test_encode_decode_round_trip),
		cmocka_unit_test(test_size_limit_and_expiry),
		cmocka_unit_test(test_job_spec_validation),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
