#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <msgpack.h>

#include "errors.h"
#include "mem.h"
#include "partition.h"
#include "partition_internal.h"
#include "framecheck.h"

/*
 * Format 1 had no log and no clock of the writer. Programs of that time would
 * ignore the log, so the number must make them reject later values.
 */
#define VALUE_FORMAT 2
#define VALUE_FIELDS 9
/* Differs from all value formats, so that neither is decoded as the other. */
#define DELTA_FORMAT 3
#define DELTA_FIELDS 10
/* Limit for decoded ages and clocks, so that their sums cannot overflow. */
#define DURATION_MAX_MS (INT64_MAX / 4)
#define JOB_FIELDS 23
#define JOB_TIME_FIELDS 5

/* Times are encoded as ages: clocks of two processes are never compared. */
static void pack_age(msgpack_packer *packer, struct mstime since,
		     struct mstime now)
{
	int64_t age = mstime_diff(now, since);

	msgpack_pack_uint64(packer, age > 0 ? (uint64_t)age : 0);
}

static void pack_str(msgpack_packer *packer, const char *str)
{
	size_t len = strlen(str);

	msgpack_pack_str(packer, len);
	msgpack_pack_str_body(packer, str, len);
}

static void pack_resources(msgpack_packer *packer, const struct resources *res)
{
	msgpack_pack_uint32(packer, res->cpu_milli);
	msgpack_pack_uint32(packer, res->mem_mb);
	msgpack_pack_uint32(packer, res->accel);
}

static void pack_job(msgpack_packer *packer, const struct job *job,
		     struct mstime now)
{
	uint32_t i;

	msgpack_pack_array(packer, JOB_FIELDS);
	pack_str(packer, job->id);
	pack_str(packer, job->team);
	pack_str(packer, job->command);
	pack_resources(packer, &job->declared);
	msgpack_pack_uint8(packer, job->urgent != 0);
	msgpack_pack_uint8(packer, job->state);
	msgpack_pack_uint8(packer, job->stop);
	msgpack_pack_uint64(packer, job->arrival_order);
	msgpack_pack_uint64(packer, job->run);
	pack_str(packer, job->agent);
	pack_resources(packer, &job->reserved);
	pack_str(packer, job->checkpoint);
	/* Each owner determines the reason why a job waits itself. */
	pack_str(packer, job->state == JOB_QUEUED ? "" : job->reason);
	msgpack_pack_uint32(packer, job->failed_runs);
	msgpack_pack_uint32(packer, job->evictions);
	msgpack_pack_uint8(packer, job->evicted != 0);
	msgpack_pack_array(packer, job->failed_agent_count);
	for (i = 0; i < job->failed_agent_count; i++)
		msgpack_pack_uint64(packer, job->failed_agents[i]);
	msgpack_pack_array(packer, JOB_TIME_FIELDS);
	pack_age(packer, job->submitted_at, now);
	pack_age(packer, job->started_at, now);
	pack_age(packer, job->evicted_at, now);
	pack_age(packer, job->ended_at, now);
	pack_age(packer, job->checkpointed_at, now);
	msgpack_pack_uint32(packer, job->early_losses);
}

static void pack_jobs(msgpack_packer *packer, const struct partition *partition,
		      uint64_t since, struct mstime now)
{
	const struct list *pos;
	size_t count = 0;

	list_for_each (pos, &partition->jobs)
		count += list_entry(pos, struct job, node)->version >= since;
	msgpack_pack_array(packer, count);
	list_for_each (pos, &partition->jobs) {
		const struct job *job = list_entry(pos, struct job, node);

		if (job->version >= since)
			pack_job(packer, job, now);
	}
}

static void pack_removed(msgpack_packer *packer,
			 const struct partition *partition)
{
	const struct list *pos;
	size_t count = 0;

	list_for_each (pos, &partition->removed)
		count++;
	msgpack_pack_array(packer, count);
	list_for_each (pos, &partition->removed)
		pack_str(packer, list_entry(pos, struct removed_job, node)->id);
}

