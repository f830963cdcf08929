#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <time.h>

#include <glib.h>
#include <math.h>

#include "errors.h"
#include "httpc.h"
#include "loop.h"
#include "mem.h"
#include "rng.h"

/*
 * Open-loop load generator: requests arrive at a mean rate with exponential
 * gaps, whether or not earlier ones are answered. Latency counts from the
 * time at which a request was due, so that a stall shows in all requests
 * that it delays. The loop never sleeps while requests are due, because timers
 * of some machines are late by several milliseconds. Prints one JSON object.
 */
#define TICK_MS 0
#define ANSWER_MAX (1024 * 1024)
#define MAX_IDLE 64
#define REQUESTS_MAX 5000000
#define RATE_MAX 100000
#define SECONDS_MAX 300

enum result {
	RESULT_DONE,
	RESULT_NOT_RUN,
	RESULT_UNKNOWN,
	RESULT_FAILED
};

#define RESULTS (RESULT_FAILED + 1)

static const char *const result_names[RESULTS] = {
	[RESULT_DONE] = "done",
	[RESULT_NOT_RUN] = "not_run",
	[RESULT_UNKNOWN] = "unknown",
	[RESULT_FAILED] = "failed",
};

static struct {
	gchar *target;
	gchar *path;
	gint rate;
	gint seconds;
	gint seed;
	gint timeout_ms;
} options = { NULL, NULL, 100, 5, 1, 5000 };

static struct {
	struct loop *loop;
	struct loop_timer *timer;
	struct httpc_pool *pool;
	struct rng rng;
	double next_us; /* when the next request is due */
	double end_us;
	int64_t open;
	int64_t count[RESULTS];
	int64_t *latency_us;
	size_t answered;
} load;

struct request {
	double due_us;
	enum result result;
};

static double now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

static void on_head(void *arg, int status, const struct header_list *headers)
{
	struct request *request = arg;
	size_t i;

	/* An upstream that is called directly sends no outcome. */
	request->result = status < 400 ? RESULT_DONE : RESULT_FAILED;
	for (i = 0; i < headers->count; i++) {
		const struct http_header *header = &headers->items[i];

		if (strcasecmp(header->name, "Catkinhill-Outcome"))
			continue;
		if (!strcmp(header->value, "not-run"))
			request->result = RESULT_NOT_RUN;
		if (!strcmp(header->value, "unknown"))
			request->result = RESULT_UNKNOWN;
	}
}

static void finish_if_idle(void)
{
	if (!load.open && load.next_us >= load.end_us)
		loop_break(load.loop);
}

static void on_end(void *arg, int err, int status)
{
	struct request *request = arg;

	if (err)
		request->result = RESULT_FAILED;
	load.count[request->result]++;
	if (request->result == RESULT_DONE && load.answered < REQUESTS_MAX)
		load.latency_us[load.answered++] =
			(int64_t)(now_us() - request->due_us);
	load.open--;
	free(request);
	finish_if_idle();
}

static void send_request(double due_us)
{
	static const struct httpc_handlers handlers = {
		.on_head = on_head,
		.on_end = on_end,
	};
	struct httpc_request call = {
		.method = "GET",
		.path = options.path,
		.timeout_ms = options.timeout_ms,
		.max_response_bytes = ANSWER_MAX,
	};
	struct request *request = xcalloc(1, sizeof(*request));

	request->due_us = due_us;
	request->result = RESULT_FAILED;
	if (!httpc_start(load.pool, &call, &handlers, request)) {
		load.count[RESULT_FAILED]++;
		free(request);
		return;
	}
	load.open++;
}

static void on_tick(void *arg)
{
	double now = now_us();

	while (load.next_us <= now && load.next_us < load.end_us) {
		send_request(load.next_us);
		load.next_us +=
			-log(1 - rng_unit(&load.rng)) * 1e6 / options.rate;
	}
	if (load.next_us < load.end_us)
		loop_timer_start(load.timer, TICK_MS);
	else
		finish_if_idle();
}

static int compare(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static int64_t percentile(int percent)
{
	if (!load.answered)
		return -1;
	return load.latency_us[(load.answered - 1) * (size_t)percent / 100];
}

static void print_results(void)
{
	static const int percents[] = { 50, 90, 99, 100 };
	size_t i;

	qsort(load.latency_us, load.answered, sizeof(*load.latency_us),
	      compare);
	printf("{\"bench\": \"load\", \"path\": \"%s\", \"rate\": %d, "
	       "\"seconds\": %d, \"seed\": %d",
	       options.path, options.rate, options.seconds, options.seed);
	for (i = 0; i < RESULTS; i++)
		printf(", \"%s\": %" PRId64, result_names[i], load.count[i]);
	for (i = 0; i < sizeof(percents) / sizeof(percents[0]); i++)
		printf(", \"p%d_us\": %" PRId64, percents[i],
		       percentile(percents[i]));
	puts("}");
}

static int parse_options(int argc, char **argv)
{
	GOptionEntry entries[] = {
		{ "target", 0, 0, G_OPTION_ARG_STRING, &options.target,
		  "Address to call", "IP:PORT" },
		{ "path", 0, 0, G_OPTION_ARG_STRING, &options.path,
		  "Path of each request", "PATH" },
		{ "rate", 0, 0, G_OPTION_ARG_INT, &options.rate,
		  "Requests a second", "N" },
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &options.seconds,
		  "Length of the run", "N" },
		{ "seed", 0, 0, G_OPTION_ARG_INT, &options.seed,
		  "Seed of the arrivals", "N" },
		{ "timeout-ms", 0, 0, G_OPTION_ARG_INT, &options.timeout_ms,
		  "Timeout of a request", "N" },
		{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
	};
	GOptionContext *context = g_option_context_new("- generate load");
	GError *error = NULL;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "load: %s\n", error->message);
		g_error_free(error);
		g_option_context_free(context);
		return ERR_INVALID;
	}
	g_option_context_free(context);
	if (options.target && options.path && options.rate > 0 &&
	    options.rate <= RATE_MAX && options.seconds > 0 &&
	    options.seconds <= SECONDS_MAX)
		return 0;
	fprintf(stderr,
		"load: --target and --path are required, --rate is 1 to %d, "
		"--seconds is 1 to %d\n",
		RATE_MAX, SECONDS_MAX);
	return ERR_INVALID;
}

int main(int argc, char **argv)
{
	if (parse_options(argc, argv))
		return 2;
	load.loop = loop_new();
	load.timer = loop_timer_new(load.loop, on_tick, NULL);
	load.pool = httpc_pool_new(load.loop, options.target, MAX_IDLE);
	if (!load.pool) {
		fprintf(stderr, "load: bad address %s\n", options.target);
		return 2;
	}
	load.latency_us = xcalloc(REQUESTS_MAX, sizeof(*load.latency_us));
	rng_seed(&load.rng, (uint64_t)options.seed);
	load.next_us = now_us();
	load.end_us = load.next_us + 1e6 * options.seconds;
	loop_timer_start(load.timer, 0);
	loop_run(load.loop);
	print_results();
	httpc_pool_delete(load.pool);
	loop_timer_delete(load.timer);
	loop_delete(load.loop);
	free(load.latency_us);
	return 0;
}
