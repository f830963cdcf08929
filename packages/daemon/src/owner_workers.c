#include <stdlib.h>
#include <string.h>

#include "hash.h"
#include "mem.h"
#include "owner_internal.h"

/*
 * A run counts here until the agent's next announcements include it; the
 * agent's own ledger has the last word.
 */
#define LOAD_LAG_MS 2500

struct team_row {
	uint64_t team;
	uint32_t tasks[DOMAINS_MAX]; /* by domain */
};

struct worker_index {
	struct worker_view *views;
	const struct member **members;
	size_t count, capacity;
	uint32_t *table; /* open addressing; index + 1, or 0 */
	size_t table_size;
	char domains[DOMAINS_MAX][NAME_SIZE];
	uint32_t domain_count;
	struct team_row *teams;
	size_t team_count, team_capacity;
};

struct worker_index *worker_index_new(void)
{
	return xcalloc(1, sizeof(struct worker_index));
}

void worker_index_delete(struct worker_index *index)
{
	if (!index)
		return;
	free(index->views);
	free(index->members);
	free(index->table);
	free(index->teams);
	free(index);
}

static void grow(struct worker_index *index, size_t count)
{
	if (count > index->capacity) {
		index->capacity = count * 2;
		index->views = xrealloc(
			index->views, index->capacity * sizeof(*index->views));
		index->members =
			xrealloc(index->members,
				 index->capacity * sizeof(*index->members));
		index->table_size = index->capacity * 2 + 1;
		index->table =
			xrealloc(index->table,
				 index->table_size * sizeof(*index->table));
	}
	if (index->table)
		memset(index->table, 0,
		       index->table_size * sizeof(*index->table));
}

static uint32_t domain_of(struct worker_index *index, const char *domain)
{
	uint32_t i = 0;

	while (i < index->domain_count && strcmp(index->domains[i], domain))
		i++;
	if (i == index->domain_count && i < DOMAINS_MAX) {
		str_copy(index->domains[i], domain, NAME_SIZE);
		index->domain_count++;
	}
	return i < DOMAINS_MAX ? i : DOMAINS_MAX - 1;
}

static void insert(struct worker_index *index, uint64_t hash, size_t i)
{
	size_t pos = hash % index->table_size;

	while (index->table[pos])
		pos = (pos + 1) % index->table_size;
	index->table[pos] = (uint32_t)i + 1;
}

static void add_member(struct worker_index *index, struct owner *owner,
		       const struct member *member, struct mstime now)
{
	size_t i = index->count++;
	struct worker_view *view = &index->views[i];

	memset(view, 0, sizeof(*view));
	view->agent = member->agent;
	view->agent_hash = hash_str(member->agent);
	view->domain = domain_of(index, member->domain);
	view->capacity = member->capacity;
	view->used = member->load.used;
	view->evictable = member->evictable;
	view->requests_in_flight = member->load.in_flight;
	view->request_slots = member->slots;
	view->usable = member_usable(owner->membership, member, now) != 0;
	view->drained =
		member->state == AGENT_LEAVING ||
		config_domain_drained(&owner->daemon->config, member->domain);
	view->ejected =
		taskhealth_ejected(owner->health, view->agent_hash, now);
	index->members[i] = member;
	insert(index, view->agent_hash, i);
}

static void add(struct resources *sum, const struct resources *need)
{
	sum->cpu_milli += need->cpu_milli;
	sum->mem_mb += need->mem_mb;
	sum->accel += need->accel;
}

static void add_job(struct worker_index *index, const struct job *job,
		    int64_t pause_ms, struct mstime now)
{
	int i = worker_index_find(index, job->agent);

	if (i < 0)
		return;
	worker_index_add_task(index, i, job->team);
	if (job->listed && mstime_diff(now, job->started_at) >= LOAD_LAG_MS)
		return;
	worker_index_reserve(index, i, &job->reserved);
	/* Otherwise a recent run would hide its VM from urgent work. */
	if (!job->urgent &&
	    (!job->evicted || mstime_diff(now, job->evicted_at) >= pause_ms))
		add(&index->views[i].evictable, &job->reserved);
}

void worker_index_build(struct worker_index *index, struct owner *owner)
{
	int64_t pause_ms = owner_limit(owner, LIMIT_EVICT_PAUSE_MS);
	struct mstime now = owner_now();
	struct list *pos;
	uint32_t i;

	index->count = 0;
	index->domain_count = 0;
	index->team_count = 0;
	grow(index, owner->membership->count);
	list_for_each (pos, &owner->membership->members)
		add_member(index, owner, list_entry(pos, struct member, node),
			   now);
	quota_clear(owner->quota);
	for (i = 0; i < owner->slot_count; i++) {
		if (owner->slots[i].state != SLOT_OWNED)
			continue;
		list_for_each (pos, &owner->slots[i].partition->jobs) {
			const struct job *job =
				list_entry(pos, struct job, node);

			if (!job_active(job))
				continue;
			add_job(index, job, pause_ms, now);
			quota_add(owner->quota, job->team, &job->reserved, 1);
		}
	}
}

struct worker_view *worker_index_views(struct worker_index *index,
				       size_t *count)
{
	*count = index->count;
	return index->views;
}

int worker_index_find(const struct worker_index *index, const char *agent)
{
	size_t pos;

	if (!index->count)
		return -1;
	pos = hash_str(agent) % index->table_size;
	while (index->table[pos]) {
		uint32_t i = index->table[pos] - 1;

		if (!strcmp(index->views[i].agent, agent))
			return (int)i;
		pos = (pos + 1) % index->table_size;
	}
	return -1;
}

const struct member *worker_index_member(const struct worker_index *index,
					 int i)
{
	return index->members[i];
}

static struct team_row *find_team(struct worker_index *index, uint64_t team)
{
	size_t i;

	for (i = 0; i < index->team_count; i++)
		if (index->teams[i].team == team)
			return &index->teams[i];
	return NULL;
}

const uint32_t *worker_index_team_tasks(struct worker_index *index,
					const char *team, uint32_t *count)
{
	const struct team_row *row = find_team(index, hash_str(team));

	*count = index->domain_count;
	return row ? row->tasks : NULL;
}

void worker_index_add_task(struct worker_index *index, int i, const char *team)
{
	uint64_t hash = hash_str(team);
	struct team_row *row = find_team(index, hash);

	if (!row && index->team_count < TEAMS_MAX) {
		if (index->team_count == index->team_capacity) {
			index->team_capacity = index->team_capacity * 2 + 8;
			index->teams = xrealloc(index->teams,
						index->team_capacity *
							sizeof(*index->teams));
		}
		row = &index->teams[index->team_count++];
		memset(row, 0, sizeof(*row));
		row->team = hash;
	}
	if (row)
		row->tasks[index->views[i].domain]++;
}

void worker_index_reserve(struct worker_index *index, int i,
			  const struct resources *need)
{
	add(&index->views[i].used, need);
}
