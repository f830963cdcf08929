#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "fuzz.h"
#include "mem.h"
#include "message.h"

/*
 * A frame is either refused or decoded to a message that can be encoded, and
 * whose encoding decodes to the same message.
 */
int fuzz_one_input(const unsigned char *data, size_t len)
{
	unsigned char *copy = xmemdup(data, len);
	unsigned char *first, *second;
	size_t first_len, second_len;
	struct message msg, round_trip;

	if (message_decode(&msg, copy, len)) {
		free(copy);
		return 0;
	}
	/* The message must not point into the frame. */
	memset(copy, 0xa5, len);
	free(copy);
	if (message_encode(&msg, &first, &first_len) ||
	    message_decode(&round_trip, first, first_len) ||
	    message_encode(&round_trip, &second, &second_len))
		abort();
	if (first_len != second_len || memcmp(first, second, first_len))
		abort();
	message_clear(&msg);
	message_clear(&round_trip);
	free(first);
	free(second);
	return 1;
}

static struct http_header headers[] = { { "Content-Type", "text/plain" },
					{ "X-Empty", "" } };
static struct entry_address entries[] = { { "e1", "127.0.0.1:7001" },
					  { "e2", "127.0.0.1:7002" } };
static struct task_status tasks[] = { { .job = "j1", .run = UINT64_MAX },
				      { .job = "j2", .detail = "lost" } };

static void fill_lists(struct message *msg)
{
	if (msg->type == MSG_ANNOUNCE_ACK)
		msg->u.announce_ack.entries = (struct entry_list){ entries, 2 };
	if (msg->type == MSG_REQUEST)
		msg->u.request.headers = (struct header_list){ headers, 2 };
	if (msg->type == MSG_RESPONSE)
		msg->u.response.headers = (struct header_list){ headers, 2 };
	if (msg->type == MSG_TASK_REPORT)
		msg->u.task_report.tasks = (struct task_list){ tasks, 2 };
	if (msg->type == MSG_REQUEST_BODY)
		msg->u.request_body.data = (struct span){ (void *)"body", 4 };
}

size_t fuzz_initial_inputs(struct fuzz_input *inputs, size_t max)
{
	size_t count = 0;
	int type;

	for (type = 1; type < MSG_TYPE_COUNT && count < max; type++) {
		struct message msg = { .type = (enum message_type)type };

		fill_lists(&msg);
		if (message_encode(&msg, &inputs[count].data,
				   &inputs[count].len))
			abort();
		count++;
	}
	return count;
}
