/* claim: one attempt's claim on a ticket, as a state machine of its
   claimant.  Votes and the time go in, asks to replicas and one result come
   out.

   To run, an attempt needs the votes of a majority of the ticket's replicas.
   To refuse as "not run", it needs a majority that will never let this
   generation run; an attempt that holds the claim and sent nothing has that
   by itself.  Whatever else happens ends in CLAIM_UNKNOWN at the deadline,
   or in the recorded outcome.

   Replicas are asked in the ticket's order, the next one when the last one
   answered, failed or is late; where another attempt holds the claim the
   next one is asked only after a pause, so that two attempts don't split the
   votes while the first is still collecting.  */

#ifndef LEDGER_CLAIM_H
#define LEDGER_CLAIM_H

#include "ledger/ledger_defs.h"

typedef enum
{
  CLAIM_ORDER_SEQUENTIAL,
  CLAIM_ORDER_PARALLEL,
} claim_order_t;

typedef enum
{
  CLAIM_TO_RUN,
  CLAIM_TO_REFUSE, /* the request is refused: make "not run" true */
} claim_intent_t;

typedef struct claim_options
{
  claim_order_t order;
  claim_intent_t intent;
  ticket_t ticket;
  attempt_t attempt;
  fingerprint_t fingerprint;
  usec_t vote_timeout;       /* then the next replica is asked */
  usec_t contention_backoff; /* after another attempt's claim was seen */
  usec_t poll_interval;      /* while waiting for another attempt's outcome */
  usec_t deadline;           /* then the result is CLAIM_UNKNOWN */
} claim_options_t;

typedef enum
{
  CLAIM_COLLECTING, /* collecting votes */
  CLAIM_WAITING,    /* it can't be won: waits for an outcome or a release */
  CLAIM_WON,        /* the attempt may send */
  CLAIM_REFUSED,    /* "not run" is true; `generation` is dead */
  CLAIM_DONE,       /* it had run; `outcome` */
  CLAIM_UNKNOWN,    /* it may have run, or may run yet */
} claim_phase_t;

typedef enum
{
  CLAIM_CAUSE_NONE,
  CLAIM_CAUSE_UNREACHABLE, /* too few replicas answered */
  CLAIM_CAUSE_HELD,        /* another attempt holds the claim */
  CLAIM_CAUSE_SPLIT,       /* several attempts share the votes */
  CLAIM_CAUSE_EXPIRED,     /* the ticket is too old */
  CLAIM_CAUSE_RESTARTED,   /* replicas lost their memory */
  CLAIM_CAUSE_CONFLICT,    /* the ticket belongs to another request */
  CLAIM_CAUSE_FULL,        /* replicas have no memory left */
} claim_cause_t;

typedef struct claim_replica
{
  bool failed;
  bool late;
  bool answered;
  bool granted;       /* it voted for this attempt once */
  bool must_withdraw; /* it may hold a vote of ours that must go back */
  usec_t asked_at;
  vote_kind_t vote;
  uint32_t generation;
} claim_replica_t;

typedef struct claim
{
  claim_options_t options;
  claim_phase_t phase;
  claim_cause_t cause;
  uint32_t generation; /* CLAIM_REFUSED: stamp the ticket with the next one */
  outcome_t outcome;   /* CLAIM_DONE; the body is the claim's */
  usec_t backoff_until;
  usec_t poll_at;
  size_t n_asked; /* replicas, from the ticket's first on */
  claim_replica_t replicas[TICKET_REPLICAS_MAX];
} claim_t;

/* Asks to send, by index into the ticket's replicas.  */
typedef struct claim_requests
{
  size_t n;
  struct
  {
    uint8_t replica;
    ledger_op_t op;
  } items[TICKET_REPLICAS_MAX];
} claim_requests_t;

/* Start; the first asks are written to ASKS.  */
void claim_start (claim_t *claim, const claim_options_t *options, usec_t now,
                  claim_requests_t *asks);

/* REPLICA answered.  Late, repeated and reordered votes are legal.  The
   outcome's body is copied.  */
void claim_on_vote (claim_t *claim, size_t replica, const ledger_vote_t *vote,
                    usec_t now, claim_requests_t *asks);

/* REPLICA can't be reached, or the answer was lost.  */
void claim_on_failure (claim_t *claim, size_t replica, usec_t now,
                       claim_requests_t *asks);

/* Time passed; call it at claim_wakeup or later.  */
void claim_tick (claim_t *claim, usec_t now, claim_requests_t *asks);

/* When claim_tick is due.  */
usec_t claim_wakeup (const claim_t *claim);

/* In CLAIM_WON only: nothing was sent and nothing will be.  The phase
   becomes CLAIM_REFUSED at once; the asks tell the replicas.  */
void claim_release (claim_t *claim, claim_requests_t *asks);

/* In CLAIM_WON only: the asks for LEDGER_RECORD; the phase stays.  */
void claim_record (const claim_t *claim, claim_requests_t *asks);

/* The message for one of the asks.  */
ledger_request_t claim_make_request (const claim_t *claim, ledger_op_t op);

/* Whether the phase is one of the last four.  */
bool claim_is_settled (const claim_t *claim);

/* Release the kept body; the struct itself is the caller's.  */
void claim_destroy (claim_t *claim);

#endif
