#ifndef CATKINHILL_JSONTEXT_H
#define CATKINHILL_JSONTEXT_H

#include <stddef.h>
#include <stdint.h>

/*
 * NAME
 *	jsontext - writes JSON as text, without a tree of values
 *
 * NOTES
 *	For documents that are written often. A struct jsontext starts zeroed;
 *	the caller writes the punctuation by jsontext_raw() and frees text,
 *	which jsontext_end() terminates.
 */
struct jsontext {
	char *text;
	size_t len, size;
};

void jsontext_raw(struct jsontext *json, const char *text);
void jsontext_append(struct jsontext *json, const char *data, size_t len);
void jsontext_number(struct jsontext *json, int64_t value);

/* Quoted and escaped. text has to be UTF-8. */
void jsontext_string(struct jsontext *json, const char *text);

/* Returns the text, which ends with a NUL that len does not count. */
char *jsontext_end(struct jsontext *json);

#endif
