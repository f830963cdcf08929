#ifndef CATKINHILL_INTERFERENCE_FIT_H
#define CATKINHILL_INTERFERENCE_FIT_H

#include "interference.h"

/*
 * NAME
 *	interference_fit - least-squares fit of excess latency to usage
 */
void fit_init(struct interference *in);

/* Forgets what was learned of one class. */
void fit_reset_weight(struct interference *in, size_t index);

/* Adds the excess of one tick; the usage of the classes is set. */
void fit_add_sample(struct interference *in, double excess);

/* RETURN VALUE: the weight of the class, or 0 without confidence. */
double fit_blame(const struct interference *in, size_t index);

/* RETURN VALUE: the highest weight that the evidence makes likely. */
double fit_weight_upper(const struct interference *in, size_t index);

#endif
