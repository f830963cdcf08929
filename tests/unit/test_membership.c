#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "membership.h"

#define MEMBER_COUNT 5000

static void announce(struct membership *membership, int number, uint64_t seq,
		     int64_t now_ms)
{
	struct msg_announce msg = { .incarnation = 1, .seq = seq };

	snprintf(msg.agent, sizeof(msg.agent), "vm-%d", number);
	msg.state = AGENT_READY;
	membership_apply_announce(membership, &msg, "peer/1",
				  (struct mstime){ now_ms });
}

static int is_known(const struct membership *membership, int number)
{
	char agent[ID_SIZE];
	const struct member *member;

	snprintf(agent, sizeof(agent), "vm-%d", number);
	member = membership_find(membership, agent);
	assert_true(!member || !strcmp(member->agent, agent));
	return member != NULL;
}

static void on_remove(void *arg, struct member *member)
{
	++*(int *)arg;
}

/* Guards against an index that loses members when it grows or shrinks. */
static void test_find_after_growth_and_expiry(void **state)
{
	struct membership m;
	int removed = 0, i;

	membership_init(&m);
	m.on_remove = on_remove;
	m.on_remove_arg = &removed;
	assert_false(is_known(&m, 0));
	for (i = 0; i < MEMBER_COUNT; i++)
		announce(&m, i, 1, 0);
	for (i = 0; i < MEMBER_COUNT; i += 2)
		announce(&m, i, 2, 1000);
	membership_expire(&m, (struct mstime){ MEMBER_EXPIRE_AFTER_MS });
	assert_int_equal(removed, 0);
	membership_expire(&m, (struct mstime){ MEMBER_EXPIRE_AFTER_MS + 1 });
	assert_int_equal(removed, MEMBER_COUNT / 2);
	assert_int_equal(m.count, MEMBER_COUNT / 2);
	for (i = 0; i < MEMBER_COUNT; i++)
		assert_int_equal(is_known(&m, i), i % 2 == 0);
	membership_clear(&m);
	assert_int_equal(removed, MEMBER_COUNT);
}

/* Guards against a stale announcement that delays a member's expiry. */
static void test_stale_announcement_does_not_delay_expiry(void **state)
{
	struct membership m;

	membership_init(&m);
	announce(&m, 1, 5, 0);
	announce(&m, 1, 5, 50000);
	announce(&m, 2, 1, 50000);
	membership_expire(&m, (struct mstime){ MEMBER_EXPIRE_AFTER_MS + 1 });
	assert_false(is_known(&m, 1));
	assert_true(is_known(&m, 2));
	membership_clear(&m);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_find_after_growth_and_expiry),
		cmocka_unit_test(test_stale_announcement_does_not_delay_expiry),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
