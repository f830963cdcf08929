#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "grants.h"
#include "ownerlease.h"

#define LEASE_MS 10000
#define GRANT_MS 20000
#define HOLDOVER_MS 3600000
#define STORE_TTL_MS 15000
#define SECOND 1000
#define KEEPALIVE_MS (5 * SECOND)
#define OUTAGE_AT (60 * SECOND) /* the old owner loses the store */
#define TAKEOVER_AT (OUTAGE_AT + STORE_TTL_MS) /* earliest takeover */
/* After every wait of an owner. */
#define END_AT (HOLDOVER_MS + OUTAGE_AT + 200000)
#define QUEUE_MAX 256
/*
 * Longer than the slack of an owner's wait (L + margin), shorter than the time
 * for which an agent remembers a report (GRANT_REPORTS_KEPT, one per second).
 */
#define ACK_DELAY_MS (15 * SECOND)
/* Highest rate, in ppm, at which Linux slews a clock to follow NTP. */
#define SLEW_PPM 500

static const struct lease_durations bounds = { LEASE_MS, GRANT_MS, HOLDOVER_MS,
					       STORE_TTL_MS };

enum party {
	OLD_OWNER,
	NEW_OWNER,
	AGENT,
	PARTIES
};

/*
 * Times are simulated milliseconds, not clock readings; 0: never. Clock rates
 * are deviations in parts per million.
 */
struct scenario {
	const char *name;
	int64_t store_back_at; /* old owner reaches the store again */
	int64_t old_lost_at;   /* agent and old owner lose contact */
	int64_t taken_at;      /* new owner takes the partition over */
	/* start and end of the contact of agent and new owner */
	int64_t new_reached_at, new_lost_at;
	int64_t ack_delay;
	int64_t ppm[PARTIES];
	int survives;
};

static const struct scenario scenarios[] = {
	{ "outage just under an hour",
	  .store_back_at = OUTAGE_AT + HOLDOVER_MS - 10 * SECOND,
	  .survives = 1 },
	{ "outage just under an hour, clocks drift",
	  .store_back_at = OUTAGE_AT + HOLDOVER_MS - 10 * SECOND,
	  .ppm = { SLEW_PPM, 0, -SLEW_PPM }, .survives = 1 },
	{ "outage over an hour" },
	{ "outage over an hour, clocks drift",
	  .ppm = { -SLEW_PPM, 0, -SLEW_PPM } },
	{ "outage over an hour, new owner after it",
	  .taken_at = OUTAGE_AT + HOLDOVER_MS,
	  .ppm = { -SLEW_PPM, SLEW_PPM, -SLEW_PPM } },
	{ "only the old owner without the store", .taken_at = TAKEOVER_AT },
	{ "only the old owner without the store, clocks drift",
	  .taken_at = TAKEOVER_AT, .ppm = { -SLEW_PPM, SLEW_PPM, -SLEW_PPM } },
	{ "the same, acks delayed by 15 s", .taken_at = TAKEOVER_AT,
	  .ack_delay = ACK_DELAY_MS,
	  .ppm = { -SLEW_PPM, SLEW_PPM, -SLEW_PPM } },
	{ "agent follows the new owner", .taken_at = TAKEOVER_AT,
	  .new_reached_at = TAKEOVER_AT + 1000,
	  .ppm = { -SLEW_PPM, SLEW_PPM, -SLEW_PPM }, .survives = 1 },
	{ "agent follows the new owner, then silent", .taken_at = TAKEOVER_AT,
	  .new_reached_at = TAKEOVER_AT + 1000,
	  .new_lost_at = TAKEOVER_AT + 300 * SECOND,
	  .ppm = { -SLEW_PPM, SLEW_PPM, -SLEW_PPM } },
	{ "silent agent, acks delayed by 15 s", .store_back_at = OUTAGE_AT,
	  .old_lost_at = OUTAGE_AT + 20 * SECOND, .ack_delay = ACK_DELAY_MS },
	/* At this rate T + L take 40 s; the owner waits for 42 s. */
	{ "silent agent, its clock at three quarters of the rate",
	  .store_back_at = OUTAGE_AT, .old_lost_at = OUTAGE_AT + 20 * SECOND,
	  .ppm = { 0, 0, -250000 } },
};

/* An ack, or with seq 0 an announcement of the owner, sent to the agent. */
struct packet {
	int64_t at;
	uint64_t seq, epoch;
};

struct owner_state {
	struct owner_lease lease;
	struct agent_contact contact;
	int active;
};

struct model {
	const struct scenario *s;
	int64_t now;
	struct owner_state owners[AGENT];
	struct grants grants;
	struct grant_task task;
	int64_t lease_until; /* of the run, on the clock of its VM */
	int alive;
	uint64_t seq;
	struct packet queue[QUEUE_MAX];
	size_t first, last;
};

/* Each clock has its own origin and rate. */
static struct mstime clock_of(const struct model *m, enum party party)
{
	return mstime_from(1000000 * (party + 1) + m->now +
			   m->now * m->s->ppm[party] / 1000000);
}

