/* escrow: a budget that is conserved while its holders are cut off.

   The granter (in the control VMs, driven by the replicated log) splits a
   cap over accounts; the sum of what is granted and not returned never
   passes the cap.  Each account's amounts are totals that only grow, so
   repeated, late and crossed messages are idempotent.

   Leased kinds (capacity, rate): the holder counts its lease from when it
   sent the ask, by its own clock; the granter from when it applied it, and
   waits longer by the drift bound and the margin.  So the holder always
   stops first; what it charges beyond its floor must end before its lease
   does.  Spend: what an account did not return before its holder opened a
   newer generation counts as spent for ever, so there is no lease, and a
   holder may go on spending while it is cut off.

   A holder also has a FLOOR: a part of a leased budget that is its own for
   good by the settings, so a cut-off VM goes on within it.  The floors of
   all holders are RESERVED at the granter.

   Pure; not thread-safe.  */

#ifndef ADMISSION_ESCROW_H
#define ADMISSION_ESCROW_H

#include <stddef.h>

#include "admission/escrow_defs.h"
#include "base/error.h"

/* The granter.  */

typedef struct escrow_options
{
  budget_kind_t kind;
  int64_t cap;
  int64_t reserved; /* sum of all holders' floors */
  int64_t
      grant_divisor; /* one ask gets at most 1/part of what is free; 0 is 1 */
  size_t n_accounts; /* bound on open accounts */
  lease_terms_t terms;
} escrow_options_t;

typedef struct account
{
  account_id_t id;
  int64_t granted;
  int64_t returned;
  usec_t renewed_at; /* granter's clock */
  bool open;
} account_t;

typedef struct escrow
{
  escrow_options_t options;
  int64_t spent;       /* of closed spend accounts */
  usec_t refused_at;   /* when an ask was last not met in full */
  account_t *accounts; /* one a holder and open generation */
  size_t n_accounts;
} escrow_t;

/* NULL with ERR_USAGE where the reserve passes the cap or a bound is bad.
   The caller frees it with escrow_free.  */
escrow_t *escrow_new (const escrow_options_t *options, err_t *err);

void escrow_free (escrow_t *escrow);

/* Apply ASK at the granter's time NOW.  */
escrow_answer_t escrow_apply (escrow_t *escrow, const escrow_ask_t *ask,
                              usec_t now);

/* Close lapsed accounts: a lease's amount is free again.  escrow_apply does
   it by itself.  */
void escrow_expire (escrow_t *escrow, usec_t now);

/* A new leader with another clock took over: every open lease counts from
   NOW.  */
void escrow_rebase (escrow_t *escrow, usec_t now);

/* Granted and not returned, spent for good included.  Never over the cap
   less the reserve.  */
int64_t escrow_granted (const escrow_t *escrow);

int64_t escrow_available (const escrow_t *escrow);

/* A holder's floor where PERCENT of CAP is reserved and it has PART of WHOLE
   (of the slots that the holders admit to, say).  */
int64_t escrow_floor (int64_t cap, uint32_t percent, int64_t part,
                      int64_t whole);

/* How long the granter waits before it hands on a lapsed share.  */
usec_t escrow_granter_wait (const lease_terms_t *terms);

/* The holder.  */

typedef struct escrow_holder_options
{
  budget_kind_t kind;
  vm_id_t self;
  uint64_t generation; /* rises with every start of the process */
  int64_t floor;
  int64_t step; /* least amount asked for at once */
  usec_t burst; /* BUDGET_RATE: depth of the bucket, as time */
  lease_terms_t terms;
} escrow_holder_options_t;

typedef struct escrow_holder
{
  escrow_holder_options_t options;
  account_id_t account;
  int64_t granted; /* totals of this generation */
  int64_t returned;
  int64_t recall;
  usec_t expiry;  /* of the lease, own clock */
  int64_t in_use; /* spend: total spent; capacity: in flight */
  int64_t peak;   /* highest use since the last ask */
  bool denied;    /* a charge was refused since the last ask */
  usec_t asked_at;
  /* BUDGET_RATE: bytes that may go now; in debt by one charge at most.  */
  double floor_tokens;
  double lease_tokens;
  usec_t filled_at;
} escrow_holder_t;

void escrow_holder_init (escrow_holder_t *holder,
                         const escrow_holder_options_t *options, usec_t now);

/* Charge AMOUNT before anything is sent, for a use that ends by UNTIL (own
   clock).  False where the share does not hold it.  */
bool escrow_holder_charge (escrow_holder_t *holder, int64_t amount,
                           usec_t until, usec_t now);

/* What escrow_holder_charge would say, for an amount kept out of reach: a
   charge that leaves less than KEEP is refused.  */
bool escrow_holder_can_charge (escrow_holder_t *holder, int64_t amount,
                               int64_t keep, usec_t until, usec_t now);

/* Give back AMOUNT of a charge made in GENERATION: spend that was not run or
   cost less, a request in flight that ended, bytes that were not sent.  The
   caller gives each charge back once; reservation_t in admit.h sees to
   that.  */
void escrow_holder_release (escrow_holder_t *holder, int64_t amount,
                            uint64_t generation);

/* Bytes that came over the expected size: a debt on the bucket.  */
void escrow_holder_overrun (escrow_holder_t *holder, int64_t amount);

/* The ask to send now (every third of the lease, say): it renews the lease,
   gives back what is not needed and asks for what is.  */
escrow_ask_t escrow_holder_ask (escrow_holder_t *holder, usec_t now);

void escrow_holder_answer (escrow_holder_t *holder,
                           const escrow_answer_t *answer, usec_t now);

/* Give everything back at a planned stop; the ask to send.  */
escrow_ask_t escrow_holder_close (escrow_holder_t *holder, usec_t now);

/* What may be charged now.  */
int64_t escrow_holder_available (escrow_holder_t *holder, usec_t now);

/* The whole share that is held now: floor and live lease.  */
int64_t escrow_holder_share (escrow_holder_t *holder, usec_t now);

#endif
