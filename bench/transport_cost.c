#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "loop.h"
#include "mem.h"
#include "support.h"
#include "transport.h"

/*
 * Measures processor time and bytes of message exchanges between one server
 * and a number of clients. The clients live in a second process, so that the
 * costs of both sides are told apart. Messages are paced as in operation: a
 * run at full speed would hide the cost of waking up for each message.
 */
#define EXCHANGES_PER_S 10 /* a peer */
#define PEERS_MAX 300
#define LIMIT_FACTOR 5 /* a run is given up after this times its length */
#define REPORT_TASKS 8

enum kind {
	KIND_IDLE, /* heartbeats only */
	KIND_ANNOUNCE,
	KIND_REQUEST,
	KIND_REPORT,
	KIND_COUNT
};

static const char *const kind_names[] = {
	[KIND_IDLE] = "idle",
	[KIND_ANNOUNCE] = "announce/announce_ack",
	[KIND_REQUEST] = "request/response",
	[KIND_REPORT] = "task_report/task_report_ack",
};

static const int peer_counts[] = { 10, 30, 100, 300 };
#define RUNS (sizeof(peer_counts) / sizeof(peer_counts[0]))

struct side {
	struct loop *loop;
	enum kind kind;
	int peers, seconds;
	int hellos;   /* peers known to the server, acks at the clients */
	int64_t done; /* answers received, or requests answered */
	int64_t start_us, cpu_us;
	int is_started;
	struct transport *transports[PEERS_MAX]; /* the server has one */
	struct loop_timer *timers[PEERS_MAX];
	struct loop_timer *limit;
	struct source {
		struct side *side;
		int peer, sent;
	} sources[PEERS_MAX];
};

static struct http_header headers[] = {
	{ "Host", "stock.example" },
	{ "Accept", "application/json" },
	{ "User-Agent", "register-client/4.2" },
	{ "Catkinhill-Deadline-Ms", "500" },
	{ "Catkinhill-Caller", "reconciliation" },
	{ "Content-Type", "application/json" },
};

static struct task_status tasks[REPORT_TASKS];

static const struct message announce = {
	MSG_ANNOUNCE,
	{ .announce = { .agent = "worker-a-01",
			.incarnation = UINT64_C(0x6b1268cc1f3ca005),
			.seq = 86400,
			.service = "stock",
			.region = "region-a",
			.domain = "domain-a1",
			.rack = "rack-7",
			.slots = 8,
			.connections = 64,
			.capacity = { 64000, 250000, 2 },
			.state = AGENT_READY,
			.load = { 5, 1, 12, 35, { 42000, 180000, 1 } },
			.config_version = 1234,
			.directory_hash = UINT64_C(0x9e3779b97f4a7c15) } }
};
static const struct message announce_ack = {
	MSG_ANNOUNCE_ACK,
	{ .announce_ack = { "entry-a-01", 86400, 1234,
			    UINT64_C(0x9e3779b97f4a7c15) } }
};
static const struct message request = {
	MSG_REQUEST,
	{ .request = { .request_id = UINT64_C(0x6b1268cc00000001),
		       .trace_id = "e1-6b1268cc-000001",
		       .attempt = 1,
		       .remaining_ms = 480,
		       .method = "GET",
		       .path = "/stock/items/48151623",
		       .headers = { headers, 6 } } }
};
static const struct message response = {
	MSG_RESPONSE,
	{ .response = { UINT64_C(0x6b1268cc00000001), 200, 0, { headers, 2 } } }
};
static const struct message report = { MSG_TASK_REPORT,
				       { .task_report = {
						 3600,
						 2,
						 7,
						 "worker-a-01",
						 { tasks, REPORT_TASKS } } } };
static const struct message report_ack = {
	MSG_TASK_REPORT_ACK, { .task_report_ack = { 3600, 2, 7 } }
};

static int64_t cpu_now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

static int64_t total(const struct side *side)
{
	return (int64_t)side->peers * EXCHANGES_PER_S * side->seconds;
}

static void stop(void *arg)
{
	struct side *side = arg;

	side->cpu_us = cpu_now_us() - side->start_us;
	loop_break(side->loop);
}

static void count(struct side *side)
{
	if (++side->done == total(side))
		stop(side);
}

static void peer_name(char *name, size_t size, int peer)
{
	snprintf(name, size, "worker-%03d/6b1268cc", peer);
}

