#include "router/dispatcher_internal.h"

#include <microhttpd.h>
#include <string.h>

#include "base/log.h"

/* EXCHANGE's backend server says that it leaves.  */
static void
note_leaving (dispatcher_t *dispatcher, const char *id, backend_t *backend,
              usec_t now)
{
  if (backend_pool_note_leaving (dispatcher->pool, backend, now))
    LOG_EVENT (LOG_LEVEL_INFO, "backend_leaving", LOG_S ("id", id),
               LOG_S ("backend", backend->record.id),
               LOG_S ("service", backend->record.service.text),
               LOG_U ("in_flight", backend->in_flight));
}

static void
note_rest (dispatcher_t *dispatcher, const exchange_t *exchange, usec_t span,
           usec_t now)
{
  backend_t *backend = exchange->backend;
  if (backend_pool_note_rest (dispatcher->pool, backend, span, now))
    LOG_EVENT (
        LOG_LEVEL_INFO, "backend_resting", LOG_S ("id", exchange->id),
        LOG_S ("backend", backend->record.id),
        LOG_S ("service", backend->record.service.text),
        LOG_I ("rest_ms", span / USEC_PER_MSEC),
        LOG_I ("sent_ms_ago", (now - exchange->sent_at) / USEC_PER_MSEC));
}

/* BACKEND's response to the request ID, sent at SENT_AT, makes STATEMENT.  */
static void
note_limit (dispatcher_t *dispatcher, const char *id, backend_t *backend,
            const limit_statement_t *statement, usec_t sent_at, usec_t now)
{
  const request_limit_t *limit = &backend->notice.limit;
  usec_t heard_at = limit->heard_at;
  if (!backend_pool_note_limit (dispatcher->pool, backend, statement, sent_at,
                                now))
    return;
  LOG_EVENT (LOG_LEVEL_INFO, "backend_limit", LOG_S ("id", id),
             LOG_S ("backend", backend->record.id),
             LOG_S ("service", backend->record.service.text),
             LOG_U ("in_force", limit->is_in_force),
             LOG_F ("requests_a_second", limit->rate),
             LOG_I ("last_heard_ms_ago",
                    heard_at > 0 ? (now - heard_at) / USEC_PER_MSEC : -1));
  dispatcher_hurry_pull (dispatcher, now);
}

void
dispatcher_read_notices (dispatcher_t *dispatcher, const exchange_t *exchange,
                         backend_result_t result,
                         const backend_response_t *response, usec_t now)
{
  bool is_believed = response->is_complete && response->id_matches
                     && result != BACKEND_MISDIRECTED;
  if (response->n_invalid_notices > 0)
    router_metrics_invalid_notices (dispatcher->options.metrics,
                                    exchange->query.service,
                                    response->n_invalid_notices);
  if (!is_believed)
    return;
  backend_t *backend = exchange->backend;
  if (response->is_leaving)
    note_leaving (dispatcher, exchange->id, backend, now);
  note_limit (dispatcher, exchange->id, backend, &response->limit,
              exchange->sent_at, now);
  if (response->status == MHD_HTTP_SERVICE_UNAVAILABLE && response->rest > 0)
    note_rest (dispatcher, exchange, response->rest, now);
  else if (result == BACKEND_ANSWERED
           && backend_pool_note_served (dispatcher->pool, backend,
                                        exchange->sent_at, now))
    LOG_EVENT (LOG_LEVEL_INFO, "backend_rest_ended",
               LOG_S ("id", exchange->id),
               LOG_S ("backend", backend->record.id),
               LOG_I ("ended_ms_ago",
                      (now - backend->notice.rest_until) / USEC_PER_MSEC));
}

void
dispatcher_read_probe_notices (dispatcher_t *dispatcher, backend_t *backend,
                               const backend_response_t *response, usec_t now)
{
  bool is_own = response->is_complete && !response->is_foreign
                && strcmp (response->backend_id, backend->record.id) == 0;
  if (is_own && response->is_leaving)
    note_leaving (dispatcher, "", backend, now);
  if (is_own && response->limit.kind == LIMIT_NAMED)
    note_limit (dispatcher, "", backend, &response->limit, now, now);
  if (is_own && response->status == MHD_HTTP_SERVICE_UNAVAILABLE
      && response->rest > 0)
    backend_pool_note_rest (dispatcher->pool, backend, response->rest, now);
}
