#ifndef CATKINHILL_AGENT_LINKS_H
#define CATKINHILL_AGENT_LINKS_H

#include "agent_state.h"

/*
 * NAME
 *	agent_links - one transport client an entry; announcements
 *
 * NOTES
 *	Entries are the seeds of the settings and those that an entry names.
 *	An entry that no list has named for AGENT_LINK_REMOVE_AFTER_MS and that
 *is silent is given up, unless it is a seed. The store is read for entries only
 *while none answers.
 */
#define AGENT_LINK_REMOVE_AFTER_MS 15000
#define AGENT_STORE_READ_INTERVAL_MS 5000
/* Least time between two offers of the configuration to one entry. */
#define AGENT_CONFIG_SEND_INTERVAL_MS 3000
#define AGENT_LINKS_MAX ENTRIES_MAX

/* RETURN VALUE: 0, or ERR_SYSTEM when no seed can be connected. */
int agent_links_start(struct agent *agent);
void agent_links_stop(struct agent *agent);

/* Announces on all links at once. */
void agent_links_announce(struct agent *agent);

/* RETURN VALUE: as transport_send(). */
int agent_link_send(struct agent_link *link, const struct message *msg);

#endif
