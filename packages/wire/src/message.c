#include "message.h"

#include <stdlib.h>
#include <string.h>

#include <msgpack.h>

#include "errors.h"
#include "mem.h"
#include "framecheck.h"

enum field_kind {
	FIELD_U32,
	FIELD_U64,
	FIELD_ID,     /* char array, bound includes the terminator */
	FIELD_TEXT,   /* const char *, bound excludes the terminator */
	FIELD_BYTES,  /* struct span */
	FIELD_STRUCT, /* nested struct with a table of its own */
	FIELD_LIST,   /* { items, count } of a struct with a table */
};

struct field {
	enum field_kind kind;
	size_t offset;
	size_t bound;	     /* longest text or list, largest U32, or 0 */
	size_t element_size; /* FIELD_LIST */
	const struct field *fields;
	size_t field_count;
};

/* Layout that all list structs share. */
struct any_list {
	void *items;
	size_t count;
};

#define COUNT(table) (sizeof(table) / sizeof((table)[0]))
#define U32(type, name)                                                        \
	{                                                                      \
		FIELD_U32, offsetof(type, name), UINT32_MAX                    \
	}
#define ENUM(type, name, count)                                                \
	{                                                                      \
		FIELD_U32, offsetof(type, name), (count)-1                     \
	}
#define U64(type, name)                                                        \
	{                                                                      \
		FIELD_U64, offsetof(type, name)                                \
	}
#define ID(type, name)                                                         \
	{                                                                      \
		FIELD_ID, offsetof(type, name), sizeof(((type *)0)->name)      \
	}
#define TEXT(type, name, max)                                                  \
	{                                                                      \
		FIELD_TEXT, offsetof(type, name), (max)                        \
	}
#define BYTES(type, name, max)                                                 \
	{                                                                      \
		FIELD_BYTES, offsetof(type, name), (max)                       \
	}
#define NESTED(type, name, table)                                              \
	{                                                                      \
		FIELD_STRUCT, offsetof(type, name), 0, 0, table, COUNT(table)  \
	}
#define LIST(type, name, max, element, table)                                  \
	{                                                                      \
		FIELD_LIST, offsetof(type, name), (max), sizeof(element),      \
			table, COUNT(table)                                    \
	}

#define METHOD_MAX 16
#define PATH_MAX_BYTES (8 * 1024)
#define HEADER_NAME_MAX 256
#define HEADER_VALUE_MAX (8 * 1024)
#define CONFIG_MAX (96 * 1024)
#define CHECKPOINT_MAX 256
#define COMMAND_MAX (4 * 1024)
#define DETAIL_MAX 256
#define STATUS_MAX 1000
#define PAYLOAD_MAX 4000
#define LABEL_MAX 64

static const struct field resources_fields[] = {
	U32(struct resources, cpu_milli),
	U32(struct resources, mem_mb),
	U32(struct resources, accel),
};

static const struct field load_fields[] = {
	U32(struct load, in_flight),
	U32(struct load, queued),
	U32(struct load, connections),
	U32(struct load, latency_ms),
	NESTED(struct load, used, resources_fields),
};

static const struct field header_fields[] = {
	TEXT(struct http_header, name, HEADER_NAME_MAX),
	TEXT(struct http_header, value, HEADER_VALUE_MAX),
};

static const struct field entry_fields[] = {
	ID(struct entry_address, id),
	ID(struct entry_address, address),
};

static const struct field task_fields[] = {
	ID(struct task_status, job),
	U64(struct task_status, run),
	ENUM(struct task_status, state, TASK_STATE_COUNT),
	NESTED(struct task_status, used, resources_fields),
	TEXT(struct task_status, checkpoint, CHECKPOINT_MAX),
	TEXT(struct task_status, detail, DETAIL_MAX),
};

