#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "hash.h"
#include "log.h"
#include "mem.h"
#include "owner_internal.h"

/* OWNER is repeated to agents with runs of a partition until they report. */
#define ANNOUNCE_MS 2000
/* Given to an agent to list an inherited start after its first report. */
#define INHERITED_MS 5000

static struct agent_link *find_link(const struct slot *slot, const char *agent)
{
	struct list *pos;

	list_for_each (pos, &slot->agents) {
		struct agent_link *link =
			list_entry(pos, struct agent_link, node);

		if (!strcmp(link->agent, agent))
			return link;
	}
	return NULL;
}

struct agent_link *owner_agent_get(struct slot *slot, const char *agent)
{
	struct agent_link *link = find_link(slot, agent);

	if (link)
		return link;
	link = xcalloc(1, sizeof(*link));
	str_copy(link->agent, agent, sizeof(link->agent));
	list_add_tail(&slot->agents, &link->node);
	return link;
}

void owner_agents_free(struct slot *slot)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &slot->agents) {
		list_del(pos);
		free(list_entry(pos, struct agent_link, node));
	}
}

static void send_owner(struct slot *slot, const char *peer)
{
	struct message msg = { .type = MSG_OWNER };

	msg.u.owner.partition = slot->number;
	msg.u.owner.epoch = slot->lease.epoch;
	str_copy(msg.u.owner.entry, slot->owner->daemon->settings->id, ID_SIZE);
	transport_send(slot->owner->transport, peer, &msg);
}

void owner_send_epoch_to_agents(struct slot *slot)
{
	const struct membership *members = slot->owner->membership;
	struct list *pos;

	list_for_each (pos, &members->members)
		send_owner(slot, list_entry(pos, struct member, node)->peer);
}

static void send_stop(struct slot *slot, const char *peer, const char *job,
		      uint64_t run, enum stop_mode mode)
{
	struct message msg = { .type = MSG_TASK_STOP };

	msg.u.task_stop.partition = slot->number;
	msg.u.task_stop.epoch = slot->lease.epoch;
	str_copy(msg.u.task_stop.job, job, ID_SIZE);
	msg.u.task_stop.run = run;
	msg.u.task_stop.mode = mode;
	transport_send(slot->owner->transport, peer, &msg);
}

/* RETURN VALUE: what is left of the pause between two evictions of the job. */
static uint32_t pause_left(const struct owner *owner, const struct job *job)
{
	int64_t left = owner_limit(owner, LIMIT_EVICT_PAUSE_MS) -
		       mstime_diff(owner_now(), job->evicted_at);

	return job->evicted && left > 0 ? (uint32_t)left : 0;
}

static void send_start(struct slot *slot, const char *peer,
		       const struct job *job)
{
	struct message msg = { .type = MSG_TASK_START };

	msg.u.task_start.partition = slot->number;
	msg.u.task_start.epoch = slot->lease.epoch;
	str_copy(msg.u.task_start.job, job->id, ID_SIZE);
	msg.u.task_start.run = job->run;
	msg.u.task_start.reserved = job->reserved;
	msg.u.task_start.checkpoint = job->checkpoint;
	msg.u.task_start.command = job->command;
	msg.u.task_start.urgent = job->urgent != 0;
	msg.u.task_start.eviction_pause_ms = pause_left(slot->owner, job);
	transport_send(slot->owner->transport, peer, &msg);
}

static void send_ack(struct slot *slot, struct agent_link *link, int recorded)
{
	struct message msg = { .type = MSG_TASK_REPORT_ACK };
	struct mstime now = owner_now();
	int known = !strcmp(link->extended_peer, link->peer);

	if (!owner_lease_may_extend(&slot->lease, &slot->owner->bounds, known,
				    now))
		return;
	memcpy(link->extended_peer, link->peer, sizeof(link->peer));
	agent_contact_extend(&link->contact, now);
	msg.u.task_report_ack.seq = link->report_seq;
	msg.u.task_report_ack.partition = slot->number;
	msg.u.task_report_ack.epoch = slot->lease.epoch;
	msg.u.task_report_ack.ends_recorded = (uint32_t)recorded;
	transport_send(slot->owner->transport, link->peer, &msg);
}

