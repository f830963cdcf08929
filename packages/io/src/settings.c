#include "settings.h"

#include <arpa/inet.h>
#include <errno.h>
#include <inttypes.h>
#include <limits.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <ini.h>

#include "errors.h"
#include "mem.h"

enum key_type {
	KEY_ROLE,
	KEY_LEVEL,
	KEY_NAME,	  /* letters, digits, '-', '_', '.' */
	KEY_ADDRESS,	  /* ip:port */
	KEY_ADDRESS_LIST, /* ip:port, separated by commas or spaces */
	KEY_NUMBER
};

#define FOR_ENTRY (1u << ROLE_ENTRY)
#define FOR_AGENT (1u << ROLE_AGENT)
#define FOR_BOTH (FOR_ENTRY | FOR_AGENT)

struct key_info {
	const char *section;
	const char *name;
	enum key_type type;
	size_t offset;
	size_t size; /* of a text field, with its terminator */
	unsigned allowed, required;
	const char *unit;
	int64_t min, max;
	const char *initial; /* NULL: empty, or the key is required */
	const char *meaning;
};

#define FIELD(field) .offset = offsetof(struct settings, field)
#define TEXT(field)                                                            \
	FIELD(field), .size = sizeof(((struct settings *)NULL)->field)
#define PORT_MAX 65535

static const struct key_info keys[] = {
	{ "daemon", "role", KEY_ROLE, FIELD(role), .allowed = FOR_BOTH,
	  .required = FOR_BOTH, .meaning = "What this process does." },
	{ "daemon", "id", KEY_NAME, TEXT(id), .allowed = FOR_BOTH,
	  .required = FOR_BOTH,
	  .meaning = "Identifier, different for each process." },
	{ "daemon", "region", KEY_NAME, TEXT(region), .allowed = FOR_BOTH,
	  .required = FOR_BOTH, .meaning = "Region of the VM." },
	{ "daemon", "domain", KEY_NAME, TEXT(domain), .allowed = FOR_BOTH,
	  .required = FOR_BOTH, .meaning = "Failure domain of the VM." },
	{ "daemon", "rack", KEY_NAME, TEXT(rack), .allowed = FOR_BOTH,
	  .initial = "none", .meaning = "Rack of the VM." },
	{ "daemon", "log_level", KEY_LEVEL, FIELD(log_level),
	  .allowed = FOR_BOTH, .initial = "info",
	  .meaning = "Least important level that is logged." },
	{ "daemon", "stop_ms", KEY_NUMBER, FIELD(stop_ms), .allowed = FOR_BOTH,
	  .unit = "ms", .min = 0, .max = 600000, .initial = "30000",
	  .meaning = "Bound of a graceful stop." },
	{ "listen", "callers", KEY_ADDRESS, TEXT(callers), .allowed = FOR_ENTRY,
	  .required = FOR_ENTRY, .meaning = "HTTP for callers." },
	{ "listen", "peers", KEY_ADDRESS, TEXT(peers), .allowed = FOR_ENTRY,
	  .required = FOR_ENTRY, .meaning = "ZeroMQ for agents." },
	{ "listen", "admin", KEY_ADDRESS, TEXT(admin), .allowed = FOR_BOTH,
	  .required = FOR_BOTH,
	  .meaning = "HTTP for metrics, health and operators." },
	{ "store", "address", KEY_ADDRESS, TEXT(store_address),
	  .allowed = FOR_BOTH,
	  .meaning = "Key-value store; an entry without one has no batch "
		     "work, no configuration changes and no keyed requests." },
	{ "store", "timeout_ms", KEY_NUMBER, FIELD(store_timeout_ms),
	  .allowed = FOR_BOTH, .unit = "ms", .min = 50, .max = 60000,
	  .initial = "2000", .meaning = "Bound of one call of the store." },
	{ "store", "lease_s", KEY_NUMBER, FIELD(store_lease_s),
	  .allowed = FOR_BOTH, .unit = "s", .min = 1, .max = 600,
	  .initial = "15",
	  .meaning = "Leases of registration and partition ownership." },
	{ "entry", "default_service", KEY_NAME, TEXT(default_service),
	  .allowed = FOR_ENTRY, .initial = "default",
	  .meaning = "Service of a request whose Host names none." },
	{ "entry", "body_buffer_mb", KEY_NUMBER, FIELD(body_buffer_mb),
	  .allowed = FOR_ENTRY, .unit = "MB", .min = 16, .max = 65536,
	  .initial = "256", .meaning = "Buffered bodies of all requests." },
	{ "agent", "seeds", KEY_ADDRESS_LIST, FIELD(seeds),
	  .allowed = FOR_AGENT, .required = FOR_AGENT,
	  .meaning = "Entries to connect to first (listen.peers)." },
	{ "agent", "service", KEY_NAME, TEXT(service), .allowed = FOR_AGENT,
	  .required = FOR_AGENT, .meaning = "Service of the upstream." },
	{ "agent", "upstream", KEY_ADDRESS, TEXT(upstream),
	  .allowed = FOR_AGENT, .required = FOR_AGENT,
	  .meaning = "HTTP of the upstream." },
	{ "agent", "tasks", KEY_ADDRESS, TEXT(tasks), .allowed = FOR_AGENT,
	  .required = FOR_AGENT, .meaning = "Task interface of the worker." },
	{ "agent", "slots", KEY_NUMBER, FIELD(slots), .allowed = FOR_AGENT,
	  .unit = "requests", .min = 1, .max = 4096, .initial = "8",
	  .meaning = "Requests that the worker serves at once." },
	{ "agent", "connections", KEY_NUMBER, FIELD(connections),
	  .allowed = FOR_AGENT, .unit = "connections", .min = 1, .max = 65536,
	  .initial = "64",
	  .meaning = "Requests and streams open at the worker." },
	{ "agent", "queue", KEY_NUMBER, FIELD(queue), .allowed = FOR_AGENT,
	  .unit = "requests", .min = 0, .max = 4096, .initial = "8",
	  .meaning = "Requests that wait for a slot." },
	{ "agent", "cpu_milli", KEY_NUMBER, FIELD(cpu_milli),
	  .allowed = FOR_AGENT, .unit = "1/1000 core", .min = 0,
	  .max = 10000000, .initial = "64000",
	  .meaning = "Processors for batch tasks." },
	{ "agent", "mem_mb", KEY_NUMBER, FIELD(mem_mb), .allowed = FOR_AGENT,
	  .unit = "MB", .min = 0, .max = 100000000, .initial = "250000",
	  .meaning = "Memory for batch tasks." },
	{ "agent", "accel", KEY_NUMBER, FIELD(accel), .allowed = FOR_AGENT,
	  .unit = "accelerators", .min = 0, .max = 1024, .initial = "0",
	  .meaning = "Accelerators for batch tasks." },
};

