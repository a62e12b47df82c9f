/* peer_vote: a replica's vote as threads pass it on.  */

#ifndef ENTRY_PEER_VOTE_H
#define ENTRY_PEER_VOTE_H

#include "ledger/ledger_defs.h"

/* A replica's vote in reply to one call.  */
typedef struct peer_vote
{
  uint64_t job_id; /* of the call */
  uint8_t replica;
  bool is_answered; /* false: the call failed, and VOTE is not set */
  ledger_vote_t vote;
  char body[]; /* vote.outcome.body points to it */
} peer_vote_t;

/* The vote of REPLICA for the call of JOB_ID; VOTE is NULL where the call
   failed.  The caller frees the result with free.  */
peer_vote_t *peer_vote_copy (uint64_t job_id, uint8_t replica,
                             const ledger_vote_t *vote);

#endif
