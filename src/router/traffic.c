#include "router/traffic.h"

#include <errno.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/log.h"
#include "router/caller_http.h"
#include "router/dispatcher.h"
#include "router/readiness_port.h"
#include "router/stop_plan.h"
#include "router/sync.h"

struct traffic
{
  traffic_options_t options;
  const fleet_settings_t *settings; /* in force; held */
  loop_t *loop;
  sync_t *sync;
  router_metrics_t *metrics;
  dispatcher_t *dispatcher;
  caller_http_t *port;
  readiness_port_t *readiness;
  watch_t wake;
  pthread_t thread;
  _Atomic bool stops;
  _Atomic bool has_news; /* from the directors */
  bool is_ready;
  usec_t stop_at; /* when the stop began; 0: not yet */
};

static void
wake (traffic_t *traffic)
{
  uint64_t one = 1;
  ssize_t written = write (traffic->wake.fd, &one, sizeof one);
  (void)written; /* a full counter wakes as well */
}

/* Called on the RPC thread.  */
static void
on_changed (void *closure)
{
  traffic_t *traffic = closure;
  atomic_store (&traffic->has_news, true);
  wake (traffic);
}

static void
on_request (void *closure, exchange_t *exchange)
{
  traffic_t *traffic = closure;
  dispatcher_request (traffic->dispatcher, exchange);
}

static void
on_gone (void *closure, exchange_t *exchange)
{
  traffic_t *traffic = closure;
  dispatcher_gone (traffic->dispatcher, exchange);
}

static void
take_event (traffic_t *traffic, const loop_event_t *event)
{
  switch (event->watch->kind)
    {
    case WATCH_CALLERS:
      break; /* run below, whatever the event */
    case WATCH_BACKEND:
      dispatcher_ready (traffic->dispatcher, event->watch, event->ready);
      break;
    case WATCH_CALLER:
      caller_http_hangup (traffic->port, event->watch);
      break;
    case WATCH_WAKE:
      {
        uint64_t count;
        ssize_t got = read (traffic->wake.fd, &count, sizeof count);
        (void)got;
        break;
      }
    }
}

static void
note_readiness (traffic_t *traffic, usec_t now)
{
  bool is_ready = traffic->stop_at == 0
                  && dispatcher_is_ready (traffic->dispatcher, now);
  if (is_ready == traffic->is_ready)
    return;
  traffic->is_ready = is_ready;
  LOG_EVENT (LOG_LEVEL_INFO, "readiness", LOG_U ("ready", is_ready));
  readiness_port_set (traffic->readiness, is_ready);
  sync_set_takes_requests (traffic->sync, is_ready);
}

/* True where the process ends now.  */
static bool
follow_stop (traffic_t *traffic, usec_t now)
{
  if (!atomic_load (&traffic->stops))
    return false;
  if (traffic->stop_at == 0)
    {
      traffic->stop_at = now;
      caller_http_leave (traffic->port);
    }
  stop_phase_t phase = stop_plan_phase (
      now - traffic->stop_at, traffic->settings->bounds.grace,
      dispatcher_under_way (traffic->dispatcher));
  if (phase == STOP_REFUSES)
    dispatcher_refuse_new (traffic->dispatcher);
  return phase == STOP_ENDS;
}

static usec_t
shorter (usec_t a, usec_t b)
{
  return a < b ? a : b;
}

static void
follow_settings (traffic_t *traffic)
{
  settings_feed_t *feed = traffic->options.feed;
  const fleet_settings_t *newer
      = settings_feed_acquire_newer (feed, traffic->settings);
  if (!newer)
    return;
  sync_set_settings (traffic->sync, newer);
  dispatcher_set_settings (traffic->dispatcher, newer);
  settings_feed_release (feed, traffic->settings);
  traffic->settings = newer;
}

