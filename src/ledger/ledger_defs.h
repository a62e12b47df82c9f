/* ledger_defs: what a claimant and the replicas of a claim say to each
   other.  The wire layer carries ledger_request_t and ledger_vote_t.  */

#ifndef LEDGER_LEDGER_DEFS_H
#define LEDGER_LEDGER_DEFS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ledger/ticket.h"

/* One attempt to run a ticket's request, by one entry VM.  */
typedef struct attempt
{
  vm_id_t vm;
  uint64_t incarnation;
  uint64_t number; /* never used before under this incarnation */
} attempt_t;

/* A hash of service, method, path and body.  */
typedef struct fingerprint
{
  uint64_t low;
  uint64_t high;
} fingerprint_t;

/* The backend server's whole answer, as it is kept for resends.  */
typedef struct outcome
{
  uint16_t status;  /* HTTP */
  bool body_kept;   /* false: the body passed a bound and is lost */
  uint32_t n_body;  /* bytes */
  const char *body; /* owned by whoever made the struct */
} outcome_t;

typedef enum
{
  LEDGER_CLAIM,   /* may this attempt run? */
  LEDGER_RELEASE, /* this attempt sent nothing and never will */
  LEDGER_RECORD,  /* this attempt ran, with this outcome */
  LEDGER_QUERY,   /* what stands? changes nothing */
} ledger_op_t;

typedef struct ledger_request
{
  ledger_op_t op;
  ticket_t ticket;
  attempt_t attempt;
  fingerprint_t fingerprint;
  outcome_t outcome; /* LEDGER_RECORD only */
} ledger_request_t;

typedef enum
{
  VOTE_GRANTED,       /* the claim is this attempt's */
  VOTE_HELD,          /* another attempt holds it */
  VOTE_RELEASED,      /* no attempt of this generation gets this vote */
  VOTE_DONE,          /* it ran; the outcome follows */
  VOTE_FREE,          /* LEDGER_QUERY: never claimed here */
  VOTE_FULL,          /* no memory; counts as VOTE_RELEASED, and stays so */
  VOTE_EXPIRED,       /* too old to be told from a ticket that ran */
  VOTE_NOT_A_REPLICA, /* the ticket names another VM or incarnation */
  VOTE_CONFLICT,      /* the ticket belongs to a request of other content */
} vote_kind_t;

typedef struct ledger_vote
{
  vote_kind_t kind;
  uint32_t generation; /* of the claim that stands at the replica */
  outcome_t outcome;   /* VOTE_DONE; the body is the ledger's, and valid
                          until the next call on it */
} ledger_vote_t;

#endif
