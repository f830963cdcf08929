#ifndef CATKINHILL_SETTINGSKEYS_H
#define CATKINHILL_SETTINGSKEYS_H

#include "settings.h"

/*
 * NAME
 *	settingskeys - the table of keys of the settings file
 */
enum key_type {
	KEY_ROLE,
	KEY_LOG_LEVEL,
	KEY_NAME,	  /* letters, digits, '-', '_', '.' */
	KEY_ADDRESS,	  /* ip:port */
	KEY_ADDRESS_LIST, /* ip:port, separated by commas or spaces */
	KEY_NUMBER
};

#define FOR_ENTRY (1u << ROLE_ENTRY)
#define FOR_AGENT (1u << ROLE_AGENT)
#define FOR_ENTRY_OR_AGENT (FOR_ENTRY | FOR_AGENT)
#define FOR_GATEWAY (1u << ROLE_GATEWAY)
#define FOR_RUNNER (1u << ROLE_RUNNER)
#define FOR_WORKFLOWS (FOR_GATEWAY | FOR_RUNNER)
#define FOR_ALL (FOR_ENTRY_OR_AGENT | FOR_WORKFLOWS)

struct key_info {
	const char *section;
	const char *name;
	enum key_type type;
	size_t offset;
	size_t size; /* of a text field, with the terminating zero */
	unsigned allowed_roles, required_roles;
	const char *unit;
	int64_t min, max;
	const char *default_value; /* NULL: empty, or the key is required */
	const char *description;
};

extern const struct key_info settings_keys[];
extern const size_t settings_key_count;

/* RETURN VALUE: index in the table, or -1 if there is no such key. */
int settings_key_find(const char *section, const char *name);

/* RETURN VALUE: 0, or ERR_INVALID when the value is not allowed. */
int settings_key_set(struct settings *settings, const struct key_info *key,
		     const char *value);

/* Describes the values allowed for a key; the text may be written to buf. */
const char *settings_key_allowed_values(const struct key_info *key, char *buf,
					size_t size);

#endif
