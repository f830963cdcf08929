#ifndef CATKINHILL_PARTITION_INTERNAL_H
#define CATKINHILL_PARTITION_INTERNAL_H

#include "partition.h"

/* Adds a job to the list, the hash table and the counts. */
void partition_add_job(struct partition *partition, struct job *job);

/* Removes a job from all of them and frees it. */
void partition_remove_job(struct partition *partition, struct job *job);

/* A removed job whose removal is not yet committed. */
struct removed_job {
	struct list node; /* of partition.removed, by version */
	uint64_t version;
	char id[ID_SIZE];
};

/* Records a change of the job under a new partition version. */
void job_touch(struct partition *partition, struct job *job);

/* Sets the state and its reason, and records the change. */
void job_set_state(struct partition *partition, struct job *job,
		   enum job_state state, const char *reason);

/* Ends the job in the given final state. */
void job_end(struct partition *partition, struct job *job, enum job_state state,
	     const char *reason, struct mstime now);

#endif
