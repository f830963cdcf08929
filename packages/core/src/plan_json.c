#include "plan.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "hash.h"
#include "mem.h"
#include "strictjson.h"

#define PLAN_FORMAT_VERSION 1

/*
 * The texts are part of a plan and of its digest: if one changes, the plans of
 * other releases that have this warning are refused.
 */
static const struct {
	const char *name;
	const char *text;
} warning_table[WARN_COUNT] = {
	[WARN_REGION_EMPTY] = { "region-empty",
				"A region loses its last upstream of a "
				"service; its callers use the link between "
				"regions." },
	[WARN_CAPACITY] = { "capacity",
			    "Requests in flight would take over 80% of the "
			    "slots that are left." },
	[WARN_HOLDOVER] = { "holdover",
			    "A shorter holdover_ms counts for takeovers only "
			    "after the old one has passed." },
	[WARN_NO_VM_FITS] = { "no-vm-fits",
			      "No known VM can hold the job; it would be "
			      "impossible." },
	[WARN_OVER_QUOTA] = { "over-quota",
			      "The job is larger than the quota of its team; "
			      "it would wait until the quota is raised." },
	[WARN_JOBS_UNKNOWN] = { "jobs-unknown",
				"The store could not be read, so batch jobs "
				"are missing from this plan." },
	[WARN_SHORT_GRANT] = { "short-grant",
			       "grant_ms is shorter than task_lease_ms, so "
			       "tasks stop at a short silence of their "
			       "owner." },
};

static const struct {
	const char *key;
	size_t offset;
} effect_keys[] = {
	{ "upstreams", offsetof(struct plan_effect, upstreams) },
	{ "requests", offsetof(struct plan_effect, requests) },
	{ "streams", offsetof(struct plan_effect, streams) },
	{ "tasks", offsetof(struct plan_effect, tasks) },
	{ "upstreams_left", offsetof(struct plan_effect, upstreams_left) },
	{ "vms_fit", offsetof(struct plan_effect, vms_fit) },
};

#define EFFECT_KEY_COUNT (sizeof(effect_keys) / sizeof(effect_keys[0]))

const char *plan_warning_name(enum plan_warning warning)
{
	return warning_table[warning].name;
}

const char *plan_warning_text(enum plan_warning warning)
{
	return warning_table[warning].text;
}

static json_t *render_effect(const struct plan_effect *effect)
{
	json_t *object = json_object();
	size_t i;

	for (i = 0; i < EFFECT_KEY_COUNT; i++) {
		const void *field =
			(const char *)effect + effect_keys[i].offset;

		json_object_set_new(object, effect_keys[i].key,
				    json_integer(*(const uint32_t *)field));
	}
	return object;
}

static json_t *render_warnings(uint32_t warnings)
{
	json_t *array = json_array();
	int i;

	for (i = 0; i < WARN_COUNT; i++)
		if (warnings & 1u << i)
			json_array_append_new(
				array, json_pack("{s:s, s:s}", "warning",
						 warning_table[i].name, "text",
						 warning_table[i].text));
	return array;
}

/* The plan without its digest, which is computed over this. */
static json_t *render_body(const struct plan *plan)
{
	char *intent = intent_render(&plan->intent);
	json_t *root = json_pack(
		"{s:i, s:o, s:I, s:b, s:o, s:o}", "plan", PLAN_FORMAT_VERSION,
		"intent", json_loads(intent, 0, NULL), "basis",
		(json_int_t)plan->basis, "in_force", plan->in_force, "effect",
		render_effect(&plan->effect), "warnings",
		render_warnings(plan->warnings));

	free(intent);
	return root;
}

static uint64_t digest_of(const json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT | JSON_SORT_KEYS);
	uint64_t digest = hash_str(text);

	free(text);
	return digest;
}

char *plan_render(const struct plan *plan)
{
	json_t *root = render_body(plan);
	char digest[20];
	char *text;

	snprintf(digest, sizeof(digest), "%016" PRIx64, digest_of(root));
	json_object_set_new(root, "digest", json_string(digest));
	text = json_dumps(root, JSON_INDENT(2) | JSON_PRESERVE_ORDER);
	json_decref(root);
	if (!text)
		abort();
	return text;
}

