#include "router/dispatcher_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/clock.h"
#include "base/log.h"
#include "platform_words.h"
#include "routing/route_config.h"

enum
{
  DEADLINE_DEFAULT_SECONDS = 30, /* of callers that tell none */
};

/* How soon the waiting are looked at again where nothing else happens.  */
#define WAIT_STEP (20 * USEC_PER_MSEC)
#define TICK_MAX (100 * USEC_PER_MSEC)
/* A process that has just started mostly follows the directors by then.  */
#define START_RETRY_AFTER (400 * USEC_PER_MSEC)

static void
read_object (exchange_t *exchange)
{
  const char *key = MHD_lookup_connection_value (
      exchange->connection, MHD_COOKIE_KIND, COOKIE_OBJECT);
  if (!key || !exchange->route->has_affinity)
    return;
  exchange->query.has_object = true;
  exchange->query.object = XXH3_64bits (key, strlen (key));
}

static void
read_deadline (exchange_t *exchange)
{
  const char *text = caller_http_header (exchange, HEADER_DEADLINE);
  usec_t left = text ? strtoll (text, NULL, 10) * USEC_PER_MSEC : 0;
  usec_t timeout = exchange->route->timeout;
  if (left > 0)
    exchange->caller_deadline = exchange->begun_at + left;
  exchange->deadline
      = left > 0
            ? exchange->caller_deadline
            : exchange->begun_at + DEADLINE_DEFAULT_SECONDS * USEC_PER_SEC;
  if (timeout > 0 && exchange->begun_at + timeout < exchange->deadline)
    exchange->deadline = exchange->begun_at + timeout;
}

void
dispatcher_request (dispatcher_t *dispatcher, exchange_t *exchange)
{
  usec_t now = clock_monotonic ();
  const char *id = caller_http_header (exchange, HEADER_REQUEST_ID);
  snprintf (exchange->id, sizeof exchange->id, "%s", id ? id : "");
  list_push_back (&dispatcher->under_way, &exchange->link);
  dispatcher->n_exchanges++;
  exchange->view = view_ref (dispatcher->view);
  if (dispatcher->refuses)
    {
      dispatcher_end (dispatcher, exchange, REASON_STOPPING);
      return;
    }
  const route_config_t *config = exchange->view->config;
  if (!config || !sync_is_settled (dispatcher->options.sync, now))
    {
      exchange->retry_after = START_RETRY_AFTER;
      dispatcher_end (dispatcher, exchange, REASON_NO_CONFIG);
      return;
    }
  exchange->route
      = route_config_match (config, exchange->host, exchange->target);
  if (!exchange->route)
    {
      dispatcher_end (dispatcher, exchange, REASON_NO_ROUTE);
      return;
    }
  exchange->share = route_split_next (dispatcher->split, exchange->route);
  exchange->query.route = exchange->route;
  exchange->query.service
      = exchange->route->shares[exchange->share].service.text;
  read_object (exchange);
  read_deadline (exchange);
  retry_share_earn (dispatcher_retries (dispatcher, exchange),
                    &dispatcher->options.settings->bounds,
                    dispatcher->view->n_routers, now);
  dispatcher_place (dispatcher, exchange, now);
}

/* End EXCHANGE's call, if there is one; its backend server is not to blame. */
static void
leave_backend (dispatcher_t *dispatcher, exchange_t *exchange)
{
  const backend_outcome_t outcome = { .end = BACKEND_LEFT };
  if (exchange->call)
    dispatcher_abort (dispatcher, exchange, &outcome, clock_monotonic ());
}

void
dispatcher_gone (dispatcher_t *dispatcher, exchange_t *exchange)
{
  leave_backend (dispatcher, exchange);
  dispatcher_end (dispatcher, exchange, REASON_GONE);
}

void
dispatcher_end_all (dispatcher_t *dispatcher)
{
  usec_t now = clock_monotonic ();
  LIST_FOREACH (link, &dispatcher->waiting)
  dispatcher_refuse (dispatcher, LIST_ENTRY (link, exchange_t, link),
                     REASON_STOPPING, now);
  LIST_FOREACH (link, &dispatcher->under_way)
  {
    exchange_t *exchange = LIST_ENTRY (link, exchange_t, link);
    leave_backend (dispatcher, exchange);
    dispatcher_end (dispatcher, exchange, REASON_BROKE_OFF);
  }
}

