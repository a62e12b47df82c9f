/* ledger: one replica's store of claims on tickets.

   A claim is free (no record), claimed (by one attempt, in one generation),
   released (no attempt of that generation may run) or done (with its
   outcome).  A replica that restarted has another incarnation and an empty
   store; it never votes on tickets that name the former one.

   Memory is bounded.  A replica without room answers VOTE_FULL, which is a
   lasting promise: a filter of fixed size remembers the refusal, so that no
   later attempt of the same generation gets this replica's vote.  A false
   match of the filter refuses a ticket that could have run, never the
   reverse.  */

#ifndef LEDGER_LEDGER_H
#define LEDGER_LEDGER_H

#include "ledger/ledger_defs.h"

typedef struct ledger ledger_t;

typedef struct ledger_options
{
  vm_id_t self;
  uint64_t incarnation;        /* greater than all former ones of this VM */
  size_t max_vms;              /* vm_id_t below this are known */
  size_t max_claims;           /* records */
  size_t max_total_body_bytes; /* of kept bodies, all together */
  size_t max_body_bytes;       /* bytes of one kept body */
  usec_t ticket_lifetime;      /* from issue to expiry */
  uint32_t drift_ppm; /* that two clocks may run apart, in parts of 10^6 */
} ledger_options_t;

typedef struct ledger_stats
{
  size_t claims;      /* records now */
  size_t body_bytes;  /* of kept bodies now */
  size_t fixed_bytes; /* bytes taken at creation, without bodies */
  uint64_t granted;
  uint64_t released;
  uint64_t recorded;
  uint64_t expired;
  uint64_t refused_full;
  uint64_t refused_incarnation;
  uint64_t conflicts;
} ledger_stats_t;

/* Everything but kept bodies is fixed_bytes here.  NULL where a bound is zero
   or memory is short.  */
ledger_t *ledger_new (const ledger_options_t *options, usec_t now, err_t *err);

void ledger_free (ledger_t *ledger);

/* A heartbeat of entry VM: its monotonic clock read STAMP.  */
void ledger_on_heartbeat (ledger_t *ledger, vm_id_t vm, uint64_t incarnation,
                          usec_t stamp, usec_t now);

/* Answer one ask.  The same ask again gives the same answer.  */
ledger_vote_t ledger_on_request (ledger_t *ledger, const ledger_request_t *ask,
                                 usec_t now);

/* Drop expired claims, looking at no more than MAX_STEPS; returns how many
   were dropped.  Call it every second or so.  */
size_t ledger_sweep (ledger_t *ledger, size_t max_steps, usec_t now);

ledger_stats_t ledger_stats (const ledger_t *ledger);

#endif
