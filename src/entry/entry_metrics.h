/* entry_metrics: what an entry VM counts, and its metrics page's registry.

   mulberry_request_usec          time to the outcome, for each organisation,
                                  service and class
   mulberry_requests_total        the same by outcome: answer, not-run, unknown
   mulberry_refused_total         requests without an answer, by reason
   mulberry_lookups_total         look-ups answered
   mulberry_bad_requests_total    requests that name no service
   mulberry_sheet_number,         of the sheet in force; since when, in
   mulberry_sheet_since_seconds   seconds since 1970

   Any thread may call any of these.  */

#ifndef ENTRY_ENTRY_METRICS_H
#define ENTRY_ENTRY_METRICS_H

#include "base/metrics.h"
#include "entry/exchange.h"

typedef struct entry_metrics entry_metrics_t;

/* NULL on an error.  TOPOLOGY is only read here.  */
entry_metrics_t *entry_metrics_new (const topology_t *topology, err_t *err);

void entry_metrics_free (entry_metrics_t *metrics);

metrics_t *entry_metrics_registry (entry_metrics_t *metrics);

/* 0 until a sheet is in force.  */
const gauge_t *entry_metrics_sheet_number (const entry_metrics_t *metrics);

void entry_metrics_count_lookup (entry_metrics_t *metrics);

/* EXCHANGE got its outcome TOOK after it began.  */
void entry_metrics_record_outcome (entry_metrics_t *metrics,
                                   const exchange_t *exchange, usec_t took);

/* The sheet NUMBER is in force from now on.  */
void entry_metrics_set_sheet (entry_metrics_t *metrics, uint64_t number);

#endif
