#include "entry.h"

#include <stdlib.h>
#include <string.h>

#include "admin.h"
#include "entry_impl.h"
#include "log.h"
#include "mem.h"
#include "sysclock.h"

#define REQUESTS "catkinhill_requests_total"
#define REFUSALS "catkinhill_refusals_total"
#define SHED "catkinhill_shed_total"
#define LINK "catkinhill_link_bytes_total"

/* Items looked at after an event; each tick looks at the whole queue. */
#define DRAIN_MAX 64
#define FULL_SERVICES_MAX 4
/* A pause between ticks that is longer, and the time to read what waits. */
#define PAUSE_MS 1000
/* Tick without requests, when only members and readiness can change. */
#define IDLE_TICK_MS 200
#define LINGER_MS 200

static const struct {
	enum counter_kind kind;
	const char *name, *labels, *help;
} counter_table[ENTRY_COUNTER_COUNT] = {
	[COUNT_REQUESTS_DONE] = { COUNTER_TOTAL, REQUESTS, "outcome=\"done\"",
				  "Requests of callers by outcome." },
	[COUNT_REQUESTS_NOT_RUN] = { COUNTER_TOTAL, REQUESTS,
				     "outcome=\"not-run\"" },
	[COUNT_REQUESTS_UNKNOWN] = { COUNTER_TOTAL, REQUESTS,
				     "outcome=\"unknown\"" },
	[COUNT_REQUESTS_ABORTED] = { COUNTER_TOTAL, REQUESTS,
				     "outcome=\"cut\"" },
	[COUNT_ATTEMPTS] = { COUNTER_TOTAL, "catkinhill_attempts_total", NULL,
			     "Attempts sent to agents." },
	[COUNT_REFUSED_FULL] = { COUNTER_TOTAL, REFUSALS, "reason=\"full\"",
				 "Attempts refused by agents." },
	[COUNT_REFUSED_LEAVING] = { COUNTER_TOTAL, REFUSALS,
				    "reason=\"leaving\"" },
	[COUNT_REFUSED_NOT_READY] = { COUNTER_TOTAL, REFUSALS,
				      "reason=\"not-ready\"" },
	[COUNT_REFUSED_DEADLINE] = { COUNTER_TOTAL, REFUSALS,
				     "reason=\"deadline\"" },
	[COUNT_REFUSED_CANCELLED] = { COUNTER_TOTAL, REFUSALS,
				      "reason=\"cancelled\"" },
	[COUNT_REFUSED_MALFORMED] = { COUNTER_TOTAL, REFUSALS,
				      "reason=\"malformed\"" },
	[COUNT_ATTEMPTS_UNSENT] = { COUNTER_TOTAL, REFUSALS,
				    "reason=\"unsent\"" },
	[COUNT_RETRIES] = { COUNTER_TOTAL, "catkinhill_retries_total", NULL,
			    "Further attempts of requests." },
	[COUNT_RETRIES_DENIED] = { COUNTER_TOTAL,
				   "catkinhill_retries_denied_total", NULL,
				   "Further attempts that the budget denied." },
	[COUNT_EJECTIONS] = { COUNTER_TOTAL, "catkinhill_ejections_total", NULL,
			      "Upstreams taken out of rotation." },
	[COUNT_EJECTION_RETURNS] = { COUNTER_TOTAL,
				     "catkinhill_ejection_returns_total", NULL,
				     "Ejected upstreams back in rotation." },
	[COUNT_SHED_SHARE] = { COUNTER_TOTAL, SHED, "reason=\"share\"",
			       "Requests given up before an attempt." },
	[COUNT_SHED_FULL] = { COUNTER_TOTAL, SHED, "reason=\"full\"" },
	[COUNT_SHED_OVERLOAD] = { COUNTER_TOTAL, SHED, "reason=\"overload\"" },
	[COUNT_SHED_DEADLINE] = { COUNTER_TOTAL, SHED, "reason=\"deadline\"" },
	[COUNT_STRAY_MESSAGES] = { COUNTER_TOTAL,
				   "catkinhill_stray_messages_total", NULL,
				   "Messages without a request in progress." },
	[COUNT_STREAMS_JOINED] = { COUNTER_TOTAL,
				   "catkinhill_streams_joined_total", NULL,
				   "Callers joined into a shared stream." },
	[COUNT_STREAMS_MOVED] = { COUNTER_TOTAL,
				  "catkinhill_streams_moved_total", NULL,
				  "Streams handed over to another upstream." },
	[COUNT_LINK_BYTES_IN] = { COUNTER_TOTAL, LINK, "direction=\"in\"",
				  "Bytes to and from agents of other "
				  "regions." },
	[COUNT_LINK_BYTES_OUT] = { COUNTER_TOTAL, LINK, "direction=\"out\"" },
	[COUNT_QUEUE_LENGTH] = { COUNTER_GAUGE, "catkinhill_queue_length", NULL,
				 "Requests that wait for an upstream." },
	[COUNT_REQUESTS_IN_FLIGHT] = { COUNTER_GAUGE,
				       "catkinhill_requests_in_flight", NULL,
				       "Requests of callers in progress." },
};

