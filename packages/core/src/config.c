#include "config.h"

#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "mem.h"
#include "strictjson.h"

/*
 * The initial value of a released key must never change: a configuration
 * leaves out the limits that are at their initial value, and all releases must
 * read it alike. The minimum values keep a lease well above the heartbeat
 * interval.
 */
static const struct limit_info limits[LIMIT_COUNT] = {
	[LIMIT_PARTITIONS] = { "partitions", "partitions", 1, 4096, 4,
			       "Batch partitions; fixed, because jobs are "
			       "stored by it." },
	[LIMIT_DEADLINE_DEFAULT_MS] = { "deadline_default_ms", "ms", 1, 3600000,
					10000,
					"Deadline of a request that names "
					"none." },
	[LIMIT_DEADLINE_MAX_MS] = { "deadline_max_ms", "ms", 1, 3600000, 60000,
				    "Longest deadline; longer ones are "
				    "shortened." },
	[LIMIT_RETRY_PERCENT] = { "retry_percent", "percent", 0, 100, 10,
				  "Retry budget as a share of requests." },
	[LIMIT_RETRY_FLOOR] = { "retry_floor", "retries/s", 0, 10000, 10,
				"Retries that are always allowed." },
	[LIMIT_ATTEMPTS] = { "attempts", "attempts", 1, 10, 3,
			     "Attempts of one request at most." },
	[LIMIT_ENTRY_QUEUE] = { "entry_queue", "requests", 1, 100000, 1024,
				"Requests waiting in one entry." },
	[LIMIT_UPSTREAM_REQUESTS] = { "upstream_requests", "requests", 1, 4096,
				      64,
				      "Requests and streams in flight from "
				      "one entry to one upstream." },
	[LIMIT_TASK_LEASE_MS] = { "task_lease_ms", "ms", 500, 600000, 10000,
				  "L: a worker stops a task that is not "
				  "renewed for so long." },
	[LIMIT_GRANT_MS] = { "grant_ms", "ms", 1000, 600000, 20000,
			     "T: an agent renews tasks for so long without "
			     "their owner." },
	[LIMIT_HOLDOVER_MS] = { "holdover_ms", "ms", 0, 86400000, 3600000,
				"H: an owner extends grants for so long "
				"without the store." },
	[LIMIT_JOB_TRIES] = { "job_tries", "workers", 1, 10, 3,
			      "Workers at which a job may fail before it is "
			      "failed." },
	[LIMIT_EVICT_PAUSE_MS] = { "evict_pause_ms", "ms", 0, 86400000, 60000,
				   "Least time between two evictions of a "
				   "job." },
	[LIMIT_WEIGHT_LATENCY] = { "weight_latency", "percent", 0, 100, 50,
				   "Weight of the services' tail latency in a "
				   "placement." },
	[LIMIT_WEIGHT_EVICTION] = { "weight_eviction", "percent", 0, 100, 50,
				    "Weight of avoiding evictions in a "
				    "placement." },
};

static const char *const root_keys[] = { "version", "token",  "limits",
					 "drained", "quotas", "changes",
					 NULL };

const char *const *config_keys(void)
{
	return root_keys;
}

const struct limit_info *config_limits(void)
{
	return limits;
}

int config_limit_find(const char *name)
{
	int i;

	for (i = 0; i < LIMIT_COUNT; i++)
		if (!strcmp(limits[i].name, name))
			return i;
	return -1;
}

void config_init(struct config *config)
{
	int i;

	memset(config, 0, sizeof(*config));
	for (i = 0; i < LIMIT_COUNT; i++)
		config->limits[i] = limits[i].initial;
}

static void parse_limits(struct strictjson_reader *reader,
			 struct config *config, const json_t *root)
{
	json_t *object = strictjson_get(reader, root, "limits", JSON_OBJECT);
	const char *name;
	json_t *value;

	if (!object)
		return;
	json_object_foreach(object, name, value)
	{
		int key = config_limit_find(name);

		if (key < 0) {
			strictjson_fail(reader, ERR_INVALID,
					"unknown limit '%.64s'", name);
			return;
		}
		strictjson_get_integer(reader, object, name, limits[key].min,
				       limits[key].max, &config->limits[key]);
	}
}

