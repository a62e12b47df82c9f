#include "router/dispatcher_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/clock.h"
#include "base/log.h"
#include "fleet/backend_list.h"
#include "router/request_headers.h"
#include "router/shutdown_phase.h"

/* The state of the service NAME.  Those beyond SERVICES_MAX share one without
   retries, so that they take none from another service.  */
static service_state_t *
service_state (dispatcher_t *dispatcher, const char *name)
{
  for (size_t i = 0; i < dispatcher->n_services; i++)
    if (strcmp (dispatcher->services[i].name.text, name) == 0)
      return &dispatcher->services[i];
  if (dispatcher->n_services == SERVICES_MAX)
    {
      LOG_EVENT (LOG_LEVEL_WARNING, "services_full", LOG_S ("service", name),
                 LOG_U ("limit", SERVICES_MAX));
      dispatcher->unlisted_service = (service_state_t){ 0 };
      return &dispatcher->unlisted_service;
    }
  service_state_t *state = &dispatcher->services[dispatcher->n_services++];
  snprintf (state->name.text, sizeof state->name.text, "%s", name);
  return state;
}

retry_share_t *
dispatcher_retry_budget (dispatcher_t *dispatcher, const exchange_t *exchange)
{
  return &service_state (dispatcher, exchange->query.service)->retries;
}

/* The latest deadline of a request, since the process ends.  */
static usec_t
last_deadline (const dispatcher_t *dispatcher)
{
  usec_t grace = dispatcher->options.settings->bounds.grace;
  return dispatcher->is_shutting_down
             ? dispatcher->shutdown_started_at + shutdown_last_deadline (grace)
             : INT64_MAX;
}

void
dispatcher_bound_deadline (const dispatcher_t *dispatcher,
                           exchange_t *exchange)
{
  usec_t last = last_deadline (dispatcher);
  if (exchange->deadline > last)
    exchange->deadline = last;
}

/* Whether EXCHANGE would end before the process does if it were sent now.  */
static bool
ends_in_time (const dispatcher_t *dispatcher, const exchange_t *exchange,
              usec_t now)
{
  if (!dispatcher->is_shutting_down)
    return true;
  usec_t started_at = dispatcher->shutdown_started_at;
  run_time_t run
      = run_estimate_get (&dispatcher->run_estimates, exchange->route);
  const shutdown_request_t request = {
    .received_at = exchange->received_at - started_at,
    .deadline = exchange->deadline - started_at,
    .longest_run = run_time_limit (&run),
  };
  return shutdown_may_send (
      now - started_at, dispatcher->options.settings->bounds.grace, &request);
}

/* The time from the arrival within which an answer helps EXCHANGE's caller
   most.  */
static usec_t
best_latency (const exchange_t *exchange)
{
  usec_t objective = exchange->route->latency_objective;
  usec_t time_limit = exchange->deadline - exchange->received_at;
  return objective > 0 && objective < time_limit ? objective : time_limit;
}

/* Whether EXCHANGE can't be answered within its target latency if it is sent
   at NOW.  */
static bool
is_late (const exchange_t *exchange, usec_t now)
{
  return now - exchange->received_at
         > best_latency (exchange) - exchange->query.run_time.cached;
}

static void
send_to (dispatcher_t *dispatcher, exchange_t *exchange, backend_t *backend,
         usec_t now)
{
  list_remove (&exchange->link);
  list_push_back (&dispatcher->active, &exchange->link);
  exchange->backend = backend;
  exchange->n_attempts++;
  exchange->n_transmitted++;
  exchange->sent_at = now;
  if (!is_late (exchange, now))
    service_state (dispatcher, exchange->query.service)->in_time_sent_at = now;
  dispatcher_bound_deadline (dispatcher, exchange);
  exchange->slot_was_free
      = !exchange->stream
        && backend_load_at (backend, now) + 1 <= backend->record.slots;
  exchange->object_was_known = backend_pool_request_sent (
      dispatcher->pool, backend, &exchange->query, now);
  exchange->owner.exchange = exchange;
  exchange->owner.boot = backend_record_boot (&backend->record);
  const backend_request_t request
      = { .address = backend->record.address,
          .boot = exchange->owner.boot,
          .backend_id = backend->record.id,
          .needs_new_connection
          = dispatcher_stutters (dispatcher, backend, now),
          .method = exchange->method,
          .target = exchange->target,
          .id = exchange->id,
          .headers = request_headers (exchange, backend, now),
          .body = exchange->body,
          .body_bytes = exchange->body_bytes,
          .stream = exchange->stream,
          .timeout = exchange->deadline - now + RESPONSE_TRAVEL_TIME,
          .connect_timeout = CONNECT_TIMEOUT,
          .owner = &exchange->owner };
  exchange->call = backend_http_call (dispatcher->backends, &request);
  router_metrics_request_sent (dispatcher->options.metrics,
                               exchange->query.service,
                               exchange->n_attempts > 1);
  LOG_EVENT (LOG_LEVEL_INFO, "request_sent", LOG_S ("id", exchange->id),
             LOG_S ("backend", backend->record.id),
             LOG_S ("domain", backend->record.domain.text),
             LOG_U ("object", exchange->query.object_hash),
             LOG_U ("known", exchange->object_was_known),
             LOG_I ("run_ms", exchange->query.run_time.cached / USEC_PER_MSEC),
             LOG_I ("fresh_run_ms",
                    exchange->query.run_time.uncached / USEC_PER_MSEC),
             LOG_U ("in_flight", backend->in_flight),
             LOG_F ("load", backend_load_at (backend, now)),
             LOG_I ("report_age_ms",
                    (now - backend->load_reported_at) / USEC_PER_MSEC),
             LOG_U ("limited", backend_is_limited (backend, now)),
             LOG_F ("server_limit", backend->notice.limit.is_in_force
                                        ? backend->notice.limit.rate
                                        : -1),
             LOG_I ("list_age_ms", (now - dispatcher->snapshot->list.read_at)
                                       / USEC_PER_MSEC),
             LOG_U ("try", exchange->n_attempts),
             LOG_I ("left_ms", (exchange->deadline - now) / USEC_PER_MSEC));
}

