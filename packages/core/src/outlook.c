#include "outlook.h"

#include <string.h>

#include "dispatch_internal.h"
#include "hash.h"
#include "mem.h"

/* Least time until a refused workflow may return, and the longest. */
#define RETRY_MIN_MS 1000
#define RETRY_MAX_MS 30000
/* Estimates are rough: refused is what would end later by this share. */
#define MARGIN_PERCENT 25
/*
 * Least rate, of the workers' room: little may have ended for other reasons
 * than slow work, such as a scheduler that was just elected.
 */
#define RATE_MIN_PERCENT 50
#define SLOT_MS 1000

const struct outlook_service *outlook_find(const struct outlook *outlook,
					   const char *name)
{
	size_t i;

	for (i = 0; i < outlook->count; i++)
		if (!strcmp(outlook->services[i].name, name))
			return &outlook->services[i];
	return NULL;
}

struct outlook_service *outlook_get(struct outlook *outlook, const char *name)
{
	const struct outlook_service *found = outlook_find(outlook, name);
	struct outlook_service *service;

	if (found)
		return &outlook->services[found - outlook->services];
	if (outlook->count == OUTLOOK_SERVICES_MAX)
		return NULL;
	service = &outlook->services[outlook->count];
	memset(service, 0, sizeof(*service));
	if (str_copy(service->name, name, sizeof(service->name)))
		return NULL;
	outlook->count++;
	return service;
}

static size_t priority_index(uint32_t priority)
{
	return priority < OUTLOOK_PRIORITIES_MAX ? priority
						 : OUTLOOK_PRIORITIES_MAX - 1;
}

/* Upper bound of the due times of a class; the last one has none. */
static int64_t class_end_ms(size_t class)
{
	return class + 1 < OUTLOOK_DUE_CLASSES ? (int64_t)1000 << class
					       : INT64_MAX;
}

void outlook_add_waiting(struct outlook_service *service, uint32_t priority,
			 int is_late, int64_t due_ms, int64_t work)
{
	struct outlook_waiting *waiting =
		&service->waiting[priority_index(priority)];
	size_t class = 0;

	if (is_late) {
		waiting->late += work;
		return;
	}
	while (class_end_ms(class) < due_ms)
		class ++;
	waiting->due[class] += work;
}

static int64_t all_waiting(const struct outlook_waiting *waiting)
{
	int64_t work = waiting->late;
	size_t i;

	for (i = 0; i < OUTLOOK_DUE_CLASSES; i++)
		work += waiting->due[i];
	return work;
}

/* What is certainly due before the time. */
static int64_t due_before(const struct outlook_waiting *waiting, int64_t due_ms)
{
	int64_t work = 0;
	size_t i;

	for (i = 0; i < OUTLOOK_DUE_CLASSES && class_end_ms(i) <= due_ms; i++)
		work += waiting->due[i];
	return work;
}

/*
 * Work that is assigned before that of the demand. The last row holds several
 * priorities, of which it is not known which come first.
 */
static int64_t work_before(const struct outlook_service *service,
			   const struct outlook_demand *demand)
{
	size_t i, own = priority_index(demand->priority);
	int64_t work = 0;

	for (i = 0; i < own; i++)
		work += all_waiting(&service->waiting[i]);
	if (demand->priority < OUTLOOK_PRIORITIES_MAX - 1)
		work += due_before(&service->waiting[own],
				   demand->objective_ms);
	return work;
}

static int64_t rate_of(const struct outlook_service *service)
{
	int64_t least = service->capacity_milli * RATE_MIN_PERCENT / 100;

	return service->rate_milli > least ? service->rate_milli : least;
}

static int has_room(const struct outlook_service *service,
		    const struct outlook_demand *demand)
{
	return demand->free_milli <= service->free_milli ||
	       demand->spare_milli <= service->spare_milli;
}

struct outlook_estimate outlook_estimate(const struct outlook *outlook,
					 const struct outlook_demand *demand,
					 int64_t age_ms)
{
	const struct outlook_service *service =
		outlook_find(outlook, demand->service);
	struct outlook_estimate estimate = { .end_ms = demand->path_ms };
	int64_t limit_ms = demand->objective_ms * OUTLOOK_WORTH_FACTOR;
	int64_t rate, wait_ms;

	if (!service || !demand->objective_ms || has_room(service, demand))
		return estimate;
	rate = rate_of(service);
	if (rate <= 0)
		return estimate;
	wait_ms = work_before(service, demand) / rate - age_ms;
	if (wait_ms > 0)
		estimate.end_ms += wait_ms;
	if (estimate.end_ms <= limit_ms + limit_ms * MARGIN_PERCENT / 100)
		return estimate;
	estimate.retry_ms = estimate.end_ms - limit_ms;
	if (estimate.retry_ms < RETRY_MIN_MS)
		estimate.retry_ms = RETRY_MIN_MS;
	if (estimate.retry_ms > RETRY_MAX_MS)
		estimate.retry_ms = RETRY_MAX_MS;
	return estimate;
}

