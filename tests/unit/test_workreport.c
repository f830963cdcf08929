/* Reports of runners that are larger than a message. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "mem.h"
#include "workreport.h"

/* What a message carries at most, and more ends than that. */
#define WORKER_RUNS_MAX RUNS_MAX
#define WORKER_ENDS_MAX 1400

struct report {
	struct message msg;
	struct run_status runs[WORKER_RUNS_MAX + WORKER_ENDS_MAX];
	struct ended_run ends[WORKER_ENDS_MAX];
	char *checkpoint;
};

static struct report *report_new(size_t runs, size_t ends, size_t len)
{
	struct report *report = xcalloc(1, sizeof(*report));
	struct msg_work_report *work = &report->msg.u.work_report;
	size_t i;

	report->checkpoint = xcalloc(len + 1, 1);
	memset(report->checkpoint, 'c', len);
	report->msg.type = MSG_WORK_REPORT;
	work->runs.items = report->runs;
	work->runs.count = runs;
	work->ends.items = report->ends;
	work->ends.count = ends;
	for (i = 0; i < runs; i++)
		report->runs[i] = (struct run_status){
			.task = { "0123456789abcdef", UINT32_MAX, UINT32_MAX,
				  (uint32_t)i },
			.run = UINT32_MAX,
			.phase = RUN_ACTIVE,
			.progress_percent = UINT32_MAX,
			.latency_or_cpu = UINT32_MAX,
			.checkpoint = report->checkpoint,
			.detail = "worker-refused",
		};
	for (i = 0; i < ends; i++)
		report->ends[i] = (struct ended_run){
			.number = UINT64_MAX - ends + i,
			.task = { "0123456789abcdef", UINT32_MAX, UINT32_MAX,
				  (uint32_t)(runs + i) },
			.run = UINT32_MAX,
			.how = RUN_END_DONE,
			.checkpoint = report->checkpoint,
		};
	return report;
}

static void report_free(struct report *report)
{
	free(report->checkpoint);
	free(report);
}

static const struct {
	size_t runs, ends, checkpoint_len;
} cases[] = {
	{ 0, 0, 0 },
	{ 1, 0, RUN_CHECKPOINT_MAX },
	{ 0, 1, RUN_CHECKPOINT_MAX },
	{ 40, 0, RUN_CHECKPOINT_MAX },
	{ 0, 40, RUN_CHECKPOINT_MAX },
	{ 40, 40, RUN_CHECKPOINT_MAX },
	{ 512, 0, 257 },
	{ 0, 500, 257 },
	{ 512, 500, 0 },
	{ 512, 500, 16 },
	{ 512, 500, RUN_CHECKPOINT_MAX },
	{ 100, 1000, 16 },
	{ WORKER_RUNS_MAX, 0, 0 },
	{ WORKER_RUNS_MAX, 500, RUN_CHECKPOINT_MAX },
	{ WORKER_RUNS_MAX, WORKER_ENDS_MAX, 0 },
	{ WORKER_RUNS_MAX, WORKER_ENDS_MAX, RUN_CHECKPOINT_MAX },
	{ 900, WORKER_ENDS_MAX, 16 },
	{ 0, WORKER_ENDS_MAX, 0 },
};

/*
 * Guards against a report that cannot be sent, or that leaves a task out
 * although it says that it names all.
 */
static void test_names_all_and_can_be_sent(void **state)
{
	size_t i, k;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct report *report = report_new(cases[i].runs, cases[i].ends,
						   cases[i].checkpoint_len);
		const struct msg_work_report *work = &report->msg.u.work_report;
		char named[WORKER_RUNS_MAX + WORKER_ENDS_MAX] = { 0 };
		unsigned char *data;
		size_t len;

		workreport_fit(&report->msg.u.work_report, 0);
		assert_int_equal(message_encode(&report->msg, &data, &len), 0);
		free(data);
		for (k = 0; k < work->runs.count; k++)
			named[work->runs.items[k].task.index]++;
		for (k = 0; k < work->ends.count; k++)
			named[work->ends.items[k].task.index]++;
		for (k = 0; k < cases[i].runs + cases[i].ends; k++)
			if (named[k] != 1)
				assert_false(named[k] ||
					     workreport_is_whole(work));
		if (cases[i].runs + cases[i].ends < RUNS_MAX)
			assert_true(workreport_is_whole(work));
		if (cases[i].ends)
			assert_true(work->ends.count > 0);
		report_free(report);
	}
}

/* Guards against a run whose checkpoint is left out of all reports. */
static void test_each_checkpoint_is_sent(void **state)
{
	char sent[512] = { 0 };
	size_t i, k, first = 0;

	for (i = 0; i < sizeof(sent) / 16; i++) {
		struct report *report =
			report_new(sizeof(sent), 0, RUN_CHECKPOINT_MAX);

		first = workreport_fit(&report->msg.u.work_report, first);
		for (k = 0; k < sizeof(sent); k++)
			sent[k] |= *report->runs[k].checkpoint != '\0';
		report_free(report);
	}
	for (k = 0; k < sizeof(sent); k++)
		assert_true(sent[k]);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_names_all_and_can_be_sent),
		cmocka_unit_test(test_each_checkpoint_is_sent),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
