#include "storeread.h"

#include "errors.h"
#include "kv.h"
#include "loop.h"
#include "mem.h"
#include "platformjson.h"

/* A response takes milliseconds; the store is retried by whoever asks. */
#define TIMEOUT_MS 5000

struct read_call {
	struct loop *loop;
	char *text;
	size_t len;
	const char *reason;
};

static void on_read(void *arg, const struct kv_result *result)
{
	struct read_call *call = arg;

	loop_break(call->loop);
	if (result->err == ERR_NOT_FOUND)
		call->reason = "the store has no configuration";
	else if (result->err)
		call->reason = result->err == ERR_UNAVAILABLE
				       ? "the store cannot be reached"
				       : "the store gives no usable response";
	if (result->err)
		return;
	if (!result->count || !result->items[0].value) {
		call->reason = "the store has no configuration";
		return;
	}
	call->len = result->items[0].len;
	call->text = xmemdup(result->items[0].value, call->len);
}

char *storeread_config(const char *address, size_t *len, const char **reason)
{
	struct read_call call = { .loop = loop_new() };
	struct kv *kv = kv_new(call.loop, address, TIMEOUT_MS);

	if (kv) {
		kv_get(kv, PLATFORM_CONFIG_KEY, on_read, &call);
		loop_run(call.loop);
		kv_delete(kv);
	} else {
		call.reason = "not an address such as 127.0.0.1:2379";
	}
	loop_delete(call.loop);
	*len = call.len;
	*reason = call.reason;
	return call.text;
}
