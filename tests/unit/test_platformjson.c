#include "platformjson.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "errors.h"
#include "mem.h"
#include "tasknames.h"

#define COUNT(table) (sizeof(table) / sizeof((table)[0]))
#define JOB "0123456789abcdef"

/*
 * Guards against dropping or misreading a field of a submitted workflow: its
 * steps would not run as the caller specified.
 */
static void test_decode_workflow(void **state)
{
	static const char body[] =
		"{\"spec\":\"text\",\"repeatCount\":2,\"firstMs\":5,"
		"\"intervalMs\":7,\"new\":{},\"steps\":[{\"count\":4,"
		"\"cpu\":500,\"memMb\":256,\"gpu\":1,\"estimateMs\":900,"
		"\"dataRack\":\"r1-3\"},{\"count\":20,\"after\":[0],"
		"\"checkpointing\":true,\"gang\":true,\"sameRack\":true,"
		"\"concurrent\":true,\"longRunning\":true,\"fills\":true,"
		"\"maxPerServer\":3,\"mayMiss\":2,\"latencyTargetMs\":25,"
		"\"requiredLabel\":\"a\",\"image\":\"i\"}]}";
	struct workflow_spec spec;
	const char *reason;

	assert_int_equal(platform_decode_workflow(body, strlen(body), JOB,
						  &spec, &reason),
			 0);
	assert_string_equal(spec.id, JOB);
	assert_string_equal(spec.payload, "text");
	assert_int_equal(spec.occurrences, 2);
	assert_int_equal(spec.first_due_ms, 5);
	assert_int_equal(spec.interval_ms, 7);
	assert_int_equal(spec.task_count, 24);
	assert_int_equal(spec.steps[0].need.cpu_milli, 500);
	assert_int_equal(spec.steps[0].need.mem_mb, 256);
	assert_int_equal(spec.steps[0].need.accel, 1);
	assert_int_equal(spec.steps[0].estimate_ms, 900);
	assert_string_equal(spec.steps[0].data_rack, "r1-3");
	assert_false(spec.steps[0].best_effort);
	assert_int_equal(spec.steps[1].dependency_count, 1);
	assert_int_equal(spec.steps[1].max_per_worker, 3);
	assert_int_equal(spec.steps[1].max_unavailable, 2);
	assert_int_equal(spec.steps[1].latency_target_ms, 25);
	assert_true(spec.steps[1].gang && spec.steps[1].same_rack &&
		    spec.steps[1].checkpointing && spec.steps[1].concurrent &&
		    spec.steps[1].long_running && spec.steps[1].best_effort);
	assert_string_equal(spec.steps[1].required_label, "a");
	assert_string_equal(spec.steps[1].image, "i");
	workflow_spec_clear(&spec);
}

/* Guards against a crash on malformed input, or a job that can never run. */
static void test_decode_workflow_malformed(void **state)
{
	static const struct {
		const char *id, *body;
	} cases[] = {
		{ JOB, "" },
		{ JOB, "[]" },
		{ JOB, "{\"steps\":{}}" },
		{ JOB, "{\"steps\":[]}" },
		{ JOB, "{\"steps\":[7]}" },
		{ JOB, "{\"steps\":[{\"count\":\"4\"}]}" },
		{ JOB, "{\"steps\":[{\"count\":-1}]}" },
		{ JOB, "{\"steps\":[{\"count\":1e30}]}" },
		{ JOB, "{\"steps\":[{\"count\":1,\"gang\":1}]}" },
		{ JOB, "{\"steps\":[{\"count\":1,\"image\":1}]}" },
		{ JOB, "{\"steps\":[{\"count\":1,\"after\":[0]}]}" },
		{ JOB, "{\"steps\":[{\"count\":1,\"after\":[-1]}]}" },
		{ JOB, "{\"steps\":[{\"count\":1,\"after\":[\"0\"]}]}" },
		{ JOB, "{\"steps\":[{\"count\":1,\"after\":7}]}" },
		{ JOB, "{\"spec\":7,\"steps\":[{\"count\":1}]}" },
		{ "0123456789abcde", "{\"steps\":[{\"count\":1}]}" },
		{ "0123456789abcdeg", "{\"steps\":[{\"count\":1}]}" },
	};
	struct workflow_spec spec;
	const char *reason;
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		assert_int_not_equal(
			platform_decode_workflow(cases[i].body,
						 strlen(cases[i].body),
						 cases[i].id, &spec, &reason),
			0);
		assert_null(spec.steps);
		assert_true(*reason != '\0');
	}
}