/*
 * Answers the latest report. Ends of runs must be in the store before the
 * agent may forget them; while the store does not take them, grants are
 * extended without that permission.
 */
static void answer(struct slot *slot, struct agent_link *link)
{
	int recorded =
		link->ack_after_version <= slot->partition->committed_version;
	struct mstime now = owner_now();

	if (!link->ack_pending || slot->owner->stopping)
		return;
	if (!recorded && !link->has_unrecorded_ends)
		link->unrecorded_at = now;
	link->has_unrecorded_ends = !recorded;
	if (!recorded &&
	    mstime_diff(now, link->unrecorded_at) < OWNER_ACK_COMMIT_WAIT_MS)
		return;
	link->ack_pending = 0;
	send_ack(slot, link, recorded);
}

void owner_agents_on_commit(struct slot *slot)
{
	struct list *pos;

	list_for_each (pos, &slot->agents)
		answer(slot, list_entry(pos, struct agent_link, node));
}

static void log_lost(const struct slot *slot, const struct job *job,
		     const char *reason)
{
	log_event(EV_RUN_LOST,
		  "partition=%u job=%s run=%" PRIu64
		  " agent=%s tries=%u reason=\"%s\"",
		  slot->number, job->id, job->run, job->agent, job->failed_runs,
		  reason);
}

static void note_failure(struct slot *slot, const struct job *job)
{
	struct owner *owner = slot->owner;

	owner_counter_increment(owner, OWNER_FAILED_RUNS);
	log_lost(slot, job, job->reason);
	if (taskhealth_failed(owner->health, hash_str(job->agent),
			      hash_str(job->id), owner->membership->count,
			      owner_now()))
		log_event(EV_WORKER_EJECTED,
			  "agent=%s reason=\"runs of different jobs fail in a "
			  "row\"",
			  job->agent);
}

static void sample_usage(struct slot *slot, struct job *job)
{
	const struct resources *peak = &job->peak, *known = &job->recorded_peak;

	if (peak->cpu_milli <= known->cpu_milli &&
	    peak->mem_mb <= known->mem_mb)
		return;
	job->recorded_peak = *peak;
	estimate_observe(slot->owner->estimate, job->team, job->command, peak,
			 owner_now());
}

static void note_end(struct slot *slot, struct job *job)
{
	taskhealth_finished(slot->owner->health, hash_str(job->agent));
	sample_usage(slot, job);
}

static void note_running(struct slot *slot, struct job *job)
{
	const struct resources *known = &job->recorded_peak;

	if (job->state == JOB_RUNNING && !known->cpu_milli && !known->mem_mb &&
	    mstime_diff(owner_now(), job->started_at) >=
		    ESTIMATE_SAMPLE_DELAY_MS)
		sample_usage(slot, job);
}

static void note_effect(struct slot *slot, struct job *job,
			enum task_effect effect)
{
	switch (effect) {
	case EFFECT_RUNNING:
		log_event(EV_JOB_RUNNING,
			  "partition=%u job=%s run=%" PRIu64 " agent=%s",
			  slot->number, job->id, job->run, job->agent);
		break;
	case EFFECT_DONE:
		note_end(slot, job);
		owner_log_job_end(slot, job);
		break;
	case EFFECT_REQUEUED:
	case EFFECT_REFUSED:
		log_event(EV_JOB_REQUEUED,
			  "partition=%u job=%s run=%" PRIu64
			  " agent=%s checkpoint=%s reason=\"%s\"",
			  slot->number, job->id, job->run, job->agent,
			  job->checkpoint[0] ? job->checkpoint : "-",
			  job->reason);
		break;
	case EFFECT_CANCELLED:
	case EFFECT_FAILED:
		owner_log_job_end(slot, job);
		break;
	default:
		break;
	}
}

