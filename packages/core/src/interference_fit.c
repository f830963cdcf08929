#include "interference_fit.h"

#include <math.h>

/* Half of the evidence is forgotten after 100 ticks. */
#define FORGETTING 0.993
/* Variance of a weight of which nothing is known. */
#define UNKNOWN_VARIANCE 25.0
/* The same of the excess that is no task's. */
#define OWN_VARIANCE 0.25
/* Standard errors above zero from which on a weight counts. */
#define CONFIDENT 2.0
/* Excess beyond this tells no more and would dominate the fit. */
#define EXCESS_MAX 10.0
/* A shift of the slowdowns is no noise of the measurement. */
#define ERROR_MAX 0.05

static double unknown_variance(size_t index)
{
	return index < INTERFERENCE_CLASSES_MAX ? UNKNOWN_VARIANCE
						: OWN_VARIANCE;
}

static double usage_of(const struct interference *in, size_t index)
{
	return index < INTERFERENCE_CLASSES_MAX ? in->classes[index].usage_share
						: 1;
}

void fit_init(struct interference *in)
{
	size_t i;

	in->error_variance = 0.01;
	for (i = 0; i < INTERFERENCE_WEIGHT_COUNT; i++)
		fit_reset_weight(in, i);
}

void fit_reset_weight(struct interference *in, size_t index)
{
	size_t i;

	for (i = 0; i < INTERFERENCE_WEIGHT_COUNT; i++) {
		in->covariance[index][i] = 0;
		in->covariance[i][index] = 0;
	}
	in->covariance[index][index] = unknown_variance(index);
	in->weight[index] = 0;
}

static void gain_of(const struct interference *in, double *gain, double *norm)
{
	size_t i, j;

	*norm = FORGETTING;
	for (i = 0; i < INTERFERENCE_WEIGHT_COUNT; i++) {
		gain[i] = 0;
		for (j = 0; j < INTERFERENCE_WEIGHT_COUNT; j++)
			gain[i] += in->covariance[i][j] * usage_of(in, j);
		*norm += gain[i] * usage_of(in, i);
	}
}

/* Forgetting without use would let the covariance grow without a bound. */
static double grown(const struct interference *in, size_t i, size_t j)
{
	double factor = 1;

	if (usage_of(in, i) > 0 && usage_of(in, j) > 0 &&
	    in->covariance[i][i] < unknown_variance(i) &&
	    in->covariance[j][j] < unknown_variance(j))
		factor = 1 / FORGETTING;
	return factor;
}

void fit_add_sample(struct interference *in, double excess)
{
	double next[INTERFERENCE_WEIGHT_COUNT][INTERFERENCE_WEIGHT_COUNT];
	double gain[INTERFERENCE_WEIGHT_COUNT], norm, error;
	size_t i, j;

	error = fmin(fmax(excess, -EXCESS_MAX), EXCESS_MAX);
	for (i = 0; i < INTERFERENCE_WEIGHT_COUNT; i++)
		error -= in->weight[i] * usage_of(in, i);
	in->error_variance +=
		(fmin(error * error, ERROR_MAX) - in->error_variance) / 100;
	gain_of(in, gain, &norm);
	for (i = 0; i < INTERFERENCE_WEIGHT_COUNT; i++)
		for (j = 0; j < INTERFERENCE_WEIGHT_COUNT; j++)
			next[i][j] = (in->covariance[i][j] -
				      gain[i] * gain[j] / norm) *
				     grown(in, i, j);
	for (i = 0; i < INTERFERENCE_WEIGHT_COUNT; i++) {
		in->weight[i] += error * gain[i] / norm;
		for (j = 0; j < INTERFERENCE_WEIGHT_COUNT; j++)
			in->covariance[i][j] = next[i][j];
	}
}

double fit_blame(const struct interference *in, size_t index)
{
	double error = sqrt(in->error_variance * in->covariance[index][index]);
	double weight = in->weight[index];

	return weight > CONFIDENT * error ? weight : 0;
}

double fit_weight_upper(const struct interference *in, size_t index)
{
	double error = sqrt(in->error_variance * in->covariance[index][index]);

	return in->weight[index] + error;
}
