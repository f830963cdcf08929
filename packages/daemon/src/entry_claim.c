#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "entry_impl.h"
#include "errors.h"
#include "log.h"
#include "mem.h"
#include "sysclock.h"

#define KEY_PREFIX "idem/"
#define STORED_BODY_MAX_BYTES (64 * 1024)
/*
 * Records are kept for at least a day: those of one hour share a lease, which
 * lasts an hour longer.
 */
#define LEASE_S (25 * 3600)
#define LEASE_SHARED_MS (3600 * 1000)

struct claims {
	struct entry *entry;
	struct list operations;
	int64_t lease_id;
	struct mstime lease_granted_at;
	int grant_pending;
};

struct claim_operation {
	struct list node; /* claims->operations */
	struct claims *claims;
	struct request *request; /* NULL after its end */
	struct claim claim;
	char key[sizeof(KEY_PREFIX) + 2 * 32 + 1];
	char *caller;
	int waits_for_lease;
	struct loop_timer *timer;
	/* Reply that is sent after the record is deleted. */
	int status;
	const char *text;
	/* Response to be stored with the outcome. */
	json_t *headers;
	unsigned char *body;
	size_t body_len;
	int has_body;
	/* Record that was read last; valid while its effect is performed. */
	json_t *record;
};

static void perform_effect(struct claim_operation *operation,
			   enum claim_effect effect);

static char *hash_key(const struct request *request, const char *key)
{
	const char *caller =
		exchange_header(request->exchange, "Catkinhill-Caller");
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	char *text;

	/*
	 * A caller without a name is not told apart by its address, because
	 * a retry may come from another address.
	 */
	g_checksum_update(sum, (const guchar *)request->service,
			  (gssize)strlen(request->service) + 1);
	g_checksum_update(sum, (const guchar *)(caller ? caller : ""),
			  (gssize)strlen(caller ? caller : "") + 1);
	g_checksum_update(sum, (const guchar *)key, (gssize)strlen(key));
	text = xstrdup(g_checksum_get_string(sum));
	g_checksum_free(sum);
	return text;
}

static void fingerprint_of(const struct request *request, char *text,
			   size_t size)
{
	const struct exchange *exchange = request->exchange;
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);

	g_checksum_update(sum, (const guchar *)exchange->method,
			  (gssize)strlen(exchange->method) + 1);
	g_checksum_update(sum, (const guchar *)exchange->path,
			  (gssize)strlen(exchange->path) + 1);
	if (exchange->body.len)
		g_checksum_update(sum, exchange->body.data,
				  (gssize)exchange->body.len);
	str_copy(text, g_checksum_get_string(sum), size);
	g_checksum_free(sum);
}

static json_t *record_base(const struct claim_operation *operation,
			   const char *state)
{
	return json_pack("{s:s, s:s, s:s, s:s*}", "state", state, "token",
			 operation->claim.token, "fingerprint",
			 operation->claim.fingerprint, "caller",
			 operation->caller);
}

static char *render_outcome(const struct claim_operation *operation)
{
	json_t *record = record_base(operation, "done");
	gchar *body = g_base64_encode(operation->body, operation->body_len);
	char *text;

	json_object_set_new(record, "status", json_integer(operation->status));
	json_object_set_new(record, "whole", json_boolean(operation->has_body));
	if (operation->has_body) {
		json_object_set(record, "headers", operation->headers);
		json_object_set_new(record, "body", json_string(body));
	}
	g_free(body);
	text = json_dumps(record, JSON_COMPACT);
	json_decref(record);
	return text;
}

static void parse_record(const json_t *json, int64_t revision,
			 struct claim_record *record)
{
	const char *token = json_string_value(json_object_get(json, "token"));
	const char *fingerprint =
		json_string_value(json_object_get(json, "fingerprint"));
	const char *state = json_string_value(json_object_get(json, "state"));

