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
 * Open-loop load generator: sends requests at a mean rate with exponential
 * gaps, without waiting for earlier responses. Latency is measured from the
 * time at which a request was due, so that a stall shows in all requests
 * that it delays. The loop does not sleep before the last request: timers of
 * some machines are late by several milliseconds. Prints one JSON object.
 */
#define TIMER_DELAY_MS 0
#define RESPONSE_BYTES_MAX (1024 * 1024)
#define IDLE_CONNECTIONS_MAX 64
#define REQUESTS_MAX 5000000
#define RATE_PER_S_MAX 100000
#define DURATION_S_MAX 300

enum result {
	RESULT_DONE,
	RESULT_NOT_RUN,
	RESULT_UNKNOWN,
	RESULT_FAILED
};

#define RESULT_COUNT (RESULT_FAILED + 1)

static const char *const result_names[RESULT_COUNT] = {
	[RESULT_DONE] = "done",
	[RESULT_NOT_RUN] = "not_run",
	[RESULT_UNKNOWN] = "unknown",
	[RESULT_FAILED] = "failed",
};

static struct {
	gchar *target;
	gchar *path;
	gint rate_per_s;
	gint duration_s;
	gint seed;
	gint timeout_ms;
} options = { NULL, NULL, 100, 5, 1, 5000 };

static struct {
	struct loop *loop;
	struct loop_timer *timer;
	struct httpc_pool *pool;
	struct rng rng;
	double next_due_us; /* due time of the next request */
	double end_us;
	int64_t in_flight;
	int64_t result_count[RESULT_COUNT];
	int64_t *latency_us;
	size_t latency_count;
} generator;

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

static void on_response_head(void *arg, int status,
			     const struct header_list *headers)
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

static void stop_if_finished(void)
{
	if (!generator.in_flight && generator.next_due_us >= generator.end_us)
		loop_break(generator.loop);
}

static void on_request_end(void *arg, int err, int status)
{
	struct request *request = arg;

	if (err)
		request->result = RESULT_FAILED;
	generator.result_count[request->result]++;
	if (request->result == RESULT_DONE &&
	    generator.latency_count < REQUESTS_MAX)
		generator.latency_us[generator.latency_count++] =
			(int64_t)(now_us() - request->due_us);
	generator.in_flight--;
	free(request);
	stop_if_finished();
}

static void send_request(double due_us)
{
	static const struct httpc_handlers handlers = {
		.on_head = on_response_head,
		.on_end = on_request_end,
	};
	struct httpc_request http_request = {
		.method = "GET",
		.path = options.path,
		.timeout_ms = options.timeout_ms,
		.max_response_bytes = RESPONSE_BYTES_MAX,
	};
	struct request *request = xcalloc(1, sizeof(*request));

	request->due_us = due_us;
	request->result = RESULT_FAILED;
	if (!httpc_start(generator.pool, &http_request, &handlers, request)) {
		generator.result_count[RESULT_FAILED]++;
		free(request);
		return;
	}
	generator.in_flight++;
}

static void send_due_requests(void *arg)
{
	double now = now_us();

	while (generator.next_due_us <= now &&
	       generator.next_due_us < generator.end_us) {
		send_request(generator.next_due_us);
		generator.next_due_us += -log(1 - rng_unit(&generator.rng)) *
					 1e6 / options.rate_per_s;
	}
	if (generator.next_due_us < generator.end_us)
		loop_timer_start(generator.timer, TIMER_DELAY_MS);
	else
		stop_if_finished();
}

static int compare_latencies(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static int64_t latency_percentile_us(int percent)
{
	if (!generator.latency_count)
		return -1;
	return generator.latency_us[(generator.latency_count - 1) *
				    (size_t)percent / 100];
}

static void print_results(void)
{
	static const int percents[] = { 50, 90, 99, 100 };
	size_t i;

	qsort(generator.latency_us, generator.latency_count,
	      sizeof(*generator.latency_us), compare_latencies);
	printf("{\"bench\": \"load\", \"path\": \"%s\", \"rate\": %d, "
	       "\"seconds\": %d, \"seed\": %d",
	       options.path, options.rate_per_s, options.duration_s,
	       options.seed);
	for (i = 0; i < RESULT_COUNT; i++)
		printf(", \"%s\": %" PRId64, result_names[i],
		       generator.result_count[i]);
	for (i = 0; i < sizeof(percents) / sizeof(percents[0]); i++)
		printf(", \"p%d_us\": %" PRId64, percents[i],
		       latency_percentile_us(percents[i]));
	puts("}");
}

static int parse_options(int argc, char **argv)
{
	GOptionEntry entries[] = {
		{ "target", 0, 0, G_OPTION_ARG_STRING, &options.target,
		  "Address to call", "IP:PORT" },
		{ "path", 0, 0, G_OPTION_ARG_STRING, &options.path,
		  "Path of each request", "PATH" },
		{ "rate", 0, 0, G_OPTION_ARG_INT, &options.rate_per_s,
		  "Requests a second", "N" },
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &options.duration_s,
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
	if (options.target && options.path && options.rate_per_s > 0 &&
	    options.rate_per_s <= RATE_PER_S_MAX && options.duration_s > 0 &&
	    options.duration_s <= DURATION_S_MAX)
		return 0;
	fprintf(stderr,
		"load: --target and --path are required, --rate is 1 to %d, "
		"--seconds is 1 to %d\n",
		RATE_PER_S_MAX, DURATION_S_MAX);
	return ERR_INVALID;
}

int main(int argc, char **argv)
{
	if (parse_options(argc, argv))
		return 2;
	generator.loop = loop_new();
	generator.timer =
		loop_timer_new(generator.loop, send_due_requests, NULL);
	generator.pool = httpc_pool_new(generator.loop, options.target,
					IDLE_CONNECTIONS_MAX);
	if (!generator.pool) {
		fprintf(stderr, "load: invalid address %s\n", options.target);
		return 2;
	}
	generator.latency_us =
		xcalloc(REQUESTS_MAX, sizeof(*generator.latency_us));
	rng_seed(&generator.rng, (uint64_t)options.seed);
	generator.next_due_us = now_us();
	generator.end_us = generator.next_due_us + 1e6 * options.duration_s;
	loop_timer_start(generator.timer, 0);
	loop_run(generator.loop);
	print_results();
	httpc_pool_delete(generator.pool);
	loop_timer_delete(generator.timer);
	loop_delete(generator.loop);
	free(generator.latency_us);
	return 0;
}
