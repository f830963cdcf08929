#include "agent_counters.h"

#include <stdio.h>
#include <string.h>

static const struct {
	const char *name;
	const char *help;
} gauges[] = {
	[GAUGE_SLOTS] = { "catkinhill_agent_slots_used",
			  "Requests that hold a slot." },
	[GAUGE_CONNECTIONS] = { "catkinhill_agent_connections_used",
				"Requests and streams at the upstream." },
	[GAUGE_QUEUED] = { "catkinhill_agent_queued",
			   "Requests that wait for a slot." },
	[GAUGE_CPU] = { "catkinhill_agent_cpu_milli_reserved",
			"Processor time reserved by tasks, in 1/1000 core." },
	[GAUGE_MEM] = { "catkinhill_agent_mem_mb_reserved",
			"Memory reserved by tasks, in MB." },
	[GAUGE_ACCEL] = { "catkinhill_agent_accel_reserved",
			  "Accelerators reserved by tasks." },
};

static void add(struct metric_set *set, struct metric *counter,
		enum metric_kind kind, const char *name, const char *help)
{
	counter->kind = kind;
	counter->name = name;
	counter->help = help;
	metric_register(set, counter);
}

static void label(struct metric *counter, char *text, const char *key,
		  const char *value)
{
	snprintf(text, NAME_SIZE, "%s=\"%s\"", key, value);
	counter->labels = text;
}

static void add_interference(struct agent_counters *counters,
			     struct metric_set *set, char (*text)[NAME_SIZE])
{
	int i;

	for (i = 0; i < INTERFERENCE_REASON_COUNT; i++) {
		label(&counters->throttles[i], *text++, "reason",
		      interference_reason_name(i));
		add(set, &counters->throttles[i], METRIC_COUNTER,
		    "catkinhill_agent_throttles_total",
		    "Changes of the speed of tasks, by reason.");
	}
	for (i = 0; i < INTERFERENCE_REASON_COUNT; i++) {
		label(&counters->evictions[i], *text++, "reason",
		      interference_reason_name(i));
		add(set, &counters->evictions[i], METRIC_COUNTER,
		    "catkinhill_agent_evictions_total",
		    "Tasks evicted by the agent itself, by reason.");
	}
	add(set, &counters->latency_excess_percent, METRIC_GAUGE,
	    "catkinhill_agent_latency_excess_percent",
	    "Latency of the service over its baseline.");
}

void agent_counters_init(struct agent_counters *counters,
			 struct metric_set *set)
{
	char(*text)[NAME_SIZE] = counters->labels;
	int i;

	memset(counters, 0, sizeof(*counters));
	for (i = 0; i <= OUTCOME_UNKNOWN; i++) {
		label(&counters->requests[i], *text++, "outcome",
		      outcome_name(i));
		add(set, &counters->requests[i], METRIC_COUNTER,
		    "catkinhill_agent_requests_total",
		    "Requests that ended, by outcome.");
	}
	for (i = 0; i < REFUSAL_COUNT; i++) {
		label(&counters->refusals[i], *text++, "reason",
		      refusal_name(i));
		add(set, &counters->refusals[i], METRIC_COUNTER,
		    "catkinhill_agent_refusals_total",
		    "Requests that were refused, by reason.");
	}
	for (i = 0; i < TASK_STATE_COUNT; i++) {
		label(&counters->tasks[i], *text++, "state",
		      task_state_name(i));
		add(set, &counters->tasks[i], METRIC_GAUGE,
		    "catkinhill_agent_tasks", "Task runs known, by state.");
	}
	add(set, &counters->fenced_messages, METRIC_COUNTER,
	    "catkinhill_agent_fenced_total",
	    "Messages of owners refused for an old epoch or run.");
	for (i = 0; i < GAUGE_COUNT; i++)
		add(set, &counters->gauges[i], METRIC_GAUGE, gauges[i].name,
		    gauges[i].help);
	add(set, &counters->answering_links, METRIC_GAUGE,
	    "catkinhill_agent_links", "Entries that answer the announcements.");
	add_interference(counters, set, text);
}

static void remove_all(struct metric *counters, int count)
{
	int i;

	for (i = 0; i < count; i++)
		list_del(&counters[i].node);
}

void agent_counters_remove(struct agent_counters *counters)
{
	remove_all(counters->requests, OUTCOME_UNKNOWN + 1);
	remove_all(counters->refusals, REFUSAL_COUNT);
	remove_all(counters->tasks, TASK_STATE_COUNT);
	remove_all(&counters->fenced_messages, 1);
	remove_all(counters->gauges, GAUGE_COUNT);
	remove_all(&counters->answering_links, 1);
	remove_all(counters->throttles, INTERFERENCE_REASON_COUNT);
	remove_all(counters->evictions, INTERFERENCE_REASON_COUNT);
	remove_all(&counters->latency_excess_percent, 1);
}

void agent_counters_update_gauges(struct agent_counters *counters,
				  const struct gate *gate)
{
	struct resources reserved = gate_reserved(gate);

	counters->gauges[GAUGE_SLOTS].value = gate->slots_used;
	counters->gauges[GAUGE_CONNECTIONS].value = gate->connections_used;
	counters->gauges[GAUGE_QUEUED].value = gate->queued;
	counters->gauges[GAUGE_CPU].value = reserved.cpu_milli;
	counters->gauges[GAUGE_MEM].value = reserved.mem_mb;
	counters->gauges[GAUGE_ACCEL].value = reserved.accel;
}
