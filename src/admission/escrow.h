/* escrow: a shared budget that is never exceeded, even while holders of its
   parts are partitioned from the granter.

   The granter runs in the control VMs, driven by the replicated log.  It
   divides a cap among accounts; the sum of the amounts granted and not
   returned never exceeds the cap.  Each amount of an account is a total that
   only grows, so lost, repeated, late and reordered messages are harmless.

   BUDGET_CAPACITY and BUDGET_RATE are leased.  The holder counts its lease
   from the time at which it sent the ask, by its own clock.  The granter
   counts from the time at which it applied the ask, and waits longer by the
   bound on the clock drift and a margin.  So the holder always stops before
   the granter reuses the amount.  A use that is charged beyond the holder's
   floor must end before the lease does.

   BUDGET_SPEND has no lease, so a partitioned holder may go on spending.
   An amount that an account has not returned when its holder opens a newer
   generation counts as spent for ever.

   A holder also has a FLOOR: a part of a leased budget that the settings
   assign to it permanently, so a partitioned VM continues within its floor.
   The granter never grants RESERVED, the sum of the floors of all holders.

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
  int64_t reserved; /* sum of the floors of all holders */
  /* One ask gets at most 1/GRANT_DIVISOR of the amount that may still be
     granted, rounded up; 0 counts as 1.  */
  int64_t grant_divisor;
  size_t n_accounts; /* size of the account table */
  lease_terms_t terms;
} escrow_options_t;

typedef struct account
{
  account_id_t id;
  int64_t granted;
  int64_t returned;
  usec_t renewed_at; /* last ask, by the granter's clock */
  bool open;
} account_t;

typedef struct escrow
{
  escrow_options_t options;
  int64_t spent;            /* outstanding amounts of closed spend accounts */
  usec_t last_shortfall_at; /* last ask that was not met in full; 0: none */
  account_t *accounts;      /* one for each holder and open generation */
  size_t n_accounts;
} escrow_t;

/* Create a granter.  Returns NULL with ERR_USAGE where the reserve exceeds the
   cap, n_accounts is 0 or the clock drift is 1,000,000 ppm or more.  The
   caller frees the result with escrow_free.  */
escrow_t *escrow_new (const escrow_options_t *options, err_t *err);

void escrow_free (escrow_t *escrow);

/* Apply ASK at the granter's time NOW and return the answer to send to the
   holder.  */
escrow_answer_t escrow_apply (escrow_t *escrow, const escrow_ask_t *ask,
                              usec_t now);

/* Close the accounts whose leases have expired, which frees their amounts.
   escrow_apply calls it too.  */
void escrow_expire (escrow_t *escrow, usec_t now);

/* Restart every lease at NOW, after a new leader with another clock took
   over.  */
void escrow_rebase (escrow_t *escrow, usec_t now);

/* The sum of the amounts granted and not returned, with those of closed spend
   accounts.  At most the cap less the reserve.  */
int64_t escrow_granted (const escrow_t *escrow);

/* The amount that may still be granted.  */
int64_t escrow_available (const escrow_t *escrow);

/* The floor of a holder, where PERCENT of CAP is reserved for all floors and
   the holder has PART of WHOLE, for example of all slots.  0 where WHOLE is
   not positive.  */
int64_t escrow_floor (int64_t cap, uint32_t percent, int64_t part,
                      int64_t whole);

/* Time after the last ask of a holder until the granter may reuse the amount
   that it leased.  */
usec_t escrow_granter_wait (const lease_terms_t *terms);

/* The holder.  */

typedef struct escrow_holder_options
{
  budget_kind_t kind;
  vm_id_t self;
  uint64_t generation; /* greater at every start of the process */
  int64_t floor;
  int64_t increase_min; /* smallest increase that is asked for at once */
  usec_t burst;         /* BUDGET_RATE: depth of the token bucket, as time */
  lease_terms_t terms;
} escrow_holder_options_t;

typedef struct escrow_holder
{
  escrow_holder_options_t options;
  account_id_t account;
  int64_t granted; /* total of this generation */
  int64_t returned;
  int64_t recall; /* amount to return, from the last answer */
  usec_t expiry;  /* end of the lease, by the holder's clock */
  int64_t in_use; /* spend: total charged; capacity: in flight */
  int64_t peak;   /* since the last ask: capacity: highest use; rate: bytes
                      charged; spend: in_use at that ask */
  bool charge_refused; /* a charge was refused since the last ask */
  usec_t asked_at;
  /* BUDGET_RATE: bytes that may be sent now; negative after a charge larger
     than the bucket or an overrun.  */
  double floor_tokens;
  double lease_tokens;
  usec_t refilled_at;
} escrow_holder_t;

void escrow_holder_init (escrow_holder_t *holder,
                         const escrow_holder_options_t *options, usec_t now);

/* Charge AMOUNT before anything is sent, for a use that ends by UNTIL (the
   holder's clock).  Returns false, with nothing charged, where the holder's
   share does not cover it.  */
bool escrow_holder_charge (escrow_holder_t *holder, int64_t amount,
                           usec_t until, usec_t now);

/* Whether escrow_holder_charge would accept AMOUNT and leave at least KEEP.
   Charges nothing.  */
bool escrow_holder_can_charge (escrow_holder_t *holder, int64_t amount,
                               int64_t keep, usec_t until, usec_t now);

/* Release AMOUNT of a charge made in GENERATION: the price of a request that
   did not run or cost less, a request in flight that ended, or bytes that were
   not sent.  The caller must release each charge only once; reservation_t of
   admit.h ensures that.  */
void escrow_holder_release (escrow_holder_t *holder, int64_t amount,
                            uint64_t generation);

/* Charge AMOUNT bytes that exceeded the expected size to the token bucket of
   the floor, which may become negative.  BUDGET_RATE only.  */
void escrow_holder_overrun (escrow_holder_t *holder, int64_t amount);

/* The ask to send now.  It renews the lease, returns what is not needed and
   asks for what is needed.  Call it several times in each lease, for example
   every third of its duration.  */
escrow_ask_t escrow_holder_ask (escrow_holder_t *holder, usec_t now);

/* Take in the granter's ANSWER; answers to other generations are ignored.  A
   stale answer opens a new generation with nothing granted.  */
void escrow_holder_answer (escrow_holder_t *holder,
                           const escrow_answer_t *answer, usec_t now);

/* Return all that is not in use, at a planned stop; returns the ask to
   send.  */
escrow_ask_t escrow_holder_close (escrow_holder_t *holder, usec_t now);

/* The amount that may be charged now.  */
int64_t escrow_holder_available (escrow_holder_t *holder, usec_t now);

/* The whole share of the holder now: its floor and its unexpired lease.  */
int64_t escrow_holder_share (escrow_holder_t *holder, usec_t now);

#endif
