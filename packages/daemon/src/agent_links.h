#ifndef CATKINHILL_AGENT_LINKS_H
#define CATKINHILL_AGENT_LINKS_H

#include "agent_state.h"

/*
 * NAME
 *	agent_links - a transport client for each entry; announcements
 *
 * NOTES
 *	The entries are the seeds of the settings and those that another entry
 *	lists in an acknowledgement. A link is removed, unless its entry is a
 *	seed, when no list has named the entry and no message has come from it
 *	for AGENT_LINK_REMOVE_AFTER_MS. The store is read for entries only
 *	while none answers.
 */
#define AGENT_LINK_REMOVE_AFTER_MS 15000
#define AGENT_STORE_READ_INTERVAL_MS 5000
/* Minimum time between two copies of the configuration to one entry. */
#define AGENT_CONFIG_SEND_INTERVAL_MS 3000
#define AGENT_LINKS_MAX ENTRIES_MAX

/* RETURN VALUE: 0, or ERR_SYSTEM when no seed can be connected. */
int agent_links_start(struct agent *agent);
void agent_links_stop(struct agent *agent);

/* Sends an announcement on every link now. */
void agent_links_announce(struct agent *agent);

/* RETURN VALUE: as transport_send(). */
int agent_link_send(struct agent_link *link, const struct message *msg);

#endif
