#include "intent.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "mem.h"
#include "strictjson.h"

static void read_domain(struct strictjson_reader *reader, const json_t *root,
			struct intent *intent)
{
	static const char *const keys[] = { "intent", "domain", NULL };

	strictjson_check_keys(reader, root, keys);
	strictjson_get_name(reader, root, "domain", intent->u.domain,
			    NAME_SIZE);
}

static void read_submit(struct strictjson_reader *reader, const json_t *root,
			struct intent *intent)
{
	static const char *const keys[] = { "intent", "job", NULL };
	json_t *job;
	char message[256];
	char *text;
	int err;

	strictjson_check_keys(reader, root, keys);
	job = strictjson_get(reader, root, "job", JSON_OBJECT);
	if (!job)
		return;
	text = json_dumps(job, JSON_COMPACT);
	err = job_spec_parse(&intent->u.submit, text, strlen(text), message,
			     sizeof(message));
	free(text);
	if (err)
		strictjson_fail(reader, err, "'job': %s", message);
}

static void read_cancel(struct strictjson_reader *reader, const json_t *root,
			struct intent *intent)
{
	static const char *const keys[] = { "intent", "job", NULL };

	strictjson_check_keys(reader, root, keys);
	strictjson_get_name(reader, root, "job", intent->u.job, ID_SIZE);
}

static void read_limit_name(struct strictjson_reader *reader,
			    const json_t *root, struct intent *intent)
{
	char name[ID_SIZE] = "";
	int key;

	strictjson_get_name(reader, root, "limit", name, sizeof(name));
	if (reader->err)
		return;
	key = config_limit_find(name);
	if (key < 0)
		strictjson_fail(
			reader, ERR_INVALID,
			"'limit': there is no limit '%s'; all limits are "
			"listed by GET /v1/config",
			name);
	else
		intent->u.limit.key = (enum limit_key)key;
}

static void read_set_limit(struct strictjson_reader *reader, const json_t *root,
			   struct intent *intent)
{
	static const char *const keys[] = { "intent", "limit", "value", NULL };
	const struct limit_info *info;

	strictjson_check_keys(reader, root, keys);
	read_limit_name(reader, root, intent);
	if (reader->err)
		return;
	info = &config_limits()[intent->u.limit.key];
	strictjson_get_integer(reader, root, "value", info->min, info->max,
			       &intent->u.limit.value);
}

static void read_unset_limit(struct strictjson_reader *reader,
			     const json_t *root, struct intent *intent)
{
	static const char *const keys[] = { "intent", "limit", NULL };

	strictjson_check_keys(reader, root, keys);
	read_limit_name(reader, root, intent);
	if (!reader->err)
		intent->u.limit.value =
			config_limits()[intent->u.limit.key].initial;
}

static void read_set_quota(struct strictjson_reader *reader, const json_t *root,
			   struct intent *intent)
{
	static const char *const keys[] = { "intent", "team",  "cpu_milli",
					    "mem_mb", "accel", NULL };
	static const char *const required[] = { "cpu_milli", "mem_mb",
						"accel" };
	size_t i;

	strictjson_check_keys(reader, root, keys);
	strictjson_get_name(reader, root, "team", intent->u.quota.team,
			    ID_SIZE);
	for (i = 0; i < sizeof(required) / sizeof(required[0]); i++)
		strictjson_get(reader, root, required[i], JSON_INTEGER);
	strictjson_get_resources(reader, root, &intent->u.quota.quota);
}

static void read_unset_quota(struct strictjson_reader *reader,
			     const json_t *root, struct intent *intent)
{
	static const char *const keys[] = { "intent", "team", NULL };

	strictjson_check_keys(reader, root, keys);
	strictjson_get_name(reader, root, "team", intent->u.quota.team,
			    ID_SIZE);
}

static void write_domain(const struct intent *intent, json_t *root)
{
	json_object_set_new(root, "domain", json_string(intent->u.domain));
}

static void write_submit(const struct intent *intent, json_t *root)
{
	char *text = job_spec_render(&intent->u.submit);

	json_object_set_new(root, "job", json_loads(text, 0, NULL));
	free(text);
}

static void write_cancel(const struct intent *intent, json_t *root)
{
	json_object_set_new(root, "job", json_string(intent->u.job));
}

static const char *limit_name(const struct intent *intent)
{
	return config_limits()[intent->u.limit.key].name;
}

static void write_unset_limit(const struct intent *intent, json_t *root)
{
	json_object_set_new(root, "limit", json_string(limit_name(intent)));
}

static void write_set_limit(const struct intent *intent, json_t *root)
{
	write_unset_limit(intent, root);
	json_object_set_new(root, "value", json_integer(intent->u.limit.value));
}

