#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "errors.h"
#include "grants_model.h"

static const char *const job_names[JOBS] = { "j0", "j1", "j2" };

static int chance(struct model *m, uint32_t percent)
{
	return rng_below(&m->rng, 100) < percent;
}

static struct mstime now_of(const struct model *m)
{
	return mstime_from(m->now);
}

static void send_packet(struct model *m, const struct packet *packet)
{
	int copies = chance(m, 10) ? 0 : chance(m, 10) ? 2 : 1;
	int i;

	for (i = 0; i < PACKETS_MAX && copies; i++) {
		if (m->packets[i].used)
			continue;
		m->packets[i] = *packet;
		m->packets[i].used = 1;
		m->packets[i].deliver_at = m->now + rng_below(&m->rng, 500);
		if (chance(m, 5))
			m->packets[i].deliver_at += rng_below(&m->rng, 60000);
		copies--;
	}
}

static void send_command(struct model *m, int o, enum packet_kind kind, int job)
{
	struct owned_job *owned = &m->owners[o].jobs[job];
	struct packet p = { .kind = kind,
			    .agent = owned->agent,
			    .owner = o,
			    .job = job,
			    .run = owned->run,
			    .epoch = (uint64_t)o };

	p.incarnation = m->agents[owned->agent].incarnation;
	send_packet(m, &p);
}

static void create_run(struct model *m, int o, int job)
{
	struct owned_job *owned = &m->owners[o].jobs[job];

	owned->run++;
	owned->agent = (int)rng_below(&m->rng, AGENTS);
	owned->active = 1;
	owned->stopping = 0;
	owned->stopped_at = m->now + STOPPED_AFTER_MS;
	owned->resend_at = m->now;
}

static void owner_step(struct model *m, int o)
{
	struct owner *owner = &m->owners[o];
	int j;

	if (!owner->alive || !owner->lease_confirmed)
		return;
	for (j = 0; j < JOBS; j++) {
		struct owned_job *owned = &owner->jobs[j];

		if (owned->active && m->now >= owned->stopped_at) {
			owned->active = 0;
			m->timed_out++;
		}
		if (!owned->active)
			create_run(m, o, j);
		if (rng_below(&m->rng, 1000) < 3)
			owned->stopping = 1;
		if (m->now < owned->resend_at)
			continue;
		owned->resend_at = m->now + 1000;
		send_command(m, o, owned->stopping ? STOP : START, j);
	}
}

/*
 * Applies the reported ends.
 *
 * RETURN VALUE
 *	1 if the report may be acked: it lists no run that the owner has
 *	replaced, and no pending run while the store lease is unconfirmed.
 */
static int apply_report(struct model *m, struct owner *owner,
			const struct packet *p)
{
	int j, ok = 1;

	for (j = 0; j < JOBS; j++) {
		struct owned_job *owned = &owner->jobs[j];
		const struct report_entry *entry = &p->entries[j];
		int kept = owned->active && owned->agent == p->agent &&
			   owned->run == entry->run;

		if (!entry->run)
			continue;
		if (entry->phase == GRANT_ENDED) {
			if (kept && owner->lease_confirmed)
				owned->active = 0;
		} else if (!kept || (entry->phase == GRANT_PENDING &&
				     !owner->lease_confirmed)) {
			ok = 0;
		}
	}
	return ok;
}

static void owner_receive(struct model *m, const struct packet *p)
{
	struct owner *owner = &m->owners[p->owner];
	struct packet ack = *p;
	int j;

	if (!owner->alive)
		return;
	if (!owner->lease_confirmed &&
	    (m->now >= owner->lost_store_at + HOLDOVER_MS ||
	     owner->acked[p->agent] != p->incarnation))
		return;
	if (!apply_report(m, owner, p))
		return;
	if (owner->lease_confirmed)
		owner->acked[p->agent] = p->incarnation;
	for (j = 0; j < JOBS; j++) {
		struct owned_job *owned = &owner->jobs[j];
		int64_t bound = m->now + STOPPED_AFTER_MS;

		if (owned->agent != p->agent)
			continue;
		if (p->epoch == (uint64_t)p->owner &&
		    !owner->epoch_confirmed[p->agent])
			owned->stopped_at = bound;
		else if (bound > owned->stopped_at)
			owned->stopped_at = bound;
	}
	if (p->epoch == (uint64_t)p->owner)
		owner->epoch_confirmed[p->agent] = 1;
	ack.kind = ACK;
	ack.epoch = (uint64_t)p->owner;
	send_packet(m, &ack);
}

