#include "colocation.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "mem.h"

#define IMAGES_MAX COLOCATION_IMAGES_MAX

/*
 * Loads and neighbours of one serving image that are estimated at a time. Must
 * be more than one measurement can involve.
 */
#define STATES_MAX 96

#define LOAD_SLOTS 256

/* Own load: pressure before the first measurement; drift per second. */
#define LOAD_INITIAL 0.4
#define LOAD_DEVIATION 0.2
#define LOAD_DRIFT 0.12
/* The same for the weight of a core; small, as most pairs hardly interfere. */
#define WEIGHT_INITIAL 0.004
#define WEIGHT_DEVIATION 0.025
#define WEIGHT_DRIFT 0.002
#define WEIGHT_MAX 0.5
/* Margin of an upper bound, in standard deviations. */
#define UPPER_BOUND_DEVIATIONS 0.5
#define WEIGHT_UPPER_INITIAL                                                   \
	(WEIGHT_INITIAL + UPPER_BOUND_DEVIATIONS * WEIGHT_DEVIATION)
/* Standard deviation of a pressure derived from one latency. */
#define MEASUREMENT_DEVIATION 0.07
/* Larger errors are clamped to this, in standard deviations. */
#define ERROR_DEVIATIONS_MAX 3.0
/* Latency without load until a lower one is measured; its lower bound. */
#define BASE_INITIAL 0.25
#define BASE_MIN 0.05
#define PRESSURE_MAX 0.98
/* A weight that is known this well tells a harmless pair from another one. */
#define WEIGHT_KNOWN_DEVIATION 0.015
/* Least deviation of an imported weight, so that measurements change it. */
#define WEIGHT_IMPORT_DEVIATION 0.01
/* Older estimates are not exported. */
#define EXPORT_AGE_MAX_MS (10 * 60 * 1000)
/* Above this, a latency is no measure of the pressure. */
#define PRESSURE_SATURATED 0.92

enum state_kind {
	STATE_LOAD,
	STATE_WEIGHT
};

struct state {
	enum state_kind kind;
	uint64_t id; /* key of the load, or index of the neighbour's image */
	double value;
	struct mstime at; /* time of the last measurement */
};

/* Response of a serving image's latency to its loads and its neighbours. */
struct response {
	double base; /* latency without load; 0: none measured */
	int count;
	struct state states[STATES_MAX];
	/* Position of a neighbour's weight in states, plus 1; 0: none. */
	unsigned char weight_at[IMAGES_MAX];
	/* Likely positions of loads, by their keys. */
	unsigned char load_at[LOAD_SLOTS];
	double weight_upper[IMAGES_MAX]; /* by neighbour */
	double covariance[STATES_MAX][STATES_MAX];
	struct mstime at; /* time up to which the covariance includes drift */
};

struct colocation {
	char *names[IMAGES_MAX];
	int count;
	struct response *responses[IMAGES_MAX]; /* by serving image */
};

/* Input of the filter for one measurement; share is 0 for other states. */
struct measurement {
	double share[STATES_MAX];
	int used[STATES_MAX]; /* states with a share */
	int used_count;
	double gain[STATES_MAX]; /* covariance of state and measurement */
	double predicted, variance;
};

static double square(double value)
{
	return value * value;
}

static double clamp(double value, double low, double high)
{
	if (value < low)
		return low;
	return value > high ? high : value;
}

struct colocation *colocation_new(void)
{
	return xcalloc(1, sizeof(struct colocation));
}

void colocation_delete(struct colocation *colocation)
{
	int i;

	if (!colocation)
		return;
	for (i = 0; i < colocation->count; i++) {
		free(colocation->names[i]);
		free(colocation->responses[i]);
	}
	free(colocation);
}

int colocation_image_index(struct colocation *colocation, const char *name)
{
	int i;

	if (!name)
		return -1;
	for (i = 0; i < colocation->count; i++)
		if (!strcmp(colocation->names[i], name))
			return i;
	if (colocation->count == IMAGES_MAX)
		return -1;
	colocation->names[colocation->count] = xstrdup(name);
	return colocation->count++;
}

static const struct response *response_of(const struct colocation *colocation,
					  int serving)
{
	return serving < 0 ? NULL : colocation->responses[serving];
}

static struct response *get_response(struct colocation *colocation, int serving)
{
	struct response *response = colocation->responses[serving];
	int i;

	if (response)
		return response;
	response = xcalloc(1, sizeof(*response));
	for (i = 0; i < IMAGES_MAX; i++)
		response->weight_upper[i] = WEIGHT_UPPER_INITIAL;
	colocation->responses[serving] = response;
	return response;
}

static double base_of(const struct response *response)
{
	return response && response->base > 0 ? response->base : BASE_INITIAL;
}

static double pressure_at(const struct response *response, double latency)
{
	double base = base_of(response);

	if (latency <= base)
		return 0;
	return clamp(1 - base / latency, 0, PRESSURE_MAX);
}

