#include "client.h"

#include <string.h>

#include "errors.h"
#include "httpc.h"
#include "loop.h"

/* Above the 10 s in which an entry finds out whether a write took effect. */
#define CALL_TIMEOUT_MS 30000
#define RESPONSE_MAX_BYTES (64 * 1024 * 1024)

struct exchange {
	struct loop *loop;
	char *body;
	size_t len;
	FILE *body_stream;
	int err;
	int status;
};

static void on_data(void *arg, const void *data, size_t len)
{
	struct exchange *exchange = arg;

	fwrite(data, 1, len, exchange->body_stream);
}

static void on_end(void *arg, int err, int status)
{
	struct exchange *exchange = arg;

	exchange->err = err;
	exchange->status = status;
	loop_break(exchange->loop);
}

static void send_request(struct exchange *exchange, const char *entry,
			 const struct httpc_request *request)
{
	static const struct httpc_handlers handlers = { .on_data = on_data,
							.on_end = on_end };
	struct httpc_pool *pool = httpc_pool_new(exchange->loop, entry, 0);

	if (pool && httpc_start(pool, request, &handlers, exchange))
		loop_run(exchange->loop);
	if (pool)
		httpc_pool_delete(pool);
}

static int call_entry(const char *entry, const struct httpc_request *request,
		      struct client_response *response)
{
	struct exchange exchange = { .loop = loop_new(),
				     .err = ERR_UNAVAILABLE };

	exchange.body_stream = open_memstream(&exchange.body, &exchange.len);
	if (exchange.body_stream) {
		send_request(&exchange, entry, request);
		fclose(exchange.body_stream);
	}
	loop_delete(exchange.loop);
	response->entry = entry;
	response->status = exchange.status;
	if (!exchange.err)
		response->body =
			json_loadb(exchange.body, exchange.len, 0, NULL);
	free(exchange.body);
	return exchange.err;
}

int client_call(char **entries, const char *method, const char *path,
		const char *body, struct client_response *response)
{
	struct httpc_request request = { .method = method,
					 .path = path,
					 .body = body,
					 .body_len = body ? strlen(body) : 0,
					 .timeout_ms = CALL_TIMEOUT_MS,
					 .max_response_bytes =
						 RESPONSE_MAX_BYTES };
	int err = ERR_UNAVAILABLE;

	memset(response, 0, sizeof(*response));
	for (; *entries && err == ERR_UNAVAILABLE; entries++)
		err = call_entry(*entries, &request, response);
	return err;
}

void client_clear(struct client_response *response)
{
	json_decref(response->body);
	response->body = NULL;
}