void entry_counter_increment(struct entry *entry, enum entry_counter counter)
{
	entry->counters[counter].value++;
}

static void add_counters(struct entry *entry)
{
	struct counter_set *set = &entry->daemon->counters;
	size_t i;

	for (i = 0; i < ENTRY_COUNTER_COUNT; i++) {
		struct counter *counter = &entry->counters[i];

		counter->kind = counter_table[i].kind;
		counter->name = counter_table[i].name;
		counter->labels = counter_table[i].labels;
		counter->help = counter_table[i].help;
		counter_add(set, counter);
	}
	entry->latency.name = "catkinhill_request_ms";
	entry->latency.help = "Time from arrival to the end of the answer.";
	histogram_add(set, &entry->latency);
}

static void remove_counters(struct entry *entry)
{
	size_t i;

	for (i = 0; i < ENTRY_COUNTER_COUNT; i++)
		list_del(&entry->counters[i].node);
	list_del(&entry->latency.node);
}

void entry_serve_queue_soon(struct entry *entry)
{
	if (admission_waiting(entry->admission))
		loop_timer_start(entry->queue_timer, 0);
}

void entry_start_busy_tick(struct entry *entry)
{
	/* Started again by every request, the timer might never end. */
	if (!entry->idle_tick)
		return;
	entry->idle_tick = 0;
	loop_timer_start(entry->tick_timer, TICK_MS);
}

static int is_idle(const struct entry *entry)
{
	return list_empty(&entry->requests) &&
	       list_empty(&entry->shared_streams);
}

static int is_full(const char *const *full, size_t count, const char *service)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (!strcmp(full[i], service))
			return 1;
	return 0;
}

/*
 * Serves waiting requests until no service has room. A request that is
 * tried leaves the queue, so the search starts anew after each.
 */
static void serve_queue(struct entry *entry, uint32_t look_max)
{
	const char *full[FULL_SERVICES_MAX] = { NULL };
	struct admission_item *item = NULL;
	size_t full_count = 0;
	uint32_t looked = 0;

	while (looked++ < look_max) {
		struct request *request;

		item = admission_next(entry->admission, item, sysclock_now());
		if (!item)
			return;
		request = request_from_admission_item(item);
		if (is_full(full, full_count, request->service))
			continue;
		if (request_try_send(request)) {
			item = NULL;
			full_count = 0;
			continue;
		}
		if (full_count == FULL_SERVICES_MAX)
			return;
		full[full_count++] = request->service;
	}
}

static void on_drain(void *arg)
{
	serve_queue(arg, DRAIN_MAX);
}

int entry_config_known(const struct entry *entry)
{
	return !entry->daemon->store || configsync_known(entry->config_sync);
}

static void update_ready(struct entry *entry)
{
	int ready = entry_config_known(entry);

	if (!entry->daemon->admin || entry->stopping ||
	    ready == entry->reported_ready)
		return;
	entry->reported_ready = ready;
	admin_set_ready(entry->daemon->admin, ready,
			ready ? "" : "config-unknown");
}

static void drop_expired(struct entry *entry, struct mstime now)
{
	struct admission_item *item;
	enum admission_verdict why;

	while ((item = admission_expired(entry->admission, now, &why)))
		request_shed(request_from_admission_item(item), why);
}

