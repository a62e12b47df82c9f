/* core_thread: the thread that owns the replica and the sheet registry.

   Peers' messages, submissions and the disk's reports come to it by one
   bounded ring; a timer thread wakes it.  It carries out the replica's
   actions: messages go to the RPC thread, records to the storage thread,
   accepted sheets to ACCEPTED.  */

#ifndef CONTROL_CORE_THREAD_H
#define CONTROL_CORE_THREAD_H

#include "agreement/replica.h"
#include "agreement/storage.h"
#include "control/accepted.h"
#include "control/submission.h"
#include "settings/settings_defs.h"
#include "wire/metrics_page.h"
#include "wire/rpc.h"

typedef struct core_thread core_thread_t;

typedef struct core_thread_options
{
  const settings_t *settings;
  vm_id_t vm; /* has_control */
  rpc_t *rpc; /* not started yet */
  accepted_t *accepted;
  storage_t *storage;     /* stays the caller's, but untouched */
  replica_image_t *image; /* its references pass to the thread */
  uint64_t seed;
} core_thread_options_t;

/* Registers its RPC procedures too.  */
core_thread_t *core_thread_start (const core_thread_options_t *options,
                                  err_t *err);

/* PAGE tells when the replica has halted; stop it after the core thread.  */
void core_thread_set_page (core_thread_t *core, metrics_page_t *page);

/* Before rpc_close, with no local submission under way after it.  */
void core_thread_stop (core_thread_t *core);

/* After rpc_close.  */
void core_thread_free (core_thread_t *core);

/* Hand SUBMISSION over; false where the thread is too busy or has stopped,
   and it stays the caller's.  */
bool core_thread_submit (core_thread_t *core, submission_t *submission);

/* What the replica last said of itself.  */
replica_status_t core_thread_status (core_thread_t *core);

/* The VM of a slot of the log.  */
vm_id_t core_thread_slot_vm (const core_thread_t *core, slot_t slot);

#endif