static void parse_drained(struct strictjson_reader *reader,
			  struct config *config, const json_t *root)
{
	json_t *array = strictjson_get(reader, root, "drained", JSON_ARRAY);
	json_t *item;
	size_t i;

	json_array_foreach(array, i, item)
	{
		const char *name = json_string_value(item);

		if (!name || !strictjson_name_valid(name, NAME_SIZE) ||
		    config->drained_count == DOMAINS_MAX ||
		    config_domain_drained(config, name)) {
			strictjson_fail(reader, ERR_INVALID,
					"'drained': bad, double or too many");
			return;
		}
		str_copy(config->drained[config->drained_count++], name,
			 NAME_SIZE);
	}
}

static void parse_quota(struct strictjson_reader *reader, struct config *config,
			const char *team, json_t *value)
{
	static const char *const keys[] = { "cpu_milli", "mem_mb", "accel",
					    NULL };
	struct team_quota *quota;

	if (!json_is_object(value) || !strictjson_name_valid(team, ID_SIZE) ||
	    config->quota_count == TEAMS_MAX) {
		strictjson_fail(reader, ERR_INVALID,
				"'quotas': bad or too many");
		return;
	}
	strictjson_check_keys(reader, value, keys);
	quota = &config->quotas[config->quota_count++];
	str_copy(quota->team, team, sizeof(quota->team));
	strictjson_get_resources(reader, value, &quota->quota);
}

static void parse_quotas(struct strictjson_reader *reader,
			 struct config *config, const json_t *root)
{
	json_t *object = strictjson_get(reader, root, "quotas", JSON_OBJECT);
	const char *team;
	json_t *value;

	json_object_foreach(object, team, value)
	{
		parse_quota(reader, config, team, value);
	}
}

static void parse_changes(struct strictjson_reader *reader,
			  struct config *config, const json_t *root)
{
	static const char *const keys[] = { "version", "token", "text", NULL };
	json_t *array = strictjson_get(reader, root, "changes", JSON_ARRAY);
	json_t *item;
	size_t i;

	json_array_foreach(array, i, item)
	{
		int64_t version = 0;
		json_t *token, *text;

		if (!json_is_object(item)) {
			strictjson_fail(reader, ERR_MALFORMED,
					"'changes' must hold objects");
			return;
		}
		strictjson_check_keys(reader, item, keys);
		strictjson_get_integer(reader, item, "version", 1, INT64_MAX,
				       &version);
		token = strictjson_get(reader, item, "token", JSON_STRING);
		text = strictjson_get(reader, item, "text", JSON_STRING);
		if (text)
			config_record_change(config, (uint64_t)version,
					     json_string_value(token),
					     json_string_value(text));
	}
}

static void parse_root(struct strictjson_reader *reader, struct config *config,
		       const json_t *root)
{
	int64_t version = 0;
	json_t *token;

	strictjson_check_keys(reader, root, root_keys);
	strictjson_get_integer(reader, root, "version", 0, INT64_MAX, &version);
	config->version = (uint64_t)version;
	token = strictjson_get(reader, root, "token", JSON_STRING);
	if (token && str_copy(config->token, json_string_value(token), ID_SIZE))
		strictjson_fail(reader, ERR_INVALID, "'token' is too long");
	parse_limits(reader, config, root);
	parse_drained(reader, config, root);
	parse_quotas(reader, config, root);
	parse_changes(reader, config, root);
}

int config_parse(struct config *config, const char *json, size_t len)
{
	return config_parse_message(config, json, len, NULL, 0);
}

int config_parse_message(struct config *config, const char *json, size_t len,
			 char *message, size_t message_size)
{
	struct config *parsed;
	struct strictjson_reader reader;
	json_t *root;

	strictjson_init(&reader, message, message_size);
	root = strictjson_load(&reader, json, len);
	if (!root)
		return reader.err;
	parsed = xmalloc(sizeof(*parsed));
	config_init(parsed);
	parse_root(&reader, parsed, root);
	json_decref(root);
	if (!reader.err)
		*config = *parsed;
	free(parsed);
	return reader.err;
}

