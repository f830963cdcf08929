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

/* The record in the store; delayed writes change it too. */
struct stored_record {
	int exists;
	struct claim_record record;
	int64_t next_revision;
};

struct write {
	int used;
	int64_t revision; /* expected; 0: the record must not exist */
	int remove;
	struct claim_record record;
};

struct claimant {
	struct claim claim;
	enum claim_effect effect; /* to carry out next */
	int crashed;
	int runs, answered_not_run, answered_done;
	int run_left; /* steps until the run ends */
};

struct model {
	struct rng rng;
	struct stored_record stored;
	struct write delayed[16];
	struct claimant claimants[CLAIMANTS];
	int loss_percent, crash_percent;
};

static int chance(struct model *model, int percent)
{
	return (int)rng_below(&model->rng, 100) < percent;
}

static int apply_write(struct stored_record *stored, const struct write *write)
{
	int64_t current = stored->exists ? stored->record.revision : 0;

	if (write->revision != current)
		return ERR_CONFLICT;
	stored->exists = !write->remove;
	stored->record = write->record;
	stored->record.revision = ++stored->next_revision;
	return 0;
}

/*
 * Sends a write to the store. It succeeds with a response, is not sent, takes
 * effect without a response, is lost, or takes effect much later.
 */
static int try_write(struct model *model, const struct write *write)
{
	size_t i;

	if (!chance(model, model->loss_percent))
		return apply_write(&model->stored, write);
	switch (rng_below(&model->rng, 4)) {
	case 0:
		return ERR_UNAVAILABLE;
	case 1:
		apply_write(&model->stored, write);
		return ERR_UNKNOWN;
	case 2:
		return ERR_UNKNOWN;
	}
	for (i = 0; i < sizeof(model->delayed) / sizeof(model->delayed[0]);
	     i++) {
		if (model->delayed[i].used)
			continue;
		model->delayed[i] = *write;
		model->delayed[i].used = 1;
		break;
	}
	return ERR_UNKNOWN;
}

static void deliver_delayed(struct model *model)
{
	size_t i;

	for (i = 0; i < sizeof(model->delayed) / sizeof(model->delayed[0]);
	     i++) {
		if (!model->delayed[i].used || !chance(model, 10))
			continue;
		model->delayed[i].used = 0;
		apply_write(&model->stored, &model->delayed[i]);
	}
}

static struct write make_write(const struct claimant *claimant,
			       int64_t revision, enum claim_record_state state)
{
	struct write write = { .revision = revision };

	write.record.state = state;
	write.record.has_body = 1;
	str_copy(write.record.token, claimant->claim.token, ID_SIZE);
	str_copy(write.record.fingerprint, claimant->claim.fingerprint,
		 CLAIM_FINGERPRINT_SIZE);
	return write;
}

static enum claim_effect do_get(struct model *model, struct claimant *claimant)
{
	if (chance(model, model->loss_percent))
		return claim_on_get(&claimant->claim, ERR_UNAVAILABLE, NULL);
	if (!model->stored.exists)
		return claim_on_get(&claimant->claim, ERR_NOT_FOUND, NULL);
	return claim_on_get(&claimant->claim, 0, &model->stored.record);
}

static enum claim_effect do_put(struct model *model, struct claimant *claimant)
{
	struct write write = make_write(claimant, 0, CLAIM_RECORD_CLAIMED);
	int err = try_write(model, &write);

	return claim_on_put(&claimant->claim, err, model->stored.next_revision);
}

static enum claim_effect do_store(struct model *model,
				  struct claimant *claimant)
{
	struct write write = make_write(claimant, claimant->claim.revision,
					CLAIM_RECORD_DONE);
	int err = try_write(model, &write);

	return claim_on_store(&claimant->claim, err,
			      model->stored.next_revision);
}

static enum claim_effect do_delete(struct model *model,
				   struct claimant *claimant)
{
	struct write write = make_write(claimant, claimant->claim.revision,
					CLAIM_RECORD_CLAIMED);

	write.remove = 1;
	return claim_on_delete(&claimant->claim, try_write(model, &write));
}

/*
 * The upstream runs the request, or an agent proves that it did not run, or the
 * outcome is unknown.
 */
static enum claim_effect do_run(struct model *model, struct claimant *claimant)
{
	if (chance(model, 30))
		return claim_on_run(&claimant->claim, OUTCOME_NOT_RUN);
	claimant->runs++;
	if (chance(model, 30))
		return claim_on_run(&claimant->claim, OUTCOME_UNKNOWN);
	claimant->answered_done = 1;
	return claim_on_run(&claimant->claim, OUTCOME_DONE);
}

