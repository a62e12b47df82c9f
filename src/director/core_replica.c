#include "director/core_internal.h"

#include <stdlib.h>

#include "base/clock.h"
#include "base/log.h"
#include "config_codec.h"
#include "director/roster_file.h"

/* Heartbeats cross regions and are paid by the byte.  */
#define DIRECTOR_HEARTBEAT (100 * USEC_PER_MSEC)
#define DIRECTOR_ELECTION (400 * USEC_PER_MSEC)
/* Two round trips between regions, and a tick.  */
#define DIRECTOR_STAGGER (110 * USEC_PER_MSEC)

bool
core_replica_open_disk (director_core_t *core, err_t *err)
{
  const char *folder = core->settings->data_folder;
  roster_t roster;
  if (!roster_file_load (folder, &roster, err))
    return false;
  core->storage = storage_open (folder, &core->image, err);
  if (!core->storage)
    return false;
  const storage_thread_options_t options
      = { .storage = core->storage, .wake = core_on_disk, .closure = core };
  core->disk = storage_thread_start (&options, err);
  if (!core->disk)
    return false;
  if (roster.n_slots > 0)
    core->roster = roster;
  core->synced = 0;
  return true;
}

void
core_replica_close_disk (director_core_t *core)
{
  list_t *link;
  while ((link = list_pop_front (&core->records)))
    action_free (LIST_ENTRY (link, action_t, link));
  if (core->replica)
    replica_free (core->replica);
  core->replica = NULL;
  if (core->disk)
    storage_thread_stop (core->disk);
  core->disk = NULL;
  if (core->storage)
    storage_close (core->storage);
  core->storage = NULL;
}

void
core_replica_lose_disk (director_core_t *core, usec_t now)
{
  LOG_EVENT (LOG_LEVEL_ERROR, "disk_lost",
             LOG_S ("folder", core->settings->data_folder),
             LOG_S ("remedy", "give the data folder space, or another disk"));
  if (core->replica)
    {
      event_t event = { .kind = EVENT_DISK_FAILED };
      core_step (core, &event);
    }
  core_replica_close_disk (core);
  core->leader = SLOT_NONE;
  core->role = ROLE_HALTED;
  core->confirmed_at = 0;
  core->confirm_index = 0;
  core->reopen_at = now + REOPEN_INTERVAL;
  core->has_lost_disk = true;
  atomic_store (&core->is_leader, false);
}

/* What the disk holds is what this replica has promised, so it goes on from
   there as after a restart.  */
void
core_replica_regain_disk (director_core_t *core, usec_t now)
{
  err_t err = { 0 };
  if (now < core->reopen_at)
    return;
  core->reopen_at = now + REOPEN_INTERVAL;
  if (!core_replica_open_disk (core, &err))
    {
      log_error (LOG_LEVEL_WARNING, "disk_not_regained", &err);
      core_replica_close_disk (core);
      return;
    }
  LOG_EVENT (LOG_LEVEL_INFO, "disk_regained",
             LOG_S ("folder", core->settings->data_folder));
  core->applied = 0;
  core_replica_open (core);
}

/* Once this director has a slot.  */
void
core_replica_open (director_core_t *core)
{
  slot_t slot = roster_slot (&core->roster, core->self);
  if (slot == SLOT_NONE || core->replica || !core->disk)
    return;
  const replica_options_t options
      = { .slot = slot,
          .n_slots = (uint8_t)core->roster.n_slots,
          .heartbeat_interval = DIRECTOR_HEARTBEAT,
          .election_timeout = DIRECTOR_ELECTION,
          .seed = core->options.seed + (uint64_t)clock_wall (),
          .must_rewrite_image = core->has_lost_disk };
  core->replica = replica_new (&options, &core->image, clock_monotonic ());
  atomic_store (&core->slot, slot);
  LOG_EVENT (LOG_LEVEL_INFO, "replica_opened", LOG_U ("slot", slot),
             LOG_U ("slots", core->roster.n_slots));
}

/* Tell the port that answers callers, and pack it for routers.  */
static void
publish_config (director_core_t *core)
{
  const blob_t *text = core->state.config;
  err_t err = { 0 };
  free (core->packed_config.bytes);
  core->packed_config = (packed_t){ 0 };
  if (!text)
    return;
  core->packed_config = packed_write (text->bytes, text->length);
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
  if (entry->kind == ENTRY_VOTER_CHANGE)
    LOG_EVENT (LOG_LEVEL_INFO, "replica_swapped",
               LOG_U ("slot", entry->body.voter_change.slot),
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

void
core_replica_write (director_core_t *core)
{
  if (core->disk)
    storage_thread_write_all (core->disk, &core->records);
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
