/* Requests of a router that reaches no backend server, which another router
   carries.

   Load pattern: some routers lose their links to all backend servers; callers
   go on connecting to them, as they keep look-ups and connections.  The other
   router gets the request as from a caller, with a field that says that it
   must not be passed on once more, and how many backend servers may still get
   it.  It counts it against the account's quota and the retry budget.  */

#include "router/dispatcher_internal.h"

#include <microhttpd.h>
#include <string.h>
#include <strings.h>
#include <xxhash.h>

#include "base/clock.h"
#include "base/log.h"
#include "router/carry_headers.h"
#include "router/request_headers.h"

enum
{
  CARRIERS_MAX = 3, /* that one request is sent to */
};

static const pool_router_t *
choose (dispatcher_t *dispatcher, const exchange_t *exchange, usec_t now)
{
  const fleet_settings_t *settings = dispatcher->options.settings;
  const fleet_snapshot_t *snapshot = dispatcher->snapshot;
  const carrier_query_t query = { .routers = snapshot->routers,
                                  .n_routers = snapshot->n_routers,
                                  .self = settings->requests.address,
                                  .region = settings->region.text,
                                  .route = exchange->route,
                                  .account = exchange->account };
  return carrier_choose (&dispatcher->carriers, &query, &dispatcher->random,
                         now);
}

/* The other router counts it.  */
static void
leave_quota (dispatcher_t *dispatcher, exchange_t *exchange)
{
  if (exchange->is_in_quota)
    limiter_give_back (&dispatcher->limiter, exchange->account);
  exchange->is_in_quota = false;
}

/* Connections to routers and to backend servers are told apart by it.  */
static uint64_t
boot_of (const pool_router_t *router)
{
  return XXH3_64bits (&router->address, sizeof router->address);
}

/* Of the route's attempts; at least one, or it would not be sent again.  */
static uint32_t
attempts_left (const exchange_t *exchange)
{
  uint32_t max = exchange->route->max_attempts;
  return max > exchange->n_transmitted ? max - exchange->n_transmitted : 1;
}

static void
send_to (dispatcher_t *dispatcher, exchange_t *exchange,
         const pool_router_t *router, usec_t now)
{
  char address[INET_TEXT_BYTES];
  list_remove (&exchange->link);
  list_push_back (&dispatcher->active, &exchange->link);
  leave_quota (dispatcher, exchange);
  dispatcher_bound_deadline (dispatcher, exchange);
  exchange->carrier = router->address;
  exchange->n_carriers++;
  exchange->sent_at = now;
  exchange->owner.exchange = exchange;
  exchange->owner.boot = boot_of (router);
  const backend_request_t request
      = { .address = { .address = router->address, .port = router->port },
          .boot = exchange->owner.boot,
          .method = exchange->method,
          .target = exchange->target,
          .id = exchange->id,
          .headers
          = request_headers_carry (exchange, attempts_left (exchange), now),
          .body = exchange->body,
          .body_bytes = exchange->body_bytes,
          .stream = exchange->stream,
          .timeout = exchange->deadline - now + RESPONSE_TRAVEL_TIME,
          .connect_timeout = CONNECT_TIMEOUT,
          .owner = &exchange->owner };
  exchange->call = backend_http_call (dispatcher->backends, &request);
  router_metrics_request_carried (dispatcher->options.metrics,
                                  exchange->query.service);
  inet_format_address (router->address, address);
  LOG_EVENT (LOG_LEVEL_INFO, "request_carried", LOG_S ("id", exchange->id),
             LOG_S ("router", address), LOG_U ("try", exchange->n_carriers),
             LOG_I ("left_ms", (exchange->deadline - now) / USEC_PER_MSEC));
}

