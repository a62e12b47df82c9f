#include "router/dispatcher_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/number.h"
#include "platform_api.h"
#include "router/carry_headers.h"
#include "routing/route_config.h"

enum
{
  DEADLINE_DEFAULT_SECONDS = 30, /* if the caller sends none, or one that
                                    can't be read */
  DEADLINE_MSEC_MAX = 24 * 3600 * 1000,
  CARRIED_ATTEMPTS_MAX = 1000,
};

/* Intervals of dispatcher_tick if no event comes earlier: while requests are
   queued or given up on, and otherwise.  */
#define QUEUE_TICK (20 * USEC_PER_MSEC)
#define IDLE_TICK (100 * USEC_PER_MSEC)
/* Retry-After while there is no settled snapshot: a router that has just
   started usually has one by then.  */
#define START_RETRY_AFTER (400 * USEC_PER_MSEC)
/* Retry-After of a process that stops: another router serves the request.  */
#define STOPPING_RETRY_AFTER (50 * USEC_PER_MSEC)
/* Retry-After while no memory is left for bodies.  */
#define MEMORY_RETRY_AFTER USEC_PER_SEC

static void
read_affinity_key (exchange_t *exchange)
{
  size_t length = 0;
  const char *key
      = request_head_cookie (&exchange->head, COOKIE_OBJECT, &length);
  if (!key || !exchange->route->has_affinity)
    return;
  exchange->query.has_object = true;
  exchange->query.object_hash = XXH3_64bits (key, length);
}

static void
read_deadline (exchange_t *exchange)
{
  const char *text = request_head_field (&exchange->head, HEADER_DEADLINE);
  double msec = 0;
  bool is_given
      = text
        && number_parse_decimal (&msec, text, strlen (text), DEADLINE_MSEC_MAX)
               == NUMBER_OK;
  usec_t timeout = exchange->route->timeout;
  if (is_given)
    exchange->caller_deadline
        = exchange->received_at + (usec_t)(msec * (double)USEC_PER_MSEC);
  exchange->deadline
      = is_given
            ? exchange->caller_deadline
            : exchange->received_at + DEADLINE_DEFAULT_SECONDS * USEC_PER_SEC;
  if (timeout > 0 && exchange->received_at + timeout < exchange->deadline)
    exchange->deadline = exchange->received_at + timeout;
}

/* What is no number leaves one attempt.  */
static void
read_carried (exchange_t *exchange)
{
  const char *text = request_head_field (&exchange->head, HEADER_CARRIED);
  uint64_t n = 1;
  if (!text)
    return;
  number_parse_unsigned (&n, text, CARRIED_ATTEMPTS_MAX);
  exchange->carried_attempts = n > 0 ? (uint32_t)n : 1;
}

void
dispatcher_request (dispatcher_t *dispatcher, exchange_t *exchange)
{
  usec_t now = clock_monotonic ();
  const char *id = request_head_field (&exchange->head, HEADER_REQUEST_ID);
  snprintf (exchange->id, sizeof exchange->id, "%s", id ? id : "");
  read_carried (exchange);
  list_push_back (&dispatcher->active, &exchange->link);
  exchange->snapshot = fleet_snapshot_ref (dispatcher->snapshot);
  if (dispatcher->is_finishing)
    {
      exchange->retry_after = STOPPING_RETRY_AFTER;
      dispatcher_finish (dispatcher, exchange, REASON_STOPPING);
      return;
    }
  if (body_budget_is_full (dispatcher->options.budget))
    {
      exchange->retry_after = MEMORY_RETRY_AFTER;
      dispatcher_finish (dispatcher, exchange, REASON_MEMORY);
      return;
    }
  const route_config_t *config = exchange->snapshot->config;
  if (!config || !director_sync_is_settled (dispatcher->options.sync, now))
    {
      exchange->retry_after = START_RETRY_AFTER;
      dispatcher_finish (dispatcher, exchange, REASON_NO_CONFIG);
      return;
    }
  exchange->route
      = route_config_match (config, exchange->host, exchange->target);
  if (!exchange->route)
    {
      dispatcher_finish (dispatcher, exchange, REASON_NO_ROUTE);
      return;
    }
  if (!dispatcher_check_account (dispatcher, exchange, now))
    return;
  exchange->share_index
      = route_split_next (dispatcher->split, exchange->route);
  exchange->query.route = exchange->route;
  exchange->query.service
      = exchange->route->shares[exchange->share_index].service.text;
  read_affinity_key (exchange);
  read_deadline (exchange);
  retry_share_refill (dispatcher_retry_budget (dispatcher, exchange),
                      &dispatcher->options.settings->bounds,
                      dispatcher->snapshot->n_routers, now);
  dispatcher_send_or_queue (dispatcher, exchange, now);
}

