#include "jsontext.h"

#include <string.h>

#include "mem.h"

#define NUMBER_MAX_BYTES 24

void jsontext_append(struct jsontext *json, const char *data, size_t len)
{
	if (!len)
		return;
	if (json->len + len > json->size) {
		json->size = 2 * (json->len + len);
		json->text = xrealloc(json->text, json->size);
	}
	memcpy(json->text + json->len, data, len);
	json->len += len;
}

void jsontext_raw(struct jsontext *json, const char *text)
{
	jsontext_append(json, text, strlen(text));
}

void jsontext_number(struct jsontext *json, int64_t value)
{
	char digits[NUMBER_MAX_BYTES];
	size_t at = sizeof(digits);
	uint64_t rest = value < 0 ? 0 - (uint64_t)value : (uint64_t)value;

	do {
		digits[--at] = (char)('0' + rest % 10);
		rest /= 10;
	} while (rest);
	if (value < 0)
		digits[--at] = '-';
	jsontext_append(json, digits + at, sizeof(digits) - at);
}

static void put_escaped(struct jsontext *json, unsigned char c)
{
	static const char hex[] = "0123456789abcdef";
	char escaped[] = { '\\', 'u', '0', '0', hex[c >> 4], hex[c & 15] };
	char simple[] = { '\\', (char)c };

	if (c < 0x20)
		jsontext_append(json, escaped, sizeof(escaped));
	else
		jsontext_append(json, simple, sizeof(simple));
}

void jsontext_string(struct jsontext *json, const char *text)
{
	const char *rest = text;

	jsontext_append(json, "\"", 1);
	for (; *text; text++) {
		unsigned char c = (unsigned char)*text;

		if (c >= 0x20 && c != '"' && c != '\\')
			continue;
		jsontext_append(json, rest, (size_t)(text - rest));
		put_escaped(json, c);
		rest = text + 1;
	}
	jsontext_append(json, rest, (size_t)(text - rest));
	jsontext_append(json, "\"", 1);
}

char *jsontext_end(struct jsontext *json)
{
	jsontext_append(json, "", 1);
	json->len--;
	return json->text;
}
