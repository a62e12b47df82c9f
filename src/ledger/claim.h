/* claim: the state machine of one attempt that claims a ticket, at the
   claimant.  Its inputs are votes, failures and the time; its outputs are
   requests to the ticket's replicas and one result.

   To run, an attempt needs the votes of a majority of the ticket's replicas.
   To refuse as "not run", it needs a majority of replicas that will never let
   the generation run; an attempt that holds the claim and sent nothing can
   guarantee that by itself.  All other claims end as CLAIM_UNKNOWN, at the
   deadline at the latest, or with the recorded outcome.

   With CLAIM_ORDER_SEQUENTIAL the replicas are asked in the ticket's order,
   the next one when the previous one has answered, has failed or is late.
   Where another attempt holds a vote, the next replica is asked only after a
   back-off, so that two attempts don't split the votes while the first one is
   still collecting them.

   A late replica may still vote.  Where a majority depends on such votes, an
   attempt to run waits for them until collect_until, and gives up then; at
   once where another attempt holds a vote.  */

#ifndef LEDGER_CLAIM_H
#define LEDGER_CLAIM_H

#include "ledger/ledger_defs.h"

typedef enum
{
  CLAIM_ORDER_SEQUENTIAL,
  CLAIM_ORDER_PARALLEL, /* all replicas at once */
} claim_order_t;

typedef enum
{
  CLAIM_TO_RUN,
  CLAIM_TO_REFUSE, /* make sure that the generation never runs */
} claim_intent_t;

typedef struct claim_options
{
  claim_order_t order;
  claim_intent_t intent;
  ticket_t ticket;
  attempt_t attempt;
  fingerprint_t fingerprint;
  usec_t vote_timeout;       /* after it a replica is late */
  usec_t collect_until;      /* on this VM's clock; CLAIM_TO_RUN waits for late
                                votes until then */
  usec_t contention_backoff; /* after a vote for another attempt */
  usec_t poll_interval;      /* of queries in CLAIM_WAITING */
  usec_t deadline; /* on this VM's clock; the result is CLAIM_UNKNOWN then */
} claim_options_t;

typedef enum
{
  CLAIM_COLLECTING, /* collecting votes */
  CLAIM_WAITING,    /* can't win: polls for an outcome or a release */
  CLAIM_WON,        /* the attempt may send the request */
  CLAIM_REFUSED,    /* "not run" holds; `generation` will never run */
  CLAIM_DONE,       /* the request has run already; `outcome` */
  CLAIM_UNKNOWN,    /* the request may have run, or may still run */
} claim_phase_t;

typedef enum
{
  CLAIM_CAUSE_NONE,
  CLAIM_CAUSE_UNREACHABLE, /* too few replicas answered */
  CLAIM_CAUSE_HELD,        /* another attempt holds the claim */
  CLAIM_CAUSE_SPLIT,       /* the votes are split between attempts */
  CLAIM_CAUSE_EXPIRED,     /* the ticket is too old */
  CLAIM_CAUSE_RESTARTED,   /* a majority of replicas restarted since */
  CLAIM_CAUSE_CONFLICT,    /* the ticket was used for another request */
  CLAIM_CAUSE_FULL,        /* replicas have no free record */
} claim_cause_t;

typedef struct claim_replica
{
  bool failed;        /* unreachable, or its answer was lost */
  bool late;          /* no answer within vote_timeout */
  bool answered;      /* `vote` and `generation` are valid */
  bool granted;       /* voted for this attempt at some time */
  bool must_withdraw; /* may hold a vote for this attempt, which must be
                         released */
  usec_t requested_at;
  vote_kind_t vote;
  uint32_t generation;
} claim_replica_t;

typedef struct claim
{
  claim_options_t options;
  claim_phase_t phase;
  claim_cause_t cause;
  uint32_t generation; /* CLAIM_REFUSED: the generation that will never run;
                          the returned ticket carries the next one */
  outcome_t outcome;   /* CLAIM_DONE; the claim owns the body */
  usec_t backoff_until;
  usec_t next_poll_at;
  size_t n_requested; /* replicas asked for a vote, from the first on */
  claim_replica_t replicas[TICKET_REPLICAS_MAX];
} claim_t;

/* Requests to send to the ticket's replicas.  */
typedef struct claim_requests
{
  size_t n;
  struct
  {
    uint8_t replica; /* index in the ticket */
    ledger_op_t op;
  } items[TICKET_REPLICAS_MAX];
} claim_requests_t;

/* Start CLAIM and write its first requests to REQUESTS.  */
void claim_start (claim_t *claim, const claim_options_t *options, usec_t now,
                  claim_requests_t *requests);

/* Process the vote of REPLICA (an index in the ticket).  Votes may arrive
   late, repeatedly and in any order.  The body of an outcome is copied.  */
void claim_on_vote (claim_t *claim, size_t replica, const ledger_vote_t *vote,
                    usec_t now, claim_requests_t *requests);

/* REPLICA can't be reached, or its answer was lost.  */
void claim_on_failure (claim_t *claim, size_t replica, usec_t now,
                       claim_requests_t *requests);

/* Process time-outs.  Call it at the time of claim_wakeup or later.  */
void claim_tick (claim_t *claim, usec_t now, claim_requests_t *requests);

/* The time at which claim_tick is due; INT64_MAX for never.  */
usec_t claim_wakeup (const claim_t *claim);

/* Give up a claim that was won: nothing was sent and nothing will be.  The
   phase becomes CLAIM_REFUSED at once; REQUESTS releases the claim at the
   replicas.  Does nothing outside CLAIM_WON.  */
void claim_release (claim_t *claim, claim_requests_t *requests);

/* Write the LEDGER_RECORD requests of a claim that was won.  The caller fills
   in their outcome.  The phase stays; no requests outside CLAIM_WON.  */
void claim_record (const claim_t *claim, claim_requests_t *requests);

/* The message to a replica for the request OP, without an outcome.  */
ledger_request_t claim_make_request (const claim_t *claim, ledger_op_t op);

/* Whether the claim has its result: any phase but CLAIM_COLLECTING and
   CLAIM_WAITING.  */
bool claim_is_settled (const claim_t *claim);

/* Free the outcome's body; the struct belongs to the caller.  */
void claim_destroy (claim_t *claim);

#endif
