#include "settings.h"

#include <errno.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <ini.h>

#include "errors.h"
#include "mem.h"
#include "settingskeys.h"

struct parser {
	struct settings *settings;
	const char *path;
	FILE *file;
	char *message;
	size_t message_size;
	int line;
	int failed;
	int *seen_at; /* line of each key; 0: not in the file */
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

static int section_known(const char *section)
{
	size_t i;

	for (i = 0; i < settings_key_count; i++)
		if (!strcmp(settings_keys[i].section, section))
			return 1;
	return 0;
}

static void take_value(struct parser *parser, int index, const char *value)
{
	const struct key_info *key = &settings_keys[index];
	char buf[128];

	if (parser->seen_at[index]) {
		fail(parser, parser->line,
		     "%s.%s: given twice, first on line %d", key->section,
		     key->name, parser->seen_at[index]);
		return;
	}
	parser->seen_at[index] = parser->line;
	if (settings_key_set(parser->settings, key, value))
		fail(parser, parser->line,
		     "%s.%s: '%s' is not allowed; allowed: %s", key->section,
		     key->name, value,
		     settings_key_allowed_values(key, buf, sizeof(buf)));
}

/* Names all keys of a section, for the error about an unknown one. */
static void fail_unknown(struct parser *parser, const char *section,
			 const char *name)
{
	char known[512] = "";
	size_t i, len = 0;

	for (i = 0; i < settings_key_count; i++)
		if (!strcmp(settings_keys[i].section, section) &&
		    len < sizeof(known))
			len += (size_t)snprintf(
				known + len, sizeof(known) - len, "%s%s",
				len ? ", " : "", settings_keys[i].name);
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
	index = settings_key_find(section, name);
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
	const char *name = role_name(parser->settings->role);
	char buf[128];
	size_t i;

	for (i = 0; i < settings_key_count; i++) {
		const struct key_info *key = &settings_keys[i];

		if (parser->seen_at[i] && !(key->allowed_roles & role))
			fail(parser, parser->seen_at[i],
			     "%s.%s: not allowed with role = %s; remove it",
			     key->section, key->name, name);
		if (!parser->seen_at[i] && (key->required_roles & role))
			fail(parser, 0,
			     "%s.%s: missing; required with role = %s; "
			     "allowed: %s",
			     key->section, key->name, name,
			     settings_key_allowed_values(key, buf,
							 sizeof(buf)));
	}
}

static void set_initial(struct settings *settings)
{
	size_t i;

	memset(settings, 0, sizeof(*settings));
	for (i = 0; i < settings_key_count; i++)
		if (settings_keys[i].default_value)
			settings_key_set(settings, &settings_keys[i],
					 settings_keys[i].default_value);
}

static void parse_file(struct parser *parser)
{
	int line = ini_parse_stream(read_line, parser, on_value, parser);

	if (line)
		fail(parser, line > 0 ? line : 0,
		     "not a section, key = value or comment");
	if (!parser->seen_at[settings_key_find("daemon", "role")])
		fail(parser, 0,
		     "daemon.role: missing; allowed: entry, agent, "
		     "gateway or runner");
	check_roles(parser);
}

int settings_load(struct settings *settings, const char *path, char *message,
		  size_t message_size)
{
	struct parser parser = { .settings = settings,
				 .path = path,
				 .message = message,
				 .message_size = message_size };

	set_initial(settings);
	parser.seen_at = xcalloc(settings_key_count, sizeof(*parser.seen_at));
	parser.file = fopen(path, "r");
	if (!parser.file) {
		fail(&parser, 0, "cannot be read: %s", strerror(errno));
		free(parser.seen_at);
		return ERR_INVALID;
	}
	parse_file(&parser);
	fclose(parser.file);
	free(parser.seen_at);
	return parser.failed ? ERR_INVALID : 0;
}

static const char *roles_text(unsigned roles, char *buf, size_t size)
{
	size_t used = 0;
	int role;

	buf[0] = '\0';
	for (role = 0; role < ROLE_COUNT && used < size; role++)
		if (roles & (1u << role))
			used += (size_t)snprintf(buf + used, size - used,
						 "%s%s", used ? ", " : "",
						 role_name((enum role)role));
	return buf;
}

char *settings_describe(void)
{
	char *text = NULL;
	size_t len = 0, i;
	char buf[128], roles[128];
	FILE *out = open_memstream(&text, &len);

	if (!out)
		return xstrdup("");
	for (i = 0; i < settings_key_count; i++) {
		const struct key_info *key = &settings_keys[i];

		fprintf(out, "%s.%s\n", key->section, key->name);
		fprintf(out, "    %s\n", key->description);
		fprintf(out, "    allowed: %s\n",
			settings_key_allowed_values(key, buf, sizeof(buf)));
		fprintf(out, "    roles: %s; %s%s\n",
			roles_text(key->allowed_roles, roles, sizeof(roles)),
			key->required_roles  ? "required"
			: key->default_value ? "default: "
					     : "optional",
			key->default_value ? key->default_value : "");
	}
	fclose(out);
	return text;
}
