#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "admin.h"
#include "errors.h"
#include "mem.h"
#include "owner_internal.h"

#define JOBS_MAX 2000

/*
 * A request that may need partitions of other owners, which are read from
 * the store one after the other.
 */
struct query {
	struct admin_request *request;
	char job[ID_SIZE]; /* "" for all */
	int explain;
	uint32_t next, end; /* partitions */
	json_t *jobs;
	int found;
	int incomplete;
};

static void query_step(struct owner *owner, struct query *query);

static json_t *render_resources(const struct resources *res)
{
	return json_pack("{s:I, s:I, s:I}", "cpu_milli",
			 (json_int_t)res->cpu_milli, "mem_mb",
			 (json_int_t)res->mem_mb, "accel",
			 (json_int_t)res->accel);
}

static json_t *render_job(const struct partition *partition,
			  const struct job *job)
{
	return json_pack(
		"{s:s, s:s, s:s, s:b, s:i, s:I, s:s, s:o, s:i, s:i, s:b}",
		"job", job->id, "team", job->team, "state",
		job_state_name(job->state), "urgent", job->urgent, "partition",
		(int)partition->number, "run", (json_int_t)job->run, "agent",
		job->agent, "declared", render_resources(&job->declared),
		"tries", (int)job->failed_runs, "evictions",
		(int)job->evictions, "committed",
		job->version <= partition->committed_version);
}

static json_t *render_explained(const struct partition *partition,
				const struct job *job, const char *holder,
				int owned)
{
	json_t *root = render_job(partition, job);
	const char *reason = job->reason;

	if (!*reason)
		reason = owned ? "not looked at yet"
			       : "only the owner knows why it waits";
	json_object_set_new(root, "reason", json_string(reason));
	json_object_set_new(root, "owner", json_string(holder));
	json_object_set_new(root, "epoch",
			    json_integer((json_int_t)partition->epoch));
	json_object_set_new(root, "checkpoint", json_string(job->checkpoint));
	json_object_set_new(root, "reserved", render_resources(&job->reserved));
	json_object_set_new(root, "observed", render_resources(&job->used));
	return root;
}

static void add_jobs(struct query *query, const struct partition *partition)
{
	struct list *pos;

	list_for_each (pos, &partition->jobs) {
		const struct job *job = list_entry(pos, struct job, node);

		if (json_array_size(query->jobs) == JOBS_MAX) {
			query->incomplete = 1;
			return;
		}
		json_array_append_new(query->jobs, render_job(partition, job));
	}
}

static void look_at(struct owner *owner, struct query *query,
		    const struct partition *partition, int owned)
{
	const struct slot *slot = &owner->slots[partition->number];
	const char *holder =
		owned ? owner->daemon->settings->id : slot->own_key_holder;
	const struct job *job;

	if (!query->job[0]) {
		add_jobs(query, partition);
		return;
	}
	job = partition_find(partition, query->job);
	if (!job)
		return;
	query->found = 1;
	admin_reply(query->request, 200,
		    query->explain
			    ? render_explained(partition, job, holder, owned)
			    : render_job(partition, job));
}

static void query_delete(struct query *query)
{
	json_decref(query->jobs);
	free(query);
}

static void on_inbox(void *arg, int err, const struct store_item *item)
{
	struct query *query = ((struct owner_call *)arg)->arg;
	struct owner_call call;

	if (!owner_call_end(arg, &call)) {
		query_delete(query);
		return;
	}
	if (!err)
		admin_reply(query->request, 200,
			    json_pack("{s:s, s:s, s:s}", "job", query->job,
				      "state", "submitted", "reason",
				      "waits until its partition's owner takes "
				      "it from the inbox"));
	else if (err == ERR_NOT_FOUND)
		admin_reply_error(query->request, 404, err,
				  "no job %s is known", query->job);
	else
		admin_reply_error(query->request, 503, err,
				  "the store does not answer");
	query_delete(query);
}