static const struct field announce_fields[] = {
	ID(struct msg_announce, agent),
	U64(struct msg_announce, incarnation),
	U64(struct msg_announce, seq),
	ID(struct msg_announce, service),
	ID(struct msg_announce, region),
	ID(struct msg_announce, domain),
	ID(struct msg_announce, rack),
	U32(struct msg_announce, slots),
	U32(struct msg_announce, connections),
	NESTED(struct msg_announce, capacity, resources_fields),
	ENUM(struct msg_announce, state, AGENT_LEAVING + 1),
	NESTED(struct msg_announce, load, load_fields),
	U64(struct msg_announce, config_version),
	U64(struct msg_announce, directory_hash),
	NESTED(struct msg_announce, evictable, resources_fields),
};

static const struct field announce_ack_fields[] = {
	ID(struct msg_announce_ack, entry),
	U64(struct msg_announce_ack, incarnation),
	U64(struct msg_announce_ack, seq),
	U64(struct msg_announce_ack, config_version),
	U64(struct msg_announce_ack, directory_hash),
	LIST(struct msg_announce_ack, entries, ENTRIES_MAX,
	     struct entry_address, entry_fields),
};

static const struct field config_fields[] = {
	U64(struct msg_config, version),
	TEXT(struct msg_config, json, CONFIG_MAX),
};

static const struct field request_fields[] = {
	U64(struct msg_request, request_id),
	ID(struct msg_request, trace_id),
	U32(struct msg_request, attempt),
	U32(struct msg_request, remaining_ms),
	TEXT(struct msg_request, method, METHOD_MAX),
	TEXT(struct msg_request, path, PATH_MAX_BYTES),
	LIST(struct msg_request, headers, HEADERS_MAX, struct http_header,
	     header_fields),
	U64(struct msg_request, body_length),
};

static const struct field request_body_fields[] = {
	U64(struct msg_request_body, request_id),
	U64(struct msg_request_body, offset),
	BYTES(struct msg_request_body, data, BODY_CHUNK_MAX_BYTES),
	ENUM(struct msg_request_body, is_last, 2),
};

static const struct field cancel_fields[] = {
	U64(struct msg_cancel, request_id),
};

static const struct field refused_fields[] = {
	U64(struct msg_refused, request_id),
	ENUM(struct msg_refused, reason, REFUSAL_COUNT),
	NESTED(struct msg_refused, load, load_fields),
};

static const struct field response_fields[] = {
	U64(struct msg_response, request_id),
	ENUM(struct msg_response, status, STATUS_MAX),
	ENUM(struct msg_response, is_stream, 2),
	LIST(struct msg_response, headers, HEADERS_MAX, struct http_header,
	     header_fields),
};

static const struct field response_body_fields[] = {
	U64(struct msg_response_body, request_id),
	U64(struct msg_response_body, offset),
	BYTES(struct msg_response_body, data, BODY_CHUNK_MAX_BYTES),
};

static const struct field response_end_fields[] = {
	U64(struct msg_response_end, request_id),
	ENUM(struct msg_response_end, outcome, OUTCOME_UNKNOWN + 1),
	ENUM(struct msg_response_end, upstream_leaving, 2),
	U64(struct msg_response_end, body_length),
	NESTED(struct msg_response_end, load, load_fields),
};

static const struct field credit_fields[] = {
	U64(struct msg_credit, request_id),
	U32(struct msg_credit, bytes),
};

static const struct field task_start_fields[] = {
	U32(struct msg_task_start, partition),
	U64(struct msg_task_start, epoch),
	ID(struct msg_task_start, job),
	U64(struct msg_task_start, run),
	NESTED(struct msg_task_start, reserved, resources_fields),
	TEXT(struct msg_task_start, checkpoint, CHECKPOINT_MAX),
	TEXT(struct msg_task_start, command, COMMAND_MAX),
	ENUM(struct msg_task_start, urgent, 2),
	U32(struct msg_task_start, eviction_pause_ms),
};

static const struct field task_stop_fields[] = {
	U32(struct msg_task_stop, partition),
	U64(struct msg_task_stop, epoch),
	ID(struct msg_task_stop, job),
	U64(struct msg_task_stop, run),
	ENUM(struct msg_task_stop, mode, STOP_CANCEL + 1),
};

