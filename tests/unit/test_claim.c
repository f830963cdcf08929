#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "claim.h"
#include "errors.h"
#include "mem.h"
#include "rng.h"

#define SCHEDULES 20000
#define CLAIMANTS 4
#define STEPS_MAX 4000

/* One value of the store; it changes by writes that arrive late, too. */
struct slot {
	int exists;
	struct claim_record record;
	int64_t next_revision;
};

struct write {
	int used;
	int64_t revision; /* 0: must not exist */
	int remove;
	struct claim_record record;
};

struct claimant {
	struct claim claim;
	enum claim_effect effect; /* to be carried out */
	int dead;
	int ran, answered_not_run, answered_done;
	int run_left; /* steps until the run ends */
};

struct world {
	struct rng rng;
	struct slot slot;
	struct write late[16];
	struct claimant claimants[CLAIMANTS];
	int loss, death;
};

static int chance(struct world *world, int percent)
{
	return (int)rng_below(&world->rng, 100) < percent;
}

static int apply(struct slot *slot, const struct write *write)
{
	int64_t current = slot->exists ? slot->record.revision : 0;

	if (write->revision != current)
		return ERR_CONFLICT;
	slot->exists = !write->remove;
	slot->record = write->record;
	slot->record.revision = ++slot->next_revision;
	return 0;
}

/*
 * A write succeeds with an answer, is not sent, takes effect without an
 * answer, is lost, or takes effect much later.
 */
static int attempt(struct world *world, const struct write *write)
{
	size_t i;

	if (!chance(world, world->loss))
		return apply(&world->slot, write);
	switch (rng_below(&world->rng, 4)) {
	case 0:
		return ERR_UNAVAILABLE;
	case 1:
		apply(&world->slot, write);
		return ERR_UNKNOWN;
	case 2:
		return ERR_UNKNOWN;
	}
	for (i = 0; i < sizeof(world->late) / sizeof(world->late[0]); i++) {
		if (world->late[i].used)
			continue;
		world->late[i] = *write;
		world->late[i].used = 1;
		break;
	}
	return ERR_UNKNOWN;
}

static void deliver_late(struct world *world)
{
	size_t i;

	for (i = 0; i < sizeof(world->late) / sizeof(world->late[0]); i++) {
		if (!world->late[i].used || !chance(world, 10))
			continue;
		world->late[i].used = 0;
		apply(&world->slot, &world->late[i]);
	}
}

static struct write write_of(const struct claimant *self, int64_t revision,
			     enum claim_record_state state)
{
	struct write write = { .revision = revision };

	write.record.state = state;
	write.record.has_body = 1;
	str_copy(write.record.token, self->claim.token, ID_SIZE);
	str_copy(write.record.fingerprint, self->claim.fingerprint,
		 CLAIM_FINGERPRINT_SIZE);
	return write;
}

static enum claim_effect do_get(struct world *world, struct claimant *self)
{
	if (chance(world, world->loss))
		return claim_on_get(&self->claim, ERR_UNAVAILABLE, NULL);
	if (!world->slot.exists)
		return claim_on_get(&self->claim, ERR_NOT_FOUND, NULL);
	return claim_on_get(&self->claim, 0, &world->slot.record);
}

static enum claim_effect do_put(struct world *world, struct claimant *self)
{
	struct write write = write_of(self, 0, CLAIM_RECORD_CLAIMED);
	int err = attempt(world, &write);

	return claim_on_put(&self->claim, err, world->slot.next_revision);
}

static enum claim_effect do_store(struct world *world, struct claimant *self)
{
	struct write write =
		write_of(self, self->claim.revision, CLAIM_RECORD_DONE);
	int err = attempt(world, &write);

	return claim_on_store(&self->claim, err, world->slot.next_revision);
}

static enum claim_effect do_delete(struct world *world, struct claimant *self)
{
	struct write write =
		write_of(self, self->claim.revision, CLAIM_RECORD_CLAIMED);

	write.remove = 1;
	return claim_on_delete(&self->claim, attempt(world, &write));
}

/* The upstream runs it, or an agent proves that it did not, or who knows. */
static enum claim_effect do_run(struct world *world, struct claimant *self)
{
	if (chance(world, 30))
		return claim_on_run(&self->claim, OUTCOME_NOT_RUN);
	self->ran++;
	if (chance(world, 30))
		return claim_on_run(&self->claim, OUTCOME_UNKNOWN);
	self->answered_done = 1;
	return claim_on_run(&self->claim, OUTCOME_DONE);
}

static void step(struct world *world, struct claimant *self)
{
	switch (self->effect) {
	case CLAIM_PUT:
		self->effect = do_put(world, self);
		break;
	case CLAIM_GET:
		self->effect = do_get(world, self);
		break;
	case CLAIM_RUN:
		self->effect = do_run(world, self);
		break;
	case CLAIM_DELETE:
		self->effect = do_delete(world, self);
		break;
	case CLAIM_STORE:
		self->effect = do_store(world, self);
		break;
	case CLAIM_WAIT:
		self->effect = claim_on_wait(&self->claim);
		break;
	case CLAIM_NOT_RUN:
		self->answered_not_run = 1;
		self->effect = CLAIM_END;
		break;
	case CLAIM_REPLAY:
	case CLAIM_DONE_NO_BODY:
		self->answered_done = 1;
		self->effect = CLAIM_END;
		break;
	default:
		self->effect = CLAIM_END;
		break;
	}
}

static int runs_of(const struct world *world)
{
	int i, runs = 0;

	for (i = 0; i < CLAIMANTS; i++)
		runs += world->claimants[i].ran;
	return runs;
}

