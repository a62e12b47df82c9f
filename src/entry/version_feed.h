/* version_feed: a thread that asks other processes for a newer sheet, puts it
   in force and passes it on (membership/version_sync).  */

#ifndef ENTRY_VERSION_FEED_H
#define ENTRY_VERSION_FEED_H

#include "entry/route_table.h"
#include "membership/version_sync.h"
#include "settings/settings_defs.h"
#include "wire/rpc.h"

typedef struct version_feed version_feed_t;

typedef struct version_feed_options
{
  const settings_t *settings;
  vm_id_t vm;
  rpc_t *rpc; /* not started yet */
  route_table_t *routes;
} version_feed_options_t;

/* Registers its RPC procedure.  */
version_feed_t *version_feed_open (const version_feed_options_t *options);

/* After rpc_start.  */
bool version_feed_start (version_feed_t *feed, err_t *err);

/* End the thread, if it runs; answers under way may still come until
 * rpc_close.  */
void version_feed_stop (version_feed_t *feed);

/* After version_feed_stop and rpc_close.  */
void version_feed_free (version_feed_t *feed);

#endif
