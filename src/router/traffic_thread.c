#include "router/traffic_thread.h"

#include <errno.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/log.h"
#include "router/caller_http.h"
#include "router/cold_port.h"
#include "router/director_sync.h"
#include "router/dispatcher.h"
#include "router/readiness_port.h"
#include "router/shutdown_phase.h"

struct traffic_thread
{
  traffic_thread_options_t options;
  const fleet_settings_t *settings; /* in force; acquired from the feed */
  poller_t *poller;
  body_budget_t budget; /* of all bodies; its max follows SETTINGS */
  director_sync_t *sync;
  router_metrics_t *metrics;
  dispatcher_t *dispatcher;
  caller_http_t *port;
  readiness_port_t *readiness_port;
  cold_port_t *cold_port;
  watch_t wakeup;
  pthread_t pthread;
  _Atomic bool stop_requested;
  _Atomic bool snapshot_changed; /* set by the RPC thread */
  bool is_ready;
  usec_t shutdown_started_at; /* monotonic; 0: not started */
  shutdown_turns_t turns;
};

static void
wake (traffic_thread_t *thread)
{
  uint64_t one = 1;
  ssize_t written = write (thread->wakeup.fd, &one, sizeof one);
  (void)written; /* if the counter is full, it is readable anyway */
}

/* Called on the RPC thread.  */
static void
on_snapshot_changed (void *closure)
{
  traffic_thread_t *thread = closure;
  atomic_store (&thread->snapshot_changed, true);
  wake (thread);
}

static void
on_request (void *closure, exchange_t *exchange)
{
  traffic_thread_t *thread = closure;
  dispatcher_request (thread->dispatcher, exchange);
}

static void
on_body_arrived (void *closure, exchange_t *exchange)
{
  traffic_thread_t *thread = closure;
  dispatcher_body_arrived (thread->dispatcher, exchange);
}

static bool
may_overlap (void *closure, const exchange_t *exchange)
{
  const traffic_thread_t *thread = closure;
  return dispatcher_is_idempotent (thread->dispatcher, exchange);
}

static void
on_gone (void *closure, exchange_t *exchange)
{
  traffic_thread_t *thread = closure;
  dispatcher_caller_gone (thread->dispatcher, exchange);
}

static void
handle_event (traffic_thread_t *thread, const poller_event_t *event)
{
  switch (event->watch->kind)
    {
    case WATCH_CALLER_PORT:
    case WATCH_CALLER_SOCKET:
      caller_http_socket_ready (thread->port, event->watch, event->ready);
      break;
    case WATCH_BACKEND_SOCKET:
      dispatcher_socket_ready (thread->dispatcher, event->watch, event->ready);
      break;
    case WATCH_COLD_PORT:
      cold_port_socket_ready (thread->cold_port, clock_monotonic ());
      break;
    case WATCH_WAKEUP:
      {
        uint64_t count;
        ssize_t got = read (thread->wakeup.fd, &count, sizeof count);
        (void)got;
        break;
      }
    }
}

static void
update_readiness (traffic_thread_t *thread, usec_t now)
{
  bool is_ready = thread->shutdown_started_at == 0
                  && dispatcher_is_ready (thread->dispatcher, now);
  if (is_ready == thread->is_ready)
    return;
  thread->is_ready = is_ready;
  LOG_EVENT (LOG_LEVEL_INFO, "readiness", LOG_U ("ready", is_ready));
  readiness_port_set (thread->readiness_port, is_ready);
  director_sync_set_takes_requests (thread->sync, is_ready);
}

/* Begin or advance the graceful shutdown, after a turn that had an event iff
   IS_BUSY.  */
