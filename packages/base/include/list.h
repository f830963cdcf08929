#ifndef CATKINHILL_LIST_H
#define CATKINHILL_LIST_H

#include <stddef.h>

/*
 * NAME
 *	list - intrusive, circular, doubly linked list
 *
 * NOTES
 *	A head is a struct list initialized by list_init(). An element embeds
 *	a struct list, and list_entry() converts a pointer to that member to
 *	a pointer to the element. The list owns no memory.
 */
struct list {
	struct list *prev, *next;
};

#define list_entry(ptr, type, member)                                          \
	((type *)((char *)(ptr)-offsetof(type, member)))

#define list_for_each(pos, head)                                               \
	for ((pos) = (head)->next; (pos) != (head); (pos) = (pos)->next)

/* Allows removal of pos in the body; tmp is a second struct list pointer. */
#define list_for_each_safe(pos, tmp, head)                                     \
	for ((pos) = (head)->next, (tmp) = (pos)->next; (pos) != (head);       \
	     (pos) = (tmp), (tmp) = (pos)->next)

static inline void list_init(struct list *head)
{
	head->prev = head;
	head->next = head;
}

static inline int list_empty(const struct list *head)
{
	return head->next == head;
}

static inline void list_add_head(struct list *head, struct list *node)
{
	node->prev = head;
	node->next = head->next;
	head->next->prev = node;
	head->next = node;
}

static inline void list_add_tail(struct list *head, struct list *node)
{
	list_add_head(head->prev, node);
}

/* Leaves the node initialized, so that a second removal is harmless. */
static inline void list_del(struct list *node)
{
	node->prev->next = node->next;
	node->next->prev = node->prev;
	list_init(node);
}

/*
 * Sorts by a natural merge sort: stable, and of linear time for a list that is
 * sorted but for some nodes at its end. before() tells whether a goes strictly
 * before b.
 */
void list_sort(struct list *head,
	       int (*before)(const struct list *a, const struct list *b));

#endif
