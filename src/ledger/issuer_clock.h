/* issuer_clock: lower bounds of other VMs' monotonic clocks.

   The bound is the last stamp that was heard, plus the time that passed here
   since, less the drift.  It never falls and never passes the issuer's own
   clock, so what it calls expired has expired and stays so.  A few of each
   VM's incarnations are kept; older ones count as expired for good.  */

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
  usec_t observed_at;   /* on the own clock */
} issuer_reading_t;

typedef struct issuer_clock
{
  issuer_reading_t (*readings)[ISSUER_INCARNATIONS_KEPT]; /* newest first */
  size_t n_vms;
  uint32_t drift_ppm;
} issuer_clock_t;

/* False where memory is short.  */
bool issuer_clock_init (issuer_clock_t *clock, size_t n_vms,
                        uint32_t drift_ppm);

void issuer_clock_destroy (issuer_clock_t *clock);

/* The VM's clock is known to have reached STAMP.  Returns false where the
   VM isn't known, or the incarnation is older than those that are kept.  */
bool issuer_clock_observe (issuer_clock_t *clock, vm_id_t vm,
                           uint64_t incarnation, usec_t stamp, usec_t now);

/* Whether the VM's clock has surely reached DUE; true also for an unknown VM
   and for an incarnation that is no longer kept.  */
bool issuer_clock_has_passed (const issuer_clock_t *clock, vm_id_t vm,
                              uint64_t incarnation, usec_t due, usec_t now);

#endif