static void takeover(struct model *m)
{
	struct owner *old = &m->owners[m->current];
	struct owner *next = &m->owners[++m->current];
	int j;

	memcpy(next->jobs, old->jobs, sizeof(next->jobs));
	next->alive = 1;
	next->lease_confirmed = 1;
	for (j = 0; j < JOBS; j++) {
		next->jobs[j].stopped_at =
			m->now + HOLDOVER_MS + STOPPED_AFTER_MS;
		next->jobs[j].resend_at = m->now;
	}
}

static void owners_step(struct model *m)
{
	struct owner *owner = &m->owners[m->current];
	int o;

	for (o = m->current > 1 ? m->current - 1 : 1; o <= m->current; o++)
		owner_step(m, o);
	if (owner->lease_confirmed && m->current < OWNERS - 1 &&
	    rng_below(&m->rng, 900) == 0) {
		owner->lease_confirmed = 0;
		owner->lost_store_at = m->now;
	} else if (!owner->lease_confirmed && chance(m, 1)) {
		owner->alive = chance(m, 80);
		takeover(m);
	}
}

static void send_report(struct model *m, int a)
{
	struct agent *agent = &m->agents[a];
	struct packet p = { .kind = REPORT,
			    .agent = a,
			    .incarnation = agent->incarnation };
	struct list *pos;
	int o;

	p.seq = ++agent->seq;
	p.epoch = grants_epoch(&agent->grants, 0);
	list_for_each (pos, &agent->grants.tasks) {
		struct grant_task *t = list_entry(pos, struct grant_task, node);
		int job = t->job[1] - '0';

		if (!grants_reportable(t) || p.entries[job].run > t->run)
			continue;
		p.entries[job].run = t->run;
		p.entries[job].phase = t->phase;
		grants_record_report(t, p.seq, now_of(m));
	}
	for (o = m->current > 1 ? m->current - 1 : 1; o <= m->current; o++) {
		p.owner = o;
		if (!m->link_down[a][o])
			send_packet(m, &p);
	}
}

static struct grant_task *add_run(struct model *m, int a, int job, uint64_t run)
{
	struct agent *agent = &m->agents[a];
	struct grant_task *old = grants_find(&agent->grants, job_names[job]);
	struct grant_task *t = &agent->tasks[agent->count++];

	assert_true(agent->count <= AGENT_TASKS_MAX);
	if (old)
		grants_remove(&agent->grants, old);
	grants_add(&agent->grants, t, 0, job_names[job], run, now_of(m));
	agent->report_at = m->now;
	return t;
}

static void end_run(struct model *m, int a, struct grant_task *t)
{
	struct worker_task *task = &m->agents[a].worker[t->job[1] - '0'];

	if (task->run == t->run)
		task->alive = 0;
	grants_end(t, now_of(m));
	m->agents[a].report_at = m->now;
}

static void agent_receive(struct model *m, const struct packet *p)
{
	struct agent *agent = &m->agents[p->agent];
	struct grant_task *t;
	int err;

	if (p->incarnation != agent->incarnation)
		return;
	if (p->kind == ACK) {
		grants_ack(&agent->grants, 0, p->epoch, p->seq, 1, now_of(m));
		return;
	}
	err = grants_check_command(&agent->grants, 0, p->epoch,
				   job_names[p->job], p->run, &t);
	m->fenced += err == ERR_FENCED;
	if (err == ERR_CONFLICT) {
		end_run(m, p->agent, t);
	} else if (err == ERR_NOT_FOUND) {
		t = add_run(m, p->agent, p->job, p->run);
		if (p->kind == STOP || chance(m, 10))
			grants_end(t, now_of(m));
	} else if (!err) {
		t->end_acked = 0;
		if (p->kind == STOP && t->phase != GRANT_ENDED)
			end_run(m, p->agent, t);
		agent->report_at = m->now;
	}
}

static void task_step(struct model *m, int a, struct grant_task *t)
{
	struct worker_task *task = &m->agents[a].worker[t->job[1] - '0'];

	if (t->phase == GRANT_ENDED)
		return;
	if (grants_expired(t, now_of(m)) ||
	    (t->phase == GRANT_LIVE && (!task->alive || task->run != t->run))) {
		end_run(m, a, t);
	} else if (!grants_valid(t, now_of(m))) {
		return;
	} else if (t->phase == GRANT_PENDING) {
		t->phase = GRANT_LIVE;
		task->run = t->run;
		task->alive = 1;
		task->lease_until = m->now + LEASE_MS;
		task->renew_at = 0;
		m->starts++;
	} else if (!task->renew_at &&
		   task->lease_until - m->now < LEASE_MS * 2 / 3) {
		/* The agent may pause between the check and the renewal. */
		task->renew_at = m->now + STEP_MS;
		if (chance(m, 5))
			task->renew_at += rng_below(&m->rng, 15000);
		m->agents[a].paused_until = task->renew_at;
	}
}