/* since: lowest version of the jobs to include. */
static int encode(const struct partition *partition, int format, uint64_t since,
		  const char *writer, struct mstime now, char **data,
		  size_t *len)
{
	int is_delta = format == DELTA_FORMAT;
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	char token[sizeof(partition->writer_token)];

	snprintf(token, sizeof(token), "%s/%" PRIu64, writer,
		 partition->version);
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, is_delta ? DELTA_FIELDS : VALUE_FIELDS);
	msgpack_pack_uint8(&packer, (uint8_t)format);
	msgpack_pack_uint32(&packer, partition->number);
	msgpack_pack_uint64(&packer, partition->epoch);
	msgpack_pack_uint64(&packer, partition->log_seq + (uint64_t)is_delta);
	pack_str(&packer, token);
	msgpack_pack_uint64(&packer, (uint64_t)partition->holdover_ms);
	msgpack_pack_uint64(&packer, partition->next_arrival_order);
	pack_jobs(&packer, partition, since, now);
	msgpack_pack_uint64(&packer, (uint64_t)now.ms);
	if (is_delta)
		pack_removed(&packer, partition);
	*len = buffer.size;
	*data = msgpack_sbuffer_release(&buffer);
	if (*len <= PARTITION_VALUE_MAX_BYTES)
		return 0;
	free(*data);
	*data = NULL;
	return ERR_TOO_LARGE;
}

int partition_encode(struct partition *partition, const char *writer,
		     struct mstime now, char **data, size_t *len)
{
	return encode(partition, VALUE_FORMAT, 0, writer, now, data, len);
}

int partition_encode_delta(const struct partition *partition,
			   const char *writer, struct mstime now, char **data,
			   size_t *len)
{
	return encode(partition, DELTA_FORMAT, partition->committed_version + 1,
		      writer, now, data, len);
}

/* Reads the elements of one array in order; err stays set after an error. */
struct cursor {
	const msgpack_object *next, *end;
	int err;
};

static const msgpack_object *read_object(struct cursor *cursor,
					 msgpack_object_type type)
{
	if (cursor->err || cursor->next == cursor->end ||
	    cursor->next->type != type) {
		cursor->err = ERR_MALFORMED;
		return NULL;
	}
	return cursor->next++;
}

static uint64_t read_uint(struct cursor *cursor, uint64_t max)
{
	const msgpack_object *object =
		read_object(cursor, MSGPACK_OBJECT_POSITIVE_INTEGER);

	if (object && object->via.u64 <= max)
		return object->via.u64;
	cursor->err = ERR_MALFORMED;
	return 0;
}

static void read_str(struct cursor *cursor, char *dst, size_t size)
{
	const msgpack_object *object = read_object(cursor, MSGPACK_OBJECT_STR);

	if (!object)
		return;
	if (object->via.str.size >= size) {
		cursor->err = ERR_MALFORMED;
		return;
	}
	/* msgpack-c gives NULL for a string of length 0. */
	if (object->via.str.size)
		memcpy(dst, object->via.str.ptr, object->via.str.size);
	dst[object->via.str.size] = '\0';
}

static struct cursor read_array(struct cursor *cursor)
{
	const msgpack_object *object =
		read_object(cursor, MSGPACK_OBJECT_ARRAY);
	struct cursor inner = { NULL, NULL, cursor->err };

	if (object) {
		inner.next = object->via.array.ptr;
		inner.end = inner.next + object->via.array.size;
	}
	return inner;
}

static void read_resources(struct cursor *cursor, struct resources *res)
{
	res->cpu_milli = (uint32_t)read_uint(cursor, UINT32_MAX);
	res->mem_mb = (uint32_t)read_uint(cursor, UINT32_MAX);
	res->accel = (uint32_t)read_uint(cursor, UINT32_MAX);
}

static struct mstime read_age(struct cursor *cursor, struct mstime now)
{
	return mstime_add(now, -(int64_t)read_uint(cursor, DURATION_MAX_MS));
}

static void read_failed_agents(struct cursor *cursor, struct job *job)
{
	struct cursor agents = read_array(cursor);

	while (agents.next < agents.end &&
	       job->failed_agent_count < JOB_FAILED_AGENTS_MAX && !agents.err)
		job->failed_agents[job->failed_agent_count++] =
			read_uint(&agents, UINT64_MAX);
	if (agents.err)
		cursor->err = agents.err;
}

static void read_times(struct cursor *cursor, struct job *job,
		       struct mstime now)
{
	struct cursor times = read_array(cursor);

	job->submitted_at = read_age(&times, now);
	job->started_at = read_age(&times, now);
	job->evicted_at = read_age(&times, now);
	job->ended_at = read_age(&times, now);
	job->checkpointed_at = read_age(&times, now);
	if (times.err)
		cursor->err = times.err;
}

