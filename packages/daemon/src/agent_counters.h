#ifndef CATKINHILL_AGENT_COUNTERS_H
#define CATKINHILL_AGENT_COUNTERS_H

#include "metrics.h"
#include "gate.h"
#include "interference.h"
#include "message.h"

/*
 * NAME
 *	agent_counters - metrics of the agent
 */
enum agent_gauge {
	GAUGE_SLOTS,
	GAUGE_CONNECTIONS,
	GAUGE_QUEUED,
	GAUGE_CPU,
	GAUGE_MEM,
	GAUGE_ACCEL,
	GAUGE_COUNT
};

struct agent_counters {
	struct metric requests[OUTCOME_UNKNOWN + 1]; /* by outcome */
	struct metric refusals[REFUSAL_COUNT];
	struct metric fenced_messages;
	struct metric tasks[TASK_STATE_COUNT];
	struct metric gauges[GAUGE_COUNT];
	struct metric answering_links;
	struct metric throttles[INTERFERENCE_REASON_COUNT];
	struct metric evictions[INTERFERENCE_REASON_COUNT];
	struct metric latency_excess_percent;
	char labels[OUTCOME_UNKNOWN + 1 + REFUSAL_COUNT + TASK_STATE_COUNT +
		    2 * INTERFERENCE_REASON_COUNT][NAME_SIZE];
};

void agent_counters_init(struct agent_counters *counters,
			 struct metric_set *set);

/* Takes the metrics out of their set, which may outlive the agent. */
void agent_counters_remove(struct agent_counters *counters);

void agent_counters_update_gauges(struct agent_counters *counters,
				  const struct gate *gate);

#endif
