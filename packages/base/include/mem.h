#ifndef CATKINHILL_MEM_H
#define CATKINHILL_MEM_H

#include <stddef.h>

/*
 * NAME
 *	xmalloc, xcalloc, xrealloc, xstrdup, xmemdup - allocate or abort
 *
 * RETURN VALUE
 *	Never NULL; freed by free(3). Out of memory is reported on standard
 *	error and aborts the process.
 */
void *xmalloc(size_t size);
void *xcalloc(size_t count, size_t size);
void *xrealloc(void *ptr, size_t size);
char *xstrdup(const char *str);
void *xmemdup(const void *data, size_t size);

/* Formats like printf(3) into newly allocated memory. */
char *xstrfmt(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/*
 * Copies src into dst of size bytes, always terminated.
 *
 * RETURN VALUE
 *	0, or ERR_TOO_LARGE when src was truncated.
 */
int str_copy(char *dst, const char *src, size_t size);

#endif
