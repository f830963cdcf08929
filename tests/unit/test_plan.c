#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "errors.h"
#include "mem.h"
#include "plan.h"
#include "rng.h"

struct fixture {
	struct membership membership;
	struct config config;
	struct plan_view view;
	char reason[PLAN_REASON_SIZE];
};

static const struct plan_job jobs[] = {
	{ "running", "w1", 0 },
	{ "over", "", 1 },
};

static const struct {
	const char *agent, *service, *region, *domain;
	uint32_t in_flight, connections;
} vms[] = {
	{ "w1", "stock", "a", "a1", 3, 5 },
	{ "w2", "stock", "a", "a2", 1, 1 },
	{ "w3", "stock", "b", "b1", 0, 0 },
	{ "w4", "recall", "b", "b1", 0, 0 },
};

static void fixture_init(struct fixture *fixture)
{
	struct mstime now = mstime_from(1000);
	size_t i;

	membership_init(&fixture->membership);
	config_init(&fixture->config);
	for (i = 0; i < sizeof(vms) / sizeof(vms[0]); i++) {
		struct msg_announce announce = { .incarnation = 1,
						 .seq = 1,
						 .slots = 8,
						 .state = AGENT_READY };

		str_copy(announce.agent, vms[i].agent, ID_SIZE);
		str_copy(announce.service, vms[i].service, ID_SIZE);
		str_copy(announce.region, vms[i].region, NAME_SIZE);
		str_copy(announce.domain, vms[i].domain, NAME_SIZE);
		announce.load.in_flight = vms[i].in_flight;
		announce.load.connections = vms[i].connections;
		announce.capacity = (struct resources){ 4000, 4096, 0 };
		membership_apply_announce(&fixture->membership, &announce,
					  "peer", now);
	}
	fixture->view =
		(struct plan_view){ &fixture->membership, now, jobs, 2, 1 };
}

static int make(struct fixture *fixture, struct plan *plan, const char *json)
{
	struct intent intent;

	fixture->reason[0] = '\0';
	assert_int_equal(intent_parse(&intent, json, strlen(json),
				      fixture->reason, PLAN_REASON_SIZE),
			 0);
	return plan_make(plan, &intent, &fixture->config, &fixture->view,
			 fixture->reason, PLAN_REASON_SIZE);
}

static int check(struct fixture *fixture, const struct plan *plan)
{
	return plan_check(plan, &fixture->config, &fixture->view,
			  fixture->reason, PLAN_REASON_SIZE);
}

static void apply(struct fixture *fixture, const struct plan *plan)
{
	struct config next;

	plan_apply(plan, &fixture->config, &next);
	next.version++;
	fixture->config = next;
}

/*
 * Guards against accepting an invalid intent or reading it as another one, and
 * against an error message that does not name the cause.
 */
static void test_invalid_intents(void **state)
{
	static const struct {
		const char *json;
		int err;
		const char *expected_text; /* in the message */
	} cases[] = {
		{ "", ERR_MALFORMED, "not JSON" },
		{ "[1]", ERR_MALFORMED, "object" },
		{ "{}", ERR_INVALID, "intent" },
		{ "{\"intent\":1}", ERR_MALFORMED, "string" },
		{ "{\"intent\":\"place\"}", ERR_INVALID, "allowed: drain" },
		{ "{\"intent\":\"drain\"}", ERR_INVALID, "domain" },
		{ "{\"intent\":\"drain\",\"domain\":\"a 1\"}", ERR_INVALID,
		  "a 1" },
		{ "{\"intent\":\"drain\",\"domain\":\"a1\",\"vm\":\"w1\"}",
		  ERR_INVALID, "unknown key 'vm'" },
		{ "{\"intent\":\"drain\",\"intent\":\"undrain\","
		  "\"domain\":\"a1\"}",
		  ERR_MALFORMED, "duplicate" },
		{ "{\"intent\":\"set-limit\",\"limit\":\"x\",\"value\":1}",
		  ERR_INVALID, "no limit 'x'" },
		{ "{\"intent\":\"set-limit\",\"limit\":\"attempts\","
		  "\"value\":11}",
		  ERR_INVALID, "1 to 10" },
		{ "{\"intent\":\"set-limit\",\"limit\":\"attempts\","
		  "\"value\":\"3\"}",
		  ERR_MALFORMED, "whole number" },
		{ "{\"intent\":\"set-quota\",\"team\":\"t\"}", ERR_INVALID,
		  "cpu_milli" },
		{ "{\"intent\":\"set-quota\",\"team\":\"t\",\"cpu_milli\":-1,"
		  "\"mem_mb\":0,\"accel\":0}",
		  ERR_INVALID, "cpu_milli" },
		{ "{\"intent\":\"submit\",\"job\":{}}", ERR_INVALID, "job" },
		{ "{\"intent\":\"cancel\",\"job\":\"a/b\"}", ERR_INVALID,
		  "a/b" },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct intent intent;
		char message[PLAN_REASON_SIZE];
		int err = intent_parse(&intent, cases[i].json,
				       strlen(cases[i].json), message,
				       sizeof(message));

		if (err != cases[i].err ||
		    !strstr(message, cases[i].expected_text))
			fail_msg("case %zu: got %s, %s", i, error_name(err),
				 message);
	}
}

