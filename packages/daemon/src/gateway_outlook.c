#include <string.h>

#include "errors.h"
#include "gateway_internal.h"
#include "log.h"
#include "outlook.h"
#include "sysclock.h"

#define READ_INTERVAL_MS 1000
/* Priorities among which the time of return is divided. */
#define RETURN_CLASSES 4

static void take_copy(struct gateway_outlook *copy, const struct kv_item *item)
{
	if (item->revision == copy->revision)
		return;
	copy->revision = item->revision;
	copy->older_at = copy->read_at;
	if (!item->value ||
	    outlook_decode(item->value, item->len, &copy->outlook))
		copy->outlook.count = 0;
}

static void on_outlook_read(void *arg, const struct kv_result *result)
{
	struct gateway_outlook *copy = arg;

	copy->in_flight = 0;
	if (result->err && result->err != ERR_NOT_FOUND)
		return;
	if (result->err || !result->count) {
		copy->revision = 0;
		copy->outlook.count = 0;
	} else {
		take_copy(copy, &result->items[0]);
	}
	copy->read_at = copy->sent_at;
}

static void refresh(struct gateway *gateway, struct mstime now)
{
	struct gateway_outlook *copy = &gateway->outlook;

	if (copy->in_flight ||
	    (copy->sent_at.ms &&
	     mstime_diff(now, copy->sent_at) < READ_INTERVAL_MS))
		return;
	copy->in_flight = 1;
	copy->sent_at = now;
	kv_get(gateway->kv, OUTLOOK_KEY, on_outlook_read, copy);
}

/*
 * The copy was written after the last read that did not have it; before the
 * first read its age is not known.
 */
static int is_fresh(const struct gateway_outlook *copy, int64_t max_age_ms,
		    struct mstime now, int64_t *age_ms)
{
	if (!copy->revision || !copy->older_at.ms)
		return 0;
	*age_ms = mstime_diff(now, copy->older_at);
	return *age_ms <= max_age_ms;
}

int64_t gateway_outlook_retry_ms(struct job_request *req,
				 struct workflow *workflow)
{
	struct gateway *gateway = req->gateway;
	int64_t max_age_ms = gateway->daemon->settings->outlook_age_ms;
	struct mstime now = sysclock_now();
	struct outlook_estimate estimate;
	struct outlook_demand demand;
	int64_t age_ms = 0;

	if (!max_age_ms)
		return 0;
	refresh(gateway, now);
	if (!is_fresh(&gateway->outlook, max_age_ms, now, &age_ms))
		return 0;
	gateway->outlook_age.value = age_ms;
	workflow->critical_path_ms = workflow_critical_path_ms(workflow);
	outlook_demand_of(workflow, &demand);
	estimate = outlook_estimate(&gateway->outlook.outlook, &demand, age_ms);
	if (estimate.retry_ms)
		log_event(EV_WORKFLOW_NO_ROOM,
			  "job=%s queue=%s objective_ms=%lld end_ms=%lld "
			  "outlook_age_ms=%lld outlook=%lld",
			  req->job, req->queue.name,
			  (long long)demand.objective_ms,
			  (long long)estimate.end_ms, (long long)age_ms,
			  (long long)gateway->outlook.revision);
	return estimate.retry_ms;
}

void gateway_refuse_for_room(struct job_request *req)
{
	req->gateway->refused_for_room.value++;
	job_request_refuse(req, 429, "no-room",
			   outlook_retry_after_s(req->job, req->no_room_ms,
						 req->no_room_ms));
}

int gateway_store_retry_s(const struct job_request *req)
{
	int64_t spread_ms = req->gateway->daemon->settings->retry_spread_ms;
	uint32_t class = req->queue.priority;

	if (!req->record || !spread_ms)
		return STORE_RETRY_AFTER_S;
	if (class >= RETURN_CLASSES)
		class = RETURN_CLASSES - 1;
	spread_ms /= RETURN_CLASSES;
	return outlook_retry_after_s(
		req->job, STORE_RETRY_AFTER_S * 1000 + class * spread_ms,
		spread_ms);
}
