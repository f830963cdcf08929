#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "errors.h"
#include "grants_model.h"

static const char *const job_names[JOBS] = { "j0", "j1", "j2" };

static int chance(struct world *w, uint32_t percent)
{
	return rng_below(&w->rng, 100) < percent;
}

static struct mstime now_of(const struct world *w)
{
	return mstime_from(w->now);
}

static void post(struct world *w, const struct packet *packet)
{
	int copies = chance(w, 10) ? 0 : chance(w, 10) ? 2 : 1;
	int i;

	for (i = 0; i < NET && copies; i++) {
		if (w->net[i].used)
			continue;
		w->net[i] = *packet;
		w->net[i].used = 1;
		w->net[i].at = w->now + rng_below(&w->rng, 500);
		if (chance(w, 5))
			w->net[i].at += rng_below(&w->rng, 60000);
		copies--;
	}
}

static void command(struct world *w, int o, enum kind kind, int job)
{
	struct owned *owned = &w->owners[o].jobs[job];
	struct packet p = { .kind = kind,
			    .agent = owned->agent,
			    .owner = o,
			    .job = job,
			    .run = owned->run,
			    .epoch = (uint64_t)o };

	p.incarnation = w->agents[owned->agent].incarnation;
	post(w, &p);
}

static void place(struct world *w, int o, int job)
{
	struct owned *owned = &w->owners[o].jobs[job];

	owned->run++;
	owned->agent = (int)rng_below(&w->rng, AGENTS);
	owned->active = 1;
	owned->stopping = 0;
	owned->safe_at = w->now + SILENT_MS;
	owned->resend_at = w->now;
}

static void owner_step(struct world *w, int o)
{
	struct owner *owner = &w->owners[o];
	int j;

	if (!owner->alive || !owner->confirmed)
		return;
	for (j = 0; j < JOBS; j++) {
		struct owned *owned = &owner->jobs[j];

		if (owned->active && w->now >= owned->safe_at) {
			owned->active = 0;
			w->moved++;
		}
		if (!owned->active)
			place(w, o, j);
		if (rng_below(&w->rng, 1000) < 3)
			owned->stopping = 1;
		if (w->now < owned->resend_at)
			continue;
		owned->resend_at = w->now + 1000;
		command(w, o, owned->stopping ? STOP : START, j);
	}
}

/* RETURN VALUE: 1 when every run listed is one that the owner keeps. */
static int take_rows(struct world *w, struct owner *owner,
		     const struct packet *p)
{
	int j, ok = 1;

	for (j = 0; j < JOBS; j++) {
		struct owned *owned = &owner->jobs[j];
		const struct row *row = &p->rows[j];
		int kept = owned->active && owned->agent == p->agent &&
			   owned->run == row->run;

		if (!row->run)
			continue;
		if (row->phase == GRANT_ENDED) {
			if (kept && owner->confirmed)
				owned->active = 0;
		} else if (!kept ||
			   (row->phase == GRANT_PENDING && !owner->confirmed)) {
			ok = 0;
		}
	}
	return ok;
}

static void owner_receive(struct world *w, const struct packet *p)
{
	struct owner *owner = &w->owners[p->owner];
	struct packet ack = *p;
	int j;

	if (!owner->alive)
		return;
	if (!owner->confirmed && (w->now >= owner->lost_store_at + H_MS ||
				  owner->acked[p->agent] != p->incarnation))
		return;
	if (!take_rows(w, owner, p))
		return;
	if (owner->confirmed)
		owner->acked[p->agent] = p->incarnation;
	for (j = 0; j < JOBS; j++) {
		struct owned *owned = &owner->jobs[j];
		int64_t bound = w->now + SILENT_MS;

		if (owned->agent != p->agent)
			continue;
		if (p->epoch == (uint64_t)p->owner && !owner->adopted[p->agent])
			owned->safe_at = bound;
		else if (bound > owned->safe_at)
			owned->safe_at = bound;
	}
	if (p->epoch == (uint64_t)p->owner)
		owner->adopted[p->agent] = 1;
	ack.kind = ACK;
	ack.epoch = (uint64_t)p->owner;
	post(w, &ack);
}

