#include "director/core_internal.h"

#include <stdlib.h>

#include "base/clock.h"
#include "base/log.h"
#include "config_codec.h"
#include "director/roster_file.h"

/* Heartbeats cross regions, where traffic is paid by the byte.  */
#define DIRECTOR_HEARTBEAT_INTERVAL (100 * USEC_PER_MSEC)
#define DIRECTOR_ELECTION_TIMEOUT (400 * USEC_PER_MSEC)
/* Between regions, with one core tick.  */
#define DIRECTOR_ROUND_TRIP (110 * USEC_PER_MSEC)

bool
core_replica_open_disk (director_core_t *core, err_t *err)
{
  const char *folder = core->settings->data_folder;
  roster_t roster;
  core->opened_at = clock_monotonic ();
  if (!roster_file_load (folder, &roster, err))
    return false;
  if (roster.n_slots > 0)
    core->roster = roster;
  return replica_disk_open (&core->disk, folder, &core->stored_image, err);
}

void
core_replica_close_disk (director_core_t *core)
{
  if (core->replica)
    replica_free (core->replica);
  core->replica = NULL;
  replica_disk_close (&core->disk);
}

/* What this director knew of the leader and of its state's age holds no
   longer.  */
static void
forget_leader (director_core_t *core, replica_role_t role)
{
  core->leader_slot = SLOT_NONE;
  core->role = role;
  core->confirmed_at = 0;
  core->pending_confirm_index = 0;
  atomic_store (&core->is_leader, false);
}

void
core_replica_fail_disk (director_core_t *core, usec_t now)
{
  if (core->replica)
    {
      event_t event = { .kind = EVENT_DISK_FAILED };
      core_step_replica (core, &event);
      replica_free (core->replica);
      core->replica = NULL;
    }
  replica_disk_fail (&core->disk, core->settings->data_folder, now);
  forget_leader (core, ROLE_HALTED);
}

void
core_replica_change_slot (director_core_t *core, usec_t now)
{
  err_t err = { 0 };
  core_replica_close_disk (core);
  forget_leader (core, ROLE_BLANK);
  core->opened_at = now;
  core->applied_index = 0;
  if (replica_disk_open (&core->disk, core->settings->data_folder,
                         &core->stored_image, &err))
    core_replica_open (core);
  else
    log_error (LOG_LEVEL_WARNING, "disk_not_regained", &err);
}

void
core_replica_reopen_disk (director_core_t *core, usec_t now)
{
  if (!replica_disk_reopen (&core->disk, core->settings->data_folder,
                            &core->stored_image, now))
    return;
  core->opened_at = now;
  core->applied_index = 0;
  core_replica_open (core);
}

void
core_replica_open (director_core_t *core)
{
  slot_t slot = roster_slot (&core->roster, core->own_address);
  if (slot == SLOT_NONE || core->replica
      || !replica_disk_is_open (&core->disk))
    return;
  const replica_options_t options
      = { .slot = slot,
          .n_slots = (uint8_t)core->roster.n_slots,
          .heartbeat_interval = DIRECTOR_HEARTBEAT_INTERVAL,
          .election_timeout = DIRECTOR_ELECTION_TIMEOUT,
          .round_trip = DIRECTOR_ROUND_TRIP,
          .seed = core->options.seed + (uint64_t)clock_wall (),
          .must_rewrite_image = core->disk.has_failed,
          .reads_quorum = true };
  core->replica
      = replica_new (&options, &core->stored_image, clock_monotonic ());
  core->stored_index = replica_status (core->replica).last_index;
  atomic_store (&core->own_slot, slot);
  LOG_EVENT (LOG_LEVEL_INFO, "replica_opened", LOG_U ("slot", slot),
             LOG_U ("slots", core->roster.n_slots));
}

/* Publish the configuration in force: parsed for look-ups, packed for
   routers.  */
static void
publish_config (director_core_t *core)
{
  const blob_t *text = core->state.config;
  err_t err = { 0 };
  core->must_publish_config = false;
  free (core->packed_config.bytes);
  core->packed_config = (packed_t){ 0 };
  if (!text)
    return;
  core->packed_config = packed_compress (text->bytes, text->length);
  route_config_t *config
      = config_codec_read ((const char *)text->bytes, text->length, &err);
  LOG_EVENT (LOG_LEVEL_INFO, "config_published",
             LOG_U ("version", core->state.config_version),
             LOG_U ("bytes", text->length));
  if (!config)
    {
      log_error (LOG_LEVEL_ERROR, "config_not_understood", &err);
      return;
    }
  core_quotas_set_config (core, config);
  lookup_view_put_config (core->options.lookups, config);
}

