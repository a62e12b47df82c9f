/* version_feed: a thread that asks the control processes for a newer sheet
   and puts it in force.  */

#ifndef ENTRY_VERSION_FEED_H
#define ENTRY_VERSION_FEED_H

#include "entry/route_table.h"
#include "settings/settings_defs.h"
#include "wire/rpc.h"

typedef struct version_feed version_feed_t;

typedef struct version_feed_options
{
  const settings_t *settings;
  rpc_t *rpc;
  route_table_t *routes;
} version_feed_options_t;

version_feed_t *version_feed_start (const version_feed_options_t *options,
                                    err_t *err);

/* End the thread; answers under way may still come until rpc_close.  */
void version_feed_stop (version_feed_t *feed);

/* After version_feed_stop and rpc_close.  */
void version_feed_free (version_feed_t *feed);

#endif
