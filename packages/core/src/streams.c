#include "streams.h"

#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "mem.h"

void streams_init(struct streams *streams)
{
	list_init(&streams->all);
}

static int may_join(const struct stream *stream, const char *last_event_id)
{
	switch (stream->state) {
	case STREAM_WAITING:
		return !strcmp(stream->request_last_id, last_event_id);
	case STREAM_OPEN:
	case STREAM_MOVING:
		return !last_event_id[0] ||
		       (!stream->delivered_has_no_id &&
			!strcmp(stream->delivered_id, last_event_id));
	}
	abort();
}

struct stream *streams_find(const struct streams *streams, const char *key,
			    const char *last_event_id)
{
	struct list *pos;

	list_for_each (pos, &streams->all) {
		struct stream *stream = list_entry(pos, struct stream, node);

		if (!strcmp(stream->key, key) &&
		    may_join(stream, last_event_id))
			return stream;
	}
	return NULL;
}

struct stream *stream_new(struct streams *streams, const char *key,
			  const char *last_event_id, void *owner)
{
	struct stream *stream = xcalloc(1, sizeof(*stream));

	stream->key = xstrdup(key);
	str_copy(stream->request_last_id, last_event_id, EVENT_ID_SIZE);
	str_copy(stream->complete_id, last_event_id, EVENT_ID_SIZE);
	str_copy(stream->delivered_id, last_event_id, EVENT_ID_SIZE);
	stream->owner = owner;
	list_add_tail(&streams->all, &stream->node);
	return stream;
}

void stream_delete(struct stream *stream)
{
	list_del(&stream->node);
	free(stream->key);
	free(stream->data);
	free(stream);
}

void stream_join(struct stream *stream)
{
	stream->callers++;
}

uint32_t stream_leave(struct stream *stream)
{
	return --stream->callers;
}

void stream_open(struct stream *stream, uint64_t source)
{
	stream->state = STREAM_OPEN;
	stream->source = source;
}

static void finish_event(struct stream *stream)
{
	if (stream->event_has_id) {
		str_copy(stream->complete_id, stream->event_id, EVENT_ID_SIZE);
		stream->complete_has_no_id = 0;
	} else if (stream->event_has_data) {
		stream->complete_has_no_id = 1;
	}
	stream->event_has_id = 0;
	stream->event_has_data = 0;
}

/* RETURN VALUE: the value of the field, or NULL for another field. */
static const char *field_value(const char *line, size_t len, const char *name,
			       size_t *value_len)
{
	size_t name_len = strlen(name);

	if (len < name_len || memcmp(line, name, name_len) != 0)
		return NULL;
	if (len == name_len) {
		*value_len = 0;
		return line + len;
	}
	if (line[name_len] != ':')
		return NULL;
	name_len++;
	if (len > name_len && line[name_len] == ' ')
		name_len++;
	*value_len = len - name_len;
	return line + name_len;
}

static void parse_line(struct stream *stream, const char *line, size_t len)
{
	const char *value;
	size_t value_len;

	if (field_value(line, len, "data", &value_len))
		stream->event_has_data = 1;
	value = field_value(line, len, "id", &value_len);
	if (!value || memchr(value, '\0', value_len))
		return;
	/* An id that is too long to be stored counts as none. */
	if (value_len >= EVENT_ID_SIZE)
		return;
	memcpy(stream->event_id, value, value_len);
	stream->event_id[value_len] = '\0';
	stream->event_has_id = 1;
}

static void parse_buffer(struct stream *stream)
{
	for (; stream->scanned < stream->len; stream->scanned++) {
		const char *line =
			(const char *)stream->data + stream->line_start;
		size_t len = stream->scanned - stream->line_start;

		if (stream->data[stream->scanned] != '\n')
			continue;
		if (len && line[len - 1] == '\r')
			len--;
		stream->line_start = stream->scanned + 1;
		if (len) {
			parse_line(stream, line, len);
			continue;
		}
		finish_event(stream);
		stream->complete_len = stream->line_start;
	}
}

static void discard_delivered(struct stream *stream)
{
	size_t delivered_len = stream->delivered_len;

	if (!delivered_len)
		return;
	memmove(stream->data, stream->data + delivered_len,
		stream->len - delivered_len);
	stream->len -= delivered_len;
	stream->complete_len -= delivered_len;
	stream->scanned -= delivered_len;
	stream->line_start -= delivered_len;
	stream->delivered_len = 0;
}

static void append(struct stream *stream, const void *data, size_t len)
{
	if (stream->len + len > stream->size) {
		stream->size = (stream->len + len) * 2;
		stream->data = xrealloc(stream->data, stream->size);
	}
	if (len)
		memcpy(stream->data + stream->len, data, len);
	stream->len += len;
}

static void deliver(struct stream *stream, struct span *ready)
{
	ready->data = stream->data;
	ready->len = stream->complete_len;
	stream->delivered_len = stream->complete_len;
	str_copy(stream->delivered_id, stream->complete_id, EVENT_ID_SIZE);
	stream->delivered_has_no_id = stream->complete_has_no_id;
}

int stream_feed(struct stream *stream, uint64_t source, const void *data,
		size_t len, struct span *ready)
{
	ready->data = NULL;
	ready->len = 0;
	if (source != stream->source)
		return ERR_NOT_FOUND;
	discard_delivered(stream);
	if (stream->len + len > STREAM_BUFFER_MAX)
		return ERR_TOO_LARGE;
	append(stream, data, len);
	parse_buffer(stream);
	if (stream->state != STREAM_MOVING)
		deliver(stream, ready);
	return 0;
}

struct span stream_undelivered(const struct stream *stream)
{
	struct span undelivered = { NULL, 0 };

	if (stream->len == stream->delivered_len)
		return undelivered;
	undelivered.data = stream->data + stream->delivered_len;
	undelivered.len = stream->len - stream->delivered_len;
	return undelivered;
}

const char *stream_move_begin(struct stream *stream)
{
	if (stream->delivered_has_no_id)
		return NULL;
	stream->state = STREAM_MOVING;
	return stream->delivered_id;
}

void stream_move_done(struct stream *stream, uint64_t source)
{
	stream->state = STREAM_OPEN;
	stream->source = source;
	stream->len = 0;
	stream->delivered_len = 0;
	stream->complete_len = 0;
	stream->scanned = 0;
	stream->line_start = 0;
	stream->event_has_id = 0;
	stream->event_has_data = 0;
	str_copy(stream->complete_id, stream->delivered_id, EVENT_ID_SIZE);
	stream->complete_has_no_id = 0;
}

void stream_move_failed(struct stream *stream, struct span *ready)
{
	discard_delivered(stream);
	stream->state = STREAM_OPEN;
	deliver(stream, ready);
}
