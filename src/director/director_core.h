/* director_core: the thread that owns a director's data: its replica of the
   log, the state machine that the log drives, the roster, the router table and
   the list of backend servers.

   Messages of other directors, pulls of routers, requests of operators and
   newly read backend lists reach the thread through one bounded mailbox.  All
   functions but director_core_start, director_core_stop and director_core_free
   may be called on any thread.  */

#ifndef DIRECTOR_DIRECTOR_CORE_H
#define DIRECTOR_DIRECTOR_CORE_H

#include "director/lookup.h"
#include "director/operator_request.h"
#include "director/roster.h"
#include "fleet/fleet_defs.h"
#include "settings/settings_feed.h"
#include "wire/rpc.h"

typedef struct director_core director_core_t;

/* What the pointers refer to outlives the core.  */
typedef struct director_core_options
{
  settings_feed_t *feed;
  rpc_t *rpc;             /* not started yet */
  lookup_view_t *lookups; /* receives each change of routers and routes */
  uint64_t seed;          /* of the replica's random numbers */
} director_core_options_t;

/* Open the data folder, register the RPC procedures and start the thread;
   NULL with ERR_STORAGE or ERR_IO.  */
director_core_t *director_core_start (const director_core_options_t *options,
                                      err_t *err);

/* Hand REQUEST to the core thread.  False where the mailbox is full or the
   core is stopping; REQUEST then stays the caller's and DONE is not called. */
bool director_core_submit (director_core_t *core, operator_request_t *request);

/* True where this director should read the list of backend servers at NOW.
   The leader reads it most often; a follower reads it only after it has
   received no recent list from the leader.  */
bool director_core_wants_list (director_core_t *core, usec_t now);

/* Hand over LIST, sealed; its records pass to the core, which frees them if
   the mailbox is full.  */
void director_core_put_list (director_core_t *core, backend_list_t *list);

/* Finish all operator requests, stop the thread and close the data folder.
   Call it before rpc_close.  */
void director_core_stop (director_core_t *core);

/* Free CORE.  Call it after rpc_close, because replies that arrive until then
   still use CORE.  */
void director_core_free (director_core_t *core);

#endif
