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
 * Measures CPU time and bytes of message exchanges between one server and a
 * number of clients. The clients run in a second process, so that the CPU time
 * of each side is known. Messages are sent at the rate of normal operation: at
 * full speed, the cost of a wake-up for each message would not show.
 */
#define PEER_EXCHANGES_PER_S 10
#define PEERS_MAX 300
#define TIMEOUT_FACTOR 5 /* timeout as a multiple of the duration */
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
#define PEER_COUNTS (sizeof(peer_counts) / sizeof(peer_counts[0]))

struct endpoint {
	struct loop *loop;
	enum kind kind;
	int peer_count, duration_s;
	int handshake_count;	/* known peers, or acks at the clients */
	int64_t exchange_count; /* responses received or requests answered */
	int64_t cpu_start_us, cpu_us;
	int is_started;
	struct transport *transports[PEERS_MAX]; /* the server has one */
	struct loop_timer *timers[PEERS_MAX];
	struct loop_timer *timeout_timer;
	struct peer {
		struct endpoint *endpoint;
		int number, sent_count;
	} peers[PEERS_MAX];
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
	{ .announce_ack = { "entry-a-01", UINT64_C(0x6b135f661b345289), 86400,
			    1234, UINT64_C(0x9e3779b97f4a7c15) } }
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

static int64_t cpu_time_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

static int64_t expected_exchange_count(const struct endpoint *endpoint)
{
	return (int64_t)endpoint->peer_count * PEER_EXCHANGES_PER_S *
	       endpoint->duration_s;
}

static void finish(void *arg)
{
	struct endpoint *endpoint = arg;

	endpoint->cpu_us = cpu_time_us() - endpoint->cpu_start_us;
	loop_break(endpoint->loop);
}

static void count_exchange(struct endpoint *endpoint)
{
	if (++endpoint->exchange_count == expected_exchange_count(endpoint))
		finish(endpoint);
}

static void format_peer_id(char *id, size_t size, int number)
{
	snprintf(id, size, "worker-%03d/6b1268cc", number);
}

static void send_message(void *arg)
{
	struct peer *peer = arg;
	struct endpoint *endpoint = peer->endpoint;
	char peer_id[ID_SIZE];

	format_peer_id(peer_id, sizeof(peer_id), peer->number);
	if (endpoint->kind == KIND_REQUEST)
		transport_send(endpoint->transports[0], peer_id, &request);
	else
		transport_send(endpoint->transports[peer->number], NULL,
			       endpoint->kind == KIND_ANNOUNCE ? &announce
							       : &report);
	if (++peer->sent_count < PEER_EXCHANGES_PER_S * endpoint->duration_s)
		loop_timer_start(endpoint->timers[peer->number],
				 1000 / PEER_EXCHANGES_PER_S);
}

/* Spreads the peers evenly over the interval between two messages. */
static void start_measurement(struct endpoint *endpoint, int is_sender)
{
	int i;

	endpoint->is_started = 1;
	endpoint->cpu_start_us = cpu_time_us();
	loop_timer_stop(endpoint->timeout_timer);
	loop_timer_start(
		endpoint->timeout_timer,
		endpoint->duration_s * 1000 *
			(endpoint->kind == KIND_IDLE ? 1 : TIMEOUT_FACTOR));
	for (i = 0; is_sender && i < endpoint->peer_count; i++) {
		endpoint->peers[i] = (struct peer){ endpoint, i, 0 };
		endpoint->timers[i] = loop_timer_new(
			endpoint->loop, send_message, &endpoint->peers[i]);
		loop_timer_start(endpoint->timers[i],
				 i * 1000 / PEER_EXCHANGES_PER_S /
					 endpoint->peer_count);
	}
}

static void on_server_message(void *arg, const char *peer_id,
			      const struct message *msg)
{
	struct endpoint *endpoint = arg;

	if (msg->type == MSG_RESPONSE) {
		count_exchange(endpoint);
		return;
	}
	transport_send(endpoint->transports[0], peer_id,
		       msg->type == MSG_TASK_REPORT ? &report_ack
						    : &announce_ack);
	if (endpoint->is_started)
		count_exchange(endpoint);
	else if (++endpoint->handshake_count == endpoint->peer_count)
		start_measurement(endpoint, endpoint->kind == KIND_REQUEST);
}

static void on_client_message(void *arg, const char *peer_id,
			      const struct message *msg)
{
	struct peer *peer = arg;
	struct endpoint *endpoint = peer->endpoint;

	if (msg->type == MSG_REQUEST) {
		transport_send(endpoint->transports[peer->number], NULL,
			       &response);
		count_exchange(endpoint);
	} else if (endpoint->is_started) {
		count_exchange(endpoint);
	} else if (++endpoint->handshake_count == endpoint->peer_count) {
		start_measurement(endpoint,
				  endpoint->kind == KIND_ANNOUNCE ||
					  endpoint->kind == KIND_REPORT);
	}
}

static struct endpoint *endpoint_new(enum kind kind, int peer_count,
				     int duration_s)
{
	struct endpoint *endpoint = xcalloc(1, sizeof(*endpoint));

	endpoint->loop = loop_new();
	endpoint->kind = kind;
	endpoint->peer_count = peer_count;
	endpoint->duration_s = duration_s;
	endpoint->timeout_timer =
		loop_timer_new(endpoint->loop, finish, endpoint);
	loop_timer_start(endpoint->timeout_timer,
			 duration_s * 1000 * TIMEOUT_FACTOR);
	return endpoint;
}

static void endpoint_delete(struct endpoint *endpoint)
{
	int i;

	for (i = 0; i < PEERS_MAX; i++) {
		transport_delete(endpoint->transports[i]);
		loop_timer_delete(endpoint->timers[i]);
	}
	loop_timer_delete(endpoint->timeout_timer);
	loop_delete(endpoint->loop);
	free(endpoint);
}

/* Runs the clients in the child process; writes their CPU time to the pipe. */
static void run_clients(struct endpoint *endpoint, const char *address,
			int result_fd)
{
	char peer_id[ID_SIZE];
	int i;

	for (i = 0; i < endpoint->peer_count; i++) {
		endpoint->peers[i] = (struct peer){ endpoint, i, 0 };
		format_peer_id(peer_id, sizeof(peer_id), i);
		endpoint->transports[i] = transport_client_new(
			endpoint->loop, address, peer_id, on_client_message,
			&endpoint->peers[i]);
		transport_send(endpoint->transports[i], NULL, &announce);
	}
	loop_run(endpoint->loop);
	if (write(result_fd, &endpoint->cpu_us, sizeof(endpoint->cpu_us)) < 0)
		perror("write");
}

struct result {
	int64_t server_cpu_us, client_cpu_us, exchange_count;
	double bytes_in, bytes_out; /* totals of the server */
};

static void run_server(struct endpoint *endpoint, const char *address,
		       struct result *result)
{
	const struct transport_stats *stats;

