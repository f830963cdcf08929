#include "platformcheck.h"

#include <stdlib.h>
#include <string.h>

#include "configtree.h"
#include "mem.h"

struct platform_check {
	int is_refused;
	struct platform_config decoded;
	struct check_config config;
};

static const char *const root_fields[] = { "version", "routes", "services",
					   "limits", NULL };
static const char *const route_fields[] = {
	"name",	    "host",	      "prefix",
	"kind",	    "timeoutMs",      "completionTargetMs",
	"priority", "service",	      "maxAttempts",
	"stretch",  "regionsAllowed", "advice",
	NULL
};
static const char *const advice_fields[] = { "decideMs", "eachMs", "validMs",
					     NULL };
static const char *const service_fields[] = {
	"name",	      "healthPath", "maxConns",	       "protocol", "tls",
	"coldStartS", "coldPerS",   "rejectsOverload", "standby",  NULL
};
static const char *const limit_fields[] = { "maxHeaderBytes", "maxBodyBytes",
					    "headerTimeoutMs", "idleTimeoutMs",
					    NULL };

static void check_fields(const json_t *object, const char *place,
			 const char *const *known, struct check_report *report)
{
	const char *key;
	json_t *value;

	json_object_foreach((json_t *)object, key, value)
	{
		configcheck_field(report, place, key, known);
	}
}

static void check_list_fields(const json_t *root, const char *section,
			      const char *const *known,
			      struct check_report *report)
{
	const json_t *list = json_object_get(root, section);
	size_t i;

	for (i = 0; i < json_array_size(list); i++) {
		const json_t *item = json_array_get(list, i);
		char *place = xstrfmt("%s[%zu]", section, i);

		check_fields(item, place, known, report);
		check_fields(json_object_get(item, "advice"), place,
			     advice_fields, report);
		free(place);
	}
}

struct problems {
	struct check_report *report;
	char *unreadable; /* NULL, or why */
};

static void on_problem(void *arg, enum decode_effect effect, const char *place,
		       const char *reason)
{
	static const char *const effects[] = {
		[DECODE_REFUSED] = "the whole is refused",
		[DECODE_SKIPPED] = "the route is left out",
		[DECODE_REPLACED] = "it counts as missing",
	};
	struct problems *problems = arg;
	static const enum check_kind kinds[] = {
		[DECODE_REFUSED] = CHECK_REFUSED,
		[DECODE_SKIPPED] = CHECK_SKIPPED,
		[DECODE_REPLACED] = CHECK_REPLACED,
	};

	if (effect == DECODE_UNREADABLE)
		problems->unreadable = xstrfmt("%s: %s", place, reason);
	else
		configcheck_add(problems->report, kinds[effect], place,
				"%s; %s", reason, effects[effect]);
}

static void copy_routes(struct platform_check *check, const json_t *root)
{
	const json_t *routes = json_object_get(root, "routes");
	struct check_config *config = &check->config;
	size_t i, count = check->decoded.queue_count;

	config->routes = xcalloc(count + 1, sizeof(*config->routes));
	config->route_count = count;
	for (i = 0; i < count; i++) {
		const struct platform_queue *queue = &check->decoded.queues[i];
		const json_t *item = json_array_get(routes, queue->index);
		struct check_route *route = &config->routes[i];

		route->name = queue->queue.name;
		route->host = queue->host;
		route->prefix = queue->prefix;
		route->service = queue->queue.service;
		route->index = queue->index;
		route->max_attempts = queue->queue.max_attempts;
		route->stretch = queue->queue.stretch;
		route->completion_target_ms = queue->queue.extra_ms;
		route->timeout_ms = (int64_t)json_integer_value(
			json_object_get(item, "timeoutMs"));
	}
}

static void copy_services(struct platform_check *check, const json_t *root)
{
	const json_t *list = json_object_get(root, "services");
	struct check_config *config = &check->config;
	size_t i;

	config->lists_services = json_is_array(list);
	config->services =
		xcalloc(json_array_size(list) + 1, sizeof(*config->services));
	for (i = 0; i < json_array_size(list); i++) {
		const char *name = json_string_value(
			json_object_get(json_array_get(list, i), "name"));

		if (name)
			config->services[config->service_count++] =
				xstrdup(name);
	}
}

static void add_entry(struct check_config *config, const char *section,
		      const char *name, const json_t *value)
{
	char *text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT |
					       JSON_SORT_KEYS);

	configcheck_add_entry(config, xstrfmt("%s.%s", section, name),
			      text ? text : xstrdup("null"));
}

/* Each route and service is an entry by its name, each limit one too. */
static void add_entries(struct platform_check *check, const json_t *root)
{
	static const char *const lists[] = { "routes", "services" };
	json_t *limits = json_object_get(root, "limits");
	const char *name;
	json_t *value;
	size_t i, k;

	for (i = 0; i < 2; i++) {
		const json_t *list = json_object_get(root, lists[i]);

		for (k = 0; k < json_array_size(list); k++) {
			value = json_array_get(list, k);
			name = json_string_value(
				json_object_get(value, "name"));
			if (name)
				add_entry(&check->config, lists[i], name,
					  value);
		}
	}
	json_object_foreach(limits, name, value)
	{
		add_entry(&check->config, "limits", name, value);
	}
}

static json_t *load(const char *text, size_t len, char **message)
{
	json_error_t error;
	json_t *root = json_loadb(text, len, JSON_REJECT_DUPLICATES, &error);

	*message = NULL;
	if (!root)
		*message = xstrfmt("not JSON: line %d, column %d: %s",
				   error.line, error.column, error.text);
	else if (!json_is_object(root))
		*message = xstrdup("not a JSON object");
	else if (json_object_get(root, "routes") ||
		 json_object_get(root, "services"))
		return root;
	json_decref(root);
	return NULL;
}

static void fill(struct platform_check *check, const json_t *root,
		 struct check_report *report)
{
	check->config.version = check->decoded.version;
	check->config.body_max_bytes = check->decoded.body_max_bytes;
	check_fields(root, "the whole", root_fields, report);
	check_fields(json_object_get(root, "limits"), "limits", limit_fields,
		     report);
	check_list_fields(root, "routes", route_fields, report);
	check_list_fields(root, "services", service_fields, report);
	copy_routes(check, root);
	copy_services(check, root);
	add_entries(check, root);
}

struct platform_check *platform_check_new(const char *text, size_t len,
					  struct check_report *report,
					  char **message)
{
	struct problems problems = { .report = report };
	const struct decode_report callback = { on_problem, &problems };
	json_t *root = load(text, len, message);
	struct platform_check *check;

	if (!root)
		return NULL;
	check = xcalloc(1, sizeof(*check));
	check->is_refused =
		platform_config_from_tree(root, &check->decoded, &callback);
	if (problems.unreadable) {
		*message = problems.unreadable;
		platform_check_delete(check);
		check = NULL;
	} else {
		fill(check, root, report);
	}
	json_decref(root);
	return check;
}

void platform_check_delete(struct platform_check *check)
{
	size_t i;

	if (!check)
		return;
	for (i = 0; i < check->config.service_count; i++)
		free(check->config.services[i]);
	configcheck_entries_clear(&check->config);
	free(check->config.routes);
	free(check->config.services);
	platform_config_clear(&check->decoded);
	free(check);
}

struct check_config *platform_check_config(struct platform_check *check)
{
	return &check->config;
}

int platform_check_is_refused(const struct platform_check *check)
{
	return check->is_refused;
}