double colocation_pressure_at(const struct colocation *colocation, int serving,
			      double latency)
{
	return pressure_at(response_of(colocation, serving), latency);
}

static int is_load(const struct response *response, int i, uint64_t id)
{
	return i < response->count && response->states[i].id == id &&
	       response->states[i].kind == STATE_LOAD;
}

static int find_load(const struct response *response, uint64_t id)
{
	int i, likely;

	if (!response)
		return -1;
	likely = response->load_at[id % LOAD_SLOTS];
	if (is_load(response, likely, id))
		return likely;
	for (i = 0; i < response->count; i++)
		if (is_load(response, i, id))
			return i;
	return -1;
}

static int find_weight(const struct response *response, int neighbour)
{
	return response && neighbour >= 0 ? response->weight_at[neighbour] - 1
					  : -1;
}

static int find_state(const struct response *response, enum state_kind kind,
		      uint64_t id)
{
	return kind == STATE_LOAD ? find_load(response, id)
				  : find_weight(response, (int)id);
}

double colocation_own_pressure(const struct colocation *colocation, int serving,
			       uint64_t load_group)
{
	const struct response *response = response_of(colocation, serving);
	int i = find_load(response, load_group);

	return i < 0 ? LOAD_INITIAL : response->states[i].value;
}

double colocation_weight(const struct colocation *colocation, int neighbour,
			 int serving)
{
	const struct response *response = response_of(colocation, serving);
	int i = find_weight(response, neighbour);

	return i < 0 ? WEIGHT_INITIAL : response->states[i].value;
}

double colocation_weight_upper(const struct colocation *colocation,
			       int neighbour, int serving)
{
	const struct response *response = response_of(colocation, serving);

	return response && neighbour >= 0 ? response->weight_upper[neighbour]
					  : WEIGHT_UPPER_INITIAL;
}

/* Estimates are read far more often than they change. */
static void update_upper_bounds(struct response *response)
{
	int i;

	for (i = 0; i < response->count; i++) {
		const struct state *state = &response->states[i];

		if (state->kind == STATE_WEIGHT)
			response->weight_upper[state->id] =
				state->value +
				UPPER_BOUND_DEVIATIONS *
					sqrt(response->covariance[i][i]);
	}
}

/* Returns the least recently measured state, which is replaced by a new one. */
static int oldest_state(const struct response *response)
{
	int i, oldest = 0;

	for (i = 1; i < response->count; i++)
		if (mstime_before(response->states[i].at,
				  response->states[oldest].at))
			oldest = i;
	return oldest;
}

static int add_state(struct response *response, enum state_kind kind,
		     uint64_t id)
{
	int at = response->count < STATES_MAX ? response->count++
					      : oldest_state(response);
	struct state *state = &response->states[at];
	int i;

	if (state->kind == STATE_WEIGHT) {
		response->weight_at[state->id] = 0;
		response->weight_upper[state->id] = WEIGHT_UPPER_INITIAL;
	}
	if (kind == STATE_WEIGHT)
		response->weight_at[id] = (unsigned char)(at + 1);
	else
		response->load_at[id % LOAD_SLOTS] = (unsigned char)at;
	for (i = 0; i < STATES_MAX; i++)
		response->covariance[at][i] = response->covariance[i][at] = 0;
	state->kind = kind;
	state->id = id;
	state->value = kind == STATE_LOAD ? LOAD_INITIAL : WEIGHT_INITIAL;
	response->covariance[at][at] =
		square(kind == STATE_LOAD ? LOAD_DEVIATION : WEIGHT_DEVIATION);
	return at;
}

static int get_state(struct response *response, enum state_kind kind,
		     uint64_t id, struct mstime now)
{
	int at = find_state(response, kind, id);

	if (at < 0)
		at = add_state(response, kind, id);
	response->states[at].at = now;
	return at;
}

/* Increases the variances: estimates get less certain with time. */
static void add_drift(struct response *response, struct mstime now)
{
	double elapsed_s =
		response->at.ms
			? (double)mstime_diff(now, response->at) / 1000.0
			: 0;
	int i;

	response->at = now;
	for (i = 0; i < response->count; i++) {
		int is_load = response->states[i].kind == STATE_LOAD;

		response->covariance[i][i] +=
			square(is_load ? LOAD_DRIFT : WEIGHT_DRIFT) * elapsed_s;
	}
}

static void predict(const struct response *response,
		    struct measurement *measurement)
{
	int i, k;

	measurement->predicted = 0;
	measurement->variance = square(MEASUREMENT_DEVIATION);
	for (k = 0; k < measurement->used_count; k++) {
		const double *row = response->covariance[measurement->used[k]];
		double share = measurement->share[measurement->used[k]];

		for (i = 0; i < response->count; i++)
			measurement->gain[i] += row[i] * share;
	}
	for (k = 0; k < measurement->used_count; k++) {
		i = measurement->used[k];
		measurement->predicted +=
			measurement->share[i] * response->states[i].value;
		measurement->variance +=
			measurement->share[i] * measurement->gain[i];
	}
}

