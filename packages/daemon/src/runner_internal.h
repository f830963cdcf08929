#ifndef CATKINHILL_RUNNER_INTERNAL_H
#define CATKINHILL_RUNNER_INTERNAL_H

#include "httpd.h"
#include "kv.h"
#include "list.h"
#include "msglink.h"
#include "platformjson.h"
#include "registration.h"
#include "runner.h"
#include "scheduler.h"
#include "workercall.h"

/*
 * NAME
 *	runner_internal - declarations shared by the sources of the runner
 */

/*
 * Send times of the last reports; the lease that the scheduler grants for a
 * report starts when the report was sent.
 */
#define REPORT_RING_SIZE 64

/* The worker's pace is not known and has to be sent. */
#define PACE_UNKNOWN 255

/* A run that the worker lists or that the scheduler has ordered. */
struct local_run {
	struct list node;
	struct runner *runner;
	struct task_id task;
	uint32_t run;
	enum run_phase phase;
	char *payload;
	char *checkpoint;
	char *detail;
	uint32_t best_effort; /* flag: uses CPU left over by others */
	uint32_t latency_target_ms;
	uint32_t progress;    /* percent */
	uint32_t pace_target; /* percent */
	uint32_t pace_sent;   /* percent, or PACE_UNKNOWN */
	int pace_in_flight;   /* a pace call has no response yet */
	uint32_t
		latency_or_cpu; /* latency in ms if it has a target, else cpu */
	int unanswered_starts;	/* start calls whose outcome is unknown */
	int call_in_flight;	/* a start or stop has no response yet */
	int stop_requested;
	int is_confirmed; /* by the worker; gone if a later list lacks it */
	struct mstime confirmed_at;
	struct mstime retry_at;
	struct mstime ended_at;		  /* gone or refused; still reported */
	struct mstime checkpoint_sent_at; /* in a report; 0: not yet */
	int has_long_checkpoint;	  /* which is logged once */
};

struct runner {
	struct daemon *daemon;
	struct kv *kv;
	struct registration *registration;
	struct scheduler *scheduler;
	struct httpd *httpd;
	struct msglink_server *links; /* from schedulers */
	struct workercall *calls;

	/* The worker; target.id is "" until it has announced itself. */
	struct worker_target target;
	struct announcement worker;
	int is_bound;		/* a worker has announced itself */
	int has_left;		/* the bound worker has ended, or will soon */
	struct list candidates; /* announced, not confirmed by themselves */

	/* The scheduler with the highest epoch seen. */
	uint64_t epoch;
	char scheduler_peer[MSGLINK_PEER_SIZE];
	struct mstime heard_at; /* last message of it, or disconnection */

	/* Reports to the scheduler. */
	uint64_t session;
	uint64_t report_seq;
	struct mstime report_sent_at[REPORT_RING_SIZE];
	struct mstime reported_at;
	struct loop_timer *report_timer;
	struct mstime report_due_at;
	size_t first_checkpoint; /* see workreport_fit() */

	/* Runs and ends that the worker lists. */
	struct list runs;
	size_t run_count;
	struct ended_run *ends;
	size_t end_count;
	uint64_t ends_seen;	 /* number of the last end that is stored */
	uint64_t listed_fence;	 /* under which the lists were read */
	struct mstime listed_at; /* last time that the lists were read */
	struct mstime hold_sent_at;
	int hold_in_flight;
	struct loop_timer *hold_timer;
	int hold_call_arg; /* its address is the argument of hold calls */
	/* Start of the worker at the other end of the poll connection, or 0. */
	uint64_t answered_start_ms;
	int connections_lost; /* in a row, each after a single response */

	/* Lease of the runs, and the worker's clock when last read. */
	struct mstime lease_end;
	struct mstime granted_until; /* to this or an earlier process here */
	int64_t worker_clock_ms;
	struct mstime worker_clock_at;

	/* Pace of best-effort runs. */
	uint32_t pace_percent;
	struct mstime slowed_at;
	struct mstime last_orders_at;

	struct loop_timer *tick_timer;
	struct loop_timer *stop_timer;
	stopped_fn on_stopped;
	void *on_stopped_arg;

	struct metric starts, starts_refused, stops, holds, holds_failed;
	struct metric reports, paces;
	struct histogram start_ms;
};

/*
 * Handle calls that arrive at the announcements address. Whoever calls there
 * may not be the worker: one that is not bound yet is asked first, at its own
 * address, whether it has the announced id and start.
 */
void runner_handle_announcement(struct runner *runner, const char *id,
				struct httpd_request *request);
void runner_handle_deregistration(struct runner *runner, const char *id,
				  struct httpd_request *request);
void runner_candidates_clear(struct runner *runner);

/* Forgets all that is known of the worker's runs and ends. */
void runner_clear_lists(struct runner *runner);

/* Changes that arrive within the delay share a report. */
#define REPORT_DELAY_MS 2
/* Nothing waits for the report of a start, which is one of many. */
#define REPORT_START_DELAY_MS 150

/* Sends a report within delay_ms. */
void runner_schedule_report(struct runner *runner, int64_t delay_ms);
void runner_report_now(void *arg);

/* Sends the checkpoints of all runs again, as to a new scheduler. */
void runner_repeat_checkpoints(struct runner *runner);

/*
 * Starts a hold call unless one is in progress: it lists the worker's runs and
 * ends, and extends the lease of the runs.
 */
void runner_hold(struct runner *runner);
void runner_hold_restart(struct runner *runner);

/* End of the lease on the worker's clock; 0: expired or clock not known. */
int64_t runner_lease_until_ms(const struct runner *runner);

void runner_apply_orders(struct runner *runner,
			 const struct msg_work_orders *orders);

/* Sends the start and stop calls that are due. */
void runner_send_due(struct runner *runner);

struct local_run *local_run_find(struct runner *runner,
				 const struct task_id *task, uint32_t run);
struct local_run *local_run_new(struct runner *runner,
				const struct task_id *task, uint32_t run,
				enum run_phase phase);
void local_run_delete(struct local_run *run);

/* Sends each pace that differs from the last one sent. */
void runner_send_paces(struct runner *runner);

/*
 * Latency of the slowest serving run in percent of its target; -1: no serving
 * run is active.
 */
int64_t runner_worst_latency_percent(const struct runner *runner);

#endif