/*
 * Guards against accepting a malformed announcement that another writer stored:
 * work would be assigned to a worker that does not exist.
 */
static void test_decode_announcement(void **state)
{
	static const char valid[] =
		"{\"service\":\"s\",\"address\":\"127.0.0.1:1\",\"zone\":\"z\","
		"\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
		"\"coldLeftMs\":0,\"capacity\":{\"cpu\":16000,\"memMb\":5,"
		"\"gpu\":0},\"labels\":[\"a\",\"r1\"],\"born\":7,"
		"\"sequence\":4,\"clockMs\":9}";
	/* Each replaces a part of the valid one. */
	static const struct {
		const char *part, *replacement;
		int err;
	} cases[] = {
		{ "", "", 0 },
		{ "\"state\":\"ready\"",
		  "\"state\":\"draining\",\"remainingMs\":5", 0 },
		{ "\"state\":\"ready\"",
		  "\"state\":\"draining\",\"remainingMs\":0", 0 },
		{ "\"state\":\"ready\"", "\"state\":\"draining\"",
		  ERR_MALFORMED },
		{ "\"state\":\"ready\"",
		  "\"state\":\"draining\",\"remainingMs\":\"5\"",
		  ERR_MALFORMED },
		{ "\"zone\":\"z\"", "\"zone\":\"z\",\"other\":[]", 0 },
		{ "\"service\":\"s\",", "", ERR_MALFORMED },
		{ "\"service\":\"s\"", "\"service\":7", ERR_MALFORMED },
		{ "\"address\":\"127.0.0.1:1\",", "", ERR_MALFORMED },
		{ "\"address\":\"127.0.0.1:1\"", "\"address\":[]",
		  ERR_MALFORMED },
		{ "\"zone\":\"z\",", "", ERR_MALFORMED },
		{ "\"version\":\"v1\",", "", ERR_MALFORMED },
		{ "\"slots\":8,", "", ERR_MALFORMED },
		{ "\"slots\":8", "\"slots\":\"8\"", ERR_MALFORMED },
		{ "\"state\":\"ready\",", "", ERR_MALFORMED },
		{ "\"state\":\"ready\"", "\"state\":\"odd\"", ERR_MALFORMED },
		{ "\"coldLeftMs\":0,", "", ERR_MALFORMED },
		{ "\"cpu\":16000,", "", ERR_MALFORMED },
		{ "\"cpu\":16000", "\"cpu\":-1", ERR_MALFORMED },
		{ "\"cpu\":16000", "\"cpu\":1e30", ERR_MALFORMED },
		{ "\"memMb\":5,", "", ERR_MALFORMED },
		{ ",\"gpu\":0", "", ERR_MALFORMED },
		{ "\"capacity\":", "\"room\":", ERR_MALFORMED },
		{ "[\"a\",\"r1\"]", "7", ERR_MALFORMED },
		{ "[\"a\",\"r1\"]", "[\"a\",7]", ERR_MALFORMED },
		{ "\"labels\":", "\"tags\":", ERR_MALFORMED },
		{ "\"born\":7,", "", ERR_MALFORMED },
		{ "\"born\":7", "\"born\":\"7\"", ERR_MALFORMED },
		{ "\"born\":7", "\"born\":7.5", ERR_MALFORMED },
		{ "\"born\":7", "\"born\":0", ERR_MALFORMED },
		{ "\"born\":7", "\"born\":-7", ERR_MALFORMED },
		{ "\"sequence\":4,", "", ERR_MALFORMED },
		{ "\"sequence\":4", "\"sequence\":-4", ERR_MALFORMED },
		{ ",\"clockMs\":9", "", ERR_MALFORMED },
		{ valid, "", ERR_MALFORMED },
		{ valid, "{}", ERR_MALFORMED },
		{ valid, "[]", ERR_MALFORMED },
	};
	struct announcement announcement;
	char body[1024];
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		const char *part = strstr(valid, cases[i].part);

		assert_non_null(part);
		snprintf(body, sizeof(body), "%.*s%s%s", (int)(part - valid),
			 valid, cases[i].replacement,
			 part + strlen(cases[i].part));
		assert_int_equal(platform_decode_announcement(
					 body, strlen(body), &announcement),
				 cases[i].err);
	}
	assert_int_equal(platform_decode_announcement(valid, strlen(valid),
						      &announcement),
			 0);
	assert_int_equal(announcement.state, WORKER_READY);
	assert_int_equal(announcement.capacity.cpu_milli, 16000);
	assert_int_equal(announcement.label_count, 2);
	assert_int_equal(announcement.worker_start_ms, 7);
	assert_int_equal(announcement.sequence, 4);
}

