/* dispatcher_internal: what the parts of the dispatcher share.  */

#ifndef ROUTER_DISPATCHER_INTERNAL_H
#define ROUTER_DISPATCHER_INTERNAL_H

#include "balance/retry_share.h"
#include "router/dispatcher.h"
#include "routing/route_split.h"

enum
{
  SERVICES_MAX = 64,
};

/* A backend server stops at the deadline that it was told; its own answer
   then needs the way back.  */
#define RESPONSE_TRAVEL_TIME (60 * USEC_PER_MSEC)
/* A connection across regions takes 40 ms; a lost packet is sent again after
   200 ms.  */
#define CONNECT_TIMEOUT (400 * USEC_PER_MSEC)

/* Per service, over all configurations.  */
typedef struct service_state
{
  name_t name;
  retry_share_t retries;
} service_state_t;

struct dispatcher
{
  dispatcher_options_t options;
  backend_http_t *backends;
  backend_pool_t *pool;
  caller_http_t *port;
  fleet_snapshot_t *snapshot;
  list_t queue;  /* of exchanges, in the order of their turn */
  list_t active; /* of exchanges */
  size_t n_exchanges;
  size_t n_services;
  service_state_t services[SERVICES_MAX];
  route_split_t *split; /* of the configuration in force */
  run_estimate_t run_estimates;
  bool refuses_new; /* new requests */
};

/* dispatcher_finish.c */
/* Tell the caller of EXCHANGE what became of it.  */
void dispatcher_finish (dispatcher_t *dispatcher, exchange_t *exchange,
                        exchange_reason_t reason);
/* As REASON, "not run", where nothing can have started it; else as unknown. */
void dispatcher_refuse (dispatcher_t *dispatcher, exchange_t *exchange,
                        exchange_reason_t reason, usec_t now);

/* Give up EXCHANGE's call, which ended as OUTCOME for its backend server.  */
void dispatcher_abort (dispatcher_t *dispatcher, exchange_t *exchange,
                       const backend_outcome_t *outcome, usec_t now);

/* dispatcher_send_or_queue.c */
/* The retries that may be sent for EXCHANGE's service.  */
retry_share_t *dispatcher_retry_budget (dispatcher_t *dispatcher,
                                        const exchange_t *exchange);
/* Send EXCHANGE, let it wait, or refuse it.  */
void dispatcher_send_or_queue (dispatcher_t *dispatcher, exchange_t *exchange,
                               usec_t now);
/* How long a request that comes now would wait for its turn.  */
usec_t dispatcher_expected_queue_wait (const dispatcher_t *dispatcher,
                                       const exchange_t *exchange);
/* Send those that wait, where there is room, and refuse those whose time is
   over.  */
void dispatcher_serve_queue (dispatcher_t *dispatcher, usec_t now);
/* End what a backend server has for longer than it may.  */
void dispatcher_expire_calls (dispatcher_t *dispatcher, usec_t now);

/* dispatcher_call_ended.c */
/* The call of EXCHANGE has ended.  */
void dispatcher_call_ended (dispatcher_t *dispatcher, exchange_t *exchange,
                            backend_response_t *response);
/* How long EXCHANGE was expected to run where it is; 0 where it had to wait
   there.  */
usec_t dispatcher_expected_run_time (const exchange_t *exchange);

/* dispatcher_send_probes.c */
/* Ask backend servers that are down for their health, where it is time.  */
void dispatcher_send_probes (dispatcher_t *dispatcher, usec_t now);
void dispatcher_probe_ended (dispatcher_t *dispatcher, backend_t *backend,
                             const backend_response_t *response);

#endif
