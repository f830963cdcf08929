#ifndef CATKINHILL_CLIENTLIMITS_H
#define CATKINHILL_CLIENTLIMITS_H

#include "budget.h"
#include "settings.h"

/*
 * NAME
 *	clientlimits - what the clients of each door may hold
 *
 * NOTES
 *	The addresses of readiness and of operators have shares of their own,
 *	which clients at the other doors can't take. The settings are those of
 *	gateways and runners.
 */
struct budget_limits clientlimits(const struct settings *settings);
struct budget_limits clientlimits_probe(const struct settings *settings);
struct budget_limits clientlimits_admin(void);

#endif
