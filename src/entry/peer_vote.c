#include "entry/peer_vote.h"

#include <stdlib.h>
#include <string.h>

peer_vote_t *
peer_vote_copy (uint64_t job_id, uint8_t replica, const ledger_vote_t *vote)
{
  size_t n = vote && vote->outcome.body_kept ? vote->outcome.n_body : 0;
  peer_vote_t *copy = malloc (sizeof *copy + n + 1);
  if (!copy)
    abort ();
  *copy = (peer_vote_t){ .job_id = job_id,
                         .replica = replica,
                         .is_answered = vote != NULL };
  if (!vote)
    return copy;
  copy->vote = *vote;
  if (n > 0)
    memcpy (copy->body, vote->outcome.body, n);
  copy->vote.outcome.body = copy->body;
  return copy;
}