	memset(record, 0, sizeof(*record));
	record->revision = revision;
	str_copy(record->token, token ? token : "", sizeof(record->token));
	str_copy(record->fingerprint, fingerprint ? fingerprint : "",
		 sizeof(record->fingerprint));
	if (state && !strcmp(state, "done"))
		record->state = CLAIM_RECORD_DONE;
	record->has_body = json_is_true(json_object_get(json, "whole"));
}

static void free_run(struct claim_operation *operation)
{
	store_cancel(operation->claims->entry->daemon->store, operation);
	list_del(&operation->node);
	loop_timer_delete(operation->timer);
	json_decref(operation->headers);
	free(operation->body);
	free(operation->caller);
	free(operation);
}

static void free_if_ended(struct claim_operation *operation)
{
	if (!operation->request && operation->claim.state == CLAIM_STATE_ENDED)
		free_run(operation);
}

static void on_put(void *arg, int err, int64_t revision)
{
	struct claim_operation *operation = arg;

	/* If the lease has expired, all later claims would fail as well. */
	if (err && err != ERR_CONFLICT && err != ERR_UNAVAILABLE)
		operation->claims->lease_id = 0;
	perform_effect(operation,
		       claim_on_put(&operation->claim, err, revision));
}

static void on_get(void *arg, int err, const struct store_item *item)
{
	struct claim_operation *operation = arg;
	struct claim_record record;
	enum claim_effect effect;
	json_t *json = NULL;

	if (!err) {
		json = json_loadb((const char *)item->value, item->len, 0,
				  NULL);
		parse_record(json, item->revision, &record);
	}
	effect = claim_on_get(&operation->claim, err, err ? NULL : &record);
	operation->record = json;
	perform_effect(operation, effect);
	json_decref(json);
}

static void on_deleted(void *arg, int err, int64_t revision)
{
	struct claim_operation *operation = arg;

	perform_effect(operation, claim_on_delete(&operation->claim, err));
}

static void on_stored(void *arg, int err, int64_t revision)
{
	struct claim_operation *operation = arg;

	perform_effect(operation,
		       claim_on_store(&operation->claim, err, revision));
}

static void on_wait(void *arg)
{
	struct claim_operation *operation = arg;

	perform_effect(operation, claim_on_wait(&operation->claim));
}

static void put_claim(struct claim_operation *operation)
{
	struct claims *claims = operation->claims;
	json_t *record = record_base(operation, "claimed");
	char *text = json_dumps(record, JSON_COMPACT);

	store_put_if(claims->entry->daemon->store, operation->key, 0, text,
		     strlen(text), claims->lease_id, on_put, operation);
	free(text);
	json_decref(record);
}

static void put_outcome(struct claim_operation *operation)
{
	struct claims *claims = operation->claims;
	char *text = render_outcome(operation);

	store_put_if(claims->entry->daemon->store, operation->key,
		     operation->claim.revision, text, strlen(text),
		     claims->lease_id, on_stored, operation);
	free(text);
}

static void on_lease(void *arg, int err, int64_t lease)
{
	struct claims *claims = arg;
	struct list *pos, *tmp;

	claims->grant_pending = 0;
	if (!err) {
		claims->lease_id = lease;
		claims->lease_granted_at = sysclock_now();
	}
	list_for_each_safe (pos, tmp, &claims->operations) {
		struct claim_operation *operation =
			list_entry(pos, struct claim_operation, node);

		if (!operation->waits_for_lease)
			continue;
		operation->waits_for_lease = 0;
		if (claims->lease_id)
			put_claim(operation);
		else
			on_put(operation, ERR_UNAVAILABLE, 0);
	}
}

