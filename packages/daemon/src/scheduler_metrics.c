#include <stdio.h>

#include "scheduler_internal.h"

void scheduler_metrics_init(struct scheduler *scheduler)
{
	struct metric_set *set = &scheduler->daemon->metrics;
	int i;

	scheduler->commits = (struct metric){
		.name = "catkinhill_scheduler_commits_total",
		.help = "Transactions that stored progress of workflows.",
	};
	scheduler->commits_failed = (struct metric){
		.name = "catkinhill_scheduler_commit_failures_total",
		.help = "Transactions without an answer that settles them.",
	};
	scheduler->runs_assigned = (struct metric){
		.name = "catkinhill_scheduler_runs_assigned_total",
		.help = "Runs that were assigned to workers.",
	};
	scheduler->runs_lost = (struct metric){
		.name = "catkinhill_scheduler_runs_lost_total",
		.help = "Runs that ended without a listed end.",
	};
	scheduler->commit_ms = (struct histogram){
		.name = "catkinhill_scheduler_commit_ms",
		.help = "Time until a change was stored.",
	};
	scheduler->workflow_ms = (struct histogram){
		.name = "catkinhill_scheduler_workflow_ms",
		.help = "Time from submission to the end of a workflow.",
	};
	scheduler->pass_ms = (struct histogram){
		.name = "catkinhill_scheduler_pass_ms",
		.help = "Time of a pass that assigns tasks to workers.",
	};
	scheduler->lag_ms = (struct histogram){
		.name = "catkinhill_scheduler_lag_ms",
		.help = "How late the timer of the active scheduler is.",
	};
	scheduler->waiting = (struct metric){
		.kind = METRIC_GAUGE,
		.name = "catkinhill_scheduler_waiting_workflows",
		.help = "Workflows of which no worker has begun a task.",
	};
	scheduler->backlog_count = (struct metric){
		.kind = METRIC_GAUGE,
		.name = "catkinhill_scheduler_backlog_jobs",
		.help = "Jobs beyond those in memory; they are in the store.",
	};
	scheduler->memory = (struct metric){
		.kind = METRIC_GAUGE,
		.name = "catkinhill_scheduler_workflow_bytes",
		.help = "Memory, about, of the workflows.",
	};
	scheduler->evaluations = (struct metric){
		.name = "catkinhill_scheduler_evaluations_total",
		.help = "Evaluations of a worker for a task, in this term.",
	};
	scheduler->unsaved = (struct metric){
		.kind = METRIC_GAUGE,
		.name = "catkinhill_scheduler_unsaved_workflows",
		.help = "Workflows whose last change is not stored.",
	};
	scheduler->idle_ms = (struct metric){
		.kind = METRIC_GAUGE,
		.name = "catkinhill_scheduler_idle_ms",
		.help = "Longest time that a workflow could run and has no "
			"run.",
	};
	scheduler->look_ms = (struct metric){
		.kind = METRIC_GAUGE,
		.name = "catkinhill_scheduler_look_ms",
		.help = "Longest time since a pass has looked at a workflow.",
	};
	scheduler->reservations = (struct metric){
		.kind = METRIC_GAUGE,
		.name = "catkinhill_scheduler_reservations",
		.help = "Workers that keep room for large tasks.",
	};
	scheduler->reserved_ms = (struct metric){
		.kind = METRIC_GAUGE,
		.name = "catkinhill_scheduler_reserved_wait_ms",
		.help = "Longest time that a large task with a reservation has "
			"waited.",
	};
	scheduler->evacuations = (struct metric){
		.kind = METRIC_GAUGE,
		.name = "catkinhill_scheduler_evacuated_domains",
		.help = "Failure domains whose workers get no work.",
	};
	metric_register(set, &scheduler->waiting);
	metric_register(set, &scheduler->evacuations);
	metric_register(set, &scheduler->backlog_count);
	metric_register(set, &scheduler->memory);
	metric_register(set, &scheduler->unsaved);
	metric_register(set, &scheduler->idle_ms);
	metric_register(set, &scheduler->look_ms);
	metric_register(set, &scheduler->reservations);
	metric_register(set, &scheduler->reserved_ms);
	for (i = PLACEMENT_NOT_READY; i < PLACEMENT_BLOCK_COUNT; i++) {
		snprintf(scheduler->unplaced_labels[i], NAME_SIZE,
			 "reason=\"%s\"",
			 placement_block_name((enum placement_block)i));
		scheduler->unplaced[i] = (struct metric){
			.kind = METRIC_GAUGE,
			.name = "catkinhill_scheduler_unplaced_workflows",
			.labels = scheduler->unplaced_labels[i],
			.help = "Workflows with a task that found no worker, "
				"by what ruled most workers out.",
		};
		metric_register(set, &scheduler->unplaced[i]);
	}
	metric_register(set, &scheduler->evaluations);
	metric_register(set, &scheduler->commits);
	metric_register(set, &scheduler->commits_failed);
	metric_register(set, &scheduler->runs_assigned);
	metric_register(set, &scheduler->runs_lost);
	histogram_register(set, &scheduler->commit_ms);
	histogram_register(set, &scheduler->workflow_ms);
	histogram_register(set, &scheduler->pass_ms);
	histogram_register(set, &scheduler->lag_ms);
}

/* While the process is not elected, nothing waits here. */
void scheduler_metrics_update(struct scheduler *scheduler, struct mstime now)
{
	struct dispatch_waiting waiting = { 0 };
	int i;

	scheduler->metrics_at = now;
	if (scheduler->dispatch) {
		dispatch_count_waiting(scheduler->dispatch, &waiting, now);
	} else {
		scheduler->waiting.value = 0;
		scheduler->evacuations.value = 0;
	}
	scheduler->memory.value =
		scheduler->dispatch
			? (int64_t)dispatch_memory(scheduler->dispatch)
			: 0;
	scheduler->unsaved.value = waiting.unsaved;
	scheduler->idle_ms.value = waiting.idle_ms;
	scheduler->look_ms.value = waiting.look_ms;
	scheduler->reservations.value = waiting.reservations;
	scheduler->reserved_ms.value = waiting.reserved_ms;
	for (i = PLACEMENT_NOT_READY; i < PLACEMENT_BLOCK_COUNT; i++)
		scheduler->unplaced[i].value = waiting.by_block[i];
}
