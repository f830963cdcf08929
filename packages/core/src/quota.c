#include "quota.h"

#include <stdlib.h>
#include <string.h>

#include "hash.h"
#include "mem.h"

#define QUOTA_BUCKETS 256

struct team_usage {
	struct team_usage *next;
	char team[ID_SIZE];
	int64_t cpu_milli, mem_mb, accel;
};

struct quota {
	struct team_usage *buckets[QUOTA_BUCKETS];
};

struct quota *quota_new(void)
{
	return xcalloc(1, sizeof(struct quota));
}

void quota_clear(struct quota *quota)
{
	size_t i;

	for (i = 0; i < QUOTA_BUCKETS; i++)
		while (quota->buckets[i]) {
			struct team_usage *sum = quota->buckets[i];

			quota->buckets[i] = sum->next;
			free(sum);
		}
}

void quota_delete(struct quota *quota)
{
	if (!quota)
		return;
	quota_clear(quota);
	free(quota);
}

static struct team_usage *find_usage(const struct quota *quota,
				     const char *team)
{
	struct team_usage *sum = quota->buckets[hash_str(team) % QUOTA_BUCKETS];

	while (sum && strcmp(sum->team, team))
		sum = sum->next;
	return sum;
}

void quota_add(struct quota *quota, const char *team,
	       const struct resources *need, int sign)
{
	struct team_usage *sum = find_usage(quota, team);

	if (!sum) {
		struct team_usage **bucket =
			&quota->buckets[hash_str(team) % QUOTA_BUCKETS];

		sum = xcalloc(1, sizeof(*sum));
		str_copy(sum->team, team, sizeof(sum->team));
		sum->next = *bucket;
		*bucket = sum;
	}
	sum->cpu_milli += sign * (int64_t)need->cpu_milli;
	sum->mem_mb += sign * (int64_t)need->mem_mb;
	sum->accel += sign * (int64_t)need->accel;
}

static int is_below_limit(int64_t sum, uint32_t limit, uint32_t partitions,
			  uint32_t owned)
{
	return !limit || sum * partitions < (int64_t)limit * owned;
}

int quota_has_headroom(const struct quota *quota, const struct config *config,
		       const char *team, uint32_t partitions, uint32_t owned)
{
	const struct resources *limit = config_quota(config, team);
	const struct team_usage *sum = find_usage(quota, team);

	if (!limit || !sum || !owned)
		return 1;
	return is_below_limit(sum->cpu_milli, limit->cpu_milli, partitions,
			      owned) &&
	       is_below_limit(sum->mem_mb, limit->mem_mb, partitions, owned) &&
	       is_below_limit(sum->accel, limit->accel, partitions, owned);
}
