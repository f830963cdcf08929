#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "mem.h"
#include "route.h"

#define SEED 7
#define DRAWS 1000

struct fixture {
	struct membership membership;
	struct route *route;
	struct config config;
	struct mstime now;
	uint64_t seq;
};

static void on_remove(void *arg, struct member *member)
{
	route_remove(arg, member);
}

static void setup(struct fixture *f)
{
	membership_init(&f->membership);
	f->route = route_new(&f->membership, SEED);
	f->membership.on_remove = on_remove;
	f->membership.on_remove_arg = f->route;
	config_init(&f->config);
	f->now = mstime_from(100000);
	f->seq = 1;
}

static void teardown(struct fixture *f)
{
	membership_clear(&f->membership);
	route_delete(f->route);
}

static struct member *announce(struct fixture *f, const char *agent,
			       const char *region, enum agent_state state,
			       uint32_t in_flight)
{
	struct msg_announce msg = {
		.incarnation = 1,
		.service = "stock",
		.domain = "d1",
		.slots = 8,
		.connections = 64,
		.state = state,
		.load = { .in_flight = in_flight },
	};
	struct member *member;

	msg.seq = f->seq++;
	str_copy(msg.agent, agent, sizeof(msg.agent));
	str_copy(msg.region, region, sizeof(msg.region));
	membership_apply_announce(&f->membership, &msg, agent, f->now);
	member = membership_find(&f->membership, agent);
	route_update(f->route, member, &f->config);
	return member;
}

static struct route_choice choose(struct fixture *f, const char *tried)
{
	struct route_query query = {
		.service = "stock",
		.region = "a",
		.tried = { tried },
		.tried_count = tried ? 1 : 0,
		.may_probe = 1,
		.in_flight_limit = 100,
		.now = f->now,
	};
	struct route_choice choice;

	route_choose(f->route, &query, &choice);
	return choice;
}

/* RETURN VALUE: how many of DRAWS choices select the agent. */
static int count_choices(struct fixture *f, const char *agent)
{
	int i, count = 0;

	for (i = 0; i < DRAWS; i++) {
		struct route_choice choice = choose(f, NULL);

		count += choice.member && !strcmp(choice.member->agent, agent);
	}
	return count;
}

/* Guards against sending requests to members that must not get any. */
static void test_ineligible_members(void **state)
{
	static const struct {
		const char *label;
		enum agent_state agent_state;
		int age_ms;
		uint32_t in_flight;
		const char *drained;
		const char *tried;
		enum route_reason reason;
	} cases[] = {
		{ "ready", AGENT_READY, 0, 0, "", NULL, ROUTE_LOCAL_ONLY_ONE },
		{ "leaving", AGENT_LEAVING, 0, 0, "", NULL, ROUTE_NO_MEMBER },
		{ "not ready", AGENT_NOT_READY, 0, 0, "", NULL,
		  ROUTE_NO_MEMBER },
		{ "silent", AGENT_READY, 3001, 0, "", NULL, ROUTE_NO_ROOM },
		{ "full", AGENT_READY, 0, 8 + ROUTE_AGENT_QUEUE_MAX, "", NULL,
		  ROUTE_NO_ROOM },
		{ "drained", AGENT_READY, 0, 0, "d1", NULL, ROUTE_NO_MEMBER },
		{ "tried", AGENT_READY, 0, 0, "", "a1", ROUTE_NO_ROOM },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct fixture f;
		struct route_choice choice;

		setup(&f);
		if (cases[i].drained[0])
			str_copy(f.config.drained[f.config.drained_count++],
				 cases[i].drained, NAME_SIZE);
		announce(&f, "a1", "a", cases[i].agent_state,
			 cases[i].in_flight);
		f.now = mstime_add(f.now, cases[i].age_ms);
		choice = choose(&f, cases[i].tried);
		if (choice.reason != cases[i].reason)
			fail_msg("%s: %s", cases[i].label,
				 route_reason_name(choice.reason));
		teardown(&f);
	}
}

/*
 * Guards against sending request bodies over the link between regions
 * while a member in the local region has capacity.
 */
static void test_local_region_preferred(void **state)
{
	struct fixture f;
	struct member *local;

	setup(&f);
	local = announce(&f, "near", "a", AGENT_READY, 7);
	announce(&f, "far", "b", AGENT_READY, 0);
	assert_int_equal(count_choices(&f, "near"), DRAWS);
	local->own_in_flight = 8 + ROUTE_AGENT_QUEUE_MAX;
	assert_int_equal(count_choices(&f, "far"), DRAWS);
	assert_int_equal(choose(&f, NULL).reason, ROUTE_REMOTE);
	teardown(&f);
}

/*
 * Guards against all requests going to the same member (herding): a load
 * report of an idle member must not hide the requests that this entry itself
 * has in flight there, and a report of a busy member must not be ignored.
 */
static void test_larger_of_own_and_reported_load(void **state)
{
	struct fixture f;
	struct member *first, *second;

	setup(&f);
	first = announce(&f, "a1", "a", AGENT_READY, 0);
	second = announce(&f, "a2", "a", AGENT_READY, 2);
	first->own_in_flight = 5;
	assert_int_equal(count_choices(&f, "a2"), DRAWS);
	second->load.queued = 7;
	assert_int_equal(count_choices(&f, "a1"), DRAWS);
	/* A stale report is ignored; only the own count is used. */
	f.membership.silent_after_ms = 10 * ROUTE_STALE_MS;
	f.now = mstime_add(f.now, ROUTE_STALE_MS + 1);
	assert_int_equal(count_choices(&f, "a2"), DRAWS);
	assert_true(choose(&f, NULL).stale);
	teardown(&f);
}

