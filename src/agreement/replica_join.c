#include "agreement/replica_internal.h"

/* A replica also asks while its voter change is pending: an uncommitted change
   may still be overwritten, and the vote is then lost.  */
static bool
needs_to_join (const replica_t *replica)
{
  return replica->role == ROLE_BLANK
         || (replica->role == ROLE_FOLLOWER
             && !config_has_vote (replica, replica->options.slot,
                                  replica->incarnation));
}

void
join_tick (replica_t *replica)
{
  if (!needs_to_join (replica) || replica->now < replica->next_join_at)
    return;
  replica->next_join_at = replica->now + REPLICA_JOIN_INTERVAL;
  for (slot_t slot = 0; slot < replica->options.n_slots; slot++)
    {
      if (slot == replica->options.slot)
        continue;
      message_t message = message_to (replica, MESSAGE_JOIN, slot,
                                      replica->joining_incarnation[slot]);
      message.body.join.is_blank = replica->role == ROLE_BLANK;
      message_send_after_sync (replica, &message);
    }
}

static void
adopt_config (replica_t *replica, const replica_config_t *config)
{
  replica_snapshot_t snapshot = { .config = *config };
  log_compact (replica, &snapshot);
  replica->applied_config = *config;
  replica->role = ROLE_FOLLOWER;
  election_reset (replica);
}

static void
send_bootstrap (replica_t *replica, slot_t slot)
{
  message_t message = message_to (replica, MESSAGE_BOOTSTRAP, slot,
                                  replica->snapshot.config.incarnation[slot]);
  message.body.bootstrap = replica->snapshot.config;
  message_send_after_sync (replica, &message);
}

/* Slot 0 starts the cluster when every other slot has reported to the current
   incarnation of slot 0 that its data folder is empty.  No other slot can then
   be a member of a cluster that an earlier incarnation of slot 0 started.  */
static void
try_bootstrap (replica_t *replica)
{
  if (replica->options.slot != 0 || replica->role != ROLE_BLANK)
    return;
  replica_config_t config = { .n_slots = replica->options.n_slots };
  config.incarnation[0] = replica->incarnation;
  for (slot_t slot = 1; slot < config.n_slots; slot++)
    {
      if (!replica->has_reported_blank[slot])
        return;
      config.incarnation[slot] = replica->joining_incarnation[slot];
    }
  config.cluster = random_next (&replica->random) | 1;
  adopt_config (replica, &config);
  for (slot_t slot = 1; slot < config.n_slots; slot++)
    send_bootstrap (replica, slot);
}

/* A blank replica whose incarnation is in the configuration took part in the
   bootstrap and has never voted or acknowledged anything since, so it may
   start with an empty log under any later configuration.  */
static void
answer_blank_replica (replica_t *replica, const message_t *message)
{
  if (replica->snapshot.config.incarnation[message->from]
      == message->from_incarnation)
    send_bootstrap (replica, message->from);
}

void
join_on_join (replica_t *replica, const message_t *message)
{
  bool is_blank = message->body.join.is_blank
                  && message->to_incarnation == replica->incarnation;
  replica->joining_incarnation[message->from] = message->from_incarnation;
  replica->has_reported_blank[message->from] = is_blank;
  if (replica->role == ROLE_BLANK)
    {
      try_bootstrap (replica);
      return;
    }
  if (message->cluster != 0 && message->cluster != replica->config.cluster)
    return;
  if (message->body.join.is_blank)
    answer_blank_replica (replica, message);
  if (replica->role == ROLE_LEADER)
    leader_on_join (replica, message);
}

void
join_on_bootstrap (replica_t *replica, const message_t *message)
{
  const replica_config_t *config = &message->body.bootstrap;
  if (replica->role != ROLE_BLANK
      || config->n_slots != replica->options.n_slots
      || config->incarnation[replica->options.slot] != replica->incarnation)
    return;
  adopt_config (replica, config);
}