static void send_next(void *arg)
{
	struct source *source = arg;
	struct side *side = source->side;
	char name[ID_SIZE];

	peer_name(name, sizeof(name), source->peer);
	if (side->kind == KIND_REQUEST)
		transport_send(side->transports[0], name, &request);
	else
		transport_send(side->transports[source->peer], NULL,
			       side->kind == KIND_ANNOUNCE ? &announce
							   : &report);
	if (++source->sent < EXCHANGES_PER_S * side->seconds)
		loop_timer_start(side->timers[source->peer],
				 1000 / EXCHANGES_PER_S);
}

/* Spreads the peers evenly over the interval between two messages. */
static void start(struct side *side, int is_sender)
{
	int i;

	side->is_started = 1;
	side->start_us = cpu_now_us();
	loop_timer_stop(side->limit);
	loop_timer_start(side->limit,
			 side->seconds * 1000 *
				 (side->kind == KIND_IDLE ? 1 : LIMIT_FACTOR));
	for (i = 0; is_sender && i < side->peers; i++) {
		side->sources[i] = (struct source){ side, i, 0 };
		side->timers[i] = loop_timer_new(side->loop, send_next,
						 &side->sources[i]);
		loop_timer_start(side->timers[i],
				 i * 1000 / EXCHANGES_PER_S / side->peers);
	}
}

static void on_server(void *arg, const char *peer, const struct message *msg)
{
	struct side *side = arg;

	if (msg->type == MSG_RESPONSE) {
		count(side);
		return;
	}
	transport_send(side->transports[0], peer,
		       msg->type == MSG_TASK_REPORT ? &report_ack
						    : &announce_ack);
	if (side->is_started)
		count(side);
	else if (++side->hellos == side->peers)
		start(side, side->kind == KIND_REQUEST);
}

static void on_client(void *arg, const char *peer, const struct message *msg)
{
	struct source *source = arg;
	struct side *side = source->side;

	if (msg->type == MSG_REQUEST) {
		transport_send(side->transports[source->peer], NULL, &response);
		count(side);
	} else if (side->is_started) {
		count(side);
	} else if (++side->hellos == side->peers) {
		start(side,
		      side->kind == KIND_ANNOUNCE || side->kind == KIND_REPORT);
	}
}

static struct side *side_new(enum kind kind, int peers, int seconds)
{
	struct side *side = xcalloc(1, sizeof(*side));

	side->loop = loop_new();
	side->kind = kind;
	side->peers = peers;
	side->seconds = seconds;
	side->limit = loop_timer_new(side->loop, stop, side);
	loop_timer_start(side->limit, seconds * 1000 * LIMIT_FACTOR);
	return side;
}

static void side_delete(struct side *side)
{
	int i;

	for (i = 0; i < PEERS_MAX; i++) {
		transport_delete(side->transports[i]);
		loop_timer_delete(side->timers[i]);
	}
	loop_timer_delete(side->limit);
	loop_delete(side->loop);
	free(side);
}

/* The second process; writes the processor time of its side to the pipe. */
static void run_clients(struct side *side, const char *address, int out)
{
	char name[ID_SIZE];
	int i;

	for (i = 0; i < side->peers; i++) {
		side->sources[i] = (struct source){ side, i, 0 };
		peer_name(name, sizeof(name), i);
		side->transports[i] =
			transport_client_new(side->loop, address, name,
					     on_client, &side->sources[i]);
		transport_send(side->transports[i], NULL, &announce);
	}
	loop_run(side->loop);
	if (write(out, &side->cpu_us, sizeof(side->cpu_us)) < 0)
		perror("write");
}

struct result {
	int64_t server_us, client_us, done;
	double bytes_in, bytes_out; /* of the server, a message */
};

static void run_server(struct side *side, const char *address,
		       struct result *result)
{
	const struct transport_stats *stats;

	side->transports[0] =
		transport_server_new(side->loop, address, on_server, side);
	if (!side->transports[0])
		abort();
	loop_run(side->loop);
	stats = transport_stats(side->transports[0]);
	result->server_us = side->cpu_us;
	result->done = side->done;
	if (!side->done)
		return;
	/* The hello of each peer is not part of the exchange. */
	result->bytes_in = (double)stats->bytes_in;
	result->bytes_out = (double)stats->bytes_out;
}

static size_t encoded_len(const struct message *msg)
{
	unsigned char *data;
	size_t len = 0;

	if (!message_encode(msg, &data, &len))
		free(data);
	return len;
}

