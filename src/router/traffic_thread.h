/* traffic_thread: the thread that forwards requests.  It owns the ports, the
   dispatcher and the synchronisation with the directors.  */

#ifndef ROUTER_TRAFFIC_THREAD_H
#define ROUTER_TRAFFIC_THREAD_H

#include "base/metrics.h"
#include "settings/settings_feed.h"
#include "wire/rpc.h"

typedef struct traffic_thread traffic_thread_t;

typedef struct traffic_thread_options
{
  settings_feed_t *feed;
  rpc_t *rpc; /* already started by rpc_start */
  metrics_t *metrics;
  uint64_t incarnation;
  const unsigned char *key; /* of messages between VMs; RPC_KEY_BYTES */
} traffic_thread_options_t;

/* Open the ports and start the thread.  Returns NULL with ERR_IO.  */
traffic_thread_t *
traffic_thread_start (const traffic_thread_options_t *options, err_t *err);

/* Shut down gracefully, as in shutdown_phase.h, and join the thread.  Blocks
   for up to the grace period of the settings.  */
void traffic_thread_stop (traffic_thread_t *thread);

/* To be called after rpc_close, since the RPC thread calls director_sync.  */
void traffic_thread_free (traffic_thread_t *thread);

#endif
