#include "delivery/retry_budget.h"

enum
{
  TOKEN_PERMILLE = 1000, /* thousandths of one token */
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
  uint32_t max_tokens = budget->burst * TOKEN_PERMILLE;
  budget->tokens_permille += budget->ratio_permille;
  if (budget->tokens_permille > max_tokens)
    budget->tokens_permille = max_tokens;
}

bool
retry_budget_withdraw (retry_budget_t *budget)
{
  if (budget->tokens_permille < TOKEN_PERMILLE)
    return false;
  budget->tokens_permille -= TOKEN_PERMILLE;
  return true;
}
