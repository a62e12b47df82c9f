/* live_ring: the VMs that take callers, in the settings' order, so that a
   look-up finds the next ones in a step each however many do not live.

   Pure; for one thread at a time.  */

#ifndef ENTRY_LIVE_RING_H
#define ENTRY_LIVE_RING_H

#include <stdbool.h>
#include <stddef.h>

#include "placement/topology_defs.h"

typedef struct live_ring
{
  vm_id_t *next; /* the first that lives, from this one on; or NONE */
  size_t n_vms;
} live_ring_t;

/* Nobody lives at first.  Release with live_ring_free.  */
void live_ring_init (live_ring_t *ring, size_t n_vms);
void live_ring_free (live_ring_t *ring);

/* LIVES has a value for each VM.  */
void live_ring_build (live_ring_t *ring, const bool *lives);

/* Fill in the first VMs that live from START on, each once, at most N; returns
   how many.  */
size_t live_ring_select (const live_ring_t *ring, size_t start, vm_id_t *vms,
                         size_t n);

#endif
