#include "framecheck.h"

#include <stdint.h>

#include "errors.h"

#define FIXARRAY 0x90
#define FIXSTR 0xa0

enum shape_kind {
	SHAPE_INT,
	SHAPE_BYTES,
	SHAPE_ARRAY
};

/* Types with a length or value field of big-endian bytes after the tag. */
static const struct {
	unsigned char tag;
	unsigned char width;
	enum shape_kind kind;
} wide_types[] = {
	{ 0xc4, 1, SHAPE_BYTES }, { 0xc5, 2, SHAPE_BYTES },
	{ 0xc6, 4, SHAPE_BYTES }, { 0xcc, 1, SHAPE_INT },
	{ 0xcd, 2, SHAPE_INT },	  { 0xce, 4, SHAPE_INT },
	{ 0xcf, 8, SHAPE_INT },	  { 0xd9, 1, SHAPE_BYTES },
	{ 0xda, 2, SHAPE_BYTES }, { 0xdb, 4, SHAPE_BYTES },
	{ 0xdc, 2, SHAPE_ARRAY }, { 0xdd, 4, SHAPE_ARRAY },
};

struct shape {
	size_t header; /* bytes of tag and length */
	size_t body;   /* bytes that follow */
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

static int read_wide(const unsigned char *data, size_t len, struct shape *shape)
{
	uint64_t value;
	size_t i;

	for (i = 0; i < sizeof(wide_types) / sizeof(wide_types[0]); i++)
		if (wide_types[i].tag == data[0])
			break;
	if (i == sizeof(wide_types) / sizeof(wide_types[0]))
		return ERR_MALFORMED;
	shape->header = 1 + wide_types[i].width;
	if (shape->header > len)
		return ERR_MALFORMED;
	value = read_big_endian(data + 1, wide_types[i].width);
	if (wide_types[i].kind == SHAPE_BYTES)
		shape->body = value;
	if (wide_types[i].kind == SHAPE_ARRAY)
		shape->items = value;
	return 0;
}

static int read_shape(const unsigned char *data, size_t len,
		      struct shape *shape)
{
	unsigned char tag = data[0];

	shape->header = 1;
	shape->body = 0;
	shape->items = 0;
	if (tag < 0x80)
		return 0;
	if ((tag & 0xf0) == FIXARRAY) {
		shape->items = tag & 0x0f;
		return 0;
	}
	if ((tag & 0xe0) == FIXSTR) {
		shape->body = tag & 0x1f;
		return 0;
	}
	return read_wide(data, len, shape);
}

int framecheck_structure(const unsigned char *data, size_t len)
{
	size_t pending = 1;

	while (pending) {
		struct shape shape;

		if (!len || read_shape(data, len, &shape))
			return ERR_MALFORMED;
		if (shape.body > len - shape.header)
			return ERR_MALFORMED;
		data += shape.header + shape.body;
		len -= shape.header + shape.body;
		pending += shape.items - 1;
		if (pending > len)
			return ERR_MALFORMED;
	}
	return len ? ERR_MALFORMED : 0;
}
