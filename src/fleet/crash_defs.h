/* crash_defs: requests that were running at backend servers when these ended,
   and what is remembered of the ends.  Times are usec of the local monotonic
   clock.  */

#ifndef FLEET_CRASH_DEFS_H
#define FLEET_CRASH_DEFS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time_defs.h"
#include "ledger/ledger_defs.h"

enum
{
  /* Of a request's crashes the oldest and the newest are kept, so that two VMs
     that have heard of the same crashes keep the same ones, in whatever order
     they heard of them.  */
  OLDEST_CRASHES_KEPT = 4,
  NEWEST_CRASHES_KEPT = 28,
  CRASHES_PER_SUSPECT_MAX = OLDEST_CRASHES_KEPT + NEWEST_CRASHES_KEPT,
};

/* One run of a request that ended without a complete answer.  */
typedef struct crash
{
  uint64_t boot; /* backend_record_boot of the backend server */
  usec_t sent_at;
  usec_t ended_at;
  bool is_confirmed; /* the backend server has ended, not only the
                        connection */
} crash_t;

typedef struct suspect
{
  fingerprint_t fingerprint;
  usec_t completed_at; /* of the last complete answer or release; 0: none */
  usec_t released_at;  /* of an operator's last release; 0: none */
  size_t n_crashes;
  crash_t crashes[CRASHES_PER_SUSPECT_MAX]; /* by ended_at */
  uint64_t n_dropped;  /* crashes for which there was no room */
  bool is_quarantined; /* valid while the table is judged */
  uint64_t changed;    /* value of the table's `sequence` at the last change of
                          what other VMs have to learn */
} suspect_t;

#endif
