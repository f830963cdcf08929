#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <time.h>

#include "dispatch.h"
#include "errors.h"
#include "mem.h"

/*
 * NAME
 *	bench_dispatch - cost of the scheduler's decisions by size
 *
 * NOTES
 *	Workers of 64 cores, each with two serving runs, and a backlog of
 *	best-effort tasks of 100 images that no worker has room for. Prints a
 *	table and a JSON row for each size:
 *	decision_us	assigning a step of 13 tasks, for each task: the
 *			difference of two rounds, rough beside a long backlog
 *	pass_ms		the longest call of dispatch_assign()
 *	event_us	a report with the end of a run, and the orders for it
 *	memory_mb	peak of the process so far
 */
#define EPOCH 7
#define IMAGES 100
#define BACKLOG_TASKS 10 /* of a workflow */
#define STEP_TASKS 13
#define STEPS 50
#define EVENTS 2000

#define COUNT(table) (sizeof(table) / sizeof((table)[0]))

struct result {
	double decision_us, pass_ms, event_us;
};

static int64_t cpu_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return now.tv_sec * 1000000000LL + now.tv_nsec;
}

static struct mstime at(int64_t ms)
{
	return mstime_from(100000 + ms);
}

static void add_workflow(struct dispatch *dispatch, int number, uint32_t tasks,
			 const struct workflow_step *shape, int image)
{
	struct queue_config queue = { .name = "q",
				      .service = "s",
				      .stretch = 2 };
	struct workflow_spec spec = { .step_count = 1 };
	const char *reason;

	snprintf(spec.id, sizeof(spec.id), "%016x", number);
	spec.payload = xstrdup("p");
	spec.steps = xcalloc(1, sizeof(*spec.steps));
	spec.steps[0] = *shape;
	spec.steps[0].task_count = tasks;
	spec.steps[0].image = xstrfmt("image%d", image);
	if (workflow_spec_check(&spec, &reason) ||
	    dispatch_add(dispatch, workflow_new(&spec, &queue, 0), at(0)))
		abort();
}

static void report(struct dispatch *dispatch, struct worker *worker,
		   struct ended_run *end, int64_t ms)
{
	struct msg_work_report msg = { .epoch = EPOCH,
				       .seq = worker->report_seq + 1,
				       .session = 1,
				       .worker_start_ms = 5,
				       .state = WORKER_READY,
				       .service = "s",
				       .fence = worker->fence,
				       .capacity = { .cpu_milli = 64000,
						     .mem_mb = 250000 } };

	str_copy(msg.worker, worker->runner, sizeof(msg.worker));
	msg.ends.items = end;
	msg.ends.count = end != NULL;
	if (dispatch_report(dispatch, worker->runner, &msg, at(ms)))
		abort();
}

static void save(struct dispatch *dispatch, int64_t ms)
{
	struct workflow *workflow;

	while ((workflow = dispatch_next_unsaved(dispatch, at(ms))))
		dispatch_mark_saved(dispatch, workflow, workflow->version);
}

static void send_orders(struct dispatch *dispatch, int64_t ms)
{
	struct msg_work_orders orders;
	struct worker *worker;

	while ((worker = dispatch_next_with_orders(dispatch)))
		while (dispatch_build_orders(dispatch, worker, 1, &orders,
					     at(ms)) &&
		       orders.starts.count == ORDER_STARTS_MAX)
			;
}

/*
 * Passes until a round is complete, with what they assign stored in between.
 *
 * RETURN VALUE: processor time of all passes, in ns
 */
static int64_t assign_round(struct dispatch *dispatch, int64_t ms,
			    struct result *result)
{
	int64_t total = 0;

	do {
		int64_t ns = -cpu_ns();

		dispatch_assign(dispatch, at(ms));
		ns += cpu_ns();
		total += ns;
		if ((double)ns / 1e6 > result->pass_ms)
			result->pass_ms = (double)ns / 1e6;
		save(dispatch, ms);
	} while (dispatch_is_assigning(dispatch));
	return total;
}

static struct dispatch *start(int workers, int backlog, struct result *result)
{
	struct workflow_step serving = { .need = { .cpu_milli = 13000,
						   .mem_mb = 20000 },
					 .latency_target_ms = 50,
					 .long_running = 1 };
	struct workflow_step waiting = { .need = { .cpu_milli = 65000 },
					 .best_effort = 1 };
	struct dispatch *dispatch =
		dispatch_new(&dispatch_defaults, EPOCH, at(0), NULL, NULL);
	int i, number = 0;

