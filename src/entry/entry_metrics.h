/* entry_metrics: an entry VM's metrics and their registry.

   mulberry_request_usec          time to the outcome, for each organisation,
                                  service and class
   mulberry_requests_total        the same by outcome: answer, not-run, unknown
   mulberry_refused_total         requests without an answer, by reason
   mulberry_lookups_total         look-ups answered
   mulberry_bad_requests_total    requests that name no service
   mulberry_sheet_number          number of the sheet in force
   mulberry_sheet_since_seconds   when it was applied, in seconds since 1970

   Thread-safe.  */

#ifndef ENTRY_ENTRY_METRICS_H
#define ENTRY_ENTRY_METRICS_H

#include "base/metrics.h"
#include "entry/exchange.h"

typedef struct entry_metrics entry_metrics_t;

/* NULL with ERR set on an error.  TOPOLOGY is not kept.  */
entry_metrics_t *entry_metrics_new (const topology_t *topology, err_t *err);

void entry_metrics_free (entry_metrics_t *metrics);

/* The registry, for the metrics page; owned by METRICS.  */
metrics_t *entry_metrics_registry (entry_metrics_t *metrics);

/* The gauge of the sheet's number, which is 0 until a sheet is in force.  */
const gauge_t *entry_metrics_sheet_number (const entry_metrics_t *metrics);

/* Count an answered look-up.  */
void entry_metrics_count_lookup (entry_metrics_t *metrics);

/* Record the outcome of EXCHANGE, which came DURATION after its
   arrival.  */
void entry_metrics_record_outcome (entry_metrics_t *metrics,
                                   const exchange_t *exchange,
                                   usec_t duration);

/* Record that the sheet NUMBER is in force from now on.  */
void entry_metrics_set_sheet (entry_metrics_t *metrics, uint64_t number);

#endif
