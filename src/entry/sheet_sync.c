#include "entry/sheet_sync.h"

#include <pthread.h>
#include <stdlib.h>
#include <time.h>

#include "base/clock.h"
#include "base/log.h"
#include "shift/sheet.h"
#include "wire/pull_wire.h"

enum
{
  TICKS_PER_INTERVAL = 5,
};

struct sheet_sync
{
  sheet_sync_options_t options;
  pthread_t thread;
  bool is_running;
  pthread_cond_t stopped;
  pthread_mutex_t lock; /* guards what follows */
  bool stop;
  version_sync_t *version_sync;
};

/* One pull that is under way.  */
typedef struct pull
{
  sheet_sync_t *sync;
  vm_id_t vm;
  usec_t sent_at;
} pull_t;

static void
apply_sheet (sheet_sync_t *feed, uint64_t version)
{
  const text_t *text = version_sync_text (feed->version_sync);
  sheet_faults_t faults;
  err_t err = { 0 };
  sheet_t *sheet
      = sheet_parse (text->bytes, text->length,
                     &feed->options.settings->topology, &faults, &err);
  if (!sheet)
    log_error (LOG_LEVEL_ERROR, "sheet_not_understood", &err);
  else if (current_sheet_apply (feed->options.current_sheet, sheet))
    LOG_EVENT (LOG_LEVEL_INFO, "sheet_in_force", LOG_U ("number", version));
}

static void on_pulled (void *closure, const rpc_result_t *result);

static void
send_pull (sheet_sync_t *feed, const version_sync_pull_t *ask)
{
  const settings_t *settings = feed->options.settings;
  pull_t *pull = malloc (sizeof *pull);
  if (!pull)
    abort ();
  *pull
      = (pull_t){ .sync = feed, .vm = ask->vm, .sent_at = clock_monotonic () };
  pull_wire_send (feed->options.rpc, ask,
                  settings->topology.vms[ask->vm].address,
                  ask->is_control ? settings->ports.control_peer
                                  : settings->ports.entry_peer,
                  settings->limits.pull_interval, on_pulled, pull);
}

/* With the lock held.  */
static void
perform (sheet_sync_t *feed, list_t *actions)
{
  list_t *link;
  while ((link = list_pop_front (actions)))
    {
      version_sync_action_t *action
          = LIST_ENTRY (link, version_sync_action_t, link);
      switch (action->kind)
        {
        case VERSION_SYNC_ACTION_PULL:
          send_pull (feed, &action->body.pull);
          break;
        case VERSION_SYNC_ACTION_APPLY:
          apply_sheet (feed, action->body.apply_version);
          break;
        }
      version_sync_action_free (action);
    }
}

/* Runs on the RPC thread.  */
static void
on_pulled (void *closure, const rpc_result_t *result)
{
  pull_t *pull = closure;
  sheet_sync_t *feed = pull->sync;
  list_t actions;
  list_init (&actions);
  version_answer_t answer;
  pthread_mutex_lock (&feed->lock);
  if (pull_wire_answer (result, &answer))
    {
      version_sync_pull_answered (feed->version_sync, clock_monotonic (),
                                  pull->vm, pull->sent_at, &answer, &actions);
      version_answer_clear (&answer);
    }
  else
    version_sync_pull_failed (feed->version_sync, pull->vm);
  perform (feed, &actions);
  pthread_mutex_unlock (&feed->lock);
  free (pull);
}

/* Runs on the RPC thread.  */
static void
serve_pull (void *closure, rpc_call_t *call)
{
  sheet_sync_t *feed = closure;
  pull_asked_t asked;
  if (!pull_wire_asked (call, &asked))
    return;
  pthread_mutex_lock (&feed->lock);
  version_answer_t answer
      = version_sync_serve (feed->version_sync, clock_monotonic (),
                            asked.version, asked.reports, asked.n_reports);
  pthread_mutex_unlock (&feed->lock);
  pull_wire_reply (call, &answer);
}

static void *
sheet_sync_thread (void *closure)
{
  sheet_sync_t *feed = closure;
  usec_t step
      = feed->options.settings->limits.pull_interval / TICKS_PER_INTERVAL;
  pthread_mutex_lock (&feed->lock);
  while (!feed->stop)
    {
      list_t actions;
      list_init (&actions);
      version_sync_tick (feed->version_sync, clock_monotonic (), &actions);
      perform (feed, &actions);
      clock_wait (&feed->stopped, &feed->lock, step);
    }
  pthread_mutex_unlock (&feed->lock);
  return NULL;
}

sheet_sync_t *
sheet_sync_open (const sheet_sync_options_t *options)
{
  sheet_sync_t *feed = calloc (1, sizeof *feed);
  if (!feed)
    abort ();
  feed->options = *options;
  const version_sync_options_t spread
      = { .topology = &options->settings->topology,
          .self = options->vm,
          .pull_interval = options->settings->limits.pull_interval };
  feed->version_sync = version_sync_new (&spread, clock_monotonic ());
  pthread_mutex_init (&feed->lock, NULL);
  pthread_cond_init (&feed->stopped, NULL);
  pull_wire_register (options->rpc, serve_pull, feed);
  return feed;
}

bool
sheet_sync_start (sheet_sync_t *feed, err_t *err)
{
  feed->is_running
      = pthread_create (&feed->thread, NULL, sheet_sync_thread, feed) == 0;
  if (feed->is_running)
    return true;
  return err_set (err, ERR_IO, "raise the limit of threads",
                  "no thread for the version feed");
}

void
sheet_sync_stop (sheet_sync_t *feed)
{
  pthread_mutex_lock (&feed->lock);
  feed->stop = true;
  pthread_cond_signal (&feed->stopped);
  pthread_mutex_unlock (&feed->lock);
  if (feed->is_running)
    pthread_join (feed->thread, NULL);
}

void
sheet_sync_free (sheet_sync_t *feed)
{
  version_sync_free (feed->version_sync);
  pthread_mutex_destroy (&feed->lock);
  pthread_cond_destroy (&feed->stopped);
  free (feed);
}
