#ifndef CATKINHILL_AGENT_STATE_H
#define CATKINHILL_AGENT_STATE_H

#include "agent.h"
#include "agent_counters.h"
#include "evict.h"
#include "gate.h"
#include "grants.h"
#include "httpc.h"
#include "interference.h"
#include "list.h"
#include "loop.h"
#include "rng.h"
#include "taskapi.h"
#include "transport.h"

/*
 * NAME
 *	agent_state - what the parts of the agent share
 */
#define AGENT_ANNOUNCE_INTERVAL_MS 1000
#define AGENT_LEAVE_ANNOUNCE_INTERVAL_MS 200
/* The gate closes before the 2 s that an entry may still send new work. */
#define AGENT_GATE_CLOSE_DELAY_MS 1500
#define AGENT_LINK_SILENT_AFTER_MS 5000

/* One entry, as the agent sees it. */
struct agent_link {
	struct list node;
	struct agent *agent;
	struct transport *transport;
	char address[ID_SIZE];
	char entry_id[ID_SIZE]; /* who answered the last announcement, or "" */
	int is_seed;		/* named by the settings: never given up */
	int answering; /* heard from within AGENT_LINK_SILENT_AFTER_MS */
	int answered;  /* heard from at all */
	struct mstime last_message_at;
	struct mstime last_listed_at; /* last time an entry named it */
	uint64_t directory_hash; /* of the list that this entry sent last */
	struct mstime config_sent_at; /* configuration last sent to it */
};

struct agent {
	struct daemon *daemon;
	struct gate gate;
	struct grants grants;
	struct agent_counters counters;
	struct rng rng;

	enum agent_state state;
	const char *state_reason; /* why it is not ready */
	int worker_known;   /* GET /tasks has been answered since the start */
	int worker_down;    /* the task interface does not answer */
	int upstream_down;  /* the last connection to it was refused */
	int domain_drained; /* the configuration drains this domain */
	int stopping;	    /* agent_stop() was called */
	int closed_for_leaving; /* the gate was closed for leaving */
	struct mstime leaving_at;
	stopped_fn on_stopped;
	void *on_stopped_arg;
	struct loop_timer *leave_timer;
	struct loop_timer *upstream_retry_timer;

	/* agent_links.c */
	struct list links;
	struct loop_timer *announce_timer;
	uint64_t announce_seq;
	struct mstime announce_tick_at;
	struct mstime store_read_at;

	/* agent_requests.c */
	struct list requests;
	struct httpc_pool *upstream_pool;	/* reuses connections */
	struct httpc_pool *upstream_fresh_pool; /* a new connection each */
	struct loop_timer *request_timer;
	size_t request_body_bytes; /* of all requests */
	int64_t latency_ewma_us;

	/* agent_interference.c */
	struct interference interference;
	int64_t latency_sum_us; /* sum of the latencies since the last tick */
	uint32_t latency_count; /* their number */

	/* agent_evict.c */
	struct evict_window eviction_window;

	/* agent_tasks.c */
	struct list tasks;
	struct taskapi *taskapi;
	struct loop_timer *task_timer;
	struct loop_timer *report_timer;
	uint64_t report_seq;
	uint64_t report_round;
	struct mstime full_report_at; /* of all runs */
	int report_all;		      /* in the next round */
	uint64_t list_round;
	int overcommitted; /* reservations are above the capacity */
	int list_in_flight;
	int consecutive_list_failures;
	struct mstime list_sent_at;
	struct list owners; /* struct agent_owner */
};

/* Derives state and gate from the facts above; announces a change. */
void agent_update_state(struct agent *agent);

/* A newer configuration is in force. */
void agent_on_config(struct agent *agent);

/* Ends a stop that has nothing left to wait for. */
void agent_check_stopped(struct agent *agent);

#endif