static enum task_effect take_task(struct slot *slot, const char *agent,
				  const struct task_status *status)
{
	struct owner *owner = slot->owner;
	struct job_retry_policy policy;
	enum task_effect effect;
	struct job *job;

	owner_retry_policy(owner, &policy);
	effect = partition_apply_report(slot->partition, agent, status, &policy,
					owner_now());
	job = partition_find(slot->partition, status->job);
	if (!job)
		return effect;
	note_running(slot, job);
	if (effect == EFFECT_RETRY || effect == EFFECT_FAILED)
		note_failure(slot, job);
	note_effect(slot, job, effect);
	if (effect == EFFECT_REQUEUED && status->detail &&
	    !strcmp(status->detail, DETAIL_EVICTED_FOR_URGENT))
		owner_counter_increment(owner, OWNER_EVICTIONS);
	if (effect >= EFFECT_DONE && job->urgent)
		slot->commit_immediately = 1;
	return effect;
}

static void stop_stale(struct slot *slot, const char *peer, const char *agent,
		       const struct task_status *status)
{
	owner_counter_increment(slot->owner, OWNER_STALE_RUNS);
	log_event(EV_RUN_STALE, "partition=%u job=%s run=%" PRIu64 " agent=%s",
		  slot->number, status->job, status->run, agent);
	send_stop(slot, peer, status->job, status->run, STOP_CANCEL);
}

static int take_tasks(struct slot *slot, struct agent_link *link,
		      const struct msg_task_report *report)
{
	int stale = 0, changed = 0;
	uint64_t version;
	size_t i;

	link->ack_after_version = 0;
	for (i = 0; i < report->tasks.count; i++) {
		const struct task_status *status = &report->tasks.items[i];
		enum task_effect effect =
			take_task(slot, report->agent, status);

		if (effect == EFFECT_STALE) {
			stop_stale(slot, link->peer, report->agent, status);
			stale = 1;
		}
		changed |= effect >= EFFECT_DONE;
		version = partition_end_version(slot->partition, status);
		if (version > link->ack_after_version)
			link->ack_after_version = version;
	}
	if (changed)
		owner_tick_soon(slot->owner);
	return !stale;
}

/* A report of an earlier connection or order is worth nothing. */
static int take_sequence(struct agent_link *link, const char *peer,
			 uint64_t seq)
{
	if (!strcmp(link->peer, peer) && seq <= link->report_seq)
		return 0;
	str_copy(link->peer, peer, sizeof(link->peer));
	link->report_seq = seq;
	return 1;
}

void owner_on_report(struct owner *owner, const char *peer,
		     const struct msg_task_report *report)
{
	struct slot *slot;
	struct agent_link *link;
	int adopted;

	if (report->partition >= owner->slot_count)
		return;
	slot = &owner->slots[report->partition];
	if (slot->state != SLOT_OWNED)
		return;
	link = owner_agent_get(slot, report->agent);
	if (!take_sequence(link, peer, report->seq))
		return;
	adopted = link->contact.epoch_confirmed;
	agent_contact_report(&link->contact, report->epoch, &slot->lease,
			     owner_now());
	if (!adopted)
		link->epoch_confirmed_at = owner_now();
	if (report->epoch < slot->lease.epoch)
		send_owner(slot, link->peer);
	/* Without an answer, an agent with a stale run starts nothing new. */
	link->ack_pending = take_tasks(slot, link, report);
	if (report->epoch > slot->lease.epoch) {
		link->ack_pending = 0;
		partition_touch(slot->partition);
		slot->commit_immediately = 1;
	}
	answer(slot, link);
}

static const char *peer_of(struct slot *slot, const char *agent)
{
	const struct owner *owner = slot->owner;
	const struct agent_link *link;
	int i = worker_index_find(owner->workers, agent);

	if (i >= 0)
		return worker_index_member(owner->workers, i)->peer;
	link = find_link(slot, agent);
	return link && link->peer[0] ? link->peer : NULL;
}

