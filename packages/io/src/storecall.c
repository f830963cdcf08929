#include "storecall.h"

#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "mem.h"
#include "storejson.h"

/* gRPC status code in the body of an error response of the gateway. */
#define GRPC_NOT_FOUND 5

/* The largest list is inbox/ with some thousand submissions. */
#define RESPONSE_MAX_BYTES (16 * 1024 * 1024)
#define RESPONSE_BUFFER_MIN_BYTES 4096

void response_buffer_append(struct response_buffer *response, const void *data,
			    size_t len)
{
	size_t size =
		response->size ? response->size : RESPONSE_BUFFER_MIN_BYTES;

	while (size < response->len + len + 1)
		size *= 2;
	if (size != response->size)
		response->data = xrealloc(response->data, size);
	response->size = size;
	memcpy(response->data + response->len, data, len);
	response->len += len;
	response->data[response->len] = '\0';
}

void response_buffer_clear(struct response_buffer *response)
{
	free(response->data);
	memset(response, 0, sizeof(*response));
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
		/* A watch has no end; the length of its lines is limited. */
		.max_response_bytes = timeout_ms ? RESPONSE_MAX_BYTES : 0,
	};
	struct httpc_call *call;

	store->call_count++;
	call = httpc_start(store->pool, &request, handlers, arg);
	free(body);
	return call;
}

static int error_status_outcome(int status, const json_t *response)
{
	int64_t code;

	if (status == 429)
		return ERR_UNAVAILABLE;
	if (status < 400 || status >= 500)
		return ERR_UNKNOWN;
	if (!storejson_decode_int(response, "code", &code) &&
	    code == GRPC_NOT_FOUND)
		return ERR_NOT_FOUND;
	return ERR_INVALID;
}

int store_outcome(int http_err, int status, const json_t *response)
{
	if (http_err == ERR_UNAVAILABLE)
		return ERR_UNAVAILABLE;
	if (http_err == ERR_TOO_LARGE)
		return ERR_MALFORMED;
	if (http_err)
		return ERR_UNKNOWN;
	if (status != 200)
		return error_status_outcome(status, response);
	return json_is_object(response) ? 0 : ERR_MALFORMED;
}