static void write_unset_quota(const struct intent *intent, json_t *root)
{
	json_object_set_new(root, "team", json_string(intent->u.quota.team));
}

static void write_set_quota(const struct intent *intent, json_t *root)
{
	const struct resources *quota = &intent->u.quota.quota;

	write_unset_quota(intent, root);
	json_object_set_new(root, "cpu_milli", json_integer(quota->cpu_milli));
	json_object_set_new(root, "mem_mb", json_integer(quota->mem_mb));
	json_object_set_new(root, "accel", json_integer(quota->accel));
}

static const struct {
	const char *name;
	int changes_config;
	void (*read)(struct strictjson_reader *reader, const json_t *root,
		     struct intent *intent);
	void (*write)(const struct intent *intent, json_t *root);
} kinds[INTENT_KIND_COUNT] = {
	[INTENT_DRAIN] = { "drain", 1, read_domain, write_domain },
	[INTENT_UNDRAIN] = { "undrain", 1, read_domain, write_domain },
	[INTENT_SUBMIT] = { "submit", 0, read_submit, write_submit },
	[INTENT_CANCEL] = { "cancel", 0, read_cancel, write_cancel },
	[INTENT_SET_LIMIT] = { "set-limit", 1, read_set_limit,
			       write_set_limit },
	[INTENT_UNSET_LIMIT] = { "unset-limit", 1, read_unset_limit,
				 write_unset_limit },
	[INTENT_SET_QUOTA] = { "set-quota", 1, read_set_quota,
			       write_set_quota },
	[INTENT_UNSET_QUOTA] = { "unset-quota", 1, read_unset_quota,
				 write_unset_quota },
};

const char *intent_kind_name(enum intent_kind kind)
{
	return kinds[kind].name;
}

int intent_changes_config(const struct intent *intent)
{
	return kinds[intent->kind].changes_config;
}

static int kind_find(const char *name)
{
	int i;

	for (i = 0; i < INTENT_KIND_COUNT; i++)
		if (!strcmp(kinds[i].name, name))
			return i;
	return -1;
}

static void read_kind(struct strictjson_reader *reader, const json_t *root,
		      struct intent *intent)
{
	json_t *name = strictjson_get(reader, root, "intent", JSON_STRING);
	int kind = name ? kind_find(json_string_value(name)) : -1;

	if (!name)
		return;
	if (kind < 0) {
		strictjson_fail(reader, ERR_INVALID,
				"'intent': '%.64s' is not allowed; allowed: "
				"drain, undrain, submit, cancel, set-limit, "
				"unset-limit, set-quota, unset-quota",
				json_string_value(name));
		return;
	}
	intent->kind = (enum intent_kind)kind;
	kinds[kind].read(reader, root, intent);
}

int intent_parse(struct intent *intent, const char *json, size_t len,
		 char *message, size_t message_size)
{
	struct strictjson_reader reader;
	json_t *root;

	memset(intent, 0, sizeof(*intent));
	strictjson_init(&reader, message, message_size);
	root = strictjson_load(&reader, json, len);
	if (!root)
		return reader.err;
	read_kind(&reader, root, intent);
	json_decref(root);
	return reader.err;
}

char *intent_render(const struct intent *intent)
{
	json_t *root = json_pack("{s:s}", "intent", kinds[intent->kind].name);
	char *text;

	kinds[intent->kind].write(intent, root);
	text = json_dumps(root, JSON_COMPACT | JSON_PRESERVE_ORDER);
	json_decref(root);
	if (!text)
		abort();
	return text;
}

const char *intent_describe(const struct intent *intent, char *buf, size_t size)
{
	const char *name = kinds[intent->kind].name;

	switch (intent->kind) {
	case INTENT_DRAIN:
	case INTENT_UNDRAIN:
		snprintf(buf, size, "%s %s", name, intent->u.domain);
		break;
	case INTENT_SUBMIT:
		snprintf(buf, size, "%s %s", name, intent->u.submit.job);
		break;
	case INTENT_CANCEL:
		snprintf(buf, size, "%s %s", name, intent->u.job);
		break;
	case INTENT_SET_LIMIT:
		snprintf(buf, size, "%s %s %" PRId64, name, limit_name(intent),
			 intent->u.limit.value);
		break;
	case INTENT_UNSET_LIMIT:
		snprintf(buf, size, "%s %s", name, limit_name(intent));
		break;
	case INTENT_SET_QUOTA:
	case INTENT_UNSET_QUOTA:
		snprintf(buf, size, "%s %s", name, intent->u.quota.team);
		break;
	case INTENT_KIND_COUNT:
		abort();
	}
	return buf;
}