#define KEY_COUNT (sizeof(keys) / sizeof(keys[0]))

static const char *const role_names[] = {
	[ROLE_ENTRY] = "entry",
	[ROLE_AGENT] = "agent",
};

struct parser {
	struct settings *settings;
	const char *path;
	FILE *file;
	char *message;
	size_t message_size;
	int line;
	int failed;
	int seen_at[KEY_COUNT]; /* line of each key; 0: not in the file */
};

/* Keeps the first error; the parser goes on and calls the handler again. */
__attribute__((format(printf, 3, 4))) static void fail(struct parser *parser,
						       int line,
						       const char *fmt, ...)
{
	char *text = NULL;
	va_list args;

	if (parser->failed)
		return;
	parser->failed = 1;
	va_start(args, fmt);
	if (vasprintf(&text, fmt, args) < 0)
		text = NULL;
	va_end(args);
	if (line)
		snprintf(parser->message, parser->message_size, "%s:%d: %s",
			 parser->path, line, text ? text : "error");
	else
		snprintf(parser->message, parser->message_size, "%s: %s",
			 parser->path, text ? text : "error");
	free(text);
}

/* What is allowed for a key, in words. */
static const char *allowed_text(const struct key_info *key, char *buf,
				size_t size)
{
	switch (key->type) {
	case KEY_ROLE:
		return "entry or agent";
	case KEY_LEVEL:
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

static int name_valid(const char *value, size_t size)
{
	static const char allowed[] = "abcdefghijklmnopqrstuvwxyz"
				      "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				      "0123456789-_.";
	size_t len = strlen(value);

	return len > 0 && len < size && strspn(value, allowed) == len;
}

static int number_parse(const char *value, int64_t *number)
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

static int address_valid(const char *value)
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
	       !number_parse(colon + 1, &port) && port >= 1 && port <= PORT_MAX;
}

static int set_name(void *field, const struct key_info *key, const char *value)
{
	if (!name_valid(value, key->size))
		return ERR_INVALID;
	return str_copy(field, value, key->size);
}

static int set_address(void *field, const struct key_info *key,
		       const char *value)
{
	if (!address_valid(value))
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
		if (settings->seed_count == SEEDS_MAX || !address_valid(item))
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

static int set_level(struct settings *settings, const char *value)
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

	if (number_parse(value, &number) || number < key->min ||
	    number > key->max)
		return ERR_INVALID;
	*(int64_t *)field = number;
	return 0;
}

static int key_set(struct settings *settings, const struct key_info *key,
		   const char *value)
{
	void *field = (char *)settings + key->offset;

	switch (key->type) {
	case KEY_ROLE:
		return set_role(settings, value);
	case KEY_LEVEL:
		return set_level(settings, value);
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

static int section_known(const char *section)
{
	size_t i;

	for (i = 0; i < KEY_COUNT; i++)
		if (!strcmp(keys[i].section, section))
			return 1;
	return 0;
}

static int key_find(const char *section, const char *name)
{
	size_t i;

	for (i = 0; i < KEY_COUNT; i++)
		if (!strcmp(keys[i].section, section) &&
		    !strcmp(keys[i].name, name))
			return (int)i;
	return -1;
}

static void take_value(struct parser *parser, int index, const char *value)
{
	const struct key_info *key = &keys[index];
	char buf[128];

	if (parser->seen_at[index]) {
		fail(parser, parser->line,
		     "%s.%s: given twice, first on line %d", key->section,
		     key->name, parser->seen_at[index]);
		return;
	}
	parser->seen_at[index] = parser->line;
	if (key_set(parser->settings, key, value))
		fail(parser, parser->line,
		     "%s.%s: '%s' is not allowed; allowed: %s", key->section,
		     key->name, value, allowed_text(key, buf, sizeof(buf)));
}

/* Names all keys of a section, for the error about an unknown one. */
static void fail_unknown(struct parser *parser, const char *section,
			 const char *name)
{
	char known[512] = "";
	size_t i, len = 0;

	for (i = 0; i < KEY_COUNT; i++)
		if (!strcmp(keys[i].section, section) && len < sizeof(known))
			len += (size_t)snprintf(known + len,
						sizeof(known) - len, "%s%s",
						len ? ", " : "", keys[i].name);
	fail(parser, parser->line, "%s.%s: unknown key; allowed in [%s]: %s",
	     section, name, section, known);
}

static int on_value(void *arg, const char *section, const char *name,
		    const char *value)
{
	struct parser *parser = arg;
	int index;

	if (!section_known(section)) {
		fail(parser, parser->line,
		     "%s.%s: unknown section [%s]; allowed: [daemon], "
		     "[listen], [store], [entry], [agent]",
		     section, name, section);
		return 0;
	}
	index = key_find(section, name);
	if (index < 0)
		fail_unknown(parser, section, name);
	else
		take_value(parser, index, value);
	return !parser->failed;
}

/* The library reads lines through this, so that they can be counted. */
static char *read_line(char *buf, int size, void *arg)
{
	struct parser *parser = arg;
	char *line = fgets(buf, size, parser->file);

	if (!line)
		return NULL;
	parser->line++;
	if (!strchr(line, '\n') && !feof(parser->file))
		fail(parser, parser->line,
		     "line too long; allowed: %d characters", size - 2);
	return line;
}

static void check_roles(struct parser *parser)
{
	unsigned role = 1u << parser->settings->role;
	const char *name = role_names[parser->settings->role];
	char buf[128];
	size_t i;

	for (i = 0; i < KEY_COUNT; i++) {
		const struct key_info *key = &keys[i];

		if (parser->seen_at[i] && !(key->allowed & role))
			fail(parser, parser->seen_at[i],
			     "%s.%s: not allowed with role = %s; remove it",
			     key->section, key->name, name);
		if (!parser->seen_at[i] && (key->required & role))
			fail(parser, 0,
			     "%s.%s: missing; required with role = %s; "
			     "allowed: %s",
			     key->section, key->name, name,
			     allowed_text(key, buf, sizeof(buf)));
	}
}

static void set_initial(struct settings *settings)
{
	size_t i;

	memset(settings, 0, sizeof(*settings));
	for (i = 0; i < KEY_COUNT; i++)
		if (keys[i].initial)
			key_set(settings, &keys[i], keys[i].initial);
}

int settings_load(struct settings *settings, const char *path, char *message,
		  size_t message_size)
{
	struct parser parser = { .settings = settings,
				 .path = path,
				 .message = message,
				 .message_size = message_size };
	int line, role;

	set_initial(settings);
	parser.file = fopen(path, "r");
	if (!parser.file) {
		fail(&parser, 0, "cannot be read: %s", strerror(errno));
		return ERR_INVALID;
	}
	line = ini_parse_stream(read_line, &parser, on_value, &parser);
	fclose(parser.file);
	if (line)
		fail(&parser, line > 0 ? line : 0,
		     "not a section, key = value or comment");
	role = key_find("daemon", "role");
	if (!parser.failed && !parser.seen_at[role])
		fail(&parser, 0,
		     "daemon.role: missing; allowed: entry or agent");
	if (!parser.failed)
		check_roles(&parser);
	return parser.failed ? ERR_INVALID : 0;
}

static const char *roles_text(unsigned roles)
{
	if (roles == FOR_BOTH)
		return "entry, agent";
	return roles == FOR_ENTRY ? "entry" : "agent";
}

char *settings_describe(void)
{
	char *text = NULL;
	size_t len = 0, i;
	char buf[128];
	FILE *out = open_memstream(&text, &len);

	if (!out)
		return xstrdup("");
	for (i = 0; i < KEY_COUNT; i++) {
		const struct key_info *key = &keys[i];

		fprintf(out, "%s.%s\n", key->section, key->name);
		fprintf(out, "    %s\n", key->meaning);
		fprintf(out, "    allowed: %s\n",
			allowed_text(key, buf, sizeof(buf)));
		fprintf(out, "    roles: %s; %s%s\n", roles_text(key->allowed),
			key->required  ? "required"
			: key->initial ? "default: "
				       : "optional",
			key->initial ? key->initial : "");
	}
	fclose(out);
	return text;
}
