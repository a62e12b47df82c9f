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

/* One pull in progress.  */
typedef struct pull
{
  sheet_sync_t *sync;
  vm_id_t vm;
  usec_t sent_at;
} pull_t;

static void
apply_sheet (sheet_sync_t *sync, uint64_t version)
{
  const text_t *text = version_sync_text (sync->version_sync);
  sheet_faults_t faults;
  err_t err = { 0 };
  sheet_t *sheet
      = sheet_parse (text->bytes, text->length,
                     &sync->options.settings->topology, &faults, &err);
  if (!sheet)
    log_error (LOG_LEVEL_ERROR, "sheet_not_understood", &err);
  else if (current_sheet_apply (sync->options.current_sheet, sheet))
    LOG_EVENT (LOG_LEVEL_INFO, "sheet_in_force", LOG_U ("number", version));
}

static void on_pulled (void *closure, const rpc_result_t *result);

static void
send_pull (sheet_sync_t *sync, const version_sync_pull_t *request)
{
  const settings_t *settings = sync->options.settings;
  pull_t *pull = malloc (sizeof *pull);
  if (!pull)
    abort ();
  *pull = (pull_t){ .sync = sync,
                    .vm = request->vm,
                    .sent_at = clock_monotonic () };
  pull_wire_send (sync->options.rpc, request,
                  settings->topology.vms[request->vm].address,
                  request->is_control ? settings->ports.control_peer
                                      : settings->ports.entry_peer,
                  settings->limits.pull_interval, on_pulled, pull);
}

/* With the lock held.  */
static void
perform_actions (sheet_sync_t *sync, list_t *actions)
{
  list_t *link;
  while ((link = list_pop_front (actions)))
    {
      version_sync_action_t *action
          = LIST_ENTRY (link, version_sync_action_t, link);
      switch (action->kind)
        {
        case VERSION_SYNC_ACTION_PULL:
          send_pull (sync, &action->body.pull);
          break;
        case VERSION_SYNC_ACTION_APPLY:
          apply_sheet (sync, action->body.apply_version);
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
  sheet_sync_t *sync = pull->sync;
  list_t actions;
  list_init (&actions);
  version_answer_t answer;
  pthread_mutex_lock (&sync->lock);
  if (pull_wire_decode_result (result, &answer))
    {
      version_sync_pull_answered (sync->version_sync, clock_monotonic (),
                                  pull->vm, pull->sent_at, &answer, &actions);
      version_answer_clear (&answer);
    }
  else
    version_sync_pull_failed (sync->version_sync, pull->vm);
  perform_actions (sync, &actions);
  pthread_mutex_unlock (&sync->lock);
  free (pull);
}

/* Runs on the RPC thread.  */
static void
serve_pull (void *closure, rpc_call_t *call)
{
  sheet_sync_t *sync = closure;
  pull_request_t asked;
  if (!pull_wire_decode_args (call, &asked))
    return;
  pthread_mutex_lock (&sync->lock);
  version_answer_t answer
      = version_sync_serve (sync->version_sync, clock_monotonic (),
                            asked.version, asked.reports, asked.n_reports);
  pthread_mutex_unlock (&sync->lock);
  pull_wire_reply (call, &answer);
}

static void *
sheet_sync_thread (void *closure)
{
  sheet_sync_t *sync = closure;
  usec_t tick_interval
      = sync->options.settings->limits.pull_interval / TICKS_PER_INTERVAL;
  pthread_mutex_lock (&sync->lock);
  while (!sync->stop)
    {
      list_t actions;
      list_init (&actions);
      version_sync_tick (sync->version_sync, clock_monotonic (), &actions);
      perform_actions (sync, &actions);
      clock_wait (&sync->stopped, &sync->lock, tick_interval);
    }
  pthread_mutex_unlock (&sync->lock);
  return NULL;
}

sheet_sync_t *
sheet_sync_open (const sheet_sync_options_t *options)
{
  sheet_sync_t *sync = calloc (1, sizeof *sync);
  if (!sync)
    abort ();
  sync->options = *options;
  const version_sync_options_t sync_options
      = { .topology = &options->settings->topology,
          .self = options->vm,
          .pull_interval = options->settings->limits.pull_interval };
  sync->version_sync = version_sync_new (&sync_options, clock_monotonic ());
  pthread_mutex_init (&sync->lock, NULL);
  pthread_cond_init (&sync->stopped, NULL);
  pull_wire_register (options->rpc, serve_pull, sync);
  return sync;
}

bool
sheet_sync_start (sheet_sync_t *sync, err_t *err)
{
  sync->is_running
      = pthread_create (&sync->thread, NULL, sheet_sync_thread, sync) == 0;
  if (sync->is_running)
    return true;
  return err_set (err, ERR_IO, "raise the limit of threads",
                  "can't start the thread that pulls sheets");
}

void
sheet_sync_stop (sheet_sync_t *sync)
{
  pthread_mutex_lock (&sync->lock);
  sync->stop = true;
  pthread_cond_signal (&sync->stopped);
  pthread_mutex_unlock (&sync->lock);
  if (sync->is_running)
    pthread_join (sync->thread, NULL);
}

void
sheet_sync_free (sheet_sync_t *sync)
{
  version_sync_free (sync->version_sync);
  pthread_mutex_destroy (&sync->lock);
  pthread_cond_destroy (&sync->stopped);
  free (sync);
}
