/* liveness: which VMs live, at a cost a VM that does not grow with their
   number.

   In each period a VM exchanges heartbeats with a few others in turn.  Each
   heartbeat also carries what changed lately: a VM that started, can't be
   reached any more, can be again, or leaves.  A change reaches all VMs in a
   number of periods that grows with the logarithm of theirs.  Up to
   LIVENESS_FULL_MESH_VMS_MAX VMs everybody is called in each period, and what
   the calls find counts alone.

   A VM that hears that it can't be reached denies it, with a higher revision.
   Pure; for one thread at a time.  */

#ifndef MEMBERSHIP_LIVENESS_H
#define MEMBERSHIP_LIVENESS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time_defs.h"
#include "placement/topology_defs.h"

enum
{
  LIVENESS_FULL_MESH_VMS_MAX = 9, /* VMs, up to which all are called */
  LIVENESS_FANOUT = 3,       /* are called each period where there are more */
  LIVENESS_PEERS_MAX = 8,    /* of one period */
  LIVENESS_CHANGES_MAX = 32, /* changes in one heartbeat */
};

/* A VM that was heard by itself counts as reachable for so long.  */
#define LIVENESS_HEARTBEAT_TIMEOUT (1500 * USEC_PER_MSEC)

/* What VMs tell each other of one of them.  A row with a later incarnation
   holds; then one with a later revision; then "can't be reached".  */
typedef struct liveness_record
{
  uint64_t incarnation; /* 0: never heard of */
  usec_t vm_clock;      /* its own monotonic clock had come so far */
  uint32_t revision;    /* counts its denials */
  vm_id_t vm;
  bool is_reachable;
  bool is_leaving; /* it is about to stop */
} liveness_record_t;

typedef struct liveness liveness_t;

typedef struct liveness_options
{
  size_t n_vms;
  vm_id_t self;
  uint64_t incarnation;
  uint64_t seed;
} liveness_options_t;

liveness_t *liveness_new (const liveness_options_t *options);
void liveness_free (liveness_t *liveness);

/* Whom to call in this period; returns how many.  */
size_t liveness_next_peers (liveness_t *liveness,
                            vm_id_t partners[LIVENESS_PEERS_MAX]);

/* The own row, with the clock's present STAMP.  */
liveness_record_t liveness_own_record (const liveness_t *liveness,
                                       usec_t vm_clock);
void liveness_announce_leaving (liveness_t *liveness);

/* A heartbeat of the VM itself, in a call or an answer, with its own ROW.  */
void liveness_heartbeat_received (liveness_t *liveness,
                                  const liveness_record_t *row, usec_t now);
/* A call to VM failed.  */
void liveness_call_failed (liveness_t *liveness, vm_id_t vm, usec_t now);
/* What another VM told of ROW's; true where it is news.  */
bool liveness_merge (liveness_t *liveness, const liveness_record_t *row);

/* The changes to send with the next heartbeat; returns how many.  */
size_t liveness_changes (liveness_t *liveness,
                         liveness_record_t rows[LIVENESS_CHANGES_MAX]);

/* What is known of VM; incarnation 0 where nothing is.  */
const liveness_record_t *liveness_record (const liveness_t *liveness,
                                          vm_id_t vm);
/* Whether others need to be asked for all rows: this VM knows too few.  */
bool liveness_needs_full_state (const liveness_t *liveness);
bool liveness_is_reachable (const liveness_t *liveness, vm_id_t vm,
                            usec_t now);

#endif
