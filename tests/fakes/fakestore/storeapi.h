#ifndef CATKINHILL_STOREAPI_H
#define CATKINHILL_STOREAPI_H

#include <jansson.h>

#include "kvstate.h"

/*
 * NAME
 *	storeapi - requests to the etcd JSON gateway, applied to the state
 *
 * NOTES
 *	Each function returns the HTTP status and sets *response to a new
 *	reference.
 */
int storeapi_range(struct kv *kv, const json_t *request, json_t **response);
int storeapi_txn(struct kv *kv, const json_t *request, json_t **response);
int storeapi_deleterange(struct kv *kv, const json_t *request,
			 json_t **response);
int storeapi_grant(struct kv *kv, const json_t *request, json_t **response);
int storeapi_keepalive(struct kv *kv, const json_t *request, json_t **response);
int storeapi_revoke(struct kv *kv, const json_t *request, json_t **response);

/* First line of a watch. *key is set to its key, to be freed with free(3). */
int storeapi_watch(struct kv *kv, const json_t *request, json_t **response,
		   struct kvstate_bytes *key);

/* Line that a watch sends for a change. */
json_t *storeapi_event(const struct kv *kv, const struct kvstate_item *item,
		       int is_deleted);

#endif
