#include "mem.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "errors.h"

static void *abort_if_null(void *ptr)
{
	if (ptr)
		return ptr;
	fputs("catkinhill: out of memory\n", stderr);
	abort();
}

void *xmalloc(size_t size)
{
	return abort_if_null(malloc(size ? size : 1));
}

void *xcalloc(size_t count, size_t size)
{
	return abort_if_null(calloc(count ? count : 1, size ? size : 1));
}

void *xrealloc(void *ptr, size_t size)
{
	return abort_if_null(realloc(ptr, size ? size : 1));
}

char *xstrdup(const char *str)
{
	return abort_if_null(strdup(str));
}

void *xmemdup(const void *data, size_t size)
{
	void *copy = xmalloc(size);

	if (size)
		memcpy(copy, data, size);
	return copy;
}

char *xstrfmt(const char *fmt, ...)
{
	va_list args;
	char *text = NULL;
	int len;

	va_start(args, fmt);
	len = vasprintf(&text, fmt, args);
	va_end(args);
	return abort_if_null(len < 0 ? NULL : text);
}

int str_copy(char *dst, const char *src, size_t size)
{
	size_t len = strnlen(src, size);

	if (len == size) {
		memcpy(dst, src, size - 1);
		dst[size - 1] = '\0';
		return ERR_TOO_LARGE;
	}
	memcpy(dst, src, len + 1);
	return 0;
}
