#ifndef CATKINHILL_INTERFERENCE_PROBE_H
#define CATKINHILL_INTERFERENCE_PROBE_H

#include "interference.h"

/*
 * NAME
 *	interference_probe - measures what one class at the floor accounts for
 *
 * NOTES
 *	Classes that were cut at the same time look alike to the fit, and so
 *	does a slowness that is the service's own. A probe raises one class at
 *	the floor for some seconds while all other levels stay as they are;
 *	the difference of the excess is the effect of this class alone.
 */

/* A level of a class has changed; what was measured of it is void. */
void probe_invalidate(struct interference_class *class);

/*
 * Starts, continues or ends a probe; called while the slack is used up.
 *
 * RETURN VALUE
 *	Whether a probe goes on, so that no other level may change.
 */
int probe_step(struct interference *in, struct mstime now);

/* Ends a probe early, without a result. */
void probe_abort(struct interference *in, struct mstime now);

/* RETURN VALUE: the part of the excess proved to be the class's, or 0. */
double probe_excess_share(const struct interference *in,
			  const struct interference_class *class);

#endif