/*
 * Guards against a deregistration that is taken for one of another life of the
 * worker: 0 means that it names none.
 */
static void test_decode_deregistration(void **state)
{
	static const struct {
		const char *body;
		uint64_t start_ms;
	} cases[] = {
		{ "{\"born\":7}", 7 },
		{ "", 0 },
		{ "{", 0 },
		{ "[]", 0 },
		{ "{}", 0 },
		{ "{\"born\":null}", 0 },
		{ "{\"born\":\"7\"}", 0 },
		{ "{\"born\":-7}", 0 },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++)
		assert_int_equal(platform_decode_deregistration(
					 cases[i].body, strlen(cases[i].body)),
				 cases[i].start_ms);
}

/*
 * Guards against adding a request to the wrong queue: the host and the longest
 * matching path prefix select it.
 */
static void test_find_queue(void **state)
{
	static const char body[] =
		"{\"version\":7,\"limits\":{\"maxBodyBytes\":100},"
		"\"routes\":["
		"{\"name\":\"a\",\"host\":\"h1\",\"prefix\":\"/p/\","
		"\"service\":\"s\",\"priority\":2,\"maxAttempts\":4,"
		"\"stretch\":1.5,\"completionTargetMs\":600},"
		"{\"name\":\"b\",\"host\":\"h1\",\"prefix\":\"/p/q/\","
		"\"service\":\"s\"},"
		"{\"name\":\"c\",\"host\":\"h2\",\"prefix\":\"/p/\","
		"\"service\":\"s\"}]}";
	static const struct {
		const char *host, *path, *name;
	} cases[] = {
		{ "h1", "/p/x", "a" },	 { "h1:80", "/p/x", "a" },
		{ "h1", "/p/q/x", "b" }, { "h2", "/p/q/x", "c" },
		{ "h3", "/p/x", NULL },	 { "h1", "/o/x", NULL },
		{ "h11", "/p/x", NULL }, { NULL, "/p/x", NULL },
	};
	struct platform_config config = { 0 };
	size_t i;

	assert_int_equal(platform_decode_config(body, strlen(body), &config),
			 0);
	assert_int_equal(config.version, 7);
	assert_int_equal(config.body_max_bytes, 100);
	for (i = 0; i < COUNT(cases); i++) {
		const struct platform_queue *queue = platform_queue_find(
			&config, cases[i].host, cases[i].path);

		if (!cases[i].name) {
			assert_null(queue);
			continue;
		}
		assert_non_null(queue);
		assert_string_equal(queue->queue.name, cases[i].name);
	}
	assert_int_equal(config.queues[0].queue.max_attempts, 4);
	assert_int_equal(config.queues[0].queue.version, config.version);
	assert_int_equal(config.queues[0].queue.extra_ms, 600);
	assert_int_equal(platform_decode_config("{", 1, &config),
			 ERR_MALFORMED);
	assert_int_equal(config.version, 7);
	platform_config_clear(&config);
}

/*
 * Guards against a queue with a long text that keeps the whole configuration
 * from being read, or is cut.
 */
