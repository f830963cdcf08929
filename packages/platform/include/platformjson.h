#ifndef CATKINHILL_PLATFORMJSON_H
#define CATKINHILL_PLATFORMJSON_H

#include <stddef.h>
#include <stdint.h>

#include "message.h"
#include "workflow.h"

/*
 * NAME
 *	platformjson - documents that callers, workers and operators write
 *
 * NOTES
 *	Decoders ignore unknown fields and reject fields of a wrong type.
 */

/* Prefix under which operators write, and the key of the configuration. */
#define PLATFORM_OPERATOR_PREFIX "op/"
#define PLATFORM_CONFIG_KEY "op/config"

/* The failure domain that a key asks to evacuate; NULL: it is another key. */
const char *platform_evacuation_domain(const char *key);

/*
 * Decodes a submitted workflow. With ERR_MALFORMED or ERR_TOO_LARGE, spec is
 * empty and *reason tells why, in static storage.
 */
int platform_decode_workflow(const char *json, size_t len, const char *id,
			     struct workflow_spec *spec, const char **reason);

/* State that a worker announces periodically to its runner. */
struct announcement {
	char service[ID_SIZE];
	enum worker_state state;
	int64_t remaining_ms; /* until a leaving worker stops; 0: not given */
	struct resources capacity;
	char labels[LABELS_MAX][NAME_SIZE];
	size_t label_count;
	uint64_t worker_start_ms; /* ms since 1970 */
	uint64_t sequence;
	int64_t clock_ms; /* on the clock of the worker */
};

/* ERR_MALFORMED: the announcement must be ignored. */
int platform_decode_announcement(const char *json, size_t len,
				 struct announcement *announcement);

/*
 * RETURN VALUE
 *	The start of the worker that deregisters, ms since 1970; 0 if the call
 *	does not name it.
 */
uint64_t platform_decode_deregistration(const char *json, size_t len);

struct platform_queue {
	char *host;
	char *prefix;
	size_t index; /* in the document's list of routes */
	struct queue_config queue;
};

struct platform_config {
	int64_t version;
	struct platform_queue *queues;
	size_t queue_count;
	size_t rejected_count;	/* of further queues, which cannot be used */
	int64_t body_max_bytes; /* bytes of a request's body; 0: not limited */
};

/* ERR_MALFORMED: config is unchanged. */
int platform_decode_config(const char *json, size_t len,
			   struct platform_config *config);
void platform_config_clear(struct platform_config *config);

/*
 * Finds the queue of a request: the host, without its port, must be equal, and
 * the longest matching prefix of the path wins. NULL when none matches.
 */
const struct platform_queue *platform_queue_find(
	const struct platform_config *config, const char *host,
	const char *path);

/* Bodies of responses to callers; newly allocated. */
char *platform_state_body(enum workflow_state state);
char *platform_pending_body(uint32_t pending);

/* HTTP calls of workers to a runner, and readiness probes of a gateway. */
enum platform_call {
	PLATFORM_CALL_NONE,
	PLATFORM_CALL_PROBE,
	PLATFORM_CALL_ANNOUNCE,
	PLATFORM_CALL_DEREGISTER
};

/* id receives the worker's identifier, "" without one. */
enum platform_call platform_call_parse(const char *method, const char *path,
				       char *id, size_t size);

/* Request header: how long the caller waits for a response. */
#define PLATFORM_DEADLINE_HEADER "X-Deadline-Ms"

#endif
