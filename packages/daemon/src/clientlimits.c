#include "clientlimits.h"

#include <sys/resource.h>

#define MB (1024 * 1024)
/* Listeners, log, store, worker, peers, probes and metrics. */
#define DESCRIPTORS_RESERVED 128
#define CONNECTIONS_MIN 16
/*
 * A request that is carried out may take a connection to the store: of four
 * descriptors, one is left for it.
 */
#define CONNECTIONS_PERCENT 75
#define CONNECTIONS_PER_REQUEST 3
#define PROBE_CONNECTIONS 32
#define PROBE_BYTES MB
/* Monitoring and a few operators, each with a plan of up to 1 MiB. */
#define ADMIN_CONNECTIONS 48
#define ADMIN_BYTES (16 * MB)
#define ADMIN_ARRIVAL_MS 30000

static size_t connections_max(const struct settings *settings)
{
	size_t wanted = (size_t)settings->clients_connections;
	struct rlimit files;
	size_t room;

	if (getrlimit(RLIMIT_NOFILE, &files) || files.rlim_cur == RLIM_INFINITY)
		return wanted;
	if (files.rlim_cur <= DESCRIPTORS_RESERVED + 2 * CONNECTIONS_MIN)
		return CONNECTIONS_MIN;
	room = (size_t)(files.rlim_cur - DESCRIPTORS_RESERVED) *
	       CONNECTIONS_PERCENT / 100;
	return wanted < room ? wanted : room;
}

struct budget_limits clientlimits(const struct settings *settings)
{
	size_t connections = connections_max(settings);

	return (struct budget_limits){
		.bytes = (size_t)settings->clients_held_mb * MB,
		.connections = connections,
		.busy = connections / CONNECTIONS_PER_REQUEST,
		.arrival_ms = settings->clients_arrival_s * 1000,
	};
}

struct budget_limits clientlimits_probe(const struct settings *settings)
{
	return (struct budget_limits){
		.bytes = PROBE_BYTES,
		.connections = PROBE_CONNECTIONS,
		.busy = PROBE_CONNECTIONS,
		.arrival_ms = settings->clients_arrival_s * 1000,
	};
}

struct budget_limits clientlimits_admin(void)
{
	return (struct budget_limits){
		.bytes = ADMIN_BYTES,
		.connections = ADMIN_CONNECTIONS,
		.busy = ADMIN_CONNECTIONS,
		.arrival_ms = ADMIN_ARRIVAL_MS,
	};
}