/* Guards against preferring a slow upstream because it looks idle. */
static void test_latency_weights_load(void **state)
{
	struct fixture f;
	struct member *slow, *quick;
	struct route_choice choice;
	char text[256];
	int i;

	setup(&f);
	slow = announce(&f, "slow", "a", AGENT_READY, 0);
	quick = announce(&f, "quick", "a", AGENT_READY, 1);
	for (i = 0; i < 20; i++) {
		route_result(f.route, slow, 0, 0, 100, f.now);
		route_result(f.route, quick, 0, 0, 10, f.now);
	}
	assert_int_equal(count_choices(&f, "quick"), DRAWS);
	choice = choose(&f, NULL);
	assert_string_equal(choice.other_agent, "slow");
	route_explain(&choice, text, sizeof(text));
	assert_non_null(strstr(text, "reason=local agent=quick"));
	assert_non_null(strstr(text, "over=slow"));
	teardown(&f);
}

/* Guards against avoiding an upstream for ever after one slow failure. */
static void test_latency_decays(void **state)
{
	struct fixture f;
	struct member *bad, *good;
	int i;

	setup(&f);
	bad = announce(&f, "bad", "a", AGENT_READY, 0);
	good = announce(&f, "good", "a", AGENT_READY, 4);
	for (i = 0; i < 20; i++)
		route_result(f.route, good, 0, 0, 20, f.now);
	route_result(f.route, bad, 1, 0, 10000, f.now);
	assert_int_equal(count_choices(&f, "good"), DRAWS);
	f.membership.silent_after_ms = 60000;
	f.now = mstime_add(f.now, 20000);
	route_result(f.route, good, 0, 0, 20, f.now);
	good->own_in_flight = 4;
	assert_int_equal(count_choices(&f, "bad"), DRAWS);
	teardown(&f);
}

static void record_failures(struct fixture *f, struct member *member, int times)
{
	while (times--)
		route_result(f->route, member, 1, 0, 1000, f->now);
}

/* Guards against an entry that ejects all upstreams of a service. */
static void test_half_stay_in_rotation(void **state)
{
	struct fixture f;
	struct member *members[11];
	uint32_t active, ejected;
	char agent[16];
	int i;

	setup(&f);
	for (i = 0; i < 11; i++) {
		snprintf(agent, sizeof(agent), "a%d", i);
		members[i] = announce(&f, agent, "a", AGENT_READY, 0);
	}
	for (i = 0; i < 11; i++)
		record_failures(&f, members[i], 30);
	route_count(f.route, "stock", &active, &ejected);
	assert_int_equal(ejected, 5);
	assert_int_equal(active, 6);
	teardown(&f);
}

/*
 * Guards against flooding an ejected upstream, which may get one probe at a
 * time and one a second, and against keeping it ejected after a successful
 * probe.
 */
static void test_probe_ends_ejection(void **state)
{
	struct fixture f;
	struct member *bad;
	struct route_choice choice;

	setup(&f);
	bad = announce(&f, "bad", "a", AGENT_READY, 0);
	announce(&f, "good", "a", AGENT_READY, 0);
	record_failures(&f, bad, 5);
	assert_int_equal(count_choices(&f, "bad"), 0);
	f.membership.silent_after_ms = 60000;
	f.now = mstime_add(f.now, 5000);
	choice = choose(&f, NULL);
	assert_int_equal(choice.reason, ROUTE_PROBE);
	route_sent(f.route, bad, 1, f.now);
	assert_int_equal(count_choices(&f, "bad"), 0);
	assert_int_equal(route_result(f.route, bad, 1, 1, 1000, f.now),
			 ROUTE_EVENT_NONE);
	route_released(f.route, bad, 1);
	f.now = mstime_add(f.now, 999);
	assert_int_equal(count_choices(&f, "bad"), 0);
	f.now = mstime_add(f.now, 1);
	assert_int_equal(choose(&f, NULL).reason, ROUTE_PROBE);
	route_sent(f.route, bad, 1, f.now);
	assert_int_equal(route_result(f.route, bad, 0, 1, 5, f.now),
			 ROUTE_EVENT_RETURNED);
	route_released(f.route, bad, 1);
	assert_true(count_choices(&f, "bad") > 0);
	teardown(&f);
}

/*
 * Guards against index entries that remain after their member has started
 * to leave, changed its region or expired.
 */
static void test_index_follows_members(void **state)
{
	struct fixture f;
	struct member *member;
	char agent[16];
	int i;

	setup(&f);
	for (i = 0; i < 100; i++) {
		snprintf(agent, sizeof(agent), "a%d", i);
		announce(&f, agent, i % 2 ? "a" : "b", AGENT_READY, 0);
	}
	for (i = 0; i < 100; i += 3) {
		snprintf(agent, sizeof(agent), "a%d", i);
		announce(&f, agent, "a", AGENT_LEAVING, 0);
	}
	for (i = 0; i < DRAWS; i++) {
		member = choose(&f, NULL).member;
		assert_int_equal(member->state, AGENT_READY);
		assert_string_equal(member->region, "a");
	}
	f.now = mstime_add(f.now, MEMBER_EXPIRE_AFTER_MS + 1);
	announce(&f, "new", "a", AGENT_READY, 0);
	membership_expire(&f.membership, f.now);
	assert_int_equal(count_choices(&f, "new"), DRAWS);
	teardown(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_ineligible_members),
		cmocka_unit_test(test_local_region_preferred),
		cmocka_unit_test(test_larger_of_own_and_reported_load),
		cmocka_unit_test(test_latency_weights_load),
		cmocka_unit_test(test_latency_decays),
		cmocka_unit_test(test_half_stay_in_rotation),
		cmocka_unit_test(test_probe_ends_ejection),
		cmocka_unit_test(test_index_follows_members),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
