#include <math.h>
#include <string.h>

#include <jansson.h>

#include "colocation.h"
#include "errors.h"
#include "mem.h"

/* Pairs of a document, and bytes of a name in it. */
#define PAIRS_MAX 700
#define NAME_MAX_BYTES 64

struct encoder {
	json_t *rows;
};

static int name_fits(const char *name)
{
	return strlen(name) <= NAME_MAX_BYTES;
}

/* Rounded, so that the text changes only with what matters. */
static double rounded(double value)
{
	return round(value * 200) / 200;
}

static void add_row(void *arg, const struct colocation_pair *pair)
{
	struct encoder *encoder = arg;

	if (json_array_size(encoder->rows) < PAIRS_MAX &&
	    name_fits(pair->serving) && name_fits(pair->neighbour))
		json_array_append_new(
			encoder->rows,
			json_pack("[s,s,f,f,f]", pair->serving, pair->neighbour,
				  rounded(pair->base), rounded(pair->weight),
				  rounded(pair->deviation)));
}

char *colocation_encode(const struct colocation *colocation, struct mstime now)
{
	struct encoder encoder = { json_array() };
	json_t *root = json_pack("{s:o}", "pairs", encoder.rows);
	char *text;

	colocation_export(colocation, now, add_row, &encoder);
	text = json_dumps(root, JSON_COMPACT | JSON_REAL_PRECISION(4));
	json_decref(root);
	return text;
}

static void read_row(struct colocation *colocation, json_t *row,
		     struct mstime now)
{
	struct colocation_pair pair;

	if (json_unpack(row, "[s,s,F,F,F]", &pair.serving, &pair.neighbour,
			&pair.base, &pair.weight, &pair.deviation))
		return;
	if (name_fits(pair.serving) && name_fits(pair.neighbour))
		colocation_import(colocation, &pair, now);
}

int colocation_decode(struct colocation *colocation, const char *json,
		      size_t len, struct mstime now)
{
	json_t *root = json_loadb(json, len, 0, NULL);
	json_t *rows = json_object_get(root, "pairs");
	size_t i;

	if (!json_is_array(rows)) {
		json_decref(root);
		return ERR_MALFORMED;
	}
	for (i = 0; i < json_array_size(rows) && i < PAIRS_MAX; i++)
		read_row(colocation, json_array_get(rows, i), now);
	json_decref(root);
	return 0;
}
