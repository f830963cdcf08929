#ifndef CATKINHILL_GRANTS_H
#define CATKINHILL_GRANTS_H

#include <stdint.h>

#include "list.h"
#include "message.h"
#include "mstime.h"

/*
 * NAME
 *	grants - which batch runs an agent may keep running, and until when
 *
 * NOTES
 *	The highest epoch seen of each partition is kept; commands of a lower
 *	epoch are refused. The highest run seen of each job is kept as a task;
 *	commands for a lower run are refused.
 *
 *	A run is started, and its lease renewed, only under a valid grant. An
 *	ack of a report grants every run that the report listed until T
 *	(grant_ms) after the report was sent, so an owner must not ack a report
 *	that lists a run which it has replaced. A start command alone grants
 *	nothing: one that is delayed until the owner has given up the run must
 *	not take effect.
 *
 *	An ended run is kept for GRANT_ENDED_KEEP_MS after its owner has acked a
 *	report of the end, so that late commands find it. An end that is not
 *	acked is kept and reported. Of more than GRANT_ENDED_MAX ended runs, the
 *	oldest acked one is removed first, or the oldest if none is acked.
 *
 *	The user embeds the tasks in its own structs; the module allocates only
 *	the entries of the list of partitions.
 *
 * SOURCE
 *	Gray and Cheriton, SOSP 1989 (leases).
 */
#define GRANT_ENDED_KEEP_MS (10 * 60 * 1000)
#define GRANT_ENDED_MAX 1024
#define GRANT_REPORTS_KEPT 16
/* A pending run that no ack confirms expires after this many T. */
#define GRANT_PENDING_FACTOR 1

enum grant_phase {
	GRANT_PENDING, /* commanded; not known to the worker yet */
	GRANT_LIVE,    /* runs at the worker, or may run there */
	GRANT_ENDED    /* does not run at the worker and never will */
};

struct grant_report {
	uint64_t seq;
	struct mstime sent_at;
	int ended; /* the report listed the run as ended */
};

struct grant_task {
	struct list node;
	uint32_t partition;
	char job[ID_SIZE];
	uint64_t run;
	enum grant_phase phase;
	int granted; /* deadline is the end of a grant; see apply_ack() */
	struct mstime deadline;
	struct mstime ended_at; /* after end_acked: when the end was acked */
	int end_acked;
	struct grant_report reports[GRANT_REPORTS_KEPT]; /* the latest */
	uint32_t report_count;
};

struct grant_partition {
	struct list node;
	uint32_t partition;
	uint64_t epoch;
};

struct grants {
	struct list tasks;
	struct list partitions;
	int64_t grant_ms; /* T */
};

void grants_init(struct grants *grants, int64_t grant_ms);

/* Frees the partitions; empties the list of tasks without freeing them. */
void grants_clear(struct grants *grants);

/* RETURN VALUE: highest epoch seen of the partition, or 0. */
uint64_t grants_epoch(const struct grants *grants, uint32_t partition);

/*
 * Updates the epoch of a partition from any message of an owner. After a higher
 * one the ended runs of the partition are reported again, because what the
 * previous owner knew of them may have been lost with it.
 *
 * RETURN VALUE
 *	1 when it is higher than the one known, 0 when equal, ERR_FENCED when
 *	lower.
 */
int grants_advance_epoch(struct grants *grants, uint32_t partition,
			 uint64_t epoch);

/* RETURN VALUE: the highest run known of the job, or NULL. */
struct grant_task *grants_find(const struct grants *grants, const char *job);

/*
 * Checks whether a command for a run is still valid, and updates the epoch.
 * *task is set to the highest run known of the job, or to NULL.
 *
 * ERRORS
 *	ERR_FENCED	a lower epoch, or a higher run of the job is known
 *	ERR_NOT_FOUND	the run is not known here, and no lower run of the job
 *			may still be active
 *	ERR_CONFLICT	a lower run of the job may still be active here; *task
 *			is set to it, and it must be stopped first
 */
int grants_check_command(struct grants *grants, uint32_t partition,
			 uint64_t epoch, const char *job, uint64_t run,
			 struct grant_task **task);

/*
 * Adds a run that grants_check_command() did not find, as GRANT_PENDING. The
 * code that calls this first removes the ended lower run of the job, if any,
 * and sets task->phase if the run is in another phase.
 */
void grants_add(struct grants *grants, struct grant_task *task,
		uint32_t partition, const char *job, uint64_t run,
		struct mstime now);
void grants_remove(struct grants *grants, struct grant_task *task);

/* Marks a run that the worker does not run and never will. */
void grants_end(struct grant_task *task, struct mstime now);

/* RETURN VALUE: 1 if reports of its partition must list the run. */
int grants_reportable(const struct grant_task *task);

/* Records that report seq, sent now, lists the run. */
void grants_record_report(struct grant_task *task, uint64_t seq,
			  struct mstime now);

/*
 * Applies the ack of a report. recorded is 0 if the owner could not write the
 * ends of runs in it to the store; they are then reported again.
 *
 * RETURN VALUE
 *	Number of runs that the report had listed; ERR_FENCED for a lower
 *	epoch.
 */
int grants_ack(struct grants *grants, uint32_t partition, uint64_t epoch,
	       uint64_t seq, int recorded, struct mstime now);

/* RETURN VALUE: 1 if the run may be started or its lease renewed at now. */
int grants_valid(const struct grant_task *task, struct mstime now);

/*
 * RETURN VALUE
 *	1 if the run must be stopped, or dropped if it is pending: its grant has
 *	expired, or no grant arrived in time.
 */
int grants_expired(const struct grant_task *task, struct mstime now);

/* RETURN VALUE: an ended run that may be removed, or NULL. */
struct grant_task *grants_find_removable(const struct grants *grants,
					 struct mstime now);

#endif
