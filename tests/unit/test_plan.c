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

struct world {
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

static void world_init(struct world *world)
{
	struct mstime now = mstime_from(1000);
	size_t i;

	membership_init(&world->membership);
	config_init(&world->config);
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
		membership_apply_announce(&world->membership, &announce, "peer",
					  now);
	}
	world->view = (struct plan_view){ &world->membership, now, jobs, 2, 1 };
}

static int make(struct world *world, struct plan *plan, const char *json)
{
	struct intent intent;

	world->reason[0] = '\0';
	assert_int_equal(intent_parse(&intent, json, strlen(json),
				      world->reason, PLAN_REASON_SIZE),
			 0);
	return plan_make(plan, &intent, &world->config, &world->view,
			 world->reason, PLAN_REASON_SIZE);
}

static int check(struct world *world, const struct plan *plan)
{
	return plan_check(plan, &world->config, &world->view, world->reason,
			  PLAN_REASON_SIZE);
}

static void apply(struct world *world, const struct plan *plan)
{
	struct config next;

	plan_apply(plan, &world->config, &next);
	next.version++;
	world->config = next;
}

/* Guards against a bad intent that is taken for another one. */
static void test_bad_intents(void **state)
{
	static const struct {
		const char *json;
		int err;
		const char *names; /* what the message must contain */
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

		if (err != cases[i].err || !strstr(message, cases[i].names))
			fail_msg("case %zu: got %s, %s", i, error_name(err),
				 message);
	}
}

/* Guards against plans that hide what would move. */
static void test_drain_effect(void **state)
{
	struct world world;
	struct plan plan;

	world_init(&world);
	assert_int_equal(
		make(&world, &plan, "{\"intent\":\"drain\",\"domain\":\"a1\"}"),
		0);
	assert_int_equal(plan.effect.upstreams, 1);
	assert_int_equal(plan.effect.requests, 3);
	assert_int_equal(plan.effect.streams, 2);
	assert_int_equal(plan.effect.tasks, 1);
	assert_int_equal(plan.effect.upstreams_left, 3);
	assert_int_equal(plan.warnings, 0);
	apply(&world, &plan);
	assert_int_equal(
		make(&world, &plan, "{\"intent\":\"drain\",\"domain\":\"a2\"}"),
		0);
	assert_int_equal(plan.warnings, 1u << WARN_REGION_EMPTY);
	membership_clear(&world.membership);
}

/* Guards against an undrain that looks as if no VM came back. */
static void test_undrain_effect(void **state)
{
	struct world world;
	struct plan plan;

	world_init(&world);
	make(&world, &plan, "{\"intent\":\"drain\",\"domain\":\"a1\"}");
	apply(&world, &plan);
	membership_find(&world.membership, "w1")->state = AGENT_LEAVING;
	assert_int_equal(make(&world, &plan,
			      "{\"intent\":\"undrain\",\"domain\":\"a1\"}"),
			 0);
	assert_int_equal(plan.effect.upstreams, 1);
	assert_int_equal(plan.effect.upstreams_left, 4);
	membership_clear(&world.membership);
}

/* Guards against intents that would break the system when confirmed. */
static void test_refusals(void **state)
{
	static const struct {
		const char *json;
		int err;
		const char *names;
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
	struct world world;
	struct plan plan;
	size_t i;

	world_init(&world);
	world.config.version = 1;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		int err = make(&world, &plan, cases[i].json);

		if (err != cases[i].err ||
		    !strstr(world.reason, cases[i].names))
			fail_msg("case %zu: got %s, %s", i, error_name(err),
				 world.reason);
	}
	membership_clear(&world.membership);
}

/* Guards against surprises that a plan could have foretold. */
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
	struct world world;
	struct plan plan;
	size_t i;

	world_init(&world);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		assert_int_equal(make(&world, &plan, cases[i].json), 0);
		assert_int_equal(plan.warnings, 1u << cases[i].warning);
		assert_int_equal(plan.effect.vms_fit, 0);
	}
	assert_int_equal(make(&world, &plan,
			      "{\"intent\":\"submit\",\"job\":{\"job\":\"fit\","
			      "\"team\":\"t\",\"cpu_milli\":4000,\"mem_mb\":1,"
			      "\"command\":\"c\"}}"),
			 0);
	assert_int_equal(plan.effect.vms_fit, 4);
	membership_clear(&world.membership);
}

