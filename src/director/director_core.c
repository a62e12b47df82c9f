#include "director/core_internal.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "fleet/backend_list.h"

core_item_t *
core_item_new (core_item_kind_t kind)
{
  core_item_t *item = calloc (1, sizeof *item);
  if (!item)
    abort ();
  item->kind = kind;
  return item;
}

bool
core_mailbox_post (director_core_t *core, core_item_t *item)
{
  pthread_mutex_lock (&core->lock);
  bool ok = !core->is_stopping && core->n_mailbox_items < MAILBOX_ITEMS_MAX;
  if (ok)
    {
      list_push_back (&core->mailbox, &item->link);
      core->n_mailbox_items++;
      pthread_cond_signal (&core->mailbox_changed);
    }
  pthread_mutex_unlock (&core->lock);
  return ok;
}

void
core_on_storage_event (void *closure)
{
  core_item_t *item = core_item_new (ITEM_STORAGE_EVENT);
  if (!core_mailbox_post (closure, item))
    free (item);
}

static void
check_storage (director_core_t *core, usec_t now)
{
  core_replica_reopen_disk (core, now);
  switch (replica_disk_poll (&core->disk))
    {
    case REPLICA_DISK_UNCHANGED:
      return;
    case REPLICA_DISK_FAILED:
      core_replica_fail_disk (core, now);
      return;
    case REPLICA_DISK_SYNCED:
      break;
    }
  event_t event = { .kind = EVENT_SYNCED, .body.synced = core->disk.synced };
  if (core->replica)
    core_step_replica (core, &event);
}

/* Only the leader hears from all directors, so the silence of each is counted
   from the time at which this director became leader.  */
static void
reset_last_heard (director_core_t *core)
{
  usec_t now = clock_monotonic ();
  for (size_t i = 0; i < ROSTER_MAX; i++)
    core->peers[i].last_heard_at = now;
}

static void
update_role (director_core_t *core)
{
  replica_status_t status = replica_status (core->replica);
  if (status.role == core->role && status.leader == core->leader_slot)
    return;
  if (status.role == ROLE_LEADER && core->role != ROLE_LEADER)
    reset_last_heard (core);
  core->role = status.role;
  core->leader_slot = status.leader;
  LOG_EVENT (LOG_LEVEL_INFO, "replica_role",
             LOG_S ("role", replica_role_name (status.role)),
             LOG_U ("term", status.term), LOG_U ("leader", status.leader),
             LOG_U ("applied", status.applied_index));
}

void
core_step_replica (director_core_t *core, const event_t *event)
{
  list_t actions;
  list_init (&actions);
  replica_step (core->replica, clock_monotonic (), event, &actions);
  core_replica_perform (core, &actions);
  update_role (core);
}

/* Pass a message to the replica.  Messages whose sender does not hold the slot
   that they claim are ignored: the sender has lost the slot to another
   director, or this director's roster does not show the sender there yet.  */
static void
handle_replica_message (director_core_t *core, uint32_t sender,
                        const blob_t *bytes, usec_t now)
{
  message_t message;
  err_t err = { 0 };
  if (!core->replica)
    return;
  if (!message_decode (&message, bytes->bytes, bytes->length, &err))
    {
      log_error (LOG_LEVEL_WARNING, "message_refused", &err);
      return;
    }
  if (roster_slot (&core->roster, sender) == message.from)
    {
      core->peers[message.from].last_heard_at = now;
      event_t event = { .kind = EVENT_MESSAGE, .body.message = &message };
      core_step_replica (core, &event);
    }
  message_clear (&message);
}

static void
core_item_free (core_item_t *item)
{
  switch (item->kind)
    {
    case ITEM_REPLICA_MESSAGE:
      blob_unref (item->body.replica_message.encoded);
      break;
    case ITEM_PULL:
      xdr_free ((xdrproc_t)message_xdr_pull, (char *)&item->body.pull);
      break;
    case ITEM_SHARE:
      xdr_free ((xdrproc_t)message_xdr_share, (char *)&item->body.share);
      break;
    case ITEM_ANNOUNCE:
      xdr_free ((xdrproc_t)xdr_fleet_announce_args_t,
                (char *)&item->body.announce);
      break;
    case ITEM_ANNOUNCE_REPLY:
      xdr_free ((xdrproc_t)xdr_fleet_announce_result_t,
                (char *)&item->body.announce_reply);
      break;
    case ITEM_STORAGE_EVENT:
    case ITEM_SHARE_REPLY:
    case ITEM_OPERATOR_REQUEST:
    case ITEM_BACKEND_LIST:
      break;
    }
  free (item);
}

