#include "ledger/claim.h"

#include <stdlib.h>
#include <string.h>

static void
add_request (claim_requests_t *requests, size_t replica, ledger_op_t op)
{
  for (size_t i = 0; i < requests->n; i++)
    if (requests->items[i].replica == replica)
      {
        requests->items[i].op = op;
        return;
      }
  requests->items[requests->n].replica = (uint8_t)replica;
  requests->items[requests->n].op = op;
  requests->n++;
}

static size_t
n_replicas (const claim_t *claim)
{
  return claim->options.ticket.n_replicas;
}

static size_t
count_votes (const claim_t *claim, vote_kind_t kind)
{
  size_t n = 0;
  for (size_t i = 0; i < n_replicas (claim); i++)
    if (claim->replicas[i].answered && claim->replicas[i].vote == kind)
      n++;
  return n;
}

/* The highest generation in the replicas' votes and the ticket.  */
static uint32_t
highest_generation (const claim_t *claim)
{
  uint32_t highest = claim->options.ticket.generation;
  for (size_t i = 0; i < n_replicas (claim); i++)
    if (claim->replicas[i].answered && claim->replicas[i].generation > highest)
      highest = claim->replicas[i].generation;
  return highest;
}

static bool
is_refusal (vote_kind_t vote)
{
  return vote == VOTE_RELEASED || vote == VOTE_FULL;
}

/* Number of replicas that let no attempt of the highest generation run.  */
static size_t
count_refusals (const claim_t *claim)
{
  uint32_t highest = highest_generation (claim);
  size_t n = 0;
  for (size_t i = 0; i < n_replicas (claim); i++)
    {
      const claim_replica_t *replica = &claim->replicas[i];
      if (replica->answered && is_refusal (replica->vote)
          && replica->generation == highest)
        n++;
    }
  return n;
}

/* Number of replicas whose first vote may still arrive.  */
static size_t
count_outstanding (const claim_t *claim)
{
  size_t n = 0;
  for (size_t i = 0; i < n_replicas (claim); i++)
    if (!claim->replicas[i].answered && !claim->replicas[i].failed)
      n++;
  return n;
}

bool
claim_is_settled (const claim_t *claim)
{
  return claim->phase != CLAIM_COLLECTING && claim->phase != CLAIM_WAITING;
}

static claim_cause_t
cause_from_votes (const claim_t *claim)
{
  if (count_votes (claim, VOTE_EXPIRED) > 0)
    return CLAIM_CAUSE_EXPIRED;
  if (count_votes (claim, VOTE_CONFLICT) > 0)
    return CLAIM_CAUSE_CONFLICT;
  size_t n_other = count_votes (claim, VOTE_HELD);
  bool had_grants = false;
  for (size_t i = 0; i < n_replicas (claim); i++)
    had_grants = had_grants || claim->replicas[i].granted;
  if (n_other > 0 && had_grants)
    return CLAIM_CAUSE_SPLIT;
  if (n_other > 0)
    return CLAIM_CAUSE_HELD;
  if (count_votes (claim, VOTE_FULL) > 0)
    return CLAIM_CAUSE_FULL;
  if (count_votes (claim, VOTE_NOT_A_REPLICA)
      >= ticket_majority (&claim->options.ticket))
    return CLAIM_CAUSE_RESTARTED;
  return CLAIM_CAUSE_UNREACHABLE;
}

/* Mark the votes that were requested and must be released now that the attempt
   has given up.  */
static void
mark_withdrawals (claim_t *claim)
{
  if (claim->options.intent != CLAIM_TO_RUN)
    return;
  for (size_t i = 0; i < claim->n_requested; i++)
    {
      claim_replica_t *replica = &claim->replicas[i];
      if (!replica->answered || replica->vote == VOTE_GRANTED)
        replica->must_withdraw = true;
    }
}

static void
request_withdrawals (claim_t *claim, claim_requests_t *requests)
{
  for (size_t i = 0; i < n_replicas (claim); i++)
    {
      const claim_replica_t *replica = &claim->replicas[i];
      if (replica->must_withdraw
          && (!replica->answered || replica->vote == VOTE_GRANTED))
        add_request (requests, i, LEDGER_RELEASE);
    }
}

static void
end_as_unknown (claim_t *claim, claim_requests_t *requests)
{
  mark_withdrawals (claim);
  claim->cause = cause_from_votes (claim);
  claim->phase = CLAIM_UNKNOWN;
  request_withdrawals (claim, requests);
}

