#ifndef CATKINHILL_ERRORS_H
#define CATKINHILL_ERRORS_H

/*
 * NAME
 *	errors - error numbers of the project
 *
 * A function that returns int returns 0 or one of these negative numbers.
 * They start at -1000, so that they never equal a negated errno.
 */
enum error {
	ERR_INVALID = -1000,	 /* an argument or value is not allowed */
	ERR_MALFORMED = -1001,	 /* input cannot be decoded */
	ERR_TOO_LARGE = -1002,	 /* over a fixed limit */
	ERR_NOT_FOUND = -1003,	 /* no such key, job, upstream, ... */
	ERR_EXISTS = -1004,	 /* already there */
	ERR_CONFLICT = -1005,	 /* compare-and-swap failed, stale plan */
	ERR_UNAVAILABLE = -1006, /* not sent: the peer cannot be reached */
	ERR_UNKNOWN = -1007,	 /* sent, but the outcome is not known */
	ERR_TIMEOUT = -1008,	 /* the deadline has passed */
	ERR_FULL = -1009,	 /* no capacity left */
	ERR_FENCED = -1010,	 /* a newer epoch, run or incarnation exists */
	ERR_CANCELLED = -1011,	 /* cancelled by the caller */
	ERR_STOPPING = -1012,	 /* the process is shutting down */
	ERR_SYSTEM = -1013,	 /* a system call failed */
	ERR_LAST = -1013
};

/*
 * RETURN VALUE
 *	Name of the error, such as "conflict"; "ok" for 0; "other" for a
 *	number that is not in the table. Static storage.
 */
const char *error_name(int err);

/*
 * RETURN VALUE
 *	One sentence that describes the error. Static storage.
 */
const char *error_text(int err);

#endif