static int in_contact(const struct model *m, enum party owner)
{
	const struct scenario *s = m->s;

	if (owner == OLD_OWNER)
		return !s->old_lost_at || m->now < s->old_lost_at;
	return s->new_reached_at && m->now >= s->new_reached_at &&
	       (!s->new_lost_at || m->now < s->new_lost_at);
}

static void send_to_agent(struct model *m, enum party owner, uint64_t seq)
{
	struct packet *packet = &m->queue[m->last++ % QUEUE_MAX];

	packet->at = m->now + m->s->ack_delay;
	packet->seq = seq;
	packet->epoch = m->owners[owner].lease.epoch;
	assert_true(m->last - m->first <= QUEUE_MAX);
}

static void deliver(struct model *m)
{
	while (m->first != m->last &&
	       m->queue[m->first % QUEUE_MAX].at <= m->now) {
		const struct packet *p = &m->queue[m->first++ % QUEUE_MAX];

		if (p->seq)
			grants_ack(&m->grants, 0, p->epoch, p->seq, 1,
				   clock_of(m, AGENT));
		else
			grants_advance_epoch(&m->grants, 0, p->epoch);
	}
}

static void receive_report(struct model *m, enum party party)
{
	struct owner_state *owner = &m->owners[party];
	struct mstime now = clock_of(m, party);

	if (!owner->active || !in_contact(m, party))
		return;
	agent_contact_report(&owner->contact, grants_epoch(&m->grants, 0),
			     &owner->lease, now);
	if (!owner_lease_may_extend(&owner->lease, &bounds, 1, now))
		return;
	agent_contact_extend(&owner->contact, now);
	send_to_agent(m, party, m->seq);
}

static void owner_step(struct model *m, enum party party)
{
	struct owner_state *owner = &m->owners[party];
	struct mstime now = clock_of(m, party);
	int store = party == NEW_OWNER || m->now < OUTAGE_AT ||
		    (m->s->store_back_at && m->now >= m->s->store_back_at);

	if (party == NEW_OWNER && m->s->taken_at && m->now == m->s->taken_at) {
		owner_lease_init(&owner->lease, 2, HOLDOVER_MS, &bounds, now);
		owner->active = 1;
	}
	if (!owner->active)
		return;
	if (store && m->now % KEEPALIVE_MS == 0)
		owner_lease_renewed(&owner->lease, now);
	if (in_contact(m, party) && !owner->contact.epoch_confirmed)
		send_to_agent(m, party, 0);
}

static void agent_step(struct model *m)
{
	struct mstime now = clock_of(m, AGENT);

	if (m->alive && grants_valid(&m->task, now))
		m->lease_until = now.ms + LEASE_MS;
	if (now.ms >= m->lease_until)
		m->alive = 0;
	m->seq++;
	grants_record_report(&m->task, m->seq, now);
	receive_report(m, OLD_OWNER);
	receive_report(m, NEW_OWNER);
}

/*
 * RETURN VALUE
 *	1 while the owner must not start the job elsewhere. After a takeover
 *	the old owner never may: the store refuses its commits.
 */
static int must_wait(const struct model *m, enum party party)
{
	const struct owner_state *owner = &m->owners[party];
	struct mstime stopped_at = owner_lease_stopped_at(
		&owner->lease, &bounds, &owner->contact, party == NEW_OWNER,
		owner->lease.taken_at);

	if (party == OLD_OWNER && m->s->taken_at && m->now >= m->s->taken_at)
		return 1;
	return !owner->active || mstime_before(clock_of(m, party), stopped_at);
}

static void run_scenario(struct model *m, const struct scenario *s)
{
	memset(m, 0, sizeof(*m));
	m->s = s;
	m->alive = 1;
	m->owners[OLD_OWNER].active = 1;
	owner_lease_init(&m->owners[OLD_OWNER].lease, 1, 0, &bounds,
			 clock_of(m, OLD_OWNER));
	grants_init(&m->grants, GRANT_MS);
	grants_add(&m->grants, &m->task, 0, "j", 1, clock_of(m, AGENT));
	m->task.phase = GRANT_LIVE;
	m->lease_until = clock_of(m, AGENT).ms + LEASE_MS + s->ack_delay;
	for (m->now = 0; m->now < END_AT; m->now += SECOND) {
		owner_step(m, OLD_OWNER);
		owner_step(m, NEW_OWNER);
		agent_step(m);
		deliver(m);
		if (m->alive &&
		    (!must_wait(m, OLD_OWNER) || !must_wait(m, NEW_OWNER)))
			fail_msg("%s: at %lld ms an owner counts the run as "
				 "stopped, and it runs",
				 s->name, (long long)m->now);
	}
	grants_clear(&m->grants);
}

/*
 * Guards against a run that its owner, or the next one, counts as stopped while
 * it still runs, and against a run that ends because of a store outage shorter
 * than H. In both cases the clocks of owners and VM may differ in rate.
 */
static void test_outage_and_drift(void **state)
{
	static struct model m;
	size_t i;

	for (i = 0; i < sizeof(scenarios) / sizeof(scenarios[0]); i++) {
		run_scenario(&m, &scenarios[i]);
		if (m.alive != scenarios[i].survives)
			fail_msg("%s: the run %s", scenarios[i].name,
				 m.alive ? "goes on" : "has ended");
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_outage_and_drift),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
