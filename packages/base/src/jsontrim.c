#include "jsontrim.h"

#include <ctype.h>

/* High halves of surrogate pairs are 0xD800 to 0xDBFF. */
#define HIGH_HALF 0xD800
#define HIGH_HALF_MASK 0xFC00
#define HEX_DIGITS 4

static unsigned hex_value(char c)
{
	if (isdigit((unsigned char)c))
		return (unsigned)(c - '0');
	return ((unsigned)c | 0x20) - 'a' + 10;
}

static int is_continuation(char c)
{
	return ((unsigned char)c & 0xC0) == 0x80;
}

/* A character, an escape or the second half of a pair begins. */
static void begin_character(struct jsontrim *trim)
{
	if (trim->has_high_half)
		trim->has_high_half = 0;
	else if (trim->kept > trim->max)
		trim->is_dropping = 1;
}

static void read_escape(struct jsontrim *trim, char c)
{
	trim->is_escape = 0;
	trim->kept++;
	if (c == 'u')
		trim->hex_left = HEX_DIGITS;
	trim->code = 0;
}

static void read_digit(struct jsontrim *trim, char c)
{
	trim->code = (trim->code << 4 | hex_value(c)) & 0xFFFF;
	if (!--trim->hex_left && (trim->code & HIGH_HALF_MASK) == HIGH_HALF)
		trim->has_high_half = 1;
}

/* RETURN VALUE: whether this byte of a string is kept. */
static int read_string(struct jsontrim *trim, char c)
{
	if (trim->is_escape) {
		read_escape(trim, c);
	} else if (trim->hex_left) {
		read_digit(trim, c);
	} else if (c == '"') {
		trim->in_string = 0;
		return 1;
	} else if (c == '\\') {
		begin_character(trim);
		trim->is_escape = 1;
	} else {
		if (!is_continuation(c))
			begin_character(trim);
		trim->kept++;
	}
	return !trim->is_dropping;
}

size_t jsontrim(struct jsontrim *trim, char *dst, const char *text, size_t len)
{
	size_t i, count = 0;

	for (i = 0; i < len; i++) {
		if (trim->in_string) {
			if (read_string(trim, text[i]))
				dst[count++] = text[i];
			continue;
		}
		dst[count++] = text[i];
		if (text[i] != '"')
			continue;
		*trim = (struct jsontrim){ .max = trim->max, .in_string = 1 };
	}
	return count;
}
