#ifndef CATKINHILL_MESSAGE_H
#define CATKINHILL_MESSAGE_H

#include <stddef.h>
#include <stdint.h>

/*
 * NAME
 *	message - messages between the processes of the system
 *
 * NOTES
 *	One message is one frame: a MessagePack array of the protocol
 *	version, the type and the fields in the order of the structs below.
 *	Sender and receiver both check the bound of each length. Identifiers
 *	are fixed arrays and always terminated; a const char * or a span of
 *	a decoded message points into its storage and is valid until
 *	message_clear().
 */
#define MESSAGE_VERSION 3
#define FRAME_MAX_BYTES (128 * 1024)
#define BODY_CHUNK_MAX_BYTES (64 * 1024)
#define ID_SIZE 64
#define NAME_SIZE 32
#define HEADERS_MAX 64
#define TASKS_MAX 256
#define ENTRIES_MAX 64
#define JOB_ID_SIZE 24
#define RUNS_MAX 1024
#define ORDER_STARTS_MAX 24
#define RUN_CHECKPOINT_MAX 4000 /* bytes; a longer one is not carried */
/* Largest encoded row about a run, without the texts besides its task. */
#define RUN_ROW_BYTES 64
#define LABELS_MAX 16

/* Whether a request was run, as far as is known. */
enum outcome {
	OUTCOME_DONE,
	OUTCOME_NOT_RUN,
	OUTCOME_UNKNOWN
};

enum agent_state {
	AGENT_NOT_READY,
	AGENT_READY,
	AGENT_LEAVING
};

/* Why an agent refused a request; the request was certainly not run. */
enum refusal {
	REFUSAL_FULL,	   /* no free slot, connection or queue position */
	REFUSAL_LEAVING,   /* the upstream is leaving */
	REFUSAL_NOT_READY, /* the worker cannot be reached */
	REFUSAL_DEADLINE,  /* the deadline passed before the start */
	REFUSAL_CANCELLED, /* cancelled before the start */
	REFUSAL_MALFORMED, /* the request cannot be sent as it is */
	REFUSAL_COUNT
};

enum task_state {
	TASK_STARTING,
	TASK_RUNNING,
	TASK_STOPPING,
	TASK_STOPPED,  /* stopped by command; checkpoint is final */
	TASK_FINISHED, /* ended by itself with success */
	TASK_FAILED,   /* ended by itself without success */
	TASK_LOST,     /* the worker no longer knows it */
	TASK_REFUSED,  /* never started; refusal in detail */
	TASK_STATE_COUNT
};

enum stop_mode {
	STOP_EVICT,
	STOP_CANCEL
};

/* Detail of a run that its agent evicted to free capacity for an urgent run. */
#define DETAIL_EVICTED_FOR_URGENT "urgent-room"

const char *outcome_name(enum outcome outcome);
const char *agent_state_name(enum agent_state state);
const char *refusal_name(enum refusal refusal);
const char *task_state_name(enum task_state state);

struct span {
	const unsigned char *data;
	size_t len;
};

struct resources {
	uint32_t cpu_milli;
	uint32_t mem_mb;
	uint32_t accel;
};

/* Load of an upstream as its agent sees it. */
struct load {
	uint32_t in_flight;   /* requests that hold a slot */
	uint32_t queued;      /* requests that wait for a slot */
	uint32_t connections; /* requests in flight and open streams */
	uint32_t latency_ms;  /* average of recent response times */
	struct resources used;
};

struct http_header {
	const char *name;
	const char *value;
};

struct header_list {
	struct http_header *items;
	size_t count;
};

struct entry_address {
	char id[ID_SIZE];
	char address[ID_SIZE]; /* ip:port that agents connect to */
};

struct entry_list {
	struct entry_address *items;
	size_t count;
};

struct task_status {
	char job[ID_SIZE];
	uint64_t run;
	uint32_t state;		/* enum task_state */
	struct resources used;	/* measured by the worker, with a delay */
	const char *checkpoint; /* "" for none */
	const char *detail;	/* reason of a failure or refusal, or "" */
};

struct task_list {
	struct task_status *items;
	size_t count;
};

enum message_type {
	MSG_ANNOUNCE = 1,
	MSG_ANNOUNCE_ACK,
	MSG_CONFIG,
	MSG_REQUEST,
	MSG_REQUEST_BODY,
	MSG_CANCEL,
	MSG_REFUSED,
	MSG_RESPONSE,
	MSG_RESPONSE_BODY,
	MSG_RESPONSE_END,
	MSG_CREDIT,
	MSG_TASK_START,
	MSG_TASK_STOP,
	MSG_TASK_THROTTLE,
	MSG_TASK_REPORT,
	MSG_TASK_REPORT_ACK,
	MSG_OWNER,
	MSG_WORK_HELLO,
	MSG_WORK_REPORT,
	MSG_WORK_ORDERS,
	MSG_TYPE_COUNT
};

