/* Checkpoints of gangs, whose members must all start with the same one. */
#include "dispatch.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "mem.h"

#define EPOCH 7
#define JOB "00000000000000aa"
#define MEMBERS 3
#define EVENTS_MAX 8
#define COUNT(table) (sizeof(table) / sizeof((table)[0]))

/* One worker for each member. */
struct sim {
	struct dispatch *dispatch;
	int64_t now_ms;
	uint64_t seq;
	struct vm {
		char runner[8], id[8];
		uint64_t start_ms, end_number;
		struct run_order order; /* the last one */
		char checkpoint[16];	/* of the order */
	} vms[MEMBERS];
};

enum kind {
	NOTHING,
	SAVES,	/* lists a checkpoint */
	BREAKS, /* ends as another member did */
	IS_LOST /* with its worker */
};

struct event {
	enum kind kind;
	uint32_t member; /* by its index */
	const char *checkpoint;
};

static struct mstime at(int64_t ms)
{
	return mstime_from(100000 + ms);
}

static struct workflow *new_gang(void)
{
	struct queue_config queue = { .name = "q", .service = "s" };
	struct workflow_spec spec = { .step_count = 1 };
	const char *reason;

	str_copy(spec.id, JOB, sizeof(spec.id));
	spec.payload = xstrdup("p");
	spec.steps = xcalloc(1, sizeof(*spec.steps));
	spec.steps[0].task_count = MEMBERS;
	spec.steps[0].need.cpu_milli = 1000;
	spec.steps[0].gang = 1;
	spec.steps[0].checkpointing = 1;
	assert_int_equal(workflow_spec_check(&spec, &reason), 0);
	return workflow_new(&spec, &queue, 0);
}

static void report(struct sim *sim, struct vm *vm, struct run_status *run,
		   struct ended_run *end)
{
	struct worker *worker =
		dispatch_get_worker(sim->dispatch, vm->runner, at(sim->now_ms));
	struct msg_work_report msg = { .epoch = EPOCH,
				       .seq = ++sim->seq,
				       .session = 1,
				       .worker_start_ms = vm->start_ms,
				       .state = WORKER_READY,
				       .service = "s",
				       .fence = worker->fence,
				       .capacity = { .cpu_milli = 1000 },
				       .runs = { run, run != NULL },
				       .ends = { end, end != NULL } };

	str_copy(msg.worker, vm->id, sizeof(msg.worker));
	assert_int_equal(dispatch_report(sim->dispatch, vm->runner, &msg,
					 at(++sim->now_ms)),
			 0);
}

/* Each worker gets one start. */
static void start_all(struct sim *sim)
{
	struct workflow *workflow;
	size_t i;

	sim->now_ms += 200;
	assert_int_equal(dispatch_assign(sim->dispatch, at(sim->now_ms)),
			 MEMBERS);
	while ((workflow =
			dispatch_next_unsaved(sim->dispatch, at(sim->now_ms))))
		dispatch_mark_saved(sim->dispatch, workflow, workflow->version);
	for (i = 0; i < MEMBERS; i++) {
		struct vm *vm = &sim->vms[i];
		struct msg_work_orders orders;

		assert_true(dispatch_build_orders(
			sim->dispatch,
			dispatch_get_worker(sim->dispatch, vm->runner,
					    at(sim->now_ms)),
			1, &orders, at(sim->now_ms)));
		assert_int_equal(orders.starts.count, 1);
		vm->order = orders.starts.items[0];
		snprintf(vm->checkpoint, sizeof(vm->checkpoint), "%s",
			 vm->order.checkpoint ? vm->order.checkpoint : "");
	}
}

static struct vm *vm_of(struct sim *sim, uint32_t member)
{
	size_t i = 0;

	while (sim->vms[i].order.task.index != member)
		i++;
	return &sim->vms[i];
}

static void replace_worker(struct sim *sim, struct vm *vm)
{
	vm->id[0] = 'n';
	vm->start_ms++;
	vm->end_number = 0;
	report(sim, vm, NULL, NULL);
	report(sim, vm, NULL, NULL);
}

static void play(struct sim *sim, const struct event *event)
{
	struct vm *vm = vm_of(sim, event->member);
	struct run_status run = { .task = vm->order.task,
				  .run = vm->order.run,
				  .phase = RUN_ACTIVE,
				  .checkpoint = event->checkpoint,
				  .detail = "" };
	struct ended_run end = { .task = vm->order.task,
				 .run = vm->order.run,
				 .how = RUN_END_GANG_BROKEN,
				 .checkpoint = event->checkpoint };

	switch (event->kind) {
	case NOTHING:
		break;
	case SAVES:
		report(sim, vm, &run, NULL);
		break;
	case BREAKS:
		end.number = ++vm->end_number;
		report(sim, vm, NULL, &end);
		break;
	case IS_LOST:
		replace_worker(sim, vm);
		break;
	}
}

