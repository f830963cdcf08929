#ifndef CATKINHILL_STOREREAD_H
#define CATKINHILL_STOREREAD_H

#include <stddef.h>

/*
 * NAME
 *	storeread - blocking read of the configuration in the platform's store
 *
 * RETURN VALUE
 *	Newly allocated text of *len bytes; NULL with a reason in static
 *	storage if the store cannot be read or has none.
 */
char *storeread_config(const char *address, size_t *len, const char **reason);

#endif
