#include "admission/escrow.h"

#include <math.h>

enum
{
  GROWTH_DIVISOR = 4, /* a share is kept a quarter above the peak use */
  SPEND_PERIODS = 3,  /* periods between asks for which spend is held */
};

static int64_t
leased_amount (const escrow_holder_t *holder)
{
  return holder->granted - holder->returned;
}

static bool
is_lease (const escrow_holder_t *holder)
{
  return holder->options.kind != BUDGET_SPEND;
}

static void
open_generation (escrow_holder_t *holder, uint64_t generation)
{
  holder->account.generation = generation;
  holder->granted = 0;
  holder->returned = 0;
  holder->recall = 0;
  holder->expiry = 0;
  holder->lease_tokens = 0;
  if (!is_lease (holder))
    {
      holder->in_use = 0;
      holder->peak = 0;
    }
}

/* Stop using a lease that has expired by the holder's clock.  */
static void
expire_lease (escrow_holder_t *holder, usec_t now)
{
  if (is_lease (holder) && leased_amount (holder) > 0 && now >= holder->expiry)
    open_generation (holder, holder->account.generation + 1);
}

/* TOKENS after ELAPSED usec of refilling at RATE bytes per second, limited to
   the depth of the bucket.  */
static double
refill (const escrow_holder_t *holder, double tokens, int64_t rate,
        usec_t elapsed)
{
  double per_usec = (double)rate / (double)USEC_PER_SEC;
  double depth = per_usec * (double)holder->options.burst;
  return fmin (tokens + per_usec * (double)elapsed, depth);
}

static void
update_to (escrow_holder_t *holder, usec_t now)
{
  if (holder->options.kind == BUDGET_RATE && now > holder->refilled_at)
    {
      usec_t elapsed = now - holder->refilled_at;
      holder->floor_tokens = refill (holder, holder->floor_tokens,
                                     holder->options.floor, elapsed);
      holder->lease_tokens = refill (holder, holder->lease_tokens,
                                     leased_amount (holder), elapsed);
      holder->refilled_at = now;
    }
  expire_lease (holder, now);
}

void
escrow_holder_init (escrow_holder_t *holder,
                    const escrow_holder_options_t *options, usec_t now)
{
  *holder = (escrow_holder_t){ .options = *options };
  holder->account.holder = options->self;
  holder->refilled_at = now;
  holder->asked_at = now;
  open_generation (holder, options->generation);
  holder->floor_tokens = refill (holder, 0, options->floor, options->burst);
}

int64_t
escrow_holder_share (escrow_holder_t *holder, usec_t now)
{
  update_to (holder, now);
  return holder->options.floor + leased_amount (holder);
}

int64_t
escrow_holder_available (escrow_holder_t *holder, usec_t now)
{
  int64_t share = escrow_holder_share (holder, now);
  if (holder->options.kind == BUDGET_RATE)
    return (int64_t)(fmax (holder->floor_tokens, 0)
                     + fmax (holder->lease_tokens, 0));
  int64_t available = share - holder->in_use;
  return available > 0 ? available : 0;
}

/* Whether AMOUNT may be charged to a token bucket that is refilled at RATE:
   the bucket holds AMOUNT, or it is full and AMOUNT exceeds its depth.  */
static bool
bucket_can_charge (const escrow_holder_t *holder, double tokens, int64_t rate,
                   int64_t amount)
{
  if (rate <= 0)
    return false;
  double depth
      = (double)rate * (double)holder->options.burst / (double)USEC_PER_SEC;
  return tokens >= fmin ((double)amount, depth);
}

static bool
lease_bucket_can_charge (const escrow_holder_t *holder, int64_t amount,
                         usec_t until)
{
  return until <= holder->expiry
         && bucket_can_charge (holder, holder->lease_tokens,
                               leased_amount (holder), amount);
}

static bool
rate_can_charge (const escrow_holder_t *holder, int64_t amount, usec_t until)
{
  return lease_bucket_can_charge (holder, amount, until)
         || bucket_can_charge (holder, holder->floor_tokens,
                               holder->options.floor, amount);
}

bool
escrow_holder_can_charge (escrow_holder_t *holder, int64_t amount,
                          int64_t keep, usec_t until, usec_t now)
{
  update_to (holder, now);
  int64_t after = holder->in_use + amount + keep;
  switch (holder->options.kind)
    {
    case BUDGET_SPEND:
      return after <= leased_amount (holder) + holder->options.floor;
    case BUDGET_CAPACITY:
      if (after <= holder->options.floor)
        return true;
      return until <= holder->expiry
             && after <= holder->options.floor + leased_amount (holder);
    case BUDGET_RATE:
      return rate_can_charge (holder, amount + keep, until);
    }
  return false;
}

bool
escrow_holder_charge (escrow_holder_t *holder, int64_t amount, usec_t until,
                      usec_t now)
{
  if (!escrow_holder_can_charge (holder, amount, 0, until, now))
    {
      holder->charge_refused = true;
      return false;
    }
  if (holder->options.kind == BUDGET_RATE)
    {
      if (lease_bucket_can_charge (holder, amount, until))
        holder->lease_tokens -= (double)amount;
      else
        holder->floor_tokens -= (double)amount;
      holder->peak += amount;
      return true;
    }
  holder->in_use += amount;
  if (is_lease (holder) && holder->in_use > holder->peak)
    holder->peak = holder->in_use;
  return true;
}

