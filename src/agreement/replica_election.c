#include "agreement/replica_internal.h"

#include <string.h>

/* Pre-candidates make way for one of them, so that a vote is not split: those
   that are outranked stop asking, and a pre-candidate refuses those that it
   outranks.  It can't know whether the highest-ranked one is able to win, so
   both end: stopping leaves a part of each interval free, and refusing ends
   when it has asked in vain for long.  All in round trips, to which
   slow_sync_time is added.  */
enum
{
  VOTE_DURATION = 3,   /* of vote_duration */
  YIELD_DURATION = 4,  /* from the first time that it yields to the last */
  YIELD_INTERVAL = 10, /* until it yields again */
  REFUSE_DURATION = 6,
};

enum
{
  FAILED_VOTES_MAX = 2, /* that raise sync_allowance */
  SLOW_SYNC_MAX = 2,    /* of slow_sync_time, in election timeouts */
};

static usec_t
round_trips (const replica_t *replica, int n)
{
  return n * replica->options.round_trip;
}

/* What a vote may take longer than round trips allow for, by this replica's
   last sync: the disks of others may be as slow.  */
static usec_t
slow_sync_time (const replica_t *replica)
{
  usec_t most = SLOW_SYNC_MAX * replica->options.election_timeout;
  usec_t excess = replica->sync_time - round_trips (replica, 1);
  if (excess < 0)
    return 0;
  return excess < most ? excess : most;
}

/* From a pre-vote to the leader's first message.  */
static usec_t
vote_duration (const replica_t *replica)
{
  return round_trips (replica, VOTE_DURATION) + slow_sync_time (replica);
}

/* Returns a random time below half a round trip, so that not all replicas ask
   for pre-votes at the same moment.  */
static usec_t
random_delay (replica_t *replica)
{
  return (usec_t)random_below (&replica->random,
                               (uint64_t)replica->options.round_trip / 2);
}

void
election_reset (replica_t *replica)
{
  memset (replica->yielded_at, 0, sizeof replica->yielded_at);
  replica->first_yield_at = 0;
  replica->held_request.kind = MESSAGE_KINDS;
  replica->vote_sequence = 0;
  replica->election_deadline = replica->now + replica->options.election_timeout
                               + random_delay (replica);
}

/* This replica has just voted, for itself or another one.  The election
   timeout begins anew when the vote is on disk, as the persist action of this
   step.  */
static void
vote_given (replica_t *replica)
{
  replica->voted_at = replica->now;
  replica->is_dirty = true;
  election_reset (replica);
  replica->vote_sequence = replica->persist_sequence + 1;
}

/* The time that an election gets for slow disks: as long as this replica's own
   sync took, but no longer than one election timeout, so that a stall of
   seconds does not delay the next election by as long.  Elections that failed
   raise both, as the disks of others may be slower.  */
static usec_t
sync_allowance (const replica_t *replica)
{
  const usec_t timeout = replica->options.election_timeout;
  usec_t least = replica->n_failed_votes * timeout;
  usec_t most = least + timeout;
  if (replica->sync_time < least)
    return least;
  return replica->sync_time < most ? replica->sync_time : most;
}

void
election_on_synced (replica_t *replica)
{
  if (replica->vote_sequence == 0
      || replica->synced_sequence < replica->vote_sequence)
    return;
  usec_t until = replica->now + sync_allowance (replica)
                 + replica->options.election_timeout + random_delay (replica);
  replica->vote_sequence = 0;
  if (replica->n_failed_votes < FAILED_VOTES_MAX)
    replica->n_failed_votes++;
  if (replica->election_deadline < until)
    replica->election_deadline = until;
}

void
election_end (replica_t *replica)
{
  memset (replica->has_been_heard, 0, sizeof replica->has_been_heard);
  replica->vain_since = 0;
  replica->n_failed_votes = 0;
}

static size_t
count_granted (const replica_t *replica)
{
  size_t n = 0;
  for (slot_t slot = 0; slot < replica->config.n_slots; slot++)
    if (replica->has_granted[slot] && slot != replica->pending_slot)
      n++;
  return n;
}

/* The request for votes that REPLICA's log gives it.  */
static vote_request_t
vote_request_of (const replica_t *replica, bool is_pre_vote)
{
  return (vote_request_t){ .is_pre_vote = is_pre_vote,
                           .last_index = replica->last_index,
                           .last_term = replica->last_term };
}

static void
request_votes (replica_t *replica, bool is_pre_vote_round)
{
  memset (replica->has_granted, 0, sizeof replica->has_granted);
  replica->has_granted[replica->options.slot] = true;
  for (slot_t slot = 0; slot < replica->config.n_slots; slot++)
    {
      if (slot == replica->options.slot)
        continue;
      message_t message = message_to (replica, MESSAGE_VOTE_REQUEST, slot,
                                      replica->config.incarnation[slot]);
      message.term = replica->vote.term + (is_pre_vote_round ? 1 : 0);
      message.body.vote_request = vote_request_of (replica, is_pre_vote_round);
      message_send_after_sync (replica, &message);
    }
}