static void command(struct slot *slot, struct job *job, struct mstime now)
{
	const char *peer = peer_of(slot, job->agent);

	if (!peer)
		return;
	switch (partition_next_command(slot->partition, job, hash_str(peer),
				       now)) {
	case COMMAND_START:
		send_start(slot, peer, job);
		break;
	case COMMAND_STOP:
		send_stop(slot, peer, job->id, job->run, job->stop);
		break;
	default:
		break;
	}
}

static void announce_to(struct slot *slot, struct agent_link *link,
			struct mstime now)
{
	const char *peer;

	if (link->contact.epoch_confirmed ||
	    mstime_diff(now, link->owner_sent_at) < ANNOUNCE_MS)
		return;
	peer = peer_of(slot, link->agent);
	if (!peer)
		return;
	link->owner_sent_at = now;
	send_owner(slot, peer);
}

static void declare_lost(struct slot *slot, struct job *job, const char *reason,
			 struct mstime now)
{
	enum task_effect effect =
		partition_run_lost(slot->partition, job, reason, now);

	owner_counter_increment(slot->owner, OWNER_LOST_RUNS);
	log_lost(slot, job, reason);
	note_effect(slot, job, effect);
}

/*
 * A start that a live agent does not list is withdrawn: it went to an earlier
 * incarnation, it was the former owner's, or the agent does not take it.
 */
static void withdraw(struct slot *slot, struct job *job,
		     const struct agent_link *link, struct mstime now)
{
	const char *peer = peer_of(slot, job->agent);
	const char *reason = NULL;

	if (job->state != JOB_STARTING || job->listed || !peer)
		return;
	if (job->inherited) {
		if (mstime_diff(now, link->epoch_confirmed_at) >= INHERITED_MS)
			reason = "the agent does not list the former owner's "
				 "start";
	} else if (job->start_incarnation != hash_str(peer)) {
		reason = "the agent restarted after the start was sent";
	} else if (mstime_diff(now, job->started_at) >=
		   slot->owner->bounds.grant_ms) {
		reason = "the agent does not take the start";
	}
	if (reason)
		partition_evict_run(slot->partition, job, reason, now);
}

static void check_run(struct slot *slot, struct job *job, struct mstime now)
{
	const struct owner *owner = slot->owner;
	struct agent_link *link = owner_agent_get(slot, job->agent);
	struct mstime heard = mstime_max(job->start_sent_at, job->listed_at);
	struct mstime silent_at, unlisted_at;

	announce_to(slot, link, now);
	/* A run that was never sent can be nowhere. */
	if (!job->start_sent)
		return;
	silent_at =
		owner_lease_stopped_at(&slot->lease, &owner->bounds,
				       &link->contact, job->inherited, heard);
	if (!mstime_before(now, silent_at)) {
		declare_lost(slot, job, "the agent is silent", now);
		return;
	}
	if (!link->contact.epoch_confirmed) {
		if (!job->inherited)
			withdraw(slot, job, link, now);
		return;
	}
	heard = mstime_max(heard, link->epoch_confirmed_at);
	unlisted_at = owner_lease_unlisted_at(&owner->bounds, heard);
	if (!mstime_before(now, unlisted_at))
		declare_lost(slot, job, "the agent no longer lists the run",
			     now);
	else
		withdraw(slot, job, link, now);
}

void owner_agents_tick(struct slot *slot)
{
	struct mstime now = owner_now();
	struct list *pos;

	list_for_each (pos, &slot->partition->jobs) {
		struct job *job = list_entry(pos, struct job, node);

		if (!job_active(job))
			continue;
		check_run(slot, job, now);
		if (job_active(job))
			command(slot, job, now);
	}
	list_for_each (pos, &slot->agents)
		answer(slot, list_entry(pos, struct agent_link, node));
}
