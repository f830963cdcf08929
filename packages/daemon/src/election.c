#include "election.h"

#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "kvwatcher.h"
#include "hash.h"
#include "log.h"
#include "mem.h"
#include "rng.h"
#include "sysclock.h"

#define ELECTION_PREFIX "scheduler/"

/*
 * A scheduler that fails is replaced after this time. It leaves room for three
 * renewals; the store responds to each within 500 ms when it is slow.
 */
#define LEASE_MS 1500
#define RENEW_INTERVAL_MS 375
#define READ_RETRY_MS 100
/* Subtracted from the lease for the time between a check and its effect. */
#define LEASE_MARGIN_MS 100
/*
 * The delay of an attempt is a multiple of the latency to the store, so that
 * candidates in its region try first and those far away much later.
 */
#define DELAY_LATENCY_FACTOR 6
#define DELAY_MAX_MS 600
#define DELAY_JITTER_MS 40
/* One call from another region; a stopping daemon waits 300 ms. */
#define LAST_PUT_WAIT_MS 100

enum state {
	STATE_WATCHING,
	STATE_WAITING,	  /* the key is free; waits for the delay */
	STATE_REQUESTING, /* lease or key are being requested */
	STATE_LEADING,
	STATE_RESIGNED
};

struct election {
	struct loop *loop;
	struct kv *kv;
	char *value; /* identifies this candidate and process start */
	struct election_handlers handlers;
	void *arg;
	struct kvwatcher *watcher;
	struct loop_timer *timer;      /* next attempt or renewal */
	struct loop_timer *read_timer; /* the key is read again */
	struct rng rng;
	enum state state;
	int key_is_free;
	int64_t lease;
	int64_t ttl_ms;
	struct mstime sent_at;	   /* send time of the last lease call */
	struct mstime valid_until; /* end of the lease less the margin */
	int64_t epoch;
};

static void schedule_attempt(struct election *election);
static void revoke_lease(struct election *election);

static void step_down(struct election *election, const char *reason)
{
	int was_leading = election->state == STATE_LEADING;

	if (election->state == STATE_RESIGNED)
		return;
	loop_timer_stop(election->timer);
	loop_timer_stop(election->read_timer);
	kv_cancel(election->kv, election);
	if (was_leading)
		log_event(EV_ELECTION_LOST, "epoch=%lld reason=%s",
			  (long long)election->epoch, reason);
	election->lease = 0;
	election->state = STATE_WATCHING;
	if (was_leading)
		election->handlers.on_lost(election->arg);
	schedule_attempt(election);
}

static void become_leader(struct election *election, int64_t epoch)
{
	election->epoch = epoch;
	election->state = STATE_LEADING;
	log_event(EV_ELECTED, "epoch=%lld lease=%lld ttl_ms=%lld",
		  (long long)epoch, (long long)election->lease,
		  (long long)election->ttl_ms);
	loop_timer_start(election->timer, RENEW_INTERVAL_MS);
	election->handlers.on_elected(election->arg, epoch);
}

static void on_key_read(void *arg, const struct kv_result *result);

static void on_read_timer(void *arg)
{
	struct election *election = arg;

	kv_get(election->kv, ELECTION_KEY, on_key_read, election);
}

static void on_key_read(void *arg, const struct kv_result *result)
{
	struct election *election = arg;
	const struct kv_item *item = result->items;

	if (result->err && result->err != ERR_NOT_FOUND) {
		loop_timer_start(election->read_timer, READ_RETRY_MS);
		return;
	}
	if (!result->err && item->value &&
	    !strcmp(item->value, election->value)) {
		if (election->state == STATE_REQUESTING)
			become_leader(election, item->revision);
		return;
	}
	step_down(election, "key");
}

static void on_key_created(void *arg, const struct kv_result *result)
{
	struct election *election = arg;

	if (!result->err)
		become_leader(election, result->revision);
	else if (result->err == ERR_UNKNOWN)
		kv_get(election->kv, ELECTION_KEY, on_key_read, election);
	else
		step_down(election, error_name(result->err));
}

static void on_lease_granted(void *arg, const struct kv_result *result)
{
	struct election *election = arg;
	struct kv_txn txn = { .compare_count = 1, .put_count = 1 };

	if (result->err || !result->lease) {
		step_down(election, "no-lease");
		return;
	}
	election->lease = result->lease;
	election->ttl_ms = result->ttl_ms ? result->ttl_ms : LEASE_MS;
	election->valid_until = mstime_add(election->sent_at,
					   election->ttl_ms - LEASE_MARGIN_MS);
	txn.compares[0].key = ELECTION_KEY;
	txn.puts[0].key = ELECTION_KEY;
	txn.puts[0].value = election->value;
	txn.puts[0].len = strlen(election->value);
	txn.puts[0].lease = election->lease;
	kv_txn(election->kv, &txn, on_key_created, election);
}

