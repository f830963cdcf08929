#include "storecall.h"

#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "mem.h"
#include "storejson.h"

/* gRPC codes that the gateway passes on in its error answers. */
#define GRPC_NOT_FOUND 5

/* Largest list: inbox/ with some thousand submissions. */
#define ANSWER_MAX (16 * 1024 * 1024)
#define ANSWER_MIN 4096

void response_buffer_append(struct response_buffer *answer, const void *data,
			    size_t len)
{
	size_t size = answer->size ? answer->size : ANSWER_MIN;

	while (size < answer->len + len + 1)
		size *= 2;
	if (size != answer->size)
		answer->data = xrealloc(answer->data, size);
	answer->size = size;
	memcpy(answer->data + answer->len, data, len);
	answer->len += len;
	answer->data[answer->len] = '\0';
}

void response_buffer_clear(struct response_buffer *answer)
{
	free(answer->data);
	memset(answer, 0, sizeof(*answer));
}

struct httpc_call *store_post(struct store *store, const char *path, char *body,
			      int64_t timeout_ms,
			      const struct httpc_handlers *handlers, void *arg)
{
	struct http_header items[] = {
		{ "Content-Type", "application/json" },
	};
	struct header_list headers = { items, 1 };
	struct httpc_request request = {
		.method = "POST",
		.path = path,
		.headers = &headers,
		.body = body,
		.body_len = strlen(body),
		.timeout_ms = timeout_ms,
		/* A watch lives on; each of its answers is bounded instead. */
		.max_response_bytes = timeout_ms ? ANSWER_MAX : 0,
	};
	struct httpc_call *call;

	store->call_count++;
	call = httpc_start(store->pool, &request, handlers, arg);
	free(body);
	return call;
}

static int rejection(int status, const json_t *answer)
{
	int64_t code;

	if (status == 429)
		return ERR_UNAVAILABLE;
	if (status < 400 || status >= 500)
		return ERR_UNKNOWN;
	if (!storejson_decode_int(answer, "code", &code) &&
	    code == GRPC_NOT_FOUND)
		return ERR_NOT_FOUND;
	return ERR_INVALID;
}

int store_outcome(int http_err, int status, const json_t *answer)
{
	if (http_err == ERR_UNAVAILABLE)
		return ERR_UNAVAILABLE;
	if (http_err == ERR_TOO_LARGE)
		return ERR_MALFORMED;
	if (http_err)
		return ERR_UNKNOWN;
	if (status != 200)
		return rejection(status, answer);
	return json_is_object(answer) ? 0 : ERR_MALFORMED;
}
