#include "jsoncost.h"

/* What the decoder (jansson) allocates for an empty object or array. */
#define OBJECT_BYTES 256
#define ARRAY_BYTES 160
/* A value, with its place in the object or array around it. */
#define VALUE_BYTES 80

size_t jsoncost(const char *json, size_t len)
{
	size_t i, cost = len;
	int in_string = 0;

	for (i = 0; i < len; i++) {
		if (in_string && json[i] == '\\') {
			i++;
		} else if (json[i] == '"') {
			in_string = !in_string;
		} else if (!in_string) {
			if (json[i] == '{')
				cost += OBJECT_BYTES;
			else if (json[i] == '[')
				cost += ARRAY_BYTES;
			else if (json[i] == ',' || json[i] == ':')
				cost += VALUE_BYTES;
		}
	}
	return cost;
}
