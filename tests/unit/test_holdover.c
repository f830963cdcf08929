#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "grants.h"
#include "ownerlease.h"

#define L 10000
#define T 20000
#define H 3600000
#define TTL 15000
#define SECOND 1000
#define KEEPALIVE (5 * SECOND)
#define OUTAGE (60 * SECOND)	  /* the old owner loses the store */
#define TAKEN (OUTAGE + TTL)	  /* first moment for a new owner */
#define END (H + OUTAGE + 200000) /* past every wait of an owner */
#define QUEUE 256
/* More than the owner's reserve, less than an agent remembers reports. */
#define LATE (15 * SECOND)
/* The largest rate at which Linux slews a clock to follow NTP. */
#define SLEW 500

static const struct lease_durations bounds = { L, T, H, TTL };

enum party {
	OLD,
	NEW,
	AGENT,
	PARTIES
};

/* Times are true times; 0: never. Rates are in parts per million. */
struct scenario {
	const char *what;
	int64_t store_back;	/* the old owner has the store again */
	int64_t old_cut;	/* agent and old owner lose contact */
	int64_t taken;		/* a new owner takes the partition over */
	int64_t heard, unheard; /* agent and new owner have contact */
	int64_t ack_delay;
	int64_t ppm[PARTIES];
	int survives;
};

static const struct scenario scenarios[] = {
	{ "outage just under an hour", .store_back = OUTAGE + H - 10 * SECOND,
	  .survives = 1 },
	{ "outage just under an hour, clocks drift",
	  .store_back = OUTAGE + H - 10 * SECOND, .ppm = { SLEW, 0, -SLEW },
	  .survives = 1 },
	{ "outage over an hour" },
	{ "outage over an hour, clocks drift", .ppm = { -SLEW, 0, -SLEW } },
	{ "outage over an hour, new owner after it", .taken = OUTAGE + H,
	  .ppm = { -SLEW, SLEW, -SLEW } },
	{ "only the old owner cut from the store", .taken = TAKEN },
	{ "only the old owner cut from the store, clocks drift", .taken = TAKEN,
	  .ppm = { -SLEW, SLEW, -SLEW } },
	{ "the same, answers 15 s late", .taken = TAKEN, .ack_delay = LATE,
	  .ppm = { -SLEW, SLEW, -SLEW } },
	{ "adopted by the new owner", .taken = TAKEN, .heard = TAKEN + 1000,
	  .ppm = { -SLEW, SLEW, -SLEW }, .survives = 1 },
	{ "adopted by the new owner, then silent", .taken = TAKEN,
	  .heard = TAKEN + 1000, .unheard = TAKEN + 300 * SECOND,
	  .ppm = { -SLEW, SLEW, -SLEW } },
	{ "silent agent, answers 15 s late", .store_back = OUTAGE,
	  .old_cut = OUTAGE + 20 * SECOND, .ack_delay = LATE },
	/* T + L at this rate take 40 s; the owner waits for 42 s. */
	{ "silent agent, its clock at three quarters of the rate",
	  .store_back = OUTAGE, .old_cut = OUTAGE + 20 * SECOND,
	  .ppm = { 0, 0, -250000 } },
};

/* An ack, or news of the owner (seq 0), on its way to the agent. */
struct packet {
	int64_t at;
	uint64_t seq, epoch;
};

struct holder {
	struct owner_lease lease;
	struct agent_contact contact;
	int active;
};

struct world {
	const struct scenario *s;
	int64_t now;
	struct holder owners[AGENT];
	struct grants grants;
	struct grant_task task;
	int64_t lease_until; /* of the run, on the clock of its VM */
	int alive;
	uint64_t seq;
	struct packet queue[QUEUE];
	size_t first, last;
};

/* Each clock has an origin of its own. */
static struct mstime clock_of(const struct world *w, enum party party)
{
	return mstime_from(1000000 * (party + 1) + w->now +
			   w->now * w->s->ppm[party] / 1000000);
}

static int in_contact(const struct world *w, enum party owner)
{
	const struct scenario *s = w->s;

	if (owner == OLD)
		return !s->old_cut || w->now < s->old_cut;
	return s->heard && w->now >= s->heard &&
	       (!s->unheard || w->now < s->unheard);
}

