#include "fakeworker/fakeworker.h"

#include <stdio.h>
#include <stdlib.h>

static const char *const usage_names[USAGE_COUNT] = {
	[USAGE_SLOTS] = "slots",   [USAGE_CONNECTIONS] = "connections",
	[USAGE_CPU] = "cpu_milli", [USAGE_MEM] = "mem_mb",
	[USAGE_ACCEL] = "accel",
};

void record_stamp(struct worker *worker, json_t *record)
{
	json_object_set_new(record, "t", json_integer(worker_monotonic_ms()));
	json_object_set_new(record, "who", json_string(worker->name));
}

void record_add(struct worker *worker, json_t *record)
{
	record_stamp(worker, record);
	if (worker->history_file) {
		json_dumpf(record, worker->history_file, JSON_COMPACT);
		fputc('\n', worker->history_file);
		fflush(worker->history_file);
	}
	json_array_append_new(worker->history, record);
}

static json_t *usage_array(const int64_t *values)
{
	json_t *array = json_array();
	int i;

	for (i = 0; i < USAGE_COUNT; i++)
		json_array_append_new(array, json_integer(values[i]));
	return array;
}

/* Records only new maxima, which bounds the number of records. */
void record_usage(struct worker *worker, enum usage_kind kind, int64_t delta)
{
	worker->usage[kind] += delta;
	if (worker->usage[kind] <= worker->max_usage[kind])
		return;
	worker->max_usage[kind] = worker->usage[kind];
	record_add(worker, json_pack("{s:s, s:o, s:o}", "kind", "usage", "used",
				     usage_array(worker->usage), "limit",
				     usage_array(worker->limits)));
}

static json_t *usage_object(const int64_t *values)
{
	json_t *object = json_object();
	int i;

	for (i = 0; i < USAGE_COUNT; i++)
		json_object_set_new(object, usage_names[i],
				    json_integer(values[i]));
	return object;
}

void record_serve(struct worker *worker, struct evhttp_request *request)
{
	reply_json(request, 200,
		   json_pack("{s:o, s:o, s:I, s:I, s:I, s:O}", "max",
			     usage_object(worker->max_usage), "now",
			     usage_object(worker->usage), "published",
			     (json_int_t)worker->publish_count, "skipped",
			     (json_int_t)worker->skipped_step_count, "late",
			     (json_int_t)worker->late_grant_count, "history",
			     worker->history));
}
