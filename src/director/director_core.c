#include "director/core_internal.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "fleet/backend_list.h"

item_t *
core_item (item_kind_t kind)
{
  item_t *item = calloc (1, sizeof *item);
  if (!item)
    abort ();
  item->kind = kind;
  return item;
}

bool
core_post (director_core_t *core, item_t *item)
{
  pthread_mutex_lock (&core->lock);
  bool ok = !core->stops && core->n_items < MAILBOX_ITEMS;
  if (ok)
    {
      list_push_back (&core->mailbox, &item->link);
      core->n_items++;
      pthread_cond_signal (&core->changed);
    }
  pthread_mutex_unlock (&core->lock);
  return ok;
}

void
core_on_disk (void *closure)
{
  item_t *item = core_item (ITEM_WAKE);
  if (!core_post (closure, item))
    free (item);
}

static void
take_disk (director_core_t *core, usec_t now)
{
  if (!core->disk)
    {
      core_replica_regain_disk (core, now);
      return;
    }
  core_replica_write (core);
  if (storage_thread_failed (core->disk))
    {
      core_replica_lose_disk (core, now);
      return;
    }
  uint64_t synced = storage_thread_synced (core->disk);
  if (!core->replica || synced == core->synced)
    return;
  core->synced = synced;
  event_t event = { .kind = EVENT_SYNCED, .body.synced = synced };
  core_step (core, &event);
}

/* From now on silence counts: only a leader hears from all.  */
static void
begin_to_listen (director_core_t *core)
{
  usec_t now = clock_monotonic ();
  for (size_t i = 0; i < ROSTER_MAX; i++)
    core->peers[i].heard_at = now;
}

static void
note_role (director_core_t *core)
{
  replica_status_t status = replica_status (core->replica);
  if (status.role == core->role && status.leader == core->leader)
    return;
  if (status.role == ROLE_LEADER && core->role != ROLE_LEADER)
    begin_to_listen (core);
  core->role = status.role;
  core->leader = status.leader;
  LOG_EVENT (LOG_LEVEL_INFO, "replica_role",
             LOG_S ("role", replica_role_name (status.role)),
             LOG_U ("term", status.term), LOG_U ("leader", status.leader),
             LOG_U ("applied", status.applied_index));
}

void
core_step (director_core_t *core, const event_t *event)
{
  list_t actions;
  list_init (&actions);
  replica_step (core->replica, clock_monotonic (), event, &actions);
  core_replica_perform (core, &actions);
  note_role (core);
}

/* A message counts only from the director that holds the slot it speaks for:
   another one had the slot before, or does not have it yet.  */
static void
take_agree (director_core_t *core, uint32_t sender, const blob_t *bytes,
            usec_t now)
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
      core->peers[message.from].heard_at = now;
      event_t event = { .kind = EVENT_MESSAGE, .body.message = &message };
      core_step (core, &event);
    }
  message_clear (&message);
}

static void
item_free (item_t *item)
{
  switch (item->kind)
    {
    case ITEM_AGREE:
      blob_unref (item->body.agree.message);
      break;
    case ITEM_PULL:
      xdr_free ((xdrproc_t)xdr_fleet_pull_args_t, (char *)&item->body.pull);
      break;
    case ITEM_SHARE:
      xdr_free ((xdrproc_t)xdr_fleet_share_args_t, (char *)&item->body.share);
      break;
    case ITEM_ANNOUNCE:
      xdr_free ((xdrproc_t)xdr_fleet_announce_args_t,
                (char *)&item->body.announce);
      break;
    case ITEM_ROSTER:
      xdr_free ((xdrproc_t)xdr_fleet_announce_result_t,
                (char *)&item->body.roster);
      break;
    case ITEM_WAKE:
    case ITEM_SHARED:
    case ITEM_ORDER:
    case ITEM_LIST:
      break;
    }
  free (item);
}

static void
take_item (director_core_t *core, item_t *item, usec_t now)
{
  switch (item->kind)
    {
    case ITEM_WAKE:
      take_disk (core, now);
      break;
    case ITEM_AGREE:
      take_agree (core, item->body.agree.address, item->body.agree.message,
                  now);
      break;
    case ITEM_PULL:
      core_pulls_answer (core, item, now);
      break;
    case ITEM_SHARE:
      core_peers_share (core, item, now);
      break;
    case ITEM_ANNOUNCE:
      core_peers_announce (core, item, now);
      break;
    case ITEM_ROSTER:
      core_peers_roster (core, item);
      break;
    case ITEM_SHARED:
      {
        slot_t slot = roster_slot (&core->roster, item->body.shared.address);
        if (slot != SLOT_NONE)
          core->peers[slot].list_digest = item->body.shared.list_digest;
        break;
      }
    case ITEM_ORDER:
      core_orders_take (core, item->body.order);
      break;
    case ITEM_LIST:
      core_pulls_list (core, &item->body.list);
      break;
    }
  item_free (item);
}

