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
live_ring_build (live_ring_t *ring, const bool *is_live)
{
  vm_id_t next = TOPOLOGY_NONE;
  /* Go backwards twice: the successor of the last VMs is among the first.  */
  for (size_t step = 0; step < 2 * ring->n_vms; step++)
    {
      size_t vm = ring->n_vms - 1 - step % ring->n_vms;
      if (is_live[vm])
        next = (vm_id_t)vm;
      ring->next[vm] = next;
    }
}

size_t
live_ring_select (const live_ring_t *ring, size_t start, vm_id_t *vms,
                  size_t n)
{
  size_t n_selected = 0;
  size_t index = start % ring->n_vms;
  while (n_selected < n)
    {
      vm_id_t vm = ring->next[index];
      if (vm == TOPOLOGY_NONE || (n_selected > 0 && vm == vms[0]))
        break;
      vms[n_selected++] = vm;
      index = (size_t)(vm + 1) % ring->n_vms;
    }
  return n_selected;
}
