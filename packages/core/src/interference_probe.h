#ifndef CATKINHILL_INTERFERENCE_PROBE_H
#define CATKINHILL_INTERFERENCE_PROBE_H

#include "interference.h"

/*
 * NAME
 *	interference_probe - measures the excess that one class at the floor
 *	causes
 *
 * NOTES
 *	The fit cannot tell apart classes that were cut at the same time, nor
 *	a slowdown that the service itself causes. A probe raises one class at
 *	the floor for some seconds while all other levels stay unchanged; the
 *	change of the excess is the effect of this class alone.
 */

/* Drops the result of a class whose level or tasks have changed. */
void probe_invalidate(struct interference_class *class);

/*
 * Starts, continues or ends a probe; called while the excess is over the
 * tolerance.
 *
 * RETURN VALUE
 *	1 while a probe is in progress; no other level may change then.
 */
int probe_step(struct interference *in, struct mstime now);

/* Aborts a probe without a result. */
void probe_abort(struct interference *in, struct mstime now);

/* RETURN VALUE: excess that a probe attributed to the class, or 0. */
double probe_excess_share(const struct interference *in,
			  const struct interference_class *class);

/* Whether each class with tasks has a result, and none has an effect. */
int probe_shows_none(const struct interference *in);

#endif
