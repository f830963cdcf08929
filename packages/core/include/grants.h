#ifndef CATKINHILL_GRANTS_H
#define CATKINHILL_GRANTS_H

#include <stdint.h>

#include "list.h"
#include "message.h"
#include "mstime.h"

/*
 * NAME
 *	grants - which batch runs an agent may keep alive, and until when
 *
 * NOTES
 *	The highest epoch of each partition is kept; commands of a lower one
 *	are refused. The highest run of each job is kept as a task; commands
 *	for a lower one are refused.
 *
 *	A run is started and renewed only under a grant. An ack of a report
 *	grants every run that the report listed until T after the report was
 *	sent, so an owner must not ack a report that lists a run which it has
 *	replaced. A start command alone grants nothing: one that was delayed
 *	until the owner has given the run up must not take effect.
 *
 *	An ended run is kept for GRANT_ENDED_KEEP_MS after its owner has acked a
 *	report of the end, so that commands that arrive late find it. An end
 *	that is not acked is kept and reported. Of more than GRANT_ENDED_MAX
 *	ended runs, the oldest acked one is forgotten first.
 *
 *	Tasks are embedded in structs of the user; the module owns only the
 *	list of partitions.
 *
 * SOURCE
 *	Gray and Cheriton, SOSP 1989 (leases).
 */
#define GRANT_ENDED_KEEP_MS (10 * 60 * 1000)
#define GRANT_ENDED_MAX 1024
#define GRANT_REPORTS_KEPT 16
/* A command that no ack confirms is given up after this many T. */
#define GRANT_PENDING_FACTOR 1

enum grant_phase {
	GRANT_PENDING, /* commanded, not known to the worker */
	GRANT_LIVE,    /* the worker runs it, or may run it */
	GRANT_ENDED    /* the worker does not run it and never will */
};

struct grant_report {
	uint64_t seq;
	struct mstime sent_at;
	int ended; /* the report showed the run as ended */
};

struct grant_task {
	struct list node;
	uint32_t partition;
	char job[ID_SIZE];
	uint64_t run;
	enum grant_phase phase;
	int granted; /* deadline is the end of a grant, not of the wait */
	struct mstime deadline;
	struct mstime ended_at; /* or when the end was acked */
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

/* Frees the partitions; forgets the tasks. */
void grants_clear(struct grants *grants);

/* RETURN VALUE: highest epoch seen of the partition, 0 for none. */
uint64_t grants_epoch(const struct grants *grants, uint32_t partition);

/*
 * Takes the epoch of any message of an owner. A higher one makes the ended
 * runs of the partition be reported again, because the owner before may have
 * been lost with them.
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
 * Judges a command for a run and raises the epoch. *task receives the run if
 * it is known.
 *
 * ERRORS
 *	ERR_FENCED	a lower epoch, or a higher run of the job is known
 *	ERR_NOT_FOUND	the run is not known here, and no run of the job is in
 *			the way
 *	ERR_CONFLICT	a lower run of the job may still be alive here; it is
 *			passed as *task and must be stopped first
 */
int grants_check_command(struct grants *grants, uint32_t partition,
			 uint64_t epoch, const char *job, uint64_t run,
			 struct grant_task **task);

/*
 * Adds a run that grants_command() did not know, after removing the ended
 * lower run of the job, if any. task->phase is set by the caller.
 */
void grants_add(struct grants *grants, struct grant_task *task,
		uint32_t partition, const char *job, uint64_t run,
		struct mstime now);
void grants_remove(struct grants *grants, struct grant_task *task);

/* The worker does not run the task and never will. */
void grants_end(struct grant_task *task, struct mstime now);

/* RETURN VALUE: 1 when reports of its partition must list the run. */
int grants_reportable(const struct grant_task *task);

/* A report that lists the run is about to be sent. */
void grants_record_report(struct grant_task *task, uint64_t seq,
			  struct mstime now);

/*
 * Takes the ack of a report. recorded is 0 when the owner could not write the
 * ends in it to the store; they are reported on then.
 *
 * RETURN VALUE
 *	Number of runs that the report had listed; ERR_FENCED for a lower
 *	epoch.
 */
int grants_ack(struct grants *grants, uint32_t partition, uint64_t epoch,
	       uint64_t seq, int recorded, struct mstime now);

/* RETURN VALUE: 1 when the run may be started or renewed at now. */
int grants_valid(const struct grant_task *task, struct mstime now);

/*
 * RETURN VALUE
 *	1 when the run must be stopped, or given up if it is pending: its
 *	grant has expired, or no grant came in time.
 */
int grants_expired(const struct grant_task *task, struct mstime now);

/* RETURN VALUE: an ended run that may be forgotten, or NULL. */
struct grant_task *grants_find_removable(const struct grants *grants,
					 struct mstime now);

#endif
