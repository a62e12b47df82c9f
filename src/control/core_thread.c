#include "control/core_internal.h"

#include <stdlib.h>
#include <time.h>

#include "base/clock.h"
#include "base/log.h"

enum
{
  RING_ITEMS = 1024,
  TICK_NSEC = 20 * 1000 * 1000, /* interval of the timer */
};

#define PEER_SUBMIT_TIMEOUT USEC_PER_SEC

static void
core_wake (void *closure)
{
  core_thread_t *core = closure;
  if (!atomic_exchange (&core->is_wake_queued, true)
      && !ring_push (core->ring, &core->wake))
    atomic_store (&core->is_wake_queued, false);
}

bool
core_push (core_thread_t *core, const core_item_t *item)
{
  core_item_t *copy = malloc (sizeof *copy);
  if (!copy)
    abort ();
  *copy = *item;
  pthread_mutex_lock (&core->lock);
  bool ok = !atomic_load (&core->is_stopping) && ring_push (core->ring, copy);
  pthread_mutex_unlock (&core->lock);
  if (!ok)
    free (copy);
  return ok;
}

/* --- The core thread ---------------------------------------------------- */

static replica_t *
replica_open (const core_thread_t *core, replica_image_t *image)
{
  const replica_options_t options
      = { .slot = peer_link_slot (core->links, core->options.vm),
          .n_slots = peer_link_count (core->links),
          .seed = core->options.seed + (uint64_t)clock_wall (),
          .must_rewrite_image = core->disk.has_failed };
  return replica_new (&options, image, clock_monotonic ());
}

/* The new replica applies its log from the snapshot on, and the states are
   those of an empty log: a grant must not be applied twice.  What entry VMs
   are given (options.accepted) never goes back.  */
static void
reopen_disk (core_thread_t *core)
{
  replica_image_t image;
  if (!replica_disk_reopen (&core->disk, core->options.data_folder, &image,
                            clock_monotonic ()))
    return;
  replica_free (core->replica);
  sheet_registry_free (core->registry);
  spend_book_free (core->book);
  core->registry = sheet_registry_new ();
  core->book = spend_book_new ();
  core->replica = replica_open (core, &image);
}

static void
fail_disk (core_thread_t *core)
{
  event_t event = { .kind = EVENT_DISK_FAILED };
  core_step (core, &event);
  replica_disk_fail (&core->disk, core->options.data_folder,
                     clock_monotonic ());
}

static void
check_storage (core_thread_t *core)
{
  reopen_disk (core);
  switch (replica_disk_poll (&core->disk))
    {
    case REPLICA_DISK_UNCHANGED:
      return;
    case REPLICA_DISK_FAILED:
      fail_disk (core);
      return;
    case REPLICA_DISK_SYNCED:
      break;
    }
  event_t event = { .kind = EVENT_SYNCED, .body.synced = core->disk.synced };
  core_step (core, &event);
}

static void
handle_wake (core_thread_t *core)
{
  atomic_store (&core->is_wake_queued, false);
  check_storage (core);
  event_t event = { .kind = EVENT_TICK };
  core_step (core, &event);
  usec_t now = clock_monotonic ();
  if (replica_is_current (core->replica, now))
    accepted_sheet_confirm (core->options.accepted, now);
  core_submissions_tick (core, now);
  core_spend_tick (core, now);
}

static void
handle_message (core_thread_t *core, blob_t *bytes)
{
  message_t message;
  err_t err = { 0 };
  if (message_decode (&message, bytes->bytes, bytes->length, &err))
    {
      event_t event = { .kind = EVENT_MESSAGE, .body.message = &message };
      core_step (core, &event);
      message_clear (&message);
    }
  else
    log_error (LOG_LEVEL_WARNING, "message_refused", &err);
  blob_unref (bytes);
}

static void
handle_item (core_thread_t *core, core_item_t *item)
{
  switch (item->kind)
    {
    case CORE_ITEM_WAKE:
      handle_wake (core);
      return;
    case CORE_ITEM_MESSAGE:
      handle_message (core, item->body.message);
      break;
    case CORE_ITEM_SUBMISSION:
      core_submission_start (core, item->body.submission);
      break;
    case CORE_ITEM_FORWARDED:
      core_submission_forwarded (core, item);
      break;
    case CORE_ITEM_SPEND:
      core_spend_start (core, item->body.spend);
      break;
    }
  free (item);
}

static void
status_update (core_thread_t *core)
{
  replica_status_t status = replica_status (core->replica);
  pthread_mutex_lock (&core->lock);
  bool changed
      = status.role != core->status.role || status.term != core->status.term;
  core->status = status;
  pthread_mutex_unlock (&core->lock);
  if (changed)
    LOG_EVENT (LOG_LEVEL_INFO, "replica_role",
               LOG_S ("role", replica_role_name (status.role)),
               LOG_U ("term", status.term),
               LOG_U ("incarnation", status.incarnation));
}

void
core_thread_set_page (core_thread_t *core, metrics_page_t *page)
{
  atomic_store (&core->page, page);
}

/* A disk that was opened anew is in order once it has taken a record.  */
static bool
is_halted (const core_thread_t *core)
{
  return replica_status (core->replica).role == ROLE_HALTED
         || (core->disk.has_failed && core->disk.synced == 0);
}

