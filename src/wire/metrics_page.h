/* metrics_page: the HTTP endpoint of a process for monitoring.

   GET /metrics   all counters and histograms, in the text form of
                  base/metrics.h
   GET /health    200 "ok", or 503 with the problem

   Everything else is answered with 404 or 405 and counted in
   mulberry_metrics_refused_total.  The endpoint is read-only and requires no
   credential, so bind it to an address that only operators can reach.  It is
   served by a thread of its own.  */

#ifndef WIRE_METRICS_PAGE_H
#define WIRE_METRICS_PAGE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"
#include "base/metrics.h"

typedef struct metrics_page metrics_page_t;

typedef struct metrics_page_options
{
  const char *address; /* dotted IPv4 */
  uint16_t port;       /* 0: any free port */
  metrics_t *metrics;  /* must outlive the page */
  /* If not NULL: while the gauge is 0, /health reports NOT_READY.  */
  const gauge_t *ready;
  const char *not_ready;
} metrics_page_options_t;

/* Start the endpoint.  NULL with ERR_SETTINGS if the address is not dotted
   IPv4, ERR_IO if it can't be bound, or the error of the metrics registry.
   Until metrics_page_set_health is called, /health depends on READY alone.  */
metrics_page_t *metrics_page_start (const metrics_page_options_t *options,
                                    err_t *err);

/* The port that the endpoint listens on.  */
uint16_t metrics_page_port (const metrics_page_t *page);

/* Make /health report PROBLEM, which is copied; NULL: no problem.
   Thread-safe.  */
void metrics_page_set_health (metrics_page_t *page, const char *problem);

void metrics_page_stop (metrics_page_t *page);

#endif
