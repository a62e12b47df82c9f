#include "ledger/claim.h"

#include <stdlib.h>
#include <string.h>

static void
add_ask (claim_requests_t *asks, size_t replica, ledger_op_t op)
{
  for (size_t i = 0; i < asks->n; i++)
    if (asks->items[i].replica == replica)
      {
        asks->items[i].op = op;
        return;
      }
  asks->items[asks->n].replica = (uint8_t)replica;
  asks->items[asks->n].op = op;
  asks->n++;
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

/* The highest generation that replicas told of, at least the ticket's.  */
static uint32_t
newest_generation (const claim_t *claim)
{
  uint32_t newest = claim->options.ticket.generation;
  for (size_t i = 0; i < n_replicas (claim); i++)
    if (claim->replicas[i].answered && claim->replicas[i].generation > newest)
      newest = claim->replicas[i].generation;
  return newest;
}

static bool
is_refusal (vote_kind_t vote)
{
  return vote == VOTE_RELEASED || vote == VOTE_FULL;
}

/* Replicas that let no attempt of the newest generation run.  */
static size_t
count_refusals (const claim_t *claim)
{
  uint32_t newest = newest_generation (claim);
  size_t n = 0;
  for (size_t i = 0; i < n_replicas (claim); i++)
    {
      const claim_replica_t *replica = &claim->replicas[i];
      if (replica->answered && is_refusal (replica->vote)
          && replica->generation == newest)
        n++;
    }
  return n;
}

/* Replicas whose vote may still come for the first time.  */
static size_t
count_open (const claim_t *claim)
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
cause_of_votes (const claim_t *claim)
{
  if (count_votes (claim, VOTE_EXPIRED) > 0)
    return CLAIM_CAUSE_EXPIRED;
  if (count_votes (claim, VOTE_CONFLICT) > 0)
    return CLAIM_CAUSE_CONFLICT;
  size_t n_other = count_votes (claim, VOTE_HELD);
  bool had_votes = false;
  for (size_t i = 0; i < n_replicas (claim); i++)
    had_votes = had_votes || claim->replicas[i].granted;
  if (n_other > 0 && had_votes)
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

/* Votes that were asked for and must not stand once the attempt gave up.  */
static void
mark_withdrawals (claim_t *claim)
{
  if (claim->options.intent != CLAIM_TO_RUN)
    return;
  for (size_t i = 0; i < claim->n_asked; i++)
    {
      claim_replica_t *replica = &claim->replicas[i];
      if (!replica->answered || replica->vote == VOTE_GRANTED)
        replica->must_withdraw = true;
    }
}

static void
ask_withdrawals (claim_t *claim, claim_requests_t *asks)
{
  for (size_t i = 0; i < n_replicas (claim); i++)
    {
      const claim_replica_t *replica = &claim->replicas[i];
      if (replica->must_withdraw
          && (!replica->answered || replica->vote == VOTE_GRANTED))
        add_ask (asks, i, LEDGER_RELEASE);
    }
}

static void
end_unknown (claim_t *claim, claim_requests_t *asks)
{
  mark_withdrawals (claim);
  claim->cause = cause_of_votes (claim);
  claim->phase = CLAIM_UNKNOWN;
  ask_withdrawals (claim, asks);
}

/* Settle where the votes decide; true where they did.  */
static bool
settle_by_votes (claim_t *claim, claim_requests_t *asks)
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
      claim->generation = newest_generation (claim);
      claim->phase = CLAIM_REFUSED;
      mark_withdrawals (claim);
      ask_withdrawals (claim, asks);
      return true;
    }
  if (count_votes (claim, VOTE_EXPIRED) > 0
      || count_votes (claim, VOTE_CONFLICT) > 0
      || count_votes (claim, VOTE_NOT_A_REPLICA) >= majority)
    {
      end_unknown (claim, asks);
      return true;
    }
  return false;
}

static bool
can_still_decide (const claim_t *claim)
{
  size_t n_hopes = claim->options.intent == CLAIM_TO_RUN
                       ? count_votes (claim, VOTE_GRANTED)
                       : count_refusals (claim);
  return n_hopes + count_open (claim)
         >= ticket_majority (&claim->options.ticket);
}

static bool
is_over (const claim_replica_t *replica)
{
  return replica->answered || replica->failed || replica->late;
}

static void
mark_late (claim_t *claim, usec_t now)
{
  for (size_t i = 0; i < claim->n_asked; i++)
    {
      claim_replica_t *replica = &claim->replicas[i];
      if (now - replica->asked_at >= claim->options.vote_timeout)
        replica->late = true;
    }
}

static void
ask_next (claim_t *claim, usec_t now, claim_requests_t *asks)
{
  claim_replica_t *replica = &claim->replicas[claim->n_asked];
  replica->asked_at = now;
  add_ask (asks, claim->n_asked,
           claim->options.intent == CLAIM_TO_RUN ? LEDGER_CLAIM
                                                 : LEDGER_RELEASE);
  claim->n_asked++;
}

