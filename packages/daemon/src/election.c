#include "election.h"

#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "follow.h"
#include "hash.h"
#include "log.h"
#include "mem.h"
#include "rng.h"
#include "sysclock.h"

#define ELECTION_PREFIX "scheduler/"

/*
 * A lost scheduler is replaced after this time. Three renewals fit, each of
 * which the store answers within 500 ms when it is slow.
 */
#define LEASE_MS 1500
#define RENEW_MS 375
/* Taken off the lease for the time between a check and its effect. */
#define MARGIN_MS 100
/* Candidates in the store's region try first, those far away much later. */
#define DELAY_PER_LATENCY 6
#define DELAY_MAX_MS 600
#define DELAY_SPREAD_MS 40

enum state {
	STATE_WATCHING,
	STATE_WAITING,	  /* the key is free; the delay runs */
	STATE_REQUESTING, /* lease or key are being requested */
	STATE_LEADING,
	STATE_RESIGNED
};

struct election {
	struct loop *loop;
	struct kv *kv;
	char *value; /* names this candidate and this start */
	struct election_handlers handlers;
	void *arg;
	struct kvwatcher *follow;
	struct loop_timer *timer;
	struct rng rng;
	enum state state;
	int is_free;
	int64_t lease;
	int64_t ttl_ms;
	struct mstime sent_at; /* of the call that may set valid_until */
	struct mstime valid_until;
	int64_t epoch;
};

static void watch_again(struct election *election);

static void lose(struct election *election, const char *reason)
{
	int was_leading = election->state == STATE_LEADING;

	if (election->state == STATE_RESIGNED)
		return;
	loop_timer_stop(election->timer);
	kv_forget(election->kv, election);
	if (was_leading)
		log_event(EV_ELECTION_LOST, "epoch=%lld reason=%s",
			  (long long)election->epoch, reason);
	election->lease = 0;
	election->state = STATE_WATCHING;
	if (was_leading)
		election->handlers.on_lost(election->arg);
	watch_again(election);
}

static void elected(struct election *election, int64_t epoch)
{
	election->epoch = epoch;
	election->state = STATE_LEADING;
	log_event(EV_ELECTED, "epoch=%lld lease=%lld ttl_ms=%lld",
		  (long long)epoch, (long long)election->lease,
		  (long long)election->ttl_ms);
	loop_timer_start(election->timer, RENEW_MS);
	election->handlers.on_elected(election->arg, epoch);
}

static void on_read(void *arg, const struct kv_result *result)
{
	struct election *election = arg;
	const struct kv_item *item = result->items;

	if (result->err && result->err != ERR_NOT_FOUND) {
		kv_get(election->kv, ELECTION_KEY, on_read, election);
		return;
	}
	if (!result->err && item->value &&
	    !strcmp(item->value, election->value)) {
		if (election->state == STATE_REQUESTING)
			elected(election, item->revision);
		return;
	}
	lose(election, "key");
}

static void on_created(void *arg, const struct kv_result *result)
{
	struct election *election = arg;

	if (!result->err)
		elected(election, result->revision);
	else if (result->err == ERR_UNKNOWN)
		kv_get(election->kv, ELECTION_KEY, on_read, election);
	else
		lose(election, error_name(result->err));
}

static void on_granted(void *arg, const struct kv_result *result)
{
	struct election *election = arg;
	struct kv_txn txn = { .compare_count = 1, .put_count = 1 };

	if (result->err || !result->lease) {
		lose(election, "no-lease");
		return;
	}
	election->lease = result->lease;
	election->ttl_ms = result->ttl_ms ? result->ttl_ms : LEASE_MS;
	election->valid_until =
		mstime_add(election->sent_at, election->ttl_ms - MARGIN_MS);
	txn.compares[0].key = ELECTION_KEY;
	txn.puts[0].key = ELECTION_KEY;
	txn.puts[0].value = election->value;
	txn.puts[0].len = strlen(election->value);
	txn.puts[0].lease = election->lease;
	kv_txn(election->kv, &txn, on_created, election);
}

