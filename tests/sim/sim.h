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
 *	sim - two rival owners, a store and agents in memory
 *
 * NOTES
 *	The owners are the daemon's own code (owner*.c); loop, clock, store
 *	client, transport, admin server and log are replaced. Time is virtual
 *	and everything random comes from one seed, so a schedule can be run
 *	again. Messages are delayed, reordered, duplicated and lost.
 */
#define SIM_OWNERS 2
#define SIM_AGENTS 4
#define SIM_JOBS 12
#define SIM_PARTITIONS 2
#define SIM_TASKS 64

/* A process that can be frozen; its events wait until it goes on. */
struct sim_proc {
	int64_t frozen_until;
	uint64_t life; /* raised when the process dies */
};

struct sim_owner {
	struct sim_proc proc;
	char id[ID_SIZE];
	struct settings settings;
	struct daemon daemon;
	struct membership membership;
	struct owner *owner; /* NULL while dead */
	int stopping, stopped;
	int64_t store_cut_until;
	int64_t agent_cut_until[SIM_AGENTS];
};

enum sim_task_state {
	SIM_PENDING, /* known to the agent, not started */
	SIM_ACTIVE,  /* at the worker */
	SIM_ENDED
};

struct sim_task {
	char job[ID_SIZE];
	uint64_t run;
	uint32_t partition;
	enum sim_task_state state;
	enum task_state end;
	struct resources need;
	uint64_t listed_seq; /* first report that listed its state */
	int64_t lease_until;
	int from, units; /* progress at the start, and now */
};

struct sim_grant {
	uint64_t epoch;
	int owner; /* index, or -1 */
	int64_t until;
};

#define SIM_SENT 64

struct sim_agent {
	struct sim_proc proc;
	int index;
	char id[ID_SIZE];
	uint64_t incarnation;
	uint64_t seq;
	int64_t sent_at[SIM_SENT]; /* by seq modulo */
	struct sim_grant grants[SIM_PARTITIONS];
	uint64_t seen[SIM_JOBS]; /* highest run */
	struct sim_task tasks[SIM_TASKS];
	int count;
	int broken; /* its worker fails everything */
};

/* What really happened to a job, as the checks see it. */
struct sim_job {
	char id[ID_SIZE];
	int total; /* units of work */
	int fails;
	int submitted, cancelled;
	uint64_t run;	    /* last run that a worker started */
	int worker;	    /* of that run */
	int saved;	    /* units of the last checkpoint at a worker */
	int recorded;	    /* units of the checkpoint in the store */
	uint32_t evictions; /* in the store */
	uint64_t stored_run;
	int stored_active; /* that run has not ended in the store */
	int finished;	   /* the last run finished at its worker */
	int ended;	   /* its state in the store is final */
	uint32_t final;	   /* that state */
};

struct sim_world {
	uint64_t seed;
	struct rng rng;
	int64_t now;
	uint32_t loss, duplicate; /* percent */
	int64_t max_delay;
	int64_t store_down_until;
	uint32_t store_loss; /* percent of calls and of answers */
	struct sim_owner owners[SIM_OWNERS];
	struct sim_agent agents[SIM_AGENTS];
	struct sim_job jobs[SIM_JOBS];
	char failure[256]; /* first violation, or "" */
};

extern struct sim_world sim;

/* sim_loop.c */
typedef void (*sim_fn)(void *arg);
void sim_at(int64_t at, struct sim_proc *proc, sim_fn fn, void *arg);
void sim_run_until(int64_t until);
void sim_events_clear(void);
void sim_trace(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
void sim_trace_print(void);
void sim_fail(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
int sim_chance(uint32_t percent);

struct loop *sim_loop_new(struct sim_proc *proc);

/* sim_store.c */
struct store *sim_store_new(struct sim_owner *owner);
void sim_store_reset(void);
/* Puts a key that a submission or cancellation would write. */
void sim_store_put(const char *key, const char *value);
int sim_store_count(const char *prefix);

/* sim_agent.c */
void sim_agent_start(struct sim_agent *agent);
void sim_agent_restart(struct sim_agent *agent);
/* The VM is replaced: nothing of it is left. */
void sim_agent_replace(struct sim_agent *agent);
int sim_agent_holds_end(const struct sim_agent *agent);
struct sim_job *sim_job_find(const char *id);

/* sim_owner.c */
void sim_owner_start(struct sim_owner *owner);
void sim_owner_crash(struct sim_owner *owner);
void sim_send_report(struct sim_agent *agent, int owner,
		     const struct msg_task_report *report);
void sim_announce(struct sim_agent *agent, const struct msg_announce *announce);
/* Called by the transport with a decoded message for an agent. */
void sim_agent_receive(struct sim_agent *agent, int from,
		       const struct message *msg);

#endif
