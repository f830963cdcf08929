#ifndef CATKINHILL_EVACUATION_H
#define CATKINHILL_EVACUATION_H

#include <stddef.h>

#include "message.h"

/*
 * NAME
 *	evacuation - failure domains whose workers get no work
 *
 * NOTES
 *	An operator asks for an evacuation and takes it back. A domain that no
 *	worker belongs to may be evacuated too: workers may join it later.
 */
#define EVACUATIONS_MAX 64

struct evacuations {
	char domains[EVACUATIONS_MAX][NAME_SIZE];
	size_t count;
};

/*
 * Adds a domain; one that is there already is not added again.
 *
 * ERRORS
 *	ERR_INVALID	no name, or one that no domain can have
 *	ERR_TOO_LARGE	there are EVACUATIONS_MAX of them
 */
int evacuations_add(struct evacuations *evacuations, const char *domain);

/* RETURN VALUE: whether the domain was there. */
int evacuations_remove(struct evacuations *evacuations, const char *domain);

int evacuations_contain(const struct evacuations *evacuations,
			const char *domain);

#endif
