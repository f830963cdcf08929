#include <stdlib.h>

#include "mem.h"
#include "owner_internal.h"

struct owner_counters {
	struct metric counters[OWNER_COUNTER_COUNT];
	struct histogram commit_ms;
};

#define JOB_GAUGE(job_state)                                                   \
	[OWNER_JOBS + (job_state)] = {                                         \
		.kind = METRIC_GAUGE,                                          \
		.name = "catkinhill_batch_jobs",                               \
		.help = "Batch jobs of owned partitions by state.",            \
	}

#define TOTAL(counter, metric, text)                                           \
	[counter] = { .kind = METRIC_COUNTER, .name = metric, .help = text }

static const struct metric templates[OWNER_COUNTER_COUNT] = {
	JOB_GAUGE(JOB_QUEUED),
	JOB_GAUGE(JOB_STARTING),
	JOB_GAUGE(JOB_RUNNING),
	JOB_GAUGE(JOB_STOPPING),
	JOB_GAUGE(JOB_DONE),
	JOB_GAUGE(JOB_FAILED),
	JOB_GAUGE(JOB_CANCELLED),
	JOB_GAUGE(JOB_IMPOSSIBLE),
	TOTAL(OWNER_STARTS, "catkinhill_batch_starts_total",
	      "Runs created by placement."),
	TOTAL(OWNER_EVICTIONS, "catkinhill_batch_evictions_total",
	      "Runs stopped with a checkpoint for urgent work or a drain."),
	TOTAL(OWNER_LOST_RUNS, "catkinhill_batch_lost_runs_total",
	      "Runs that count as stopped because they were not heard of."),
	TOTAL(OWNER_FAILED_RUNS, "catkinhill_batch_failed_runs_total",
	      "Runs reported as failed or lost."),
	TOTAL(OWNER_COMMITS, "catkinhill_batch_commits_total",
	      "Commits of partitions that took effect."),
	TOTAL(OWNER_COMMIT_BYTES, "catkinhill_batch_commit_bytes_total",
	      "Bytes of snapshots and log entries sent, before base64."),
	TOTAL(OWNER_SNAPSHOTS, "catkinhill_batch_snapshots_total",
	      "Commits that wrote a snapshot."),
	TOTAL(OWNER_CONFLICTS, "catkinhill_batch_conflicts_total",
	      "Commits refused because the value had changed."),
	TOTAL(OWNER_UNSETTLED, "catkinhill_batch_unsettled_total",
	      "Commits whose outcome had to be read back."),
	TOTAL(OWNER_TAKEOVERS, "catkinhill_batch_takeovers_total",
	      "Partitions taken over."),
	TOTAL(OWNER_FENCED, "catkinhill_batch_fenced_total",
	      "Partitions given up to another owner."),
	TOTAL(OWNER_STALE_RUNS, "catkinhill_batch_stale_runs_total",
	      "Reported runs that must not run."),
	[OWNER_PARTITIONS] = { .kind = METRIC_GAUGE,
			       .name = "catkinhill_batch_partitions",
			       .help = "Partitions that this entry owns." },
};

static const char *const job_labels[JOB_STATE_COUNT] = {
	"state=\"queued\"",    "state=\"starting\"",   "state=\"running\"",
	"state=\"stopping\"",  "state=\"done\"",       "state=\"failed\"",
	"state=\"cancelled\"", "state=\"impossible\"",
};

struct owner_counters *owner_counters_new(struct metric_set *set)
{
	struct owner_counters *counters = xcalloc(1, sizeof(*counters));
	size_t i;

	for (i = 0; i < OWNER_COUNTER_COUNT; i++) {
		counters->counters[i] = templates[i];
		if (i < OWNER_STARTS)
			counters->counters[i].labels = job_labels[i];
		metric_register(set, &counters->counters[i]);
	}
	counters->commit_ms.name = "catkinhill_batch_commit_ms";
	counters->commit_ms.help =
		"Time from the start of a commit to its known outcome.";
	histogram_register(set, &counters->commit_ms);
	return counters;
}

void owner_counters_delete(struct owner_counters *counters)
{
	size_t i;

	for (i = 0; i < OWNER_COUNTER_COUNT; i++)
		list_del(&counters->counters[i].node);
	list_del(&counters->commit_ms.node);
	free(counters);
}

void owner_counter_increment(struct owner *owner, enum owner_counter counter)
{
	owner_counter_add(owner, counter, 1);
}

void owner_counter_add(struct owner *owner, enum owner_counter counter,
		       int64_t amount)
{
	owner->counters->counters[counter].value += amount;
}

void owner_counters_observe_commit(struct owner *owner, int64_t latency_ms)
{
	owner_counter_increment(owner, OWNER_COMMITS);
	histogram_observe(&owner->counters->commit_ms, latency_ms);
}

void owner_counters_update_gauges(struct owner *owner)
{
	struct metric *counters = owner->counters->counters;
	uint32_t i, state;

	for (state = 0; state < JOB_STATE_COUNT; state++)
		counters[OWNER_JOBS + state].value = 0;
	counters[OWNER_PARTITIONS].value = 0;
	for (i = 0; i < owner->slot_count; i++) {
		const struct slot *slot = &owner->slots[i];

		if (slot->state != SLOT_OWNED)
			continue;
		counters[OWNER_PARTITIONS].value++;
		for (state = 0; state < JOB_STATE_COUNT; state++)
			counters[OWNER_JOBS + state].value +=
				slot->partition->counts[state];
	}
}