bool
dispatcher_is_idempotent (const dispatcher_t *dispatcher,
                          const exchange_t *exchange)
{
  const route_config_t *config = dispatcher->snapshot->config;
  const route_t *route
      = config ? route_config_match (config, exchange->host, exchange->target)
               : NULL;
  return !route || route->is_idempotent;
}

/* Abort EXCHANGE's call, if there is one, without counting it as a failure of
   its backend server.  */
static void
abort_call (dispatcher_t *dispatcher, exchange_t *exchange)
{
  const backend_outcome_t outcome = { .result = BACKEND_CANCELLED };
  if (exchange->call)
    dispatcher_abort (dispatcher, exchange, &outcome, clock_monotonic ());
}

void
dispatcher_caller_gone (dispatcher_t *dispatcher, exchange_t *exchange)
{
  abort_call (dispatcher, exchange);
  dispatcher_finish (dispatcher, exchange, REASON_GONE);
}

void
dispatcher_finish_all (dispatcher_t *dispatcher)
{
  usec_t now = clock_monotonic ();
  dispatcher->is_finishing = true;
  LIST_FOREACH (link, &dispatcher->queue)
  dispatcher_refuse (dispatcher, LIST_ENTRY (link, exchange_t, link),
                     REASON_STOPPING, now);
  LIST_FOREACH (link, &dispatcher->active)
  {
    exchange_t *exchange = LIST_ENTRY (link, exchange_t, link);
    abort_call (dispatcher, exchange);
    dispatcher_finish (dispatcher, exchange, REASON_BROKE_OFF);
  }
}

/* A request or a health check at a backend server has ended.  */
static void
on_call_ended (void *closure, void *owner_closure,
               backend_response_t *response)
{
  dispatcher_t *dispatcher = closure;
  call_owner_t *owner = owner_closure;
  if (owner->exchange && owner->exchange->carrier != 0)
    dispatcher_carry_ended (dispatcher, owner->exchange, response);
  else if (owner->exchange)
    dispatcher_call_ended (dispatcher, owner->exchange, response);
  else
    {
      dispatcher_probe_ended (dispatcher, owner, response);
      dispatcher_free_probe (owner);
    }
}

/* What is known of the request by its body is kept.  */
static void
on_request_written (void *closure, void *owner_closure)
{
  dispatcher_t *dispatcher = closure;
  exchange_t *exchange = ((call_owner_t *)owner_closure)->exchange;
  if (!exchange || exchange->body_is_released)
    return;
  dispatcher_fingerprint (exchange);
  exchange->body_is_released = true;
  body_budget_resize (dispatcher->options.budget, BODY_CERTAIN,
                      exchange->body_capacity, 0);
  free (exchange->body);
  exchange->body = NULL;
  exchange->body_bytes = 0;
  exchange->body_capacity = 0;
}

/* What was taken of the body is gone.  */
static void
on_stream_taken (void *closure, void *owner_closure)
{
  exchange_t *exchange = ((call_owner_t *)owner_closure)->exchange;
  (void)closure;
  exchange->body_is_released = true;
  caller_http_read_on (exchange);
}

void
dispatcher_body_arrived (dispatcher_t *dispatcher, exchange_t *exchange)
{
  if (exchange->call)
    backend_http_stream_filled (dispatcher->backends, exchange->call);
}

static void
on_extra_bytes (void *closure, const connection_use_t *use,
                extra_place_t place, size_t n_bytes)
{
  dispatcher_t *dispatcher = closure;
  dispatcher_extra_bytes (dispatcher, use, place, n_bytes);
}

static void
on_id_sent_again (void *closure, const connection_use_t *use)
{
  dispatcher_t *dispatcher = closure;
  dispatcher_id_sent_again (dispatcher, use);
}

usec_t
dispatcher_tick (dispatcher_t *dispatcher, usec_t now)
{
  backend_http_tick (dispatcher->backends, now);
  dispatcher_expire_calls (dispatcher, now);
  dispatcher_apply_releases (dispatcher);
  dispatcher_expire_quotas (dispatcher, now);
  dispatcher_serve_queue (dispatcher, now);
  dispatcher_check_reach (dispatcher, now);
  dispatcher_send_probes (dispatcher, now);
  dispatcher_check_abandoned (dispatcher, now);
  dispatcher_expire_crashes (dispatcher, now);
  dispatcher_expire_stutters (dispatcher, now);
  dispatcher_expire_colds (dispatcher, now);
  bool is_idle
      = list_empty (&dispatcher->queue) && dispatcher->abandoned.n == 0;
  usec_t wait = is_idle ? IDLE_TICK : QUEUE_TICK;
  usec_t due = backend_http_due_at (dispatcher->backends) - now;
  return due < wait ? (due > 0 ? due : 0) : wait;
}

