/* storage_thread: a thread that writes the replica's records in order, and
   syncs the records that are queued in batches.  */

#ifndef AGREEMENT_STORAGE_THREAD_H
#define AGREEMENT_STORAGE_THREAD_H

#include "agreement/storage.h"

typedef struct storage_thread storage_thread_t;

/* Called on the storage thread after each synced or failed batch.  */
typedef void (*storage_wake_t) (void *closure);

typedef struct storage_thread_options
{
  storage_t *storage; /* only this thread may use it until it stops */
  storage_wake_t wake;
  void *closure;
} storage_thread_options_t;

/* NULL with ERR_IO if the thread can't be created.  */
storage_thread_t *
storage_thread_start (const storage_thread_options_t *options, err_t *err);

/* Write the queued records, stop the thread and free it.  */
void storage_thread_stop (storage_thread_t *thread);

/* Queue PERSIST's record.  False if the queue is full; the caller has to try
   again later.  */
bool storage_thread_write (storage_thread_t *thread, const persist_t *persist);

/* Queue the persist actions of RECORDS in order, and free each one that was
   queued.  If the queue is full, the rest stays in RECORDS.  */
void storage_thread_write_all (storage_thread_t *thread, list_t *records);

/* The sequence number of the last synced persist action.  */
uint64_t storage_thread_synced (const storage_thread_t *thread);

/* True after a write has failed; the failure has been logged.  */
bool storage_thread_failed (const storage_thread_t *thread);

#endif
