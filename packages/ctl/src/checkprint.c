#include "checkprint.h"

#include <stdio.h>
#include <stdlib.h>

#include <jansson.h>

#include "mem.h"
#include "print.h"

static const char *level_name(enum check_kind kind)
{
	return configcheck_kinds()[kind].is_error ? "error" : "warning";
}

/* Texts are cut at a length, perhaps within a character. */
static json_t *clean_json(const char *text)
{
	json_t *string = json_string(text);
	char *ascii, *byte;

	if (string)
		return string;
	ascii = xstrdup(text);
	for (byte = ascii; *byte; byte++)
		if ((unsigned char)*byte >= 0x80)
			*byte = '?';
	string = json_string(ascii);
	free(ascii);
	return string;
}

void checkprint_clean(FILE *file, const char *text)
{
	json_t *string = clean_json(text);
	const char *byte = json_string_value(string);

	for (; byte && *byte; byte++)
		fputc((unsigned char)*byte < ' ' || *byte == 0x7f ? '?' : *byte,
		      file);
	json_decref(string);
}

static void print_clean(const char *text)
{
	checkprint_clean(stdout, text);
}

static json_t *load(const char *text)
{
	return text ? json_loads(text, JSON_DECODE_ANY, NULL) : json_null();
}

static const char *change_name(const struct check_change *change)
{
	if (!change->old_text)
		return "added";
	return change->new_text ? "changed" : "removed";
}

static void print_value_text(const json_t *value)
{
	char *text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);

	print_clean(text ? text : "missing");
	free(text);
}

static void print_field(const char **separator, const char *key,
			const json_t *before, const json_t *after)
{
	if (json_equal(before, after))
		return;
	fputs(*separator, stdout);
	print_clean(key);
	putchar(' ');
	print_value_text(before);
	fputs(" -> ", stdout);
	print_value_text(after);
	*separator = ", ";
}

static void print_fields(json_t *before, json_t *after)
{
	const char *separator = ": ";
	const char *key;
	json_t *value;

	json_object_foreach(before, key, value)
	{
		print_field(&separator, key, value,
			    json_object_get(after, key));
	}
	json_object_foreach(after, key, value)
	{
		if (!json_object_get(before, key))
			print_field(&separator, key, NULL, value);
	}
}

static void print_change(const struct check_change *change)
{
	json_t *before = load(change->old_text);
	json_t *after = load(change->new_text);

	printf("%s ", change_name(change));
	print_clean(change->place);
	if (json_is_object(before) && json_is_object(after))
		print_fields(before, after);
	else if (change->old_text && change->new_text)
		printf(": %s -> %s", change->old_text, change->new_text);
	putchar('\n');
	json_decref(before);
	json_decref(after);
}

void checkprint_text(const char *path, const struct check_report *report)
{
	size_t i;

	for (i = 0; i < report->finding_count; i++) {
		const struct check_finding *finding = &report->findings[i];

		printf("%s: ", path);
		print_clean(finding->place);
		printf(": %s: ", level_name(finding->kind));
		print_clean(finding->reason);
		printf(" [%s]\n", configcheck_kinds()[finding->kind].name);
	}
	for (i = 0; i < report->change_count; i++)
		print_change(&report->changes[i]);
	if (!report->finding_count)
		printf("%s: no finding\n", path);
}

static json_t *finding_json(const struct check_finding *finding)
{
	return json_pack("{s:s, s:s, s:o, s:o}", "kind",
			 configcheck_kinds()[finding->kind].name, "level",
			 level_name(finding->kind), "place",
			 clean_json(finding->place), "reason",
			 clean_json(finding->reason));
}

static json_t *change_json(const struct check_change *change)
{
	return json_pack("{s:s, s:o, s:o, s:o}", "change", change_name(change),
			 "place", clean_json(change->place), "old",
			 load(change->old_text), "new", load(change->new_text));
}

void checkprint_json(const char *path, const struct check_report *report)
{
	json_t *findings = json_array();
	json_t *changes = json_array();
	json_t *root;
	size_t i;

	for (i = 0; i < report->finding_count; i++)
		json_array_append_new(findings,
				      finding_json(&report->findings[i]));
	for (i = 0; i < report->change_count; i++)
		json_array_append_new(changes,
				      change_json(&report->changes[i]));
	root = json_pack("{s:o, s:o, s:o}", "file", clean_json(path),
			 "findings", findings, "changes", changes);
	print_json(root);
	json_decref(root);
}
