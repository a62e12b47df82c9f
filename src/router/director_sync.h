/* sync: following the directors.

   Every DIRECTOR_SYNC_INTERVAL a router tells a director of itself and asks
   for what is new.  It asks one of its own failure domain first, and another
   one when that one does not answer or has not heard from the others for a
   while.  What it was told never goes back: a configuration gives way to
   higher versions only, evacuations to later ones.  All calls come from one
   thread, but for the answers, which come on the RPC thread.  */

#ifndef ROUTER_DIRECTOR_SYNC_H
#define ROUTER_DIRECTOR_SYNC_H

#include "router/fleet_snapshot.h"
#include "settings/fleet_settings.h"
#include "wire/rpc.h"

typedef struct sync director_sync_t;

typedef struct director_sync_options
{
  const fleet_settings_t *settings; /* until others are set */
  rpc_t *rpc;
  uint64_t incarnation;
  void *closure;
  void (*snapshot_changed) (
      void *closure); /* a new snapshot; called on the RPC thread */
} director_sync_options_t;

#define DIRECTOR_SYNC_INTERVAL (400 * USEC_PER_MSEC)

director_sync_t *director_sync_new (const director_sync_options_t *options);
/* After rpc_close.  */
void director_sync_free (director_sync_t *sync);

/* Follow other SETTINGS, which are used until the next ones.  */
void director_sync_set_settings (director_sync_t *sync,
                                 const fleet_settings_t *settings);

/* Ask, where it is time to.  */
void director_sync_tick (director_sync_t *sync, usec_t now);

/* When director_sync_tick is due next.  */
usec_t director_sync_next_pull (director_sync_t *sync);

/* Whether callers may be sent here; told with the next question, which is
   asked soon.  */
void director_sync_set_takes_requests (director_sync_t *sync,
                                       bool takes_requests);

/* The newest snapshot; a reference for the caller.  */
fleet_snapshot_t *director_sync_snapshot (director_sync_t *sync);

/* Whether the snapshot may be acted on: it was the newest at some time since
   this process started, or nobody who could say so was reached for long.  */
bool director_sync_is_settled (director_sync_t *sync, usec_t now);

#endif
