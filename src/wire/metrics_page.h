/* metrics_page: a process's page for monitoring, over HTTP.

   GET /metrics   all counters and histograms, in the text form of
                  base/metrics.h
   GET /health    200 "ok", or 503 and what is wrong

   Everything else is answered with 404 or 405 and counted in
   mulberry_metrics_refused_total.  The page only reads and asks for no
   credential, so bind it to an address that operators alone can reach.  It
   runs in a thread of its own.  */

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
  uint16_t port;       /* 0: any free one */
  metrics_t *metrics;  /* outlives the page */
  /* Where not NULL: while it is 0, /health tells NOT_READY.  */
  const gauge_t *ready;
  const char *not_ready;
} metrics_page_options_t;

/* Start the page.  NULL with ERR_SETTINGS or ERR_IO where the address can't be
   used.  Healthy until metrics_page_set_health says otherwise, but for READY.
 */
metrics_page_t *metrics_page_start (const metrics_page_options_t *options,
                                    err_t *err);

/* The port that it listens on.  */
uint16_t metrics_page_port (const metrics_page_t *page);

/* PROBLEM is what /health reports (it is copied); NULL: all is well.  Any
   thread may call it.  */
void metrics_page_set_health (metrics_page_t *page, const char *problem);

void metrics_page_stop (metrics_page_t *page);

#endif