static void test_long_texts_of_queues(void **state)
{
	static const struct {
		size_t host, prefix, name, service;
		int is_usable;
	} cases[] = {
		{ 12, 6, 8, 7, 1 },	{ 127, 127, 8, 7, 1 },
		{ 128, 6, 8, 7, 1 },	{ 253, 6, 8, 7, 1 },
		{ 12, 128, 8, 7, 1 },	{ 12, 3000, 8, 7, 1 },
		{ 12, 6, 63, 63, 1 },	{ 12, 6, 64, 7, 0 },
		{ 12, 6, 8, 64, 0 },	{ 0, 6, 8, 7, 0 },
		{ 12, 6, 300, 300, 0 },
	};
	char text[4][4096];
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		const size_t lens[] = { cases[i].host, cases[i].prefix,
					cases[i].name, cases[i].service };
		struct platform_config config = { 0 };
		char *body;
		size_t k;

		for (k = 0; k < 4; k++) {
			memset(text[k], 'a' + (int)k, lens[k]);
			text[k][lens[k]] = '\0';
		}
		text[1][0] = '/';
		body = xstrfmt("{\"version\":1,\"routes\":[{\"host\":\"%s\","
			       "\"prefix\":\"%s\",\"name\":\"%s\",\"service\":"
			       "\"%s\"},{\"host\":\"h\",\"prefix\":\"/p/\","
			       "\"name\":\"n\",\"service\":\"s\"}]}",
			       text[0], text[1], text[2], text[3]);
		assert_int_equal(
			platform_decode_config(body, strlen(body), &config), 0);
		assert_non_null(platform_queue_find(&config, "h", "/p/1"));
		assert_int_equal(config.rejected_count, !cases[i].is_usable);
		if (cases[i].is_usable)
			assert_string_equal(
				platform_queue_find(&config, text[0], text[1])
					->queue.name,
				text[2]);
		platform_config_clear(&config);
		free(body);
	}
}

static void test_task_name_codec(void **state)
{
	static const struct {
		const char *text;
		int err;
	} cases[] = {
		{ JOB ".0.1.17", 0 },
		{ JOB ".0.1", ERR_MALFORMED },
		{ JOB ".0.1.17.2", ERR_MALFORMED },
		{ JOB ".0.1.x", ERR_MALFORMED },
		{ "0123.0.1.17", ERR_MALFORMED },
		{ "", ERR_MALFORMED },
	};
	char text[TASK_NAME_SIZE];
	struct task_id task;
	size_t i;

	for (i = 0; i < COUNT(cases); i++)
		assert_int_equal(task_name_parse(cases[i].text, &task),
				 cases[i].err);
	assert_int_equal(task_name_parse(cases[0].text, &task), 0);
	task_name_format(&task, text, sizeof(text));
	assert_string_equal(text, cases[0].text);
}

static void test_parse_call(void **state)
{
	static const struct {
		const char *method, *path;
		enum platform_call call;
		const char *id;
	} cases[] = {
		{ "GET", "/catkinhill/readyz", PLATFORM_CALL_PROBE, "" },
		{ "POST", "/catkinhill/instances/i-1/heartbeat",
		  PLATFORM_CALL_ANNOUNCE, "i-1" },
		{ "POST", "/catkinhill/instances/i-1/deregister",
		  PLATFORM_CALL_DEREGISTER, "i-1" },
		{ "GET", "/catkinhill/instances/i-1/heartbeat",
		  PLATFORM_CALL_NONE, "" },
		{ "POST", "/catkinhill/instances//heartbeat",
		  PLATFORM_CALL_NONE, "" },
		{ "POST", "/catkinhill/instances/i-1", PLATFORM_CALL_NONE, "" },
		{ "POST", "/other", PLATFORM_CALL_NONE, "" },
	};
	char id[ID_SIZE];
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		assert_int_equal(platform_call_parse(cases[i].method,
						     cases[i].path, id,
						     sizeof(id)),
				 cases[i].call);
		assert_string_equal(id, cases[i].id);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_decode_workflow),
		cmocka_unit_test(test_decode_workflow_malformed),
		cmocka_unit_test(test_decode_announcement),
		cmocka_unit_test(test_decode_deregistration),
		cmocka_unit_test(test_find_queue),
		cmocka_unit_test(test_long_texts_of_queues),
		cmocka_unit_test(test_task_name_codec),
		cmocka_unit_test(test_parse_call),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