static void parse_intent(struct strictjson_reader *reader, struct plan *plan,
			 const json_t *root)
{
	json_t *object = strictjson_get(reader, root, "intent", JSON_OBJECT);
	char message[PLAN_REASON_SIZE];
	char *text;
	int err;

	if (!object)
		return;
	text = json_dumps(object, JSON_COMPACT);
	err = intent_parse(&plan->intent, text, strlen(text), message,
			   sizeof(message));
	free(text);
	if (err)
		strictjson_fail(reader, err, "%s", message);
}

static void parse_effect(struct strictjson_reader *reader, struct plan *plan,
			 const json_t *root)
{
	json_t *object = strictjson_get(reader, root, "effect", JSON_OBJECT);
	const char *keys[EFFECT_KEY_COUNT + 1] = { NULL };
	size_t i;

	for (i = 0; i < EFFECT_KEY_COUNT; i++)
		keys[i] = effect_keys[i].key;
	strictjson_check_keys(reader, object, keys);
	for (i = 0; i < EFFECT_KEY_COUNT; i++) {
		void *field = (char *)&plan->effect + effect_keys[i].offset;
		int64_t number = 0;

		strictjson_get_integer(reader, object, keys[i], 0, UINT32_MAX,
				       &number);
		*(uint32_t *)field = (uint32_t)number;
	}
}

static int warning_find(const char *name)
{
	int i;

	for (i = 0; i < WARN_COUNT; i++)
		if (name && !strcmp(warning_table[i].name, name))
			return i;
	return -1;
}

static void parse_warnings(struct strictjson_reader *reader, struct plan *plan,
			   const json_t *root)
{
	json_t *array = strictjson_get(reader, root, "warnings", JSON_ARRAY);
	json_t *item;
	size_t i;

	json_array_foreach(array, i, item)
	{
		const char *name =
			json_string_value(json_object_get(item, "warning"));
		int warning = warning_find(name);

		if (warning < 0) {
			strictjson_fail(reader, ERR_INVALID,
					"'warnings': unknown warning");
			return;
		}
		plan->warnings |= 1u << warning;
	}
}

static void parse_digest(struct strictjson_reader *reader,
			 const struct plan *plan, const json_t *root)
{
	json_t *digest = strictjson_get(reader, root, "digest", JSON_STRING);
	json_t *body;
	char expected[20];

	if (!digest)
		return;
	body = render_body(plan);
	snprintf(expected, sizeof(expected), "%016" PRIx64, digest_of(body));
	json_decref(body);
	if (strcmp(expected, json_string_value(digest)))
		strictjson_fail(reader, ERR_INVALID,
				"'digest' does not match: the plan was changed "
				"after it was made; make a new plan");
}

static void parse_root(struct strictjson_reader *reader, struct plan *plan,
		       const json_t *root)
{
	static const char *const keys[] = { "plan",	"intent", "basis",
					    "in_force", "effect", "warnings",
					    "digest",	NULL };
	int64_t number = 0;

	strictjson_check_keys(reader, root, keys);
	strictjson_get_integer(reader, root, "plan", PLAN_FORMAT_VERSION,
			       PLAN_FORMAT_VERSION, &number);
	strictjson_get_integer(reader, root, "basis", 0, INT64_MAX, &number);
	plan->basis = (uint64_t)number;
	plan->in_force = json_is_true(json_object_get(root, "in_force"));
	parse_intent(reader, plan, root);
	parse_effect(reader, plan, root);
	parse_warnings(reader, plan, root);
	parse_digest(reader, plan, root);
}

int plan_parse(struct plan *plan, const char *json, size_t len, char *message,
	       size_t message_size)
{
	struct strictjson_reader reader;
	json_t *root;

	memset(plan, 0, sizeof(*plan));
	strictjson_init(&reader, message, message_size);
	root = strictjson_load(&reader, json, len);
	if (!root)
		return reader.err;
	parse_root(&reader, plan, root);
	json_decref(root);
	return reader.err;
}