static int64_t count_list(const struct list *head)
{
	const struct list *pos;
	int64_t count = 0;

	list_for_each (pos, head)
		count++;
	return count;
}

/*
 * After a pause of this process all agents look silent until their waiting
 * announcements are read.
 */
static void detect_pause(struct entry *entry, struct mstime now)
{
	if (entry->ticked_at.ms &&
	    mstime_diff(now, entry->ticked_at) > PAUSE_MS)
		entry->ignore_silence_until = mstime_add(now, PAUSE_MS);
	entry->ticked_at = now;
}

static void on_tick(void *arg)
{
	struct entry *entry = arg;
	struct mstime now = sysclock_now();

	entry->idle_tick = is_idle(entry);
	loop_timer_start(entry->tick_timer,
			 entry->idle_tick ? IDLE_TICK_MS : TICK_MS);
	detect_pause(entry, now);
	update_ready(entry);
	drop_expired(entry, now);
	entry_tick_attempts(entry, now);
	shared_streams_tick(entry, now);
	if (!mstime_before(now, entry->ignore_silence_until))
		membership_expire(&entry->membership, now);
	entry->counters[COUNT_QUEUE_LENGTH].value =
		admission_waiting(entry->admission);
	entry->counters[COUNT_REQUESTS_IN_FLIGHT].value =
		count_list(&entry->requests);
	/* Every place once, so that a full service hides no other one. */
	serve_queue(entry, admission_waiting(entry->admission));
}

void entry_on_config(void *arg)
{
	struct entry *entry = arg;
	const struct config *config = &entry->daemon->config;

	/* The first read can come before entry_new() has returned. */
	if (!entry->registry)
		return;
	retry_set_limits(&entry->retry, config->limits[LIMIT_RETRY_PERCENT],
			 config->limits[LIMIT_RETRY_FLOOR]);
	admission_set_limit(entry->admission,
			    (uint32_t)config->limits[LIMIT_ENTRY_QUEUE]);
	route_update_all(entry->route, config);
	owner_on_change(entry->owner);
	update_ready(entry);
	entry_serve_queue_soon(entry);
}

static void init_decisions(struct entry *entry)
{
	const struct config *config = &entry->daemon->config;
	uint64_t incarnation = entry->daemon->incarnation;

	membership_init(&entry->membership);
	entry->membership.on_remove = entry_on_member_removed;
	entry->membership.on_remove_arg = entry;
	entry->route = route_new(&entry->membership, incarnation);
	retry_init(&entry->retry, config->limits[LIMIT_RETRY_PERCENT],
		   config->limits[LIMIT_RETRY_FLOOR], sysclock_now());
	entry->admission =
		admission_new((uint32_t)config->limits[LIMIT_ENTRY_QUEUE]);
	streams_init(&entry->streams);
	/* The random half of the incarnation tells processes apart. */
	entry->next_attempt_id = incarnation << 32 | 1;
}

static void init_lists(struct entry *entry)
{
	size_t i;

	list_init(&entry->exchanges);
	list_init(&entry->requests);
	list_init(&entry->shared_streams);
	for (i = 0; i < ATTEMPT_BUCKETS; i++)
		list_init(&entry->attempts[i]);
}

static int listen_all(struct entry *entry)
{
	const struct settings *settings = entry->daemon->settings;

	entry->transport = transport_server_new(
		entry->daemon->loop, settings->peers, entry_on_message, entry);
	if (!entry->transport) {
		log_event(EV_LISTEN_FAILED, "key=listen.peers address=%s",
			  settings->peers);
		return 0;
	}
	if (entry_http_start(entry)) {
		log_event(EV_LISTEN_FAILED, "key=listen.callers address=%s",
			  settings->callers);
		return 0;
	}
	return 1;
}

static void check_stopped(void *arg);

static void start_parts(struct entry *entry)
{
	struct daemon *daemon = entry->daemon;

	entry->claims = claims_new(entry);
	entry->explain_log = explain_log_new(entry);
	entry->owner = owner_new(daemon, entry->transport, &entry->membership);
	entry->registry = registry_new(entry);
	entry->config_sync = configsync_new(daemon, entry_on_config, entry);
	entry->opapi =
		opapi_new(daemon, entry->config_sync, &entry->membership);
	if (daemon->admin)
		admin_set_ready(daemon->admin, 0, "config-unknown");
	on_tick(entry);
}