/* One task of a workflow; the numbers count from 0. */
struct task_id {
	char job[JOB_ID_SIZE];
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
};

/* How a run ended at its worker. */
enum run_end {
	RUN_END_DONE,
	RUN_END_FAILED,
	RUN_END_STOPPED,	 /* by an order of the scheduler */
	RUN_END_LEASE_EXPIRED,	 /* its lease expired */
	RUN_END_GANG_BROKEN,	 /* another member of its gang ended */
	RUN_END_GANG_INCOMPLETE, /* other members of its gang did not start */
	RUN_END_COUNT
};

/* What a runner knows of a run that has not ended. */
enum run_phase {
	RUN_PENDING, /* ordered; the worker has not confirmed the start */
	RUN_ACTIVE,  /* listed by the worker */
	RUN_GONE,    /* started, but the worker lists neither it nor its end */
	RUN_REFUSED, /* the worker proved that it was not started */
	RUN_PHASE_COUNT
};

enum worker_state {
	WORKER_ABSENT, /* no worker has announced itself to the runner */
	WORKER_READY,
	WORKER_LEAVING,
	WORKER_STATE_COUNT
};

const char *run_end_name(enum run_end end);

struct msg_announce {
	char agent[ID_SIZE];
	uint64_t incarnation;
	uint64_t seq;
	char service[ID_SIZE];
	char region[NAME_SIZE];
	char domain[NAME_SIZE];
	char rack[NAME_SIZE];
	uint32_t slots;
	uint32_t connections;
	struct resources capacity;
	uint32_t state; /* enum agent_state */
	struct load load;
	uint64_t config_version;
	uint64_t directory_hash;
	struct resources evictable; /* part of load.used; see msg_task_start */
};

struct msg_announce_ack {
	char entry[ID_SIZE];
	uint64_t incarnation; /* of the entry's process */
	uint64_t seq;
	uint64_t config_version;
	uint64_t directory_hash;
	struct entry_list entries; /* empty when the agent's hash is equal */
};

struct msg_config {
	uint64_t version;
	const char *json;
};

/*
 * The entry chooses a new request_id for each attempt. Its upper bits are
 * random for each start of an entry process, so that a response to an earlier
 * process is never matched to a request of this one.
 */
struct msg_request {
	uint64_t request_id;
	char trace_id[ID_SIZE]; /* the same for all attempts, for logs */
	uint32_t attempt;	/* 1, 2, ... */
	uint32_t remaining_ms;
	const char *method;
	const char *path;
	struct header_list headers;
	uint64_t body_length;
};

struct msg_request_body {
	uint64_t request_id;
	uint64_t offset;
	struct span data;
	uint32_t is_last;
};

struct msg_cancel {
	uint64_t request_id;
};

struct msg_refused {
	uint64_t request_id;
	uint32_t reason; /* enum refusal */
	struct load load;
};

struct msg_response {
	uint64_t request_id;
	uint32_t status;
	uint32_t is_stream; /* 1: open-ended stream without a deadline */
	struct header_list headers;
};

struct msg_response_body {
	uint64_t request_id;
	uint64_t offset;
	struct span data;
};

struct msg_response_end {
	uint64_t request_id;
	uint32_t outcome; /* enum outcome; done: the response is complete */
	uint32_t upstream_leaving; /* 1: this is why the stream ended */
	uint64_t body_length;	   /* bytes of the whole body */
	struct load load;
};

struct msg_credit {
	uint64_t request_id;
	uint32_t bytes;
};

/*
 * An urgent run may evict runs of any partition that are not urgent, except
 * those whose eviction pause has not passed. eviction_pause_ms is what was left
 * of the eviction pause of the started run when the message was sent.
 */
struct msg_task_start {
	uint32_t partition;
	uint64_t epoch;
	char job[ID_SIZE];
	uint64_t run;
	struct resources reserved;
	const char *checkpoint;
	const char *command;
	uint32_t urgent;
	uint32_t eviction_pause_ms;
};

struct msg_task_stop {
	uint32_t partition;
	uint64_t epoch;
	char job[ID_SIZE];
	uint64_t run;
	uint32_t mode; /* enum stop_mode */
};

struct msg_task_throttle {
	uint32_t partition;
	uint64_t epoch;
	char job[ID_SIZE];
	uint64_t run;
	uint32_t percent;
};

struct msg_task_report {
	uint64_t seq;
	uint32_t partition;
	uint64_t epoch;
	char agent[ID_SIZE];
	struct task_list tasks;
};

/*
 * ends_recorded is 1 when the ends of runs in the report are in the store. With
 * 0 the grants are extended too, but the agent keeps reporting these ends.
 */
struct msg_task_report_ack {
	uint64_t seq;
	uint32_t partition;
	uint64_t epoch;
	uint32_t ends_recorded;
};

