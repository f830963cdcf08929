#ifndef CATKINHILL_CLAIM_H
#define CATKINHILL_CLAIM_H

#include <stdint.h>

#include "message.h"

/*
 * NAME
 *	claim - state machine of a request that must run at most once
 *
 * NOTES
 *	Inputs are the outcomes of store calls and of the run; each input
 *	returns the effect that the caller must carry out next. The record
 *	idem/HASH is created before the first send and is set to done, or
 *	deleted, afterwards. CLAIM_RUN is returned at most once.
 */
#define CLAIM_FINGERPRINT_SIZE 72
#define CLAIM_PUT_ATTEMPTS_MAX 3 /* tries to create the record */
/* Tries to write the outcome; one a CLAIM_WAIT_MS, about ten minutes. */
#define CLAIM_STORE_ATTEMPTS_MAX 300
#define CLAIM_WAIT_MS 2000

enum claim_record_state {
	CLAIM_RECORD_CLAIMED,
	CLAIM_RECORD_DONE,
};

/* What the store holds, as far as the state machine looks at it. */
struct claim_record {
	enum claim_record_state state;
	char token[ID_SIZE];
	char fingerprint[CLAIM_FINGERPRINT_SIZE];
	int has_body; /* done: the stored outcome has its body */
	int64_t revision;
};

enum claim_effect {
	CLAIM_NONE,
	CLAIM_PUT,	    /* create the record, state claimed */
	CLAIM_GET,	    /* read the record */
	CLAIM_RUN,	    /* the claim is held: run the request */
	CLAIM_REPLAY,	    /* answer with the stored outcome */
	CLAIM_BUSY,	    /* 409 unknown */
	CLAIM_DONE_NO_BODY, /* 409 done */
	CLAIM_MISMATCH,	    /* 422 not run */
	CLAIM_UNAVAILABLE,  /* 503 unknown */
	CLAIM_DELETE,	    /* delete the record if it has this revision */
	CLAIM_NOT_RUN,	    /* now answer not run */
	CLAIM_STORE,	    /* replace the record by the outcome */
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
	CLAIM_STATE_CHECKING, /* reading back the outcome */
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

/* token names this claimant and request; no other request ever has it. */
void claim_init(struct claim *claim, const char *token,
		const char *fingerprint);

enum claim_effect claim_start(struct claim *claim);
enum claim_effect claim_on_put(struct claim *claim, int err, int64_t revision);

/* record is NULL unless err is 0. */
enum claim_effect claim_on_get(struct claim *claim, int err,
			       const struct claim_record *record);

/* The run ended; OUTCOME_NOT_RUN only with proof. */
enum claim_effect claim_on_run(struct claim *claim, enum outcome outcome);
enum claim_effect claim_on_delete(struct claim *claim, int err);
enum claim_effect claim_on_store(struct claim *claim, int err,
				 int64_t revision);
enum claim_effect claim_on_wait(struct claim *claim);

/*
 * The request is given up before CLAIM_RUN; a record that turns out to be
 * written is deleted, and no answer is asked for any more.
 */
void claim_abandon(struct claim *claim);

const char *claim_effect_name(enum claim_effect effect);

#endif
