#include "quota.h"

#include <stdlib.h>
#include <string.h>

#include "hash.h"
#include "mem.h"

#define QUOTA_BUCKETS 256

struct team_sum {
	struct team_sum *next;
	char team[ID_SIZE];
	int64_t cpu_milli, mem_mb, accel;
};

struct quota {
	struct team_sum *buckets[QUOTA_BUCKETS];
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
			struct team_sum *sum = quota->buckets[i];

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

static struct team_sum *find_sum(const struct quota *quota, const char *team)
{
	struct team_sum *sum = quota->buckets[hash_str(team) % QUOTA_BUCKETS];

	while (sum && strcmp(sum->team, team))
		sum = sum->next;
	return sum;
}

void quota_add(struct quota *quota, const char *team,
	       const struct resources *need, int sign)
{
	struct team_sum *sum = find_sum(quota, team);

	if (!sum) {
		struct team_sum **bucket =
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

static int is_below(int64_t sum, uint32_t bound, uint32_t partitions,
		    uint32_t owned)
{
	return !bound || sum * partitions < (int64_t)bound * owned;
}

int quota_has_headroom(const struct quota *quota, const struct config *config,
		       const char *team, uint32_t partitions, uint32_t owned)
{
	const struct resources *bound = config_quota(config, team);
	const struct team_sum *sum = find_sum(quota, team);

	if (!bound || !sum || !owned)
		return 1;
	return is_below(sum->cpu_milli, bound->cpu_milli, partitions, owned) &&
	       is_below(sum->mem_mb, bound->mem_mb, partitions, owned) &&
	       is_below(sum->accel, bound->accel, partitions, owned);
}
