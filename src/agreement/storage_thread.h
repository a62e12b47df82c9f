/* storage_thread: writes and syncs the replica's records, in order, several
   at once where they have piled up.  */

#ifndef AGREEMENT_STORAGE_THREAD_H
#define AGREEMENT_STORAGE_THREAD_H

#include "agreement/storage.h"

typedef struct storage_thread storage_thread_t;

/* Called on the storage thread when something was synced or has failed.  */
typedef void (*storage_wake_t) (void *closure);

typedef struct storage_thread_options
{
  storage_t *storage; /* of this thread alone until it has stopped */
  storage_wake_t wake;
  void *closure;
} storage_thread_options_t;

storage_thread_t *
storage_thread_start (const storage_thread_options_t *options, err_t *err);

/* What was handed over is written first.  */
void storage_thread_stop (storage_thread_t *thread);

/* Hand over PERSIST's record; false where too many wait, so that it has to
   be handed over again.  */
bool storage_thread_write (storage_thread_t *thread, const persist_t *persist);

/* Hand over the records of RECORDS, persist actions, in order, and free those
   that were taken.  The first one that has to wait holds back the rest.  */
void storage_thread_write_all (storage_thread_t *thread, list_t *records);

/* The last synced sequence number.  */
uint64_t storage_thread_synced (const storage_thread_t *thread);

/* True once a write has failed; it has been logged.  */
bool storage_thread_failed (const storage_thread_t *thread);

#endif
