#include "configcheck.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"

#define ROUTE_PREFIX "routes."

void configcheck_add_entry(struct check_config *config, char *place, char *text)
{
	struct check_entry *entry;

	if (config->entry_count == config->entry_size) {
		config->entry_size = 2 * config->entry_size + 16;
		config->entries = xrealloc(config->entries,
					   config->entry_size * sizeof(*entry));
	}
	entry = &config->entries[config->entry_count++];
	entry->place = place;
	entry->text = text;
}

void configcheck_entries_clear(struct check_config *config)
{
	size_t i;

	for (i = 0; i < config->entry_count; i++) {
		free(config->entries[i].place);
		free(config->entries[i].text);
	}
	free(config->entries);
	config->entries = NULL;
	config->entry_count = 0;
	config->entry_size = 0;
}

void configcheck_add_limits(struct check_config *entries,
			    const struct config *config)
{
	const struct limit_info *limits = config_limits();
	size_t i;

	entries->version = (int64_t)config->version;
	for (i = 0; i < LIMIT_COUNT; i++)
		configcheck_add_entry(entries,
				      xstrfmt("limits.%s", limits[i].name),
				      xstrfmt("%" PRId64, config->limits[i]));
	for (i = 0; i < config->drained_count; i++)
		configcheck_add_entry(entries,
				      xstrfmt("drained.%s", config->drained[i]),
				      xstrdup("true"));
	for (i = 0; i < config->quota_count; i++) {
		const struct resources *quota = &config->quotas[i].quota;

		configcheck_add_entry(
			entries, xstrfmt("quotas.%s", config->quotas[i].team),
			xstrfmt("{\"accel\":%u,\"cpu_milli\":%u,\"mem_mb\":%u}",
				quota->accel, quota->cpu_milli, quota->mem_mb));
	}
}

static int compare_entries(const void *a, const void *b)
{
	const struct check_entry *x = a, *y = b;
	int order = strcmp(x->place, y->place);

	return order ? order : strcmp(x->text, y->text);
}

static void sort_entries(struct check_config *config)
{
	if (config->entry_count)
		qsort(config->entries, config->entry_count,
		      sizeof(*config->entries), compare_entries);
}

static char *take_text(struct check_entry *entry)
{
	char *text = entry ? entry->text : NULL;

	if (entry)
		entry->text = NULL;
	return text;
}

/* old and new may be NULL. */
static void add_change(struct check_report *report, const char *place,
		       struct check_entry *old, struct check_entry *new)
{
	struct check_change *change;

	if (report->change_count == report->change_size) {
		report->change_size = 2 * report->change_size + 16;
		report->changes = xrealloc(
			report->changes, report->change_size * sizeof(*change));
	}
	change = &report->changes[report->change_count++];
	change->place = xstrdup(place);
	change->old_text = take_text(old);
	change->new_text = take_text(new);
}

static void note_removed(struct check_report *report,
			 const struct check_entry *old)
{
	if (!strncmp(old->place, ROUTE_PREFIX, strlen(ROUTE_PREFIX)))
		configcheck_add(report, CHECK_REMOVED_ROUTE, old->place,
				"jobs accepted here run on with the values "
				"stored with them, but callers who ask for or "
				"cancel them get 404");
}

void configcheck_changes(struct check_config *config,
			 struct check_config *current,
			 struct check_report *report)
{
	size_t i = 0, k = 0;

	if (config->version <= current->version)
		configcheck_add(report, CHECK_OLD_VERSION, "version",
				"%" PRId64 " is not above %" PRId64
				", which is in force, so it is not applied",
				config->version, current->version);
	sort_entries(config);
	sort_entries(current);
	while (i < config->entry_count || k < current->entry_count) {
		struct check_entry *new = &config->entries[i];
		struct check_entry *old = &current->entries[k];
		int order = 0;

		if (i == config->entry_count)
			order = 1;
		else if (k == current->entry_count)
			order = -1;
		else
			order = strcmp(new->place, old->place);
		i += order <= 0;
		k += order >= 0;
		if (order < 0) {
			add_change(report, new->place, NULL, new);
		} else if (order > 0) {
			add_change(report, old->place, old, NULL);
			note_removed(report, old);
		} else if (strcmp(old->text, new->text) != 0) {
			add_change(report, new->place, old, new);
		}
	}
}
