#include "errors.h"

#include <stddef.h>

#define FIRST_NUMBER (-ERR_INVALID)
#define ROW(err) [-(err)-FIRST_NUMBER]

static const struct {
	const char *name;
	const char *text;
} table[] = {
	ROW(ERR_INVALID) = { "invalid", "The value is not allowed." },
	ROW(ERR_MALFORMED) = { "malformed", "The input cannot be decoded." },
	ROW(ERR_TOO_LARGE) = { "too-large", "The input exceeds its limit." },
	ROW(ERR_NOT_FOUND) = { "not-found", "There is no such object." },
	ROW(ERR_EXISTS) = { "exists", "The object already exists." },
	ROW(ERR_CONFLICT) = { "conflict", "Another write took effect first." },
	ROW(ERR_UNAVAILABLE) = { "unavailable", "The peer is unreachable." },
	ROW(ERR_UNKNOWN) = { "unknown", "The outcome is not known." },
	ROW(ERR_TIMEOUT) = { "timeout", "The deadline has passed." },
	ROW(ERR_FULL) = { "full", "There is no capacity left." },
	ROW(ERR_FENCED) = { "fenced",
			    "A newer epoch, run or incarnation exists." },
	ROW(ERR_CANCELLED) = { "cancelled",
			       "The caller cancelled the operation." },
	ROW(ERR_STOPPING) = { "stopping", "The process is shutting down." },
	ROW(ERR_SYSTEM) = { "system", "A system call failed." },
};

static int is_known(int err)
{
	return err <= ERR_INVALID && err >= ERR_LAST;
}

const char *error_name(int err)
{
	if (!err)
		return "ok";
	return is_known(err) ? table[-err - FIRST_NUMBER].name : "other";
}

const char *error_text(int err)
{
	if (!err)
		return "Success.";
	return is_known(err) ? table[-err - FIRST_NUMBER].text : "Other error.";
}
