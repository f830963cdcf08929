#include "configtree.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"

static void report_problem(const struct decode_report *report,
			   enum decode_effect effect, const char *place,
			   const json_t *object, const char *key)
{
	const json_t *value = json_object_get(object, key);
	char *text, *reason;

	if (!report)
		return;
	text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
	if (text)
		reason = xstrfmt("'%s' cannot be %.80s%s", key, text,
				 strlen(text) > 80 ? "..." : "");
	else
		reason = xstrfmt("'%s' is missing or cannot be read", key);
	report->on_problem(report->arg, effect, place, reason);
	free(reason);
	free(text);
}

void decode_report_refused(const struct decode_report *report,
			   const json_t *root, const json_t *limits,
			   const char *key)
{
	int is_limit = !strcmp(key, "maxBodyBytes");
	const json_t *object = is_limit ? limits : root;
	int is_number = json_is_number(json_object_get(object, key)) &&
			strcmp(key, "routes") != 0;

	report_problem(report, is_number ? DECODE_REFUSED : DECODE_UNREADABLE,
		       is_limit ? "limits" : "the whole", object, key);
}

void decode_report_skipped(const struct decode_report *report, size_t index,
			   const json_t *route, const char *key)
{
	char *place;

	if (!report)
		return;
	place = xstrfmt("routes[%zu]", index);
	report_problem(report, DECODE_SKIPPED, place, route, key);
	free(place);
}

void decode_report_replaced(const struct decode_report *report, size_t index,
			    const json_t *route)
{
	const json_t *stretch = json_object_get(route, "stretch");
	const json_t *advice = json_object_get(route, "advice");
	char *place;

	if (!report)
		return;
	place = xstrfmt("routes[%zu]", index);
	if (stretch && !json_is_number(stretch))
		report_problem(report, DECODE_REPLACED, place, route,
			       "stretch");
	if (advice && !json_is_object(advice) && !json_is_null(advice))
		report_problem(report, DECODE_REPLACED, place, route, "advice");
	free(place);
}

void decode_report_limits(const struct decode_report *report,
			  const json_t *root)
{
	const json_t *limits = json_object_get(root, "limits");

	if (limits && !json_is_object(limits) && !json_is_null(limits))
		report_problem(report, DECODE_REPLACED, "the whole", root,
			       "limits");
}
