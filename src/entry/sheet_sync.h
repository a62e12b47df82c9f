/* sheet_sync: a thread that asks other processes for a newer sheet, puts it
   in force and passes it on (membership/version_sync).  */

#ifndef ENTRY_SHEET_SYNC_H
#define ENTRY_SHEET_SYNC_H

#include "entry/current_sheet.h"
#include "membership/version_sync.h"
#include "settings/settings_defs.h"
#include "wire/rpc.h"

typedef struct sheet_sync sheet_sync_t;

typedef struct sheet_sync_options
{
  const settings_t *settings;
  vm_id_t vm;
  rpc_t *rpc; /* not started yet */
  current_sheet_t *current_sheet;
} sheet_sync_options_t;

/* Registers its RPC procedure.  */
sheet_sync_t *sheet_sync_open (const sheet_sync_options_t *options);

/* After rpc_start.  */
bool sheet_sync_start (sheet_sync_t *feed, err_t *err);

/* End the thread, if it runs; answers under way may still come until
 * rpc_close.  */
void sheet_sync_stop (sheet_sync_t *feed);

/* After sheet_sync_stop and rpc_close.  */
void sheet_sync_free (sheet_sync_t *feed);

#endif