static void look_in_inbox(struct owner *owner, struct query *query)
{
	struct owner_call *call = owner_call_new(owner, NULL);
	char key[32 + ID_SIZE];

	call->arg = query;
	snprintf(key, sizeof(key), "inbox/%u/%s",
		 job_partition(query->job, owner->slot_count), query->job);
	store_get(owner->daemon->store, key, on_inbox, call);
}

static void query_end(struct owner *owner, struct query *query)
{
	if (query->job[0] && !query->found && !query->incomplete) {
		look_in_inbox(owner, query);
		return;
	}
	if (query->job[0] && !query->found)
		admin_reply_error(query->request, 503, ERR_UNAVAILABLE,
				  "the job's partition cannot be read");
	else if (!query->job[0])
		admin_reply(query->request, 200,
			    json_pack("{s:O, s:b}", "jobs", query->jobs,
				      "incomplete", query->incomplete));
	query_delete(query);
}

static void on_partition(void *arg, int err, const struct store_item *items,
			 size_t count)
{
	struct query *query = ((struct owner_call *)arg)->arg;
	struct partstore_state stored;
	struct partition *partition;
	struct owner_call call;

	if (!owner_call_end(arg, &call)) {
		query_delete(query);
		return;
	}
	partition = partition_new((uint32_t)call.number);
	if (!err)
		err = partstore_replay(partition, items, count, owner_now(),
				       &stored);
	if (!err)
		look_at(call.owner, query, partition, 0);
	else if (err != ERR_NOT_FOUND)
		query->incomplete = 1;
	partition_delete(partition);
	query_step(call.owner, query);
}

static void query_step(struct owner *owner, struct query *query)
{
	struct owner_call *call;

	while (query->next < query->end && !query->found) {
		struct slot *slot = &owner->slots[query->next++];

		if (slot->state == SLOT_OWNED) {
			look_at(owner, query, slot->partition, 1);
			continue;
		}
		call = owner_call_new(owner, NULL);
		call->arg = query;
		call->number = slot->number;
		partstore_read(owner->daemon->store, slot->number, on_partition,
			       call);
		return;
	}
	query_end(owner, query);
}

static void start_query(struct owner *owner, struct admin_request *request,
			const char *job, int explain)
{
	struct query *query;

	if (!owner->slot_count) {
		admin_reply_error(request, 503, ERR_UNAVAILABLE,
				  "the configuration is not known yet");
		return;
	}
	query = xcalloc(1, sizeof(*query));
	query->request = request;
	query->explain = explain;
	query->jobs = json_array();
	query->end = owner->slot_count;
	if (job) {
		str_copy(query->job, job, sizeof(query->job));
		query->next = job_partition(query->job, owner->slot_count);
		query->end = query->next + 1;
	}
	query_step(owner, query);
}

static void on_jobs(void *arg, struct admin_request *request)
{
	start_query(arg, request, NULL, 0);
}

static int check_job(struct admin_request *request, const char *job)
{
	if (*job && strlen(job) < ID_SIZE)
		return 0;
	admin_reply_error(request, 400, ERR_INVALID,
			  "the path must end in the id of a job");
	return ERR_INVALID;
}

static void on_job(void *arg, struct admin_request *request)
{
	const char *job = admin_request_subpath(request);

	if (!check_job(request, job))
		start_query(arg, request, job, 0);
}

static void on_explain(void *arg, struct admin_request *request)
{
	const char *job = admin_request_subpath(request);

	if (!check_job(request, job))
		start_query(arg, request, job, 1);
}

void owner_api_register(struct owner *owner)
{
	struct admin *admin = owner->daemon->admin;

	if (!admin)
		return;
	admin_register(admin, "GET", "/v1/jobs", on_jobs, owner);
	admin_register(admin, "GET", "/v1/jobs/", on_job, owner);
	admin_register(admin, "GET", "/v1/explain/job/", on_explain, owner);
}