void
dispatcher_socket_ready (dispatcher_t *dispatcher, watch_t *watch,
                         unsigned int ready)
{
  backend_http_socket_ready (dispatcher->backends, watch, ready);
}

void
dispatcher_update_snapshot (dispatcher_t *dispatcher)
{
  usec_t now = clock_monotonic ();
  fleet_snapshot_t *snapshot
      = director_sync_snapshot (dispatcher->options.sync);
  if (snapshot->config != dispatcher->snapshot->config)
    {
      route_split_free (dispatcher->split);
      dispatcher->split = route_split_new (snapshot->config);
    }
  fleet_snapshot_unref (dispatcher->snapshot);
  dispatcher->snapshot = snapshot;
  const pool_update_t update = { .list = &snapshot->list,
                                 .config = snapshot->config,
                                 .evacuated = snapshot->evacuated,
                                 .n_evacuated = snapshot->n_evacuated,
                                 .reopened = &snapshot->reopened,
                                 .routers = snapshot->routers,
                                 .n_routers = snapshot->n_routers };
  backend_pool_update (dispatcher->pool, &update, now);
  dispatcher_crash_evidence_of_list (dispatcher, now);
  dispatcher_serve_queue (dispatcher, now);
}

void
dispatcher_set_settings (dispatcher_t *dispatcher,
                         const fleet_settings_t *settings)
{
  dispatcher->options.settings = settings;
  backend_pool_set_settings (dispatcher->pool, settings);
  dispatcher_update_snapshot (dispatcher);
}

usec_t
dispatcher_idle_timeout (const dispatcher_t *dispatcher)
{
  const route_config_t *config = dispatcher->snapshot->config;
  return config ? config->limits.idle_timeout : 0;
}

uint64_t
dispatcher_max_body (const dispatcher_t *dispatcher)
{
  const route_config_t *config = dispatcher->snapshot->config;
  return config ? config->limits.max_body_bytes : UINT64_MAX;
}

bool
dispatcher_is_ready (const dispatcher_t *dispatcher, usec_t now)
{
  return dispatcher->snapshot->config
         && dispatcher->snapshot->list.n_records > 0
         && director_sync_is_settled (dispatcher->options.sync, now);
}

void
dispatcher_begin_shutdown (dispatcher_t *dispatcher, usec_t started_at)
{
  dispatcher->is_shutting_down = true;
  dispatcher->shutdown_started_at = started_at;
}

dispatcher_t *
dispatcher_new (const dispatcher_options_t *options)
{
  dispatcher_t *dispatcher = calloc (1, sizeof *dispatcher);
  if (!dispatcher)
    abort ();
  dispatcher->options = *options;
  const backend_http_options_t backends
      = { .poller = options->poller,
          .own_address = options->settings->address,
          .budget = options->budget,
          .closure = dispatcher,
          .done = on_call_ended,
          .request_written = on_request_written,
          .stream_taken = on_stream_taken,
          .extra_bytes = on_extra_bytes,
          .id_sent_again = on_id_sent_again };
  dispatcher->backends = backend_http_new (&backends);
  const backend_pool_options_t pool
      = { .settings = options->settings, .seed = options->seed };
  dispatcher->pool = backend_pool_new (&pool);
  dispatcher->snapshot = fleet_snapshot_new ();
  list_init (&dispatcher->queue);
  list_init (&dispatcher->active);
  list_init (&dispatcher->probes);
  director_sync_set_crashes (options->sync, &dispatcher->crashes);
  director_sync_set_pool (options->sync, dispatcher->pool);
  random_seed (&dispatcher->random, options->seed);
  random_seed (&dispatcher->limiter.random, options->seed);
  director_sync_set_limiter (options->sync, &dispatcher->limiter);
  director_sync_set_heard_loads (options->sync, &dispatcher->heard_loads);
  director_sync_set_seen_colds (options->sync, &dispatcher->seen_colds);
  return dispatcher;
}

void
dispatcher_free (dispatcher_t *dispatcher)
{
  backend_http_free (dispatcher->backends);
  LIST_FOREACH (link, &dispatcher->probes)
  dispatcher_free_probe (LIST_ENTRY (link, call_owner_t, link));
  backend_pool_free (dispatcher->pool);
  route_split_free (dispatcher->split);
  limiter_clear (&dispatcher->limiter);
  load_table_clear (&dispatcher->heard_loads);
  cold_table_clear (&dispatcher->seen_colds);
  fleet_snapshot_unref (dispatcher->snapshot);
  free (dispatcher);
}
