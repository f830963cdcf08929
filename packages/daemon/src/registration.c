#include "registration.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "errors.h"
#include "log.h"
#include "mem.h"

#define WRITE_RETRY_MS 300

struct registration {
	struct kv *kv;
	struct loop_timer *retry_timer;
	char *key;
	char *value;
};

static void write_record(void *arg);

static void on_written(void *arg, const struct kv_result *result)
{
	struct registration *registration = arg;

	if (result->err)
		loop_timer_start(registration->retry_timer, WRITE_RETRY_MS);
	else
		log_event(EV_NODE_REGISTERED, "key=%s", registration->key);
}

static void write_record(void *arg)
{
	struct registration *registration = arg;
	struct kv_txn txn = { .put_count = 1 };

	txn.puts[0].key = registration->key;
	txn.puts[0].value = registration->value;
	txn.puts[0].len = strlen(registration->value);
	kv_txn(registration->kv, &txn, on_written, registration);
}

struct registration *registration_new(struct loop *loop, struct kv *kv,
				      const char *node, const char *address)
{
	struct registration *registration = xcalloc(1, sizeof(*registration));

	registration->kv = kv;
	registration->key = xstrfmt("%s%s", NODE_PREFIX, node);
	registration->value = xstrfmt("{\"address\":\"%s\"}", address);
	registration->retry_timer =
		loop_timer_new(loop, write_record, registration);
	write_record(registration);
	return registration;
}

void registration_delete(struct registration *registration)
{
	if (!registration)
		return;
	kv_cancel(registration->kv, registration);
	loop_timer_delete(registration->retry_timer);
	free(registration->key);
	free(registration->value);
	free(registration);
}

int registration_decode(const char *json, size_t len, char *address)
{
	json_t *root = json_loadb(json, len, 0, NULL);
	const char *text = json_string_value(json_object_get(root, "address"));
	int err = text ? str_copy(address, text, ID_SIZE) : ERR_MALFORMED;

	json_decref(root);
	return err;
}
