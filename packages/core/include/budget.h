#ifndef CATKINHILL_BUDGET_H
#define CATKINHILL_BUDGET_H

#include <stddef.h>
#include <stdint.h>

#include "list.h"
#include "mstime.h"

/*
 * NAME
 *	budget - bytes and connections that the clients of a door may hold
 *
 * NOTES
 *	Answers a crowd of clients that send without ending their requests.
 *	Who makes room is the client that holds most for longest, not the one
 *	that comes last, so that small requests are served during the crowd.
 *	A member whose request is being carried out is busy and keeps its
 *	place: whether the request runs is no longer this door's to decide.
 */
struct budget_limits {
	size_t bytes;	    /* received and held for all connections */
	size_t connections; /* open at once */
	size_t busy;	    /* requests carried out at once */
	int64_t arrival_ms; /* from the first byte of a request to its last */
};

/* One connection; its owner allocates it. */
struct budget_member {
	struct list node;
	struct mstime since; /* of the request, or of the wait for one */
	size_t bytes;
	int has_request; /* a part of a request has arrived */
	unsigned is_busy;
};

struct budget {
	struct budget_limits limits;
	struct list members;
	size_t bytes;
	size_t count;
	size_t busy_count;
};

void budget_init(struct budget *budget, const struct budget_limits *limits);

void budget_add(struct budget *budget, struct budget_member *member,
		struct mstime now);

/* Harmless for a member that was removed before. */
void budget_remove(struct budget *budget, struct budget_member *member);

/* The member holds bytes from now on, as part of a request. */
void budget_hold(struct budget *budget, struct budget_member *member,
		 size_t bytes, struct mstime now);

/*
 * The member's request has arrived, and carrying it out takes bytes.
 *
 * RETURN VALUE: 0, or ERR_FULL when that is more than there is room for.
 */
int budget_begin(struct budget *budget, struct budget_member *member,
		 size_t bytes);

/* The member's request has its response; it may already hold bytes of more. */
void budget_release(struct budget *budget, struct budget_member *member,
		    size_t bytes, struct mstime now);

int budget_is_over(const struct budget *budget);

/* RETURN VALUE: whom to close first, NULL if all are busy. */
struct budget_member *budget_largest(const struct budget *budget,
				     struct mstime now);

/* RETURN VALUE: a member whose request arrives too slowly, or NULL. */
struct budget_member *budget_overdue(const struct budget *budget,
				     struct mstime now);

#endif