/* Settle the claim where the votes decide it; returns whether they did.  */
static bool
settle_by_votes (claim_t *claim, claim_requests_t *requests)
{
  size_t majority = ticket_majority (&claim->options.ticket);
  if (claim->phase == CLAIM_COLLECTING && claim->options.intent == CLAIM_TO_RUN
      && count_votes (claim, VOTE_GRANTED) >= majority)
    {
      claim->phase = CLAIM_WON;
      return true;
    }
  if (count_refusals (claim) >= majority)
    {
      claim->cause = count_votes (claim, VOTE_FULL) > 0 ? CLAIM_CAUSE_FULL
                                                        : CLAIM_CAUSE_NONE;
      claim->generation = highest_generation (claim);
      claim->phase = CLAIM_REFUSED;
      mark_withdrawals (claim);
      request_withdrawals (claim, requests);
      return true;
    }
  if (count_votes (claim, VOTE_EXPIRED) > 0
      || count_votes (claim, VOTE_CONFLICT) > 0
      || count_votes (claim, VOTE_NOT_A_REPLICA) >= majority)
    {
      end_as_unknown (claim, requests);
      return true;
    }
  return false;
}

static bool
can_still_decide (const claim_t *claim)
{
  size_t n_favourable = claim->options.intent == CLAIM_TO_RUN
                            ? count_votes (claim, VOTE_GRANTED)
                            : count_refusals (claim);
  return n_favourable + count_outstanding (claim)
         >= ticket_majority (&claim->options.ticket);
}

static bool
is_concluded (const claim_replica_t *replica)
{
  return replica->answered || replica->failed || replica->late;
}

static bool
are_all_concluded (const claim_t *claim)
{
  for (size_t i = 0; i < n_replicas (claim); i++)
    if (!is_concluded (&claim->replicas[i]))
      return false;
  return true;
}

static bool
waits_for_late_votes (const claim_t *claim, usec_t now)
{
  return claim->options.intent == CLAIM_TO_RUN
         && now < claim->options.collect_until
         && count_votes (claim, VOTE_HELD) == 0
         && count_outstanding (claim) > 0;
}

static void
mark_late (claim_t *claim, usec_t now)
{
  for (size_t i = 0; i < claim->n_requested; i++)
    {
      claim_replica_t *replica = &claim->replicas[i];
      if (now - replica->requested_at >= claim->options.vote_timeout)
        replica->late = true;
    }
}

static void
request_next_vote (claim_t *claim, usec_t now, claim_requests_t *requests)
{
  claim_replica_t *replica = &claim->replicas[claim->n_requested];
  replica->requested_at = now;
  add_request (requests, claim->n_requested,
               claim->options.intent == CLAIM_TO_RUN ? LEDGER_CLAIM
                                                     : LEDGER_RELEASE);
  claim->n_requested++;
}

static ledger_op_t
op_for_poll (const claim_t *claim, const claim_replica_t *replica)
{
  if (replica->must_withdraw)
    return LEDGER_RELEASE;
  /* Another attempt is collecting votes: a release would take the free ones
     from it.  */
  if (count_votes (claim, VOTE_HELD) > 0)
    return LEDGER_QUERY;
  return LEDGER_RELEASE;
}

static void
poll_replicas (claim_t *claim, usec_t now, claim_requests_t *requests)
{
  claim->next_poll_at = now + claim->options.poll_interval;
  for (size_t i = 0; i < n_replicas (claim); i++)
    {
      const claim_replica_t *replica = &claim->replicas[i];
      bool is_final = replica->answered
                      && (replica->vote == VOTE_NOT_A_REPLICA
                          || replica->vote == VOTE_FULL);
      if (!is_final)
        add_request (requests, i, op_for_poll (claim, replica));
    }
}

static void
start_waiting (claim_t *claim, usec_t now, claim_requests_t *requests)
{
  claim->phase = CLAIM_WAITING;
  mark_withdrawals (claim);
  poll_replicas (claim, now, requests);
}

static void
advance_collecting (claim_t *claim, usec_t now, claim_requests_t *requests)
{
  if (!can_still_decide (claim))
    {
      start_waiting (claim, now, requests);
      return;
    }
  if (now < claim->backoff_until)
    return;
  claim->backoff_until = 0;
  mark_late (claim, now);
  while (claim->n_requested < n_replicas (claim))
    {
      bool may_request
          = claim->options.order == CLAIM_ORDER_PARALLEL
            || claim->n_requested == 0
            || is_concluded (&claim->replicas[claim->n_requested - 1]);
      if (!may_request)
        return;
      request_next_vote (claim, now, requests);
    }
  if (are_all_concluded (claim) && !waits_for_late_votes (claim, now))
    start_waiting (claim, now, requests);
}