static shutdown_phase_t
update_shutdown (traffic_thread_t *thread, bool is_busy, usec_t now)
{
  if (!atomic_load (&thread->stop_requested))
    return SHUTDOWN_SERVE;
  if (thread->shutdown_started_at == 0)
    {
      thread->shutdown_started_at = now;
      caller_http_disable_keep_alive (thread->port);
      dispatcher_begin_shutdown (thread->dispatcher, now);
    }
  usec_t elapsed = now - thread->shutdown_started_at;
  usec_t grace = thread->settings->bounds.grace;
  size_t n_open = caller_http_n_open (thread->port);
  shutdown_add_turn (&thread->turns, elapsed, is_busy);
  shutdown_phase_t phase = shutdown_phase_after (
      &thread->turns, shutdown_phase_at (elapsed, grace, n_open), elapsed,
      grace);
  /* Only where it decides: it looks at every connection.  */
  if (phase == SHUTDOWN_EXIT && n_open == 0)
    phase = shutdown_phase_at (elapsed, grace,
                               caller_http_n_undelivered (thread->port));
  return phase;
}

static void
log_undelivered (const traffic_thread_t *thread)
{
  size_t n = caller_http_n_undelivered (thread->port);
  if (n > 0)
    LOG_EVENT (LOG_LEVEL_INFO, "responses_not_taken",
               LOG_U ("connections", n));
}

static usec_t
min_usec (usec_t a, usec_t b)
{
  return a < b ? a : b;
}

static void
apply_settings (traffic_thread_t *thread)
{
  settings_feed_t *feed = thread->options.feed;
  const fleet_settings_t *newer
      = settings_feed_acquire_newer (feed, thread->settings);
  if (!newer)
    return;
  director_sync_set_settings (thread->sync, newer);
  dispatcher_set_settings (thread->dispatcher, newer);
  settings_feed_release (feed, thread->settings);
  thread->settings = newer;
  thread->budget.max = newer->body_memory;
}

/* Apply the newest snapshot, if there is one.  */
static void
update_snapshot (traffic_thread_t *thread)
{
  if (!atomic_exchange (&thread->snapshot_changed, false))
    return;
  dispatcher_update_snapshot (thread->dispatcher);
  caller_http_set_idle_timeout (thread->port,
                                dispatcher_idle_timeout (thread->dispatcher));
  caller_http_set_max_body (thread->port,
                            dispatcher_max_body (thread->dispatcher));
  fleet_snapshot_t *snapshot = director_sync_snapshot (thread->sync);
  cold_port_set_routers (thread->cold_port, snapshot->routers,
                         snapshot->n_routers);
  fleet_snapshot_unref (snapshot);
}

/* Returns when it is due again.  */
static usec_t
tick_cold_port (traffic_thread_t *thread, usec_t now)
{
  const cold_directors_t directors = director_sync_colds_state (thread->sync);
  return cold_port_tick (thread->cold_port,
                         dispatcher_seen_colds (thread->dispatcher),
                         &directors, now);
}

static void *
run (void *closure)
{
  traffic_thread_t *thread = closure;
  usec_t wait = 0;
  for (;;)
    {
      poller_event_t event;
      bool is_busy = poller_wait (thread->poller, wait, &event);
      if (is_busy)
        handle_event (thread, &event);
      usec_t now = clock_monotonic ();
      apply_settings (thread);
      shutdown_phase_t phase = update_shutdown (thread, is_busy, now);
      director_sync_tick (thread->sync, now);
      update_snapshot (thread);
      update_readiness (thread, now);
      wait = dispatcher_tick (thread->dispatcher, now);
      if (phase == SHUTDOWN_FINISH || phase == SHUTDOWN_EXIT)
        dispatcher_finish_all (thread->dispatcher);
      caller_http_run (thread->port);
      wait = min_usec (wait, caller_http_timeout (thread->port));
      wait = min_usec (wait, director_sync_next_pull (thread->sync) - now);
      wait = min_usec (wait, tick_cold_port (thread, now) - now);
      if (thread->shutdown_started_at > 0)
        wait = min_usec (wait, SHUTDOWN_TICK);
      if (phase == SHUTDOWN_EXIT)
        {
          log_undelivered (thread);
          return NULL;
        }
    }
}