static void
election_start (replica_t *replica)
{
  replica->role = ROLE_CANDIDATE;
  replica->is_pre_candidate = false;
  replica->vote.term++;
  replica->vote.slot = replica->options.slot;
  replica->vote.incarnation = replica->incarnation;
  vote_given (replica);
  request_votes (replica, false);
}

/* True while this replica refuses pre-votes to those that it outranks.  */
static bool
refuses_outranked (const replica_t *replica)
{
  return replica->now
         < replica->vain_since + round_trips (replica, REFUSE_DURATION);
}

/* True once no other replica can win pre-votes at the same time: all have
   granted theirs and would have refused, or the requests of all have
   arrived.  */
static bool
pre_vote_is_settled (const replica_t *replica)
{
  return (refuses_outranked (replica)
          && count_granted (replica) == replica->config.n_slots)
         || replica->now >= replica->pre_vote_at + round_trips (replica, 1);
}

/* Another replica is there: it may be the vote that was missing.  */
static void
note_heard (replica_t *replica, slot_t slot)
{
  if (replica->has_been_heard[slot])
    return;
  replica->has_been_heard[slot] = true;
  if (replica->vain_since > 0)
    replica->vain_since = replica->now;
}

static void
election_check_votes (replica_t *replica)
{
  if (count_granted (replica) < config_majority (replica))
    return;
  if (replica->is_pre_candidate && pre_vote_is_settled (replica))
    election_start (replica);
  else if (replica->role == ROLE_CANDIDATE)
    leader_start (replica);
}

static void
pre_vote_start (replica_t *replica)
{
  replica->role = ROLE_FOLLOWER;
  replica->leader = SLOT_NONE;
  replica->is_pre_candidate = true;
  replica->pre_vote_at = replica->now;
  if (replica->vain_since == 0)
    replica->vain_since = replica->now;
  /* A pre-vote changes no state of others, so it is soon repeated: leases of
     some may have lasted a little longer.  */
  replica->election_deadline
      = replica->now + round_trips (replica, 1) + random_delay (replica);
  request_votes (replica, true);
  election_check_votes (replica);
}

/* Compares the logs that two requests describe, as Raft does: above 0 if that
   of A is newer, 0 if both are equally new.  */
static int
compare_logs (const vote_request_t *a, const vote_request_t *b)
{
  if (a->last_term != b->last_term)
    return a->last_term > b->last_term ? 1 : -1;
  return (a->last_index > b->last_index) - (a->last_index < b->last_index);
}

/* True while a leader may hold a lease that this replica has acknowledged.
   The acknowledgement may precede a restart of this replica, so the start time
   counts as contact with a leader.  */
static bool
leader_may_hold_lease (const replica_t *replica)
{
  if (replica->role == ROLE_LEADER)
    return true;
  return replica->now
         < replica->leader_heard_at + replica->options.election_timeout;
}

static bool
may_grant_vote (const replica_t *replica, const message_t *message)
{
  const vote_request_t *request = &message->body.vote_request;
  const vote_request_t own = vote_request_of (replica, request->is_pre_vote);
  if (message->term < replica->vote.term || compare_logs (request, &own) < 0)
    return false;
  if (request->is_pre_vote)
    return message->term > replica->vote.term;
  return replica->vote.slot == SLOT_NONE
         || (replica->vote.slot == message->from
             && replica->vote.incarnation == message->from_incarnation);
}

/* True while a candidate that this replica voted for may still win.  */
static bool
vote_is_in_progress (const replica_t *replica)
{
  return replica->voted_at > 0
         && replica->now < replica->voted_at + vote_duration (replica);
}

/* Whether this replica, which asks for pre-votes too, goes before the sender
   of MESSAGE, whose log is at least as new.  While a voter change is pending
   here, the sender may count a vote that this replica doesn't.  */
static bool
outranks_sender (const replica_t *replica, const message_t *message)
{
  const vote_request_t own = vote_request_of (replica, true);
  return compare_logs (&message->body.vote_request, &own) == 0
         && replica->pending_slot == SLOT_NONE
         && replica->options.slot < message->from;
}

/* Give the replica of SLOT, which asks for a pre-vote, the time to win.  The
   slots above it have given their time to it too, so what was given to them
   doesn't count.  */
static void
yield_anew (replica_t *replica, slot_t slot)
{
  for (size_t higher = slot + 1; higher < REPLICAS_MAX; higher++)
    replica->yielded_at[higher] = 0;
  replica->yielded_at[slot] = replica->now;
  usec_t until
      = replica->now + vote_duration (replica) + random_delay (replica);
  if (replica->election_deadline < until)
    replica->election_deadline = until;
}

/* Stop asking for votes while the replica of SLOT, which asks for a pre-vote,
   has the time to win.  A candidate gives up its own election, which was not
   decided in time.  */
