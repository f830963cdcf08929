#include "print.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

static const char *get_text(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "-";
}

static long long get_integer(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

static int is_true(const json_t *object, const char *key)
{
	return json_is_true(json_object_get(object, key));
}

void print_json(const json_t *value)
{
	json_dumpf(value, stdout, JSON_INDENT(2) | JSON_PRESERVE_ORDER);
	putchar('\n');
}

static void print_scalar(const json_t *value)
{
	switch (json_typeof(value)) {
	case JSON_STRING:
		puts(json_string_value(value));
		break;
	case JSON_INTEGER:
		printf("%lld\n", (long long)json_integer_value(value));
		break;
	case JSON_REAL:
		printf("%g\n", json_real_value(value));
		break;
	case JSON_TRUE:
		puts("yes");
		break;
	case JSON_FALSE:
		puts("no");
		break;
	default:
		puts("-");
	}
}

static void print_children(const json_t *value, int depth);

static void print_key_value(const char *name, const json_t *value, int depth)
{
	printf("%*s%s:", depth * 2, "", name);
	if (json_is_object(value) || json_is_array(value)) {
		putchar('\n');
		print_children(value, depth + 1);
	} else {
		putchar(' ');
		print_scalar(value);
	}
}

static void print_list_item(const json_t *value, int depth)
{
	printf("%*s-", depth * 2, "");
	if (json_is_object(value) || json_is_array(value)) {
		putchar('\n');
		print_children(value, depth + 1);
	} else {
		putchar(' ');
		print_scalar(value);
	}
}

static void print_children(const json_t *value, int depth)
{
	const char *key;
	json_t *member;
	size_t i;

	json_object_foreach((json_t *)value, key, member)
	{
		print_key_value(key, member, depth);
	}
	json_array_foreach(value, i, member)
	{
		print_list_item(member, depth);
	}
}

void print_value(const json_t *value)
{
	if (json_is_object(value) || json_is_array(value))
		print_children(value, 0);
	else
		print_scalar(value);
}

static void print_intent(const json_t *intent)
{
	const char *key;
	json_t *value;

	printf("Plan: %s", get_text(intent, "intent"));
	json_object_foreach((json_t *)intent, key, value)
	{
		if (!strcmp(key, "intent"))
			continue;
		if (json_is_string(value))
			printf(" %s=%s", key, json_string_value(value));
		else if (json_is_integer(value))
			printf(" %s=%lld", key,
			       (long long)json_integer_value(value));
		else
			printf(" %s=%s", key, get_text(value, "job"));
	}
	putchar('\n');
}

static const struct {
	const char *key;
	const char *text;
} effect_lines[] = {
	{ "upstreams", "affected" },
	{ "requests", "in flight there, which are finished" },
	{ "streams", "open there, which are moved" },
	{ "tasks", "running, which are checkpointed or stopped" },
	{ "upstreams_left", "usable afterwards" },
	{ "vms_fit", "usable VMs could hold the job" },
};

static void print_effect(const json_t *effect)
{
	size_t i;

	for (i = 0; i < sizeof(effect_lines) / sizeof(effect_lines[0]); i++) {
		const char *key = effect_lines[i].key;

		if (get_integer(effect, key))
			printf("  %-16s %lld %s\n", key,
			       get_integer(effect, key), effect_lines[i].text);
	}
}

void print_plan(const json_t *plan, const char *file)
{
	const json_t *warning;
	size_t i;

	print_intent(json_object_get(plan, "intent"));
	printf("  %-16s version %lld of the configuration\n", "basis",
	       get_integer(plan, "basis"));
	print_effect(json_object_get(plan, "effect"));
	json_array_foreach(json_object_get(plan, "warnings"), i, warning)
	{
		printf("  %-16s %s\n", "warning", get_text(warning, "text"));
	}
	if (is_true(plan, "in_force"))
		puts("This is in force already.");
	if (file)
		printf("Nothing has been changed. To confirm: "
		       "catkinhillctl confirm %s\n",
		       file);
	else
		puts("Nothing has been changed. Use --out FILE to store the "
		     "plan for confirmation.");
}

static void print_domains(const json_t *domains)
{
	const char *name;
	json_t *domain;

	printf("%-16s %-10s %5s %7s %7s %9s %8s  %s\n", "DOMAIN", "REGION",
	       "VMS", "USABLE", "BEHIND", "REQUESTS", "STREAMS", "STATE");
	json_object_foreach((json_t *)domains, name, domain)
	{
		printf("%-16s %-10s %5lld %7lld %7lld %9lld %8lld  %s\n", name,
		       get_text(domain, "region"), get_integer(domain, "vms"),
		       get_integer(domain, "usable"),
		       get_integer(domain, "behind"),
		       get_integer(domain, "requests"),
		       get_integer(domain, "streams"),
		       is_true(domain, "drained") ? "drained" : "in use");
	}
}

static void print_members(const json_t *members)
{
	const json_t *member;
	size_t i;

	printf("\n%-16s %-16s %-12s %-10s %7s %8s %9s %8s %6s\n", "AGENT",
	       "SERVICE", "DOMAIN", "STATE", "VERSION", "SILENT", "REQUESTS",
	       "STREAMS", "MS");
	json_array_foreach(members, i, member)
	{
		printf("%-16s %-16s %-12s %-10s %7lld %6lldms %9lld %8lld "
		       "%6lld\n",
		       get_text(member, "agent"), get_text(member, "service"),
		       get_text(member, "domain"), get_text(member, "state"),
		       get_integer(member, "version"),
		       get_integer(member, "silent_ms"),
		       get_integer(member, "requests"),
		       get_integer(member, "streams"),
		       get_integer(member, "latency_ms"));
	}
}

void print_status(const json_t *status)
{
	printf("entry %s, region %s, domain %s, configuration version %lld\n\n",
	       get_text(status, "entry"), get_text(status, "region"),
	       get_text(status, "domain"), get_integer(status, "version"));
	print_domains(json_object_get(status, "domains"));
	print_members(json_object_get(status, "members"));
	if (is_true(status, "incomplete"))
		puts("... and more agents, which are counted above");
}

void print_config(const json_t *config)
{
	const json_t *value = json_object_get(config, "config");
	const json_t *limit;
	size_t i;

	printf("version %lld\n\n", get_integer(value, "version"));
	printf("%-20s %10s %10s %10s %10s  %s\n", "LIMIT", "VALUE", "INITIAL",
	       "LEAST", "MOST", "UNIT");
	json_array_foreach(json_object_get(config, "limits"), i, limit)
	{
		printf("%-20s %10lld %10lld %10lld %10lld  %s\n",
		       get_text(limit, "name"), get_integer(limit, "value"),
		       get_integer(limit, "initial"), get_integer(limit, "min"),
		       get_integer(limit, "max"), get_text(limit, "unit"));
	}
	puts("\ndrained, quotas and last changes");
	print_key_value("drained", json_object_get(value, "drained"), 1);
	print_key_value("quotas", json_object_get(value, "quotas"), 1);
	print_key_value("changes", json_object_get(value, "changes"), 1);
}

static void print_utc_time(void)
{
	time_t now = time(NULL);
	struct tm tm;
	char text[16];

	gmtime_r(&now, &tm);
	strftime(text, sizeof(text), "%H:%M:%SZ", &tm);
	printf("%s ", text);
}

static const json_t *find_member(const json_t *members, const char *agent)
{
	const json_t *member;
	size_t i;

	json_array_foreach(members, i, member)
	{
		if (!strcmp(get_text(member, "agent"), agent))
			return member;
	}
	return NULL;
}

static const char *member_state_text(const json_t *member)
{
	if (!member)
		return "unknown";
	if (!is_true(member, "usable") &&
	    !strcmp(get_text(member, "state"), "ready"))
		return "silent";
	return get_text(member, "state");
}

static void print_member_change(const char *agent, const json_t *before,
				const json_t *after)
{
	if (!strcmp(member_state_text(before), member_state_text(after)))
		return;
	print_utc_time();
	printf("agent %s: %s -> %s\n", agent, member_state_text(before),
	       member_state_text(after));
}

static void print_domain_changes(const json_t *before, const json_t *after)
{
	const char *name;
	json_t *domain;

	json_object_foreach((json_t *)after, name, domain)
	{
		const json_t *old = json_object_get(before, name);

		if (is_true(old, "drained") == is_true(domain, "drained"))
			continue;
		print_utc_time();
		printf("domain %s: %s\n", name,
		       is_true(domain, "drained") ? "drained" : "in use");
	}
}

void print_status_changes(const json_t *before, const json_t *after)
{
	const json_t *old = json_object_get(before, "members");
	const json_t *new = json_object_get(after, "members");
	const json_t *member;
	size_t i;

	if (!before ||
	    get_integer(before, "version") != get_integer(after, "version")) {
		print_utc_time();
		printf("configuration version %lld\n",
		       get_integer(after, "version"));
	}
	print_domain_changes(json_object_get(before, "domains"),
			     json_object_get(after, "domains"));
	json_array_foreach(new, i, member)
	{
		const char *agent = get_text(member, "agent");

		print_member_change(agent, find_member(old, agent), member);
	}
	json_array_foreach(old, i, member)
	{
		const char *agent = get_text(member, "agent");

		if (!find_member(new, agent))
			print_member_change(agent, member, NULL);
	}
	fflush(stdout);
}
