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
 *	agent_state - state that the modules of the agent share
 */
#define AGENT_ANNOUNCE_INTERVAL_MS 1000
#define AGENT_LEAVE_ANNOUNCE_INTERVAL_MS 200
/*
 * Time from the start of leaving until the gate closes; less than the 2 s for
 * which an entry may still send new work.
 */
#define AGENT_GATE_CLOSE_DELAY_MS 1500
#define AGENT_LINK_SILENT_AFTER_MS 5000

/* Connection to one entry. */
struct agent_link {
	struct list node;
	struct agent *agent;
	struct transport *transport;
	char address[ID_SIZE];
	char entry_id[ID_SIZE];	    /* id in the last acknowledgement, or "" */
	uint64_t entry_incarnation; /* in the same; 0: none has come */
	int is_seed;		    /* named by the settings: never removed */
	int answering; /* a message came within AGENT_LINK_SILENT_AFTER_MS */
	int answered;  /* a message has come at all */
	struct mstime last_message_at;
	struct mstime last_listed_at; /* last time an entry listed it */
	uint64_t directory_hash; /* of the last entry list from this entry */
	struct mstime config_sent_at; /* when the configuration was last sent */
};

struct agent {
	struct daemon *daemon;
	struct gate gate;
	struct grants grants;
	struct agent_counters counters;
	struct rng rng;

	enum agent_state state;
	const char *state_reason; /* why it is not ready or is leaving */
	int worker_known;	  /* GET /tasks has succeeded since the start */
	int worker_down;	  /* the task interface does not answer */
	int upstream_down;	  /* the last attempt to connect failed */
	int domain_drained; /* this domain is drained in the configuration */
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
	struct httpc_pool *upstream_fresh_pool; /* one connection a request */
	struct loop_timer *request_timer;
	size_t request_body_bytes; /* of all requests */
	int64_t latency_ewma_us;

	/* agent_interference.c */
	struct interference interference;
	int64_t latency_sum_us; /* since the last interference tick */
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
	struct mstime full_report_at; /* last report of all runs */
	int report_all;		      /* the next round reports all runs */
	uint64_t list_round;
	int overcommitted; /* reservations are above the capacity */
	int list_in_flight;
	int consecutive_list_failures;
	struct mstime list_sent_at;
	struct list owners; /* struct agent_owner */
};

/* Derives the state and the gate from the flags above; announces a change. */
void agent_update_state(struct agent *agent);

/* Applies a newer configuration, which is in force now. */
void agent_on_config(struct agent *agent);

/* Completes a graceful stop that has nothing left to wait for. */
void agent_check_stopped(struct agent *agent);

#endif
