/* rpc_metrics: the RPC layer's counters on the metrics page.  */

#ifndef WIRE_RPC_METRICS_H
#define WIRE_RPC_METRICS_H

#include "base/metrics.h"
#include "wire/rpc.h"

/* Show RPC's counters in METRICS as mulberry_rpc_..._total; RPC outlives the
   registry's use.  */
bool rpc_metrics_register (const rpc_t *rpc, metrics_t *metrics, err_t *err);

#endif