	for (i = 0; i < workers; i++) {
		char name[16];
		struct worker *worker;

		snprintf(name, sizeof(name), "r%d", i);
		worker = dispatch_get_worker(dispatch, name, at(0));
		report(dispatch, worker, NULL, 1);
		report(dispatch, worker, NULL, 1);
	}
	for (i = 0; i < workers / 10; i++)
		add_workflow(dispatch, number++, 20, &serving, i % 30);
	assign_round(dispatch, 1, result);
	send_orders(dispatch, 1);
	result->pass_ms = 0;
	for (i = 0; i < backlog / BACKLOG_TASKS; i++)
		add_workflow(dispatch, number++, BACKLOG_TASKS, &waiting,
			     30 + i % IMAGES);
	assign_round(dispatch, 1, result);
	return dispatch;
}

/* Cost above that of a round over the backlog alone. */
static void measure_decisions(struct dispatch *dispatch, struct result *result)
{
	struct workflow_step step = { .need = { .cpu_milli = 10 } };
	int64_t with = 0, without = 0;
	int i;

	for (i = 0; i < STEPS; i++) {
		without += assign_round(dispatch, 2, result);
		add_workflow(dispatch, 0x1000000 + i, STEP_TASKS, &step, 0);
		with += assign_round(dispatch, 2, result);
	}
	result->decision_us =
		(double)(with - without) / 1e3 / STEPS / STEP_TASKS;
	send_orders(dispatch, 2);
}

static void measure_events(struct dispatch *dispatch, struct result *result)
{
	struct list *pos = dispatch_workers(dispatch)->next;
	int64_t ns = 0;
	int events = 0, idle = 0;

	while (events < EVENTS && idle < 100000) {
		struct worker *worker = list_entry(pos, struct worker, node);
		struct ended_run end = { .number = worker->last_end_number + 1,
					 .how = RUN_END_DONE };

		pos = pos->next == dispatch_workers(dispatch) ? pos->next->next
							      : pos->next;
		idle++;
		if (list_empty(&worker->runs))
			continue;
		end.task = list_entry(worker->runs.prev, struct run, node)->id;
		end.run =
			list_entry(worker->runs.prev, struct run, node)->number;
		ns -= cpu_ns();
		report(dispatch, worker, &end, 3);
		save(dispatch, 3);
		send_orders(dispatch, 3);
		ns += cpu_ns();
		events++;
	}
	result->event_us = events ? (double)ns / 1e3 / events : 0;
}

/* The bounds hold at 240 workers, whatever waits. */
static void print_targets(int workers, int backlog, const struct result *result)
{
	const struct {
		const char *name;
		double value, bound;
	} targets[] = {
		{ "decision, us", result->decision_us, 20 },
		{ "longest pass, ms", result->pass_ms, 5 },
		{ "event, us", result->event_us, 10 },
	};
	size_t i;

	if (workers != 240)
		return;
	for (i = 0; i < COUNT(targets); i++)
		printf("{\"bench\":\"dispatch\",\"target\":\"240 workers, %d "
		       "waiting: %s\",\"value\":%.3f,\"bound\":%.0f,"
		       "\"met\":%s}\n",
		       backlog, targets[i].name, targets[i].value,
		       targets[i].bound,
		       targets[i].value <= targets[i].bound ? "true" : "false");
}

static double peak_mb(void)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	return (double)usage.ru_maxrss / 1024;
}

int main(void)
{
	static const int worker_counts[] = { 60, 240, 1000, 5000, 20000 };
	static const int backlogs[] = { 100, 1000, 10000, 100000 };
	size_t i, k;

	printf("workers backlog decision_us pass_ms event_us memory_mb\n");
	for (i = 0; i < COUNT(worker_counts); i++)
		for (k = 0; k < COUNT(backlogs); k++) {
			struct result result = { 0 };
			struct dispatch *dispatch =
				start(worker_counts[i], backlogs[k], &result);

			measure_decisions(dispatch, &result);
			measure_events(dispatch, &result);
			printf("%7d %7d %11.2f %7.2f %8.2f %9.0f\n",
			       worker_counts[i], backlogs[k],
			       result.decision_us, result.pass_ms,
			       result.event_us, peak_mb());
			printf("{\"bench\":\"dispatch\",\"workers\":%d,"
			       "\"backlog\":%d,\"decision_us\":%.3f,"
			       "\"pass_ms\":%.3f,\"event_us\":%.3f,"
			       "\"memory_mb\":%.0f}\n",
			       worker_counts[i], backlogs[k],
			       result.decision_us, result.pass_ms,
			       result.event_us, peak_mb());
			print_targets(worker_counts[i], backlogs[k], &result);
			fflush(stdout);
			dispatch_delete(dispatch);
		}
	return 0;
}
