/* live_ring: for each VM, in the order of the settings, the next VM that
   accepts callers.  A look-up takes one step for each VM that it returns,
   however many VMs in between are unavailable.

   No input or output; for one thread at a time.  */

#ifndef ENTRY_LIVE_RING_H
#define ENTRY_LIVE_RING_H

#include <stdbool.h>
#include <stddef.h>

#include "placement/topology_defs.h"

typedef struct live_ring
{
  vm_id_t *next; /* by VM: the first live VM from it on, itself included,
                    cyclically; TOPOLOGY_NONE where there is none */
  size_t n_vms;
} live_ring_t;

/* No VM is live at first.  Release it with live_ring_free.  */
void live_ring_init (live_ring_t *ring, size_t n_vms);
void live_ring_free (live_ring_t *ring);

/* Set which VMs are live; IS_LIVE has a value for each VM.  */
void live_ring_build (live_ring_t *ring, const bool *is_live);

/* Write the first live VMs from the index START modulo the number of VMs on,
   each once and at most N, to VMS; returns how many.  */
size_t live_ring_select (const live_ring_t *ring, size_t start, vm_id_t *vms,
                         size_t n);

#endif