	endpoint->transports[0] = transport_server_new(
		endpoint->loop, address, on_server_message, endpoint);
	if (!endpoint->transports[0])
		abort();
	loop_run(endpoint->loop);
	stats = transport_stats(endpoint->transports[0]);
	result->server_cpu_us = endpoint->cpu_us;
	result->exchange_count = endpoint->exchange_count;
	if (!endpoint->exchange_count)
		return;
	/* measure_exchange() subtracts the first announcement of each peer. */
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

static struct result measure_exchange(enum kind kind, int peer_count,
				      int duration_s)
{
	struct result result = { 0 };
	char address[ID_SIZE];
	struct endpoint *endpoint;
	int pipe_fds[2];
	pid_t child;

	free_address(address, sizeof(address));
	if (pipe(pipe_fds))
		abort();
	child = fork();
	endpoint = endpoint_new(kind, peer_count, duration_s);
	if (!child) {
		run_clients(endpoint, address, pipe_fds[1]);
		endpoint_delete(endpoint);
		exit(0);
	}
	run_server(endpoint, address, &result);
	if (read(pipe_fds[0], &result.client_cpu_us,
		 sizeof(result.client_cpu_us)) < 0)
		perror("read");
	waitpid(child, NULL, 0);
	close(pipe_fds[0]);
	close(pipe_fds[1]);
	endpoint_delete(endpoint);
	result.bytes_in -= (double)(peer_count * (int)encoded_len(&announce));
	result.bytes_out -=
		(double)(peer_count * (int)encoded_len(&announce_ack));
	return result;
}

/* Fits y = base + slope * x by least squares. */
static void fit_line(const double *x, const double *y, double *base,
		     double *slope)
{
	double sx = 0, sy = 0, sxx = 0, sxy = 0;
	size_t i;

	for (i = 0; i < PEER_COUNTS; i++) {
		sx += x[i];
		sy += y[i];
		sxx += x[i] * x[i];
		sxy += x[i] * y[i];
	}
	*slope = (PEER_COUNTS * sxy - sx * sy) / (PEER_COUNTS * sxx - sx * sx);
	*base = (sy - *slope * sx) / PEER_COUNTS;
}

static void print_result(enum kind kind, int peer_count, int duration_s,
			 const struct result *r)
{
	double n = r->exchange_count ? (double)r->exchange_count : 1;

	printf("{\"bench\":\"transport_cost\",\"kind\":\"%s\",\"peers\":%d,"
	       "\"seconds\":%d,\"exchanges\":%" PRId64 ","
	       "\"server_cpu_us_per_s\":%.0f,\"client_cpu_us_per_s\":%.0f",
	       kind_names[kind], peer_count, duration_s, r->exchange_count,
	       (double)r->server_cpu_us / duration_s,
	       (double)r->client_cpu_us / duration_s);
	if (r->exchange_count)
		printf(",\"server_cpu_us_per_exchange\":%.1f,"
		       "\"client_cpu_us_per_exchange\":%.1f,"
		       "\"bytes_in_per_message\":%.1f,"
		       "\"bytes_out_per_message\":%.1f",
		       (double)r->server_cpu_us / n,
		       (double)r->client_cpu_us / n, r->bytes_in / n,
		       r->bytes_out / n);
	printf("}\n");
	fflush(stdout);
}

static void measure_kind(enum kind kind, int duration_s)
{
	double x[PEER_COUNTS], server_us_per_s[PEER_COUNTS],
		client_us_per_s[PEER_COUNTS];
	double server_base, server_slope, client_base, client_slope;
	size_t i;

	for (i = 0; i < PEER_COUNTS; i++) {
		struct result r =
			measure_exchange(kind, peer_counts[i], duration_s);

		x[i] = peer_counts[i];
		server_us_per_s[i] = (double)r.server_cpu_us / duration_s;
		client_us_per_s[i] = (double)r.client_cpu_us / duration_s;
		print_result(kind, peer_counts[i], duration_s, &r);
	}
	fit_line(x, server_us_per_s, &server_base, &server_slope);
	fit_line(x, client_us_per_s, &client_base, &client_slope);
	printf("{\"bench\":\"transport_cost\",\"kind\":\"%s\",\"fit\":"
	       "\"cpu_us_per_s = base + slope * peers\","
	       "\"exchanges_per_s_and_peer\":%d,"
	       "\"server_base\":%.0f,\"server_slope\":%.2f,"
	       "\"client_base\":%.0f,\"client_slope\":%.2f}\n",
	       kind_names[kind], kind == KIND_IDLE ? 0 : PEER_EXCHANGES_PER_S,
	       server_base, server_slope, client_base, client_slope);
	fflush(stdout);
}

int main(int argc, char **argv)
{
	int duration_s = argc > 1 ? atoi(argv[1]) : 3;
	int kind, i;

	if (argc > 2 || duration_s < 1 || duration_s > 60) {
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
		measure_kind((enum kind)kind, duration_s);
	return 0;
}
