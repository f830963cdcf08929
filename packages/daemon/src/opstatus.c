#include "opstatus.h"

#include <stdlib.h>
#include <string.h>

#include "sysclock.h"

/* Bounds the time for which an answer holds up the event loop. */
#define MEMBERS_MAX 1000

static json_t *render_resources(const struct resources *resources)
{
	return json_pack("{s:I, s:I, s:I}", "cpu_milli",
			 (json_int_t)resources->cpu_milli, "mem_mb",
			 (json_int_t)resources->mem_mb, "accel",
			 (json_int_t)resources->accel);
}

static uint32_t member_streams(const struct member *member)
{
	const struct load *load = &member->load;

	return load->connections > load->in_flight
		       ? load->connections - load->in_flight
		       : 0;
}

static json_t *render_member(const struct member *member, int usable,
			     struct mstime now)
{
	const struct load *load = &member->load;
	json_t *object = json_pack(
		"{s:s, s:s, s:s, s:s, s:s, s:s, s:b, s:I}", "agent",
		member->agent, "service", member->service, "region",
		member->region, "domain", member->domain, "rack", member->rack,
		"state", agent_state_name(member->state), "usable", usable,
		"silent_ms", (json_int_t)mstime_diff(now, member->reported_at));

	json_object_set_new(object, "version",
			    json_integer((json_int_t)member->config_version));
	json_object_set_new(object, "slots", json_integer(member->slots));
	json_object_set_new(object, "requests", json_integer(load->in_flight));
	json_object_set_new(object, "queued", json_integer(load->queued));
	json_object_set_new(object, "streams",
			    json_integer(member_streams(member)));
	json_object_set_new(object, "latency_ms",
			    json_integer(load->latency_ms));
	json_object_set_new(object, "capacity",
			    render_resources(&member->capacity));
	json_object_set_new(object, "used", render_resources(&load->used));
	return object;
}

static void add_to(json_t *object, const char *key, json_int_t amount)
{
	json_int_t sum = json_integer_value(json_object_get(object, key));

	json_object_set_new(object, key, json_integer(sum + amount));
}

static void add_to_domain(json_t *domains, const struct config *config,
			  const struct member *member, int usable)
{
	json_t *domain = json_object_get(domains, member->domain);

	if (!domain) {
		domain = json_pack(
			"{s:s, s:b}", "region", member->region, "drained",
			config_domain_drained(config, member->domain));
		json_object_set_new(domains, member->domain, domain);
	}
	add_to(domain, "vms", 1);
	add_to(domain, "usable", usable);
	add_to(domain, "behind", member->config_version < config->version);
	add_to(domain, "requests", member->load.in_flight);
	add_to(domain, "streams", member_streams(member));
}

static json_t *render_drained(const struct config *config)
{
	json_t *array = json_array();
	size_t i;

	for (i = 0; i < config->drained_count; i++)
		json_array_append_new(array, json_string(config->drained[i]));
	return array;
}

json_t *opstatus_render(const struct daemon *daemon,
			const struct membership *membership)
{
	const struct settings *settings = daemon->settings;
	struct mstime now = sysclock_now();
	json_t *domains = json_object();
	json_t *members = json_array();
	const struct list *pos;

	list_for_each (pos, &membership->members) {
		const struct member *member =
			list_entry(pos, struct member, node);
		int usable = member_usable(membership, member, now);

		add_to_domain(domains, &daemon->config, member, usable);
		if (json_array_size(members) < MEMBERS_MAX)
			json_array_append_new(
				members, render_member(member, usable, now));
	}
	return json_pack("{s:s, s:s, s:s, s:I, s:o, s:o, s:o, s:b}", "entry",
			 settings->id, "region", settings->region, "domain",
			 settings->domain, "version",
			 (json_int_t)daemon->config.version, "drained",
			 render_drained(&daemon->config), "domains", domains,
			 "members", members, "incomplete",
			 membership->count > MEMBERS_MAX);
}

json_t *opstatus_render_config(const struct config *config)
{
	const struct limit_info *limits = config_limits();
	json_t *table = json_array();
	char *text = config_render(config);
	json_t *value = json_loads(text, 0, NULL);
	int i;

	free(text);
	for (i = 0; i < LIMIT_COUNT; i++)
		json_array_append_new(
			table,
			json_pack("{s:s, s:I, s:I, s:I, s:I, s:s, s:s}", "name",
				  limits[i].name, "value",
				  (json_int_t)config->limits[i], "initial",
				  (json_int_t)limits[i].initial, "min",
				  (json_int_t)limits[i].min, "max",
				  (json_int_t)limits[i].max, "unit",
				  limits[i].unit, "meaning",
				  limits[i].meaning));
	return json_pack("{s:o, s:o}", "config", value, "limits", table);
}
