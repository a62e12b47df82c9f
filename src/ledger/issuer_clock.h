/* issuer_clock: lower bounds of the current readings of other VMs' monotonic
   clocks.

   The bound is the last time stamp received from the VM plus the time that
   has passed on this VM's clock since, less the greatest drift between the
   two.  The bound never decreases and never exceeds the VM's own clock, so
   that a ticket that is found to be expired has expired and stays so.  For
   each VM the readings of a few incarnations are kept; an older incarnation
   counts as expired for good.  */

#ifndef LEDGER_ISSUER_CLOCK_H
#define LEDGER_ISSUER_CLOCK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time_defs.h"
#include "placement/topology_defs.h"

enum
{
  ISSUER_INCARNATIONS_KEPT = 4, /* of each VM */
};

typedef struct issuer_reading
{
  uint64_t incarnation; /* 0: unused */
  usec_t stamp;         /* on the issuer's clock */
  usec_t observed_at;   /* on this VM's clock */
} issuer_reading_t;

typedef struct issuer_clock
{
  /* For each VM, the reading of its newest incarnation first.  */
  issuer_reading_t (*readings)[ISSUER_INCARNATIONS_KEPT];
  size_t n_vms;
  uint32_t drift_ppm; /* greatest drift between two clocks, in parts per
                         million */
} issuer_clock_t;

/* Returns false where memory is short.  */
bool issuer_clock_init (issuer_clock_t *clock, size_t n_vms,
                        uint32_t drift_ppm);

void issuer_clock_destroy (issuer_clock_t *clock);

/* Record that the clock of VM in INCARNATION has reached STAMP.  Returns
   false where VM isn't below n_vms, INCARNATION is 0, or INCARNATION is older
   than all that are kept.  */
bool issuer_clock_observe (issuer_clock_t *clock, vm_id_t vm,
                           uint64_t incarnation, usec_t stamp, usec_t now);

/* Whether the clock of VM in INCARNATION is certain to have reached DUE.
   Also true for an unknown VM and for an incarnation that is no longer
   kept.  */
bool issuer_clock_has_passed (const issuer_clock_t *clock, vm_id_t vm,
                              uint64_t incarnation, usec_t due, usec_t now);

#endif