static void start(struct sim *sim)
{
	size_t i;

	memset(sim, 0, sizeof(*sim));
	sim->dispatch =
		dispatch_new(&dispatch_defaults, EPOCH, at(0), NULL, NULL);
	for (i = 0; i < MEMBERS; i++) {
		struct vm *vm = &sim->vms[i];

		snprintf(vm->runner, sizeof(vm->runner), "r%zu", i);
		snprintf(vm->id, sizeof(vm->id), "w%zu", i);
		vm->start_ms = 5;
		report(sim, vm, NULL, NULL);
		report(sim, vm, NULL, NULL);
	}
	dispatch_add(sim->dispatch, new_gang(), at(sim->now_ms));
	start_all(sim);
}

static void check_checkpoints(const struct sim *sim, const char *expected)
{
	size_t i;

	for (i = 0; i < MEMBERS; i++)
		assert_string_equal(sim->vms[i].checkpoint, expected);
}

/*
 * Guards against members that are started with different checkpoints and wait
 * for each other in vain, over and over (review/13).
 */
static void test_restart(void **state)
{
	static const struct {
		const char *name, *expected;
		struct event events[EVENTS_MAX];
	} cases[] = {
		{ "nothing saved",
		  "",
		  { { IS_LOST, 0, "" },
		    { BREAKS, 1, "" },
		    { BREAKS, 2, "" } } },
		{ "one is lost, the others save more at their end",
		  "c",
		  { { SAVES, 0, "b" },
		    { SAVES, 1, "b" },
		    { SAVES, 2, "b" },
		    { IS_LOST, 0, "" },
		    { BREAKS, 1, "c" },
		    { BREAKS, 2, "c" } } },
		{ "only one has told",
		  "b",
		  { { SAVES, 2, "b" },
		    { IS_LOST, 0, "" },
		    { BREAKS, 1, "" },
		    { IS_LOST, 2, "" } } },
		{ "a report of the lost one comes last",
		  "c",
		  { { SAVES, 1, "b" },
		    { BREAKS, 1, "c" },
		    { BREAKS, 2, "c" },
		    { SAVES, 0, "b" },
		    { IS_LOST, 0, "" } } },
		{ "the last one to save goes before",
		  "c",
		  { { SAVES, 0, "b" },
		    { SAVES, 1, "b" },
		    { SAVES, 1, "c" },
		    { SAVES, 0, "b" },
		    { IS_LOST, 0, "" },
		    { IS_LOST, 1, "" },
		    { IS_LOST, 2, "" } } },
	};
	size_t i, k;

	for (i = 0; i < COUNT(cases); i++) {
		struct sim sim;

		print_message("%s\n", cases[i].name);
		start(&sim);
		check_checkpoints(&sim, "");
		for (k = 0; k < EVENTS_MAX; k++)
			play(&sim, &cases[i].events[k]);
		start_all(&sim);
		check_checkpoints(&sim, cases[i].expected);
		dispatch_delete(sim.dispatch);
	}
}

/* Guards against a takeover after which starts are repeated with others. */
static void test_stored(void **state)
{
	static const struct event events[] = {
		{ SAVES, 1, "b" },
		{ IS_LOST, 0, "" },
		{ BREAKS, 1, "c" },
		{ BREAKS, 2, "" },
	};
	struct task_id id = { JOB, 0, 0, 0 };
	struct workflow *taken = new_gang();
	struct sim sim;
	char *text;
	size_t i;

	start(&sim);
	for (i = 0; i < COUNT(events); i++)
		play(&sim, &events[i]);
	start_all(&sim);
	text = workflow_encode(dispatch_find_workflow(sim.dispatch, JOB));
	assert_int_equal(workflow_decode(taken, text, strlen(text)), 0);
	for (; id.index < MEMBERS; id.index++) {
		const struct workflow_task *task =
			workflow_find_task(taken, &id);

		assert_non_null(task->checkpoint);
		assert_string_equal(task->checkpoint, "c");
	}
	free(text);
	workflow_delete(taken);
	dispatch_delete(sim.dispatch);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_restart),
		cmocka_unit_test(test_stored),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
