#include "check.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "checkprint.h"
#include "config.h"
#include "errors.h"
#include "mem.h"
#include "platformcheck.h"
#include "storeread.h"

/*
 * Bounds of the memory: a decoded value takes up to 130 bytes, and only values
 * that one of the counted characters introduces are decoded.
 */
#define FILE_MAX_BYTES (16 * 1024 * 1024)
#define VALUES_MAX 1000000
#define MESSAGE_SIZE 512

/* One file; either routes or live is set. */
struct document {
	struct platform_check *routes;
	struct config *live; /* NULL: also when the daemons refuse it */
	struct check_config entries;
	int is_refused;
};

static int cannot_check(const char *path, const char *reason)
{
	fprintf(stderr, "catkinhillctl: %s: could not check: ", path);
	checkprint_clean(stderr, reason);
	fputc('\n', stderr);
	return ERR_MALFORMED;
}

static int count_values(const char *text, size_t len)
{
	int count = 0;
	size_t i;

	for (i = 0; i < len; i++)
		count += text[i] == ',' || text[i] == ':' || text[i] == '[' ||
			 text[i] == '{';
	return count;
}

/* RETURN VALUE: newly allocated text, or NULL after a message. */
static char *read_document(const char *path, size_t *len)
{
	FILE *file = strcmp(path, "-") ? fopen(path, "rb") : stdin;
	char *text;
	int failed;

	if (!file) {
		cannot_check(path, strerror(errno));
		return NULL;
	}
	text = xmalloc(FILE_MAX_BYTES + 1);
	*len = fread(text, 1, FILE_MAX_BYTES + 1, file);
	failed = ferror(file) ? errno : 0;
	if (file != stdin)
		fclose(file);
	if (failed)
		cannot_check(path, strerror(failed));
	else if (*len > FILE_MAX_BYTES)
		cannot_check(path, "larger than 16 MB");
	else if (count_values(text, *len) > VALUES_MAX)
		cannot_check(path, "more than 1,000,000 values");
	else
		return text;
	free(text);
	return NULL;
}

static void check_unknown(const json_t *object, const char *place,
			  const char *const *known, struct check_report *report)
{
	const char *key;
	json_t *value;

	json_object_foreach((json_t *)object, key, value)
	{
		configcheck_field(report, place, key, known);
	}
}

/* The decoder names the first unknown field only. */
static void check_live_fields(const char *text, size_t len,
			      struct check_report *report)
{
	json_t *root = json_loadb(text, len, 0, NULL);
	const char *names[LIMIT_COUNT + 1] = { NULL };
	int i;

	for (i = 0; i < LIMIT_COUNT; i++)
		names[i] = config_limits()[i].name;
	check_unknown(root, "the whole", config_keys(), report);
	check_unknown(json_object_get(root, "limits"), "limits", names, report);
	json_decref(root);
}

static int decode_live(struct document *document, const char *path,
		       const char *text, size_t len,
		       struct check_report *report)
{
	struct config *config = xmalloc(sizeof(*config));
	char message[MESSAGE_SIZE];
	int err = config_parse_message(config, text, len, message,
				       sizeof(message));

	if (err == ERR_MALFORMED) {
		free(config);
		return cannot_check(path, message);
	}
	check_live_fields(text, len, report);
	document->is_refused = err != 0;
	if (err) {
		configcheck_add(report, CHECK_REFUSED, "the whole", "%s",
				message);
		free(config);
		return 0;
	}
	document->live = config;
	configcheck_add_limits(&document->entries, config);
	return 0;
}

static int decode(struct document *document, const char *path, const char *text,
		  size_t len, struct check_report *report)
{
	char *message = NULL;
	int err = 0;

	document->routes = platform_check_new(text, len, report, &message);
	if (message)
		err = cannot_check(path, message);
	else if (document->routes)
		document->is_refused =
			platform_check_is_refused(document->routes);
	else
		err = decode_live(document, path, text, len, report);
	free(message);
	return err;
}

static int decode_file(struct document *document, const char *path,
		       struct check_report *report)
{
	size_t len;
	char *text = read_document(path, &len);
	int err;

	if (!text)
		return ERR_MALFORMED;
	err = decode(document, path, text, len, report);
	free(text);
	return err;
}

static int decode_stored(struct document *document, const char *address,
			 struct check_report *report)
{
	const char *reason;
	size_t len;
	char *text = storeread_config(address, &len, &reason);
	int err;

	if (!text)
		return cannot_check(address, reason);
	err = decode(document, address, text, len, report);
	free(text);
	return err;
}

static void document_clear(struct document *document)
{
	platform_check_delete(document->routes);
	configcheck_entries_clear(&document->entries);
	free(document->live);
}

static struct check_config *document_entries(struct document *document)
{
	return document->routes ? platform_check_config(document->routes)
				: &document->entries;
}

static int check_against(struct document *document,
			 const struct invocation *invocation,
			 struct check_report *report)
{
	const char *path =
		invocation->against ? invocation->against : invocation->store;
	struct check_report ignored = { 0 };
	struct document current = { 0 };
	int err = invocation->against ? decode_file(&current, path, &ignored)
				      : decode_stored(&current, path, &ignored);

	if (!err && current.is_refused)
		err = cannot_check(path, "the daemons refuse it, so it cannot "
					 "be in force");
	if (!err && !current.routes != !document->routes)
		err = cannot_check(path, "one file holds routes, the other "
					 "one limits");
	if (!err && document->live)
		configcheck_limits(document->live, current.live, report);
	if (!err && !document->is_refused)
		configcheck_changes(document_entries(document),
				    document_entries(&current), report);
	document_clear(&current);
	configcheck_clear(&ignored);
	return err;
}

static int check_document(const struct invocation *invocation,
			  struct check_report *report)
{
	struct document document = { 0 };
	int err = decode_file(&document, invocation->args[0], report);

	if (!err && document.routes)
		configcheck_routes(platform_check_config(document.routes),
				   report);
	if (!err && (invocation->against || invocation->store))
		err = check_against(&document, invocation, report);
	else if (!err && document.live)
		configcheck_limits(document.live, NULL, report);
	document_clear(&document);
	return err;
}

int run_check(const struct command *command,
	      const struct invocation *invocation)
{
	struct check_report report = { 0 };
	const char *path = invocation->args[0];
	int code = EXIT_USAGE;

	if (invocation->against && invocation->store) {
		cannot_check(path, "--against and --store exclude each other");
		return EXIT_USAGE;
	}
	if (!check_document(invocation, &report)) {
		code = report.finding_count ? EXIT_FAILED : EXIT_OK;
		if (invocation->json)
			checkprint_json(path, &report);
		else
			checkprint_text(path, &report);
	}
	configcheck_clear(&report);
	return code;
}
