#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "errors.h"
#include "outlook.h"

/* Numbers of a service before those of its priorities. */
enum {
	FIELD_CAPACITY,
	FIELD_FREE,
	FIELD_SPARE,
	FIELD_RATE,
	FIELD_WAITING
};

static json_t *encode_service(const struct outlook_service *service)
{
	json_t *row = json_array();
	size_t i, k;

	json_array_append_new(row, json_integer(service->capacity_milli));
	json_array_append_new(row, json_integer(service->free_milli));
	json_array_append_new(row, json_integer(service->spare_milli));
	json_array_append_new(row, json_integer(service->rate_milli));
	for (i = 0; i < OUTLOOK_PRIORITIES_MAX; i++) {
		const struct outlook_waiting *waiting = &service->waiting[i];

		for (k = 0; k < OUTLOOK_DUE_CLASSES; k++)
			json_array_append_new(row,
					      json_integer(waiting->due[k]));
		json_array_append_new(row, json_integer(waiting->late));
	}
	return row;
}

char *outlook_encode(const struct outlook *outlook)
{
	json_t *root = json_object();
	char *text;
	size_t i;

	for (i = 0; i < outlook->count; i++)
		json_object_set_new(root, outlook->services[i].name,
				    encode_service(&outlook->services[i]));
	text = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(root);
	return text;
}

/* Larger numbers could overflow when they are added. */
#define NUMBER_MAX (INT64_MAX / 1024)

static int is_valid_row(const json_t *row)
{
	size_t i, count = FIELD_WAITING +
			  OUTLOOK_PRIORITIES_MAX * (OUTLOOK_DUE_CLASSES + 1);

	if (json_array_size(row) != count)
		return 0;
	for (i = 0; i < count; i++) {
		const json_t *number = json_array_get(row, i);

		if (!json_is_integer(number) ||
		    json_integer_value(number) < 0 ||
		    json_integer_value(number) > NUMBER_MAX)
			return 0;
	}
	return 1;
}

static int64_t number_at(const json_t *row, size_t i)
{
	return json_integer_value(json_array_get(row, i));
}

static void decode_service(const json_t *row, struct outlook_service *service)
{
	size_t i, k, next = FIELD_WAITING;

	service->capacity_milli = number_at(row, FIELD_CAPACITY);
	service->free_milli = number_at(row, FIELD_FREE);
	service->spare_milli = number_at(row, FIELD_SPARE);
	service->rate_milli = number_at(row, FIELD_RATE);
	for (i = 0; i < OUTLOOK_PRIORITIES_MAX; i++) {
		struct outlook_waiting *waiting = &service->waiting[i];

		for (k = 0; k < OUTLOOK_DUE_CLASSES; k++)
			waiting->due[k] = number_at(row, next++);
		waiting->late = number_at(row, next++);
	}
}

int outlook_decode(const char *json, size_t len, struct outlook *outlook)
{
	json_t *root = json_loadb(json, len, 0, NULL);
	const char *name;
	json_t *row;
	int err = json_is_object(root) ? 0 : ERR_MALFORMED;

	memset(outlook, 0, sizeof(*outlook));
	if (!err)
		json_object_foreach(root, name, row)
		{
			struct outlook_service *service =
				is_valid_row(row) ? outlook_get(outlook, name)
						  : NULL;

			if (service)
				decode_service(row, service);
			else
				err = ERR_MALFORMED;
		}
	if (err)
		memset(outlook, 0, sizeof(*outlook));
	json_decref(root);
	return err;
}
