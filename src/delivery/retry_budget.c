#include "delivery/retry_budget.h"

enum
{
  PERMILLE = 1000,
};

void
retry_budget_init (retry_budget_t *budget, uint32_t ratio_permille,
                   uint32_t burst)
{
  *budget
      = (retry_budget_t){ .ratio_permille = ratio_permille, .burst = burst };
}

void
retry_budget_deposit (retry_budget_t *budget)
{
  uint32_t most = budget->burst * PERMILLE;
  budget->tokens_permille += budget->ratio_permille;
  if (budget->tokens_permille > most)
    budget->tokens_permille = most;
}

bool
retry_budget_withdraw (retry_budget_t *budget)
{
  if (budget->tokens_permille < PERMILLE)
    return false;
  budget->tokens_permille -= PERMILLE;
  return true;
}
