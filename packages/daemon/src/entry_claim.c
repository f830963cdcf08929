#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "entry_impl.h"
#include "errors.h"
#include "log.h"
#include "mem.h"
#include "sysclock.h"

#define PREFIX "idem/"
#define STORED_BODY_MAX (64 * 1024)
/* Records live for a day; the lease is shared by those of one hour. */
#define LEASE_S (25 * 3600)
#define LEASE_SHARED_MS (3600 * 1000)

struct claims {
	struct entry *entry;
	struct list runs;
	int64_t lease;
	struct mstime lease_at;
	int granting;
};

struct claim_operation {
	struct list node; /* claims->runs */
	struct claims *claims;
	struct request *request; /* NULL after it has ended */
	struct claim claim;
	char key[sizeof(PREFIX) + 2 * 32 + 1];
	char *caller;
	int waits_for_lease;
	struct loop_timer *timer;
	/* Answer that waits until the record is deleted. */
	int status;
	const char *text;
	/* Outcome to be stored. */
	json_t *headers;
	unsigned char *body;
	size_t body_len;
	int whole;
	/* Record that was read last; valid while its effect is performed. */
	json_t *record;
};

static void perform(struct claim_operation *run, enum claim_effect effect);

static char *hash_key(const struct request *request, const char *key)
{
	const char *caller =
		exchange_header(request->exchange, "Catkinhill-Caller");
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	char *text;

	/*
	 * The address of a caller without a name is left out, because a
	 * retry may come from another one.
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

static json_t *record_base(const struct claim_operation *run, const char *state)
{
	return json_pack("{s:s, s:s, s:s, s:s*}", "state", state, "token",
			 run->claim.token, "fingerprint",
			 run->claim.fingerprint, "caller", run->caller);
}

static char *render_outcome(const struct claim_operation *run)
{
	json_t *record = record_base(run, "done");
	gchar *body = g_base64_encode(run->body, run->body_len);
	char *text;

	json_object_set_new(record, "status", json_integer(run->status));
	json_object_set_new(record, "whole", json_boolean(run->whole));
	if (run->whole) {
		json_object_set(record, "headers", run->headers);
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

static void free_run(struct claim_operation *run)
{
	store_forget(run->claims->entry->daemon->store, run);
	list_del(&run->node);
	loop_timer_delete(run->timer);
	json_decref(run->headers);
	free(run->body);
	free(run->caller);
	free(run);
}

static void free_if_ended(struct claim_operation *run)
{
	if (!run->request && run->claim.state == CLAIM_STATE_ENDED)
		free_run(run);
}

static void on_put(void *arg, int err, int64_t revision)
{
	struct claim_operation *run = arg;

	/* A lease that is gone would fail all later claims as well. */
	if (err && err != ERR_CONFLICT && err != ERR_UNAVAILABLE)
		run->claims->lease = 0;
	perform(run, claim_on_put(&run->claim, err, revision));
}

static void on_get(void *arg, int err, const struct store_item *item)
{
	struct claim_operation *run = arg;
	struct claim_record record;
	enum claim_effect effect;
	json_t *json = NULL;

	if (!err) {
		json = json_loadb((const char *)item->value, item->len, 0,
				  NULL);
		parse_record(json, item->revision, &record);
	}
	effect = claim_on_get(&run->claim, err, err ? NULL : &record);
	run->record = json;
	perform(run, effect);
	json_decref(json);
}

static void on_deleted(void *arg, int err, int64_t revision)
{
	struct claim_operation *run = arg;

	perform(run, claim_on_delete(&run->claim, err));
}

static void on_stored(void *arg, int err, int64_t revision)
{
	struct claim_operation *run = arg;

	perform(run, claim_on_store(&run->claim, err, revision));
}

static void on_wait(void *arg)
{
	struct claim_operation *run = arg;

	perform(run, claim_on_wait(&run->claim));
}

static void put_claim(struct claim_operation *run)
{
	struct claims *claims = run->claims;
	json_t *record = record_base(run, "claimed");
	char *text = json_dumps(record, JSON_COMPACT);

	store_put_if(claims->entry->daemon->store, run->key, 0, text,
		     strlen(text), claims->lease, on_put, run);
	free(text);
	json_decref(record);
}

static void put_outcome(struct claim_operation *run)
{
	struct claims *claims = run->claims;
	char *text = render_outcome(run);

	store_put_if(claims->entry->daemon->store, run->key,
		     run->claim.revision, text, strlen(text), claims->lease,
		     on_stored, run);
	free(text);
}

static void on_lease(void *arg, int err, int64_t lease)
{
	struct claims *claims = arg;
	struct list *pos, *tmp;

	claims->granting = 0;
	if (!err) {
		claims->lease = lease;
		claims->lease_at = sysclock_now();
	}
	list_for_each_safe (pos, tmp, &claims->runs) {
		struct claim_operation *run =
			list_entry(pos, struct claim_operation, node);

		if (!run->waits_for_lease)
			continue;
		run->waits_for_lease = 0;
		if (claims->lease)
			put_claim(run);
		else
			on_put(run, ERR_UNAVAILABLE, 0);
	}
}