void
core_item_handle (director_core_t *core, core_item_t *item, usec_t now)
{
  switch (item->kind)
    {
    case ITEM_STORAGE_EVENT:
      check_storage (core, now);
      break;
    case ITEM_REPLICA_MESSAGE:
      handle_replica_message (core, item->body.replica_message.sender_address,
                              item->body.replica_message.encoded, now);
      break;
    case ITEM_PULL:
      core_pulls_answer (core, item, now);
      break;
    case ITEM_SHARE:
      core_peers_handle_share (core, item, now);
      break;
    case ITEM_ANNOUNCE:
      core_roster_handle_announce (core, item, now);
      break;
    case ITEM_ANNOUNCE_REPLY:
      core_roster_handle_announce_reply (core, item);
      break;
    case ITEM_SHARE_REPLY:
      {
        slot_t slot
            = roster_slot (&core->roster, item->body.share_reply.address);
        if (slot == SLOT_NONE)
          break;
        core->peers[slot].list_digest = item->body.share_reply.list_digest;
        core_peers_note_form (core, slot, item->body.share_reply.form);
        core_colds_shared (core, slot, item->body.share_reply.incarnation,
                           item->body.share_reply.colds_sent);
        core_crashes_shared (core, slot, item->body.share_reply.incarnation,
                             item->body.share_reply.crashes_sequence);
        break;
      }
    case ITEM_OPERATOR_REQUEST:
      core_operator_submit (core, item->body.operator_request);
      break;
    case ITEM_BACKEND_LIST:
      backend_list_mark_cold (&item->body.backend_list, &core->backend_list);
      core_pulls_replace_list (core, &item->body.backend_list);
      break;
    }
  core_item_free (item);
}

/* The state is current as of AT, as SOURCE has shown.  */
static void
confirm (director_core_t *core, usec_t at, const char *source)
{
  if (core->confirmed_at == 0)
    LOG_EVENT (LOG_LEVEL_INFO, "state_confirmed", LOG_S ("source", source),
               LOG_I ("after_ms",
                      (clock_monotonic () - core->opened_at) / USEC_PER_MSEC),
               LOG_U ("version", core->state.config_version),
               LOG_U ("index", core->applied_index));
  core->confirmed_at = at;
}

/* Update confirmed_at from this replica's lease, or else from what the leader
   has last shared or a majority has shown.  */
static void
update_confirmed (director_core_t *core, usec_t now)
{
  usec_t read_at = core->replica ? replica_quorum_read_at (core->replica) : 0;
  if (core->replica && replica_is_current (core->replica, now))
    {
      /* After a gap between confirmations the other directors and their
         routers are waiting for one: share at once.  */
      if (now - core->confirmed_at > SHARE_INTERVAL)
        core->next_share_at = 0;
      confirm (core, now, "lease");
    }
  else if (core->pending_confirm_index > 0
           && core->applied_index >= core->pending_confirm_index
           && core->pending_confirm_at > core->confirmed_at)
    confirm (core, core->pending_confirm_at, "leader");
  else if (read_at > core->confirmed_at)
    confirm (core, read_at, "majority");
}

static void
update_settings (director_core_t *core)
{
  settings_feed_t *feed = core->options.feed;
  const fleet_settings_t *newer
      = settings_feed_acquire_newer (feed, core->settings);
  if (!newer)
    return;
  settings_feed_release (feed, core->settings);
  core->settings = newer;
  core->next_announce_at = 0; /* new seeds may know the roster */
}

static void
tick (director_core_t *core, usec_t now)
{
  update_settings (core);
  check_storage (core, now);
  if (core->replica)
    {
      event_t event = { .kind = EVENT_TICK };
      core_step_replica (core, &event);
      atomic_store (&core->is_leader, core->role == ROLE_LEADER);
    }
  update_confirmed (core, now);
  core_peers_tick (core, now);
  core_operator_tick (core, now);
  core_pulls_update_routers (core, now);
  core_crashes_tick (core, now);
}

/* Wait for the next item; NULL when a tick is due or the core is stopping.  */
static core_item_t *
next_item (director_core_t *core, usec_t next_tick_at)
{
  core_item_t *item = NULL;
  pthread_mutex_lock (&core->lock);
  usec_t now = clock_monotonic ();
  if (list_empty (&core->mailbox) && !core->is_stopping && now < next_tick_at)
    clock_wait (&core->mailbox_changed, &core->lock, next_tick_at - now);
  if (!list_empty (&core->mailbox))
    {
      item = LIST_ENTRY (list_pop_front (&core->mailbox), core_item_t, link);
      core->n_mailbox_items--;
    }
  pthread_mutex_unlock (&core->lock);
  return item;
}