static void takeover(struct world *w)
{
	struct owner *old = &w->owners[w->current];
	struct owner *next = &w->owners[++w->current];
	int j;

	memcpy(next->jobs, old->jobs, sizeof(next->jobs));
	next->alive = 1;
	next->confirmed = 1;
	for (j = 0; j < JOBS; j++) {
		next->jobs[j].safe_at = w->now + H_MS + SILENT_MS;
		next->jobs[j].resend_at = w->now;
	}
}

static void owners_step(struct world *w)
{
	struct owner *owner = &w->owners[w->current];
	int o;

	for (o = w->current > 1 ? w->current - 1 : 1; o <= w->current; o++)
		owner_step(w, o);
	if (owner->confirmed && w->current < OWNERS - 1 &&
	    rng_below(&w->rng, 900) == 0) {
		owner->confirmed = 0;
		owner->lost_store_at = w->now;
	} else if (!owner->confirmed && chance(w, 1)) {
		owner->alive = chance(w, 80);
		takeover(w);
	}
}

static void report(struct world *w, int a)
{
	struct agent *agent = &w->agents[a];
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

		if (!grants_reportable(t) || p.rows[job].run > t->run)
			continue;
		p.rows[job].run = t->run;
		p.rows[job].phase = t->phase;
		grants_record_report(t, p.seq, now_of(w));
	}
	for (o = w->current > 1 ? w->current - 1 : 1; o <= w->current; o++) {
		p.owner = o;
		if (!w->link_down[a][o])
			post(w, &p);
	}
}

static struct grant_task *add(struct world *w, int a, int job, uint64_t run)
{
	struct agent *agent = &w->agents[a];
	struct grant_task *old = grants_find(&agent->grants, job_names[job]);
	struct grant_task *t = &agent->tasks[agent->count++];

	assert_true(agent->count <= POOL);
	if (old)
		grants_remove(&agent->grants, old);
	grants_add(&agent->grants, t, 0, job_names[job], run, now_of(w));
	agent->report_at = w->now;
	return t;
}

static void end_run(struct world *w, int a, struct grant_task *t)
{
	struct worker_task *task = &w->agents[a].worker[t->job[1] - '0'];

	if (task->run == t->run)
		task->alive = 0;
	grants_end(t, now_of(w));
	w->agents[a].report_at = w->now;
}

static void agent_receive(struct world *w, const struct packet *p)
{
	struct agent *agent = &w->agents[p->agent];
	struct grant_task *t;
	int err;

	if (p->incarnation != agent->incarnation)
		return;
	if (p->kind == ACK) {
		grants_ack(&agent->grants, 0, p->epoch, p->seq, 1, now_of(w));
		return;
	}
	err = grants_check_command(&agent->grants, 0, p->epoch,
				   job_names[p->job], p->run, &t);
	w->fenced += err == ERR_FENCED;
	if (err == ERR_CONFLICT) {
		end_run(w, p->agent, t);
	} else if (err == ERR_NOT_FOUND) {
		t = add(w, p->agent, p->job, p->run);
		if (p->kind == STOP || chance(w, 10))
			grants_end(t, now_of(w));
	} else if (!err) {
		t->end_acked = 0;
		if (p->kind == STOP && t->phase != GRANT_ENDED)
			end_run(w, p->agent, t);
		agent->report_at = w->now;
	}
}

static void task_step(struct world *w, int a, struct grant_task *t)
{
	struct worker_task *task = &w->agents[a].worker[t->job[1] - '0'];

	if (t->phase == GRANT_ENDED)
		return;
	if (grants_expired(t, now_of(w)) ||
	    (t->phase == GRANT_LIVE && (!task->alive || task->run != t->run))) {
		end_run(w, a, t);
	} else if (!grants_valid(t, now_of(w))) {
		return;
	} else if (t->phase == GRANT_PENDING) {
		t->phase = GRANT_LIVE;
		task->run = t->run;
		task->alive = 1;
		task->lease_until = w->now + L_MS;
		task->renew_at = 0;
		w->starts++;
	} else if (!task->renew_at &&
		   task->lease_until - w->now < L_MS * 2 / 3) {
		/* A pause may come between the check and the call. */
		task->renew_at = w->now + STEP_MS;
		if (chance(w, 5))
			task->renew_at += rng_below(&w->rng, 15000);
		w->agents[a].paused_until = task->renew_at;
	}
}