/* The first claim of an hour waits for its lease. */
static void put_with_lease(struct claim_operation *run)
{
	struct claims *claims = run->claims;
	struct store *store = claims->entry->daemon->store;

	if (claims->lease &&
	    mstime_diff(sysclock_now(), claims->lease_at) < LEASE_SHARED_MS) {
		put_claim(run);
		return;
	}
	claims->lease = 0;
	run->waits_for_lease = 1;
	if (claims->granting)
		return;
	claims->granting = 1;
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

static void answer(struct claim_operation *run, enum claim_effect effect)
{
	static const struct {
		int status;
		enum outcome outcome;
		const char *text;
	} answers[CLAIM_EFFECT_COUNT] = {
		[CLAIM_BUSY] = { 409, OUTCOME_UNKNOWN,
				 "a request with this key has begun" },
		[CLAIM_DONE_NO_BODY] = { 409, OUTCOME_DONE,
					 "done; the answer was not kept" },
		[CLAIM_MISMATCH] = { 422, OUTCOME_NOT_RUN,
				     "the key belongs to another request" },
		[CLAIM_UNAVAILABLE] = { 503, OUTCOME_UNKNOWN,
					"the store cannot be asked" },
	};

	request_reply_now(run->request, answers[effect].status,
			  answers[effect].outcome, answers[effect].text);
}

/* Effects that end the claim; the run is freed with its request. */
static void perform_end(struct claim_operation *run, enum claim_effect effect)
{
	struct request *request = run->request;

	if (!request) {
		free_if_ended(run);
		return;
	}
	switch (effect) {
	case CLAIM_REPLAY:
		replay(request, run->record);
		break;
	case CLAIM_NOT_RUN:
		request_reply_now(request, run->status, OUTCOME_NOT_RUN,
				  run->text);
		break;
	case CLAIM_BUSY:
	case CLAIM_DONE_NO_BODY:
	case CLAIM_MISMATCH:
	case CLAIM_UNAVAILABLE:
		answer(run, effect);
		break;
	default:
		break;
	}
}

static void perform(struct claim_operation *run, enum claim_effect effect)
{
	struct store *store = run->claims->entry->daemon->store;

	if (run->request && effect != CLAIM_NONE)
		explain_record_step(run->request->explain_record, "claim: %s",
				    claim_effect_name(effect));
	switch (effect) {
	case CLAIM_PUT:
		put_with_lease(run);
		break;
	case CLAIM_GET:
		store_get(store, run->key, on_get, run);
		break;
	case CLAIM_RUN:
		request_dispatch(run->request);
		break;
	case CLAIM_DELETE:
		store_delete_if(store, run->key, run->claim.revision,
				on_deleted, run);
		break;
	case CLAIM_STORE:
		put_outcome(run);
		break;
	case CLAIM_WAIT:
		loop_timer_start(run->timer, CLAIM_WAIT_MS);
		break;
	default:
		perform_end(run, effect);
		break;
	}
}

void claim_operation_start(struct request *request, const char *key)
{
	struct claims *claims = request->entry->claims;
	const char *caller =
		exchange_header(request->exchange, "Catkinhill-Caller");
	char fingerprint[CLAIM_FINGERPRINT_SIZE];
	struct claim_operation *run;
	char *hash;

	if (!request->entry->daemon->store) {
		request_reply(request, 503, OUTCOME_UNKNOWN,
			      "no store is configured");
		return;
	}
	run = xcalloc(1, sizeof(*run));
	hash = hash_key(request, key);
	snprintf(run->key, sizeof(run->key), PREFIX "%s", hash);
	free(hash);
	run->claims = claims;
	run->request = request;
	run->caller = xstrdup(caller ? caller : "");
	run->whole = 1;
	run->timer = loop_timer_new(request->entry->daemon->loop, on_wait, run);
	fingerprint_of(request, fingerprint, sizeof(fingerprint));
	claim_init(&run->claim, request->trace, fingerprint);
	list_add_tail(&claims->runs, &run->node);
	request->claim = run;
	perform(run, claim_start(&run->claim));
}

void claim_operation_save_head(struct claim_operation *run, int status,
			       const struct header_list *headers)
{
	size_t i;

	run->status = status;
	run->headers = json_array();
	for (i = 0; i < headers->count; i++) {
		json_t *pair = json_pack("[s, s]", headers->items[i].name,
					 headers->items[i].value);

		/* A header that is not UTF-8 cannot be kept in JSON. */
		if (pair)
			json_array_append_new(run->headers, pair);
	}
}

void claim_operation_save_body(struct claim_operation *run, const void *data,
			       size_t len)
{
	if (!run->whole)
		return;
	if (run->body_len + len > STORED_BODY_MAX) {
		run->whole = 0;
		run->body_len = 0;
		return;
	}
	run->body = xrealloc(run->body, run->body_len + len);
	memcpy(run->body + run->body_len, data, len);
	run->body_len += len;
}

int claim_operation_end(struct claim_operation *run, enum outcome outcome,
			int status, const char *text)
{
	if (run->claim.state != CLAIM_STATE_RUNNING)
		return run->claim.state == CLAIM_STATE_DELETING;
	run->status = status;
	run->text = text;
	perform(run, claim_on_run(&run->claim, outcome));
	return outcome == OUTCOME_NOT_RUN;
}

void claim_operation_detach(struct claim_operation *run)
{
	run->request = NULL;
	if (run->claim.state == CLAIM_STATE_RUNNING)
		claim_on_run(&run->claim, OUTCOME_UNKNOWN);
	else
		claim_abandon(&run->claim);
	free_if_ended(run);
}

struct claims *claims_new(struct entry *entry)
{
	struct claims *claims = xcalloc(1, sizeof(*claims));

	claims->entry = entry;
	list_init(&claims->runs);
	return claims;
}

void claims_delete(struct claims *claims)
{
	struct list *pos, *tmp;

	if (!claims)
		return;
	list_for_each_safe (pos, tmp, &claims->runs)
		free_run(list_entry(pos, struct claim_operation, node));
	if (claims->entry->daemon->store)
		store_forget(claims->entry->daemon->store, claims);
	free(claims);
}