static struct result run(enum kind kind, int peers, int seconds)
{
	struct result result = { 0 };
	char address[ID_SIZE];
	struct side *side;
	int pipe_fds[2];
	pid_t child;

	free_address(address, sizeof(address));
	if (pipe(pipe_fds))
		abort();
	child = fork();
	side = side_new(kind, peers, seconds);
	if (!child) {
		run_clients(side, address, pipe_fds[1]);
		side_delete(side);
		exit(0);
	}
	run_server(side, address, &result);
	if (read(pipe_fds[0], &result.client_us, sizeof(result.client_us)) < 0)
		perror("read");
	waitpid(child, NULL, 0);
	close(pipe_fds[0]);
	close(pipe_fds[1]);
	side_delete(side);
	result.bytes_in -= (double)(peers * (int)encoded_len(&announce));
	result.bytes_out -= (double)(peers * (int)encoded_len(&announce_ack));
	return result;
}

/* Least squares of y = base + slope * x. */
static void fit(const double *x, const double *y, double *base, double *slope)
{
	double sx = 0, sy = 0, sxx = 0, sxy = 0;
	size_t i;

	for (i = 0; i < RUNS; i++) {
		sx += x[i];
		sy += y[i];
		sxx += x[i] * x[i];
		sxy += x[i] * y[i];
	}
	*slope = (RUNS * sxy - sx * sy) / (RUNS * sxx - sx * sx);
	*base = (sy - *slope * sx) / RUNS;
}

static void print_run(enum kind kind, int peers, int seconds,
		      const struct result *r)
{
	double n = r->done ? (double)r->done : 1;

	printf("{\"bench\":\"transport_cost\",\"kind\":\"%s\",\"peers\":%d,"
	       "\"seconds\":%d,\"exchanges\":%" PRId64 ","
	       "\"server_cpu_us_per_s\":%.0f,\"client_cpu_us_per_s\":%.0f",
	       kind_names[kind], peers, seconds, r->done,
	       (double)r->server_us / seconds, (double)r->client_us / seconds);
	if (r->done)
		printf(",\"server_cpu_us_per_exchange\":%.1f,"
		       "\"client_cpu_us_per_exchange\":%.1f,"
		       "\"bytes_in_per_message\":%.1f,"
		       "\"bytes_out_per_message\":%.1f",
		       (double)r->server_us / n, (double)r->client_us / n,
		       r->bytes_in / n, r->bytes_out / n);
	printf("}\n");
	fflush(stdout);
}

static void run_kind(enum kind kind, int seconds)
{
	double x[RUNS], server[RUNS], client[RUNS];
	double server_base, server_slope, client_base, client_slope;
	size_t i;

	for (i = 0; i < RUNS; i++) {
		struct result r = run(kind, peer_counts[i], seconds);

		x[i] = peer_counts[i];
		server[i] = (double)r.server_us / seconds;
		client[i] = (double)r.client_us / seconds;
		print_run(kind, peer_counts[i], seconds, &r);
	}
	fit(x, server, &server_base, &server_slope);
	fit(x, client, &client_base, &client_slope);
	printf("{\"bench\":\"transport_cost\",\"kind\":\"%s\",\"fit\":"
	       "\"cpu_us_per_s = base + slope * peers\","
	       "\"exchanges_per_s_and_peer\":%d,"
	       "\"server_base\":%.0f,\"server_slope\":%.2f,"
	       "\"client_base\":%.0f,\"client_slope\":%.2f}\n",
	       kind_names[kind], kind == KIND_IDLE ? 0 : EXCHANGES_PER_S,
	       server_base, server_slope, client_base, client_slope);
	fflush(stdout);
}

int main(int argc, char **argv)
{
	int seconds = argc > 1 ? atoi(argv[1]) : 3;
	int kind, i;

	if (argc > 2 || seconds < 1 || seconds > 60) {
		fprintf(stderr, "usage: %s [SECONDS]\n", argv[0]);
		return 2;
	}
	for (i = 0; i < REPORT_TASKS; i++) {
		snprintf(tasks[i].job, sizeof(tasks[i].job),
			 "reconcile-2026-49-%04d", i);
		tasks[i].run = 1;
		tasks[i].state = TASK_RUNNING;
		tasks[i].used = (struct resources){ 3500, 14000, 0 };
		tasks[i].checkpoint = "step-000150";
		tasks[i].detail = "";
	}
	for (kind = 0; kind < KIND_COUNT; kind++)
		run_kind((enum kind)kind, seconds);
	return 0;
}
