#include "colocation.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"

#define IMAGES_MAX 256

/*
 * Loads and neighbours of one serving image that are followed at once; more
 * than one figure can name.
 */
#define STATES_MAX 96

/* Pressure of an own load that has not been observed; change in a second. */
#define LOAD_INITIAL 0.4
#define LOAD_DEVIATION 0.2
#define LOAD_DRIFT 0.12
/* The same of a weight, for each core: most pairs hardly matter. */
#define WEIGHT_INITIAL 0.004
#define WEIGHT_DEVIATION 0.025
#define WEIGHT_DRIFT 0.002
#define WEIGHT_MAX 0.5
/* Margin of an upper bound, in deviations. */
#define CAUTION 0.5
/* Error of a pressure that is derived from one figure. */
#define FIGURE_DEVIATION 0.07
/* An error of more deviations counts as one of so many. */
#define ERROR_MAX 3.0
/* Latency without load, until a lower one is seen, and its lower bound. */
#define BASE_INITIAL 0.25
#define BASE_MIN 0.05
#define PRESSURE_MAX 0.98
/* Above this, a latency tells no more than that there is too much. */
#define PRESSURE_FULL 0.92

enum state_kind {
	STATE_LOAD,
	STATE_WEIGHT
};

struct state {
	enum state_kind kind;
	uint64_t id; /* of the load, or number of the image that fills */
	double value;
	struct mstime at; /* last figure */
};

/* What a serving image answers to its load and to its neighbours. */
struct response {
	double base; /* 0: not seen */
	int count;
	struct state states[STATES_MAX];
	double covariance[STATES_MAX][STATES_MAX];
	struct mstime at; /* until when drift is part of the covariance */
};

struct colocation {
	char *names[IMAGES_MAX];
	int count;
	struct response *responses[IMAGES_MAX]; /* by serving image */
};

/* One figure as the filter takes it; shares are 0 for other states. */
struct figure {
	double share[STATES_MAX];
	double gain[STATES_MAX]; /* covariance of each state and the figure */
	double expected, variance;
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

static struct response *response_get(struct colocation *colocation, int serving)
{
	struct response **response = &colocation->responses[serving];

	if (!*response)
		*response = xcalloc(1, sizeof(**response));
	return *response;
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

static int find_state(const struct response *response, enum state_kind kind,
		      uint64_t id)
{
	int i;

	for (i = 0; response && i < response->count; i++)
		if (response->states[i].id == id &&
		    response->states[i].kind == kind)
			return i;
	return -1;
}

double colocation_own_pressure(const struct colocation *colocation, int serving,
			       uint64_t load)
{
	const struct response *response = response_of(colocation, serving);
	int i = find_state(response, STATE_LOAD, load);

	return i < 0 ? LOAD_INITIAL : response->states[i].value;
}

static int find_weight(const struct response *response, int filling)
{
	return filling < 0
		       ? -1
		       : find_state(response, STATE_WEIGHT, (uint64_t)filling);
}

double colocation_weight(const struct colocation *colocation, int filling,
			 int serving)
{
	const struct response *response = response_of(colocation, serving);
	int i = find_weight(response, filling);

	return i < 0 ? WEIGHT_INITIAL : response->states[i].value;
}

double colocation_weight_upper(const struct colocation *colocation, int filling,
			       int serving)
{
	const struct response *response = response_of(colocation, serving);
	int i = find_weight(response, filling);

	if (i < 0)
		return WEIGHT_INITIAL + CAUTION * WEIGHT_DEVIATION;
	return response->states[i].value +
	       CAUTION * sqrt(response->covariance[i][i]);
}

/* The state that has been observed longest ago gives way to a new one. */
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

/* Estimates get less certain with time. */
static void drift(struct response *response, struct mstime now)
{
	double passed_s =
		response->at.ms
			? (double)mstime_diff(now, response->at) / 1000.0
			: 0;
	int i;

	response->at = now;
	for (i = 0; i < response->count; i++) {
		int is_load = response->states[i].kind == STATE_LOAD;

		response->covariance[i][i] +=
			square(is_load ? LOAD_DRIFT : WEIGHT_DRIFT) * passed_s;
	}
}

static void expect(const struct response *response, struct figure *figure)
{
	int i, k;

	figure->expected = 0;
	figure->variance = square(FIGURE_DEVIATION);
	for (i = 0; i < response->count; i++) {
		figure->gain[i] = 0;
		for (k = 0; k < response->count; k++)
			figure->gain[i] +=
				response->covariance[i][k] * figure->share[k];
	}
	for (i = 0; i < response->count; i++) {
		figure->expected +=
			figure->share[i] * response->states[i].value;
		figure->variance += figure->share[i] * figure->gain[i];
	}
}

static void correct(struct response *response, const struct figure *figure,
		    double pressure)
{
	double bound = ERROR_MAX * sqrt(figure->variance);
	double error = clamp(pressure - figure->expected, -bound, bound);
	int i, k;

	for (i = 0; i < response->count; i++) {
		struct state *state = &response->states[i];

		state->value += figure->gain[i] / figure->variance * error;
		state->value = clamp(state->value, 0,
				     state->kind == STATE_LOAD ? PRESSURE_MAX
							       : WEIGHT_MAX);
	}
	for (i = 0; i < response->count; i++)
		for (k = 0; k < response->count; k++)
			response->covariance[i][k] -= figure->gain[i] *
						      figure->gain[k] /
						      figure->variance;
}

void colocation_observe(struct colocation *colocation, int serving,
			uint64_t load, double latency,
			const struct neighbour *fills, int count,
			struct mstime now)
{
	struct response *response;
	struct figure figure = { .expected = 0 };
	double pressure;
	int i;

	if (serving < 0 || latency <= 0)
		return;
	response = response_get(colocation, serving);
	if (latency < base_of(response))
		response->base = clamp(latency, BASE_MIN, BASE_INITIAL);
	drift(response, now);
	figure.share[get_state(response, STATE_LOAD, load, now)] = 1;
	for (i = 0; i < count; i++)
		if (fills[i].image >= 0)
			figure.share[get_state(response, STATE_WEIGHT,
					       (uint64_t)fills[i].image, now)] =
				fills[i].cores;
	expect(response, &figure);
	pressure = pressure_at(response, latency);
	if (pressure > PRESSURE_FULL && figure.expected > PRESSURE_FULL)
		return;
	correct(response, &figure, pressure);
}