static void
confirm (director_core_t *core, usec_t now)
{
  if (core->replica && replica_is_current (core->replica, now))
    {
      /* After a gap the others, and their routers, wait to hear it.  */
      if (now - core->confirmed_at > SHARE_INTERVAL)
        core->share_at = 0;
      core->confirmed_at = now;
    }
  else if (core->confirm_index > 0 && core->applied >= core->confirm_index
           && core->confirm_time > core->confirmed_at)
    core->confirmed_at = core->confirm_time;
}

static void
follow_settings (director_core_t *core)
{
  settings_feed_t *feed = core->options.feed;
  const fleet_settings_t *newer
      = settings_feed_acquire_newer (feed, core->settings);
  if (!newer)
    return;
  settings_feed_release (feed, core->settings);
  core->settings = newer;
  core->announce_at = 0; /* other seeds may know more */
}

static void
tick (director_core_t *core, usec_t now)
{
  follow_settings (core);
  take_disk (core, now);
  if (core->replica)
    {
      event_t event = { .kind = EVENT_TICK };
      core_step (core, &event);
      atomic_store (&core->is_leader, core->role == ROLE_LEADER);
    }
  confirm (core, now);
  core_peers_tick (core, now);
  core_orders_tick (core, now);
  core_pulls_routers (core, now);
}

/* The next item; NULL when a tick is due or the core stops.  */
static item_t *
next_item (director_core_t *core, usec_t tick_at)
{
  item_t *item = NULL;
  pthread_mutex_lock (&core->lock);
  usec_t now = clock_monotonic ();
  if (list_empty (&core->mailbox) && !core->stops && now < tick_at)
    clock_wait (&core->changed, &core->lock, tick_at - now);
  if (!list_empty (&core->mailbox))
    {
      item = LIST_ENTRY (list_pop_front (&core->mailbox), item_t, link);
      core->n_items--;
    }
  pthread_mutex_unlock (&core->lock);
  return item;
}

static void *
core_run (void *closure)
{
  director_core_t *core = closure;
  usec_t tick_at = clock_monotonic ();
  for (;;)
    {
      item_t *item = next_item (core, tick_at);
      usec_t now = clock_monotonic ();
      if (item)
        take_item (core, item, now);
      if (now >= tick_at)
        {
          tick (core, now);
          tick_at = now + CORE_TICK;
        }
      pthread_mutex_lock (&core->lock);
      bool ends = core->stops && list_empty (&core->mailbox);
      pthread_mutex_unlock (&core->lock);
      if (ends)
        break;
    }
  core_orders_tick (core, INT64_MAX);
  return NULL;
}

bool
director_core_order (director_core_t *core, director_order_t *order)
{
  item_t *item = core_item (ITEM_ORDER);
  item->body.order = order;
  if (core_post (core, item))
    return true;
  free (item);
  return false;
}

void
director_core_put_list (director_core_t *core, backend_list_t *list)
{
  item_t *item = core_item (ITEM_LIST);
  item->body.list = *list;
  atomic_store (&core->list_read_at, list->read_at);
  if (core_post (core, item))
    return;
  backend_list_clear (list);
  free (item);
}

static void
former_open (director_core_t *core)
{
  const fleet_settings_t *settings = core->settings;
  uint32_t seeds[FLEET_SEEDS_MAX];
  for (size_t i = 0; i < settings->n_seeds; i++)
    seeds[i] = settings->seeds[i].address;
  roster_former_init (&core->former, core->self, seeds, settings->n_seeds,
                      settings->first_start && core->roster.n_slots == 0,
                      clock_monotonic ());
}

director_core_t *
director_core_start (const director_core_options_t *options, err_t *err)
{
  director_core_t *core = calloc (1, sizeof *core);
  if (!core)
    abort ();
  core->options = *options;
  core->settings = settings_feed_acquire (options->feed);
  inet_parse_address (&core->self, core->settings->address);
  core->leader = SLOT_NONE;
  atomic_store (&core->slot, SLOT_NONE);
  list_init (&core->mailbox);
  list_init (&core->records);
  list_init (&core->orders);
  pthread_mutex_init (&core->lock, NULL);
  pthread_cond_init (&core->changed, NULL);
  if (!core_replica_open_disk (core, err))
    return NULL;
  former_open (core);
  core_replica_open (core);
  core_peers_register (core);
  if (pthread_create (&core->thread, NULL, core_run, core) == 0)
    return core;
  err_set (err, ERR_IO, "raise the limit of threads",
           "no thread for the director's core");
  return NULL;
}

void
director_core_stop (director_core_t *core)
{
  pthread_mutex_lock (&core->lock);
  core->stops = true;
  pthread_cond_signal (&core->changed);
  pthread_mutex_unlock (&core->lock);
  pthread_join (core->thread, NULL);
  core_replica_close_disk (core);
}

void
director_core_free (director_core_t *core)
{
  director_state_clear (&core->state);
  free (core->packed_config.bytes);
  free (core->packed_routers.bytes);
  list_source_clear (&core->list_source);
  backend_list_clear (&core->list);
  settings_feed_release (core->options.feed, core->settings);
  pthread_cond_destroy (&core->changed);
  pthread_mutex_destroy (&core->lock);
  free (core);
}