static const struct field task_throttle_fields[] = {
	U32(struct msg_task_throttle, partition),
	U64(struct msg_task_throttle, epoch),
	ID(struct msg_task_throttle, job),
	U64(struct msg_task_throttle, run),
	ENUM(struct msg_task_throttle, percent, 101),
};

static const struct field task_report_fields[] = {
	U64(struct msg_task_report, seq),
	U32(struct msg_task_report, partition),
	U64(struct msg_task_report, epoch),
	ID(struct msg_task_report, agent),
	LIST(struct msg_task_report, tasks, TASKS_MAX, struct task_status,
	     task_fields),
};

static const struct field task_report_ack_fields[] = {
	U64(struct msg_task_report_ack, seq),
	U32(struct msg_task_report_ack, partition),
	U64(struct msg_task_report_ack, epoch),
	ENUM(struct msg_task_report_ack, ends_recorded, 2),
};

static const struct field owner_fields[] = {
	U32(struct msg_owner, partition),
	U64(struct msg_owner, epoch),
	ID(struct msg_owner, entry),
};

static const struct field task_id_fields[] = {
	ID(struct task_id, job),
	U32(struct task_id, occurrence),
	U32(struct task_id, step),
	U32(struct task_id, index),
};

static const struct field text_item_fields[] = {
	TEXT(struct text_item, text, LABEL_MAX),
};

static const struct field run_status_fields[] = {
	NESTED(struct run_status, task, task_id_fields),
	U32(struct run_status, run),
	ENUM(struct run_status, phase, RUN_PHASE_COUNT),
	U32(struct run_status, progress_percent),
	U32(struct run_status, latency_or_cpu),
	TEXT(struct run_status, checkpoint, RUN_CHECKPOINT_MAX),
	TEXT(struct run_status, detail, DETAIL_MAX),
};

static const struct field ended_run_fields[] = {
	U64(struct ended_run, number),
	NESTED(struct ended_run, task, task_id_fields),
	U32(struct ended_run, run),
	ENUM(struct ended_run, how, RUN_END_COUNT),
	TEXT(struct ended_run, checkpoint, RUN_CHECKPOINT_MAX),
};

static const struct field run_order_fields[] = {
	NESTED(struct run_order, task, task_id_fields),
	U32(struct run_order, run),
	TEXT(struct run_order, payload, PAYLOAD_MAX),
	TEXT(struct run_order, checkpoint, RUN_CHECKPOINT_MAX),
	ENUM(struct run_order, best_effort, 2),
	U32(struct run_order, latency_target_ms),
};

static const struct field run_id_fields[] = {
	NESTED(struct run_id, task, task_id_fields),
	U32(struct run_id, run),
};

static const struct field run_pace_fields[] = {
	NESTED(struct run_pace, task, task_id_fields),
	U32(struct run_pace, run),
	ENUM(struct run_pace, percent, 101),
};

static const struct field work_hello_fields[] = {
	U64(struct msg_work_hello, epoch),
	ID(struct msg_work_hello, scheduler),
};

static const struct field work_report_fields[] = {
	U64(struct msg_work_report, epoch),
	U64(struct msg_work_report, seq),
	U64(struct msg_work_report, session),
	ID(struct msg_work_report, worker),
	U64(struct msg_work_report, worker_start_ms),
	U64(struct msg_work_report, fence),
	ENUM(struct msg_work_report, state, WORKER_STATE_COUNT),
	U32(struct msg_work_report, remaining_ms),
	U32(struct msg_work_report, list_age_ms),
	U32(struct msg_work_report, lease_left_ms),
	ID(struct msg_work_report, service),
	ID(struct msg_work_report, domain),
	NESTED(struct msg_work_report, capacity, resources_fields),
	LIST(struct msg_work_report, labels, LABELS_MAX, struct text_item,
	     text_item_fields),
	LIST(struct msg_work_report, runs, RUNS_MAX, struct run_status,
	     run_status_fields),
	LIST(struct msg_work_report, ends, RUNS_MAX, struct ended_run,
	     ended_run_fields),
};

