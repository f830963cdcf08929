#ifndef CATKINHILL_PARTITION_INTERNAL_H
#define CATKINHILL_PARTITION_INTERNAL_H

#include "partition.h"

/* Adds a job to the list, the index and the counts. */
void partition_add_job(struct partition *partition, struct job *job);

/* Takes a job off them and releases it. */
void partition_remove_job(struct partition *partition, struct job *job);

/* A job that was forgotten, until a commit has recorded it. */
struct removed_job {
	struct list node; /* of partition.removed, by version */
	uint64_t version;
	char id[ID_SIZE];
};

/* Marks a change of the job. */
void job_touch(struct partition *partition, struct job *job);

/* Changes the state with its reason, and marks the change. */
void job_set_state(struct partition *partition, struct job *job,
		   enum job_state state, const char *reason);

/* Ends the job. */
void job_end(struct partition *partition, struct job *job, enum job_state state,
	     const char *reason, struct mstime now);

#endif
