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
	struct list *first = from->next, *last = first;

	list_init(run);
	if (list_empty(from))
		return;
	while (last->next != from && !before(last->next, last))
		last = last->next;
	from->next = last->next;
	last->next->prev = from;
	run->next = first;
	first->prev = run;
	run->prev = last;
	last->next = run;
}

/* Moves only the nodes of the second list, which is often the short one. */
static void merge_into(struct list *a, struct list *b, list_before_fn before)
{
	struct list *pos = a->next;

	while (!list_empty(b)) {
		struct list *node = b->next;

		while (pos != a && !before(node, pos))
			pos = pos->next;
		if (pos == a)
			break;
		list_del(node);
		list_add_tail(pos, node);
	}
	move_all(b, a);
}

void list_sort(struct list *head, list_before_fn before)
{
	while (!is_sorted(head, before)) {
		struct list merged, a, b;

		list_init(&merged);
		while (!list_empty(head)) {
			take_run(head, &a, before);
			take_run(head, &b, before);
			merge_into(&a, &b, before);
			move_all(&a, &merged);
		}
		move_all(&merged, head);
	}
}
