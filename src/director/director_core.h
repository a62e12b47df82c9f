/* director_core: the thread that owns what a director knows: its replica of
   the log, the state that the log builds up, the roster, the routers and the
   list of backend servers.

   Messages of peers, pulls of routers, orders of operators and fresh lists
   come to it by one bounded mailbox.  */

#ifndef DIRECTOR_DIRECTOR_CORE_H
#define DIRECTOR_DIRECTOR_CORE_H

#include "director/director_order.h"
#include "director/lookup.h"
#include "director/roster.h"
#include "fleet/fleet_defs.h"
#include "settings/settings_feed.h"
#include "wire/rpc.h"

typedef struct director_core director_core_t;

typedef struct director_core_options
{
  settings_feed_t *feed;
  rpc_t *rpc;             /* not started yet */
  lookup_view_t *lookups; /* kept up to date */
  uint64_t seed;
} director_core_options_t;

/* Opens the data folder and registers the RPC procedures; NULL with
   ERR_STORAGE or ERR_IO.  */
director_core_t *director_core_start (const director_core_options_t *options,
                                      err_t *err);

/* Hand ORDER over; false where the mailbox is full, and it stays the
   caller's.  */
bool director_core_order (director_core_t *core, director_order_t *order);

/* Whether this director should read the list of backend servers now.  */
bool director_core_wants_list (director_core_t *core, usec_t now);

/* Take in LIST, sealed; its records pass to the core.  */
void director_core_put_list (director_core_t *core, backend_list_t *list);

/* Before rpc_close.  */
void director_core_stop (director_core_t *core);

/* After rpc_close.  */
void director_core_free (director_core_t *core);

#endif
