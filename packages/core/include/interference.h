#ifndef CATKINHILL_INTERFERENCE_H
#define CATKINHILL_INTERFERENCE_H

#include <stddef.h>
#include <stdint.h>

#include "message.h"
#include "mstime.h"

/*
 * NAME
 *	interference - protects the service of one worker from batch tasks, and
 *	the worker from tasks that use more than they declared
 *
 * NOTES
 *	Called once a tick (about a second). The latency is compared with a
 *	baseline, one for each range of requests in progress; the excess is
 *	their relative difference. The baseline is learned while no task runs.
 *	With tasks it only falls, except that it rises slowly while all of them
 *	are at the floor, because they don't cause the rest of the excess.
 *
 *	Tasks of one class (first word of the command) share a throttle level
 *	in percent of full speed. The usage of a class is that of its tasks at
 *	full speed, from measurements that lag, times the level, which does not
 *	lag. Its blame is the weight of this usage in a least-squares fit of
 *	the excess, with exponential forgetting over minutes, and counts only
 *	if it is some standard errors above zero. When the excess is over the
 *	tolerance, the classes to blame are throttled at once, as far as the
 *	excess requires. If no class is to blame, all are throttled, but not
 *	below INTERFERENCE_SOFT_FLOOR_PERCENT; if that is not enough, one class
 *	at a time is throttled to the floor, the one with the highest upper
 *	bound of its effect first, which shows which class causes the excess. A
 *	level rises only INTERFERENCE_RESTORE_DELAY_MS after it was cut, which
 *	is longer than the lag, and only by as much as the fit predicts to be
 *	tolerable.
 *
 *	A task is evicted when its class has been at or below the soft floor
 *	for a bounded time and is still to blame while the excess is over the
 *	tolerance, or when the measured memory is over the capacity; one at a
 *	time, with time for the measurements to follow. When all classes are
 *	at the floor, one is to blame only if a probe has shown it
 *	(interference_probe.h). A protected task is not evicted for latency,
 *	and for memory only if no other is left.
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
/* Shorter latencies count as equal: the clock resolution is 1 ms. */
#define INTERFERENCE_LATENCY_MIN_US 2000
#define INTERFERENCE_CLASSES_MAX 16
/* One for each class, and one for the excess that no task causes. */
#define INTERFERENCE_WEIGHT_COUNT (INTERFERENCE_CLASSES_MAX + 1)
#define INTERFERENCE_LOAD_RANGES 6
#define INTERFERENCE_LAG_TICKS 5 /* assumed lag of the usage, in ticks */

enum interference_reason {
	INTERFERENCE_NONE,
	INTERFERENCE_LATENCY,
	INTERFERENCE_CPU,
	INTERFERENCE_MEMORY,
	INTERFERENCE_RESTORED,
	INTERFERENCE_REASON_COUNT
};

/* Embedded in the caller's task; must be zeroed initially. */
struct interference_task {
	uint64_t class_key; /* interference_class_key() */
	struct resources declared, used;
	int is_running;		  /* other tasks are ignored */
	int is_protected;	  /* its job was evicted a short time ago */
	uint32_t level_percent;	  /* of full speed; 0 before the first tick */
	int must_evict;		  /* must be stopped with a checkpoint */
	int is_level_changed;	  /* since the last tick */
	uint32_t cpu_cap_percent; /* set while over the capacity; 0: none */
	uint32_t is_memory_throttled; /* so it is at the floor */
	struct mstime cpu_cap_changed_at;
	double demand_cpu_milli; /* CPU use at full speed */
	uint32_t past_percent[INTERFERENCE_LAG_TICKS]; /* in past ticks */
	enum interference_reason reason;
};

struct interference_sample {
	double latency_us; /* mean of these requests */
	uint32_t requests; /* answered since the last tick */
	uint32_t in_progress;
	struct resources capacity;
	int64_t weight_latency, weight_eviction; /* percent */
};

struct interference_class {
	uint64_t key;
	uint32_t task_count;  /* running in this tick */
	double demand_share;  /* CPU use at full speed / capacity */
	double usage_share;   /* the same at the current level */
	double level_percent; /* percent of full speed; 0: unused entry */
	struct mstime cut_at, raised_at, used_at;
	struct mstime soft_floor_since; /* at or under the soft floor */
	int at_floor;
	int had_tasks; /* in the previous tick */
	int has_probe_result;
	double excess_share; /* at the floor, by the last probe */
	struct mstime probed_at;
};

struct interference_baseline {
	double latency_us;
	double samples;
};

struct interference {
	struct interference_baseline baseline[INTERFERENCE_LOAD_RANGES];
	struct interference_class classes[INTERFERENCE_CLASSES_MAX];
	/* Recursive least squares: weights, covariance, error variance. */
	double weight[INTERFERENCE_WEIGHT_COUNT];
	double covariance[INTERFERENCE_WEIGHT_COUNT][INTERFERENCE_WEIGHT_COUNT];
	double error_variance;
	uint32_t ticks;
	double excess;		   /* over the baseline, smoothed; 0: equal */
	double long_term_excess;   /* the same with a longer time constant */
	double effective_requests; /* behind the excess */
	double tolerance;	   /* highest excess without throttling */
	/* Largest excess before all were at the floor; decays. */
	double peak_excess;
	/* Ticks in a row over the tolerance with a level above the floor. */
	uint32_t ticks_over;
	struct mstime level_changed_at; /* last change of any level */
	int is_settled; /* all at the floor for longer than the lag */
	struct interference_class *probed_class; /* or NULL */
	double excess_before_probe;
	struct mstime last_trial_at; /* last cut while no class was to blame */
	struct mstime evicted_at;
	int has_evicted;	    /* evicted_at is set */
	uint32_t ticks_over_memory; /* consecutive ticks over the capacity */
};

void interference_init(struct interference *in);

/* RETURN VALUE: key of the class of a command. */
uint64_t interference_class_key(const char *command);

/*
 * Sets level_percent, must_evict, is_level_changed and reason of each task.
 */
void interference_tick(struct interference *in,
		       const struct interference_sample *sample,
		       struct interference_task **tasks, size_t count,
		       struct mstime now);

/*
 * RETURN VALUE
 *	Blame of the class: excess for a usage of the whole worker's capacity;
 *	0 if it is not significantly above zero.
 */
double interference_blame(const struct interference *in, uint64_t class_key);

/* RETURN VALUE: standard error of the excess. */
double interference_excess_error(const struct interference *in);

const char *interference_reason_name(enum interference_reason reason);

#endif
