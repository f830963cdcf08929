#include "list.h"

typedef int (*list_before_fn)(const struct list *a, const struct list *b);

static int is_sorted(const struct list *head, list_before_fn before)
{
	const struct list *pos;

	for (pos = head->next; pos != head && pos->next != head;
	     pos = pos->next)
		if (before(pos->next, pos))
			return 0;
	return 1;
}

static struct list *move_first(struct list *from, struct list *to)
{
	struct list *node = from->next;

	list_del(node);
	list_add_tail(to, node);
	return node;
}

/* Moves all nodes to the tail of the other list. */
static void move_all(struct list *from, struct list *to)
{
	if (list_empty(from))
		return;
	from->next->prev = to->prev;
	to->prev->next = from->next;
	from->prev->next = to;
	to->prev = from->prev;
	list_init(from);
}

/* Moves the longest sorted run at the head of the list. */
static void take_run(struct list *from, struct list *run, list_before_fn before)
{
	struct list *last;

	list_init(run);
	if (list_empty(from))
		return;
	do
		last = move_first(from, run);
	while (!list_empty(from) && !before(from->next, last));
}

static void merge_runs(struct list *a, struct list *b, struct list *merged,
		       list_before_fn before)
{
	while (!list_empty(a) && !list_empty(b))
		move_first(before(b->next, a->next) ? b : a, merged);
	move_all(a, merged);
	move_all(b, merged);
}

void list_sort(struct list *head, list_before_fn before)
{
	while (!is_sorted(head, before)) {
		struct list merged, a, b;

		list_init(&merged);
		while (!list_empty(head)) {
			take_run(head, &a, before);
			take_run(head, &b, before);
			merge_runs(&a, &b, &merged, before);
		}
		move_all(&merged, head);
	}
}