static void *
core_run (void *closure)
{
  director_core_t *core = closure;
  usec_t next_tick_at = clock_monotonic ();
  for (;;)
    {
      core_item_t *item = next_item (core, next_tick_at);
      usec_t now = clock_monotonic ();
      core_colds_note_run (core, now);
      if (item)
        core_item_handle (core, item, now);
      if (now >= next_tick_at)
        {
          tick (core, now);
          next_tick_at = now + CORE_TICK_INTERVAL;
        }
      pthread_mutex_lock (&core->lock);
      bool is_done = core->is_stopping && list_empty (&core->mailbox);
      pthread_mutex_unlock (&core->lock);
      if (is_done)
        break;
    }
  core_operator_tick (core, INT64_MAX);
  return NULL;
}

bool
director_core_submit (director_core_t *core, operator_request_t *request)
{
  core_item_t *item = core_item_new (ITEM_OPERATOR_REQUEST);
  item->body.operator_request = request;
  if (core_mailbox_post (core, item))
    return true;
  free (item);
  return false;
}

void
director_core_put_list (director_core_t *core, backend_list_t *list)
{
  core_item_t *item = core_item_new (ITEM_BACKEND_LIST);
  item->body.backend_list = *list;
  atomic_store (&core->list_read_at, list->read_at);
  if (core_mailbox_post (core, item))
    return;
  backend_list_clear (list);
  free (item);
}

static void
init_bootstrap (director_core_t *core)
{
  const fleet_settings_t *settings = core->settings;
  uint32_t seeds[FLEET_SEEDS_MAX];
  for (size_t i = 0; i < settings->n_seeds; i++)
    seeds[i] = settings->seeds[i].address;
  roster_bootstrap_init (
      &core->bootstrap, core->own_address, seeds, settings->n_seeds,
      settings->first_start && core->roster.n_slots == 0, clock_monotonic ());
}

director_core_t *
director_core_start (const director_core_options_t *options, err_t *err)
{
  director_core_t *core = calloc (1, sizeof *core);
  if (!core)
    abort ();
  err_t failure = { 0 };
  core->options = *options;
  core->settings = settings_feed_acquire (options->feed);
  inet_parse_address (&core->own_address, core->settings->address);
  core->leader_slot = SLOT_NONE;
  core->leader_known_at = clock_monotonic ();
  atomic_store (&core->own_slot, SLOT_NONE);
  list_init (&core->mailbox);
  replica_disk_init (&core->disk, core_on_storage_event, core);
  list_init (&core->operator_requests);
  pthread_mutex_init (&core->lock, NULL);
  pthread_cond_init (&core->mailbox_changed, NULL);
  if (!core_replica_open_disk (core, &failure))
    {
      if (failure.kind != ERR_NO_SPACE)
        {
          *err = failure;
          return NULL;
        }
      log_error (LOG_LEVEL_ERROR, "storage_failed", &failure);
      core_replica_fail_disk (core, clock_monotonic ());
    }
  core->roster_saver = roster_saver_start (err);
  if (!core->roster_saver)
    return NULL;
  init_bootstrap (core);
  core_replica_open (core);
  core_peers_register (core);
  if (pthread_create (&core->thread, NULL, core_run, core) == 0)
    return core;
  err_set (err, ERR_IO, "raise the limit on threads",
           "cannot create the director's core thread");
  return NULL;
}

void
director_core_stop (director_core_t *core)
{
  pthread_mutex_lock (&core->lock);
  core->is_stopping = true;
  pthread_cond_signal (&core->mailbox_changed);
  pthread_mutex_unlock (&core->lock);
  pthread_join (core->thread, NULL);
  roster_saver_stop (core->roster_saver);
  core_replica_close_disk (core);
}

void
director_core_free (director_core_t *core)
{
  director_state_clear (&core->state);
  free (core->packed_config.bytes);
  free (core->packed_routers.bytes);
  list_source_clear (&core->list_source);
  backend_list_clear (&core->backend_list);
  book_clear (&core->quotas);
  load_table_clear (&core->loads);
  cold_table_clear (&core->colds);
  settings_feed_release (core->options.feed, core->settings);
  pthread_cond_destroy (&core->mailbox_changed);
  pthread_mutex_destroy (&core->lock);
  free (core);
}
