#include "settingskeys.h"

#include <arpa/inet.h>
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "mem.h"

#define FIELD(field) .offset = offsetof(struct settings, field)
#define TEXT(field)                                                            \
	FIELD(field), .size = sizeof(((struct settings *)NULL)->field)
#define PORT_MAX 65535

const struct key_info settings_keys[] = {
	{ "daemon", "role", KEY_ROLE, FIELD(role), .allowed_roles = FOR_ALL,
	  .required_roles = FOR_ALL, .description = "What this process does." },
	{ "daemon", "id", KEY_NAME, TEXT(id), .allowed_roles = FOR_ALL,
	  .required_roles = FOR_ALL,
	  .description = "Identifier, different for each process." },
	{ "daemon", "region", KEY_NAME, TEXT(region), .allowed_roles = FOR_ALL,
	  .required_roles = FOR_ALL, .description = "Region of the VM." },
	{ "daemon", "domain", KEY_NAME, TEXT(domain), .allowed_roles = FOR_ALL,
	  .required_roles = FOR_ALL,
	  .description = "Failure domain of the VM." },
	{ "daemon", "rack", KEY_NAME, TEXT(rack), .allowed_roles = FOR_ALL,
	  .default_value = "none", .description = "Rack of the VM." },
	{ "daemon", "log_level", KEY_LOG_LEVEL, FIELD(log_level),
	  .allowed_roles = FOR_ALL, .default_value = "info",
	  .description = "Least important level that is logged." },
	{ "daemon", "stop_ms", KEY_NUMBER, FIELD(stop_ms),
	  .allowed_roles = FOR_ALL, .unit = "ms", .min = 0, .max = 600000,
	  .default_value = "30000",
	  .description = "Bound of a graceful stop." },
	{ "listen", "callers", KEY_ADDRESS, TEXT(callers),
	  .allowed_roles = FOR_ENTRY | FOR_GATEWAY,
	  .required_roles = FOR_ENTRY | FOR_GATEWAY,
	  .description = "HTTP for callers." },
	{ "listen", "peers", KEY_ADDRESS, TEXT(peers),
	  .allowed_roles = FOR_ENTRY | FOR_RUNNER,
	  .required_roles = FOR_ENTRY | FOR_RUNNER,
	  .description = "ZeroMQ for agents or schedulers." },
	{ "listen", "admin", KEY_ADDRESS, TEXT(admin), .allowed_roles = FOR_ALL,
	  .required_roles = FOR_ALL,
	  .description = "HTTP for metrics, health and operators." },
	{ "listen", "probe", KEY_ADDRESS, TEXT(probe),
	  .allowed_roles = FOR_GATEWAY, .required_roles = FOR_GATEWAY,
	  .description = "HTTP for probes of the platform's balancer." },
	{ "listen", "announcements", KEY_ADDRESS, TEXT(announcements),
	  .allowed_roles = FOR_RUNNER, .required_roles = FOR_RUNNER,
	  .description = "HTTP for announcements of the worker." },
	{ "clients", "held_mb", KEY_NUMBER, FIELD(clients_held_mb),
	  .allowed_roles = FOR_WORKFLOWS, .unit = "MB", .min = 8, .max = 65536,
	  .default_value = "24",
	  .description = "Bytes of all requests that arrive or are carried "
			 "out, with the copies made of them." },
	{ "clients", "connections", KEY_NUMBER, FIELD(clients_connections),
	  .allowed_roles = FOR_WORKFLOWS, .unit = "connections", .min = 16,
	  .max = 65536, .default_value = "3000",
	  .description = "Connections open at once, at most three quarters "
			 "of the process's descriptors." },
	{ "clients", "arrival_s", KEY_NUMBER, FIELD(clients_arrival_s),
	  .allowed_roles = FOR_WORKFLOWS, .unit = "s", .min = 1, .max = 3600,
	  .default_value = "30",
	  .description = "Time from the first byte of a request to its "
			 "last." },
	{ "store", "address", KEY_ADDRESS, TEXT(store_address),
	  .allowed_roles = FOR_ALL, .required_roles = FOR_WORKFLOWS,
	  .description =
		  "Key-value store; an entry without one has no batch "
		  "work, no configuration changes and no keyed requests." },
	{ "store", "timeout_ms", KEY_NUMBER, FIELD(store_timeout_ms),
	  .allowed_roles = FOR_ENTRY_OR_AGENT, .unit = "ms", .min = 50,
	  .max = 60000, .default_value = "2000",
	  .description = "Bound of one call of the store." },
	{ "store", "lease_s", KEY_NUMBER, FIELD(store_lease_s),
	  .allowed_roles = FOR_ENTRY_OR_AGENT, .unit = "s", .min = 1,
	  .max = 600, .default_value = "15",
	  .description = "Leases of registration and partition ownership." },
	{ "entry", "default_service", KEY_NAME, TEXT(default_service),
	  .allowed_roles = FOR_ENTRY, .default_value = "default",
	  .description = "Service of a request whose Host names none." },
	{ "entry", "body_buffer_mb", KEY_NUMBER, FIELD(body_buffer_mb),
	  .allowed_roles = FOR_ENTRY, .unit = "MB", .min = 16, .max = 65536,
	  .default_value = "256",
	  .description = "Buffered bodies of all requests." },
	{ "agent", "seeds", KEY_ADDRESS_LIST, FIELD(seeds),
	  .allowed_roles = FOR_AGENT, .required_roles = FOR_AGENT,
	  .description = "Entries to connect to first (listen.peers)." },
	{ "agent", "service", KEY_NAME, TEXT(service),
	  .allowed_roles = FOR_AGENT, .required_roles = FOR_AGENT,
	  .description = "Service of the upstream." },
	{ "agent", "upstream", KEY_ADDRESS, TEXT(upstream),
	  .allowed_roles = FOR_AGENT, .required_roles = FOR_AGENT,
	  .description = "HTTP of the upstream." },
	{ "agent", "tasks", KEY_ADDRESS, TEXT(tasks),
	  .allowed_roles = FOR_AGENT, .required_roles = FOR_AGENT,
	  .description = "Task interface of the worker." },
	{ "agent", "slots", KEY_NUMBER, FIELD(slots),
	  .allowed_roles = FOR_AGENT, .unit = "requests", .min = 1, .max = 4096,
	  .default_value = "8",
	  .description = "Requests that the worker serves at once." },
	{ "agent", "connections", KEY_NUMBER, FIELD(connections),
	  .allowed_roles = FOR_AGENT, .unit = "connections", .min = 1,
	  .max = 65536, .default_value = "64",
	  .description = "Requests and streams open at the worker." },
	{ "agent", "queue", KEY_NUMBER, FIELD(queue),
	  .allowed_roles = FOR_AGENT, .unit = "requests", .min = 0, .max = 4096,
	  .default_value = "8",
	  .description = "Requests that wait for a slot." },
	{ "agent", "cpu_milli", KEY_NUMBER, FIELD(cpu_milli),
	  .allowed_roles = FOR_AGENT, .unit = "1/1000 core", .min = 0,
	  .max = 10000000, .default_value = "64000",
	  .description = "Processors for batch tasks." },
	{ "agent", "mem_mb", KEY_NUMBER, FIELD(mem_mb),
	  .allowed_roles = FOR_AGENT, .unit = "MB", .min = 0, .max = 100000000,
	  .default_value = "250000", .description = "Memory for batch tasks." },
	{ "agent", "accel", KEY_NUMBER, FIELD(accel),
	  .allowed_roles = FOR_AGENT, .unit = "accelerators", .min = 0,
	  .max = 1024, .default_value = "0",
	  .description = "Accelerators for batch tasks." },
	{ "admission", "outlook_age_ms", KEY_NUMBER, FIELD(outlook_age_ms),
	  .allowed_roles = FOR_WORKFLOWS, .unit = "ms", .min = 0, .max = 10000,
	  .default_value = "0",
	  .description = "Age up to which gateways refuse by the scheduler's "
			 "outlook what can't end in time; 0: never." },
	{ "admission", "retry_spread_ms", KEY_NUMBER, FIELD(retry_spread_ms),
	  .allowed_roles = FOR_GATEWAY, .unit = "ms", .min = 0, .max = 60000,
	  .default_value = "0",
	  .description = "Time over which callers are told to return while "
			 "the store is away, urgent ones first." },
	{ "runner", "worker", KEY_ADDRESS, TEXT(worker),
	  .allowed_roles = FOR_RUNNER, .required_roles = FOR_RUNNER,
	  .description = "Orders to the worker." },
};

