/* router_metrics: counters and latency histograms of a router, by service.  */

#ifndef ROUTER_ROUTER_METRICS_H
#define ROUTER_ROUTER_METRICS_H

#include <stdbool.h>

#include "base/metrics.h"
#include "base/time_defs.h"

typedef struct router_metrics router_metrics_t;

enum
{
  BACKENDS_COUNTED_MAX = 256, /* ids come and go; METRICS_MAX is a bound */
  ACCOUNTS_COUNTED_MAX = 100,
};

/* Registers in METRICS, which must outlive the result.  */
router_metrics_t *router_metrics_new (metrics_t *metrics);
void router_metrics_free (router_metrics_t *metrics);

/* Count a request of SERVICE ("" if no route matched) that was finished for
   REASON, and record its LATENCY.  */
void router_metrics_request_ended (router_metrics_t *metrics,
                                   const char *service, const char *reason,
                                   usec_t latency);

/* Count a request of the client account ACCOUNT.  Accounts after the first
   ACCOUNTS_COUNTED_MAX share one counter, "other".  */
void router_metrics_account (router_metrics_t *metrics, const char *account,
                             bool is_within_quota);

/* Count a request that is sent to a backend server of SERVICE.  */
void router_metrics_request_sent (router_metrics_t *metrics,
                                  const char *service, bool is_retry);

/* Count a request for SERVICE that another router is to carry.  */
void router_metrics_request_carried (router_metrics_t *metrics,
                                     const char *service);

/* Count a response of a backend server of SERVICE by its FRAMING ("unknown" if
   its head is not whole) and by how its connection ended.  */
void router_metrics_response_ended (router_metrics_t *metrics,
                                    const char *service, const char *framing,
                                    const char *connection_end);

/* Bytes that belong to no request came from backend server BACKEND_ID, WHERE
   they were seen.  Backend servers after the first BACKENDS_COUNTED_MAX share
   one counter, "other".  */
void router_metrics_extra_bytes (router_metrics_t *metrics,
                                 const char *backend_id, const char *where);

/* The connection to backend server BACKEND_ID that a request was to be sent on
   had carried its id before.  Counted as above.  */
void router_metrics_id_sent_again (router_metrics_t *metrics,
                                   const char *backend_id);

/* A response of backend server BACKEND_ID was not whole.  Counted as
   above.  */
void router_metrics_not_whole (router_metrics_t *metrics,
                               const char *backend_id);

/* A backend server of SERVICE refused a connection.  */
void router_metrics_connection_refused (router_metrics_t *metrics,
                                        const char *service);

/* N requests that were given up on are not remembered any more, for want of
   room (abandoned_runs).  */
void router_metrics_abandoned_dropped (router_metrics_t *metrics, uint64_t n);

/* N datagrams on cold backend servers were sent to other routers.  */
void router_metrics_cold_datagrams_sent (router_metrics_t *metrics, size_t n);

/* One of another router was ignored for REASON.  */
void router_metrics_cold_datagram_ignored (router_metrics_t *metrics,
                                           const char *reason);

/* A backend server of SERVICE that is not cold is limited for SPAN.  */
void router_metrics_needless_limit (router_metrics_t *metrics,
                                    const char *service, usec_t span);

/* N notices of backend servers of SERVICE were not understood.  */
void router_metrics_invalid_notices (router_metrics_t *metrics,
                                     const char *service, size_t n);

#endif
