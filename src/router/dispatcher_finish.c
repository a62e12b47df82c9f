#include "router/dispatcher_internal.h"

#include "base/clock.h"
#include "base/log.h"
#include "router/response_head.h"

/* The longest Retry-After for a caller that sent no deadline.  */
#define RETURN_MAX (2 * USEC_PER_SEC)

static void
log_ended (const exchange_t *exchange, usec_t now)
{
  unsigned int status = exchange->reason == REASON_NONE
                            ? exchange->response.status
                            : exchange_reason_status (exchange->reason);
  LOG_EVENT (
      LOG_LEVEL_INFO, "request_ended", LOG_S ("id", exchange->id),
      LOG_S ("outcome", exchange_reason_name (exchange->reason)),
      LOG_U ("status", status), LOG_U ("may_have_run", exchange->may_have_run),
      LOG_S ("framing", response_framing_label (exchange)),
      LOG_U ("body_bytes", exchange->response.body_bytes),
      LOG_S ("route", exchange->route ? exchange->route->name.text : ""),
      LOG_S ("service",
             exchange->query.service ? exchange->query.service : ""),
      LOG_S ("account", exchange->account ? exchange->account->name.text : ""),
      LOG_S ("backend", exchange->last_backend_id),
      LOG_U ("version", exchange->snapshot && exchange->snapshot->config
                            ? exchange->snapshot->config->version
                            : 0),
      LOG_U ("sent", exchange->n_transmitted),
      LOG_U ("tries", exchange->n_attempts),
      LOG_U ("carriers", exchange->n_carriers),
      LOG_I ("usec", now - exchange->received_at),
      LOG_I ("left_ms", (exchange->deadline - now) / USEC_PER_MSEC),
      LOG_I ("retry_after_ms", exchange->retry_after / USEC_PER_MSEC));
}

void
dispatcher_finish (dispatcher_t *dispatcher, exchange_t *exchange,
                   exchange_reason_t reason)
{
  usec_t now = clock_monotonic ();
  exchange->reason = reason;
  dispatcher_settle_quota (dispatcher, exchange, reason);
  log_ended (exchange, now);
  router_metrics_request_ended (
      dispatcher->options.metrics,
      exchange->query.service ? exchange->query.service : "",
      exchange_reason_name (reason), now - exchange->received_at);
  list_remove (&exchange->link);
  caller_http_finish (exchange);
}

void
dispatcher_release_backend (dispatcher_t *dispatcher, exchange_t *exchange,
                            const backend_outcome_t *outcome, usec_t now)
{
  backend_t *backend = exchange->backend;
  exchange->backend = NULL;
  backend_pool_request_ended (dispatcher->pool, backend, outcome, now);
}

void
dispatcher_abort (dispatcher_t *dispatcher, exchange_t *exchange,
                  const backend_outcome_t *outcome, usec_t now)
{
  bool was_sent = backend_http_abort (dispatcher->backends, exchange->call);
  exchange->call = NULL;
  if (exchange->carrier != 0)
    {
      exchange->carrier = 0;
      return;
    }
  if (was_sent)
    dispatcher_abandon_run (dispatcher, exchange, now);
  dispatcher_release_backend (dispatcher, exchange, outcome, now);
}

/* The Retry-After of a refused request: the time until a backend server wants
   requests again, if all rest; otherwise the time until the queue has room,
   within a quarter of the time until the caller's deadline.  Another router
   may have room at once where others share a limit.  */
static usec_t
retry_after (dispatcher_t *dispatcher, const exchange_t *exchange, usec_t now)
{
  pool_query_t query = exchange->query;
  query.n_excluded = 0; /* those that refused it included */
  usec_t rest_end = backend_pool_rest_end (dispatcher->pool, &query, now);
  if (rest_end > 0
      && !backend_pool_is_shared_by_others (dispatcher->pool, &query, now))
    return rest_end - now;
  usec_t wait_max = exchange->caller_deadline > 0
                        ? (exchange->caller_deadline - now) / 4
                        : RETURN_MAX;
  return dispatcher_return_time (dispatcher, exchange, wait_max, now);
}

void
dispatcher_refuse (dispatcher_t *dispatcher, exchange_t *exchange,
                   exchange_reason_t reason, usec_t now)
{
  if (!exchange->may_have_run && exchange->snapshot->config && exchange->route)
    exchange->retry_after = retry_after (dispatcher, exchange, now);
  dispatcher_finish (dispatcher, exchange,
                     exchange->may_have_run ? REASON_BROKE_OFF : reason);
}
