#ifndef CATKINHILL_INTERFERENCE_FIT_H
#define CATKINHILL_INTERFERENCE_FIT_H

#include "interference.h"

/*
 * NAME
 *	interference_fit - least-squares fit of excess latency to usage
 */
void fit_init(struct interference *in);

/* Resets the weight of one class; the last index is that of no task. */
void fit_reset_weight(struct interference *in, size_t index);

/* Adds the excess of one tick; the usage of the classes must be set. */
void fit_add_sample(struct interference *in, double excess);

/* RETURN VALUE: weight of the class, or 0 if it is not significant. */
double fit_blame(const struct interference *in, size_t index);

/* RETURN VALUE: upper bound of the weight, one standard error above it. */
double fit_weight_upper(const struct interference *in, size_t index);

#endif
