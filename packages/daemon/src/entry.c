#include "entry.h"

#include <stdlib.h>
#include <string.h>

#include "admin.h"
#include "entry_impl.h"
#include "log.h"
#include "mem.h"
#include "sysclock.h"

#define METRIC_REQUESTS "catkinhill_requests_total"
#define METRIC_REFUSALS "catkinhill_refusals_total"
#define METRIC_SHED "catkinhill_shed_total"
#define METRIC_LINK_BYTES "catkinhill_link_bytes_total"

/* Queued requests examined after an event; a tick examines all of them. */
#define EVENT_SCAN_MAX 64
#define FULL_SERVICES_MAX 4
/*
 * A longer time between two ticks means that this process was paused; it then
 * gets as long to read the announcements that have queued up.
 */
#define PROCESS_PAUSE_MS 1000
/* Tick without requests; only membership and readiness can change then. */
#define IDLE_TICK_MS 200
#define STOP_ACCEPT_GRACE_MS 200

static const struct {
	enum metric_kind kind;
	const char *name, *labels, *help;
} counter_table[ENTRY_COUNTER_COUNT] = {
	[COUNT_REQUESTS_DONE] = { METRIC_COUNTER, METRIC_REQUESTS,
				  "outcome=\"done\"",
				  "Requests of callers by outcome." },
	[COUNT_REQUESTS_NOT_RUN] = { METRIC_COUNTER, METRIC_REQUESTS,
				     "outcome=\"not-run\"" },
	[COUNT_REQUESTS_UNKNOWN] = { METRIC_COUNTER, METRIC_REQUESTS,
				     "outcome=\"unknown\"" },
	[COUNT_REQUESTS_ABORTED] = { METRIC_COUNTER, METRIC_REQUESTS,
				     "outcome=\"cut\"" },
	[COUNT_ATTEMPTS] = { METRIC_COUNTER, "catkinhill_attempts_total", NULL,
			     "Attempts sent to agents." },
	[COUNT_REFUSED_FULL] = { METRIC_COUNTER, METRIC_REFUSALS,
				 "reason=\"full\"",
				 "Attempts refused by agents." },
	[COUNT_REFUSED_LEAVING] = { METRIC_COUNTER, METRIC_REFUSALS,
				    "reason=\"leaving\"" },
	[COUNT_REFUSED_NOT_READY] = { METRIC_COUNTER, METRIC_REFUSALS,
				      "reason=\"not-ready\"" },
	[COUNT_REFUSED_DEADLINE] = { METRIC_COUNTER, METRIC_REFUSALS,
				     "reason=\"deadline\"" },
	[COUNT_REFUSED_CANCELLED] = { METRIC_COUNTER, METRIC_REFUSALS,
				      "reason=\"cancelled\"" },
	[COUNT_REFUSED_MALFORMED] = { METRIC_COUNTER, METRIC_REFUSALS,
				      "reason=\"malformed\"" },
	[COUNT_ATTEMPTS_UNSENT] = { METRIC_COUNTER, METRIC_REFUSALS,
				    "reason=\"unsent\"" },
	[COUNT_RETRIES] = { METRIC_COUNTER, "catkinhill_retries_total", NULL,
			    "Further attempts of requests." },
	[COUNT_RETRIES_DENIED] = { METRIC_COUNTER,
				   "catkinhill_retries_denied_total", NULL,
				   "Further attempts that the budget denied." },
	[COUNT_EJECTIONS] = { METRIC_COUNTER, "catkinhill_ejections_total",
			      NULL, "Upstreams taken out of rotation." },
	[COUNT_EJECTION_RETURNS] = { METRIC_COUNTER,
				     "catkinhill_ejection_returns_total", NULL,
				     "Ejected upstreams back in rotation." },
	[COUNT_SHED_SHARE] = { METRIC_COUNTER, METRIC_SHED, "reason=\"share\"",
			       "Requests given up before an attempt." },
	[COUNT_SHED_FULL] = { METRIC_COUNTER, METRIC_SHED, "reason=\"full\"" },
	[COUNT_SHED_OVERLOAD] = { METRIC_COUNTER, METRIC_SHED,
				  "reason=\"overload\"" },
	[COUNT_SHED_DEADLINE] = { METRIC_COUNTER, METRIC_SHED,
				  "reason=\"deadline\"" },
	[COUNT_STRAY_MESSAGES] = { METRIC_COUNTER,
				   "catkinhill_stray_messages_total", NULL,
				   "Messages without a request in progress." },
	[COUNT_STREAMS_JOINED] = { METRIC_COUNTER,
				   "catkinhill_streams_joined_total", NULL,
				   "Callers joined into a shared stream." },
	[COUNT_STREAMS_MOVED] = { METRIC_COUNTER,
				  "catkinhill_streams_moved_total", NULL,
				  "Streams handed over to another upstream." },
	[COUNT_LINK_BYTES_IN] = { METRIC_COUNTER, METRIC_LINK_BYTES,
				  "direction=\"in\"",
				  "Bytes to and from agents of other "
				  "regions." },
	[COUNT_LINK_BYTES_OUT] = { METRIC_COUNTER, METRIC_LINK_BYTES,
				   "direction=\"out\"" },
	[COUNT_QUEUE_LENGTH] = { METRIC_GAUGE, "catkinhill_queue_length", NULL,
				 "Requests that wait for an upstream." },
	[COUNT_REQUESTS_IN_FLIGHT] = { METRIC_GAUGE,
				       "catkinhill_requests_in_flight", NULL,
				       "Requests of callers in progress." },
};

