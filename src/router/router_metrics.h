/* router_metrics: counters and latency histograms of a router, by service.  */

#ifndef ROUTER_ROUTER_METRICS_H
#define ROUTER_ROUTER_METRICS_H

#include "base/metrics.h"
#include "base/time_defs.h"

typedef struct router_metrics router_metrics_t;

/* Registers in METRICS, which outlives it.  */
router_metrics_t *router_metrics_new (metrics_t *metrics);
void router_metrics_free (router_metrics_t *metrics);

/* One request of SERVICE ("" where no route was found) ended as REASON after
   LATENCY.  */
void router_metrics_request_ended (router_metrics_t *metrics,
                                   const char *service, const char *reason,
                                   usec_t latency);

/* A request was sent to a backend server of SERVICE; AGAIN: not for the first
   time.  */
void router_metrics_request_sent (router_metrics_t *metrics,
                                  const char *service, bool is_retry);

#endif