/* A call to a backend server has ended.  */
static void
on_done (void *closure, void *owner_closure, backend_answer_t *answer)
{
  dispatcher_t *dispatcher = closure;
  call_owner_t *owner = owner_closure;
  if (owner->exchange)
    dispatcher_answer (dispatcher, owner->exchange, answer);
  else
    {
      dispatcher_probed (dispatcher, owner->backend, answer);
      free (owner);
    }
}

usec_t
dispatcher_tick (dispatcher_t *dispatcher, usec_t now)
{
  backend_http_tick (dispatcher->backends, now);
  dispatcher_expire (dispatcher, now);
  dispatcher_serve_waiting (dispatcher, now);
  dispatcher_probe (dispatcher, now);
  usec_t wait = list_empty (&dispatcher->waiting) ? TICK_MAX : WAIT_STEP;
  usec_t due = backend_http_due (dispatcher->backends) - now;
  return due < wait ? (due > 0 ? due : 0) : wait;
}

void
dispatcher_ready (dispatcher_t *dispatcher, watch_t *watch, unsigned int ready)
{
  backend_http_ready (dispatcher->backends, watch, ready);
}

void
dispatcher_update (dispatcher_t *dispatcher)
{
  usec_t now = clock_monotonic ();
  view_t *view = sync_view (dispatcher->options.sync);
  if (view->config != dispatcher->view->config)
    {
      route_split_free (dispatcher->split);
      dispatcher->split = route_split_new (view->config);
    }
  view_unref (dispatcher->view);
  dispatcher->view = view;
  const pool_update_t update = { .list = &view->list,
                                 .config = view->config,
                                 .evacuated = view->evacuated,
                                 .n_evacuated = view->n_evacuated,
                                 .routers = view->routers,
                                 .n_routers = view->n_routers };
  backend_pool_update (dispatcher->pool, &update, now);
  dispatcher_serve_waiting (dispatcher, now);
}

void
dispatcher_set_settings (dispatcher_t *dispatcher,
                         const fleet_settings_t *settings)
{
  dispatcher->options.settings = settings;
  backend_pool_set_settings (dispatcher->pool, settings);
  dispatcher_update (dispatcher);
}

bool
dispatcher_is_ready (const dispatcher_t *dispatcher, usec_t now)
{
  return dispatcher->view->config && dispatcher->view->list.n_records > 0
         && sync_is_settled (dispatcher->options.sync, now);
}

void
dispatcher_refuse_new (dispatcher_t *dispatcher)
{
  dispatcher->refuses = true;
}

size_t
dispatcher_under_way (const dispatcher_t *dispatcher)
{
  return dispatcher->n_exchanges;
}

void
dispatcher_set_port (dispatcher_t *dispatcher, caller_http_t *port)
{
  dispatcher->port = port;
}

dispatcher_t *
dispatcher_new (const dispatcher_options_t *options)
{
  dispatcher_t *dispatcher = calloc (1, sizeof *dispatcher);
  if (!dispatcher)
    abort ();
  dispatcher->options = *options;
  const backend_http_options_t backends
      = { .loop = options->loop,
          .own_address = options->settings->address,
          .closure = dispatcher,
          .done = on_done };
  dispatcher->backends = backend_http_new (&backends);
  const backend_pool_options_t pool
      = { .settings = options->settings, .seed = options->seed };
  dispatcher->pool = backend_pool_new (&pool);
  dispatcher->view = view_new ();
  list_init (&dispatcher->waiting);
  list_init (&dispatcher->under_way);
  return dispatcher;
}

void
dispatcher_free (dispatcher_t *dispatcher)
{
  backend_http_free (dispatcher->backends);
  backend_pool_free (dispatcher->pool);
  route_split_free (dispatcher->split);
  view_unref (dispatcher->view);
  free (dispatcher);
}