static void post(struct world *w, enum party owner, uint64_t seq)
{
	struct packet *packet = &w->queue[w->last++ % QUEUE];

	packet->at = w->now + w->s->ack_delay;
	packet->seq = seq;
	packet->epoch = w->owners[owner].lease.epoch;
	assert_true(w->last - w->first <= QUEUE);
}

static void deliver(struct world *w)
{
	while (w->first != w->last && w->queue[w->first % QUEUE].at <= w->now) {
		const struct packet *p = &w->queue[w->first++ % QUEUE];

		if (p->seq)
			grants_ack(&w->grants, 0, p->epoch, p->seq, 1,
				   clock_of(w, AGENT));
		else
			grants_advance_epoch(&w->grants, 0, p->epoch);
	}
}

static void receive_report(struct world *w, enum party party)
{
	struct holder *owner = &w->owners[party];
	struct mstime now = clock_of(w, party);

	if (!owner->active || !in_contact(w, party))
		return;
	agent_contact_report(&owner->contact, grants_epoch(&w->grants, 0),
			     &owner->lease, now);
	if (!owner_lease_may_extend(&owner->lease, &bounds, 1, now))
		return;
	agent_contact_extend(&owner->contact, now);
	post(w, party, w->seq);
}

static void owner_step(struct world *w, enum party party)
{
	struct holder *owner = &w->owners[party];
	struct mstime now = clock_of(w, party);
	int store = party == NEW || w->now < OUTAGE ||
		    (w->s->store_back && w->now >= w->s->store_back);

	if (party == NEW && w->s->taken && w->now == w->s->taken) {
		owner_lease_init(&owner->lease, 2, H, &bounds, now);
		owner->active = 1;
	}
	if (!owner->active)
		return;
	if (store && w->now % KEEPALIVE == 0)
		owner_lease_renewed(&owner->lease, now);
	if (in_contact(w, party) && !owner->contact.epoch_confirmed)
		post(w, party, 0);
}

static void agent_step(struct world *w)
{
	struct mstime now = clock_of(w, AGENT);

	if (w->alive && grants_valid(&w->task, now))
		w->lease_until = now.ms + L;
	if (now.ms >= w->lease_until)
		w->alive = 0;
	w->seq++;
	grants_record_report(&w->task, w->seq, now);
	receive_report(w, OLD);
	receive_report(w, NEW);
}

/*
 * RETURN VALUE: 1 while the owner must not start the job elsewhere. After a
 * takeover the store refuses whatever the old owner would commit.
 */
static int waits(const struct world *w, enum party party)
{
	const struct holder *owner = &w->owners[party];
	struct mstime stopped_at =
		owner_lease_stopped_at(&owner->lease, &bounds, &owner->contact,
				       party == NEW, owner->lease.taken_at);

	if (party == OLD && w->s->taken && w->now >= w->s->taken)
		return 1;
	return !owner->active || mstime_before(clock_of(w, party), stopped_at);
}

static void run(struct world *w, const struct scenario *s)
{
	memset(w, 0, sizeof(*w));
	w->s = s;
	w->alive = 1;
	w->owners[OLD].active = 1;
	owner_lease_init(&w->owners[OLD].lease, 1, 0, &bounds,
			 clock_of(w, OLD));
	grants_init(&w->grants, T);
	grants_add(&w->grants, &w->task, 0, "j", 1, clock_of(w, AGENT));
	w->task.phase = GRANT_LIVE;
	w->lease_until = clock_of(w, AGENT).ms + L + s->ack_delay;
	for (w->now = 0; w->now < END; w->now += SECOND) {
		owner_step(w, OLD);
		owner_step(w, NEW);
		agent_step(w);
		deliver(w);
		if (w->alive && (!waits(w, OLD) || !waits(w, NEW)))
			fail_msg("%s: at %lld ms an owner counts the run as "
				 "stopped, and it runs",
				 s->what, (long long)w->now);
	}
	grants_clear(&w->grants);
}

/*
 * Guards against a run that its owner, or the next one, counts as stopped
 * while it goes on, and against one that an outage of the store below H ends,
 * when the clocks of owners and VM differ in their rates.
 */
static void test_outage_and_drift(void **state)
{
	static struct world w;
	size_t i;

	for (i = 0; i < sizeof(scenarios) / sizeof(scenarios[0]); i++) {
		run(&w, &scenarios[i]);
		if (w.alive != scenarios[i].survives)
			fail_msg("%s: the run %s", scenarios[i].what,
				 w.alive ? "goes on" : "has ended");
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_outage_and_drift),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
