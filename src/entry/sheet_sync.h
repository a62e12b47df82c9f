/* sheet_sync: a thread that pulls newer sheets from other processes, applies
   them, and answers the pulls of others (membership/version_sync).  */

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
  rpc_t *rpc; /* not yet started */
  current_sheet_t *current_sheet;
} sheet_sync_options_t;

/* Registers its RPC procedure.  */
sheet_sync_t *sheet_sync_open (const sheet_sync_options_t *options);

/* Start the thread; call it after rpc_start.  False with ERR set where threads
   are short.  */
bool sheet_sync_start (sheet_sync_t *sync, err_t *err);

/* End the thread, where it runs.  Results of pulls may arrive until
   rpc_close.  */
void sheet_sync_stop (sheet_sync_t *sync);

/* Call it after sheet_sync_stop and rpc_close.  */
void sheet_sync_free (sheet_sync_t *sync);

#endif
