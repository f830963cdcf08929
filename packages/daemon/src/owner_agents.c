#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "hash.h"
#include "log.h"
#include "mem.h"
#include "owner_internal.h"

/*
 * Interval at which OWNER is sent again to an agent with runs of the partition
 * that has not reported under the current epoch.
 */
#define OWNER_RESEND_MS 2000
/*
 * Time from its first report under the current epoch within which an agent has
 * to list a run that was started under an earlier one.
 */
#define INHERITED_START_GRACE_MS 5000

static struct owner_agent *find_agent(const struct owner_slot *slot,
				      const char *agent)
{
	struct list *pos;

	list_for_each (pos, &slot->agents) {
		struct owner_agent *owner_agent =
			list_entry(pos, struct owner_agent, node);

		if (!strcmp(owner_agent->agent_id, agent))
			return owner_agent;
	}
	return NULL;
}

struct owner_agent *owner_agent_get(struct owner_slot *slot, const char *agent)
{
	struct owner_agent *owner_agent = find_agent(slot, agent);

	if (owner_agent)
		return owner_agent;
	owner_agent = xcalloc(1, sizeof(*owner_agent));
	str_copy(owner_agent->agent_id, agent, sizeof(owner_agent->agent_id));
	list_add_tail(&slot->agents, &owner_agent->node);
	return owner_agent;
}

void owner_agents_free(struct owner_slot *slot)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &slot->agents) {
		list_del(pos);
		free(list_entry(pos, struct owner_agent, node));
	}
}

static void send_owner(struct owner_slot *slot, const char *peer)
{
	struct message msg = { .type = MSG_OWNER };

	msg.u.owner.partition = slot->number;
	msg.u.owner.epoch = slot->lease.epoch;
	str_copy(msg.u.owner.entry, slot->owner->daemon->settings->id, ID_SIZE);
	transport_send(slot->owner->transport, peer, &msg);
}

void owner_send_epoch_to_agents(struct owner_slot *slot)
{
	const struct membership *members = slot->owner->membership;
	struct list *pos;

	list_for_each (pos, &members->members)
		send_owner(slot, list_entry(pos, struct member, node)->peer);
}

static void send_stop(struct owner_slot *slot, const char *peer,
		      const char *job, uint64_t run, enum stop_mode mode)
{
	struct message msg = { .type = MSG_TASK_STOP };

	msg.u.task_stop.partition = slot->number;
	msg.u.task_stop.epoch = slot->lease.epoch;
	str_copy(msg.u.task_stop.job, job, ID_SIZE);
	msg.u.task_stop.run = run;
	msg.u.task_stop.mode = mode;
	transport_send(slot->owner->transport, peer, &msg);
}

/* RETURN VALUE: time in ms until the job may be evicted again. */
static uint32_t eviction_pause_left_ms(const struct owner *owner,
				       const struct job *job)
{
	int64_t left_ms = owner_limit(owner, LIMIT_EVICT_PAUSE_MS) -
			  mstime_diff(owner_now(), job->evicted_at);

	return job->evicted && left_ms > 0 ? (uint32_t)left_ms : 0;
}

static void send_start(struct owner_slot *slot, const char *peer,
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
	msg.u.task_start.eviction_pause_ms =
		eviction_pause_left_ms(slot->owner, job);
	transport_send(slot->owner->transport, peer, &msg);
}

static void send_ack(struct owner_slot *slot, struct owner_agent *owner_agent,
		     int recorded)
{
	struct message msg = { .type = MSG_TASK_REPORT_ACK };
	struct mstime now = owner_now();
	int known = !strcmp(owner_agent->extended_peer, owner_agent->peer);

	if (!owner_lease_may_extend(&slot->lease, &slot->owner->bounds, known,
				    now))
		return;
	memcpy(owner_agent->extended_peer, owner_agent->peer,
	       sizeof(owner_agent->peer));
	agent_contact_extend(&owner_agent->contact, now);
	msg.u.task_report_ack.seq = owner_agent->report_seq;
	msg.u.task_report_ack.partition = slot->number;
	msg.u.task_report_ack.epoch = slot->lease.epoch;
	msg.u.task_report_ack.ends_recorded = (uint32_t)recorded;
	transport_send(slot->owner->transport, owner_agent->peer, &msg);
}

/*
 * Acknowledges the latest report. Ends of runs must be in the store before the
 * agent may forget them. If the store does not accept them for
 * OWNER_ACK_COMMIT_WAIT_MS, the acknowledgement only extends the grants
 * (recorded is 0).
 */
static void acknowledge(struct owner_slot *slot,
			struct owner_agent *owner_agent)
{
	int recorded = owner_agent->ack_after_version <=
		       slot->partition->committed_version;
	struct mstime now = owner_now();

	if (!owner_agent->ack_pending || slot->owner->stopping)
		return;
	if (!recorded && !owner_agent->has_unrecorded_ends)
		owner_agent->unrecorded_at = now;
	owner_agent->has_unrecorded_ends = !recorded;
	if (!recorded && mstime_diff(now, owner_agent->unrecorded_at) <
				 OWNER_ACK_COMMIT_WAIT_MS)
		return;
	owner_agent->ack_pending = 0;
	send_ack(slot, owner_agent, recorded);
}

