#include "claim.h"

#include <stdlib.h>
#include <string.h>

#include "errors.h"
#include "mem.h"

void claim_init(struct claim *claim, const char *token, const char *fingerprint)
{
	memset(claim, 0, sizeof(*claim));
	str_copy(claim->token, token, sizeof(claim->token));
	str_copy(claim->fingerprint, fingerprint, sizeof(claim->fingerprint));
}

static enum claim_effect enter_state(struct claim *claim,
				     enum claim_state state,
				     enum claim_effect effect)
{
	claim->state = state;
	return effect;
}

static enum claim_effect end_claim(struct claim *claim,
				   enum claim_effect effect)
{
	return enter_state(claim, CLAIM_STATE_ENDED,
			   claim->abandoned ? CLAIM_END : effect);
}

static enum claim_effect try_put(struct claim *claim)
{
	if (claim->put_attempts++ == CLAIM_PUT_ATTEMPTS_MAX)
		return end_claim(claim, CLAIM_UNAVAILABLE);
	return enter_state(claim, CLAIM_STATE_PUTTING, CLAIM_PUT);
}

/* The record carries our token and the request has not run. */
static enum claim_effect on_held(struct claim *claim, int64_t revision)
{
	claim->revision = revision;
	if (claim->abandoned)
		return enter_state(claim, CLAIM_STATE_DELETING, CLAIM_DELETE);
	return enter_state(claim, CLAIM_STATE_RUNNING, CLAIM_RUN);
}

enum claim_effect claim_start(struct claim *claim)
{
	return try_put(claim);
}

enum claim_effect claim_on_put(struct claim *claim, int err, int64_t revision)
{
	if (claim->state != CLAIM_STATE_PUTTING)
		return CLAIM_NONE;
	switch (err) {
	case 0:
		return on_held(claim, revision);
	case ERR_CONFLICT:
	case ERR_UNKNOWN:
		return enter_state(claim, CLAIM_STATE_READING, CLAIM_GET);
	default:
		/*
		 * Nothing was written, but an earlier request with this key
		 * may have run.
		 */
		return end_claim(claim, CLAIM_UNAVAILABLE);
	}
}

static enum claim_effect resolve_record(struct claim *claim,
					const struct claim_record *record)
{
	if (!strcmp(record->token, claim->token))
		return on_held(claim, record->revision);
	if (strcmp(record->fingerprint, claim->fingerprint) != 0)
		return end_claim(claim, CLAIM_MISMATCH);
	if (record->state == CLAIM_RECORD_CLAIMED)
		return end_claim(claim, CLAIM_BUSY);
	return end_claim(claim,
			 record->has_body ? CLAIM_REPLAY : CLAIM_DONE_NO_BODY);
}

static enum claim_effect try_store(struct claim *claim)
{
	if (claim->store_attempts++ == CLAIM_STORE_ATTEMPTS_MAX)
		return end_claim(claim, CLAIM_END);
	return enter_state(claim, CLAIM_STATE_STORING, CLAIM_STORE);
}

static enum claim_effect wait_before_store(struct claim *claim)
{
	return enter_state(claim, CLAIM_STATE_WAITING, CLAIM_WAIT);
}

static enum claim_effect check_stored_outcome(struct claim *claim, int err,
					      const struct claim_record *record)
{
	if (err == ERR_NOT_FOUND)
		return end_claim(claim, CLAIM_END);
	if (err)
		return wait_before_store(claim);
	if (strcmp(record->token, claim->token) != 0 ||
	    record->state == CLAIM_RECORD_DONE)
		return end_claim(claim, CLAIM_END);
	claim->revision = record->revision;
	return wait_before_store(claim);
}

enum claim_effect claim_on_get(struct claim *claim, int err,
			       const struct claim_record *record)
{
	if (claim->state == CLAIM_STATE_CHECKING)
		return check_stored_outcome(claim, err, record);
	if (claim->state != CLAIM_STATE_READING)
		return CLAIM_NONE;
	if (!err)
		return resolve_record(claim, record);
	/*
	 * A write whose response was lost can still take effect after this
	 * read. Writing again is safe: both writes carry the same token, and at
	 * most one of them creates the record.
	 */
	if (err == ERR_NOT_FOUND)
		return try_put(claim);
	return end_claim(claim, CLAIM_UNAVAILABLE);
}

enum claim_effect claim_on_run(struct claim *claim, enum outcome outcome)
{
	if (claim->state != CLAIM_STATE_RUNNING)
		return CLAIM_NONE;
	switch (outcome) {
	case OUTCOME_DONE:
		return try_store(claim);
	case OUTCOME_NOT_RUN:
		return enter_state(claim, CLAIM_STATE_DELETING, CLAIM_DELETE);
	case OUTCOME_UNKNOWN:
		return end_claim(claim, CLAIM_END);
	}
	abort();
}

enum claim_effect claim_on_delete(struct claim *claim, int err)
{
	if (claim->state != CLAIM_STATE_DELETING)
		return CLAIM_NONE;
	return end_claim(claim, CLAIM_NOT_RUN);
}

enum claim_effect claim_on_store(struct claim *claim, int err, int64_t revision)
{
	if (claim->state != CLAIM_STATE_STORING)
		return CLAIM_NONE;
	switch (err) {
	case 0:
		return end_claim(claim, CLAIM_END);
	case ERR_CONFLICT:
	case ERR_UNKNOWN:
		return enter_state(claim, CLAIM_STATE_CHECKING, CLAIM_GET);
	default:
		return wait_before_store(claim);
	}
}

enum claim_effect claim_on_wait(struct claim *claim)
{
	if (claim->state != CLAIM_STATE_WAITING)
		return CLAIM_NONE;
	return try_store(claim);
}

void claim_abandon(struct claim *claim)
{
	claim->abandoned = 1;
}

const char *claim_effect_name(enum claim_effect effect)
{
	static const char *const names[CLAIM_EFFECT_COUNT] = {
		[CLAIM_NONE] = "none",
		[CLAIM_PUT] = "put",
		[CLAIM_GET] = "get",
		[CLAIM_RUN] = "run",
		[CLAIM_REPLAY] = "replay",
		[CLAIM_BUSY] = "busy",
		[CLAIM_DONE_NO_BODY] = "done-no-body",
		[CLAIM_MISMATCH] = "mismatch",
		[CLAIM_UNAVAILABLE] = "unavailable",
		[CLAIM_DELETE] = "delete",
		[CLAIM_NOT_RUN] = "not-run",
		[CLAIM_STORE] = "store",
		[CLAIM_WAIT] = "wait",
		[CLAIM_END] = "end",
	};

	return names[effect];
}
