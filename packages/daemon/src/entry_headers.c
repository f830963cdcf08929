#include "entry_headers.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "mem.h"

int header_is_hop_by_hop(const char *name)
{
	static const char *const names[] = {
		"Connection",
		"Keep-Alive",
		"Proxy-Authenticate",
		"Proxy-Authorization",
		"TE",
		"Trailer",
		"Transfer-Encoding",
		"Upgrade",
		"Proxy-Connection",
		"Expect",
	};
	size_t i;

	for (i = 0; i < sizeof(names) / sizeof(names[0]); i++)
		if (!strcasecmp(name, names[i]))
			return 1;
	return 0;
}

int header_value_has_token(const char *text, const char *name)
{
	size_t len = strlen(name);

	while (text && *text) {
		size_t word;

		text += strspn(text, ", \t");
		word = strcspn(text, ", \t");
		if (word == len && !strncasecmp(text, name, len))
			return 1;
		text += word;
	}
	return 0;
}

const char *header_find(const struct header_list *list, const char *name)
{
	size_t i;

	for (i = 0; i < list->count; i++)
		if (!strcasecmp(list->items[i].name, name))
			return list->items[i].value;
	return NULL;
}

/* RETURN VALUE: the length, or -1 when it is missing or not a number. */
static int64_t parse_length(const char *text)
{
	char *end;
	long long value;

	if (!text || *text < '0' || *text > '9')
		return -1;
	errno = 0;
	value = strtoll(text, &end, 10);
	return errno || *end ? -1 : value;
}

static int is_forwarded(const struct http_header *header,
			const char *connection)
{
	return !header_is_hop_by_hop(header->name) &&
	       !header_value_has_token(connection, header->name) &&
	       strcasecmp(header->name, "Content-Length") != 0 &&
	       strcasecmp(header->name, "Catkinhill-Outcome") != 0 &&
	       strcasecmp(header->name, "Catkinhill-Trace") != 0;
}

void response_headers_filter(const struct header_list *from, int stream,
			     struct header_list *to, int64_t *length)
{
	const char *connection = header_find(from, "Connection");
	const char *length_text = header_find(from, "Content-Length");
	size_t i;

	*length = stream ? -1 : parse_length(length_text);
	to->count = 0;
	to->items = xcalloc(from->count + 1, sizeof(*to->items));
	for (i = 0; i < from->count; i++)
		if (is_forwarded(&from->items[i], connection))
			to->items[to->count++] = from->items[i];
	if (*length >= 0) {
		to->items[to->count].name = "Content-Length";
		to->items[to->count++].value = length_text;
	}
}

struct header_list header_list_copy(const struct header_list *from)
{
	struct header_list to;
	size_t i;

	to.count = from->count;
	to.items = xcalloc(from->count, sizeof(*to.items));
	for (i = 0; i < from->count; i++) {
		to.items[i].name = xstrdup(from->items[i].name);
		to.items[i].value = xstrdup(from->items[i].value);
	}
	return to;
}

void header_list_clear(struct header_list *list)
{
	size_t i;

	for (i = 0; i < list->count; i++) {
		free((char *)list->items[i].name);
		free((char *)list->items[i].value);
	}
	free(list->items);
}