/* Returns true if EXCHANGE was sent to a backend server.  */
static bool
try_send (dispatcher_t *dispatcher, exchange_t *exchange, usec_t now)
{
  if (exchange->deadline - now < USEC_PER_MSEC)
    return false;
  exchange->query.run_time
      = run_estimate_get (&dispatcher->run_estimates, exchange->route);
  backend_t *backend
      = backend_pool_pick (dispatcher->pool, &exchange->query, now);
  if (!backend)
    return false;
  send_to (dispatcher, exchange, backend, now);
  return true;
}

/* Whether OTHER, which is queued, goes before EXCHANGE.  */
static bool
goes_before (const exchange_t *other, const exchange_t *exchange)
{
  if (other->is_exempt != exchange->is_exempt)
    return other->is_exempt;
  return other->priority <= exchange->priority;
}

/* Queue EXCHANGE by priority, a smaller number first, then by arrival.  */
static void
enqueue (dispatcher_t *dispatcher, exchange_t *exchange)
{
  list_t *before = &dispatcher->queue;
  for (list_t *link = dispatcher->queue.prev; link != &dispatcher->queue;
       link = link->prev)
    {
      const exchange_t *other = LIST_ENTRY (link, exchange_t, link);
      if (goes_before (other, exchange))
        break;
      before = link;
    }
  list_remove (&exchange->link);
  list_push_back (before, &exchange->link);
}

queue_forecast_t
dispatcher_queue_forecast (const dispatcher_t *dispatcher,
                           const exchange_t *exchange, usec_t now)
{
  queue_forecast_t forecast = { .waited = now - exchange->received_at,
                                .run = exchange->query.run_time.cached,
                                .target = best_latency (exchange) };
  pool_capacity_t capacity
      = backend_pool_capacity (dispatcher->pool, &exchange->query, now);
  size_t ahead = 0;
  LIST_FOREACH (link, &dispatcher->queue)
  {
    const exchange_t *other = LIST_ENTRY (link, exchange_t, link);
    if (strcmp (other->query.service, exchange->query.service) == 0
        && goes_before (other, exchange))
      ahead++;
  }
  size_t n_routers = dispatcher->snapshot->n_routers;
  double slots
      = (double)capacity.slots / (double)(n_routers > 0 ? n_routers : 1);
  double places = capacity.limited_rate / (double)USEC_PER_SEC; /* a usec */
  if (capacity.mean_latency > 0)
    places += slots / (double)capacity.mean_latency;
  if (places <= 0)
    return forecast;
  double place_time = 1 / places;
  forecast.place_time = (usec_t)place_time;
  forecast.wait = (usec_t)(place_time * (double)(ahead + 1));
  return forecast;
}

usec_t
dispatcher_return_time (dispatcher_t *dispatcher, const exchange_t *exchange,
                        usec_t most, usec_t now)
{
  service_state_t *state = service_state (dispatcher, exchange->query.service);
  queue_forecast_t forecast
      = dispatcher_queue_forecast (dispatcher, exchange, now);
  return queue_wait_return (&state->returns, &forecast, most,
                            &dispatcher->random, now);
}

/* A hash of EXCHANGE's route and client account.  */
static uint64_t
kind_of (const exchange_t *exchange)
{
  uint64_t account = exchange->account ? exchange->account->id : 0;
  const char *route = exchange->route->name.text;
  return XXH3_64bits_withSeed (route, strlen (route), account);
}

/* Whether EXCHANGE, for which no backend server has room, is refused on
   its arrival.  One that may have run could not be told that it has not.  */