static const struct field work_orders_fields[] = {
	U64(struct msg_work_orders, epoch),
	U64(struct msg_work_orders, report_seq),
	U64(struct msg_work_orders, fence),
	ID(struct msg_work_orders, worker),
	U64(struct msg_work_orders, worker_start_ms),
	U32(struct msg_work_orders, lease_ms),
	U64(struct msg_work_orders, stored_end_number),
	LIST(struct msg_work_orders, starts, ORDER_STARTS_MAX, struct run_order,
	     run_order_fields),
	LIST(struct msg_work_orders, stops, RUNS_MAX, struct run_id,
	     run_id_fields),
	LIST(struct msg_work_orders, paces, RUNS_MAX, struct run_pace,
	     run_pace_fields),
};

#define ROW(type, name) [type] = { #name, name##_fields, COUNT(name##_fields) }

static const struct {
	const char *name;
	const struct field *fields;
	size_t count;
} types[MSG_TYPE_COUNT] = {
	ROW(MSG_ANNOUNCE, announce),
	ROW(MSG_ANNOUNCE_ACK, announce_ack),
	ROW(MSG_CONFIG, config),
	ROW(MSG_REQUEST, request),
	ROW(MSG_REQUEST_BODY, request_body),
	ROW(MSG_CANCEL, cancel),
	ROW(MSG_REFUSED, refused),
	ROW(MSG_RESPONSE, response),
	ROW(MSG_RESPONSE_BODY, response_body),
	ROW(MSG_RESPONSE_END, response_end),
	ROW(MSG_CREDIT, credit),
	ROW(MSG_TASK_START, task_start),
	ROW(MSG_TASK_STOP, task_stop),
	ROW(MSG_TASK_THROTTLE, task_throttle),
	ROW(MSG_TASK_REPORT, task_report),
	ROW(MSG_TASK_REPORT_ACK, task_report_ack),
	ROW(MSG_OWNER, owner),
	ROW(MSG_WORK_HELLO, work_hello),
	ROW(MSG_WORK_REPORT, work_report),
	ROW(MSG_WORK_ORDERS, work_orders),
};

static int is_known_type(uint64_t type)
{
	return type > 0 && type < MSG_TYPE_COUNT;
}

const char *message_type_name(enum message_type type)
{
	return is_known_type(type) ? types[type].name : "unknown";
}

static int pack_fields(msgpack_packer *pk, const char *base,
		       const struct field *fields, size_t count);

static int pack_text(msgpack_packer *pk, const char *text, size_t bound)
{
	size_t len = text ? strlen(text) : 0;

	if (len > bound)
		return ERR_TOO_LARGE;
	msgpack_pack_str(pk, len);
	msgpack_pack_str_body(pk, text ? text : "", len);
	return 0;
}

static int pack_bytes(msgpack_packer *pk, const struct span *span, size_t bound)
{
	if (span->len > bound)
		return ERR_TOO_LARGE;
	msgpack_pack_bin(pk, span->len);
	msgpack_pack_bin_body(pk, span->data ? (const void *)span->data : "",
			      span->len);
	return 0;
}

static int pack_list(msgpack_packer *pk, const struct any_list *list,
		     const struct field *field)
{
	const char *item = list->items;
	size_t i;

	if (list->count > field->bound)
		return ERR_TOO_LARGE;
	msgpack_pack_array(pk, list->count);
	for (i = 0; i < list->count; i++, item += field->element_size) {
		int err = pack_fields(pk, item, field->fields,
				      field->field_count);

		if (err)
			return err;
	}
	return 0;
}

static int pack_u32(msgpack_packer *pk, uint32_t value, size_t bound)
{
	if (value > bound)
		return ERR_INVALID;
	msgpack_pack_uint32(pk, value);
	return 0;
}

