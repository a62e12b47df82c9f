#include "entry/live_ring.h"

#include <stdlib.h>

void
live_ring_init (live_ring_t *ring, size_t n_vms)
{
  ring->n_vms = n_vms;
  ring->next = calloc (n_vms, sizeof *ring->next);
  if (!ring->next)
    abort ();
  for (size_t i = 0; i < n_vms; i++)
    ring->next[i] = TOPOLOGY_NONE;
}

void
live_ring_free (live_ring_t *ring)
{
  free (ring->next);
}

void
live_ring_build (live_ring_t *ring, const bool *lives)
{
  vm_id_t next = TOPOLOGY_NONE;
  /* Twice round: the last ones are followed by the first.  */
  for (size_t step = 0; step < 2 * ring->n_vms; step++)
    {
      size_t vm = ring->n_vms - 1 - step % ring->n_vms;
      if (lives[vm])
        next = (vm_id_t)vm;
      ring->next[vm] = next;
    }
}

size_t
live_ring_select (const live_ring_t *ring, size_t start, vm_id_t *vms,
                  size_t n)
{
  size_t taken = 0;
  size_t at = start % ring->n_vms;
  while (taken < n)
    {
      vm_id_t vm = ring->next[at];
      if (vm == TOPOLOGY_NONE || (taken > 0 && vm == vms[0]))
        break;
      vms[taken++] = vm;
      at = (size_t)(vm + 1) % ring->n_vms;
    }
  return taken;
}