static void update(struct response *response,
		   const struct measurement *measurement, double pressure)
{
	double bound = ERROR_DEVIATIONS_MAX * sqrt(measurement->variance);
	double error = clamp(pressure - measurement->predicted, -bound, bound);
	int i, k;

	for (i = 0; i < response->count; i++) {
		struct state *state = &response->states[i];

		state->value +=
			measurement->gain[i] / measurement->variance * error;
		state->value = clamp(state->value, 0,
				     state->kind == STATE_LOAD ? PRESSURE_MAX
							       : WEIGHT_MAX);
	}
	for (i = 0; i < response->count; i++) {
		double *row = response->covariance[i];
		double factor = measurement->gain[i] / measurement->variance;

		for (k = 0; k < response->count; k++)
			row[k] -= factor * measurement->gain[k];
	}
}

static void add_share(struct measurement *measurement, int state, double share)
{
	measurement->share[state] = share;
	measurement->used[measurement->used_count++] = state;
}

void colocation_observe(struct colocation *colocation, int serving,
			uint64_t load_group, double latency,
			const struct neighbour *neighbours, int count,
			struct mstime now)
{
	struct response *response;
	struct measurement measurement = { .predicted = 0 };
	double pressure;
	int i;

	if (serving < 0 || latency <= 0)
		return;
	response = get_response(colocation, serving);
	if (latency < base_of(response))
		response->base = clamp(latency, BASE_MIN, BASE_INITIAL);
	add_drift(response, now);
	add_share(&measurement,
		  get_state(response, STATE_LOAD, load_group, now), 1);
	for (i = 0; i < count; i++)
		if (neighbours[i].image >= 0)
			add_share(&measurement,
				  get_state(response, STATE_WEIGHT,
					    (uint64_t)neighbours[i].image, now),
				  neighbours[i].cores);
	predict(response, &measurement);
	pressure = pressure_at(response, latency);
	if (pressure <= PRESSURE_SATURATED ||
	    measurement.predicted <= PRESSURE_SATURATED)
		update(response, &measurement, pressure);
	update_upper_bounds(response);
}

static double weight_deviation(const struct response *response, int state)
{
	return sqrt(response->covariance[state][state]);
}

int colocation_is_known(const struct colocation *colocation, int neighbour,
			int serving)
{
	const struct response *response = response_of(colocation, serving);
	int i = find_weight(response, neighbour);

	return i >= 0 &&
	       weight_deviation(response, i) <= WEIGHT_KNOWN_DEVIATION;
}

static void export_response(const struct colocation *colocation, int serving,
			    struct mstime now, colocation_pair_fn fn, void *arg)
{
	const struct response *response = colocation->responses[serving];
	int i;

	for (i = 0; i < response->count; i++) {
		const struct state *state = &response->states[i];
		struct colocation_pair pair = {
			.serving = colocation->names[serving],
			.base = response->base,
			.weight = state->value,
		};

		if (state->kind != STATE_WEIGHT ||
		    mstime_diff(now, state->at) > EXPORT_AGE_MAX_MS ||
		    !colocation_is_known(colocation, (int)state->id, serving))
			continue;
		pair.neighbour = colocation->names[state->id];
		pair.deviation = weight_deviation(response, i);
		fn(arg, &pair);
	}
}

void colocation_export(const struct colocation *colocation, struct mstime now,
		       colocation_pair_fn fn, void *arg)
{
	int i;

	for (i = 0; i < colocation->count; i++)
		if (colocation->responses[i])
			export_response(colocation, i, now, fn, arg);
}

static int pair_is_valid(const struct colocation_pair *pair)
{
	return isfinite(pair->base) && isfinite(pair->weight) &&
	       isfinite(pair->deviation) && pair->base >= 0 &&
	       pair->weight >= 0 && pair->weight <= WEIGHT_MAX &&
	       pair->deviation >= 0;
}

int colocation_import(struct colocation *colocation,
		      const struct colocation_pair *pair, struct mstime now)
{
	int serving = colocation_image_index(colocation, pair->serving);
	int neighbour = colocation_image_index(colocation, pair->neighbour);
	struct response *response;
	double deviation;
	int at;

	if (!pair_is_valid(pair))
		return ERR_INVALID;
	if (serving < 0 || neighbour < 0)
		return ERR_TOO_LARGE;
	if (colocation_is_known(colocation, neighbour, serving))
		return 0;
	response = get_response(colocation, serving);
	if (pair->base > 0 && pair->base < base_of(response))
		response->base = clamp(pair->base, BASE_MIN, BASE_INITIAL);
	at = get_state(response, STATE_WEIGHT, (uint64_t)neighbour, now);
	deviation = clamp(pair->deviation, WEIGHT_IMPORT_DEVIATION,
			  WEIGHT_DEVIATION);
	response->states[at].value = pair->weight;
	response->covariance[at][at] = square(deviation);
	update_upper_bounds(response);
	return 0;
}