static void step(struct model *model, struct claimant *claimant)
{
	switch (claimant->effect) {
	case CLAIM_PUT:
		claimant->effect = do_put(model, claimant);
		break;
	case CLAIM_GET:
		claimant->effect = do_get(model, claimant);
		break;
	case CLAIM_RUN:
		claimant->effect = do_run(model, claimant);
		break;
	case CLAIM_DELETE:
		claimant->effect = do_delete(model, claimant);
		break;
	case CLAIM_STORE:
		claimant->effect = do_store(model, claimant);
		break;
	case CLAIM_WAIT:
		claimant->effect = claim_on_wait(&claimant->claim);
		break;
	case CLAIM_NOT_RUN:
		claimant->answered_not_run = 1;
		claimant->effect = CLAIM_END;
		break;
	case CLAIM_REPLAY:
	case CLAIM_DONE_NO_BODY:
		claimant->answered_done = 1;
		claimant->effect = CLAIM_END;
		break;
	default:
		claimant->effect = CLAIM_END;
		break;
	}
}

static int count_runs(const struct model *model)
{
	int i, runs = 0;

	for (i = 0; i < CLAIMANTS; i++)
		runs += model->claimants[i].runs;
	return runs;
}

static void check_responses(const struct model *model, int seed)
{
	int i, runs = count_runs(model);

	if (runs > 1)
		fail_msg("seed %d: %d runs", seed, runs);
	for (i = 0; i < CLAIMANTS; i++) {
		const struct claimant *claimant = &model->claimants[i];

		if (claimant->answered_not_run && claimant->runs)
			fail_msg("seed %d: not-run, but it ran", seed);
		if (claimant->answered_done && !runs)
			fail_msg("seed %d: done, but it did not run", seed);
	}
}

static void start_model(struct model *model, int seed)
{
	int i;

	memset(model, 0, sizeof(*model));
	rng_seed(&model->rng, (uint64_t)seed);
	model->loss_percent = (int)rng_below(&model->rng, 60);
	model->crash_percent = (int)rng_below(&model->rng, 10);
	for (i = 0; i < CLAIMANTS; i++) {
		char token[16];

		snprintf(token, sizeof(token), "e%d-%d", i, seed);
		claim_init(&model->claimants[i].claim, token, "same");
		model->claimants[i].effect =
			claim_start(&model->claimants[i].claim);
	}
}

static int count_active(const struct model *model)
{
	int i, count = 0;

	for (i = 0; i < CLAIMANTS; i++)
		count += !model->claimants[i].crashed &&
			 model->claimants[i].effect != CLAIM_END;
	return count;
}

/*
 * Guards against a second run of a request, and against a response not-run or
 * done that is false. Four claimants run in random order; writes are lost and
 * delayed, and claimants crash.
 */
static void test_random_schedules(void **state)
{
	int seed, done = 0, not_run = 0, i;

	for (seed = 1; seed <= SCHEDULES; seed++) {
		struct model model;
		int steps = 0;

		start_model(&model, seed);
		while (count_active(&model) && steps++ < STEPS_MAX) {
			struct claimant *claimant = &model.claimants[rng_below(
				&model.rng, CLAIMANTS)];

			deliver_delayed(&model);
			if (chance(&model, model.crash_percent))
				claimant->crashed |= chance(&model, 20);
			if (!claimant->crashed)
				step(&model, claimant);
			check_responses(&model, seed);
		}
		assert_true(steps < STEPS_MAX);
		for (i = 0; i < CLAIMANTS; i++) {
			done += model.claimants[i].answered_done;
			not_run += model.claimants[i].answered_not_run;
		}
	}
	/* Few responses of either kind would make the test meaningless. */
	assert_true(done > SCHEDULES / 4 && not_run > SCHEDULES / 10);
}

static struct claim_record make_record(const char *token,
				       const char *fingerprint,
				       enum claim_record_state record_state,
				       int has_body)
{
	struct claim_record result = { .state = record_state,
				       .has_body = has_body };

	str_copy(result.token, token, ID_SIZE);
	str_copy(result.fingerprint, fingerprint, CLAIM_FINGERPRINT_SIZE);
	return result;
}

/*
 * Guards against a wrong response when the record exists already: a second run,
 * or a replay to a request with another fingerprint.
 */
static void test_existing_records(void **state)
{
	static const struct {
		const char *token, *fingerprint;
		enum claim_record_state state;
		int has_body;
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
			make_record(cases[i].token, cases[i].fingerprint,
				    cases[i].state, cases[i].has_body);
		struct claim claim;

		claim_init(&claim, "me", "f");
		assert_int_equal(claim_start(&claim), CLAIM_PUT);
		assert_int_equal(claim_on_put(&claim, ERR_CONFLICT, 0),
				 CLAIM_GET);
		assert_int_equal(claim_on_get(&claim, 0, &found),
				 cases[i].effect);
	}
}

/*
 * Guards against the response not-run when the write of the record failed and
 * an earlier request with the same key may have run.
 */
static void test_put_failures(void **state)
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

/* Guards against a run after the caller has been sent a timeout. */
static void test_abandoned_claim(void **state)
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
		cmocka_unit_test(test_put_failures),
		cmocka_unit_test(test_abandoned_claim),
		cmocka_unit_test(test_random_schedules),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
