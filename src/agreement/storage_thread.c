#include "agreement/storage_thread.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>

#include "base/log.h"
#include "base/ring.h"

enum
{
  RING_ITEMS_MAX = 512,   /* records queued */
  BATCH_RECORDS_MAX = 64, /* records synced at once */
};

/* A queued record; one without RECORD stops the thread.  */
typedef struct storage_item
{
  uint64_t sequence;
  bool replaces_log;
  blob_t *record;
} storage_item_t;

struct storage_thread
{
  storage_thread_options_t options;
  ring_t *ring;
  pthread_t thread;
  _Atomic uint64_t synced_sequence;
  _Atomic bool has_failed;
};

static void
item_free (storage_item_t *item)
{
  blob_unref (item->record);
  free (item);
}

/* Collect the records that may be synced together: a record that replaces the
   log is written alone.  *NEXT_ITEM is a record that was taken from the
   ring but belongs to the next batch, or NULL.  */
static size_t
collect_batch (storage_thread_t *thread, storage_item_t *first_item,
               storage_item_t **items, storage_item_t **next_item)
{
  size_t n = 0;
  items[n++] = first_item;
  *next_item = NULL;
  while (!first_item->replaces_log && n < BATCH_RECORDS_MAX)
    {
      storage_item_t *item = ring_pop (thread->ring);
      if (!item)
        break;
      if (item->replaces_log)
        {
          *next_item = item;
          break;
        }
      items[n++] = item;
    }
  return n;
}

static void
write_batch (storage_thread_t *thread, storage_item_t **items, size_t n)
{
  blob_t *records[BATCH_RECORDS_MAX];
  for (size_t i = 0; i < n; i++)
    records[i] = items[i]->record;
  err_t err = { 0 };
  if (storage_write (thread->options.storage, records, n,
                     items[0]->replaces_log, &err))
    atomic_store (&thread->synced_sequence, items[n - 1]->sequence);
  else if (!atomic_exchange (&thread->has_failed, true))
    log_error (LOG_LEVEL_ERROR, "storage_failed", &err);
  for (size_t i = 0; i < n; i++)
    item_free (items[i]);
  thread->options.wake (thread->options.closure);
}

static void *
storage_run (void *closure)
{
  storage_thread_t *thread = closure;
  storage_item_t *items[BATCH_RECORDS_MAX];
  storage_item_t *next_item = NULL;
  for (;;)
    {
      storage_item_t *first_item
          = next_item ? next_item : ring_wait (thread->ring);
      if (!first_item || !first_item->record)
        {
          free (first_item);
          return NULL;
        }
      size_t n = collect_batch (thread, first_item, items, &next_item);
      if (!items[n - 1]->record)
        {
          next_item = items[--n];
          if (n == 0)
            continue;
        }
      write_batch (thread, items, n);
    }
}

storage_thread_t *
storage_thread_start (const storage_thread_options_t *options, err_t *err)
{
  storage_thread_t *thread = calloc (1, sizeof *thread);
  if (!thread)
    abort ();
  thread->options = *options;
  thread->ring = ring_new (RING_ITEMS_MAX);
  if (pthread_create (&thread->thread, NULL, storage_run, thread) == 0)
    return thread;
  err_set (err, ERR_IO, "raise the limit of threads",
           "can't create the storage thread");
  ring_free (thread->ring);
  free (thread);
  return NULL;
}

static bool
queue_item (storage_thread_t *thread, uint64_t sequence, bool replaces,
            blob_t *record)
{
  storage_item_t *item = calloc (1, sizeof *item);
  if (!item)
    abort ();
  *item = (storage_item_t){ .sequence = sequence,
                            .replaces_log = replaces,
                            .record = record };
  if (ring_push (thread->ring, item))
    return true;
  free (item);
  return false;
}

void
storage_thread_stop (storage_thread_t *thread)
{
  /* An item without a record stops the thread.  */
  while (!queue_item (thread, 0, false, NULL))
    sched_yield ();
  pthread_join (thread->thread, NULL);
  ring_free (thread->ring);
  free (thread);
}

bool
storage_thread_write (storage_thread_t *thread, const persist_t *persist)
{
  blob_t *record = storage_encode (persist);
  if (queue_item (thread, persist->sequence, persist->replaces_log, record))
    return true;
  blob_unref (record);
  return false;
}

void
storage_thread_write_all (storage_thread_t *thread, list_t *records)
{
  list_t *link;
  while ((link = list_pop_front (records)))
    {
      action_t *action = LIST_ENTRY (link, action_t, link);
      if (!storage_thread_write (thread, &action->body.persist))
        {
          list_push_front (records, link);
          return;
        }
      action_free (action);
    }
}

uint64_t
storage_thread_synced (const storage_thread_t *thread)
{
  return atomic_load (&thread->synced_sequence);
}

bool
storage_thread_failed (const storage_thread_t *thread)
{
  return atomic_load (&thread->has_failed);
}