static void on_lease_renewed(void *arg, const struct kv_result *result)
{
	struct election *election = arg;

	if (election->state != STATE_LEADING)
		return;
	if (result->err == ERR_NOT_FOUND) {
		step_down(election, "lease");
		return;
	}
	if (!result->err)
		election->valid_until = mstime_add(
			election->sent_at, election->ttl_ms - LEASE_MARGIN_MS);
	loop_timer_start(election->timer, result->err ? RENEW_INTERVAL_MS / 4
						      : RENEW_INTERVAL_MS);
}

static void on_timer(void *arg)
{
	struct election *election = arg;

	election->sent_at = sysclock_now();
	if (election->state == STATE_RESIGNED) {
		revoke_lease(election);
		return;
	}
	if (election->state == STATE_LEADING) {
		kv_lease_renew(election->kv, election->lease, on_lease_renewed,
			       election);
		return;
	}
	if (!election->key_is_free) {
		election->state = STATE_WATCHING;
		return;
	}
	election->state = STATE_REQUESTING;
	kv_lease_grant(election->kv, LEASE_MS, on_lease_granted, election);
}

static void schedule_attempt(struct election *election)
{
	int64_t delay_ms;

	if (!election->key_is_free || election->state != STATE_WATCHING)
		return;
	election->state = STATE_WAITING;
	delay_ms = kv_latency_ms(election->kv) * DELAY_LATENCY_FACTOR;
	if (delay_ms > DELAY_MAX_MS)
		delay_ms = DELAY_MAX_MS;
	delay_ms += rng_below(&election->rng, DELAY_JITTER_MS);
	loop_timer_start(election->timer, delay_ms);
}

static void update_key(struct election *election, const struct kv_item *item)
{
	int is_own =
		item && item->value && !strcmp(item->value, election->value);

	election->key_is_free = !item || !item->value;
	if (election->state == STATE_LEADING && !is_own &&
	    (election->key_is_free || item->revision > election->epoch))
		step_down(election, "replaced");
	schedule_attempt(election);
}

static void on_list(void *arg, const struct kv_item *items, size_t count)
{
	const struct kv_item *key_item = NULL;
	size_t i;

	for (i = 0; i < count; i++)
		if (!strcmp(items[i].key, ELECTION_KEY))
			key_item = &items[i];
	update_key(arg, key_item);
}

static void on_change(void *arg, const struct kv_item *item)
{
	struct election *election = arg;

	if (strcmp(item->key, ELECTION_KEY) != 0)
		return;
	/* A former key's deletion may arrive after this one's creation. */
	if (election->state == STATE_LEADING &&
	    item->revision < election->epoch)
		return;
	update_key(election, item);
}

struct election *election_new(struct loop *loop, struct kv *kv,
			      const char *candidate,
			      const struct election_handlers *handlers,
			      void *arg)
{
	static const struct kvwatcher_handlers watcher_handlers = {
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
	election->read_timer = loop_timer_new(loop, on_read_timer, election);
	election->watcher = kvwatcher_new(loop, kv, ELECTION_PREFIX,
					  &watcher_handlers, election);
	return election;
}

void election_delete(struct election *election)
{
	if (!election)
		return;
	kvwatcher_delete(election->watcher);
	kv_cancel(election->kv, election);
	loop_timer_delete(election->timer);
	loop_timer_delete(election->read_timer);
	free(election->value);
	free(election);
}

static void on_lease_ended(void *arg, const struct kv_result *result)
{
}

static void revoke_lease(struct election *election)
{
	int64_t lease = election->lease;

	election->lease = 0;
	if (lease)
		kv_lease_end(election->kv, lease, on_lease_ended, election);
}

static void on_last_put(void *arg, const struct kv_result *result)
{
	struct election *election = arg;

	if (result->err)
		log_event(EV_STATE_UNSETTLED, "epoch=%lld handover err=%s",
			  (long long)election->epoch, error_name(result->err));
	loop_timer_stop(election->timer);
	revoke_lease(election);
}

void election_resign(struct election *election, const struct kv_put *last_put)
{
	struct kv_txn txn = { .compare_count = 1, .put_count = 1 };
	int was_leading = election->state == STATE_LEADING;

	loop_timer_stop(election->timer);
	loop_timer_stop(election->read_timer);
	kv_cancel(election->kv, election);
	election->state = STATE_RESIGNED;
	if (!was_leading || !last_put) {
		revoke_lease(election);
		return;
	}
	txn.compares[0].key = ELECTION_KEY;
	txn.compares[0].revision = election->epoch;
	txn.puts[0] = *last_put;
	kv_txn(election->kv, &txn, on_last_put, election);
	loop_timer_start(election->timer, LAST_PUT_WAIT_MS);
}

void election_verify(struct election *election)
{
	if (election->state == STATE_LEADING)
		kv_get(election->kv, ELECTION_KEY, on_key_read, election);
}

int election_is_leader(const struct election *election, struct mstime now)
{
	return election->state == STATE_LEADING &&
	       mstime_before(now, election->valid_until);
}
