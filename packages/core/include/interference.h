#ifndef CATKINHILL_INTERFERENCE_H
#define CATKINHILL_INTERFERENCE_H

#include <stddef.h>
#include <stdint.h>

#include "message.h"
#include "mstime.h"

/*
 * NAME
 *	interference - protects the service of one worker from batch tasks, and
 *	the worker from tasks that grow over what they declared
 *
 * NOTES
 *	Called once a tick (about a second). The latency is compared with a
 *	baseline, kept for each range of requests in progress. The baseline is
 *	learned while no task runs; with tasks it only falls, and it rises
 *	slowly while all of them are at the floor, because what is left then
 *	is not theirs.
 *
 *	Tasks of one class (first word of the command) share a level. The use
 *	of a class is the use of its tasks at full speed, known from the
 *	lagging measurements, times the level, which has no lag. Its blame is
 *	the weight of this use in a least-squares fit of the excess latency,
 *	with forgetting over minutes, and counts only when it is some standard
 *	errors above zero. When the slack is used up, the classes to blame are
 *	throttled at once, as far as the excess asks for. Without such a class
 *	all are, but not below INTERFERENCE_SOFT_FLOOR_PERCENT; if that is not
 *enough, one class at a time goes to the floor, the most suspicious first,
 *	which shows whose the excess is. A level rises only
 *	INTERFERENCE_RESTORE_DELAY_MS after it was cut, which is longer than the
 *	lag, and by what the fit leaves room for.
 *
 *	A task is evicted when its class has been held down for a bounded time
 *	and is still to blame while the slack is used up, or when the observed
 *	memory is over the capacity; one at a time, with time for the
 *	measurements to follow. When all classes are at the floor, one is to
 *	blame only if a probe has proved it (interference_probe.h). A protected
 *task is not evicted for latency, and for memory only when no other is left.
 *
 * SOURCE
 *	Lo et al., Heracles, ISCA 2015 (slack, throttle at once and restore
 *	slowly); Chen, Delimitrou and Martinez, PARTIES, ASPLOS 2019 (one
 *	change at a time while restoring); Zhang et al., CPI2, EuroSys 2013
 *	(blame by correlation of usage, with a confidence).
 */
#define INTERFERENCE_FLOOR_PERCENT 10
#define INTERFERENCE_SOFT_FLOOR_PERCENT 50
#define INTERFERENCE_LAG_MS 5000
#define INTERFERENCE_RESTORE_DELAY_MS 10000
/* Shorter latencies count as equal: the clock has milliseconds. */
#define INTERFERENCE_LATENCY_MIN_US 2000
#define INTERFERENCE_CLASSES_MAX 16
/* One a class, and the excess that is no task's. */
#define INTERFERENCE_WEIGHT_COUNT (INTERFERENCE_CLASSES_MAX + 1)
#define INTERFERENCE_LOAD_RANGES 6
#define INTERFERENCE_LAG_TICKS 5 /* ticks that usage is assumed to lag */

enum interference_reason {
	INTERFERENCE_NONE,
	INTERFERENCE_LATENCY,
	INTERFERENCE_CPU,
	INTERFERENCE_MEMORY,
	INTERFERENCE_RESTORED,
	INTERFERENCE_REASON_COUNT
};

/* Embedded in the user's task, zeroed at first. */
struct interference_task {
	uint64_t class_key; /* interference_class_key() */
	struct resources declared, used;
	int is_running;		/* a task that does not run is passed over */
	int is_protected;	/* was evicted a short time ago */
	uint32_t level_percent; /* decided throttle; 0 before the first tick */
	int must_evict;		/* decided: stop it with a checkpoint */
	int is_level_changed;	/* percent differs from the last tick */
	uint32_t cpu_cap_percent;     /* cap for processors over the capacity */
	uint32_t is_memory_throttled; /* held at the floor for its memory */
	struct mstime cpu_cap_changed_at;
	double demand_cpu_milli; /* processors at full speed */
	uint32_t past_percent[INTERFERENCE_LAG_TICKS]; /* percent of past ticks
							*/
	enum interference_reason reason;
};

struct interference_sample {
	double latency_us; /* mean of the requests since the last tick */
	uint32_t requests; /* that were answered since the last tick */
	uint32_t in_progress;
	struct resources capacity;
	int64_t weight_latency, weight_eviction; /* percent */
};

struct interference_class {
	uint64_t key;
	uint32_t task_count;  /* running at this tick */
	double demand_share;  /* of the tasks at full speed, part of capacity */
	double usage_share;   /* the same at the present throttle */
	double level_percent; /* percent */
	struct mstime cut_at, raised_at, used_at;
	struct mstime soft_floor_since; /* at or under the soft floor */
	int at_floor;
	int has_probe_result;
	double excess_share; /* of the excess at the floor, by the last probe */
	struct mstime probed_at;
};

struct interference_baseline {
	double latency_us;
	double samples;
};

struct interference {
	struct interference_baseline baseline[INTERFERENCE_LOAD_RANGES];
	struct interference_class classes[INTERFERENCE_CLASSES_MAX];
	/* Least squares: weights, covariance and variance of the error. */
	double weight[INTERFERENCE_WEIGHT_COUNT];
	double covariance[INTERFERENCE_WEIGHT_COUNT][INTERFERENCE_WEIGHT_COUNT];
	double error_variance;
	uint32_t ticks;
	double excess; /* latency over the baseline, smoothed; 0: equal */
	double long_term_excess;   /* the same over a longer time */
	double effective_requests; /* requests behind the excess */
	double tolerance;
	double peak_excess;		/* when all were last cut */
	struct mstime level_changed_at; /* the last level of any class */
	int is_settled; /* all at the floor, and the latency shows it */
	struct interference_class *probed_class; /* or NULL */
	double excess_before_probe;		 /* when the probe began */
	struct mstime last_trial_at;
	struct mstime evicted_at;
	int has_evicted;
	uint32_t ticks_over_memory; /* in a row over the memory */
};

void interference_init(struct interference *in);

/* RETURN VALUE: the key of the class that the command belongs to. */
uint64_t interference_class_key(const char *command);

/* Decides percent, evict, changed and reason of each task. */
void interference_tick(struct interference *in,
		       const struct interference_sample *sample,
		       struct interference_task **tasks, size_t count,
		       struct mstime now);

/*
 * RETURN VALUE
 *	Blame of the class: excess latency for the use of the whole worker; 0
 *	without confidence.
 */
double interference_blame(const struct interference *in, uint64_t class_key);

/* RETURN VALUE: standard error of the excess. */
double interference_excess_error(const struct interference *in);

const char *interference_reason_name(enum interference_reason reason);

#endif