static void on_renewed(void *arg, const struct kv_result *result)
{
	struct election *election = arg;

	if (election->state != STATE_LEADING)
		return;
	if (result->err == ERR_NOT_FOUND) {
		lose(election, "lease");
		return;
	}
	if (!result->err)
		election->valid_until = mstime_add(
			election->sent_at, election->ttl_ms - MARGIN_MS);
	loop_timer_start(election->timer,
			 result->err ? RENEW_MS / 4 : RENEW_MS);
}

static void on_timer(void *arg)
{
	struct election *election = arg;

	election->sent_at = sysclock_now();
	if (election->state == STATE_LEADING) {
		kv_lease_keep(election->kv, election->lease, on_renewed,
			      election);
		return;
	}
	if (!election->is_free) {
		election->state = STATE_WATCHING;
		return;
	}
	election->state = STATE_REQUESTING;
	kv_lease_grant(election->kv, LEASE_MS, on_granted, election);
}

static void watch_again(struct election *election)
{
	int64_t delay_ms;

	if (!election->is_free || election->state != STATE_WATCHING)
		return;
	election->state = STATE_WAITING;
	delay_ms = kv_latency_ms(election->kv) * DELAY_PER_LATENCY;
	if (delay_ms > DELAY_MAX_MS)
		delay_ms = DELAY_MAX_MS;
	delay_ms += rng_below(&election->rng, DELAY_SPREAD_MS);
	loop_timer_start(election->timer, delay_ms);
}

static void take_key(struct election *election, const struct kv_item *item)
{
	int is_mine =
		item && item->value && !strcmp(item->value, election->value);

	election->is_free = !item || !item->value;
	if (election->state == STATE_LEADING && !is_mine &&
	    (election->is_free || item->revision > election->epoch))
		lose(election, "replaced");
	watch_again(election);
}

static void on_list(void *arg, const struct kv_item *items, size_t count)
{
	const struct kv_item *found = NULL;
	size_t i;

	for (i = 0; i < count; i++)
		if (!strcmp(items[i].key, ELECTION_KEY))
			found = &items[i];
	take_key(arg, found);
}

static void on_change(void *arg, const struct kv_item *item)
{
	struct election *election = arg;

	if (strcmp(item->key, ELECTION_KEY) != 0)
		return;
	/* The deletion of a former key may be seen after the own creation. */
	if (election->state == STATE_LEADING &&
	    item->revision < election->epoch)
		return;
	take_key(election, item);
}

struct election *election_new(struct loop *loop, struct kv *kv,
			      const char *candidate,
			      const struct election_handlers *handlers,
			      void *arg)
{
	static const struct kvwatcher_handlers follow_handlers = {
		.on_list = on_list,
		.on_change = on_change,
	};
	struct election *election = xcalloc(1, sizeof(*election));

	election->loop = loop;
	election->kv = kv;
	election->handlers = *handlers;
	election->arg = arg;
	rng_seed(&election->rng,
		 hash_str(candidate) ^ (uint64_t)sysclock_wall_ms());
	election->value = xstrfmt("%s/%016llx", candidate,
				  (unsigned long long)rng_next(&election->rng));
	election->timer = loop_timer_new(loop, on_timer, election);
	election->follow = kvwatcher_new(loop, kv, ELECTION_PREFIX,
					 &follow_handlers, election);
	return election;
}

void election_delete(struct election *election)
{
	if (!election)
		return;
	kvwatcher_delete(election->follow);
	kv_forget(election->kv, election);
	loop_timer_delete(election->timer);
	free(election->value);
	free(election);
}

static void on_ended(void *arg, const struct kv_result *result)
{
}

void election_resign(struct election *election)
{
	int64_t lease = election->lease;

	loop_timer_stop(election->timer);
	kv_forget(election->kv, election);
	election->state = STATE_RESIGNED;
	election->lease = 0;
	if (lease)
		kv_lease_end(election->kv, lease, on_ended, election);
}

void election_verify(struct election *election)
{
	if (election->state == STATE_LEADING)
		kv_get(election->kv, ELECTION_KEY, on_read, election);
}

int election_is_leader(const struct election *election, struct mstime now)
{
	return election->state == STATE_LEADING &&
	       mstime_before(now, election->valid_until);
}