void
escrow_holder_release (escrow_holder_t *holder, int64_t amount,
                       uint64_t generation)
{
  switch (holder->options.kind)
    {
    case BUDGET_SPEND:
      /* All of a closed generation counts as spent, so its refunds are
         ignored.  */
      if (generation == holder->account.generation)
        holder->in_use -= amount;
      break;
    case BUDGET_CAPACITY:
      holder->in_use -= amount;
      break;
    case BUDGET_RATE:
      holder->floor_tokens
          = refill (holder, holder->floor_tokens + (double)amount,
                    holder->options.floor, 0);
      break;
    }
}

void
escrow_holder_overrun (escrow_holder_t *holder, int64_t amount)
{
  if (holder->options.kind == BUDGET_RATE)
    holder->floor_tokens -= (double)amount;
}

/* The share to hold, by the peak use and the refusals since the last ask.  */
static int64_t
desired_share (const escrow_holder_t *holder, usec_t now)
{
  int64_t peak = holder->peak;
  if (holder->options.kind == BUDGET_RATE)
    {
      usec_t elapsed = now - holder->asked_at;
      double per_usec = elapsed > 0 ? (double)peak / (double)elapsed : 0;
      peak = (int64_t)(per_usec * (double)USEC_PER_SEC);
    }
  int64_t share = holder->options.floor + leased_amount (holder);
  int64_t desired
      = peak + peak / GROWTH_DIVISOR + holder->options.increase_min;
  int64_t grown
      = share + share / GROWTH_DIVISOR + holder->options.increase_min;
  return holder->charge_refused && grown > desired ? grown : desired;
}

/* The unspent amount to hold until the next answers: one step, or more where
   spending is fast.  PEAK holds what had been spent at the last ask.  */
static int64_t
desired_spend (const escrow_holder_t *holder)
{
  int64_t need = (holder->in_use - holder->peak) * SPEND_PERIODS;
  return need > holder->options.increase_min ? need
                                             : holder->options.increase_min;
}

/* The granted amount that may be returned without revoking charges.  */
static int64_t
unused_amount (const escrow_holder_t *holder)
{
  int64_t leased = leased_amount (holder);
  if (holder->options.kind == BUDGET_RATE)
    return leased;
  int64_t used = holder->in_use - holder->options.floor;
  return used > 0 ? leased - used : leased;
}

static void
return_unused (escrow_holder_t *holder, int64_t amount)
{
  int64_t unused = unused_amount (holder);
  if (amount > unused)
    amount = unused;
  if (amount > 0)
    holder->returned += amount;
}

/* Return what of HELD exceeds NEED by more than a step, and at least the
   recalled amount.  Returns the total to ask for.  */
static int64_t
wanted_total (escrow_holder_t *holder, int64_t held, int64_t need)
{
  int64_t surplus = held - need - holder->options.increase_min;
  return_unused (holder, surplus > holder->recall ? surplus : holder->recall);
  if (need <= held || holder->recall > 0)
    return holder->granted;
  return holder->granted + need - held;
}

escrow_ask_t
escrow_holder_ask (escrow_holder_t *holder, usec_t now)
{
  update_to (holder, now);
  int64_t wanted = 0;
  int64_t leased = leased_amount (holder);
  if (is_lease (holder))
    wanted = wanted_total (
        holder, leased, desired_share (holder, now) - holder->options.floor);
  else
    wanted = wanted_total (holder, leased - holder->in_use,
                           desired_spend (holder));
  holder->recall = 0;
  holder->charge_refused = false;
  holder->peak = holder->options.kind == BUDGET_RATE ? 0 : holder->in_use;
  holder->asked_at = now;
  return (escrow_ask_t){ .account = holder->account,
                         .sent_at = now,
                         .wanted = wanted,
                         .returned = holder->returned };
}

void
escrow_holder_answer (escrow_holder_t *holder, const escrow_answer_t *answer,
                      usec_t now)
{
  update_to (holder, now);
  if (answer->account.holder != holder->account.holder
      || answer->account.generation != holder->account.generation)
    return;
  if (answer->stale)
    {
      open_generation (holder, holder->account.generation + 1);
      return;
    }
  usec_t expiry = answer->sent_at + holder->options.terms.duration;
  if (expiry > holder->expiry)
    holder->expiry = expiry;
  if (answer->granted > holder->granted)
    holder->granted = answer->granted;
  holder->recall = answer->recall;
  expire_lease (holder, now);
}

escrow_ask_t
escrow_holder_close (escrow_holder_t *holder, usec_t now)
{
  update_to (holder, now);
  return_unused (holder, unused_amount (holder));
  return (escrow_ask_t){ .account = holder->account,
                         .sent_at = now,
                         .wanted = holder->granted,
                         .returned = holder->returned };
}