/* Guards against plan files that are damaged or edited after they were made. */
static void test_plan_files(void **state)
{
	struct world world;
	struct plan plan, parsed;
	char *text, *edited;
	size_t i;

	world_init(&world);
	assert_int_equal(
		make(&world, &plan, "{\"intent\":\"drain\",\"domain\":\"a2\"}"),
		0);
	text = plan_render(&plan);
	assert_int_equal(plan_parse(&parsed, text, strlen(text), world.reason,
				    PLAN_REASON_SIZE),
			 0);
	assert_string_equal(parsed.intent.u.domain, "a2");
	for (i = 0; i < strlen(text); i++)
		assert_int_not_equal(plan_parse(&parsed, text, i, world.reason,
						PLAN_REASON_SIZE),
				     0);
	edited = xstrdup(text);
	strstr(edited, "a2")[1] = '1';
	assert_int_equal(plan_parse(&parsed, edited, strlen(edited),
				    world.reason, PLAN_REASON_SIZE),
			 ERR_INVALID);
	assert_non_null(strstr(world.reason, "digest"));
	free(edited);
	free(text);
	membership_clear(&world.membership);
}

/* Guards against a crash on a plan file with arbitrary bytes changed. */
static void test_corrupted_files(void **state)
{
	struct world world;
	struct plan plan, parsed;
	struct rng rng;
	char *text;
	int round;

	world_init(&world);
	make(&world, &plan, "{\"intent\":\"drain\",\"domain\":\"a2\"}");
	text = plan_render(&plan);
	rng_seed(&rng, 1);
	for (round = 0; round < 5000; round++) {
		char *copy = xstrdup(text);
		uint32_t at = rng_below(&rng, (uint32_t)strlen(text));

		copy[at] = (char)rng_below(&rng, 256);
		if (!plan_parse(&parsed, copy, strlen(text), world.reason,
				PLAN_REASON_SIZE))
			assert_string_equal(parsed.intent.u.domain, "a2");
		free(copy);
	}
	free(text);
	membership_clear(&world.membership);
}

/* Guards against a plan that takes effect on another state than shown. */
static void test_stale_plan(void **state)
{
	struct world world;
	struct plan drain, limit, again;

	world_init(&world);
	make(&world, &drain, "{\"intent\":\"drain\",\"domain\":\"a1\"}");
	make(&world, &limit,
	     "{\"intent\":\"set-limit\",\"limit\":\"attempts\",\"value\":2}");
	assert_int_equal(check(&world, &limit), 0);
	apply(&world, &limit);
	assert_int_equal(check(&world, &drain), ERR_CONFLICT);
	assert_non_null(strstr(world.reason, "1: set-limit attempts 2"));
	assert_int_equal(check(&world, &limit), 1);
	make(&world, &again, "{\"intent\":\"drain\",\"domain\":\"a1\"}");
	apply(&world, &again);
	assert_int_equal(check(&world, &drain), 1);
	assert_int_equal(world.config.drained_count, 1);
	membership_clear(&world.membership);
}

/* Guards against a domain that dies between plan and confirmation. */
static void test_view_changed(void **state)
{
	struct world world;
	struct plan plan;

	world_init(&world);
	make(&world, &plan, "{\"intent\":\"drain\",\"domain\":\"a1\"}");
	membership_find(&world.membership, "w2")->state = AGENT_LEAVING;
	assert_int_equal(check(&world, &plan), ERR_CONFLICT);
	assert_non_null(strstr(world.reason, "link between regions"));
	membership_find(&world.membership, "w3")->state = AGENT_NOT_READY;
	assert_int_equal(check(&world, &plan), ERR_INVALID);
	assert_non_null(strstr(world.reason, "last domain"));
	membership_clear(&world.membership);
}

/* Guards against an undo that leaves something behind. */
static void test_apply_and_undo(void **state)
{
	static const char *const pairs[][2] = {
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

	for (i = 0; i < sizeof(pairs) / sizeof(pairs[0]); i++) {
		struct world world;
		struct plan plan;

		world_init(&world);
		assert_int_equal(make(&world, &plan, pairs[i][0]), 0);
		assert_false(plan.in_force);
		apply(&world, &plan);
		assert_int_equal(make(&world, &plan, pairs[i][0]), 0);
		assert_true(plan.in_force);
		assert_int_equal(make(&world, &plan, pairs[i][1]), 0);
		assert_false(plan.in_force);
		apply(&world, &plan);
		assert_int_equal(world.config.drained_count, 0);
		assert_int_equal(world.config.quota_count, 0);
		assert_int_equal(world.config.limits[LIMIT_ATTEMPTS], 3);
		assert_int_equal(world.config.change_count, 2);
		membership_clear(&world.membership);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_bad_intents),
		cmocka_unit_test(test_drain_effect),
		cmocka_unit_test(test_undrain_effect),
		cmocka_unit_test(test_refusals),
		cmocka_unit_test(test_warnings),
		cmocka_unit_test(test_plan_files),
		cmocka_unit_test(test_corrupted_files),
		cmocka_unit_test(test_stale_plan),
		cmocka_unit_test(test_view_changed),
		cmocka_unit_test(test_apply_and_undo),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
