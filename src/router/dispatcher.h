/* dispatcher: what becomes of each request: refused, waiting, sent, sent
   again, answered.  It carries out the decisions of `balance` with the ports
   of this folder; all calls come from the traffic thread.  */

#ifndef ROUTER_DISPATCHER_H
#define ROUTER_DISPATCHER_H

#include "router/caller_http.h"
#include "router/director_sync.h"
#include "router/router_metrics.h"

typedef struct dispatcher dispatcher_t;

typedef struct dispatcher_options
{
  const fleet_settings_t *settings; /* until others are set */
  poller_t *poller;
  director_sync_t *sync;
  router_metrics_t *metrics;
  uint64_t seed;
} dispatcher_options_t;

dispatcher_t *dispatcher_new (const dispatcher_options_t *options);
void dispatcher_free (dispatcher_t *dispatcher);

/* PORT hands over requests and takes the answers.  */
void dispatcher_set_port (dispatcher_t *dispatcher, caller_http_t *port);

/* A whole request of a caller.  */
void dispatcher_request (dispatcher_t *dispatcher, exchange_t *exchange);

/* The caller of EXCHANGE has left.  */
void dispatcher_caller_gone (dispatcher_t *dispatcher, exchange_t *exchange);

/* Follow other SETTINGS, which are used until the next ones.  */
void dispatcher_set_settings (dispatcher_t *dispatcher,
                              const fleet_settings_t *settings);

/* The directors told something new.  */
void dispatcher_update_snapshot (dispatcher_t *dispatcher);

/* A watched connection to a backend server is ready.  */
void dispatcher_socket_ready (dispatcher_t *dispatcher, watch_t *watch,
                              unsigned int ready);

/* Do what is due; afterwards nothing is due for the returned span.  */
usec_t dispatcher_tick (dispatcher_t *dispatcher, usec_t now);

/* Whether requests can be served.  */
bool dispatcher_is_ready (const dispatcher_t *dispatcher, usec_t now);

/* From now on refuse every new request; the process is about to end.  */
void dispatcher_refuse_new (dispatcher_t *dispatcher);

/* End every request now, as the process does: one that is at a backend server
   as unknown, one that waits as not run.  */
void dispatcher_finish_all (dispatcher_t *dispatcher);

/* Requests that have not ended.  */
size_t dispatcher_n_exchanges (const dispatcher_t *dispatcher);

#endif
