/* sync: following the directors.

   Every SYNC_INTERVAL a router tells a director of itself and asks for what is
   new.  It asks one of its own failure domain first, and another one when that
   one does not answer or has not heard from the others for a while.  What it
   was told never goes back: a configuration gives way to higher versions only,
   evacuations to later ones.  All calls come from one thread, but for the
   answers, which come on the RPC thread.  */

#ifndef ROUTER_SYNC_H
#define ROUTER_SYNC_H

#include "router/view.h"
#include "settings/fleet_settings.h"
#include "wire/rpc.h"

typedef struct sync sync_t;

typedef struct sync_options
{
  const fleet_settings_t *settings; /* until others are set */
  rpc_t *rpc;
  uint64_t incarnation;
  void *closure;
  void (*changed) (void *closure); /* a new view; called on the RPC thread */
} sync_options_t;

#define SYNC_INTERVAL (400 * USEC_PER_MSEC)

sync_t *sync_new (const sync_options_t *options);
/* After rpc_close.  */
void sync_free (sync_t *sync);

/* Follow other SETTINGS, which are used until the next ones.  */
void sync_set_settings (sync_t *sync, const fleet_settings_t *settings);

/* Ask, where it is time to.  */
void sync_tick (sync_t *sync, usec_t now);

/* When sync_tick is due next.  */
usec_t sync_due (sync_t *sync);

/* Whether callers may be sent here; told with the next question, which is
   asked soon.  */
void sync_set_takes_requests (sync_t *sync, bool takes_requests);

/* The newest view; a reference for the caller.  */
view_t *sync_view (sync_t *sync);

/* Whether the view may be acted on: it was the newest at some time since this
   process started, or nobody who could say so was reached for long.  */
bool sync_is_settled (sync_t *sync, usec_t now);

#endif
