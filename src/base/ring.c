#include "base/ring.h"

#include <apr_pools.h>
#include <apr_queue.h>
#include <stdlib.h>

struct ring
{
  apr_pool_t *pool;
  apr_queue_t *queue;
};

ring_t *
ring_new (size_t capacity)
{
  ring_t *ring = calloc (1, sizeof *ring);
  if (!ring)
    abort ();
  apr_pool_create (&ring->pool, NULL);
  if (apr_queue_create (&ring->queue, (unsigned int)capacity, ring->pool)
      != APR_SUCCESS)
    abort ();
  return ring;
}

void
ring_free (ring_t *ring)
{
  if (!ring)
    return;
  apr_pool_destroy (ring->pool);
  free (ring);
}

bool
ring_push (ring_t *ring, void *item)
{
  return apr_queue_trypush (ring->queue, item) == APR_SUCCESS;
}

void *
ring_pop (ring_t *ring)
{
  void *item = NULL;
  return apr_queue_trypop (ring->queue, &item) == APR_SUCCESS ? item : NULL;
}

void *
ring_wait (ring_t *ring)
{
  void *item = NULL;
  apr_status_t status;
  do
    status = apr_queue_pop (ring->queue, &item);
  while (status == APR_EINTR);
  return status == APR_SUCCESS ? item : NULL;
}

void
ring_close (ring_t *ring)
{
  apr_queue_term (ring->queue);
}
