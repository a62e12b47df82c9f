#include "admission/admit.h"

enum
{
  PERCENT = 100,
};

/* The amount that a request must leave in HOLDER, where HOLDBACK_PERCENT of
   the budget is held back for classes of higher weight.  */
static int64_t
holdback_amount (escrow_holder_t *holder, uint32_t holdback_percent,
                 usec_t now)
{
  if (holdback_percent == 0)
    return 0;
  int64_t whole = 0;
  switch (holder->options.kind)
    {
    case BUDGET_SPEND:
      whole = holder->options.increase_min;
      break;
    case BUDGET_CAPACITY:
      whole = escrow_holder_share (holder, now);
      break;
    case BUDGET_RATE:
      whole = escrow_holder_share (holder, now) * holder->options.burst
              / USEC_PER_SEC;
      break;
    }
  return whole * holdback_percent / PERCENT;
}

static bool
budget_charge (escrow_holder_t *holder, int64_t amount,
               uint32_t holdback_percent, usec_t until, usec_t now)
{
  if (!holder)
    return true;
  int64_t holdback = holdback_amount (holder, holdback_percent, now);
  if (holdback > 0
      && !escrow_holder_can_charge (holder, amount, holdback, until, now))
    return false;
  return escrow_holder_charge (holder, amount, until, now);
}

static void
budget_release (escrow_holder_t *holder, int64_t amount, uint64_t generation)
{
  if (holder)
    escrow_holder_release (holder, amount, generation);
}

uint32_t
reservation_holdback_percent (uint32_t holdback_percent, uint16_t weight,
                              uint16_t weight_max)
{
  if (weight >= weight_max)
    return 0;
  return holdback_percent * (uint32_t)(weight_max - weight) / weight_max;
}

bool
reservation_take (reservation_t *reservation, const admit_budgets_t *budgets,
                  const admit_needs_t *needs, uint32_t holdback_percent,
                  usec_t until, usec_t now, refusal_t *refusal)
{
  uint64_t generation = 0;
  if (!budget_charge (budgets->capacity, 1, holdback_percent, until, now))
    {
      *refusal = REFUSAL_CAPACITY;
      return false;
    }
  if (!budget_charge (budgets->spend, needs->price, holdback_percent, until,
                      now))
    {
      *refusal = REFUSAL_SPEND;
      goto release_capacity;
    }
  if (budgets->spend)
    generation = budgets->spend->account.generation;
  *refusal = REFUSAL_LINK;
  if (!budget_charge (budgets->request_link, needs->request_bytes,
                      holdback_percent, until, now))
    goto release_spend;
  if (!budget_charge (budgets->answer_link, needs->answer_bytes,
                      holdback_percent, until, now))
    goto release_request_link;
  *refusal = REFUSAL_NONE;
  *reservation = (reservation_t){ .budgets = *budgets,
                                  .needs = *needs,
                                  .spend_generation = generation,
                                  .held = true };
  return true;

release_request_link:
  budget_release (budgets->request_link, needs->request_bytes, 0);
release_spend:
  budget_release (budgets->spend, needs->price, generation);
release_capacity:
  budget_release (budgets->capacity, 1, 0);
  return false;
}

void
reservation_end (reservation_t *reservation, bool ran)
{
  if (!reservation->held)
    return;
  reservation->held = false;
  const admit_budgets_t *budgets = &reservation->budgets;
  const admit_needs_t *needs = &reservation->needs;
  budget_release (budgets->capacity, 1, 0);
  if (ran)
    return;
  budget_release (budgets->spend, needs->price, reservation->spend_generation);
  budget_release (budgets->request_link, needs->request_bytes, 0);
  budget_release (budgets->answer_link, needs->answer_bytes, 0);
}