static void
election_yield (replica_t *replica, slot_t slot)
{
  usec_t since = replica->now - replica->first_yield_at;
  usec_t interval
      = round_trips (replica, YIELD_INTERVAL) + slow_sync_time (replica);
  if (replica->first_yield_at == 0 || since >= interval)
    {
      memset (replica->yielded_at, 0, sizeof replica->yielded_at);
      replica->first_yield_at = replica->now;
      since = 0;
    }
  if (replica->yielded_at[slot] == 0
      && since < round_trips (replica, YIELD_DURATION))
    yield_anew (replica, slot);
  if (replica->yielded_at[slot] == 0
      || replica->now >= replica->yielded_at[slot] + vote_duration (replica))
    return;
  replica->is_pre_candidate = false;
  if (replica->role == ROLE_CANDIDATE)
    replica->role = ROLE_FOLLOWER;
}

static bool
grant_pre_vote (replica_t *replica, const message_t *message)
{
  bool competes = replica->is_pre_candidate || replica->role == ROLE_CANDIDATE;
  bool outranks = competes && outranks_sender (replica, message);
  if (!may_grant_vote (replica, message)
      || (outranks && refuses_outranked (replica)))
    return false;
  if (!outranks)
    election_yield (replica, message->from);
  return true;
}

static bool
grant_vote (replica_t *replica, const message_t *message)
{
  if (message->term > replica->vote.term)
    replica_become_follower (replica, message->term, SLOT_NONE);
  if (!may_grant_vote (replica, message))
    return false;
  replica->vote.slot = message->from;
  replica->vote.incarnation = message->from_incarnation;
  vote_given (replica);
  return true;
}

static void
answer_vote_request (replica_t *replica, const message_t *message)
{
  const vote_request_t *request = &message->body.vote_request;
  if (request->is_pre_vote && vote_is_in_progress (replica))
    return;
  bool granted = request->is_pre_vote ? grant_pre_vote (replica, message)
                                      : grant_vote (replica, message);
  message_t response = message_to (replica, MESSAGE_VOTE_RESPONSE,
                                   message->from, message->from_incarnation);
  if (granted)
    response.term = message->term;
  response.body.vote_response.is_pre_vote = request->is_pre_vote;
  response.body.vote_response.granted = granted;
  message_send_after_sync (replica, &response);
}

/* Whether the sender of A goes before the sender of B.  */
static bool
request_is_better (const message_t *a, const message_t *b)
{
  int order = compare_logs (&a->body.vote_request, &b->body.vote_request);
  return order != 0 ? order > 0 : a->from <= b->from;
}

/* Whether a request is held whose sender may still wait for the answer.  */
static bool
holds_request (const replica_t *replica)
{
  return replica->held_request.kind != MESSAGE_KINDS
         && replica->now < replica->held_at + vote_duration (replica);
}

/* Hold a request for a pre-vote until the lease is over, so that its sender
   need not ask again; the better one of two.  */
static void
hold_request (replica_t *replica, const message_t *message)
{
  if (!message->body.vote_request.is_pre_vote
      || (holds_request (replica)
          && !request_is_better (message, &replica->held_request)))
    return;
  replica->held_request = *message;
  replica->held_at = replica->now;
}

static void
answer_held_request (replica_t *replica)
{
  if (!holds_request (replica) || leader_may_hold_lease (replica))
    return;
  message_t request = replica->held_request;
  replica->held_request.kind = MESSAGE_KINDS;
  answer_vote_request (replica, &request);
}

void
election_on_vote_request (replica_t *replica, const message_t *message)
{
  if (replica->role == ROLE_BLANK)
    return;
  note_heard (replica, message->from);
  if (leader_may_hold_lease (replica))
    hold_request (replica, message);
  else
    answer_vote_request (replica, message);
}

void
election_on_vote_response (replica_t *replica, const message_t *message)
{
  const vote_response_t *response = &message->body.vote_response;
  note_heard (replica, message->from);
  term_t expected_term = replica->vote.term + (response->is_pre_vote ? 1 : 0);
  if (!response->granted || message->term != expected_term
      || response->is_pre_vote != replica->is_pre_candidate
      || !config_has_vote (replica, message->from, message->from_incarnation))
    return;
  if (!response->is_pre_vote && replica->role != ROLE_CANDIDATE)
    return;
  replica->has_granted[message->from] = true;
  election_check_votes (replica);
}

void
election_tick (replica_t *replica)
{
  if (replica->role == ROLE_BLANK)
    return;
  answer_held_request (replica);
  if (replica->is_pre_candidate)
    election_check_votes (replica);
  if (replica->now < replica->election_deadline || replica->vote_sequence > 0)
    return;
  if (config_has_vote (replica, replica->options.slot, replica->incarnation))
    pre_vote_start (replica);
  else
    {
      replica->leader = SLOT_NONE;
      election_reset (replica);
    }
}