static ledger_op_t
poll_op (const claim_t *claim, const claim_replica_t *replica)
{
  if (replica->must_withdraw)
    return LEDGER_RELEASE;
  /* Another attempt is collecting votes: don't take them from it.  */
  if (count_votes (claim, VOTE_HELD) > 0)
    return LEDGER_QUERY;
  return LEDGER_RELEASE;
}

static void
poll_replicas (claim_t *claim, usec_t now, claim_requests_t *asks)
{
  claim->poll_at = now + claim->options.poll_interval;
  for (size_t i = 0; i < n_replicas (claim); i++)
    {
      const claim_replica_t *replica = &claim->replicas[i];
      bool is_final = replica->answered
                      && (replica->vote == VOTE_NOT_A_REPLICA
                          || replica->vote == VOTE_FULL);
      if (!is_final)
        add_ask (asks, i, poll_op (claim, replica));
    }
}

static void
start_waiting (claim_t *claim, usec_t now, claim_requests_t *asks)
{
  claim->phase = CLAIM_WAITING;
  mark_withdrawals (claim);
  poll_replicas (claim, now, asks);
}

static void
advance_asking (claim_t *claim, usec_t now, claim_requests_t *asks)
{
  if (!can_still_decide (claim))
    {
      start_waiting (claim, now, asks);
      return;
    }
  if (now < claim->backoff_until)
    return;
  claim->backoff_until = 0;
  mark_late (claim, now);
  while (claim->n_asked < n_replicas (claim))
    {
      bool may_ask = claim->options.order == CLAIM_ORDER_PARALLEL
                     || claim->n_asked == 0
                     || is_over (&claim->replicas[claim->n_asked - 1]);
      if (!may_ask)
        return;
      ask_next (claim, now, asks);
    }
  for (size_t i = 0; i < claim->n_asked; i++)
    if (!is_over (&claim->replicas[i]))
      return;
  start_waiting (claim, now, asks);
}

static void
advance (claim_t *claim, usec_t now, claim_requests_t *asks)
{
  if (claim_is_settled (claim) || settle_by_votes (claim, asks))
    return;
  if (now >= claim->options.deadline)
    end_unknown (claim, asks);
  else if (claim->phase == CLAIM_COLLECTING)
    advance_asking (claim, now, asks);
  else if (now >= claim->poll_at)
    poll_replicas (claim, now, asks);
}

void
claim_start (claim_t *claim, const claim_options_t *options, usec_t now,
             claim_requests_t *asks)
{
  *claim = (claim_t){ .options = *options };
  asks->n = 0;
  advance (claim, now, asks);
}

static void
keep_outcome (claim_t *claim, const outcome_t *outcome)
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
               usec_t now, claim_requests_t *asks)
{
  asks->n = 0;
  if (replica >= n_replicas (claim) || claim_is_settled (claim))
    return;
  if (vote->kind == VOTE_DONE)
    {
      mark_withdrawals (claim);
      keep_outcome (claim, &vote->outcome);
      return;
    }
  claim_replica_t *state = &claim->replicas[replica];
  /* A grant that comes after the attempt gave up was taken back already.  */
  if (claim->phase == CLAIM_WAITING && vote->kind == VOTE_GRANTED)
    return;
  /* Votes overtake each other; a refusal of one generation is for good.  */
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
  advance (claim, now, asks);
}

void
claim_on_failure (claim_t *claim, size_t replica, usec_t now,
                  claim_requests_t *asks)
{
  asks->n = 0;
  if (replica >= n_replicas (claim) || claim_is_settled (claim))
    return;
  if (!claim->replicas[replica].answered)
    claim->replicas[replica].failed = true;
  advance (claim, now, asks);
}

void
claim_tick (claim_t *claim, usec_t now, claim_requests_t *asks)
{
  asks->n = 0;
  advance (claim, now, asks);
}

usec_t
claim_wakeup (const claim_t *claim)
{
  usec_t due = claim->options.deadline;
  if (claim_is_settled (claim))
    return INT64_MAX;
  if (claim->phase == CLAIM_WAITING)
    return claim->poll_at < due ? claim->poll_at : due;
  usec_t next = due;
  for (size_t i = 0; i < claim->n_asked; i++)
    {
      const claim_replica_t *replica = &claim->replicas[i];
      usec_t late_at = replica->asked_at + claim->options.vote_timeout;
      if (!is_over (replica) && late_at < next)
        next = late_at;
    }
  /* Nothing happens before the pause is over.  */
  if (claim->backoff_until > 0)
    next = claim->backoff_until;
  return next < due ? next : due;
}

void
claim_release (claim_t *claim, claim_requests_t *asks)
{
  asks->n = 0;
  if (claim->phase != CLAIM_WON)
    return;
  claim->phase = CLAIM_REFUSED;
  claim->generation = claim->options.ticket.generation;
  for (size_t i = 0; i < n_replicas (claim); i++)
    add_ask (asks, i, LEDGER_RELEASE);
}

void
claim_record (const claim_t *claim, claim_requests_t *asks)
{
  asks->n = 0;
  if (claim->phase != CLAIM_WON)
    return;
  for (size_t i = 0; i < n_replicas (claim); i++)
    add_ask (asks, i, LEDGER_RECORD);
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
