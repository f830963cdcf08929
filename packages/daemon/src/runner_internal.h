#ifndef CATKINHILL_RUNNER_INTERNAL_H
#define CATKINHILL_RUNNER_INTERNAL_H

#include "httpd.h"
#include "kv.h"
#include "list.h"
#include "platformjson.h"
#include "registration.h"
#include "runner.h"
#include "scheduler.h"
#include "transport.h"
#include "workercall.h"

/*
 * NAME
 *	runner_internal - what the sources of the runner share
 */

/* Reports whose time of sending is remembered, for the leases they get. */
#define REPORT_RING_SIZE 64

#define PACE_UNKNOWN 255

/* A run that the worker lists, or that was ordered. */
struct local_run {
	struct list node;
	struct runner *runner;
	struct task_id task;
	uint32_t run;
	enum run_phase phase;
	char *payload;
	char *checkpoint;
	char *detail;
	uint32_t fills;
	uint32_t latency_target_ms;
	uint32_t progress;    /* percent */
	uint32_t pace_target; /* wanted, percent */
	uint32_t pace_sent;   /* confirmed by the worker */
	int pace_in_flight;   /* a pace call is in progress */
	uint32_t load;
	int attempts;
	int unanswered_starts; /* start calls without an answer */
	int call_in_flight;    /* a start or stop is in progress */
	int stop_requested;
	int is_confirmed; /* a later list without it proves its absence */
	struct mstime confirmed_at;
	struct mstime retry_at;
	struct mstime ended_at; /* gone or refused; reported for a while */
};

struct runner {
	struct daemon *daemon;
	struct kv *kv;
	struct registration *registration;
	struct scheduler *scheduler;
	struct httpd *httpd;
	struct transport *transport;
	struct workercall *calls;

	/* The worker; id is "" until it announces itself. */
	struct worker_target target;
	struct announcement worker;
	int is_bound;			/* to the worker of this announcement */
	uint64_t deregistered_start_ms; /* a worker born so or earlier has left
					 */

	/* The scheduler that is obeyed. */
	uint64_t epoch;
	char scheduler_peer[ID_SIZE * 2];

	/* Reports. */
	uint64_t session;
	uint64_t report_seq;
	struct mstime report_sent_at[REPORT_RING_SIZE];
	struct mstime reported_at;
	struct loop_timer *report_timer;
	int report_is_scheduled;

	/* Lists of the worker. */
	struct list runs;
	size_t run_count;
	struct run_ended *ends;
	size_t end_count;
	uint64_t ends_seen; /* stored by the scheduler */
	uint64_t listed_fence;
	struct mstime listed_at; /* last answer of the worker */
	struct mstime hold_sent_at;
	int hold_in_flight;
	struct loop_timer *hold_timer;
	int hold_call_arg; /* names the calls of the hold loop */

	/* Lease and clock of the worker. */
	struct mstime lease_end;
	int64_t worker_clock_ms;
	struct mstime worker_clock_at;

	/* Pace of filling runs. */
	uint32_t pace_percent;
	struct mstime slowed_at;
	struct mstime last_orders_at; /* last orders of the scheduler */

	struct loop_timer *tick_timer;
	struct loop_timer *stop_timer;
	stopped_fn stopped;
	void *stopped_arg;

	struct counter starts, starts_refused, stops, holds, holds_failed;
	struct counter reports, paces;
	struct histogram start_ms;
};

/* Reports soon; several changes share a report. */
void runner_schedule_report(struct runner *runner);
void runner_report_now(void *arg);

/* Reads the lists of the worker at once. */
void runner_hold(struct runner *runner);
void runner_hold_restart(struct runner *runner);

/* The lease as a time of the worker's clock; 0 when it has ended. */
int64_t runner_lease_until_ms(const struct runner *runner);

void runner_apply_orders(struct runner *runner,
			 const struct msg_work_orders *orders);

/* Starts and stops that are due. */
void runner_send_due(struct runner *runner);

struct local_run *local_run_find(struct runner *runner,
				 const struct task_id *task, uint32_t run);
struct local_run *local_run_new(struct runner *runner,
				const struct task_id *task, uint32_t run,
				enum run_phase phase);
void local_run_delete(struct local_run *run);

/* Sends paces that differ from those in force. */
void runner_send_paces(struct runner *runner);

/* Share of its target of the slowest serving run, percent; -1: none. */
int64_t runner_worst_latency_percent(const struct runner *runner);

#endif
