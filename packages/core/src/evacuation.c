#include "evacuation.h"

#include <string.h>

#include "errors.h"
#include "mem.h"

static size_t find(const struct evacuations *evacuations, const char *domain)
{
	size_t i;

	for (i = 0; i < evacuations->count; i++)
		if (!strcmp(evacuations->domains[i], domain))
			break;
	return i;
}

int evacuations_add(struct evacuations *evacuations, const char *domain)
{
	if (!*domain || strlen(domain) >= NAME_SIZE)
		return ERR_INVALID;
	if (evacuations_contain(evacuations, domain))
		return 0;
	if (evacuations->count == EVACUATIONS_MAX)
		return ERR_TOO_LARGE;
	str_copy(evacuations->domains[evacuations->count++], domain, NAME_SIZE);
	return 0;
}

int evacuations_remove(struct evacuations *evacuations, const char *domain)
{
	size_t i = find(evacuations, domain);

	if (i == evacuations->count)
		return 0;
	memmove(evacuations->domains[i], evacuations->domains[i + 1],
		(--evacuations->count - i) * NAME_SIZE);
	return 1;
}

int evacuations_contain(const struct evacuations *evacuations,
			const char *domain)
{
	return find(evacuations, domain) < evacuations->count;
}