/*
 * Guards against a drain plan that omits requests, streams or tasks that the
 * drain affects, or the warning that a region loses its last upstream.
 */
static void test_drain_effect(void **state)
{
	struct fixture fixture;
	struct plan plan;

	fixture_init(&fixture);
	assert_int_equal(make(&fixture, &plan,
			      "{\"intent\":\"drain\",\"domain\":\"a1\"}"),
			 0);
	assert_int_equal(plan.effect.upstreams, 1);
	assert_int_equal(plan.effect.requests, 3);
	assert_int_equal(plan.effect.streams, 2);
	assert_int_equal(plan.effect.tasks, 1);
	assert_int_equal(plan.effect.upstreams_left, 3);
	assert_int_equal(plan.warnings, 0);
	apply(&fixture, &plan);
	assert_int_equal(make(&fixture, &plan,
			      "{\"intent\":\"drain\",\"domain\":\"a2\"}"),
			 0);
	assert_int_equal(plan.warnings, 1u << WARN_REGION_EMPTY);
	membership_clear(&fixture.membership);
}

/*
 * Guards against an undrain plan that predicts no upstream to return, because
 * the agents of a drained domain announce that they are leaving.
 */
static void test_undrain_effect(void **state)
{
	struct fixture fixture;
	struct plan plan;

	fixture_init(&fixture);
	make(&fixture, &plan, "{\"intent\":\"drain\",\"domain\":\"a1\"}");
	apply(&fixture, &plan);
	membership_find(&fixture.membership, "w1")->state = AGENT_LEAVING;
	assert_int_equal(make(&fixture, &plan,
			      "{\"intent\":\"undrain\",\"domain\":\"a1\"}"),
			 0);
	assert_int_equal(plan.effect.upstreams, 1);
	assert_int_equal(plan.effect.upstreams_left, 4);
	membership_clear(&fixture.membership);
}

/*
 * Guards against planning an intent that would stop a service, that names an
 * unknown or duplicate object, or that sets a fixed or conflicting limit.
 */
static void test_refused_intents(void **state)
{
	static const struct {
		const char *json;
		int err;
		const char *expected_text;
	} cases[] = {
		{ "{\"intent\":\"drain\",\"domain\":\"b1\"}", ERR_INVALID,
		  "last domain that serves 'recall'" },
		{ "{\"intent\":\"drain\",\"domain\":\"zz\"}", ERR_NOT_FOUND,
		  "'zz'" },
		{ "{\"intent\":\"cancel\",\"job\":\"none\"}", ERR_NOT_FOUND,
		  "'none'" },
		{ "{\"intent\":\"submit\",\"job\":{\"job\":\"over\","
		  "\"team\":\"t\",\"urgent\":false,\"cpu_milli\":1,"
		  "\"mem_mb\":1,\"accel\":0,\"command\":\"c\"}}",
		  ERR_EXISTS, "exists already" },
		{ "{\"intent\":\"set-limit\",\"limit\":\"deadline_max_ms\","
		  "\"value\":5}",
		  ERR_INVALID, "deadline_default_ms" },
		{ "{\"intent\":\"set-limit\",\"limit\":\"partitions\","
		  "\"value\":8}",
		  ERR_INVALID, "fixed" },
	};
	struct fixture fixture;
	struct plan plan;
	size_t i;

	fixture_init(&fixture);
	fixture.config.version = 1;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		int err = make(&fixture, &plan, cases[i].json);

		if (err != cases[i].err ||
		    !strstr(fixture.reason, cases[i].expected_text))
			fail_msg("case %zu: got %s, %s", i, error_name(err),
				 fixture.reason);
	}
	membership_clear(&fixture.membership);
}

