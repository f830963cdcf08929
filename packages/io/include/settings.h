#ifndef CATKINHILL_SETTINGS_H
#define CATKINHILL_SETTINGS_H

#include <stddef.h>
#include <stdint.h>

#include "events.h"
#include "message.h"

/*
 * NAME
 *	settings - the daemon's INI file
 *
 * NOTES
 *	Read and checked once at startup, then passed down as const. One
 *	table in settingskeys.c holds section, key, type, unit, range, default
 *	and the roles for which a key is required or allowed;
 *	docs/configuration.md lists it and a test compares the two.
 */
enum role {
	ROLE_ENTRY,
	ROLE_AGENT,
	ROLE_GATEWAY, /* accepts workflows of the users' platform */
	ROLE_RUNNER,  /* agent beside a worker of that platform */
	ROLE_COUNT
};

#define SEEDS_MAX 8

struct settings {
	/* [daemon] */
	enum role role;
	char id[ID_SIZE];
	char region[NAME_SIZE];
	char domain[NAME_SIZE];
	char rack[NAME_SIZE];
	enum log_level log_level;
	int64_t stop_ms; /* time limit of a graceful shutdown */

	/* [listen], each ip:port */
	char callers[ID_SIZE]; /* entry, gateway: HTTP for callers */
	char peers[ID_SIZE];   /* ZeroMQ for agents or schedulers */
	char probe[ID_SIZE];   /* gateway: HTTP probes of the load balancer */
	char announcements[ID_SIZE]; /* runner: HTTP for its worker */
	char admin[ID_SIZE];	     /* all: metrics, health, operator API */

	/* [clients] of gateways and runners */
	int64_t clients_held_mb;
	int64_t clients_connections;
	int64_t clients_arrival_s;

	/* [store] */
	char store_address[ID_SIZE];
	int64_t store_timeout_ms;
	int64_t store_lease_s; /* registration and ownership leases */

	/* [entry] */
	char default_service[ID_SIZE];
	int64_t body_buffer_mb; /* buffered bodies of all requests */

	/* [agent] */
	char seeds[SEEDS_MAX][ID_SIZE]; /* initial entries, each ip:port */
	size_t seed_count;
	char service[ID_SIZE];
	char upstream[ID_SIZE]; /* HTTP address of the service, ip:port */
	char tasks[ID_SIZE];	/* task interface of the worker, ip:port */
	int64_t slots;
	int64_t connections;
	int64_t queue; /* requests waiting for a slot */
	int64_t cpu_milli;
	int64_t mem_mb;
	int64_t accel;

	/* [admission] */
	int64_t outlook_age_ms;	 /* 0: no outlook is published or used */
	int64_t retry_spread_ms; /* of Retry-After while the store is away */

	/* [runner] */
	char worker[ID_SIZE]; /* address of the worker, for orders; ip:port */
};

/*
 * Reads and checks the file.
 *
 * RETURN VALUE
 *	0, or ERR_INVALID; then message holds one line with file, line, key
 *	and what is allowed.
 */
int settings_load(struct settings *settings, const char *path, char *message,
		  size_t message_size);

/* Prints the table of keys, for --help-settings and docs. */
char *settings_describe(void);

const char *role_name(enum role role);

#endif
