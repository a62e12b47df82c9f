#include "agreement/replica_internal.h"

#include <string.h>

void
election_reset (replica_t *replica)
{
  usec_t election = replica->options.election_timeout;
  usec_t slot_stagger = replica->options.election_stagger;
  uint64_t random_range
      = (uint64_t)(slot_stagger > 0 ? slot_stagger / 4 : election);
  replica->election_deadline
      = replica->now + election + slot_stagger * replica->options.slot
        + (usec_t)random_below (&replica->random, random_range);
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
      message.body.vote_request.is_pre_vote = is_pre_vote_round;
      message.body.vote_request.last_index = replica->last_index;
      message.body.vote_request.last_term = replica->last_term;
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
  replica->is_dirty = true;
  election_reset (replica);
  request_votes (replica, false);
}

static void
election_check_votes (replica_t *replica)
{
  if (count_granted (replica) < config_majority (replica))
    return;
  if (replica->is_pre_candidate)
    election_start (replica);
  else if (replica->role == ROLE_CANDIDATE)
    leader_start (replica);
}

void
election_tick (replica_t *replica)
{
  if (replica->now < replica->election_deadline || replica->role == ROLE_BLANK)
    return;
  election_reset (replica);
  replica->leader = SLOT_NONE;
  if (!config_has_vote (replica, replica->options.slot, replica->incarnation))
    return;
  replica->role = ROLE_FOLLOWER;
  replica->is_pre_candidate = true;
  request_votes (replica, true);
  election_check_votes (replica);
}

static bool
candidate_log_is_up_to_date (const replica_t *replica,
                             const vote_request_t *request)
{
  if (request->last_term != replica->last_term)
    return request->last_term > replica->last_term;
  return request->last_index >= replica->last_index;
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
  if (message->term < replica->vote.term
      || !candidate_log_is_up_to_date (replica, request))
    return false;
  if (request->is_pre_vote)
    return message->term > replica->vote.term;
  return replica->vote.slot == SLOT_NONE
         || (replica->vote.slot == message->from
             && replica->vote.incarnation == message->from_incarnation);
}

void
election_on_vote_request (replica_t *replica, const message_t *message)
{
  const vote_request_t *request = &message->body.vote_request;
  if (replica->role == ROLE_BLANK || leader_may_hold_lease (replica))
    return;
  if (!request->is_pre_vote && message->term > replica->vote.term)
    replica_become_follower (replica, message->term, SLOT_NONE);
  bool granted = may_grant_vote (replica, message);
  if (granted && !request->is_pre_vote)
    {
      replica->vote.slot = message->from;
      replica->vote.incarnation = message->from_incarnation;
      replica->is_dirty = true;
      election_reset (replica);
    }
  message_t response = message_to (replica, MESSAGE_VOTE_RESPONSE,
                                   message->from, message->from_incarnation);
  if (granted)
    response.term = message->term;
  response.body.vote_response.is_pre_vote = request->is_pre_vote;
  response.body.vote_response.granted = granted;
  message_send_after_sync (replica, &response);
}

void
election_on_vote_response (replica_t *replica, const message_t *message)
{
  const vote_response_t *response = &message->body.vote_response;
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