static void restart(struct world *w, int a)
{
	struct agent *agent = &w->agents[a];
	int j;

	grants_clear(&agent->grants);
	grants_init(&agent->grants, T_MS);
	agent->incarnation++;
	agent->report_at = w->now;
	for (j = 0; j < JOBS; j++) {
		agent->worker[j].renew_at = 0;
		if (agent->worker[j].alive)
			add(w, a, j, agent->worker[j].run)->phase = GRANT_LIVE;
	}
}

static void agent_step(struct world *w, int a)
{
	struct agent *agent = &w->agents[a];
	struct list *pos;
	int j;

	for (j = 0; j < JOBS; j++) {
		struct worker_task *task = &agent->worker[j];

		if (task->alive && w->now >= task->lease_until)
			task->alive = 0;
		if (!task->renew_at || w->now < task->renew_at)
			continue;
		task->renew_at = 0;
		task->lease_until = w->now + L_MS;
	}
	if (w->now < agent->paused_until)
		return;
	if (rng_below(&w->rng, 1500) == 0)
		restart(w, a);
	list_for_each (pos, &agent->grants.tasks)
		task_step(w, a, list_entry(pos, struct grant_task, node));
	if (w->now < agent->report_at)
		return;
	agent->report_at = w->now + 1000;
	report(w, a);
}

static void deliver(struct world *w)
{
	int i;

	for (i = 0; i < NET; i++) {
		struct packet *p = &w->net[i];
		struct packet copy = *p;

		if (!p->used || p->at > w->now)
			continue;
		if (p->kind != REPORT &&
		    w->now < w->agents[p->agent].paused_until)
			continue;
		p->used = 0;
		if (w->link_down[copy.agent][copy.owner])
			continue;
		if (copy.kind == REPORT)
			owner_receive(w, &copy);
		else
			agent_receive(w, &copy);
	}
}

static int in_two_places(const struct world *w)
{
	int a, j;

	for (j = 0; j < JOBS; j++) {
		int alive = 0;

		for (a = 0; a < AGENTS; a++)
			alive += w->agents[a].worker[j].alive;
		if (alive > 1)
			return 1;
	}
	return 0;
}

static void flap_links(struct world *w)
{
	int a = (int)rng_below(&w->rng, AGENTS);
	int o = w->current - (w->current > 1 ? (int)rng_below(&w->rng, 2) : 0);

	if (rng_below(&w->rng, 150) == 0)
		w->link_down[a][o] = !w->link_down[a][o];
}

static void run_world(struct world *w, uint64_t seed)
{
	int a;

	memset(w, 0, sizeof(*w));
	rng_seed(&w->rng, seed);
	w->current = 1;
	w->owners[1].alive = 1;
	w->owners[1].confirmed = 1;
	for (a = 0; a < AGENTS; a++)
		grants_init(&w->agents[a].grants, T_MS);
	for (w->now = 0; w->now < RUN_MS; w->now += STEP_MS) {
		flap_links(w);
		owners_step(w);
		deliver(w);
		for (a = 0; a < AGENTS; a++)
			agent_step(w, a);
		if (in_two_places(w))
			fail_msg("seed %llu: a job is in two places at %lld ms",
				 (unsigned long long)seed, (long long)w->now);
	}
	for (a = 0; a < AGENTS; a++)
		grants_clear(&w->agents[a].grants);
}

/*
 * Guards against a job that runs at two workers, under messages that are
 * late, lost, doubled or out of order, owners that lose the store and go on,
 * and agents that pause and restart.
 */
static void test_one_place(void **state)
{
	struct world *w = malloc(sizeof(*w));
	int starts = 0, fenced = 0, moved = 0, takeovers = 0;
	uint64_t seed;

	for (seed = 1; seed <= 100; seed++) {
		run_world(w, seed);
		starts += w->starts;
		fenced += w->fenced;
		moved += w->moved;
		takeovers += w->current - 1;
	}
	free(w);
	print_message("starts %d, fenced %d, moved %d, takeovers %d\n", starts,
		      fenced, moved, takeovers);
	assert_true(starts > 1000 && fenced > 100 && moved > 100 &&
		    takeovers > 100);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_one_place),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
