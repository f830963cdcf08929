#ifndef CATKINHILL_SIM_H
#define CATKINHILL_SIM_H

#include "admin.h"
#include "daemon.h"
#include "membership.h"
#include "owner.h"
#include "rng.h"
#include "transport.h"

/*
 * NAME
 *	sim - simulation of two competing owners, a store and agents
 *
 * NOTES
 *	The owners run the daemon's own code (owner*.c); event loop, clock,
 *	store client, transport, admin server and log are fakes. Time is
 *	virtual and all random values derive from one seed, so that a schedule
 *	can be repeated. Messages are delayed, reordered, duplicated and lost.
 */
#define SIM_OWNERS 2
#define SIM_AGENTS 4
#define SIM_JOBS 12
#define SIM_PARTITIONS 2
#define SIM_TASKS 64

/* A process that can be frozen; its events are delayed until it resumes. */
struct sim_process {
	int64_t frozen_until;
	uint64_t generation; /* incremented when the process ends */
};

struct sim_owner {
	struct sim_process proc;
	char id[ID_SIZE];
	struct settings settings;
	struct daemon daemon;
	struct membership membership;
	struct owner *owner; /* NULL while not running */
	int stopping, stopped;
	int64_t store_disconnected_until;
	int64_t agent_disconnected_until[SIM_AGENTS];
};

enum sim_task_state {
	SIM_PENDING, /* known to the agent, not started */
	SIM_ACTIVE,  /* running at the worker */
	SIM_ENDED
};

struct sim_task {
	char job[ID_SIZE];
	uint64_t run;
	uint32_t partition;
	enum sim_task_state state;
	enum task_state end_state;
	struct resources reserved;
	uint64_t listed_seq; /* first report that listed its state */
	int64_t lease_expires_at;
	int start_units, units; /* work done at the start, and now */
};

struct sim_grant {
	uint64_t epoch;
	int owner; /* index of the owner, or -1 */
	int64_t expires_at;
};

#define SIM_SENT_COUNT 64

struct sim_agent {
	struct sim_process proc;
	int index;
	char id[ID_SIZE];
	uint64_t incarnation;
	uint64_t seq;
	int64_t sent_at[SIM_SENT_COUNT]; /* indexed by seq % SIM_SENT_COUNT */
	struct sim_grant grants[SIM_PARTITIONS];
	uint64_t highest_run[SIM_JOBS]; /* by job */
	struct sim_task tasks[SIM_TASKS];
	int task_count;
	int fails_all_tasks;
};

/* Actual state of a job at workers and in the store, for the checks. */
struct sim_job {
	char id[ID_SIZE];
	int total_units;
	int has_failing_unit;
	int submitted, cancelled;
	uint64_t run;	      /* last run that a worker started */
	int worker;	      /* index of the agent of that run */
	int checkpoint_units; /* in the last checkpoint at a worker */
	int stored_units;     /* in the checkpoint in the store */
	uint32_t evictions;   /* in the store */
	uint64_t stored_run;
	int stored_run_active; /* that run has not ended in the store */
	int finished;	       /* the last run finished at its worker */
	int ended;	       /* its state in the store is final */
	uint32_t final_state;  /* in the store, if ended */
};

struct sim_world {
	uint64_t seed;
	struct rng rng;
	int64_t now;
	uint32_t loss_percent, duplicate_percent;
	int64_t max_delay_ms;
	int64_t store_down_until;
	uint32_t store_loss_percent; /* of calls and of responses */
	struct sim_owner owners[SIM_OWNERS];
	struct sim_agent agents[SIM_AGENTS];
	struct sim_job jobs[SIM_JOBS];
	char failure[256]; /* first violation, or "" */
};

extern struct sim_world sim;

/* sim_loop.c */
typedef void (*sim_event_fn)(void *arg);
void sim_add_event(int64_t at, struct sim_process *proc, sim_event_fn fn,
		   void *arg);
void sim_run_until(int64_t until);
void sim_events_clear(void);
void sim_trace(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
void sim_trace_print(void);
void sim_fail(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
int sim_chance(uint32_t percent);

struct loop *sim_loop_new(struct sim_process *proc);

/* sim_store.c */
struct store *sim_store_new(struct sim_owner *owner);
void sim_store_reset(void);
/* Writes a key as a submission or cancellation does. */
void sim_store_put(const char *key, const char *value);
int sim_store_count(const char *prefix);

/* sim_agent.c */
void sim_agent_start(struct sim_agent *agent);
void sim_agent_restart(struct sim_agent *agent);
/* Replaces the VM of the agent; all its tasks are lost. */
void sim_agent_replace(struct sim_agent *agent);
int sim_agent_has_unacked_end(const struct sim_agent *agent);
struct sim_job *sim_job_find(const char *id);

/* sim_owner.c */
void sim_owner_start(struct sim_owner *owner);
void sim_owner_crash(struct sim_owner *owner);
void sim_send_report(struct sim_agent *agent, int owner,
		     const struct msg_task_report *report);
void sim_announce(struct sim_agent *agent, const struct msg_announce *announce);
/* Called by the transport with a decoded message for an agent. */
void sim_agent_receive(struct sim_agent *agent, int owner_index,
		       const struct message *msg);

#endif
