#include "interference_fit.h"

#include <math.h>

/* Forgetting factor: the weight of a sample halves in 100 ticks. */
#define FORGETTING 0.993
/* Initial variance of the weight of a class. */
#define CLASS_VARIANCE 25.0
/* The same for the excess that no task causes. */
#define SERVICE_VARIANCE 0.25
/* Standard errors above zero from which on a weight is significant. */
#define SIGNIFICANT_ERRORS 2.0
/* A larger excess carries no more information and would dominate the fit. */
#define EXCESS_MAX 10.0
/* Larger squared errors come from a change of the effects, not from noise. */
#define SQUARED_ERROR_MAX 0.05

static double initial_variance(size_t index)
{
	return index < INTERFERENCE_CLASSES_MAX ? CLASS_VARIANCE
						: SERVICE_VARIANCE;
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
	in->covariance[index][index] = initial_variance(index);
	in->weight[index] = 0;
}

static void compute_gain(const struct interference *in, double *gain,
			 double *norm)
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

/* Forgets only for classes in use; others' covariance would grow unbounded. */
static double growth_factor(const struct interference *in, size_t i, size_t j)
{
	double factor = 1;

	if (usage_of(in, i) > 0 && usage_of(in, j) > 0 &&
	    in->covariance[i][i] < initial_variance(i) &&
	    in->covariance[j][j] < initial_variance(j))
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
		(fmin(error * error, SQUARED_ERROR_MAX) - in->error_variance) /
		100;
	compute_gain(in, gain, &norm);
	for (i = 0; i < INTERFERENCE_WEIGHT_COUNT; i++)
		for (j = 0; j < INTERFERENCE_WEIGHT_COUNT; j++)
			next[i][j] = (in->covariance[i][j] -
				      gain[i] * gain[j] / norm) *
				     growth_factor(in, i, j);
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

	return weight > SIGNIFICANT_ERRORS * error ? weight : 0;
}

double fit_weight_upper(const struct interference *in, size_t index)
{
	double error = sqrt(in->error_variance * in->covariance[index][index]);

	return in->weight[index] + error;
}