static void read_job(struct cursor *cursor, struct job *job, struct mstime now)
{
	char command[JOB_COMMAND_MAX + 1] = "";

	read_str(cursor, job->id, sizeof(job->id));
	read_str(cursor, job->team, sizeof(job->team));
	read_str(cursor, command, sizeof(command));
	job->command = xstrdup(command);
	read_resources(cursor, &job->declared);
	job->urgent = (int)read_uint(cursor, 1);
	job->state = (enum job_state)read_uint(cursor, JOB_STATE_COUNT - 1);
	job->stop = (enum stop_mode)read_uint(cursor, STOP_CANCEL);
	job->arrival_order = read_uint(cursor, UINT64_MAX);
	job->run = read_uint(cursor, UINT64_MAX);
	read_str(cursor, job->agent, sizeof(job->agent));
	read_resources(cursor, &job->reserved);
	read_str(cursor, job->checkpoint, sizeof(job->checkpoint));
	read_str(cursor, job->reason, sizeof(job->reason));
	job->failed_runs = (uint32_t)read_uint(cursor, UINT32_MAX);
	job->evictions = (uint32_t)read_uint(cursor, UINT32_MAX);
	job->evicted = (int)read_uint(cursor, 1);
	read_failed_agents(cursor, job);
	read_times(cursor, job, now);
	/* Values written by earlier releases end here. */
	if (!cursor->err && cursor->next < cursor->end)
		job->early_losses = (uint32_t)read_uint(cursor, UINT32_MAX);
}

static int decode_job(struct partition *partition, struct cursor *jobs,
		      int is_delta, struct mstime now)
{
	struct cursor fields = read_array(jobs);
	struct job *job = xcalloc(1, sizeof(*job));
	struct job *known;

	read_job(&fields, job, now);
	known = partition_find(partition, job->id);
	if (fields.err || (known && !is_delta)) {
		free(job->command);
		free(job);
		return ERR_MALFORMED;
	}
	job->inherited = 1;
	job->start_sent = 1;
	job->start_sent_at = now;
	partition_add_job(partition, job);
	if (!known)
		return 0;
	/* The job keeps its place in the order of arrival. */
	list_del(&job->node);
	list_add_tail(&known->node, &job->node);
	partition_remove_job(partition, known);
	return 0;
}

static int decode_jobs(struct partition *partition, struct cursor *jobs,
		       int is_delta, struct mstime now)
{
	while (jobs->next < jobs->end)
		if (decode_job(partition, jobs, is_delta, now))
			return ERR_MALFORMED;
	return jobs->err;
}

struct header {
	uint64_t format, number, epoch, seq, holdover_ms, next_order;
	char token[160];
};

static void read_header(struct cursor *cursor, struct header *header)
{
	memset(header, 0, sizeof(*header));
	header->format = read_uint(cursor, DELTA_FORMAT);
	header->number = read_uint(cursor, UINT32_MAX);
	header->epoch = read_uint(cursor, UINT64_MAX);
	header->seq = read_uint(cursor, UINT64_MAX);
	read_str(cursor, header->token, sizeof(header->token));
	header->holdover_ms = read_uint(cursor, INT64_MAX);
	header->next_order = read_uint(cursor, UINT64_MAX);
}

static void apply_header(struct partition *partition,
			 const struct header *header)
{
	partition->epoch = header->epoch;
	partition->log_seq = header->seq;
	partition->holdover_ms = (int64_t)header->holdover_ms;
	partition->next_arrival_order = header->next_order;
	memcpy(partition->writer_token, header->token, sizeof(header->token));
}

static int decode_value(struct partition *partition, struct cursor *cursor,
			struct mstime now)
{
	struct header header;
	struct cursor jobs;

	read_header(cursor, &header);
	jobs = read_array(cursor);
	if (jobs.err || header.number != partition->number ||
	    header.format > VALUE_FORMAT)
		return ERR_MALFORMED;
	apply_header(partition, &header);
	/* Values of format 1 end here and have no log. */
	if (header.format == VALUE_FORMAT)
		partition->writer_clock_ms =
			(int64_t)read_uint(cursor, DURATION_MAX_MS);
	if (cursor->err)
		return ERR_MALFORMED;
	return decode_jobs(partition, &jobs, 0, now);
}

