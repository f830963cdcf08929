#ifndef CATKINHILL_GRANTS_MODEL_H
#define CATKINHILL_GRANTS_MODEL_H

#include <stdint.h>

#include "grants.h"
#include "rng.h"

#define GRANT_MS 20000
#define LEASE_MS 10000
#define HOLDOVER_MS 40000
#define MARGIN_MS 2000
#define STOPPED_AFTER_MS (GRANT_MS + 2 * LEASE_MS + MARGIN_MS)

/*
 * Model of owners, agents and workers. The agents rely on these rules, which
 * the owners follow:
 * - A run is committed before its start command is sent.
 * - A new run of a job is created only after an agent has reported the end of
 *   the previous one, or after STOPPED_AFTER_MS without a report.
 * - Start commands, and acks of reports that list a pending run, need a
 *   confirmed store lease.
 * - Without a store lease, an owner acks reports for HOLDOVER_MS, and only of
 *   agents that it acked while it held the lease.
 * - A report that lists a replaced run is answered with a stop command and no
 *   ack.
 * - The wait of HOLDOVER_MS after a takeover ends early for agents whose
 *   report carries the new epoch.
 */
#define AGENTS 3
#define JOBS 3
#define OWNERS 64
#define STEP_MS 100
#define AGENT_TASKS_MAX 1024 /* runs of one agent in a whole simulation */
#define PACKETS_MAX 512
#define SIMULATED_MS 600000

enum packet_kind {
	START,
	STOP,
	ACK,
	REPORT
};

struct report_entry {
	uint64_t run; /* 0: the job is not listed */
	enum grant_phase phase;
};

struct packet {
	int used;
	int64_t deliver_at;
	enum packet_kind kind;
	int agent, owner, job;
	uint64_t run, seq, incarnation, epoch;
	struct report_entry entries[JOBS];
};

struct owned_job {
	uint64_t run;
	int agent, active, stopping;
	int64_t stopped_at, resend_at;
};

struct owner {
	int alive, lease_confirmed;
	int64_t lost_store_at;
	struct owned_job jobs[JOBS];
	uint64_t acked[AGENTS]; /* incarnation acked under the lease */
	int epoch_confirmed[AGENTS];
};

struct worker_task {
	uint64_t run;
	int alive;
	int64_t lease_until, renew_at; /* renew_at: renewal in flight, or 0 */
};

struct agent {
	struct grants grants;
	struct grant_task tasks[AGENT_TASKS_MAX];
	int count;
	uint64_t incarnation, seq;
	int64_t paused_until, report_at;
	struct worker_task worker[JOBS];
};

struct model {
	struct rng rng;
	int64_t now;
	struct packet packets[PACKETS_MAX];
	struct agent agents[AGENTS];
	struct owner owners[OWNERS];
	int current;
	int link_down[AGENTS][OWNERS];
	int starts, fenced, timed_out;
};

#endif