void entry_counter_increment(struct entry *entry, enum entry_counter counter)
{
	entry->counters[counter].value++;
}

static void add_counters(struct entry *entry)
{
	struct metric_set *set = &entry->daemon->counters;
	size_t i;

	for (i = 0; i < ENTRY_COUNTER_COUNT; i++) {
		struct metric *counter = &entry->counters[i];

		counter->kind = counter_table[i].kind;
		counter->name = counter_table[i].name;
		counter->labels = counter_table[i].labels;
		counter->help = counter_table[i].help;
		metric_register(set, counter);
	}
	entry->latency.name = "catkinhill_request_ms";
	entry->latency.help = "Time from arrival to the end of the answer.";
	histogram_register(set, &entry->latency);
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
	/* A timer restarted by every request might never expire. */
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

static int is_full_service(const char *const *full_services, size_t count,
			   const char *service)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (!strcmp(full_services[i], service))
			return 1;
	return 0;
}

/*
 * Sends queued requests until no service has room. A request that was sent
 * or has ended left the queue, so the scan restarts after each one.
 */
static void serve_queue(struct entry *entry, uint32_t scan_max)
{
	const char *full_services[FULL_SERVICES_MAX] = { NULL };
	struct admission_item *item = NULL;
	size_t full_count = 0;
	uint32_t scanned = 0;

	while (scanned++ < scan_max) {
		struct request *request;

		item = admission_next(entry->admission, item, sysclock_now());
		if (!item)
			return;
		request = request_from_admission_item(item);
		if (is_full_service(full_services, full_count,
				    request->service))
			continue;
		if (request_try_send(request)) {
			item = NULL;
			full_count = 0;
			continue;
		}
		if (full_count == FULL_SERVICES_MAX)
			return;
		full_services[full_count++] = request->service;
	}
}

static void on_queue_timer(void *arg)
{
	serve_queue(arg, EVENT_SCAN_MAX);
}

