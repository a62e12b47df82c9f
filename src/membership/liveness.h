/* liveness: failure detection by gossip; tells which VMs are alive, at a cost
   for each VM that does not grow with their number.

   In each period a VM exchanges heartbeats with LIVENESS_FANOUT others in
   turn.  A heartbeat also carries recent changes: a VM that started, became
   unreachable, is reachable again, or is leaving.  A change reaches all VMs
   after a number of periods that grows with the logarithm of the number of
   VMs.  With up to LIVENESS_FULL_MESH_VMS_MAX VMs each VM calls all others in
   each period, and relies only on the results of its own calls.

   A VM that learns that it is reported as unreachable refutes that with a
   higher revision of its record.  Does no input or output; not thread-safe. */

#ifndef MEMBERSHIP_LIVENESS_H
#define MEMBERSHIP_LIVENESS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time_defs.h"
#include "placement/topology_defs.h"

enum
{
  LIVENESS_FULL_MESH_VMS_MAX = 9, /* up to so many VMs all are called */
  LIVENESS_FANOUT = 3,            /* VMs called in a period, if there are more
                                     than LIVENESS_FULL_MESH_VMS_MAX */
  LIVENESS_PEERS_MAX = 8,         /* VMs called in a period, with repeats of
                                     failed calls */
  LIVENESS_CHANGES_MAX = 32,      /* records in one heartbeat */
};

/* A VM counts as reachable for so long after its own last heartbeat.  */
#define LIVENESS_HEARTBEAT_TIMEOUT (1500 * USEC_PER_MSEC)

/* The state of one VM, as VMs gossip it.  Of two records of a VM the one with
   the later incarnation wins, then the one with the later revision, then the
   one that says that the VM is unreachable.  */
typedef struct liveness_record
{
  uint64_t incarnation; /* one start of the VM; 0: unknown VM */
  usec_t vm_clock;      /* latest known value of the VM's monotonic clock */
  uint32_t revision;    /* incremented by the VM with each refutation, when it
                           begins to serve and when it leaves */
  vm_id_t vm;
  bool is_reachable;
  bool takes_no_callers; /* it can't serve yet, or is about to stop */
} liveness_record_t;

typedef struct liveness liveness_t;

typedef struct liveness_options
{
  size_t n_vms;
  vm_id_t self;
  uint64_t incarnation; /* of this VM */
  uint64_t seed;        /* of the random call order */
} liveness_options_t;

/* The caller releases the result with liveness_free.  */
liveness_t *liveness_new (const liveness_options_t *options);
void liveness_free (liveness_t *liveness);

/* Choose the VMs to call in this period; returns how many.  */
size_t liveness_next_peers (liveness_t *liveness,
                            vm_id_t peers[LIVENESS_PEERS_MAX]);

/* This VM's own record, with VM_CLOCK as the current value of its clock.  */
liveness_record_t liveness_own_record (const liveness_t *liveness,
                                       usec_t vm_clock);
/* Mark this VM as ready for callers and gossip that; until then it takes none.
 */
void liveness_announce_serving (liveness_t *liveness);
/* Mark this VM as leaving and gossip that.  */
void liveness_announce_leaving (liveness_t *liveness);

/* Handle a heartbeat that RECORD's VM itself sent, as a call or a reply.  */
void liveness_heartbeat_received (liveness_t *liveness,
                                  const liveness_record_t *record, usec_t now);
/* Handle a failed call to VM.  */
void liveness_call_failed (liveness_t *liveness, vm_id_t vm, usec_t now);
/* Merge RECORD, which may have been relayed by any VM.  Returns true if it
   changed what this VM knows.  */
bool liveness_merge (liveness_t *liveness, const liveness_record_t *record);

/* Take the changes to send with the next heartbeat; returns how many.  */
size_t liveness_changes (liveness_t *liveness,
                         liveness_record_t records[LIVENESS_CHANGES_MAX]);

/* Whether RECORD is that of a VM that has not announced anything yet.  */
bool liveness_is_starting (const liveness_record_t *record);

/* The known record of VM, owned by LIVENESS; its incarnation is 0 if VM is
   unknown.  VM must be less than n_vms.  */
const liveness_record_t *liveness_record (const liveness_t *liveness,
                                          vm_id_t vm);
/* Whether to ask peers for all their records, because this VM knows fewer than
   half of the VMs.  */
bool liveness_needs_full_state (const liveness_t *liveness);
bool liveness_is_reachable (const liveness_t *liveness, vm_id_t vm,
                            usec_t now);

#endif
