/* retry_budget: extra attempts of one service as a share of its traffic.

   Each first attempt earns a share of a retry, up to a burst; each retry
   spends one.  The budget starts empty, so that extra attempts never pass
   the share of the first attempts, also in an outage.  */

#ifndef DELIVERY_RETRY_BUDGET_H
#define DELIVERY_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

typedef struct retry_budget
{
  uint32_t tokens_permille; /* of one retry, in hand */
  uint32_t ratio_permille;  /* that a first attempt earns; 100 is 10% */
  uint32_t burst;           /* retries that may be in hand */
} retry_budget_t;

void retry_budget_init (retry_budget_t *budget, uint32_t ratio_permille,
                        uint32_t burst);

/* A first attempt was sent.  */
void retry_budget_deposit (retry_budget_t *budget);

/* Take one retry; false where none is in hand.  */
bool retry_budget_withdraw (retry_budget_t *budget);

#endif
