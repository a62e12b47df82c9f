/* ring: a bounded, thread-safe FIFO queue of pointers (APR's apr_queue).  */

#ifndef BASE_RING_H
#define BASE_RING_H

#include <stdbool.h>
#include <stddef.h>

typedef struct ring ring_t;

/* Returns an empty queue for at most CAPACITY items.  Aborts the process if
   memory ran out.  */
ring_t *ring_new (size_t capacity);

/* Free RING, which may be NULL, but not the items in it: the caller pops and
   frees them first.  */
void ring_free (ring_t *ring);

/* Append ITEM.  Returns false if the ring is full; never blocks.  */
bool ring_push (ring_t *ring, void *item);

/* Remove and return the first item, or NULL if the ring is empty; never
   blocks.  */
void *ring_pop (ring_t *ring);

/* Block until there is an item, then remove and return it.  Returns NULL after
   ring_close.  */
void *ring_wait (ring_t *ring);

/* Close RING and wake all threads that are blocked in ring_wait.  */
void ring_close (ring_t *ring);

#endif