/* The first claim of an hour waits until a lease is granted. */
static void put_with_lease(struct claim_operation *operation)
{
	struct claims *claims = operation->claims;
	struct store *store = claims->entry->daemon->store;

	if (claims->lease_id &&
	    mstime_diff(sysclock_now(), claims->lease_granted_at) <
		    LEASE_SHARED_MS) {
		put_claim(operation);
		return;
	}
	claims->lease_id = 0;
	operation->waits_for_lease = 1;
	if (claims->grant_pending)
		return;
	claims->grant_pending = 1;
	store_lease_grant(store, LEASE_S, on_lease, claims);
}

static struct header_list stored_headers(const json_t *record)
{
	json_t *array = json_object_get(record, "headers");
	struct header_list headers = { NULL, 0 };
	size_t i, count = json_array_size(array);

	headers.items = xcalloc(count, sizeof(*headers.items));
	for (i = 0; i < count; i++) {
		json_t *pair = json_array_get(array, i);
		const char *name = json_string_value(json_array_get(pair, 0));
		const char *value = json_string_value(json_array_get(pair, 1));

		if (!name || !value)
			continue;
		headers.items[headers.count].name = name;
		headers.items[headers.count++].value = value;
	}
	return headers;
}

static void replay(struct request *request, const json_t *record)
{
	struct exchange *exchange = request->exchange;
	const char *text = json_string_value(json_object_get(record, "body"));
	struct header_list headers = stored_headers(record);
	gsize len = 0;
	guchar *body = g_base64_decode(text ? text : "", &len);

	request->status =
		(int)json_integer_value(json_object_get(record, "status"));
	explain_record_step(request->explain_record,
			    "replayed the stored outcome");
	exchange_send_head(exchange, request->status, &headers, OUTCOME_DONE,
			   request->trace);
	if (strcmp(exchange->method, "HEAD") != 0)
		exchange_send_body(exchange, body, len);
	request->exchange = NULL;
	exchange_end(exchange);
	g_free(body);
	free(headers.items);
	request_finish(request, OUTCOME_DONE, 0);
}

static void reply(struct claim_operation *operation, enum claim_effect effect)
{
	static const struct {
		int status;
		enum outcome outcome;
		const char *text;
	} replies[CLAIM_EFFECT_COUNT] = {
		[CLAIM_BUSY] = { 409, OUTCOME_UNKNOWN,
				 "a request with this key has begun" },
		[CLAIM_DONE_NO_BODY] = { 409, OUTCOME_DONE,
					 "done; the answer was not kept" },
		[CLAIM_MISMATCH] = { 422, OUTCOME_NOT_RUN,
				     "the key belongs to another request" },
		[CLAIM_UNAVAILABLE] = { 503, OUTCOME_UNKNOWN,
					"the store cannot be asked" },
	};

	request_reply_now(operation->request, replies[effect].status,
			  replies[effect].outcome, replies[effect].text);
}

/* Effects that end the claim; the operation is freed with its request. */
static void perform_end(struct claim_operation *operation,
			enum claim_effect effect)
{
	struct request *request = operation->request;

	if (!request) {
		free_if_ended(operation);
		return;
	}
	switch (effect) {
	case CLAIM_REPLAY:
		replay(request, operation->record);
		break;
	case CLAIM_NOT_RUN:
		request_reply_now(request, operation->status, OUTCOME_NOT_RUN,
				  operation->text);
		break;
	case CLAIM_BUSY:
	case CLAIM_DONE_NO_BODY:
	case CLAIM_MISMATCH:
	case CLAIM_UNAVAILABLE:
		reply(operation, effect);
		break;
	default:
		break;
	}
}

static void perform_effect(struct claim_operation *operation,
			   enum claim_effect effect)
{
	struct store *store = operation->claims->entry->daemon->store;