void owner_agents_on_commit(struct owner_slot *slot)
{
	struct list *pos;

	list_for_each (pos, &slot->agents)
		acknowledge(slot, list_entry(pos, struct owner_agent, node));
}

static void log_run_lost(const struct owner_slot *slot, const struct job *job,
			 const char *reason)
{
	log_event(EV_RUN_LOST,
		  "partition=%u job=%s run=%" PRIu64
		  " agent=%s tries=%u reason=\"%s\"",
		  slot->number, job->id, job->run, job->agent, job->failed_runs,
		  reason);
}

static void record_failure(struct owner_slot *slot, const struct job *job)
{
	struct owner *owner = slot->owner;

	owner_counter_increment(owner, OWNER_FAILED_RUNS);
	log_run_lost(slot, job, job->reason);
	if (taskhealth_failed(owner->health, hash_str(job->agent),
			      hash_str(job->id), owner->membership->count,
			      owner_now()))
		log_event(EV_WORKER_EJECTED,
			  "agent=%s reason=\"runs of different jobs fail in a "
			  "row\"",
			  job->agent);
}

static void record_usage(struct owner_slot *slot, struct job *job)
{
	const struct resources *peak = &job->peak, *known = &job->recorded_peak;

	if (peak->cpu_milli <= known->cpu_milli &&
	    peak->mem_mb <= known->mem_mb)
		return;
	job->recorded_peak = *peak;
	estimate_observe(slot->owner->estimate, job->team, job->command, peak,
			 owner_now());
}

static void record_end(struct owner_slot *slot, struct job *job)
{
	taskhealth_finished(slot->owner->health, hash_str(job->agent));
	record_usage(slot, job);
}

static void record_running(struct owner_slot *slot, struct job *job)
{
	const struct resources *known = &job->recorded_peak;

	if (job->state == JOB_RUNNING && !known->cpu_milli && !known->mem_mb &&
	    mstime_diff(owner_now(), job->started_at) >=
		    ESTIMATE_SAMPLE_DELAY_MS)
		record_usage(slot, job);
}

