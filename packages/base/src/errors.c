#include "errors.h"

#include <stddef.h>

#define FIRST (-ERR_INVALID)
#define ROW(err) [-(err)-FIRST]

static const struct {
	const char *name;
	const char *text;
} table[] = {
	ROW(ERR_INVALID) = { "invalid", "The value is not allowed." },
	ROW(ERR_MALFORMED) = { "malformed", "The input cannot be decoded." },
	ROW(ERR_TOO_LARGE) = { "too-large", "The input is over its limit." },
	ROW(ERR_NOT_FOUND) = { "not-found", "There is no such object." },
	ROW(ERR_EXISTS) = { "exists", "The object exists already." },
	ROW(ERR_CONFLICT) = { "conflict", "Another writer came first." },
	ROW(ERR_UNAVAILABLE) = { "unavailable", "The peer is unreachable." },
	ROW(ERR_UNKNOWN) = { "unknown", "The outcome is not known." },
	ROW(ERR_TIMEOUT) = { "timeout", "The deadline has passed." },
	ROW(ERR_FULL) = { "full", "There is no capacity left." },
	ROW(ERR_FENCED) = { "fenced", "A newer holder exists." },
	ROW(ERR_CANCELLED) = { "cancelled", "The caller cancelled." },
	ROW(ERR_STOPPING) = { "stopping", "The process is leaving." },
	ROW(ERR_SYSTEM) = { "system", "A system call failed." },
};

static int known(int err)
{
	return err <= ERR_INVALID && err >= ERR_LAST;
}

const char *error_name(int err)
{
	if (!err)
		return "ok";
	return known(err) ? table[-err - FIRST].name : "other";
}

const char *error_text(int err)
{
	if (!err)
		return "Success.";
	return known(err) ? table[-err - FIRST].text : "Other error.";
}
