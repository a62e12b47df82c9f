/* liveness: which VMs live, at a cost a VM that does not grow with their
   number.

   In each period a VM exchanges heartbeats with a few others in turn.  Each
   heartbeat also carries what changed lately: a VM that started, can't be
   reached any more, can be again, or leaves.  A change reaches all VMs in a
   number of periods that grows with the logarithm of theirs.  Up to
   LIVENESS_ALL_MAX VMs everybody is called in each period, and what the calls
   find counts alone.

   A VM that hears that it can't be reached denies it, with a higher episode.
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
  LIVENESS_ALL_MAX = 9,      /* VMs, up to which all are called */
  LIVENESS_FEW = 3,          /* are called each period where there are more */
  LIVENESS_PARTNERS_MAX = 8, /* of one period */
  LIVENESS_ROWS_MAX = 32,    /* changes in one heartbeat */
};

/* A VM that was heard by itself counts as reachable for so long.  */
#define LIVENESS_HEARD_SPAN (1500 * USEC_PER_MSEC)

/* What VMs tell each other of one of them.  A row with a later incarnation
   holds; then one with a later episode; then "can't be reached".  */
typedef struct liveness_row
{
  uint64_t incarnation; /* 0: never heard of */
  usec_t stamp;         /* its own monotonic clock had come so far */
  uint32_t episode;     /* counts its denials */
  vm_id_t vm;
  bool is_reachable;
  bool is_leaving; /* it is about to stop */
} liveness_row_t;

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
size_t liveness_partners (liveness_t *liveness,
                          vm_id_t partners[LIVENESS_PARTNERS_MAX]);

/* The own row, with the clock's present STAMP.  */
liveness_row_t liveness_own (const liveness_t *liveness, usec_t stamp);
void liveness_leave (liveness_t *liveness);

/* A heartbeat of the VM itself, in a call or an answer, with its own ROW.  */
void liveness_hear (liveness_t *liveness, const liveness_row_t *row,
                    usec_t now);
/* A call to VM failed.  */
void liveness_fail (liveness_t *liveness, vm_id_t vm, usec_t now);
/* What another VM told of ROW's; true where it is news.  */
bool liveness_learn (liveness_t *liveness, const liveness_row_t *row);

/* The changes to send with the next heartbeat; returns how many.  */
size_t liveness_changes (liveness_t *liveness,
                         liveness_row_t rows[LIVENESS_ROWS_MAX]);

/* What is known of VM; incarnation 0 where nothing is.  */
const liveness_row_t *liveness_row (const liveness_t *liveness, vm_id_t vm);
/* Whether others need to be asked for all rows: this VM knows too few.  */
bool liveness_knows_few (const liveness_t *liveness);
bool liveness_reachable (const liveness_t *liveness, vm_id_t vm, usec_t now);

#endif