static void record_effect(struct owner_slot *slot, struct job *job,
			  enum task_effect effect)
{
	switch (effect) {
	case EFFECT_RUNNING:
		log_event(EV_JOB_RUNNING,
			  "partition=%u job=%s run=%" PRIu64 " agent=%s",
			  slot->number, job->id, job->run, job->agent);
		break;
	case EFFECT_DONE:
		record_end(slot, job);
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

static enum task_effect apply_task(struct owner_slot *slot, const char *agent,
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
	record_running(slot, job);
	if (effect == EFFECT_RETRY || effect == EFFECT_FAILED)
		record_failure(slot, job);
	record_effect(slot, job, effect);
	if (effect == EFFECT_REQUEUED && status->detail &&
	    !strcmp(status->detail, DETAIL_EVICTED_FOR_URGENT))
		owner_counter_increment(owner, OWNER_EVICTIONS);
	if (effect >= EFFECT_DONE && job->urgent)
		slot->commit_immediately = 1;
	return effect;
}

static void stop_stale_run(struct owner_slot *slot, const char *peer,
			   const char *agent, const struct task_status *status)
{
	owner_counter_increment(slot->owner, OWNER_STALE_RUNS);
	log_event(EV_RUN_STALE, "partition=%u job=%s run=%" PRIu64 " agent=%s",
		  slot->number, status->job, status->run, agent);
	send_stop(slot, peer, status->job, status->run, STOP_CANCEL);
}

static int apply_tasks(struct owner_slot *slot, struct owner_agent *owner_agent,
		       const struct msg_task_report *report)
{
	int stale = 0, changed = 0;
	uint64_t version;
	size_t i;

	owner_agent->ack_after_version = 0;
	for (i = 0; i < report->tasks.count; i++) {
		const struct task_status *status = &report->tasks.items[i];
		enum task_effect effect =
			apply_task(slot, report->agent, status);

		if (effect == EFFECT_STALE) {
			stop_stale_run(slot, owner_agent->peer, report->agent,
				       status);
			stale = 1;
		}
		changed |= effect >= EFFECT_DONE;
		version = partition_end_version(slot->partition, status);
		if (version > owner_agent->ack_after_version)
			owner_agent->ack_after_version = version;
	}
	if (changed)
		owner_tick_soon(slot->owner);
	return !stale;
}

/* Rejects a report that arrives late, for example over an old connection. */
static int accept_sequence(struct owner_agent *owner_agent, const char *peer,
			   uint64_t seq)
{
	if (!strcmp(owner_agent->peer, peer) && seq <= owner_agent->report_seq)
		return 0;
	str_copy(owner_agent->peer, peer, sizeof(owner_agent->peer));
	owner_agent->report_seq = seq;
	return 1;
}

void owner_on_report(struct owner *owner, const char *peer,
		     const struct msg_task_report *report)
{
	struct owner_slot *slot;
	struct owner_agent *owner_agent;
	int was_confirmed;

	if (report->partition >= owner->slot_count)
		return;
	slot = &owner->slots[report->partition];
	if (slot->state != SLOT_OWNED)
		return;
	owner_agent = owner_agent_get(slot, report->agent);
	if (!accept_sequence(owner_agent, peer, report->seq))
		return;
	was_confirmed = owner_agent->contact.epoch_confirmed;
	agent_contact_report(&owner_agent->contact, report->epoch, &slot->lease,
			     owner_now());
	if (!was_confirmed)
		owner_agent->epoch_confirmed_at = owner_now();
	if (report->epoch < slot->lease.epoch)
		send_owner(slot, owner_agent->peer);
	/*
	 * An agent that lists a stale run gets no acknowledgement, so that it
	 * starts nothing new.
	 */
	owner_agent->ack_pending = apply_tasks(slot, owner_agent, report);
	if (report->epoch > slot->lease.epoch) {
		owner_agent->ack_pending = 0;
		partition_touch(slot->partition);
		slot->commit_immediately = 1;
	}
	acknowledge(slot, owner_agent);
}

static const char *peer_of(struct owner_slot *slot, const char *agent)
{
	const struct owner *owner = slot->owner;
	const struct owner_agent *owner_agent;
	int i = worker_index_find(owner->workers, agent);

	if (i >= 0)
		return worker_index_member(owner->workers, i)->peer;
	owner_agent = find_agent(slot, agent);
	return owner_agent && owner_agent->peer[0] ? owner_agent->peer : NULL;
}

static void send_command(struct owner_slot *slot, struct job *job,
			 struct mstime now)
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

static void send_owner_if_due(struct owner_slot *slot,
			      struct owner_agent *owner_agent,
			      struct mstime now)
{
	const char *peer;

	if (owner_agent->contact.epoch_confirmed ||
	    mstime_diff(now, owner_agent->owner_sent_at) < OWNER_RESEND_MS)
		return;
	peer = peer_of(slot, owner_agent->agent_id);
	if (!peer)
		return;
	owner_agent->owner_sent_at = now;
	send_owner(slot, peer);
}

static void declare_lost(struct owner_slot *slot, struct job *job,
			 const char *reason, struct mstime now)
{
	enum task_effect effect =
		partition_run_lost(slot->partition, job, reason, now);

	owner_counter_increment(slot->owner, OWNER_LOST_RUNS);
	log_run_lost(slot, job, reason);
	record_effect(slot, job, effect);
}

/*
 * Evicts a starting run that a live agent does not list: its start went to an
 * earlier incarnation of the agent, was sent by the previous owner, or is not
 * accepted by the agent.
 */
static void withdraw_start(struct owner_slot *slot, struct job *job,
			   const struct owner_agent *owner_agent,
			   struct mstime now)
{
	const char *peer = peer_of(slot, job->agent);
	const char *reason = NULL;

	if (job->state != JOB_STARTING || job->listed || !peer)
		return;
	if (job->inherited) {
		if (mstime_diff(now, owner_agent->epoch_confirmed_at) >=
		    INHERITED_START_GRACE_MS)
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

static void check_run(struct owner_slot *slot, struct job *job,
		      struct mstime now)
{
	const struct owner *owner = slot->owner;
	struct owner_agent *owner_agent = owner_agent_get(slot, job->agent);
	struct mstime last_contact_at =
		mstime_max(job->start_sent_at, job->listed_at);
	struct mstime stopped_at, unlisted_at;

	send_owner_if_due(slot, owner_agent, now);
	/* Without a start sent, no agent can have the run. */
	if (!job->start_sent)
		return;
	stopped_at = owner_lease_stopped_at(&slot->lease, &owner->bounds,
					    &owner_agent->contact,
					    job->inherited, last_contact_at);
	if (!mstime_before(now, stopped_at)) {
		declare_lost(slot, job, "the agent is silent", now);
		return;
	}
	if (!owner_agent->contact.epoch_confirmed) {
		if (!job->inherited)
			withdraw_start(slot, job, owner_agent, now);
		return;
	}
	last_contact_at =
		mstime_max(last_contact_at, owner_agent->epoch_confirmed_at);
	unlisted_at = owner_lease_unlisted_at(&owner->bounds, last_contact_at);
	if (!mstime_before(now, unlisted_at))
		declare_lost(slot, job, "the agent no longer lists the run",
			     now);
	else
		withdraw_start(slot, job, owner_agent, now);
}

void owner_agents_tick(struct owner_slot *slot)
{
	struct mstime now = owner_now();
	struct list *pos;

	list_for_each (pos, &slot->partition->jobs) {
		struct job *job = list_entry(pos, struct job, node);

		if (!job_active(job))
			continue;
		check_run(slot, job, now);
		if (job_active(job))
			send_command(slot, job, now);
	}
	list_for_each (pos, &slot->agents)
		acknowledge(slot, list_entry(pos, struct owner_agent, node));
}
