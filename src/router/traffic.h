/* traffic: the thread that carries requests, with its ports.  */

#ifndef ROUTER_TRAFFIC_H
#define ROUTER_TRAFFIC_H

#include "base/metrics.h"
#include "settings/settings_feed.h"
#include "wire/rpc.h"

typedef struct traffic traffic_t;

typedef struct traffic_options
{
  settings_feed_t *feed;
  rpc_t *rpc; /* started */
  metrics_t *metrics;
  uint64_t incarnation;
} traffic_options_t;

/* NULL with ERR_IO.  */
traffic_t *traffic_start (const traffic_options_t *options, err_t *err);

/* Let callers go elsewhere, end what is under way, and join the thread.  */
void traffic_stop (traffic_t *traffic);

/* After rpc_close.  */
void traffic_free (traffic_t *traffic);

#endif
