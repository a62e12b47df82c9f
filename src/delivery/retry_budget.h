/* retry_budget: a token bucket that limits the retries of one service to a
   share of its traffic.

   Each first attempt deposits a fraction of a token, up to the burst; each
   retry withdraws one token.  The bucket starts empty, so that the number of
   retries never exceeds the configured share of the first attempts, not even
   when every attempt fails.  */

#ifndef DELIVERY_RETRY_BUDGET_H
#define DELIVERY_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

typedef struct retry_budget
{
  uint32_t tokens_permille; /* in thousandths of one retry */
  uint32_t ratio_permille;  /* that a first attempt deposits; 100 allows
                               one retry for 10 first attempts */
  uint32_t burst;           /* the most retries that can accumulate */
} retry_budget_t;

void retry_budget_init (retry_budget_t *budget, uint32_t ratio_permille,
                        uint32_t burst);

/* Account for a first attempt that was sent.  */
void retry_budget_deposit (retry_budget_t *budget);

/* Take one retry from BUDGET.  Returns false, and takes nothing, where less
   than one retry is available.  */
bool retry_budget_withdraw (retry_budget_t *budget);

#endif