const size_t settings_key_count =
	sizeof(settings_keys) / sizeof(settings_keys[0]);

static const char *const role_names[] = {
	[ROLE_ENTRY] = "entry",
	[ROLE_AGENT] = "agent",
	[ROLE_GATEWAY] = "gateway",
	[ROLE_RUNNER] = "runner",
};

const char *role_name(enum role role)
{
	return role_names[role];
}

int settings_key_find(const char *section, const char *name)
{
	size_t i;

	for (i = 0; i < settings_key_count; i++)
		if (!strcmp(settings_keys[i].section, section) &&
		    !strcmp(settings_keys[i].name, name))
			return (int)i;
	return -1;
}

const char *settings_key_allowed_values(const struct key_info *key, char *buf,
					size_t size)
{
	switch (key->type) {
	case KEY_ROLE:
		return "entry, agent, gateway or runner";
	case KEY_LOG_LEVEL:
		return "error, warn, info or debug";
	case KEY_NAME:
		snprintf(buf, size, "1 to %zu letters, digits, '-', '_' or '.'",
			 key->size - 1);
		return buf;
	case KEY_ADDRESS:
		return "an IPv4 address and a port, such as 127.0.0.1:8080";
	case KEY_ADDRESS_LIST:
		snprintf(buf, size,
			 "1 to %d addresses such as "
			 "127.0.0.1:8080, separated by commas",
			 SEEDS_MAX);
		return buf;
	case KEY_NUMBER:
		snprintf(buf, size,
			 "a whole number from %" PRId64 " to %" PRId64 " (%s)",
			 key->min, key->max, key->unit);
		return buf;
	}
	return "";
}