int outlook_is_short(const struct outlook *outlook)
{
	return outlook->count > 0;
}

static int has_deadline(const struct workflow *workflow)
{
	const struct workflow_spec *spec = &workflow->spec;
	size_t i;

	for (i = 0; i < spec->step_count; i++)
		if (spec->steps[i].long_running)
			return 0;
	return spec->occurrences <= 1 && !spec->first_due_ms &&
	       !spec->interval_ms;
}

void outlook_demand_of(const struct workflow *workflow,
		       struct outlook_demand *demand)
{
	size_t i;

	memset(demand, 0, sizeof(*demand));
	demand->service = workflow->queue.service;
	demand->priority = workflow->queue.priority;
	demand->path_ms = workflow->critical_path_ms;
	demand->free_milli = demand->spare_milli = UINT32_MAX;
	if (has_deadline(workflow))
		demand->objective_ms = dispatch_objective_ms(workflow);
	for (i = 0; i < workflow->spec.step_count; i++) {
		const struct workflow_step *step = &workflow->spec.steps[i];
		uint32_t *least = step->best_effort ? &demand->spare_milli
						    : &demand->free_milli;

		if (!step->dependency_count && step->need.cpu_milli < *least)
			*least = step->need.cpu_milli;
	}
}

int outlook_retry_after_s(const char *job, int64_t from_ms, int64_t spread_ms)
{
	int64_t from_s = (from_ms + 999) / 1000, spread_s = spread_ms / 1000;

	if (from_s < 1)
		from_s = 1;
	if (spread_s < 0)
		spread_s = 0;
	return (int)(from_s +
		     (int64_t)(hash_str(job) % (uint64_t)(spread_s + 1)));
}

/* Empties the slots of the seconds that have passed. */
static void advance(struct outlook_meter *meter, struct mstime now)
{
	int64_t slot = now.ms / SLOT_MS;
	size_t i;

	if (!meter->first_slot)
		meter->first_slot = meter->slot_number = slot;
	if (slot - meter->slot_number > OUTLOOK_RATE_SLOTS)
		meter->slot_number = slot - OUTLOOK_RATE_SLOTS;
	while (meter->slot_number < slot) {
		meter->slot_number++;
		for (i = 0; i < meter->count; i++)
			meter->rows[i]
				.work[meter->slot_number % OUTLOOK_RATE_SLOTS] =
				0;
	}
}

static struct outlook_meter_row *find_row(struct outlook_meter *meter,
					  const char *service)
{
	size_t i;

	for (i = 0; i < meter->count; i++)
		if (!strcmp(meter->rows[i].service, service))
			return &meter->rows[i];
	return NULL;
}

void outlook_meter_add(struct outlook_meter *meter, const char *service,
		       int64_t work, struct mstime now)
{
	struct outlook_meter_row *row;

	advance(meter, now);
	row = find_row(meter, service);
	if (!row && meter->count < OUTLOOK_SERVICES_MAX) {
		row = &meter->rows[meter->count++];
		memset(row, 0, sizeof(*row));
		str_copy(row->service, service, sizeof(row->service));
	}
	if (row)
		row->work[meter->slot_number % OUTLOOK_RATE_SLOTS] += work;
}

int64_t outlook_meter_rate(struct outlook_meter *meter, const char *service,
			   struct mstime now)
{
	const struct outlook_meter_row *row;
	int64_t work = 0, slots;
	int i;

	advance(meter, now);
	row = find_row(meter, service);
	/* The current second is not over. */
	slots = meter->slot_number - meter->first_slot;
	if (slots > OUTLOOK_RATE_SLOTS - 1)
		slots = OUTLOOK_RATE_SLOTS - 1;
	if (!row || slots < 1)
		return 0;
	for (i = 1; i <= slots; i++)
		work += row->work[(meter->slot_number - i) %
				  OUTLOOK_RATE_SLOTS];
	return work / (slots * SLOT_MS);
}