static void check(const struct world *world, int seed)
{
	int i, runs = runs_of(world);

	if (runs > 1)
		fail_msg("seed %d: %d runs", seed, runs);
	for (i = 0; i < CLAIMANTS; i++) {
		const struct claimant *self = &world->claimants[i];

		if (self->answered_not_run && self->ran)
			fail_msg("seed %d: not-run, but it ran", seed);
		if (self->answered_done && !runs)
			fail_msg("seed %d: done, but it did not run", seed);
	}
}

static void start_world(struct world *world, int seed)
{
	int i;

	memset(world, 0, sizeof(*world));
	rng_seed(&world->rng, (uint64_t)seed);
	world->loss = (int)rng_below(&world->rng, 60);
	world->death = (int)rng_below(&world->rng, 10);
	for (i = 0; i < CLAIMANTS; i++) {
		char token[16];

		snprintf(token, sizeof(token), "e%d-%d", i, seed);
		claim_init(&world->claimants[i].claim, token, "same");
		world->claimants[i].effect =
			claim_start(&world->claimants[i].claim);
	}
}

static int busy(const struct world *world)
{
	int i, count = 0;

	for (i = 0; i < CLAIMANTS; i++)
		count += !world->claimants[i].dead &&
			 world->claimants[i].effect != CLAIM_END;
	return count;
}

/*
 * Guards against a second run, and a not-run that is not true, in random
 * orders of four claimants with lost and late writes and claimants that die.
 */
static void test_random_schedules(void **state)
{
	int seed, done = 0, not_run = 0, i;

	for (seed = 1; seed <= SCHEDULES; seed++) {
		struct world world;
		int steps = 0;

		start_world(&world, seed);
		while (busy(&world) && steps++ < STEPS_MAX) {
			struct claimant *self = &world.claimants[rng_below(
				&world.rng, CLAIMANTS)];

			deliver_late(&world);
			if (chance(&world, world.death))
				self->dead |= chance(&world, 20);
			if (!self->dead)
				step(&world, self);
			check(&world, seed);
		}
		assert_true(steps < STEPS_MAX);
		for (i = 0; i < CLAIMANTS; i++) {
			done += world.claimants[i].answered_done;
			not_run += world.claimants[i].answered_not_run;
		}
	}
	/* The schedules must reach both ends often, or they show nothing. */
	assert_true(done > SCHEDULES / 4 && not_run > SCHEDULES / 10);
}

static struct claim_record record(const char *token, const char *fingerprint,
				  enum claim_record_state record_state,
				  int whole)
{
	struct claim_record result = { .state = record_state,
				       .has_body = whole };

	str_copy(result.token, token, ID_SIZE);
	str_copy(result.fingerprint, fingerprint, CLAIM_FINGERPRINT_SIZE);
	return result;
}

/* What a caller is told when the key exists already. */
static void test_existing_records(void **state)
{
	static const struct {
		const char *token, *fingerprint;
		enum claim_record_state state;
		int whole;
		enum claim_effect effect;
	} cases[] = {
		{ "me", "f", CLAIM_RECORD_CLAIMED, 0, CLAIM_RUN },
		{ "other", "f", CLAIM_RECORD_CLAIMED, 0, CLAIM_BUSY },
		{ "other", "f", CLAIM_RECORD_DONE, 1, CLAIM_REPLAY },
		{ "other", "f", CLAIM_RECORD_DONE, 0, CLAIM_DONE_NO_BODY },
		{ "other", "g", CLAIM_RECORD_DONE, 1, CLAIM_MISMATCH },
		{ "other", "g", CLAIM_RECORD_CLAIMED, 0, CLAIM_MISMATCH },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct claim_record found =
			record(cases[i].token, cases[i].fingerprint,
			       cases[i].state, cases[i].whole);
		struct claim claim;

		claim_init(&claim, "me", "f");
		assert_int_equal(claim_start(&claim), CLAIM_PUT);
		assert_int_equal(claim_on_put(&claim, ERR_CONFLICT, 0),
				 CLAIM_GET);
		assert_int_equal(claim_on_get(&claim, 0, &found),
				 cases[i].effect);
	}
}

/* Guards against "not run" while an earlier request may have run. */
static void test_store_trouble(void **state)
{
	struct claim claim;
	int i;

	claim_init(&claim, "me", "f");
	claim_start(&claim);
	assert_int_equal(claim_on_put(&claim, ERR_UNAVAILABLE, 0),
			 CLAIM_UNAVAILABLE);
	claim_init(&claim, "me", "f");
	assert_int_equal(claim_start(&claim), CLAIM_PUT);
	for (i = 1; i < CLAIM_PUT_ATTEMPTS_MAX; i++) {
		claim_on_put(&claim, ERR_UNKNOWN, 0);
		assert_int_equal(claim_on_get(&claim, ERR_NOT_FOUND, NULL),
				 CLAIM_PUT);
	}
	claim_on_put(&claim, ERR_UNKNOWN, 0);
	assert_int_equal(claim_on_get(&claim, ERR_NOT_FOUND, NULL),
			 CLAIM_UNAVAILABLE);
}

/* Guards against a run after the caller was told that it timed out. */
static void test_abandoned(void **state)
{
	struct claim claim;

	claim_init(&claim, "me", "f");
	claim_start(&claim);
	claim_abandon(&claim);
	assert_int_equal(claim_on_put(&claim, 0, 7), CLAIM_DELETE);
	assert_int_equal(claim.revision, 7);
	assert_int_equal(claim_on_delete(&claim, ERR_UNKNOWN), CLAIM_END);
	assert_int_equal(claim_on_put(&claim, 0, 8), CLAIM_NONE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_existing_records),
		cmocka_unit_test(test_store_trouble),
		cmocka_unit_test(test_abandoned),
		cmocka_unit_test(test_random_schedules),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
