/* rpc_metrics: exports the counters of the RPC layer as metrics.  */

#ifndef WIRE_RPC_METRICS_H
#define WIRE_RPC_METRICS_H

#include "base/metrics.h"
#include "wire/rpc.h"

/* Register RPC's counters in METRICS as mulberry_rpc_..._total.  RPC must
   outlive the last use of METRICS.  */
bool rpc_metrics_register (const rpc_t *rpc, metrics_t *metrics, err_t *err);

#endif
