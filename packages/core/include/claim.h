#ifndef CATKINHILL_CLAIM_H
#define CATKINHILL_CLAIM_H

#include <stdint.h>

#include "message.h"

/*
 * NAME
 *	claim - state machine of the idempotency record of a request that must
 *	run at most once
 *
 * NOTES
 *	Inputs are the results of store calls and the outcome of the run; each
 *	input function returns the effect to carry out next. The record
 *	idem/HASH is created before the request is first sent, and is set to
 *	done, or deleted, afterwards. CLAIM_RUN is returned at most once.
 */
#define CLAIM_FINGERPRINT_SIZE 72
#define CLAIM_PUT_ATTEMPTS_MAX 3 /* tries to create the record */
/* Tries to write the outcome: one per CLAIM_WAIT_MS, for about ten minutes. */
#define CLAIM_STORE_ATTEMPTS_MAX 300
#define CLAIM_WAIT_MS 2000

enum claim_record_state {
	CLAIM_RECORD_CLAIMED,
	CLAIM_RECORD_DONE,
};

/* The fields of the stored record that the state machine uses. */
struct claim_record {
	enum claim_record_state state;
	char token[ID_SIZE];
	char fingerprint[CLAIM_FINGERPRINT_SIZE];
	int has_body; /* if done: the stored outcome includes the body */
	int64_t revision;
};

enum claim_effect {
	CLAIM_NONE,
	CLAIM_PUT,	    /* create the record, as CLAIM_RECORD_CLAIMED */
	CLAIM_GET,	    /* read the record */
	CLAIM_RUN,	    /* the record is ours: run the request */
	CLAIM_REPLAY,	    /* respond with the stored outcome */
	CLAIM_BUSY,	    /* respond with 409, outcome unknown */
	CLAIM_DONE_NO_BODY, /* respond with 409, outcome done */
	CLAIM_MISMATCH,	    /* respond with 422, outcome not run */
	CLAIM_UNAVAILABLE,  /* respond with 503, outcome unknown */
	CLAIM_DELETE,	    /* delete the record if it has this revision */
	CLAIM_NOT_RUN,	    /* respond with outcome not run */
	CLAIM_STORE,	    /* replace the record by one with the outcome */
	CLAIM_WAIT,	    /* call claim_on_wait() after CLAIM_WAIT_MS */
	CLAIM_END,	    /* nothing more to do */
	CLAIM_EFFECT_COUNT
};

enum claim_state {
	CLAIM_STATE_NEW,
	CLAIM_STATE_PUTTING,
	CLAIM_STATE_READING,
	CLAIM_STATE_RUNNING,
	CLAIM_STATE_DELETING,
	CLAIM_STATE_STORING,
	CLAIM_STATE_CHECKING, /* reading back a write of the outcome */
	CLAIM_STATE_WAITING,
	CLAIM_STATE_ENDED,
};

struct claim {
	enum claim_state state;
	char token[ID_SIZE];
	char fingerprint[CLAIM_FINGERPRINT_SIZE];
	int64_t revision; /* of the record that this claim wrote */
	int put_attempts, store_attempts;
	int abandoned; /* the caller's deadline passed before the run */
};

/* token identifies this process and request; no other request ever has it. */
void claim_init(struct claim *claim, const char *token,
		const char *fingerprint);

enum claim_effect claim_start(struct claim *claim);
enum claim_effect claim_on_put(struct claim *claim, int err, int64_t revision);

/* record is NULL unless err is 0. */
enum claim_effect claim_on_get(struct claim *claim, int err,
			       const struct claim_record *record);

/* The run ended; OUTCOME_NOT_RUN only if it is proved not to have run. */
enum claim_effect claim_on_run(struct claim *claim, enum outcome outcome);
enum claim_effect claim_on_delete(struct claim *claim, int err);
enum claim_effect claim_on_store(struct claim *claim, int err,
				 int64_t revision);
enum claim_effect claim_on_wait(struct claim *claim);

/*
 * Gives up the request before CLAIM_RUN. If the record turns out to have been
 * written it is deleted, and no effect that asks for a response is returned.
 */
void claim_abandon(struct claim *claim);

const char *claim_effect_name(enum claim_effect effect);

#endif
