#ifndef CATKINHILL_GRANTS_MODEL_H
#define CATKINHILL_GRANTS_MODEL_H

#include <stdint.h>

#include "grants.h"
#include "rng.h"

#define T_MS 20000
#define L_MS 10000
#define H_MS 40000
#define MARGIN_MS 2000
#define SILENT_MS (T_MS + 2 * L_MS + MARGIN_MS)

/*
 * A model of owners, agents and workers. Owners follow these rules, on which
 * the agents rely: a run is committed before its start is sent; a new run
 * only follows an end that an agent reported or the silence of SILENT_MS;
 * starts, and acks of runs that are starting, need a confirmed lease of the
 * store; without one, for H_MS, only agents are acked that were acked under
 * it; a report that lists a replaced run is answered with a stop and no ack;
 * the wait of H_MS after a takeover ends early for agents whose report
 * carries the new epoch.
 */
#define AGENTS 3
#define JOBS 3
#define OWNERS 64
#define STEP_MS 100
#define POOL 1024 /* runs at one agent */
#define NET 512
#define RUN_MS 600000

enum kind {
	START,
	STOP,
	ACK,
	REPORT
};

struct row {
	uint64_t run; /* 0: not listed */
	enum grant_phase phase;
};

struct packet {
	int used;
	int64_t at;
	enum kind kind;
	int agent, owner, job;
	uint64_t run, seq, incarnation, epoch;
	struct row rows[JOBS];
};

struct owned {
	uint64_t run;
	int agent, active, stopping;
	int64_t safe_at, resend_at;
};

struct owner {
	int alive, confirmed;
	int64_t lost_store_at;
	struct owned jobs[JOBS];
	uint64_t acked[AGENTS]; /* incarnation acked under the lease */
	int adopted[AGENTS];
};

struct worker_task {
	uint64_t run;
	int alive;
	int64_t lease_until, renew_at; /* renew_at: a renewal on its way */
};

struct agent {
	struct grants grants;
	struct grant_task tasks[POOL];
	int count;
	uint64_t incarnation, seq;
	int64_t paused_until, report_at;
	struct worker_task worker[JOBS];
};

struct world {
	struct rng rng;
	int64_t now;
	struct packet net[NET];
	struct agent agents[AGENTS];
	struct owner owners[OWNERS];
	int current;
	int link_down[AGENTS][OWNERS];
	int starts, fenced, moved;
};

#endif
