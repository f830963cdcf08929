#include "print.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

static const char *text_of(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "-";
}

static long long number_of(const json_t *object, const char *key)
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

static void print_level(const json_t *value, int depth);

static void print_named(const char *name, const json_t *value, int depth)
{
	printf("%*s%s:", depth * 2, "", name);
	if (json_is_object(value) || json_is_array(value)) {
		putchar('\n');
		print_level(value, depth + 1);
	} else {
		putchar(' ');
		print_scalar(value);
	}
}

static void print_item(const json_t *value, int depth)
{
	printf("%*s-", depth * 2, "");
	if (json_is_object(value) || json_is_array(value)) {
		putchar('\n');
		print_level(value, depth + 1);
	} else {
		putchar(' ');
		print_scalar(value);
	}
}

static void print_level(const json_t *value, int depth)
{
	const char *key;
	json_t *member;
	size_t i;

	json_object_foreach((json_t *)value, key, member)
	{
		print_named(key, member, depth);
	}
	json_array_foreach(value, i, member)
	{
		print_item(member, depth);
	}
}

void print_value(const json_t *value)
{
	if (json_is_object(value) || json_is_array(value))
		print_level(value, 0);
	else
		print_scalar(value);
}

static void print_intent(const json_t *intent)
{
	const char *key;
	json_t *value;

	printf("Plan: %s", text_of(intent, "intent"));
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
			printf(" %s=%s", key, text_of(value, "job"));
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

		if (number_of(effect, key))
			printf("  %-16s %lld %s\n", key, number_of(effect, key),
			       effect_lines[i].text);
	}
}

void print_plan(const json_t *plan, const char *file)
{
	const json_t *warning;
	size_t i;

	print_intent(json_object_get(plan, "intent"));
	printf("  %-16s version %lld of the configuration\n", "basis",
	       number_of(plan, "basis"));
	print_effect(json_object_get(plan, "effect"));
	json_array_foreach(json_object_get(plan, "warnings"), i, warning)
	{
		printf("  %-16s %s\n", "warning", text_of(warning, "text"));
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
		       text_of(domain, "region"), number_of(domain, "vms"),
		       number_of(domain, "usable"), number_of(domain, "behind"),
		       number_of(domain, "requests"),
		       number_of(domain, "streams"),
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
		       text_of(member, "agent"), text_of(member, "service"),
		       text_of(member, "domain"), text_of(member, "state"),
		       number_of(member, "version"),
		       number_of(member, "silent_ms"),
		       number_of(member, "requests"),
		       number_of(member, "streams"),
		       number_of(member, "latency_ms"));
	}
}

void print_status(const json_t *status)
{
	printf("entry %s, region %s, domain %s, configuration version %lld\n\n",
	       text_of(status, "entry"), text_of(status, "region"),
	       text_of(status, "domain"), number_of(status, "version"));
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

	printf("version %lld\n\n", number_of(value, "version"));
	printf("%-20s %10s %10s %10s %10s  %s\n", "LIMIT", "VALUE", "INITIAL",
	       "LEAST", "MOST", "UNIT");
	json_array_foreach(json_object_get(config, "limits"), i, limit)
	{
		printf("%-20s %10lld %10lld %10lld %10lld  %s\n",
		       text_of(limit, "name"), number_of(limit, "value"),
		       number_of(limit, "initial"), number_of(limit, "min"),
		       number_of(limit, "max"), text_of(limit, "unit"));
	}
	puts("\ndrained, quotas and last changes");
	print_named("drained", json_object_get(value, "drained"), 1);
	print_named("quotas", json_object_get(value, "quotas"), 1);
	print_named("changes", json_object_get(value, "changes"), 1);
}

static void print_now(void)
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
		if (!strcmp(text_of(member, "agent"), agent))
			return member;
	}
	return NULL;
}

static const char *member_text(const json_t *member)
{
	if (!member)
		return "unknown";
	if (!is_true(member, "usable") &&
	    !strcmp(text_of(member, "state"), "ready"))
		return "silent";
	return text_of(member, "state");
}

static void print_member_change(const char *agent, const json_t *before,
				const json_t *after)
{
	if (!strcmp(member_text(before), member_text(after)))
		return;
	print_now();
	printf("agent %s: %s -> %s\n", agent, member_text(before),
	       member_text(after));
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
		print_now();
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
	    number_of(before, "version") != number_of(after, "version")) {
		print_now();
		printf("configuration version %lld\n",
		       number_of(after, "version"));
	}
	print_domain_changes(json_object_get(before, "domains"),
			     json_object_get(after, "domains"));
	json_array_foreach(new, i, member)
	{
		const char *agent = text_of(member, "agent");

		print_member_change(agent, find_member(old, agent), member);
	}
	json_array_foreach(old, i, member)
	{
		const char *agent = text_of(member, "agent");

		if (!find_member(new, agent))
			print_member_change(agent, member, NULL);
	}
	fflush(stdout);
}