static bool
refuses_arrival (dispatcher_t *dispatcher, exchange_t *exchange,
                 const queue_forecast_t *forecast)
{
  return !exchange->may_have_run
         && queue_wait_refuses (&dispatcher->queue_wait, kind_of (exchange),
                                forecast, &exchange->is_exempt);
}

void
dispatcher_send_or_queue (dispatcher_t *dispatcher, exchange_t *exchange,
                          usec_t now)
{
  if (dispatcher_refuse_suspect (dispatcher, exchange, now))
    return;
  if (!ends_in_time (dispatcher, exchange, now))
    {
      dispatcher_refuse (dispatcher, exchange, REASON_STOPPING, now);
      return;
    }
  if (dispatcher_carry (dispatcher, exchange, now)
      || try_send (dispatcher, exchange, now))
    return;
  if (!backend_pool_has_eligible (dispatcher->pool, &exchange->query, now))
    {
      dispatcher_refuse (
          dispatcher, exchange,
          exchange->was_refused ? REASON_REFUSED : REASON_NO_BACKEND, now);
      return;
    }
  usec_t rest_end
      = backend_pool_rest_end (dispatcher->pool, &exchange->query, now);
  if (rest_end > 0
      && rest_end + exchange->query.run_time.uncached >= exchange->deadline)
    {
      dispatcher_refuse (dispatcher, exchange, REASON_RESTING, now);
      return;
    }
  queue_forecast_t forecast
      = dispatcher_queue_forecast (dispatcher, exchange, now);
  if (forecast.wait > exchange->deadline - now)
    {
      dispatcher_refuse (dispatcher, exchange, REASON_OVERLOAD, now);
      return;
    }
  if (forecast.wait > last_deadline (dispatcher) - now)
    {
      dispatcher_refuse (dispatcher, exchange, REASON_STOPPING, now);
      return;
    }
  if (rest_end == 0 && refuses_arrival (dispatcher, exchange, &forecast))
    {
      dispatcher_refuse (dispatcher, exchange, REASON_TOO_LATE, now);
      return;
    }
  enqueue (dispatcher, exchange);
}

/* Whether EXCHANGE, which is queued, gives up its place there: it can't be
   answered before its deadline any more, or not within its target latency, and
   since then one that can got a place.  If none did, it waits on: no other
   request would use its place.  */
static bool
gives_up (dispatcher_t *dispatcher, const exchange_t *exchange, usec_t now)
{
  if (exchange->may_have_run || !is_late (exchange, now)
      || backend_pool_rest_end (dispatcher->pool, &exchange->query, now) > 0)
    return false;
  queue_forecast_t forecast
      = dispatcher_queue_forecast (dispatcher, exchange, now);
  if (!queue_wait_can_end (&forecast, exchange->deadline - now))
    return true;
  if (exchange->is_exempt)
    return false;
  usec_t late_from = exchange->received_at + queue_wait_max (&forecast);
  return now > late_from
         && service_state (dispatcher, exchange->query.service)
                    ->in_time_sent_at
                > late_from;
}

void
dispatcher_serve_queue (dispatcher_t *dispatcher, usec_t now)
{
  LIST_FOREACH (link, &dispatcher->queue)
  {
    exchange_t *exchange = LIST_ENTRY (link, exchange_t, link);
    if (exchange->deadline - now < USEC_PER_MSEC)
      dispatcher_refuse (dispatcher, exchange, REASON_OVERLOAD, now);
    else if (dispatcher_refuse_suspect (dispatcher, exchange, now))
      continue;
    else if (!ends_in_time (dispatcher, exchange, now))
      dispatcher_refuse (dispatcher, exchange, REASON_STOPPING, now);
    else if (!dispatcher_carry (dispatcher, exchange, now)
             && !try_send (dispatcher, exchange, now)
             && gives_up (dispatcher, exchange, now))
      dispatcher_refuse (dispatcher, exchange, REASON_TOO_LATE, now);
  }
}

void
dispatcher_expire_calls (dispatcher_t *dispatcher, usec_t now)
{
  LIST_FOREACH (link, &dispatcher->active)
  {
    exchange_t *exchange = LIST_ENTRY (link, exchange_t, link);
    if (!exchange->call || now < exchange->deadline + RESPONSE_TRAVEL_TIME)
      continue;
    const backend_outcome_t outcome
        = { .result = exchange_awaits_caller (exchange)
                          ? BACKEND_CANCELLED
                          : BACKEND_NO_VALID_ANSWER,
            .latency = now - exchange->sent_at,
            .expected_latency = dispatcher_expected_run_time (exchange) };
    dispatcher_abort (dispatcher, exchange, &outcome, now);
    exchange->may_have_run = true;
    dispatcher_finish (dispatcher, exchange, REASON_TIMEOUT);
  }
}
