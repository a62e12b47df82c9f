/* ring: a bounded queue of pointers between threads (APR's queue).  */

#ifndef BASE_RING_H
#define BASE_RING_H

#include <stdbool.h>
#include <stddef.h>

typedef struct ring ring_t;

/* CAPACITY items at most.  */
ring_t *ring_new (size_t capacity);

/* Items still inside are the caller's to release first.  */
void ring_free (ring_t *ring);

/* False where the ring is full; never waits.  */
bool ring_push (ring_t *ring, void *item);

/* NULL where the ring is empty; never waits.  */
void *ring_pop (ring_t *ring);

/* Wait for an item; NULL after ring_close.  */
void *ring_wait (ring_t *ring);

/* Wake all that wait.  */
void ring_close (ring_t *ring);

#endif
