#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

#include "ownerlease.h"

#define LEASE_MS 10000
#define GRANT_MS 20000
#define HOLDOVER_MS 3600000
#define STORE_TTL_MS 15000
#define WAIT_MS (GRANT_MS + 2 * LEASE_MS + LEASE_MARGIN_MS)
#define TAKEOVER_MS 1000000

static const struct lease_durations bounds = { LEASE_MS, GRANT_MS, HOLDOVER_MS,
					       STORE_TTL_MS };

/* Contacts with the agent of a run, and when that run counts as stopped. */
static const struct {
	const char *name;
	int inherited;
	int64_t previous_holdover;
	int64_t confirmed_at, extended_at, sent_at; /* 0: never */
	int64_t stopped_at;
} cases[] = {
	{ "no report, previous owner in holdover", 1, HOLDOVER_MS, 0, 0,
	  TAKEOVER_MS, TAKEOVER_MS + HOLDOVER_MS + WAIT_MS },
	{ "no report, previous owner released", 1, 0, 0, 0, TAKEOVER_MS,
	  TAKEOVER_MS + WAIT_MS },
	{ "epoch confirmed, then silent", 1, HOLDOVER_MS, TAKEOVER_MS + 50, 0,
	  TAKEOVER_MS, TAKEOVER_MS + 50 + WAIT_MS },
	{ "epoch confirmed and extended", 1, HOLDOVER_MS, TAKEOVER_MS + 50,
	  TAKEOVER_MS + 90, TAKEOVER_MS, TAKEOVER_MS + 90 + WAIT_MS },
	{ "own run, never reported", 0, HOLDOVER_MS, 0, 0, TAKEOVER_MS + 70,
	  TAKEOVER_MS + 70 + WAIT_MS },
	{ "own run, start sent again after the last ack", 0, HOLDOVER_MS,
	  TAKEOVER_MS + 5, TAKEOVER_MS + 30, TAKEOVER_MS + 80,
	  TAKEOVER_MS + 80 + WAIT_MS },
};

/*
 * Guards against a run that counts as stopped, and is started elsewhere, while
 * its agent may still renew its lease.
 */
static void test_stopped_at(void **state)
{
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct agent_contact contact = { 0 };
		struct owner_lease lease;
		struct mstime got;

		owner_lease_init(&lease, 5, cases[i].previous_holdover, &bounds,
				 mstime_from(TAKEOVER_MS));
		agent_contact_report(&contact, 4, &lease,
				     mstime_from(TAKEOVER_MS));
		assert_false(contact.epoch_confirmed);
		if (cases[i].confirmed_at)
			agent_contact_report(
				&contact, 5, &lease,
				mstime_from(cases[i].confirmed_at));
		if (cases[i].extended_at)
			agent_contact_extend(&contact,
					     mstime_from(cases[i].extended_at));
		got = owner_lease_stopped_at(&lease, &bounds, &contact,
					     cases[i].inherited,
					     mstime_from(cases[i].sent_at));
		assert_int_equal(got.ms, cases[i].stopped_at);
	}
}

/*
 * Guards against an owner that extends grants after H, and that does so without
 * a store lease for an agent incarnation that it does not know: a restarted
 * agent no longer knows the epoch that it followed.
 */
static void test_may_extend(void **state)
{
	struct owner_lease lease;

	owner_lease_init(&lease, 1, 0, &bounds, mstime_from(0));
	owner_lease_renewed(&lease, mstime_from(500));
	owner_lease_renewed(&lease, mstime_from(100));
	assert_true(owner_lease_may_extend(&lease, &bounds, 0,
					   mstime_from(499 + STORE_TTL_MS)));
	assert_false(owner_lease_may_extend(&lease, &bounds, 0,
					    mstime_from(500 + STORE_TTL_MS)));
	assert_true(owner_lease_may_extend(&lease, &bounds, 1,
					   mstime_from(499 + HOLDOVER_MS)));
	assert_false(owner_lease_may_extend(&lease, &bounds, 1,
					    mstime_from(500 + HOLDOVER_MS)));
	owner_lease_release(&lease);
	assert_false(
		owner_lease_may_extend(&lease, &bounds, 1, mstime_from(501)));
	assert_int_equal(owner_lease_holdover(&lease, &bounds, mstime_from(0)),
			 0);
}

/*
 * Guards against a change of H after which this owner extends grants for longer
 * than the next owner waits.
 */
static void test_changed_holdover(void **state)
{
	const struct lease_durations lower = { LEASE_MS, GRANT_MS, 60000,
					       STORE_TTL_MS };
	const struct lease_durations higher = { LEASE_MS, GRANT_MS,
						2 * HOLDOVER_MS, STORE_TTL_MS };
	struct owner_lease lease;

	owner_lease_init(&lease, 2, HOLDOVER_MS, &bounds,
			 mstime_from(TAKEOVER_MS));
	owner_lease_lower_holdover(&lease, &lower);
	assert_false(owner_lease_may_extend(&lease, &lower, 1,
					    mstime_from(TAKEOVER_MS + 60000)));
	assert_int_equal(owner_lease_holdover(
				 &lease, &lower,
				 mstime_from(TAKEOVER_MS + HOLDOVER_MS - 1)),
			 HOLDOVER_MS);
	assert_int_equal(
		owner_lease_holdover(&lease, &lower,
				     mstime_from(TAKEOVER_MS + HOLDOVER_MS)),
		60000);
	owner_lease_lower_holdover(&lease, &higher);
	assert_false(owner_lease_may_extend(&lease, &higher, 1,
					    mstime_from(TAKEOVER_MS + 60000)));
	owner_lease_commit_holdover(&lease, &higher, HOLDOVER_MS);
	assert_true(owner_lease_may_extend(
		&lease, &higher, 1,
		mstime_from(TAKEOVER_MS + HOLDOVER_MS - 1)));
	assert_false(owner_lease_may_extend(
		&lease, &higher, 1, mstime_from(TAKEOVER_MS + HOLDOVER_MS)));
}

/*
 * Guards against entries that claim an unowned partition at the same time, and
 * against an entry that ranks first for too many partitions.
 */
static void test_claim_ranks(void **state)
{
	static const char *const entries[] = { "e1", "e2", "e3", "e4" };
	int first_ranks[4] = { 0 };
	uint32_t n;
	size_t i;

	for (n = 0; n < 400; n++) {
		int64_t sum = 0;

		for (i = 0; i < 4; i++) {
			int64_t delay =
				owner_claim_delay_ms(n, entries[i], entries, 4);

			first_ranks[i] += !delay;
			sum += delay;
		}
		assert_int_equal(sum, 6 * OWNER_CLAIM_STEP_MS);
	}
	for (i = 0; i < 4; i++)
		assert_in_range(first_ranks[i], 60, 140);
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
