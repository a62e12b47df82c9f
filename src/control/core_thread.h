/* core_thread: the thread that owns the replica and the sheet registry.

   One bounded ring carries the peers' messages, the submissions and the
   wake-ups by a timer thread and by the storage thread.  The core thread
   performs the replica's actions: it passes messages to the RPC thread,
   records to the storage thread, and accepted sheets to accepted_sheet.  */

#ifndef CONTROL_CORE_THREAD_H
#define CONTROL_CORE_THREAD_H

#include "agreement/replica.h"
#include "control/accepted_sheet.h"
#include "control/submission.h"
#include "settings/settings_defs.h"
#include "wire/metrics_page.h"
#include "wire/rpc.h"

typedef struct core_thread core_thread_t;

typedef struct core_thread_options
{
  const settings_t *settings;
  vm_id_t vm; /* this VM; has_control is set */
  rpc_t *rpc; /* rpc_start not called yet */
  accepted_sheet_t *accepted;
  const char *data_folder; /* valid until core_thread_stop */
  uint64_t seed;           /* of the replica's random numbers */
} core_thread_options_t;

/* Read the data folder, which is created unless it exists, register the RPC
   procedures and start the threads.  Returns NULL with the error in ERR if the
   folder can't be read or a thread can't be started.  A full disk is no error:
   the replica is halted until there is room.  */
core_thread_t *core_thread_start (const core_thread_options_t *options,
                                  err_t *err);

/* From now on, report on the health page of PAGE while the replica is halted.
   PAGE must be stopped after the core thread.  */
void core_thread_set_page (core_thread_t *core, metrics_page_t *page);

/* Call before rpc_close.  Submissions in progress complete with
   SUBMISSION_UNKNOWN; later ones are not taken.  */
void core_thread_stop (core_thread_t *core);

/* Call after core_thread_stop and rpc_close.  */
void core_thread_free (core_thread_t *core);

/* Pass SUBMISSION to the core thread.  Returns false if its ring is full or it
   is stopping; SUBMISSION then stays the caller's.  */
bool core_thread_submit (core_thread_t *core, submission_t *submission);

/* The replica's status after the last event.  */
replica_status_t core_thread_status (core_thread_t *core);

/* The VM of the replica in SLOT; TOPOLOGY_NONE if there is none.  */
vm_id_t core_thread_slot_vm (const core_thread_t *core, slot_t slot);

#endif