static void
advance (claim_t *claim, usec_t now, claim_requests_t *requests)
{
  if (claim_is_settled (claim) || settle_by_votes (claim, requests))
    return;
  if (now >= claim->options.deadline)
    end_as_unknown (claim, requests);
  else if (claim->phase == CLAIM_COLLECTING)
    advance_collecting (claim, now, requests);
  else if (now >= claim->next_poll_at)
    poll_replicas (claim, now, requests);
}

void
claim_start (claim_t *claim, const claim_options_t *options, usec_t now,
             claim_requests_t *requests)
{
  *claim = (claim_t){ .options = *options };
  requests->n = 0;
  advance (claim, now, requests);
}

static void
store_outcome (claim_t *claim, const outcome_t *outcome)
{
  claim->outcome = *outcome;
  claim->outcome.body = NULL;
  claim->phase = CLAIM_DONE;
  if (!outcome->body_kept || outcome->n_body == 0)
    return;
  char *body = malloc (outcome->n_body);
  claim->outcome.body_kept = body != NULL;
  if (!body)
    return;
  memcpy (body, outcome->body, outcome->n_body);
  claim->outcome.body = body;
}

void
claim_on_vote (claim_t *claim, size_t replica, const ledger_vote_t *vote,
               usec_t now, claim_requests_t *requests)
{
  requests->n = 0;
  if (replica >= n_replicas (claim) || claim_is_settled (claim))
    return;
  if (vote->kind == VOTE_DONE)
    {
      mark_withdrawals (claim);
      store_outcome (claim, &vote->outcome);
      return;
    }
  claim_replica_t *state = &claim->replicas[replica];
  /* The attempt has given up, and has released this vote already.  */
  if (claim->phase == CLAIM_WAITING && vote->kind == VOTE_GRANTED)
    return;
  /* Votes may arrive out of order, but a refused generation stays so.  */
  if (state->answered && is_refusal (state->vote)
      && vote->generation <= state->generation)
    return;
  state->answered = true;
  state->failed = false;
  state->vote = vote->kind;
  state->granted = state->granted || vote->kind == VOTE_GRANTED;
  state->generation = vote->generation;
  if (vote->kind == VOTE_HELD && claim->phase == CLAIM_COLLECTING
      && claim->options.order == CLAIM_ORDER_SEQUENTIAL)
    claim->backoff_until = now + claim->options.contention_backoff;
  advance (claim, now, requests);
}

void
claim_on_failure (claim_t *claim, size_t replica, usec_t now,
                  claim_requests_t *requests)
{
  requests->n = 0;
  if (replica >= n_replicas (claim) || claim_is_settled (claim))
    return;
  if (!claim->replicas[replica].answered)
    claim->replicas[replica].failed = true;
  advance (claim, now, requests);
}

void
claim_tick (claim_t *claim, usec_t now, claim_requests_t *requests)
{
  requests->n = 0;
  advance (claim, now, requests);
}

usec_t
claim_wakeup (const claim_t *claim)
{
  usec_t due = claim->options.deadline;
  if (claim_is_settled (claim))
    return INT64_MAX;
  if (claim->phase == CLAIM_WAITING)
    return claim->next_poll_at < due ? claim->next_poll_at : due;
  usec_t next = due;
  for (size_t i = 0; i < claim->n_requested; i++)
    {
      const claim_replica_t *replica = &claim->replicas[i];
      usec_t late_at = replica->requested_at + claim->options.vote_timeout;
      if (!is_concluded (replica) && late_at < next)
        next = late_at;
    }
  if (are_all_concluded (claim))
    next = claim->options.collect_until;
  /* No replica is asked before the back-off is over.  */
  if (claim->backoff_until > 0)
    next = claim->backoff_until;
  return next < due ? next : due;
}

void
claim_release (claim_t *claim, claim_requests_t *requests)
{
  requests->n = 0;
  if (claim->phase != CLAIM_WON)
    return;
  claim->phase = CLAIM_REFUSED;
  claim->generation = claim->options.ticket.generation;
  for (size_t i = 0; i < n_replicas (claim); i++)
    add_request (requests, i, LEDGER_RELEASE);
}

void
claim_record (const claim_t *claim, claim_requests_t *requests)
{
  requests->n = 0;
  if (claim->phase != CLAIM_WON)
    return;
  for (size_t i = 0; i < n_replicas (claim); i++)
    add_request (requests, i, LEDGER_RECORD);
}

ledger_request_t
claim_make_request (const claim_t *claim, ledger_op_t op)
{
  return (ledger_request_t){ .op = op,
                             .ticket = claim->options.ticket,
                             .attempt = claim->options.attempt,
                             .fingerprint = claim->options.fingerprint };
}

void
claim_destroy (claim_t *claim)
{
  free ((char *)claim->outcome.body);
  claim->outcome.body = NULL;
}