struct msg_owner {
	uint32_t partition;
	uint64_t epoch;
	char entry[ID_SIZE];
};

/* Tells a runner which scheduler to report to. */
struct msg_work_hello {
	uint64_t epoch;
	char scheduler[ID_SIZE];
};

struct text_item {
	const char *text;
};

struct text_list {
	struct text_item *items;
	size_t count;
};

struct run_status {
	struct task_id task;
	uint32_t run;
	uint32_t phase; /* enum run_phase */
	uint32_t progress_percent;
	uint32_t latency_or_cpu; /* latency in ms if it serves, else CPU use */
	const char *checkpoint;
	const char *detail; /* why a start was refused, or "" */
};

struct run_status_list {
	struct run_status *items;
	size_t count;
};

struct ended_run {
	uint64_t
		number; /* counts up by one within an incarnation of a worker */
	struct task_id task;
	uint32_t run;
	uint32_t how; /* enum run_end */
	const char *checkpoint;
};

struct ended_run_list {
	struct ended_run *items;
	size_t count;
};

struct msg_work_report {
	uint64_t epoch;	  /* of the scheduler that is reported to */
	uint64_t seq;	  /* incremented for each report of a session */
	uint64_t session; /* incarnation of the runner */
	char worker[ID_SIZE];
	uint64_t worker_start_ms; /* ms since 1970 */
	uint64_t fence;		  /* used to read the lists; 0: not read yet */
	uint32_t state;		  /* enum worker_state */
	uint32_t remaining_ms;
	uint32_t list_age_ms; /* since the lists were read */
	/* Of any lease granted for runs at this VM, by any scheduler. */
	uint32_t lease_left_ms;
	char service[ID_SIZE];
	char domain[NAME_SIZE]; /* failure domain of the VM */
	struct resources capacity;
	struct text_list labels;
	struct run_status_list runs;
	struct ended_run_list ends;
};

struct run_order {
	struct task_id task;
	uint32_t run;
	const char *payload;
	const char *checkpoint;
	uint32_t best_effort;	    /* uses what other tasks leave unused */
	uint32_t latency_target_ms; /* 0: the task serves no requests */
};

struct run_order_list {
	struct run_order *items;
	size_t count;
};

struct run_id {
	struct task_id task;
	uint32_t run;
};

struct run_id_list {
	struct run_id *items;
	size_t count;
};

struct run_pace {
	struct task_id task;
	uint32_t run;
	uint32_t percent; /* share of its full speed that the run may use */
};

struct run_pace_list {
	struct run_pace *items;
	size_t count;
};

/*
 * Response to a report. Extends the lease of all runs of the worker until
 * lease_ms after the report with report_seq was sent; 0 extends nothing.
 */
struct msg_work_orders {
	uint64_t epoch;
	uint64_t report_seq;
	uint64_t fence;
	char worker[ID_SIZE];
	uint64_t worker_start_ms;
	uint32_t lease_ms;
	uint64_t stored_end_number; /* ends up to this number are stored */
	struct run_order_list starts;
	struct run_id_list stops;
	struct run_pace_list paces;
};

struct message {
	enum message_type type;
	union {
		struct msg_announce announce;
		struct msg_announce_ack announce_ack;
		struct msg_config config;
		struct msg_request request;
		struct msg_request_body request_body;
		struct msg_cancel cancel;
		struct msg_refused refused;
		struct msg_response response;
		struct msg_response_body response_body;
		struct msg_response_end response_end;
		struct msg_credit credit;
		struct msg_task_start task_start;
		struct msg_task_stop task_stop;
		struct msg_task_throttle task_throttle;
		struct msg_task_report task_report;
		struct msg_task_report_ack task_report_ack;
		struct msg_owner owner;
		struct msg_work_hello work_hello;
		struct msg_work_report work_report;
		struct msg_work_orders work_orders;
	} u;
	void *storage; /* of a decoded message; NULL in one that is sent */
};

/*
 * Encodes a message. NULL strings are sent as "".
 *
 * RETURN VALUE
 *	0; *data is newly allocated and freed by the caller.
 * ERRORS
 *	ERR_INVALID	unknown type
 *	ERR_TOO_LARGE	a field or the frame exceeds its bound
 */
int message_encode(const struct message *msg, unsigned char **data,
		   size_t *len);

/*
 * Decodes a frame; on success the message is released by message_clear().
 *
 * ERRORS
 *	ERR_MALFORMED	not a frame of this version, wrong field types, a
 *			value outside its range
 *	ERR_TOO_LARGE	a field or the frame exceeds its bound
 *	ERR_INVALID	unknown type
 */
int message_decode(struct message *msg, const unsigned char *data, size_t len);

void message_clear(struct message *msg);

const char *message_type_name(enum message_type type);

#endif