static void restart_agent(struct model *m, int a)
{
	struct agent *agent = &m->agents[a];
	int j;

	grants_clear(&agent->grants);
	grants_init(&agent->grants, GRANT_MS);
	agent->incarnation++;
	agent->report_at = m->now;
	for (j = 0; j < JOBS; j++) {
		agent->worker[j].renew_at = 0;
		if (agent->worker[j].alive)
			add_run(m, a, j, agent->worker[j].run)->phase =
				GRANT_LIVE;
	}
}

static void agent_step(struct model *m, int a)
{
	struct agent *agent = &m->agents[a];
	struct list *pos;
	int j;

	for (j = 0; j < JOBS; j++) {
		struct worker_task *task = &agent->worker[j];

		if (task->alive && m->now >= task->lease_until)
			task->alive = 0;
		if (!task->renew_at || m->now < task->renew_at)
			continue;
		task->renew_at = 0;
		task->lease_until = m->now + LEASE_MS;
	}
	if (m->now < agent->paused_until)
		return;
	if (rng_below(&m->rng, 1500) == 0)
		restart_agent(m, a);
	list_for_each (pos, &agent->grants.tasks)
		task_step(m, a, list_entry(pos, struct grant_task, node));
	if (m->now < agent->report_at)
		return;
	agent->report_at = m->now + 1000;
	send_report(m, a);
}

static void deliver_packets(struct model *m)
{
	int i;

	for (i = 0; i < PACKETS_MAX; i++) {
		struct packet *p = &m->packets[i];
		struct packet copy = *p;

		if (!p->used || p->deliver_at > m->now)
			continue;
		if (p->kind != REPORT &&
		    m->now < m->agents[p->agent].paused_until)
			continue;
		p->used = 0;
		if (m->link_down[copy.agent][copy.owner])
			continue;
		if (copy.kind == REPORT)
			owner_receive(m, &copy);
		else
			agent_receive(m, &copy);
	}
}

static int has_concurrent_runs(const struct model *m)
{
	int a, j;

	for (j = 0; j < JOBS; j++) {
		int alive = 0;

		for (a = 0; a < AGENTS; a++)
			alive += m->agents[a].worker[j].alive;
		if (alive > 1)
			return 1;
	}
	return 0;
}

static void flap_links(struct model *m)
{
	int a = (int)rng_below(&m->rng, AGENTS);
	int o = m->current - (m->current > 1 ? (int)rng_below(&m->rng, 2) : 0);

	if (rng_below(&m->rng, 150) == 0)
		m->link_down[a][o] = !m->link_down[a][o];
}

static void run_model(struct model *m, uint64_t seed)
{
	int a;

	memset(m, 0, sizeof(*m));
	rng_seed(&m->rng, seed);
	m->current = 1;
	m->owners[1].alive = 1;
	m->owners[1].lease_confirmed = 1;
	for (a = 0; a < AGENTS; a++)
		grants_init(&m->agents[a].grants, GRANT_MS);
	for (m->now = 0; m->now < SIMULATED_MS; m->now += STEP_MS) {
		flap_links(m);
		owners_step(m);
		deliver_packets(m);
		for (a = 0; a < AGENTS; a++)
			agent_step(m, a);
		if (has_concurrent_runs(m))
			fail_msg("seed %llu: job at two workers at %lld ms",
				 (unsigned long long)seed, (long long)m->now);
	}
	for (a = 0; a < AGENTS; a++)
		grants_clear(&m->agents[a].grants);
}

/*
 * Guards against a job that runs at two workers at once. Messages are delayed,
 * lost, duplicated and reordered, owners go on after they lose the store, and
 * agents pause and restart.
 */
static void test_single_run(void **state)
{
	struct model *m = malloc(sizeof(*m));
	int starts = 0, fenced = 0, timed_out = 0, takeovers = 0;
	uint64_t seed;

	for (seed = 1; seed <= 100; seed++) {
		run_model(m, seed);
		starts += m->starts;
		fenced += m->fenced;
		timed_out += m->timed_out;
		takeovers += m->current - 1;
	}
	free(m);
	print_message("starts %d, fenced %d, timed out %d, takeovers %d\n",
		      starts, fenced, timed_out, takeovers);
	assert_true(starts > 1000 && fenced > 100 && timed_out > 100 &&
		    takeovers > 100);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_single_run),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
