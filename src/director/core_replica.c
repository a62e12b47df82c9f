#include "director/core_internal.h"

#include "base/clock.h"
#include "base/log.h"
#include "config_codec.h"

/* Heartbeats cross regions and are paid by the byte.  */
#define DIRECTOR_HEARTBEAT (100 * USEC_PER_MSEC)
#define DIRECTOR_ELECTION (600 * USEC_PER_MSEC)

/* Once this director has a slot.  */
void
core_replica_open (director_core_t *core)
{
  slot_t slot = roster_slot (&core->roster, core->self);
  if (slot == SLOT_NONE || core->replica)
    return;
  const replica_options_t options = { .slot = slot,
                                      .n_slots = (uint8_t)core->roster.n_slots,
                                      .heartbeat = DIRECTOR_HEARTBEAT,
                                      .election = DIRECTOR_ELECTION,
                                      .seed = core->options.seed };
  core->replica
      = replica_new (&options, core->options.image, clock_monotonic ());
  atomic_store (&core->slot, slot);
  LOG_EVENT (LOG_LEVEL_INFO, "replica_opened", LOG_U ("slot", slot),
             LOG_U ("slots", core->roster.n_slots));
}

/* Tell the port that answers callers.  */
static void
publish_config (director_core_t *core)
{
  const blob_t *text = core->state.config;
  err_t err = { 0 };
  if (!text)
    return;
  route_config_t *config
      = config_codec_read ((const char *)text->bytes, text->length, &err);
  if (config)
    lookup_view_put_config (core->options.lookups, config);
  else
    log_error (LOG_LEVEL_ERROR, "config_not_understood", &err);
}

static void
apply (director_core_t *core, const entry_t *entry)
{
  core->applied = entry->index;
  if (entry->kind == ENTRY_SWAP)
    LOG_EVENT (LOG_LEVEL_INFO, "replica_swapped",
               LOG_U ("slot", entry->body.swap.slot),
               LOG_U ("index", entry->index));
  if (entry->kind != ENTRY_COMMAND)
    return;
  uint64_t version = core->state.version;
  err_t err = { 0 };
  if (!director_state_apply (&core->state, entry->index, entry->body.command,
                             &err))
    log_error (LOG_LEVEL_ERROR, "command_not_understood", &err);
  LOG_EVENT (LOG_LEVEL_INFO, "command_applied", LOG_U ("index", entry->index),
             LOG_U ("version", core->state.version),
             LOG_U ("version_before", version),
             LOG_U ("evacuated", core->state.n_evacuated));
  if (core->state.version != version)
    publish_config (core);
  if (entry->proposal)
    core_orders_applied (core, entry->proposal);
}

static void
restore (director_core_t *core, const action_t *action)
{
  err_t err = { 0 };
  if (!director_state_restore (&core->state, action->body.restore.data, &err))
    {
      log_error (LOG_LEVEL_ERROR, "snapshot_not_understood", &err);
      return;
    }
  core->applied = action->body.restore.index;
  LOG_EVENT (LOG_LEVEL_INFO, "snapshot_restored",
             LOG_U ("index", core->applied),
             LOG_U ("version", core->state.version));
  publish_config (core);
}

/* Persist actions go out in order, so a waiting one holds back the rest.  */
void
core_replica_write (director_core_t *core)
{
  list_t *link;
  while ((link = list_pop_front (&core->records)))
    {
      action_t *action = LIST_ENTRY (link, action_t, link);
      if (!storage_thread_write (core->disk, &action->body.persist))
        {
          list_push_front (&core->records, link);
          return;
        }
      action_free (action);
    }
}

/* True where ACTION was kept.  */
static bool
perform (director_core_t *core, action_t *action)
{
  switch (action->kind)
    {
    case ACTION_SEND:
      core_peers_send (core, &action->body.send);
      break;
    case ACTION_PERSIST:
      list_push_back (&core->records, &action->link);
      core_replica_write (core);
      return true;
    case ACTION_APPLY:
      apply (core, action->body.apply);
      break;
    case ACTION_RESTORE:
      restore (core, action);
      break;
    case ACTION_TAKE_SNAPSHOT:
      core->snapshot_wanted = action->body.take_snapshot;
      break;
    case ACTION_REFUSE:
      core_orders_refused (core, action->body.refuse.id,
                           action->body.refuse.reason);
      break;
    }
  return false;
}

static void
save (director_core_t *core)
{
  event_t event = { .kind = EVENT_SNAPSHOT };
  event.body.snapshot.index = core->snapshot_wanted;
  event.body.snapshot.data = director_state_save (&core->state);
  core->snapshot_wanted = 0;
  core_step (core, &event);
  blob_unref (event.body.snapshot.data);
}

void
core_replica_perform (director_core_t *core, list_t *actions)
{
  list_t *link;
  while ((link = list_pop_front (actions)))
    {
      action_t *action = LIST_ENTRY (link, action_t, link);
      if (!perform (core, action))
        action_free (action);
    }
  if (core->snapshot_wanted > 0)
    save (core);
}