struct entry *entry_new(struct daemon *daemon)
{
	struct entry *entry = xcalloc(1, sizeof(*entry));

	entry->daemon = daemon;
	init_lists(entry);
	init_decisions(entry);
	add_counters(entry);
	entry->tick_timer = loop_timer_new(daemon->loop, on_tick, entry);
	entry->queue_timer = loop_timer_new(daemon->loop, on_drain, entry);
	entry->stop_timer = loop_timer_new(daemon->loop, check_stopped, entry);
	if (!listen_all(entry)) {
		entry_delete(entry);
		return NULL;
	}
	start_parts(entry);
	return entry;
}

static void delete_requests(struct entry *entry)
{
	while (!list_empty(&entry->requests)) {
		struct request *request =
			list_entry(entry->requests.next, struct request, node);

		request_finish(request, OUTCOME_UNKNOWN, 1);
	}
}

void entry_delete(struct entry *entry)
{
	entry->on_stopped = NULL;
	delete_requests(entry);
	entry_http_stop(entry);
	if (entry->opapi)
		opapi_delete(entry->opapi);
	if (entry->config_sync)
		configsync_delete(entry->config_sync);
	if (entry->owner)
		owner_delete(entry->owner);
	registry_delete(entry->registry);
	claims_delete(entry->claims);
	membership_clear(&entry->membership);
	route_delete(entry->route);
	if (entry->transport)
		transport_delete(entry->transport);
	explain_log_delete(entry->explain_log);
	admission_delete(entry->admission);
	loop_timer_delete(entry->tick_timer);
	loop_timer_delete(entry->queue_timer);
	loop_timer_delete(entry->stop_timer);
	remove_counters(entry);
	free(entry->config_json);
	free(entry);
}

static int nothing_left(const struct entry *entry)
{
	return entry->owner_stopped && entry->registry_stopped &&
	       list_empty(&entry->requests) && list_empty(&entry->exchanges);
}

/*
 * The last connections were accepted just before the listener was closed;
 * their requests get an answer as well.
 */
static int linger(struct entry *entry)
{
	if (!entry->listener)
		return 0;
	entry_http_stop_accepting(entry);
	loop_timer_start(entry->stop_timer, LINGER_MS);
	return 1;
}

/* Also called when the bound of the stop has passed. */
static void check_stopped(void *arg)
{
	struct entry *entry = arg;
	stopped_fn fn = entry->on_stopped;

	if (!fn)
		return;
	if (!nothing_left(entry) &&
	    mstime_before(sysclock_now(), entry->stop_deadline)) {
		loop_timer_start(
			entry->stop_timer,
			mstime_diff(entry->stop_deadline, sysclock_now()));
		return;
	}
	if (linger(entry))
		return;
	log_event(EV_ENTRY_STOPPED, "left=%lld",
		  (long long)count_list(&entry->requests));
	entry->on_stopped = NULL;
	fn(entry->on_stopped_arg);
}

/* Later, because the caller may still use what the callback deletes. */
void entry_check_stopped(struct entry *entry)
{
	if (entry->on_stopped && nothing_left(entry))
		loop_timer_start(entry->stop_timer,
				 entry->listener ? 0 : LINGER_MS);
}

static void on_owner_stopped(void *arg)
{
	struct entry *entry = arg;

	entry->owner_stopped = 1;
	entry_check_stopped(entry);
}

static void on_registry_stopped(void *arg)
{
	struct entry *entry = arg;

	entry->registry_stopped = 1;
	entry_check_stopped(entry);
}

void entry_stop(struct entry *entry, stopped_fn fn, void *arg)
{
	int64_t bound_ms = entry->daemon->settings->stop_ms;

	entry->stopping = 1;
	entry->on_stopped = fn;
	entry->on_stopped_arg = arg;
	entry->stop_deadline = mstime_add(sysclock_now(), bound_ms);
	loop_timer_start(entry->stop_timer, bound_ms);
	registry_stop(entry->registry, on_registry_stopped, entry);
	owner_stop(entry->owner, on_owner_stopped, entry);
	shared_streams_stop(entry);
	entry_check_stopped(entry);
}
