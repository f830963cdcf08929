#include "fuzz.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "mem.h"
#include "rng.h"
#include "sysclock.h"

#define CORPUS_MAX 512
#define INPUT_MAX 4096
#define MUTATIONS_MAX 8
#define CRASH_FILE "fuzz-input.bin"

/* First bytes of MessagePack values; they change the structure of a frame. */
static const unsigned char markers[] = { 0x00, 0x7f, 0x80, 0x90, 0x9f, 0xa0,
					 0xbf, 0xc0, 0xc3, 0xc4, 0xc6, 0xc7,
					 0xca, 0xcc, 0xcf, 0xd3, 0xd4, 0xd9,
					 0xdb, 0xdc, 0xdd, 0xde, 0xdf, 0xff };

static struct fuzz_input corpus[CORPUS_MAX];
static size_t corpus_count;
static struct rng rng;

static size_t random_below(size_t bound)
{
	return rng_below(&rng, (uint32_t)bound);
}

static void flip_bit(unsigned char *data, size_t *len)
{
	if (*len)
		data[random_below(*len)] ^=
			(unsigned char)(1u << random_below(8));
}

static void set_marker(unsigned char *data, size_t *len)
{
	if (*len)
		data[random_below(*len)] =
			markers[random_below(sizeof(markers))];
}

static void replace_byte(unsigned char *data, size_t *len)
{
	if (*len)
		data[random_below(*len)] = (unsigned char)random_below(256);
}

static void remove_bytes(unsigned char *data, size_t *len)
{
	size_t from = *len ? random_below(*len) : 0;
	size_t count = *len ? random_below(*len - from) : 0;

	memmove(data + from, data + from + count, *len - from - count);
	*len -= count;
}

static void insert_bytes(unsigned char *data, size_t *len)
{
	size_t at = random_below(*len + 1);
	size_t count = 1 + random_below(8);
	size_t i;

	if (*len + count > INPUT_MAX)
		return;
	memmove(data + at + count, data + at, *len - at);
	for (i = 0; i < count; i++)
		data[at + i] = random_below(2)
				       ? markers[random_below(sizeof(markers))]
				       : (unsigned char)random_below(256);
	*len += count;
}

/* Replaces the tail with the tail of another input. */
static void splice_tail(unsigned char *data, size_t *len)
{
	const struct fuzz_input *other = &corpus[random_below(corpus_count)];
	size_t from = random_below(other->len + 1);
	size_t at = random_below(*len + 1);
	size_t count = other->len - from;

	if (at + count > INPUT_MAX)
		return;
	memcpy(data + at, other->data + from, count);
	*len = at + count;
}

static void (*const mutations[])(unsigned char *data, size_t *len) = {
	flip_bit,     set_marker,   replace_byte,
	remove_bytes, insert_bytes, splice_tail,
};

static void corpus_add(const unsigned char *data, size_t len)
{
	size_t i = corpus_count < CORPUS_MAX ? corpus_count++
					     : random_below(CORPUS_MAX);

	free(corpus[i].data);
	corpus[i].data = xmemdup(data, len);
	corpus[i].len = len;
}

/* Writes the input to a file that remains if the process crashes. */
static void save_input(const unsigned char *data, size_t len)
{
	static FILE *file;

	if (!file)
		file = fopen(CRASH_FILE, "wb");
	if (!file)
		return;
	rewind(file);
	fwrite(data, 1, len, file);
	if (!ftruncate(fileno(file), (off_t)len))
		fflush(file);
}

static int run_mutated_input(void)
{
	unsigned char data[INPUT_MAX];
	const struct fuzz_input *parent = &corpus[random_below(corpus_count)];
	size_t count = 1 + random_below(MUTATIONS_MAX);
	size_t len = parent->len;
	size_t i;

	memcpy(data, parent->data, len);
	for (i = 0; i < count; i++)
		mutations[random_below(sizeof(mutations) / sizeof(*mutations))](
			data, &len);
	save_input(data, len);
	if (!fuzz_one_input(data, len))
		return 0;
	corpus_add(data, len);
	return 1;
}

static int run_file(const char *path)
{
	static unsigned char data[1 << 20];
	FILE *file = fopen(path, "rb");
	size_t len;

	if (!file)
		return 1;
	len = fread(data, 1, sizeof(data), file);
	fclose(file);
	printf("%s\n", fuzz_one_input(data, len) ? "accepted" : "refused");
	return 0;
}

int main(int argc, char **argv)
{
	struct mstime start = sysclock_now();
	unsigned long runs = 0, accepted = 0;
	unsigned long seed;
	int64_t limit_ms;
	size_t i;

	if (argc == 2)
		return run_file(argv[1]);
	if (argc != 3) {
		fprintf(stderr, "usage: %s SECONDS SEED | FILE\n", argv[0]);
		return 2;
	}
	limit_ms = strtol(argv[1], NULL, 10) * 1000;
	seed = strtoul(argv[2], NULL, 10);
	rng_seed(&rng, seed);
	corpus_count = fuzz_initial_inputs(corpus, CORPUS_MAX);
	while (mstime_diff(sysclock_now(), start) < limit_ms) {
		for (i = 0; i < 1000; i++, runs++)
			accepted += (unsigned long)run_mutated_input();
	}
	remove(CRASH_FILE);
	printf("seed=%lu runs=%lu accepted=%lu\n", seed, runs, accepted);
	for (i = 0; i < corpus_count; i++)
		free(corpus[i].data);
	return 0;
}