bool
dispatcher_carry (dispatcher_t *dispatcher, exchange_t *exchange, usec_t now)
{
  if (dispatcher->reach.state != REACH_NONE)
    return false;
  if (exchange->carried_attempts > 0)
    {
      dispatcher_refuse (dispatcher, exchange, REASON_CUT_OFF, now);
      return true;
    }
  const pool_router_t *router = choose (dispatcher, exchange, now);
  if (!router && exchange->n_carriers == 0)
    return false; /* as far as is known no router reaches any */
  if (!router || exchange->n_carriers == CARRIERS_MAX
      || exchange->deadline - now < USEC_PER_MSEC)
    dispatcher_refuse (dispatcher, exchange, REASON_NO_BACKEND, now);
  else
    send_to (dispatcher, exchange, router, now);
  return true;
}

/* Whether the other router says that it reaches no backend server either.  */
static bool
is_cut_off (const backend_response_t *response)
{
  if (response->status != MHD_HTTP_SERVICE_UNAVAILABLE)
    return false;
  for (size_t i = 0; i < response->n_headers; i++)
    if (strcasecmp (response->headers[i].name, HEADER_CUT_OFF) == 0)
      return true;
  return false;
}

/* The other router may have sent the request on.  */
static void
broke_off (dispatcher_t *dispatcher, exchange_t *exchange, bool timed_out,
           usec_t now)
{
  exchange->may_have_run = true;
  if (timed_out)
    dispatcher_finish (dispatcher, exchange, REASON_TIMEOUT);
  else if (exchange->route->is_idempotent && !exchange->body_is_released
           && retry_share_take (
               dispatcher_retry_budget (dispatcher, exchange)))
    dispatcher_send_or_queue (dispatcher, exchange, now);
  else
    dispatcher_refuse (dispatcher, exchange, REASON_BROKE_OFF, now);
}

/* The other router has taken the request.  Its own rejections are promises,
   unlike those of backend servers, which it passes on only where they state
   that the request has not run; they tell nothing of earlier attempts.  */
static void
take_response (dispatcher_t *dispatcher, exchange_t *exchange,
               backend_response_t *response, usec_t now)
{
  answer_facts_t facts = dispatcher_response_facts (response);
  switch (answer_classify (&facts))
    {
    case BACKEND_ANSWERED:
    case BACKEND_SERVER_ERROR:
      dispatcher_forward_response (dispatcher, exchange, response);
      return;
    case BACKEND_REFUSED:
    case BACKEND_DOUBTFUL_REFUSAL:
    case BACKEND_MISDIRECTED:
      if (exchange->may_have_run)
        dispatcher_refuse (dispatcher, exchange, REASON_REFUSED, now);
      else
        dispatcher_forward_response (dispatcher, exchange, response);
      return;
    case BACKEND_NO_VALID_ANSWER:
    case BACKEND_OTHER_ANSWER:
    case BACKEND_CANCELLED:
      break;
    }
  broke_off (dispatcher, exchange, response->timed_out, now);
}

void
dispatcher_carry_ended (dispatcher_t *dispatcher, exchange_t *exchange,
                        backend_response_t *response)
{
  char address[INET_TEXT_BYTES];
  usec_t now = clock_monotonic ();
  uint32_t carrier = exchange->carrier;
  exchange->call = NULL;
  exchange->carrier = 0;
  inet_format_address (carrier, address);
  LOG_EVENT (LOG_LEVEL_INFO, "carrier_answered", LOG_S ("id", exchange->id),
             LOG_S ("router", address), LOG_U ("status", response->status),
             LOG_U ("whole", response->is_complete),
             LOG_U ("sent", response->may_have_reached),
             LOG_S ("error", response->is_complete ? "" : response->error),
             LOG_I ("usec", now - exchange->sent_at));
  bool was_not_taken = !response->may_have_reached || is_cut_off (response);
  if (was_not_taken)
    carrier_avoid (&dispatcher->carriers, carrier, now);
  if (was_not_taken && !exchange->body_is_released)
    dispatcher_send_or_queue (dispatcher, exchange, now);
  else
    take_response (dispatcher, exchange, response, now);
}
