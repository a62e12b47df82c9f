/* thread: the thread that carries requests, with its ports.  */

#ifndef ROUTER_TRAFFIC_THREAD_H
#define ROUTER_TRAFFIC_THREAD_H

#include "base/metrics.h"
#include "settings/settings_feed.h"
#include "wire/rpc.h"

typedef struct traffic_thread traffic_thread_t;

typedef struct traffic_thread_options
{
  settings_feed_t *feed;
  rpc_t *rpc; /* started */
  metrics_t *metrics;
  uint64_t incarnation;
} traffic_thread_options_t;

/* NULL with ERR_IO.  */
traffic_thread_t *
traffic_thread_start (const traffic_thread_options_t *options, err_t *err);

/* Let callers go elsewhere, end what is under way, and join the thread.  */
void traffic_thread_stop (traffic_thread_t *thread);

/* After rpc_close.  */
void traffic_thread_free (traffic_thread_t *thread);

#endif