static int pack_field(msgpack_packer *pk, const void *value,
		      const struct field *field)
{
	switch (field->kind) {
	case FIELD_U32:
		return pack_u32(pk, *(const uint32_t *)value, field->bound);
	case FIELD_U64:
		msgpack_pack_uint64(pk, *(const uint64_t *)value);
		return 0;
	case FIELD_ID:
		return pack_text(pk, value, field->bound - 1);
	case FIELD_TEXT:
		return pack_text(pk, *(const char *const *)value, field->bound);
	case FIELD_BYTES:
		return pack_bytes(pk, value, field->bound);
	case FIELD_STRUCT:
		return pack_fields(pk, value, field->fields,
				   field->field_count);
	case FIELD_LIST:
		return pack_list(pk, value, field);
	}
	abort();
}

static int pack_fields(msgpack_packer *pk, const char *base,
		       const struct field *fields, size_t count)
{
	size_t i;

	msgpack_pack_array(pk, count);
	for (i = 0; i < count; i++) {
		int err = pack_field(pk, base + fields[i].offset, &fields[i]);

		if (err)
			return err;
	}
	return 0;
}

int message_encode(const struct message *msg, unsigned char **data, size_t *len)
{
	msgpack_sbuffer buffer;
	msgpack_packer pk;
	int err;

	if (!is_known_type(msg->type))
		return ERR_INVALID;
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&pk, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 3);
	msgpack_pack_uint32(&pk, MESSAGE_VERSION);
	msgpack_pack_uint32(&pk, msg->type);
	err = pack_fields(&pk, (const char *)&msg->u, types[msg->type].fields,
			  types[msg->type].count);
	if (!err && buffer.size > FRAME_MAX_BYTES)
		err = ERR_TOO_LARGE;
	if (err) {
		msgpack_sbuffer_destroy(&buffer);
		return err;
	}
	*len = buffer.size;
	*data = (unsigned char *)msgpack_sbuffer_release(&buffer);
	return 0;
}

static int unpack_fields(msgpack_zone *zone, const msgpack_object *object,
			 char *base, const struct field *fields, size_t count);

static void *zone_alloc(msgpack_zone *zone, size_t size)
{
	void *ptr = msgpack_zone_malloc(zone, size ? size : 1);

	if (!ptr)
		abort();
	return ptr;
}

static int unpack_uint(const msgpack_object *object, uint64_t max,
		       uint64_t *value)
{
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return ERR_MALFORMED;
	if (object->via.u64 > max)
		return ERR_MALFORMED;
	*value = object->via.u64;
	return 0;
}

/* msgpack-c gives NULL for a string or binary value of length 0. */
static void copy_bytes(void *to, const void *from, size_t len)
{
	if (len)
		memcpy(to, from, len);
}

static int check_text(const msgpack_object *object, size_t bound)
{
	if (object->type != MSGPACK_OBJECT_STR)
		return ERR_MALFORMED;
	if (object->via.str.size > bound)
		return ERR_TOO_LARGE;
	if (object->via.str.size &&
	    memchr(object->via.str.ptr, '\0', object->via.str.size))
		return ERR_MALFORMED;
	return 0;
}

static int unpack_id(const msgpack_object *object, char *value, size_t size)
{
	int err = check_text(object, size - 1);

	if (err)
		return err;
	copy_bytes(value, object->via.str.ptr, object->via.str.size);
	value[object->via.str.size] = '\0';
	return 0;
}

static int unpack_text(msgpack_zone *zone, const msgpack_object *object,
		       const char **value, size_t bound)
{
	int err = check_text(object, bound);
	char *copy;

	if (err)
		return err;
	copy = zone_alloc(zone, object->via.str.size + 1);
	copy_bytes(copy, object->via.str.ptr, object->via.str.size);
	copy[object->via.str.size] = '\0';
	*value = copy;
	return 0;
}

static int unpack_bytes(msgpack_zone *zone, const msgpack_object *object,
			struct span *span, size_t bound)
{
	unsigned char *copy;

	if (object->type != MSGPACK_OBJECT_BIN)
		return ERR_MALFORMED;
	if (object->via.bin.size > bound)
		return ERR_TOO_LARGE;
	copy = zone_alloc(zone, object->via.bin.size);
	copy_bytes(copy, object->via.bin.ptr, object->via.bin.size);
	span->data = copy;
	span->len = object->via.bin.size;
	return 0;
}

