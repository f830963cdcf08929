#include "client.h"

#include <string.h>

#include "errors.h"
#include "httpc.h"
#include "loop.h"

/* Above the 10 s for which an entry settles a write without an answer. */
#define CALL_TIMEOUT_MS 30000
#define ANSWER_MAX (64 * 1024 * 1024)

struct exchange {
	struct loop *loop;
	char *data;
	size_t len;
	FILE *stream;
	int err;
	int status;
};

static void on_data(void *arg, const void *data, size_t len)
{
	struct exchange *exchange = arg;

	fwrite(data, 1, len, exchange->stream);
}

static void on_end(void *arg, int err, int status)
{
	struct exchange *exchange = arg;

	exchange->err = err;
	exchange->status = status;
	loop_break(exchange->loop);
}

static void run_call(struct exchange *exchange, const char *entry,
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
		      struct client_response *answer)
{
	struct exchange exchange = { .loop = loop_new(),
				     .err = ERR_UNAVAILABLE };

	exchange.stream = open_memstream(&exchange.data, &exchange.len);
	if (exchange.stream) {
		run_call(&exchange, entry, request);
		fclose(exchange.stream);
	}
	loop_delete(exchange.loop);
	answer->entry = entry;
	answer->status = exchange.status;
	if (!exchange.err)
		answer->body = json_loadb(exchange.data, exchange.len, 0, NULL);
	free(exchange.data);
	return exchange.err;
}

int client_call(char **entries, const char *method, const char *path,
		const char *body, struct client_response *answer)
{
	struct httpc_request request = { .method = method,
					 .path = path,
					 .body = body,
					 .body_len = body ? strlen(body) : 0,
					 .timeout_ms = CALL_TIMEOUT_MS,
					 .max_response_bytes = ANSWER_MAX };
	int err = ERR_UNAVAILABLE;

	memset(answer, 0, sizeof(*answer));
	for (; *entries && err == ERR_UNAVAILABLE; entries++)
		err = call_entry(*entries, &request, answer);
	return err;
}

void client_clear(struct client_response *answer)
{
	json_decref(answer->body);
	answer->body = NULL;
}
