#include "framecheck.h"

#include <stdint.h>

#include "errors.h"

#define FIXARRAY 0x90
#define FIXSTR 0xa0

enum element_kind {
	ELEMENT_INT,
	ELEMENT_BYTES,
	ELEMENT_ARRAY
};

/* Types whose tag is followed by a big-endian length or value. */
static const struct {
	unsigned char tag;
	unsigned char width;
	enum element_kind kind;
} wide_types[] = {
	{ 0xc4, 1, ELEMENT_BYTES }, { 0xc5, 2, ELEMENT_BYTES },
	{ 0xc6, 4, ELEMENT_BYTES }, { 0xcc, 1, ELEMENT_INT },
	{ 0xcd, 2, ELEMENT_INT },   { 0xce, 4, ELEMENT_INT },
	{ 0xcf, 8, ELEMENT_INT },   { 0xd9, 1, ELEMENT_BYTES },
	{ 0xda, 2, ELEMENT_BYTES }, { 0xdb, 4, ELEMENT_BYTES },
	{ 0xdc, 2, ELEMENT_ARRAY }, { 0xdd, 4, ELEMENT_ARRAY },
};

struct element {
	size_t header; /* bytes of tag and length */
	size_t body;   /* bytes of a string or binary value */
	size_t items;  /* elements of an array */
};

static uint64_t read_big_endian(const unsigned char *data, size_t width)
{
	uint64_t value = 0;
	size_t i;

	for (i = 0; i < width; i++)
		value = value << 8 | data[i];
	return value;
}

static int read_wide_element(const unsigned char *data, size_t len,
			     struct element *element)
{
	uint64_t value;
	size_t i;

	for (i = 0; i < sizeof(wide_types) / sizeof(wide_types[0]); i++)
		if (wide_types[i].tag == data[0])
			break;
	if (i == sizeof(wide_types) / sizeof(wide_types[0]))
		return ERR_MALFORMED;
	element->header = 1 + wide_types[i].width;
	if (element->header > len)
		return ERR_MALFORMED;
	value = read_big_endian(data + 1, wide_types[i].width);
	if (wide_types[i].kind == ELEMENT_BYTES)
		element->body = value;
	if (wide_types[i].kind == ELEMENT_ARRAY)
		element->items = value;
	return 0;
}

static int read_element(const unsigned char *data, size_t len,
			struct element *element)
{
	unsigned char tag = data[0];

	element->header = 1;
	element->body = 0;
	element->items = 0;
	if (tag < 0x80)
		return 0;
	if ((tag & 0xf0) == FIXARRAY) {
		element->items = tag & 0x0f;
		return 0;
	}
	if ((tag & 0xe0) == FIXSTR) {
		element->body = tag & 0x1f;
		return 0;
	}
	return read_wide_element(data, len, element);
}

int framecheck_structure(const unsigned char *data, size_t len)
{
	size_t pending_elements = 1;

	while (pending_elements) {
		struct element element;

		if (!len || read_element(data, len, &element))
			return ERR_MALFORMED;
		if (element.body > len - element.header)
			return ERR_MALFORMED;
		data += element.header + element.body;
		len -= element.header + element.body;
		pending_elements += element.items - 1;
		if (pending_elements > len)
			return ERR_MALFORMED;
	}
	return len ? ERR_MALFORMED : 0;
}
