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
	int *seen_line; /* line of each key; 0 if it is not in the file */
};

/* Keeps only the first error: inih parses on and calls the handler again. */
__attribute__((format(printf, 3, 4))) static void report_error(
	struct parser *parser, int line, const char *fmt, ...)
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

static int is_known_section(const char *section)
{
	size_t i;

	for (i = 0; i < settings_key_count; i++)
		if (!strcmp(settings_keys[i].section, section))
			return 1;
	return 0;
}

static void set_value(struct parser *parser, int index, const char *value)
{
	const struct key_info *key = &settings_keys[index];
	char buf[128];

	if (parser->seen_line[index]) {
		report_error(parser, parser->line,
			     "%s.%s: given twice, first on line %d",
			     key->section, key->name, parser->seen_line[index]);
		return;
	}
	parser->seen_line[index] = parser->line;
	if (settings_key_set(parser->settings, key, value))
		report_error(
			parser, parser->line,
			"%s.%s: '%s' is not allowed; allowed: %s", key->section,
			key->name, value,
			settings_key_allowed_values(key, buf, sizeof(buf)));
}

/* Reports an unknown key with a list of the keys of its section. */
static void report_unknown_key(struct parser *parser, const char *section,
			       const char *name)
{
	char key_names[512] = "";
	size_t i, len = 0;

	for (i = 0; i < settings_key_count; i++)
		if (!strcmp(settings_keys[i].section, section) &&
		    len < sizeof(key_names))
			len += (size_t)snprintf(
				key_names + len, sizeof(key_names) - len,
				"%s%s", len ? ", " : "", settings_keys[i].name);
	report_error(parser, parser->line,
		     "%s.%s: unknown key; allowed in [%s]: %s", section, name,
		     section, key_names);
}

static int on_value(void *arg, const char *section, const char *name,
		    const char *value)
{
	struct parser *parser = arg;
	int index;

	if (!is_known_section(section)) {
		report_error(parser, parser->line,
			     "%s.%s: unknown section [%s]; allowed: [daemon], "
			     "[listen], [store], [entry], [agent]",
			     section, name, section);
		return 0;
	}
	index = settings_key_find(section, name);
	if (index < 0)
		report_unknown_key(parser, section, name);
	else
		set_value(parser, index, value);
	return !parser->failed;
}

/* Reads lines for inih and counts them. */
static char *read_line(char *buf, int size, void *arg)
{
	struct parser *parser = arg;
	char *line = fgets(buf, size, parser->file);

	if (!line)
		return NULL;
	parser->line++;
	if (!strchr(line, '\n') && !feof(parser->file))
		report_error(parser, parser->line,
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

		if (parser->seen_line[i] && !(key->allowed_roles & role))
			report_error(
				parser, parser->seen_line[i],
				"%s.%s: not allowed with role = %s; remove it",
				key->section, key->name, name);
		if (!parser->seen_line[i] && (key->required_roles & role))
			report_error(parser, 0,
				     "%s.%s: missing; required with role = %s; "
				     "allowed: %s",
				     key->section, key->name, name,
				     settings_key_allowed_values(key, buf,
								 sizeof(buf)));
	}
}

static void set_defaults(struct settings *settings)
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
		report_error(parser, line > 0 ? line : 0,
			     "not a section, key = value or comment");
	if (!parser->seen_line[settings_key_find("daemon", "role")])
		report_error(parser, 0,
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

	set_defaults(settings);
	parser.seen_line =
		xcalloc(settings_key_count, sizeof(*parser.seen_line));
	parser.file = fopen(path, "r");
	if (!parser.file) {
		report_error(&parser, 0, "cannot be read: %s", strerror(errno));
		free(parser.seen_line);
		return ERR_INVALID;
	}
	parse_file(&parser);
	fclose(parser.file);
	free(parser.seen_line);
	return parser.failed ? ERR_INVALID : 0;
}

static const char *format_roles(unsigned roles, char *buf, size_t size)
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
			format_roles(key->allowed_roles, roles, sizeof(roles)),
			key->required_roles  ? "required"
			: key->default_value ? "default: "
					     : "optional",
			key->default_value ? key->default_value : "");
	}
	fclose(out);
	return text;
}
