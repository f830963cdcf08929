#include "workreport.h"

#include <string.h>

/* Largest size of a report without rows, but with all labels. */
#define REPORT_HEAD_BYTES (4 * 1024)
/* Rows, and for the first end a checkpoint, always fit. */
#define REPORT_ROWS_MAX                                                        \
	((FRAME_MAX_BYTES - REPORT_HEAD_BYTES - RUN_CHECKPOINT_MAX) /          \
	 RUN_ROW_BYTES)
#define REPORT_ENDS_MAX (REPORT_ROWS_MAX - RUNS_MAX)

static size_t text_len(const char *text)
{
	return text ? strlen(text) : 0;
}

static int reserve(size_t *room, size_t len)
{
	if (len > *room)
		return 0;
	*room -= len;
	return 1;
}

static size_t room_for_texts(const struct msg_work_report *report)
{
	size_t rows = report->runs.count + report->ends.count;

	if (rows > REPORT_ROWS_MAX)
		rows = REPORT_ROWS_MAX;
	return FRAME_MAX_BYTES - REPORT_HEAD_BYTES - rows * RUN_ROW_BYTES;
}

/* Details are only logged. */
static void fit_details(struct run_status_list *runs, size_t *room)
{
	size_t i;

	for (i = 0; i < runs->count; i++)
		if (!reserve(room, text_len(runs->items[i].detail)))
			runs->items[i].detail = "";
}

static void list_as_active(struct run_status_list *runs,
			   const struct ended_run *end)
{
	struct run_status *row;

	if (runs->count == RUNS_MAX)
		return;
	row = &runs->items[runs->count++];
	memset(row, 0, sizeof(*row));
	row->task = end->task;
	row->run = end->run;
	row->phase = RUN_ACTIVE;
	row->progress_percent = 100;
	row->checkpoint = "";
	row->detail = "";
}

static void fit_ends(struct msg_work_report *report, size_t *room)
{
	size_t i = 0, count = report->ends.count;

	while (i < count && i < REPORT_ENDS_MAX &&
	       reserve(room, text_len(report->ends.items[i].checkpoint)))
		i++;
	report->ends.count = i;
	for (; i < count; i++)
		list_as_active(&report->runs, &report->ends.items[i]);
}

size_t workreport_fit(struct msg_work_report *report, size_t first)
{
	size_t room = room_for_texts(report);
	size_t i, run_count = report->runs.count, next = first;
	int is_complete = 1;

	fit_ends(report, &room);
	fit_details(&report->runs, &room);
	for (i = 0; i < run_count; i++) {
		size_t index = (first + i) % run_count;
		struct run_status *run = &report->runs.items[index];

		if (reserve(&room, text_len(run->checkpoint)))
			continue;
		run->checkpoint = "";
		if (is_complete)
			next = index;
		is_complete = 0;
	}
	return next;
}

int workreport_is_whole(const struct msg_work_report *report)
{
	return report->runs.count < RUNS_MAX;
}