static int remove_jobs(struct partition *partition, struct cursor *removed)
{
	char id[ID_SIZE] = "";
	struct job *job;

	while (removed->next < removed->end) {
		read_str(removed, id, sizeof(id));
		job = removed->err ? NULL : partition_find(partition, id);
		if (!job)
			return ERR_MALFORMED;
		partition_remove_job(partition, job);
	}
	return removed->err;
}

/*
 * Ages in the value and in earlier entries are relative to the time of their
 * write. The value and the entries of one epoch have the same writer, so the
 * difference of its clock readings is the time that has passed since.
 */
static void shift_job_times(struct partition *partition, int64_t ms)
{
	struct list *pos;

	list_for_each (pos, &partition->jobs) {
		struct job *job = list_entry(pos, struct job, node);

		job->submitted_at = mstime_add(job->submitted_at, -ms);
		job->started_at = mstime_add(job->started_at, -ms);
		job->evicted_at = mstime_add(job->evicted_at, -ms);
		job->ended_at = mstime_add(job->ended_at, -ms);
		job->checkpointed_at = mstime_add(job->checkpointed_at, -ms);
	}
}

static int decode_delta(struct partition *partition, struct cursor *cursor,
			struct mstime now)
{
	struct header header;
	struct cursor jobs, removed;
	int64_t written_ms;

	read_header(cursor, &header);
	jobs = read_array(cursor);
	written_ms = (int64_t)read_uint(cursor, DURATION_MAX_MS);
	removed = read_array(cursor);
	if (cursor->err || header.format != DELTA_FORMAT)
		return ERR_MALFORMED;
	if (header.number != partition->number ||
	    header.epoch != partition->epoch ||
	    header.seq != partition->log_seq + 1)
		return ERR_INVALID;
	if (written_ms < partition->writer_clock_ms)
		return ERR_MALFORMED;
	apply_header(partition, &header);
	shift_job_times(partition, written_ms - partition->writer_clock_ms);
	partition->writer_clock_ms = written_ms;
	/* First: a job with a removed id may have been submitted again. */
	if (remove_jobs(partition, &removed))
		return ERR_MALFORMED;
	return decode_jobs(partition, &jobs, 1, now);
}

static int unpack(msgpack_unpacked *unpacked, const void *data, size_t len,
		  struct cursor *cursor)
{
	struct cursor outer;
	size_t offset = 0;

	msgpack_unpacked_init(unpacked);
	if (framecheck_structure(data, len) ||
	    msgpack_unpack_next(unpacked, data, len, &offset) !=
		    MSGPACK_UNPACK_SUCCESS)
		return ERR_MALFORMED;
	outer = (struct cursor){ &unpacked->data, &unpacked->data + 1, 0 };
	*cursor = read_array(&outer);
	return outer.err;
}

int partition_decode(struct partition *partition, const void *data, size_t len,
		     struct mstime now)
{
	msgpack_unpacked unpacked;
	struct cursor cursor;
	int err = unpack(&unpacked, data, len, &cursor);

	if (!err)
		err = decode_value(partition, &cursor, now);
	msgpack_unpacked_destroy(&unpacked);
	return err;
}

int partition_apply_delta(struct partition *partition, const void *data,
			  size_t len, struct mstime now)
{
	msgpack_unpacked unpacked;
	struct cursor cursor;
	int err = unpack(&unpacked, data, len, &cursor);

	if (!err)
		err = decode_delta(partition, &cursor, now);
	msgpack_unpacked_destroy(&unpacked);
	return err;
}

int partition_written_by(const void *data, size_t len, const char *writer,
			 uint64_t *epoch, uint64_t *seq, uint64_t *version)
{
	msgpack_unpacked unpacked;
	size_t prefix = strlen(writer);
	struct cursor cursor;
	struct header header;
	char *end;
	int err = unpack(&unpacked, data, len, &cursor);

	if (!err) {
		read_header(&cursor, &header);
		err = cursor.err;
	}
	msgpack_unpacked_destroy(&unpacked);
	if (err)
		return err;
	*epoch = header.epoch;
	*seq = header.seq;
	if (strncmp(header.token, writer, prefix) ||
	    header.token[prefix] != '/')
		return 0;
	*version = strtoull(header.token + prefix + 1, &end, 10);
	return *end == '\0';
}