static int unpack_list(msgpack_zone *zone, const msgpack_object *object,
		       struct any_list *list, const struct field *field)
{
	size_t i, size = field->element_size;

	if (object->type != MSGPACK_OBJECT_ARRAY)
		return ERR_MALFORMED;
	if (object->via.array.size > field->bound)
		return ERR_TOO_LARGE;
	list->count = object->via.array.size;
	list->items = zone_alloc(zone, list->count * size);
	for (i = 0; i < list->count; i++) {
		int err = unpack_fields(zone, &object->via.array.ptr[i],
					(char *)list->items + i * size,
					field->fields, field->field_count);

		if (err)
			return err;
	}
	return 0;
}

static int unpack_u32(const msgpack_object *object, uint32_t *value, size_t max)
{
	uint64_t wide;
	int err = unpack_uint(object, max, &wide);

	if (err)
		return err;
	*value = (uint32_t)wide;
	return 0;
}

static int unpack_field(msgpack_zone *zone, const msgpack_object *object,
			void *value, const struct field *field)
{
	switch (field->kind) {
	case FIELD_U32:
		return unpack_u32(object, value, field->bound);
	case FIELD_U64:
		return unpack_uint(object, UINT64_MAX, value);
	case FIELD_ID:
		return unpack_id(object, value, field->bound);
	case FIELD_TEXT:
		return unpack_text(zone, object, value, field->bound);
	case FIELD_BYTES:
		return unpack_bytes(zone, object, value, field->bound);
	case FIELD_STRUCT:
		return unpack_fields(zone, object, value, field->fields,
				     field->field_count);
	case FIELD_LIST:
		return unpack_list(zone, object, value, field);
	}
	abort();
}

static int unpack_fields(msgpack_zone *zone, const msgpack_object *object,
			 char *base, const struct field *fields, size_t count)
{
	size_t i;

	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size != count)
		return ERR_MALFORMED;
	for (i = 0; i < count; i++) {
		int err = unpack_field(zone, &object->via.array.ptr[i],
				       base + fields[i].offset, &fields[i]);

		if (err)
			return err;
	}
	return 0;
}

static int unpack_message(struct message *msg, msgpack_zone *zone,
			  const msgpack_object *object)
{
	const msgpack_object *items;
	uint64_t version, type;

	if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size != 3)
		return ERR_MALFORMED;
	items = object->via.array.ptr;
	if (unpack_uint(&items[0], UINT32_MAX, &version) ||
	    unpack_uint(&items[1], UINT32_MAX, &type) ||
	    version != MESSAGE_VERSION)
		return ERR_MALFORMED;
	if (!is_known_type(type))
		return ERR_INVALID;
	msg->type = (enum message_type)type;
	return unpack_fields(zone, &items[2], (char *)&msg->u,
			     types[type].fields, types[type].count);
}

int message_decode(struct message *msg, const unsigned char *data, size_t len)
{
	msgpack_unpacked result;
	size_t used = 0;
	int err = ERR_MALFORMED;

	memset(msg, 0, sizeof(*msg));
	if (len > FRAME_MAX_BYTES)
		return ERR_TOO_LARGE;
	if (framecheck_structure(data, len))
		return ERR_MALFORMED;
	msgpack_unpacked_init(&result);
	if (msgpack_unpack_next(&result, (const char *)data, len, &used) ==
		    MSGPACK_UNPACK_SUCCESS &&
	    used == len) {
		if (!result.zone)
			result.zone = msgpack_zone_new(MSGPACK_ZONE_CHUNK_SIZE);
		err = unpack_message(msg, result.zone, &result.data);
	}
	if (err) {
		msgpack_unpacked_destroy(&result);
		memset(msg, 0, sizeof(*msg));
		return err;
	}
	msg->storage = msgpack_unpacked_release_zone(&result);
	return 0;
}

void message_clear(struct message *msg)
{
	if (msg->storage)
		msgpack_zone_free(msg->storage);
	msg->storage = NULL;
}
