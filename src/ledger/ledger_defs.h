/* ledger_defs: the messages between a claimant and the replicas of a claim.
   The wire layer carries ledger_request_t to a replica and ledger_vote_t back
   to the claimant.  */

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
  uint64_t number; /* unique under this incarnation */
} attempt_t;

/* A hash of a request's service, method, path and body.  */
typedef struct fingerprint
{
  uint64_t low;
  uint64_t high;
} fingerprint_t;

/* The backend server's complete answer, stored to answer resends of the
   ticket.  */
typedef struct outcome
{
  uint16_t status;  /* HTTP status */
  bool body_kept;   /* false: the body exceeded a size limit and was
                       not stored */
  uint32_t n_body;  /* bytes */
  const char *body; /* owned by the creator of the struct */
} outcome_t;

typedef enum
{
  LEDGER_CLAIM,   /* request the right to run for this attempt */
  LEDGER_RELEASE, /* this attempt has sent nothing and never will */
  LEDGER_RECORD,  /* store the outcome: this attempt ran */
  LEDGER_QUERY,   /* read the state; changes nothing */
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
  VOTE_GRANTED,       /* this attempt holds the claim */
  VOTE_HELD,          /* another attempt holds the claim */
  VOTE_RELEASED,      /* no attempt of this generation will get this
                         replica's vote */
  VOTE_DONE,          /* the request ran; `outcome` is valid */
  VOTE_FREE,          /* LEDGER_QUERY: no claim at this replica */
  VOTE_FULL,          /* no memory; as final as VOTE_RELEASED */
  VOTE_EXPIRED,       /* the ticket's record may have been dropped, so that
                         it can't be known whether it ran */
  VOTE_NOT_A_REPLICA, /* the ticket doesn't name this VM's incarnation */
  VOTE_CONFLICT,      /* the ticket was used for a request with another
                         fingerprint */
} vote_kind_t;

typedef struct ledger_vote
{
  vote_kind_t kind;
  uint32_t generation; /* of the replica's current claim */
  outcome_t outcome;   /* VOTE_DONE; the ledger owns the body, which is valid
                          until the next call on the ledger */
} ledger_vote_t;

#endif