static int is_valid_name(const char *value, size_t size)
{
	static const char allowed[] = "abcdefghijklmnopqrstuvwxyz"
				      "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				      "0123456789-_.";
	size_t len = strlen(value);

	return len > 0 && len < size && strspn(value, allowed) == len;
}

static int parse_number(const char *value, int64_t *number)
{
	char *end;
	long long parsed;

	if (!*value || strspn(value, "0123456789") != strlen(value))
		return ERR_INVALID;
	errno = 0;
	parsed = strtoll(value, &end, 10);
	if (errno || *end)
		return ERR_INVALID;
	*number = parsed;
	return 0;
}

static int is_valid_address(const char *value)
{
	const char *colon = strchr(value, ':');
	struct in_addr addr;
	char ip[INET_ADDRSTRLEN];
	int64_t port;

	if (!colon || (size_t)(colon - value) >= sizeof(ip))
		return 0;
	memcpy(ip, value, (size_t)(colon - value));
	ip[colon - value] = '\0';
	return inet_pton(AF_INET, ip, &addr) == 1 &&
	       !parse_number(colon + 1, &port) && port >= 1 && port <= PORT_MAX;
}

static int set_name(void *field, const struct key_info *key, const char *value)
{
	if (!is_valid_name(value, key->size))
		return ERR_INVALID;
	return str_copy(field, value, key->size);
}

static int set_address(void *field, const struct key_info *key,
		       const char *value)
{
	if (!is_valid_address(value))
		return ERR_INVALID;
	return str_copy(field, value, key->size);
}

static int set_seeds(struct settings *settings, const char *value)
{
	char *copy = xstrdup(value);
	char *save = NULL;
	char *item;
	int err = 0;

	settings->seed_count = 0;
	for (item = strtok_r(copy, ", \t", &save); item && !err;
	     item = strtok_r(NULL, ", \t", &save)) {
		if (settings->seed_count == SEEDS_MAX ||
		    !is_valid_address(item))
			err = ERR_INVALID;
		else
			str_copy(settings->seeds[settings->seed_count++], item,
				 ID_SIZE);
	}
	free(copy);
	return settings->seed_count ? err : ERR_INVALID;
}

static int set_role(struct settings *settings, const char *value)
{
	size_t i;

	for (i = 0; i < sizeof(role_names) / sizeof(role_names[0]); i++) {
		if (strcmp(value, role_names[i]))
			continue;
		settings->role = (enum role)i;
		return 0;
	}
	return ERR_INVALID;
}

static int set_log_level(struct settings *settings, const char *value)
{
	int level;

	for (level = LOG_ERROR; level <= LOG_DEBUG; level++) {
		if (strcmp(value, log_level_name((enum log_level)level)))
			continue;
		settings->log_level = (enum log_level)level;
		return 0;
	}
	return ERR_INVALID;
}

static int set_number(void *field, const struct key_info *key,
		      const char *value)
{
	int64_t number;

	if (parse_number(value, &number) || number < key->min ||
	    number > key->max)
		return ERR_INVALID;
	*(int64_t *)field = number;
	return 0;
}

int settings_key_set(struct settings *settings, const struct key_info *key,
		     const char *value)
{
	void *field = (char *)settings + key->offset;

	switch (key->type) {
	case KEY_ROLE:
		return set_role(settings, value);
	case KEY_LOG_LEVEL:
		return set_log_level(settings, value);
	case KEY_NAME:
		return set_name(field, key, value);
	case KEY_ADDRESS:
		return set_address(field, key, value);
	case KEY_ADDRESS_LIST:
		return set_seeds(settings, value);
	case KEY_NUMBER:
		return set_number(field, key, value);
	}
	return ERR_INVALID;
}
