/* dispatcher: decides for each request whether it is refused, queued, sent to
   a backend server, retried or answered.  It applies the decisions of
   `balance`, using backend_http and caller_http.  All functions are called
   from the traffic thread.  */

#ifndef ROUTER_DISPATCHER_H
#define ROUTER_DISPATCHER_H

#include "router/caller_http.h"
#include "router/director_sync.h"
#include "router/router_metrics.h"

typedef struct dispatcher dispatcher_t;

typedef struct dispatcher_options
{
  const fleet_settings_t *settings; /* used until dispatcher_set_settings */
  poller_t *poller;
  director_sync_t *sync;
  router_metrics_t *metrics;
  body_budget_t *budget;
  uint64_t seed; /* of the random choices between backend servers */
} dispatcher_options_t;

dispatcher_t *dispatcher_new (const dispatcher_options_t *options);
void dispatcher_free (dispatcher_t *dispatcher);

/* EXCHANGE's request was received completely, or as far as it has to be
   (caller_http_options_t).  */
void dispatcher_request (dispatcher_t *dispatcher, exchange_t *exchange);

/* More of the body is in EXCHANGE's stream.  */
void dispatcher_body_arrived (dispatcher_t *dispatcher, exchange_t *exchange);

/* Whether EXCHANGE's request may run more than once, by its route; true also
   if it has none, since it is refused then.  */
bool dispatcher_is_idempotent (const dispatcher_t *dispatcher,
                               const exchange_t *exchange);

/* EXCHANGE's caller has closed its connection: abort its call, if any, and
   finish EXCHANGE.  */
void dispatcher_caller_gone (dispatcher_t *dispatcher, exchange_t *exchange);

/* Apply SETTINGS, which must stay valid until the next call.  */
void dispatcher_set_settings (dispatcher_t *dispatcher,
                              const fleet_settings_t *settings);

/* Apply the newest snapshot of director_sync.  */
void dispatcher_update_snapshot (dispatcher_t *dispatcher);

/* Handle the events READY (POLLER_* bits) on a connection to a backend
   server.  */
void dispatcher_socket_ready (dispatcher_t *dispatcher, watch_t *watch,
                              unsigned int ready);

/* Do the work that is due at NOW.  Returns the time until the next call is
   due.  */
usec_t dispatcher_tick (dispatcher_t *dispatcher, usec_t now);

/* The cold backend servers that this router has seen.  */
const cold_table_t *dispatcher_seen_colds (const dispatcher_t *dispatcher);

/* Another router told the N REPORTS of cold backend servers.  */
void dispatcher_hear_colds (dispatcher_t *dispatcher,
                            const cold_report_t *reports, size_t n,
                            usec_t now);

/* How long callers may leave their connections idle, by the configuration; 0:
   not known.  */
usec_t dispatcher_idle_timeout (const dispatcher_t *dispatcher);

/* The longest body of a request, in bytes, by the configuration; 0: it names
   none.  UINT64_MAX without a configuration: requests are refused for that. */
uint64_t dispatcher_max_body (const dispatcher_t *dispatcher);

/* Whether the router can serve requests: it has a configuration and backend
   servers, and its snapshot is settled (see director_sync.h).  */
bool dispatcher_is_ready (const dispatcher_t *dispatcher, usec_t now);

/* The process is shutting down since STARTED_AT (monotonic): from now on
   refuse each request that can't end before the process does, new, queued or
   to be retried, and let no backend server work for longer.  */
void dispatcher_begin_shutdown (dispatcher_t *dispatcher, usec_t started_at);

/* Finish every request now, before the process exits: one that was sent to a
   backend server with REASON_BROKE_OFF, since its outcome is unknown; one that
   is queued with REASON_STOPPING, unless an earlier attempt may have run.
   Those that come later are refused.  */
void dispatcher_finish_all (dispatcher_t *dispatcher);

#endif