/* Guards against a plan without a warning of an effect that it can predict. */
static void test_warnings(void **state)
{
	static const struct {
		const char *json;
		enum plan_warning warning;
	} cases[] = {
		{ "{\"intent\":\"submit\",\"job\":{\"job\":\"big\","
		  "\"team\":\"t\",\"urgent\":false,\"cpu_milli\":9000,"
		  "\"mem_mb\":1,\"accel\":0,\"command\":\"c\"}}",
		  WARN_NO_VM_FITS },
		{ "{\"intent\":\"set-limit\",\"limit\":\"holdover_ms\","
		  "\"value\":60000}",
		  WARN_HOLDOVER },
		{ "{\"intent\":\"set-limit\",\"limit\":\"grant_ms\","
		  "\"value\":5000}",
		  WARN_SHORT_GRANT },
	};
	struct fixture fixture;
	struct plan plan;
	size_t i;

	fixture_init(&fixture);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		assert_int_equal(make(&fixture, &plan, cases[i].json), 0);
		assert_int_equal(plan.warnings, 1u << cases[i].warning);
		assert_int_equal(plan.effect.vms_fit, 0);
	}
	assert_int_equal(make(&fixture, &plan,
			      "{\"intent\":\"submit\",\"job\":{\"job\":\"fit\","
			      "\"team\":\"t\",\"cpu_milli\":4000,\"mem_mb\":1,"
			      "\"command\":\"c\"}}"),
			 0);
	assert_int_equal(plan.effect.vms_fit, 4);
	membership_clear(&fixture.membership);
}

/* Guards against accepting a plan file that was truncated or edited. */
static void test_plan_files(void **state)
{
	struct fixture fixture;
	struct plan plan, parsed;
	char *text, *edited;
	size_t i;

	fixture_init(&fixture);
	assert_int_equal(make(&fixture, &plan,
			      "{\"intent\":\"drain\",\"domain\":\"a2\"}"),
			 0);
	text = plan_render(&plan);
	assert_int_equal(plan_parse(&parsed, text, strlen(text), fixture.reason,
				    PLAN_REASON_SIZE),
			 0);
	assert_string_equal(parsed.intent.u.domain, "a2");
	for (i = 0; i < strlen(text); i++)
		assert_int_not_equal(plan_parse(&parsed, text, i,
						fixture.reason,
						PLAN_REASON_SIZE),
				     0);
	edited = xstrdup(text);
	strstr(edited, "a2")[1] = '1';
	assert_int_equal(plan_parse(&parsed, edited, strlen(edited),
				    fixture.reason, PLAN_REASON_SIZE),
			 ERR_INVALID);
	assert_non_null(strstr(fixture.reason, "digest"));
	free(edited);
	free(text);
	membership_clear(&fixture.membership);
}

/*
 * Guards against a crash on a plan file with one corrupted byte, and against
 * reading it as a plan for another domain.
 */
static void test_corrupted_plan_files(void **state)
{
	struct fixture fixture;
	struct plan plan, parsed;
	struct rng rng;
	char *text;
	int round;

	fixture_init(&fixture);
	make(&fixture, &plan, "{\"intent\":\"drain\",\"domain\":\"a2\"}");
	text = plan_render(&plan);
	rng_seed(&rng, 1);
	for (round = 0; round < 5000; round++) {
		char *copy = xstrdup(text);
		uint32_t offset = rng_below(&rng, (uint32_t)strlen(text));

		copy[offset] = (char)rng_below(&rng, 256);
		if (!plan_parse(&parsed, copy, strlen(text), fixture.reason,
				PLAN_REASON_SIZE))
			assert_string_equal(parsed.intent.u.domain, "a2");
		free(copy);
	}
	free(text);
	membership_clear(&fixture.membership);
}

