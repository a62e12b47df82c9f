#include "delivery/retry_budget.h"

enum
{
  PERMILLE = 1000,
};

void
retry_budget_init (retry_budget_t *budget, uint32_t share_permille,
                   uint32_t burst)
{
  *budget
      = (retry_budget_t){ .share_permille = share_permille, .burst = burst };
}

void
retry_budget_earn (retry_budget_t *budget)
{
  uint32_t most = budget->burst * PERMILLE;
  budget->earned_permille += budget->share_permille;
  if (budget->earned_permille > most)
    budget->earned_permille = most;
}

bool
retry_budget_spend (retry_budget_t *budget)
{
  if (budget->earned_permille < PERMILLE)
    return false;
  budget->earned_permille -= PERMILLE;
  return true;
}
