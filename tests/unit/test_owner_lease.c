#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

#include "ownerlease.h"

#define L 10000
#define T 20000
#define H 3600000
#define TTL 15000
#define WAIT (T + 2 * L + LEASE_MARGIN_MS)
#define TAKEN 1000000

static const struct lease_durations bounds = { L, T, H, TTL };

/* Contact with the agent of one run, and when that run counts as stopped. */
static const struct {
	const char *what;
	int inherited;
	int64_t earlier_holdover;
	int64_t adopted_at, extended_at, sent_at; /* 0: never */
	int64_t stopped_at;
} cases[] = {
	{ "never heard of, earlier owner may hold over", 1, H, 0, 0, TAKEN,
	  TAKEN + H + WAIT },
	{ "never heard of, earlier owner released", 1, 0, 0, 0, TAKEN,
	  TAKEN + WAIT },
	{ "adopted, then silent", 1, H, TAKEN + 50, 0, TAKEN,
	  TAKEN + 50 + WAIT },
	{ "adopted and extended", 1, H, TAKEN + 50, TAKEN + 90, TAKEN,
	  TAKEN + 90 + WAIT },
	{ "own run, never reported", 0, H, 0, 0, TAKEN + 70,
	  TAKEN + 70 + WAIT },
	{ "own run, start sent again after the last answer", 0, H, TAKEN + 5,
	  TAKEN + 30, TAKEN + 80, TAKEN + 80 + WAIT },
};

/* Guards against a run that is moved while its agent may still renew it. */
static void test_stopped_at(void **state)
{
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct agent_contact contact = { 0 };
		struct owner_lease lease;
		struct mstime got;

		owner_lease_init(&lease, 5, cases[i].earlier_holdover, &bounds,
				 mstime_from(TAKEN));
		agent_contact_report(&contact, 4, &lease, mstime_from(TAKEN));
		assert_false(contact.epoch_confirmed);
		if (cases[i].adopted_at)
			agent_contact_report(&contact, 5, &lease,
					     mstime_from(cases[i].adopted_at));
		if (cases[i].extended_at)
			agent_contact_extend(&contact,
					     mstime_from(cases[i].extended_at));
		got = owner_lease_stopped_at(&lease, &bounds, &contact,
					     cases[i].inherited,
					     mstime_from(cases[i].sent_at));
		assert_int_equal(got.ms, cases[i].stopped_at);
	}
}

/* Guards against grants that outlive H, and agents that forgot their epoch. */
static void test_may_extend(void **state)
{
	struct owner_lease lease;

	owner_lease_init(&lease, 1, 0, &bounds, mstime_from(0));
	owner_lease_renewed(&lease, mstime_from(500));
	owner_lease_renewed(&lease, mstime_from(100));
	assert_true(owner_lease_may_extend(&lease, &bounds, 0,
					   mstime_from(499 + TTL)));
	assert_false(owner_lease_may_extend(&lease, &bounds, 0,
					    mstime_from(500 + TTL)));
	assert_true(owner_lease_may_extend(&lease, &bounds, 1,
					   mstime_from(499 + H)));
	assert_false(owner_lease_may_extend(&lease, &bounds, 1,
					    mstime_from(500 + H)));
	owner_lease_release(&lease);
	assert_false(
		owner_lease_may_extend(&lease, &bounds, 1, mstime_from(501)));
	assert_int_equal(owner_lease_holdover(&lease, &bounds, mstime_from(0)),
			 0);
}

/* Guards against a changed H that this owner and the next one see apart. */
static void test_changed_holdover(void **state)
{
	const struct lease_durations lower = { L, T, 60000, TTL };
	const struct lease_durations higher = { L, T, 2 * H, TTL };
	struct owner_lease lease;

	owner_lease_init(&lease, 2, H, &bounds, mstime_from(TAKEN));
	owner_lease_lower_holdover(&lease, &lower);
	assert_false(owner_lease_may_extend(&lease, &lower, 1,
					    mstime_from(TAKEN + 60000)));
	assert_int_equal(owner_lease_holdover(&lease, &lower,
					      mstime_from(TAKEN + H - 1)),
			 H);
	assert_int_equal(
		owner_lease_holdover(&lease, &lower, mstime_from(TAKEN + H)),
		60000);
	owner_lease_lower_holdover(&lease, &higher);
	assert_false(owner_lease_may_extend(&lease, &higher, 1,
					    mstime_from(TAKEN + 60000)));
	owner_lease_commit_holdover(&lease, &higher, H);
	assert_true(owner_lease_may_extend(&lease, &higher, 1,
					   mstime_from(TAKEN + H - 1)));
	assert_false(owner_lease_may_extend(&lease, &higher, 1,
					    mstime_from(TAKEN + H)));
}

/* Guards against partitions that all entries claim at the same time. */
static void test_claim_ranks(void **state)
{
	static const char *const entries[] = { "e1", "e2", "e3", "e4" };
	int first[4] = { 0 };
	uint32_t n;
	size_t i;

	for (n = 0; n < 400; n++) {
		int64_t sum = 0;

		for (i = 0; i < 4; i++) {
			int64_t delay =
				owner_claim_delay_ms(n, entries[i], entries, 4);

			first[i] += !delay;
			sum += delay;
		}
		assert_int_equal(sum, 6 * OWNER_CLAIM_STEP_MS);
	}
	for (i = 0; i < 4; i++)
		assert_in_range(first[i], 60, 140);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_stopped_at),
		cmocka_unit_test(test_may_extend),
		cmocka_unit_test(test_changed_holdover),
		cmocka_unit_test(test_claim_ranks),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