/*
 * Guards against confirming a plan after the configuration that it is based on
 * has changed. A plan that is already in force is no conflict.
 */
static void test_stale_plan(void **state)
{
	struct fixture fixture;
	struct plan drain, limit, repeated;

	fixture_init(&fixture);
	make(&fixture, &drain, "{\"intent\":\"drain\",\"domain\":\"a1\"}");
	make(&fixture, &limit,
	     "{\"intent\":\"set-limit\",\"limit\":\"attempts\",\"value\":2}");
	assert_int_equal(check(&fixture, &limit), 0);
	apply(&fixture, &limit);
	assert_int_equal(check(&fixture, &drain), ERR_CONFLICT);
	assert_non_null(strstr(fixture.reason, "1: set-limit attempts 2"));
	assert_int_equal(check(&fixture, &limit), 1);
	make(&fixture, &repeated, "{\"intent\":\"drain\",\"domain\":\"a1\"}");
	apply(&fixture, &repeated);
	assert_int_equal(check(&fixture, &drain), 1);
	assert_int_equal(fixture.config.drained_count, 1);
	membership_clear(&fixture.membership);
}

/*
 * Guards against confirming a drain after other VMs have failed since it was
 * planned, so that it now has a new warning or drains the last domain.
 */
static void test_members_changed(void **state)
{
	struct fixture fixture;
	struct plan plan;

	fixture_init(&fixture);
	make(&fixture, &plan, "{\"intent\":\"drain\",\"domain\":\"a1\"}");
	membership_find(&fixture.membership, "w2")->state = AGENT_LEAVING;
	assert_int_equal(check(&fixture, &plan), ERR_CONFLICT);
	assert_non_null(strstr(fixture.reason, "link between regions"));
	membership_find(&fixture.membership, "w3")->state = AGENT_NOT_READY;
	assert_int_equal(check(&fixture, &plan), ERR_INVALID);
	assert_non_null(strstr(fixture.reason, "last domain"));
	membership_clear(&fixture.membership);
}

/* Guards against an inverse intent that does not restore the configuration. */
static void test_apply_and_revert(void **state)
{
	static const char *const inverse_intents[][2] = {
		{ "{\"intent\":\"drain\",\"domain\":\"a1\"}",
		  "{\"intent\":\"undrain\",\"domain\":\"a1\"}" },
		{ "{\"intent\":\"set-limit\",\"limit\":\"attempts\","
		  "\"value\":5}",
		  "{\"intent\":\"unset-limit\",\"limit\":\"attempts\"}" },
		{ "{\"intent\":\"set-quota\",\"team\":\"t\",\"cpu_milli\":1,"
		  "\"mem_mb\":2,\"accel\":3}",
		  "{\"intent\":\"unset-quota\",\"team\":\"t\"}" },
	};
	size_t i;

	for (i = 0; i < sizeof(inverse_intents) / sizeof(inverse_intents[0]);
	     i++) {
		struct fixture fixture;
		struct plan plan;

		fixture_init(&fixture);
		assert_int_equal(make(&fixture, &plan, inverse_intents[i][0]),
				 0);
		assert_false(plan.in_force);
		apply(&fixture, &plan);
		assert_int_equal(make(&fixture, &plan, inverse_intents[i][0]),
				 0);
		assert_true(plan.in_force);
		assert_int_equal(make(&fixture, &plan, inverse_intents[i][1]),
				 0);
		assert_false(plan.in_force);
		apply(&fixture, &plan);
		assert_int_equal(fixture.config.drained_count, 0);
		assert_int_equal(fixture.config.quota_count, 0);
		assert_int_equal(fixture.config.limits[LIMIT_ATTEMPTS], 3);
		assert_int_equal(fixture.config.change_count, 2);
		membership_clear(&fixture.membership);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_invalid_intents),
		cmocka_unit_test(test_drain_effect),
		cmocka_unit_test(test_undrain_effect),
		cmocka_unit_test(test_refused_intents),
		cmocka_unit_test(test_warnings),
		cmocka_unit_test(test_plan_files),
		cmocka_unit_test(test_corrupted_plan_files),
		cmocka_unit_test(test_stale_plan),
		cmocka_unit_test(test_members_changed),
		cmocka_unit_test(test_apply_and_revert),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
