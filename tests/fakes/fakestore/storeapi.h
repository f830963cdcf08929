#ifndef CATKINHILL_STOREAPI_H
#define CATKINHILL_STOREAPI_H

#include <jansson.h>

#include "kvstate.h"

/*
 * NAME
 *	storeapi - the calls of the JSON gateway, applied to the state
 *
 * NOTES
 *	Each function returns the HTTP status and sets *answer to a new
 *	reference.
 */
int storeapi_range(struct kv *kv, const json_t *request, json_t **answer);
int storeapi_txn(struct kv *kv, const json_t *request, json_t **answer);
int storeapi_deleterange(struct kv *kv, const json_t *request, json_t **answer);
int storeapi_grant(struct kv *kv, const json_t *request, json_t **answer);
int storeapi_keepalive(struct kv *kv, const json_t *request, json_t **answer);
int storeapi_revoke(struct kv *kv, const json_t *request, json_t **answer);

/* First line of a watch; also gives its key, to be freed by the caller. */
int storeapi_watch(struct kv *kv, const json_t *request, json_t **answer,
		   struct kv_bytes *key);

/* Line of a watch for a change. */
json_t *storeapi_event(const struct kv *kv, const struct kv_item *item,
		       int is_deleted);

#endif