static json_t *render_limits(const struct config *config)
{
	json_t *object = json_object();
	int i;

	for (i = 0; i < LIMIT_COUNT; i++)
		if (i == LIMIT_PARTITIONS ||
		    config->limits[i] != limits[i].initial)
			json_object_set_new(object, limits[i].name,
					    json_integer(config->limits[i]));
	return object;
}

static json_t *render_quotas(const struct config *config)
{
	json_t *object = json_object();
	size_t i;

	for (i = 0; i < config->quota_count; i++) {
		const struct resources *quota = &config->quotas[i].quota;

		json_object_set_new(
			object, config->quotas[i].team,
			json_pack("{s:I, s:I, s:I}", "cpu_milli",
				  (json_int_t)quota->cpu_milli, "mem_mb",
				  (json_int_t)quota->mem_mb, "accel",
				  (json_int_t)quota->accel));
	}
	return object;
}

static json_t *render_change(const struct config_change *change)
{
	return json_pack("{s:I, s:s, s:s}", "version",
			 (json_int_t)change->version, "token", change->token,
			 "text", change->text);
}

char *config_render(const struct config *config)
{
	json_t *drained = json_array();
	json_t *changes = json_array();
	json_t *root;
	char *text;
	size_t i;

	for (i = 0; i < config->drained_count; i++)
		json_array_append_new(drained, json_string(config->drained[i]));
	for (i = 0; i < config->change_count; i++)
		json_array_append_new(changes,
				      render_change(&config->changes[i]));
	root = json_pack("{s:I, s:s, s:o, s:o, s:o, s:o}", "version",
			 (json_int_t)config->version, "token", config->token,
			 "limits", render_limits(config), "drained", drained,
			 "quotas", render_quotas(config), "changes", changes);
	text = json_dumps(root, JSON_COMPACT | JSON_PRESERVE_ORDER);
	json_decref(root);
	if (!text)
		abort();
	return text;
}

void config_record_change(struct config *config, uint64_t version,
			  const char *token, const char *text)
{
	struct config_change *change;

	if (config->change_count == CONFIG_CHANGES_MAX) {
		memmove(&config->changes[0], &config->changes[1],
			(CONFIG_CHANGES_MAX - 1) * sizeof(config->changes[0]));
		config->change_count--;
	}
	change = &config->changes[config->change_count++];
	change->version = version;
	str_copy(change->token, token, sizeof(change->token));
	str_copy(change->text, text, sizeof(change->text));
}

void config_set_token(struct config *config, const char *token)
{
	str_copy(config->token, token, sizeof(config->token));
	if (config->change_count)
		str_copy(config->changes[config->change_count - 1].token, token,
			 ID_SIZE);
}

int config_written_by(const struct config *config, uint64_t version,
		      const char *token)
{
	size_t i;

	for (i = 0; i < config->change_count; i++)
		if (config->changes[i].version == version)
			return !strcmp(config->changes[i].token, token);
	return ERR_NOT_FOUND;
}

int config_replace_if_newer(struct config *current, const struct config *next)
{
	if (next->version == current->version)
		return 0;
	if (next->version < current->version)
		return ERR_FENCED;
	*current = *next;
	return 1;
}

int config_deadlines_conflict(const int64_t *values)
{
	return values[LIMIT_DEADLINE_DEFAULT_MS] >
	       values[LIMIT_DEADLINE_MAX_MS];
}

int config_grant_is_short(const int64_t *values)
{
	return values[LIMIT_GRANT_MS] < values[LIMIT_TASK_LEASE_MS];
}

int config_domain_drained(const struct config *config, const char *domain)
{
	size_t i;

	for (i = 0; i < config->drained_count; i++)
		if (!strcmp(config->drained[i], domain))
			return 1;
	return 0;
}

const struct resources *config_quota(const struct config *config,
				     const char *team)
{
	size_t i;

	for (i = 0; i < config->quota_count; i++)
		if (!strcmp(config->quotas[i].team, team))
			return &config->quotas[i].quota;
	return NULL;
}