	if (operation->request && effect != CLAIM_NONE)
		explain_record_step(operation->request->explain_record,
				    "claim: %s", claim_effect_name(effect));
	switch (effect) {
	case CLAIM_PUT:
		put_with_lease(operation);
		break;
	case CLAIM_GET:
		store_get(store, operation->key, on_get, operation);
		break;
	case CLAIM_RUN:
		request_dispatch(operation->request);
		break;
	case CLAIM_DELETE:
		store_delete_if(store, operation->key,
				operation->claim.revision, on_deleted,
				operation);
		break;
	case CLAIM_STORE:
		put_outcome(operation);
		break;
	case CLAIM_WAIT:
		loop_timer_start(operation->timer, CLAIM_WAIT_MS);
		break;
	default:
		perform_end(operation, effect);
		break;
	}
}

void claim_operation_start(struct request *request, const char *key)
{
	struct claims *claims = request->entry->claims;
	const char *caller =
		exchange_header(request->exchange, "Catkinhill-Caller");
	char fingerprint[CLAIM_FINGERPRINT_SIZE];
	struct claim_operation *operation;
	char *hash;

	if (!request->entry->daemon->store) {
		request_reply(request, 503, OUTCOME_UNKNOWN,
			      "no store is configured");
		return;
	}
	operation = xcalloc(1, sizeof(*operation));
	hash = hash_key(request, key);
	snprintf(operation->key, sizeof(operation->key), KEY_PREFIX "%s", hash);
	free(hash);
	operation->claims = claims;
	operation->request = request;
	operation->caller = xstrdup(caller ? caller : "");
	operation->has_body = 1;
	operation->timer = loop_timer_new(request->entry->daemon->loop, on_wait,
					  operation);
	fingerprint_of(request, fingerprint, sizeof(fingerprint));
	claim_init(&operation->claim, request->trace, fingerprint);
	list_add_tail(&claims->operations, &operation->node);
	request->claim_operation = operation;
	perform_effect(operation, claim_start(&operation->claim));
}

void claim_operation_save_head(struct claim_operation *operation, int status,
			       const struct header_list *headers)
{
	size_t i;

	operation->status = status;
	operation->headers = json_array();
	for (i = 0; i < headers->count; i++) {
		json_t *pair = json_pack("[s, s]", headers->items[i].name,
					 headers->items[i].value);

		/* A header that is not UTF-8 cannot be stored in JSON. */
		if (pair)
			json_array_append_new(operation->headers, pair);
	}
}

void claim_operation_save_body(struct claim_operation *operation,
			       const void *data, size_t len)
{
	if (!operation->has_body)
		return;
	if (operation->body_len + len > STORED_BODY_MAX_BYTES) {
		operation->has_body = 0;
		operation->body_len = 0;
		return;
	}
	operation->body = xrealloc(operation->body, operation->body_len + len);
	memcpy(operation->body + operation->body_len, data, len);
	operation->body_len += len;
}

int claim_operation_end(struct claim_operation *operation, enum outcome outcome,
			int status, const char *text)
{
	if (operation->claim.state != CLAIM_STATE_RUNNING)
		return operation->claim.state == CLAIM_STATE_DELETING;
	operation->status = status;
	operation->text = text;
	perform_effect(operation, claim_on_run(&operation->claim, outcome));
	return outcome == OUTCOME_NOT_RUN;
}

void claim_operation_detach(struct claim_operation *operation)
{
	operation->request = NULL;
	if (operation->claim.state == CLAIM_STATE_RUNNING)
		claim_on_run(&operation->claim, OUTCOME_UNKNOWN);
	else
		claim_abandon(&operation->claim);
	free_if_ended(operation);
}

struct claims *claims_new(struct entry *entry)
{
	struct claims *claims = xcalloc(1, sizeof(*claims));

	claims->entry = entry;
	list_init(&claims->operations);
	return claims;
}

void claims_delete(struct claims *claims)
{
	struct list *pos, *tmp;

	if (!claims)
		return;
	list_for_each_safe (pos, tmp, &claims->operations)
		free_run(list_entry(pos, struct claim_operation, node));
	if (claims->entry->daemon->store)
		store_cancel(claims->entry->daemon->store, claims);
	free(claims);
}