static bool
open_ports (traffic_thread_t *thread, err_t *err)
{
  const fleet_settings_t *settings = thread->settings;
  const caller_http_options_t port = { .poller = thread->poller,
                                       .address = settings->requests,
                                       .budget = &thread->budget,
                                       .closure = thread,
                                       .request_received = on_request,
                                       .body_arrived = on_body_arrived,
                                       .may_overlap = may_overlap,
                                       .caller_gone = on_gone };
  thread->port = caller_http_new (&port, err);
  if (!thread->port)
    return false;
  thread->readiness_port = readiness_port_open (&settings->readiness, err);
  return thread->readiness_port != NULL;
}

static bool
open_wakeup (traffic_thread_t *thread, err_t *err)
{
  thread->wakeup = (watch_t){ .kind = WATCH_WAKEUP,
                              .fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC) };
  if (thread->wakeup.fd >= 0
      && poller_add (thread->poller, &thread->wakeup, POLLER_READABLE))
    return true;
  return err_set (err, ERR_IO, "raise the limit of file descriptors",
                  "cannot create or watch the traffic thread's eventfd");
}

static void
open_dispatcher (traffic_thread_t *thread)
{
  const traffic_thread_options_t *options = &thread->options;
  const director_sync_options_t sync
      = { .settings = thread->settings,
          .rpc = options->rpc,
          .incarnation = options->incarnation,
          .closure = thread,
          .snapshot_changed = on_snapshot_changed };
  thread->sync = director_sync_new (&sync);
  thread->metrics = router_metrics_new (options->metrics);
  const dispatcher_options_t dispatcher = { .settings = thread->settings,
                                            .poller = thread->poller,
                                            .sync = thread->sync,
                                            .metrics = thread->metrics,
                                            .budget = &thread->budget,
                                            .seed = options->incarnation };
  thread->dispatcher = dispatcher_new (&dispatcher);
}

static void
on_colds_heard (void *closure, const cold_report_t *reports, size_t n,
                usec_t now)
{
  traffic_thread_t *thread = closure;
  dispatcher_hear_colds (thread->dispatcher, reports, n, now);
}

static void
open_cold_port (traffic_thread_t *thread)
{
  const cold_port_options_t options
      = { .poller = thread->poller,
          .settings = thread->settings,
          .key = thread->options.key,
          .incarnation = thread->options.incarnation,
          .metrics = thread->metrics,
          .closure = thread,
          .heard = on_colds_heard };
  thread->cold_port = cold_port_open (&options);
}

static bool
open_components (traffic_thread_t *thread, err_t *err)
{
  thread->poller = poller_new (err);
  if (!thread->poller || !open_wakeup (thread, err))
    return false;
  open_dispatcher (thread);
  open_cold_port (thread);
  if (!open_ports (thread, err))
    return false;
  if (pthread_create (&thread->pthread, NULL, run, thread) == 0)
    return true;
  return err_set (err, ERR_IO, "raise the limit of threads",
                  "cannot create the traffic thread");
}

traffic_thread_t *
traffic_thread_start (const traffic_thread_options_t *options, err_t *err)
{
  traffic_thread_t *thread = calloc (1, sizeof *thread);
  if (!thread)
    abort ();
  thread->options = *options;
  thread->settings = settings_feed_acquire (options->feed);
  thread->budget.max = thread->settings->body_memory;
  thread->wakeup.fd = -1;
  if (open_components (thread, err))
    return thread;
  traffic_thread_free (thread);
  return NULL;
}

void
traffic_thread_stop (traffic_thread_t *thread)
{
  atomic_store (&thread->stop_requested, true);
  wake (thread);
  pthread_join (thread->pthread, NULL);
}

void
traffic_thread_free (traffic_thread_t *thread)
{
  if (thread->readiness_port)
    readiness_port_close (thread->readiness_port);
  if (thread->port)
    caller_http_free (thread->port);
  if (thread->cold_port)
    cold_port_close (thread->cold_port);
  if (thread->dispatcher)
    dispatcher_free (thread->dispatcher);
  if (thread->sync)
    director_sync_free (thread->sync);
  router_metrics_free (thread->metrics);
  if (thread->wakeup.fd >= 0)
    close (thread->wakeup.fd);
  if (thread->poller)
    poller_free (thread->poller);
  settings_feed_release (thread->options.feed, thread->settings);
  free (thread);
}
