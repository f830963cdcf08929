#ifndef CATKINHILL_AGENT_COUNTERS_H
#define CATKINHILL_AGENT_COUNTERS_H

#include "counters.h"
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
	struct counter requests[OUTCOME_UNKNOWN + 1]; /* by outcome */
	struct counter refusals[REFUSAL_COUNT];
	struct counter fenced;
	struct counter tasks[TASK_STATE_COUNT];
	struct counter gauges[GAUGE_COUNT];
	struct counter links;
	struct counter throttles[INTERFERENCE_REASON_COUNT];
	struct counter evictions[INTERFERENCE_REASON_COUNT];
	struct counter excess;
	char labels[OUTCOME_UNKNOWN + 1 + REFUSAL_COUNT + TASK_STATE_COUNT +
		    2 * INTERFERENCE_REASON_COUNT][NAME_SIZE];
};

void agent_counters_init(struct agent_counters *counters,
			 struct counter_set *set);

/* Removes the metrics from their set, which may outlive the agent. */
void agent_counters_clear(struct agent_counters *counters);

void agent_counters_gate(struct agent_counters *counters,
			 const struct gate *gate);

#endif
