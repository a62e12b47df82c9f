#include "agreement/replica_internal.h"

/* A swap that is not known to be committed may yet be overwritten.  */
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
  if (!needs_to_join (replica) || replica->now < replica->join_at)
    return;
  replica->join_at = replica->now + REPLICA_JOIN_INTERVAL;
  for (slot_t slot = 0; slot < replica->options.n_slots; slot++)
    {
      if (slot == replica->options.slot)
        continue;
      message_t message = message_to (replica, MESSAGE_JOIN, slot,
                                      replica->heard_incarnation[slot]);
      message.body.join.is_blank = replica->role == ROLE_BLANK;
      message_hold (replica, &message);
    }
}

static void
adopt (replica_t *replica, const replica_config_t *config)
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
  message_hold (replica, &message);
}

/* Slot 0 starts the cluster when every other slot has told this very
   incarnation of it that its folder is empty: none can then have taken part
   in a cluster that an earlier incarnation started.  */
static void
bootstrap_try (replica_t *replica)
{
  if (replica->options.slot != 0 || replica->role != ROLE_BLANK)
    return;
  replica_config_t config = { .n_slots = replica->options.n_slots };
  config.incarnation[0] = replica->incarnation;
  for (slot_t slot = 1; slot < config.n_slots; slot++)
    {
      if (!replica->is_blank[slot])
        return;
      config.incarnation[slot] = replica->heard_incarnation[slot];
    }
  config.cluster = random_next (&replica->random) | 1;
  adopt (replica, &config);
  for (slot_t slot = 1; slot < config.n_slots; slot++)
    send_bootstrap (replica, slot);
}

/* A blank replica that the configuration names was there at the start and
   has never voted or acknowledged anything, so it may begin with an empty
   log under any later configuration.  */
static void
answer_blank (replica_t *replica, const message_t *message)
{
  if (replica->snapshot.config.incarnation[message->from]
      == message->from_incarnation)
    send_bootstrap (replica, message->from);
}

void
join_message (replica_t *replica, const message_t *message)
{
  bool is_blank = message->body.join.is_blank
                  && message->to_incarnation == replica->incarnation;
  replica->heard_incarnation[message->from] = message->from_incarnation;
  replica->is_blank[message->from] = is_blank;
  if (replica->role == ROLE_BLANK)
    {
      bootstrap_try (replica);
      return;
    }
  if (message->cluster != 0 && message->cluster != replica->config.cluster)
    return;
  if (message->body.join.is_blank)
    answer_blank (replica, message);
  if (replica->role == ROLE_LEADER)
    leader_join (replica, message);
}

void
join_bootstrap (replica_t *replica, const message_t *message)
{
  const replica_config_t *config = &message->body.bootstrap;
  if (replica->role != ROLE_BLANK
      || config->n_slots != replica->options.n_slots
      || config->incarnation[replica->options.slot] != replica->incarnation)
    return;
  adopt (replica, config);
}
