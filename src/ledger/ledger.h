/* ledger: one replica's store of claims on tickets.

   A claim is free (it has no record), claimed (by one attempt, in one
   generation), released (no attempt of that generation may run) or done (its
   outcome is stored).  A replica that restarted has a new incarnation and an
   empty store; it never votes on tickets that name an earlier incarnation.

   Memory is bounded.  A replica without a free record answers VOTE_FULL.
   This refusal is final: a Bloom filter of fixed size keeps it, so that no
   later attempt of the same generation gets this replica's vote.  A false
   positive of the filter refuses a ticket that could have run; the filter
   never lets a refused ticket run.  */

#ifndef LEDGER_LEDGER_H
#define LEDGER_LEDGER_H

#include "ledger/ledger_defs.h"

typedef struct ledger ledger_t;

typedef struct ledger_options
{
  vm_id_t self;
  uint64_t incarnation;        /* greater than all earlier ones of this VM */
  size_t max_vms;              /* VM IDs must be below this */
  size_t max_claims;           /* records of claims */
  size_t max_total_body_bytes; /* of all stored bodies together */
  size_t max_body_bytes;       /* of one stored body */
  usec_t ticket_lifetime; /* from issue to expiry, on the issuer's clock */
  uint32_t drift_ppm; /* greatest drift between two VMs' clocks, in parts per
                           million; up to 500000 */
} ledger_options_t;

typedef struct ledger_stats
{
  size_t claims;      /* current number of records */
  size_t body_bytes;  /* current size of the stored bodies */
  size_t fixed_bytes; /* allocated at creation, without bodies */
  uint64_t granted;
  uint64_t released;
  uint64_t recorded;
  uint64_t expired;
  uint64_t refused_full;
  uint64_t refused_incarnation;
  uint64_t conflicts;
} ledger_stats_t;

/* Allocates all memory except that of stored bodies.  Returns NULL with
   ERR_SETTINGS where an option is out of range, and with ERR_LIMIT where
   memory is short.  */
ledger_t *ledger_new (const ledger_options_t *options, usec_t now, err_t *err);

void ledger_free (ledger_t *ledger);

/* Process a heartbeat of the entry VM with the ID VM, whose monotonic clock
   read STAMP.  */
void ledger_on_heartbeat (ledger_t *ledger, vm_id_t vm, uint64_t incarnation,
                          usec_t stamp, usec_t now);

/* Process one request of a claimant.  Requests are idempotent: a repeated one
   gets the same vote, unless the claim has changed since.  */
ledger_vote_t ledger_on_request (ledger_t *ledger,
                                 const ledger_request_t *request, usec_t now);

/* Drop expired claims among the next MAX_STEPS records; returns how many were
   dropped.  Call it about once a second.  */
size_t ledger_sweep (ledger_t *ledger, size_t max_steps, usec_t now);

ledger_stats_t ledger_stats (const ledger_t *ledger);

#endif