static void
report_halt (core_thread_t *core)
{
  metrics_page_t *page = atomic_load (&core->page);
  bool has_halted = is_halted (core);
  if (!page || core->has_reported_halt == has_halted)
    return;
  metrics_page_set_health (page, has_halted
                                     ? "the data folder has failed: mend the "
                                       "disk or free space; it is opened "
                                       "anew every second"
                                     : NULL);
  core->has_reported_halt = has_halted;
}

static void *
core_run (void *closure)
{
  core_thread_t *core = closure;
  while (!atomic_load (&core->is_stopping))
    {
      core_item_t *item = ring_wait (core->ring);
      if (!item)
        break;
      handle_item (core, item);
      status_update (core);
      report_halt (core);
    }
  LIST_FOREACH (link, &core->submissions)
  core_submission_finish (core, LIST_ENTRY (link, submission_t, link),
                          SUBMISSION_UNKNOWN, NULL);
  core_spend_tick (core, INT64_MAX);
  return NULL;
}

static void *
timer_run (void *closure)
{
  core_thread_t *core = closure;
  const struct timespec interval = { .tv_nsec = TICK_NSEC };
  while (!atomic_load (&core->is_stopping))
    {
      nanosleep (&interval, NULL);
      core_wake (core);
    }
  return NULL;
}

/* Runs on the RPC thread.  */
static void
on_message (void *closure, blob_t *message)
{
  core_item_t item = { .kind = CORE_ITEM_MESSAGE, .body.message = message };
  if (!core_push (closure, &item))
    blob_unref (message);
}

/* Runs on the RPC thread.  */
static void
on_submit (void *closure, rpc_call_t *call)
{
  core_thread_t *core = closure;
  submission_t *submission
      = submission_new_peer (call, clock_monotonic () + PEER_SUBMIT_TIMEOUT);
  if (submission && !core_thread_submit (core, submission))
    submission_complete (submission, SUBMISSION_REFUSED, NULL);
}

bool
core_thread_submit (core_thread_t *core, submission_t *submission)
{
  core_item_t item
      = { .kind = CORE_ITEM_SUBMISSION, .body.submission = submission };
  return core_push (core, &item);
}

replica_status_t
core_thread_status (core_thread_t *core)
{
  pthread_mutex_lock (&core->lock);
  replica_status_t status = core->status;
  pthread_mutex_unlock (&core->lock);
  return status;
}

vm_id_t
core_thread_slot_vm (const core_thread_t *core, slot_t slot)
{
  return peer_link_vm (core->links, slot);
}

core_thread_t *
core_thread_start (const core_thread_options_t *options, err_t *err)
{
  core_thread_t *core = calloc (1, sizeof *core);
  if (!core)
    abort ();
  core->options = *options;
  core->ring = ring_new (RING_ITEMS);
  core->wake.kind = CORE_ITEM_WAKE;
  list_init (&core->submissions);
  list_init (&core->spend_calls);
  replica_disk_init (&core->disk, core_wake, core);
  pthread_mutex_init (&core->lock, NULL);
  replica_image_t image;
  err_t failure = { 0 };
  bool is_open = replica_disk_open (&core->disk, options->data_folder, &image,
                                    &failure);
  if (!is_open && failure.kind != ERR_NO_SPACE)
    {
      *err = failure;
      return NULL;
    }
  if (!is_open)
    log_error (LOG_LEVEL_ERROR, "storage_failed", &failure);
  const peer_link_options_t link_options = { .settings = options->settings,
                                             .rpc = options->rpc,
                                             .receive = on_message,
                                             .submit = on_submit,
                                             .closure = core };
  core->links = peer_link_new (&link_options);
  core->replica = replica_open (core, &image);
  core->registry = sheet_registry_new ();
  core->book = spend_book_new ();
  core_spend_register (core);
  if (!is_open)
    fail_disk (core);
  if (pthread_create (&core->thread, NULL, core_run, core) == 0
      && pthread_create (&core->timer, NULL, timer_run, core) == 0)
    return core;
  err_set (err, ERR_IO, "raise the limit on the number of threads",
           "can't start the threads of the replicated log");
  return NULL;
}

static void
item_free (core_item_t *item)
{
  if (item->kind == CORE_ITEM_WAKE)
    return;
  if (item->kind == CORE_ITEM_MESSAGE)
    blob_unref (item->body.message);
  if (item->kind == CORE_ITEM_SUBMISSION)
    submission_complete (item->body.submission, SUBMISSION_UNKNOWN, NULL);
  if (item->kind == CORE_ITEM_SPEND)
    core_spend_refuse (item->body.spend);
  free (item);
}

void
core_thread_stop (core_thread_t *core)
{
  pthread_mutex_lock (&core->lock);
  atomic_store (&core->is_stopping, true);
  pthread_mutex_unlock (&core->lock);
  core_wake (core);
  pthread_join (core->thread, NULL);
  pthread_join (core->timer, NULL);
  replica_disk_close (&core->disk);
  core_item_t *item;
  while ((item = ring_pop (core->ring)))
    item_free (item);
}

void
core_thread_free (core_thread_t *core)
{
  replica_free (core->replica);
  sheet_registry_free (core->registry);
  spend_book_free (core->book);
  peer_link_free (core->links);
  ring_free (core->ring);
  pthread_mutex_destroy (&core->lock);
  free (core);
}
