#include "fuzz.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "mem.h"
#include "rng.h"
#include "sysclock.h"

#define POOL_SIZE 512
#define INPUT_MAX 4096
#define MUTATIONS_MAX 8
#define CRASH_FILE "fuzz-input.bin"

/* First bytes of MessagePack values, which change the shape of a frame. */
static const unsigned char markers[] = { 0x00, 0x7f, 0x80, 0x90, 0x9f, 0xa0,
					 0xbf, 0xc0, 0xc3, 0xc4, 0xc6, 0xc7,
					 0xca, 0xcc, 0xcf, 0xd3, 0xd4, 0xd9,
					 0xdb, 0xdc, 0xdd, 0xde, 0xdf, 0xff };

static struct fuzz_input pool[POOL_SIZE];
static size_t pool_count;
static struct rng rng;

static size_t below(size_t bound)
{
	return rng_below(&rng, (uint32_t)bound);
}

static void flip(unsigned char *data, size_t *len)
{
	if (*len)
		data[below(*len)] ^= (unsigned char)(1u << below(8));
}

static void mark(unsigned char *data, size_t *len)
{
	if (*len)
		data[below(*len)] = markers[below(sizeof(markers))];
}

static void replace(unsigned char *data, size_t *len)
{
	if (*len)
		data[below(*len)] = (unsigned char)below(256);
}

static void cut(unsigned char *data, size_t *len)
{
	size_t from = *len ? below(*len) : 0;
	size_t count = *len ? below(*len - from) : 0;

	memmove(data + from, data + from + count, *len - from - count);
	*len -= count;
}

static void insert(unsigned char *data, size_t *len)
{
	size_t at = below(*len + 1);
	size_t count = 1 + below(8);
	size_t i;

	if (*len + count > INPUT_MAX)
		return;
	memmove(data + at + count, data + at, *len - at);
	for (i = 0; i < count; i++)
		data[at + i] = below(2) ? markers[below(sizeof(markers))]
					: (unsigned char)below(256);
	*len += count;
}

/* Replaces the end by the end of another input. */
static void splice(unsigned char *data, size_t *len)
{
	const struct fuzz_input *other = &pool[below(pool_count)];
	size_t from = below(other->len + 1);
	size_t at = below(*len + 1);
	size_t count = other->len - from;

	if (at + count > INPUT_MAX)
		return;
	memcpy(data + at, other->data + from, count);
	*len = at + count;
}

static void (*const mutations[])(unsigned char *data, size_t *len) = {
	flip, mark, replace, cut, insert, splice,
};

static void keep(const unsigned char *data, size_t len)
{
	size_t i = pool_count < POOL_SIZE ? pool_count++ : below(POOL_SIZE);

	free(pool[i].data);
	pool[i].data = xmemdup(data, len);
	pool[i].len = len;
}

/* The input that ends the process stays behind in a file. */
static void save(const unsigned char *data, size_t len)
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

static int run_one(void)
{
	unsigned char data[INPUT_MAX];
	const struct fuzz_input *from = &pool[below(pool_count)];
	size_t count = 1 + below(MUTATIONS_MAX);
	size_t len = from->len;
	size_t i;

	memcpy(data, from->data, len);
	for (i = 0; i < count; i++)
		mutations[below(sizeof(mutations) / sizeof(*mutations))](data,
									 &len);
	save(data, len);
	if (!fuzz_one(data, len))
		return 0;
	keep(data, len);
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
	printf("%s\n", fuzz_one(data, len) ? "accepted" : "refused");
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
	pool_count = fuzz_samples(pool, POOL_SIZE);
	while (mstime_diff(sysclock_now(), start) < limit_ms) {
		for (i = 0; i < 1000; i++, runs++)
			accepted += (unsigned long)run_one();
	}
	remove(CRASH_FILE);
	printf("seed=%lu runs=%lu accepted=%lu\n", seed, runs, accepted);
	for (i = 0; i < pool_count; i++)
		free(pool[i].data);
	return 0;
}