static void *
traffic_run (void *closure)
{
  traffic_t *traffic = closure;
  usec_t wait = 0;
  for (;;)
    {
      loop_event_t event;
      if (loop_wait (traffic->loop, wait, &event))
        take_event (traffic, &event);
      usec_t now = clock_monotonic ();
      follow_settings (traffic);
      bool ends = follow_stop (traffic, now);
      sync_tick (traffic->sync, now);
      if (atomic_exchange (&traffic->has_news, false))
        dispatcher_update (traffic->dispatcher);
      note_readiness (traffic, now);
      wait = dispatcher_tick (traffic->dispatcher, now);
      if (ends)
        dispatcher_end_all (traffic->dispatcher);
      caller_http_run (traffic->port);
      wait = shorter (wait, caller_http_wait (traffic->port));
      wait = shorter (wait, sync_due (traffic->sync) - now);
      if (ends)
        return NULL;
    }
}

static bool
open_ports (traffic_t *traffic, err_t *err)
{
  const fleet_settings_t *settings = traffic->settings;
  const caller_http_options_t port = { .loop = traffic->loop,
                                       .address = settings->requests,
                                       .closure = traffic,
                                       .request = on_request,
                                       .gone = on_gone };
  traffic->port = caller_http_new (&port, err);
  if (!traffic->port)
    return false;
  dispatcher_set_port (traffic->dispatcher, traffic->port);
  traffic->readiness = readiness_port_open (&settings->readiness, err);
  return traffic->readiness != NULL;
}

static bool
open_wake (traffic_t *traffic, err_t *err)
{
  traffic->wake = (watch_t){ .kind = WATCH_WAKE,
                             .fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC) };
  if (traffic->wake.fd >= 0
      && loop_add (traffic->loop, &traffic->wake, LOOP_READABLE))
    return true;
  return err_set (err, ERR_IO, "raise the limit of descriptors",
                  "no eventfd for the traffic thread");
}

static void
open_dispatcher (traffic_t *traffic)
{
  const traffic_options_t *options = &traffic->options;
  const sync_options_t sync = { .settings = traffic->settings,
                                .rpc = options->rpc,
                                .incarnation = options->incarnation,
                                .closure = traffic,
                                .changed = on_changed };
  traffic->sync = sync_new (&sync);
  traffic->metrics = router_metrics_new (options->metrics);
  const dispatcher_options_t dispatcher = { .settings = traffic->settings,
                                            .loop = traffic->loop,
                                            .sync = traffic->sync,
                                            .metrics = traffic->metrics,
                                            .seed = options->incarnation };
  traffic->dispatcher = dispatcher_new (&dispatcher);
}

static bool
open_all (traffic_t *traffic, err_t *err)
{
  traffic->loop = loop_new (err);
  if (!traffic->loop || !open_wake (traffic, err))
    return false;
  open_dispatcher (traffic);
  if (!open_ports (traffic, err))
    return false;
  if (pthread_create (&traffic->thread, NULL, traffic_run, traffic) == 0)
    return true;
  return err_set (err, ERR_IO, "raise the limit of threads",
                  "no thread for the traffic");
}

traffic_t *
traffic_start (const traffic_options_t *options, err_t *err)
{
  traffic_t *traffic = calloc (1, sizeof *traffic);
  if (!traffic)
    abort ();
  traffic->options = *options;
  traffic->settings = settings_feed_acquire (options->feed);
  traffic->wake.fd = -1;
  if (open_all (traffic, err))
    return traffic;
  traffic_free (traffic);
  return NULL;
}

void
traffic_stop (traffic_t *traffic)
{
  atomic_store (&traffic->stops, true);
  wake (traffic);
  pthread_join (traffic->thread, NULL);
}

void
traffic_free (traffic_t *traffic)
{
  if (traffic->readiness)
    readiness_port_close (traffic->readiness);
  if (traffic->port)
    caller_http_free (traffic->port);
  if (traffic->dispatcher)
    dispatcher_free (traffic->dispatcher);
  if (traffic->sync)
    sync_free (traffic->sync);
  router_metrics_free (traffic->metrics);
  if (traffic->wake.fd >= 0)
    close (traffic->wake.fd);
  if (traffic->loop)
    loop_free (traffic->loop);
  settings_feed_release (traffic->options.feed, traffic->settings);
  free (traffic);
}