int entry_config_known(const struct entry *entry)
{
	return !entry->daemon->store ||
	       configsync_is_loaded(entry->config_sync);
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

static void shed_expired(struct entry *entry, struct mstime now)
{
	struct admission_item *item;
	enum admission_verdict verdict;

	while ((item = admission_expired(entry->admission, now, &verdict)))
		request_shed(request_from_admission_item(item), verdict);
}

static int64_t list_length(const struct list *head)
{
	const struct list *pos;
	int64_t count = 0;

	list_for_each (pos, head)
		count++;
	return count;
}

/*
 * After a pause of this process all agents appear silent until their queued
 * announcements have been read.
 */
static void detect_pause(struct entry *entry, struct mstime now)
{
	if (entry->ticked_at.ms &&
	    mstime_diff(now, entry->ticked_at) > PROCESS_PAUSE_MS)
		entry->ignore_silence_until = mstime_add(now, PROCESS_PAUSE_MS);
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
	shed_expired(entry, now);
	entry_tick_attempts(entry, now);
	shared_streams_tick(entry, now);
	if (!mstime_before(now, entry->ignore_silence_until))
		membership_expire(&entry->membership, now);
	entry->counters[COUNT_QUEUE_LENGTH].value =
		admission_waiting(entry->admission);
	entry->counters[COUNT_REQUESTS_IN_FLIGHT].value =
		list_length(&entry->requests);
	/* All of it, so that a full service does not block the others. */
	serve_queue(entry, admission_waiting(entry->admission));
}

void entry_on_config(void *arg)
{
	struct entry *entry = arg;
	const struct config *config = &entry->daemon->config;

	/* The first read can complete before entry_new() has returned. */
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

static void init_core_modules(struct entry *entry)
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
	/* The lower half of the incarnation is random for each process. */
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

static void on_stop_timer(void *arg);

static void start_modules(struct entry *entry)
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
	init_core_modules(entry);
	add_counters(entry);
	entry->tick_timer = loop_timer_new(daemon->loop, on_tick, entry);
	entry->queue_timer =
		loop_timer_new(daemon->loop, on_queue_timer, entry);
	entry->stop_timer = loop_timer_new(daemon->loop, on_stop_timer, entry);
	if (!listen_all(entry)) {
		entry_delete(entry);
		return NULL;
	}
	start_modules(entry);
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

static int is_stop_complete(const struct entry *entry)
{
	return entry->owner_stopped && entry->registry_stopped &&
	       list_empty(&entry->requests) && list_empty(&entry->exchanges);
}

/*
 * Closes the listener and waits for a last time, so that requests on
 * connections accepted just before still get a response.
 */
static int stop_accepting(struct entry *entry)
{
	if (!entry->listener)
		return 0;
	entry_http_stop_accepting(entry);
	loop_timer_start(entry->stop_timer, STOP_ACCEPT_GRACE_MS);
	return 1;
}

/* Called when nothing seems to be left, and at the stop deadline. */
static void on_stop_timer(void *arg)
{
	struct entry *entry = arg;
	stopped_fn fn = entry->on_stopped;

	if (!fn)
		return;
	if (!is_stop_complete(entry) &&
	    mstime_before(sysclock_now(), entry->stop_deadline)) {
		loop_timer_start(
			entry->stop_timer,
			mstime_diff(entry->stop_deadline, sysclock_now()));
		return;
	}
	if (stop_accepting(entry))
		return;
	log_event(EV_ENTRY_STOPPED, "left=%lld",
		  (long long)list_length(&entry->requests));
	entry->on_stopped = NULL;
	fn(entry->on_stopped_arg);
}

/* Deferred: the calling code may still use what the callback deletes. */
void entry_check_stopped(struct entry *entry)
{
	if (entry->on_stopped && is_stop_complete(entry))
		loop_timer_start(entry->stop_timer,
				 entry->listener ? 0 : STOP_ACCEPT_GRACE_MS);
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
	int64_t stop_timeout_ms = entry->daemon->settings->stop_ms;

	entry->stopping = 1;
	entry->on_stopped = fn;
	entry->on_stopped_arg = arg;
	entry->stop_deadline = mstime_add(sysclock_now(), stop_timeout_ms);
	loop_timer_start(entry->stop_timer, stop_timeout_ms);
	registry_stop(entry->registry, on_registry_stopped, entry);
	owner_stop(entry->owner, on_owner_stopped, entry);
	shared_streams_stop(entry);
	entry_check_stopped(entry);
}
