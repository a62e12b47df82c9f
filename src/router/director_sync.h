/* director_sync: pulls the fleet's state from the directors.

   Every DIRECTOR_SYNC_INTERVAL a router announces itself to a director and
   pulls what has changed there.  It asks each director once, and then the one
   with the shortest round trip, which is normally in its own failure domain.
   A director that does not answer, or whose state was not confirmed by the
   leader recently, is avoided for a while.  The state never goes back: a
   configuration is replaced by higher versions only, evacuations by later ones
   only.

   All functions are called from one thread; the results of pulls arrive on
   the RPC thread.  */

#ifndef ROUTER_DIRECTOR_SYNC_H
#define ROUTER_DIRECTOR_SYNC_H

#include "fleet/cold_spread.h"
#include "load/load_table.h"
#include "quota/limiter.h"
#include "router/fleet_snapshot.h"
#include "settings/fleet_settings.h"
#include "wire/rpc.h"

typedef struct director_sync director_sync_t;

typedef struct director_sync_options
{
  const fleet_settings_t *settings; /* used until director_sync_set_settings */
  rpc_t *rpc;
  uint64_t incarnation;
  void *closure;
  /* There is a new snapshot, or the snapshot is settled now.  Called on the
     RPC thread.  */
  void (*snapshot_changed) (void *closure);
} director_sync_options_t;

#define DIRECTOR_SYNC_INTERVAL (400 * USEC_PER_MSEC)

director_sync_t *director_sync_new (const director_sync_options_t *options);
/* To be called after rpc_close, so that no pull is in flight.  */
void director_sync_free (director_sync_t *sync);

/* Apply SETTINGS, which must stay valid until the next call.  */
void director_sync_set_settings (director_sync_t *sync,
                                 const fleet_settings_t *settings);

/* Report the crashes of CRASHES to the directors.  CRASHES is read by
   director_sync_tick only and must stay valid.  */
void director_sync_set_crashes (director_sync_t *sync,
                                const crash_table_t *crashes);

/* Report what the backend servers of POOL say of themselves to the directors,
   and apply to it what other routers heard of their load and saw of cold
   ones.  POOL is used by
   director_sync_tick only and must stay valid.  */
void director_sync_set_pool (director_sync_t *sync, backend_pool_t *pool);

/* Report the LOADS that this router heard to the directors.  LOADS is read by
   director_sync_tick only and must stay valid.  */
void director_sync_set_heard_loads (director_sync_t *sync,
                                    const load_table_t *loads);

/* Report the cold backend servers that this router saw, COLDS, to the
   directors.  COLDS is read by director_sync_tick only and must stay valid.
 */
void director_sync_set_seen_colds (director_sync_t *sync,
                                   const cold_table_t *colds);

/* How far directors know of the cold backend servers that this router saw. */
cold_directors_t director_sync_colds_state (director_sync_t *sync);

/* Report the requests that LIMITER counts to the directors, and apply to it
   what they answer.  LIMITER is used by director_sync_tick only and must stay
   valid.  */
void director_sync_set_limiter (director_sync_t *sync, limiter_t *limiter);

/* A request whose quarantine an operator ended at AT.  */
typedef struct director_release
{
  fingerprint_t fingerprint;
  usec_t at;
} director_release_t;

enum
{
  DIRECTOR_RELEASES_MAX = 32,
};

/* Write the releases that the last pull told to RELEASES, which has room for
   DIRECTOR_RELEASES_MAX.  Returns how many.  */
size_t director_sync_releases (director_sync_t *sync,
                               director_release_t *releases);

/* Make the next pull due at AT, if it is due later.  */
void director_sync_hurry (director_sync_t *sync, usec_t at);

/* Send a pull if one is due at NOW.  */
void director_sync_tick (director_sync_t *sync, usec_t now);

/* The monotonic time at which director_sync_tick is due next; INT64_MAX while
   a pull is in flight.  */
usec_t director_sync_next_pull (director_sync_t *sync);

/* Whether callers may be sent to this router.  Announced with the next pull; a
   change makes that due at once.  */
void director_sync_set_takes_requests (director_sync_t *sync,
                                       bool takes_requests);

/* Whether this router reaches no backend server.  Announced likewise.  */
void director_sync_set_cut_off (director_sync_t *sync, bool is_cut_off);

/* The newest snapshot, with a reference for the caller.  */
fleet_snapshot_t *director_sync_snapshot (director_sync_t *sync);

/* Whether the snapshot may be used for routing: it was confirmed as the newest
   state at some time since this process started, or no director could confirm
   it for several seconds.  */
bool director_sync_is_settled (director_sync_t *sync, usec_t now);

#endif