/* Record which evacuations of BEFORE are no longer in force since the entry at
   INDEX; the configuration of BEFORE may be freed already.  Of an entry that
   was on disk when this process started, the start is the latest time
   possible.  */
static void
note_reopened (director_core_t *core, const director_state_t *before,
               log_index_t index)
{
  const director_state_t *state = &core->state;
  usec_t at
      = index <= core->stored_index ? core->opened_at : clock_monotonic ();
  reopened_domains_add_ended (&core->reopened, before->evacuated,
                              before->n_evacuated, state->evacuated,
                              state->n_evacuated, at);
}

static void
apply_entry (director_core_t *core, const entry_t *entry)
{
  core->applied_index = entry->index;
  if (entry->kind == ENTRY_VOTER_CHANGE)
    LOG_EVENT (LOG_LEVEL_INFO, "replica_swapped",
               LOG_U ("slot", entry->body.voter_change.slot),
               LOG_U ("index", entry->index));
  if (entry->kind != ENTRY_COMMAND)
    return;
  const director_state_t before = core->state;
  err_t err = { 0 };
  if (!director_state_apply (&core->state, entry->index, entry->body.command,
                             &err))
    log_error (LOG_LEVEL_ERROR, "command_not_understood", &err);
  note_reopened (core, &before, entry->index);
  LOG_EVENT (LOG_LEVEL_INFO, "command_applied", LOG_U ("index", entry->index),
             LOG_U ("version", core->state.config_version),
             LOG_U ("version_before", before.config_version),
             LOG_U ("evacuated", core->state.n_evacuated));
  if (core->state.config_version != before.config_version)
    core->must_publish_config = true;
  if (entry->proposal)
    core_operator_applied (core, entry->proposal);
}

static void
restore_snapshot (director_core_t *core, const action_t *action)
{
  const director_state_t before = core->state;
  err_t err = { 0 };
  if (!director_state_restore (&core->state, action->body.restore.data, &err))
    {
      log_error (LOG_LEVEL_ERROR, "snapshot_not_understood", &err);
      return;
    }
  core->applied_index = action->body.restore.index;
  note_reopened (core, &before, core->applied_index);
  LOG_EVENT (LOG_LEVEL_INFO, "snapshot_restored",
             LOG_U ("index", core->applied_index),
             LOG_U ("version", core->state.config_version));
  core->must_publish_config = true;
}

/* Carry out ACTION.  True where it was queued, so that it must not be freed
   yet.  */
static bool
perform_action (director_core_t *core, action_t *action)
{
  switch (action->kind)
    {
    case ACTION_SEND:
      core_peers_send (core, &action->body.send);
      break;
    case ACTION_PERSIST:
      replica_disk_write (&core->disk, action);
      return true;
    case ACTION_APPLY:
      apply_entry (core, action->body.apply);
      break;
    case ACTION_RESTORE:
      restore_snapshot (core, action);
      break;
    case ACTION_TAKE_SNAPSHOT:
      core->snapshot_due_index = action->body.take_snapshot;
      break;
    case ACTION_REFUSE:
      core_operator_refused (core, action->body.refuse.id,
                             action->body.refuse.reason);
      break;
    }
  return false;
}

/* Hand the snapshot that the replica has asked for to the replica.  */
static void
report_snapshot (director_core_t *core)
{
  event_t event = { .kind = EVENT_SNAPSHOT };
  event.body.snapshot.index = core->snapshot_due_index;
  event.body.snapshot.data = director_state_save (&core->state);
  core->snapshot_due_index = 0;
  core_step_replica (core, &event);
  blob_unref (event.body.snapshot.data);
}

void
core_replica_perform (director_core_t *core, list_t *actions)
{
  list_t *link;
  while ((link = list_pop_front (actions)))
    {
      action_t *action = LIST_ENTRY (link, action_t, link);
      if (!perform_action (core, action))
        action_free (action);
    }
  /* Once for all entries: after a restart the whole log is applied in one
     step, and a director that takes long for it loses its lease or delays the
     leader's.  */
  if (core->must_publish_config)
    publish_config (core);
  if (core->snapshot_due_index > 0)
    report_snapshot (core);
}
