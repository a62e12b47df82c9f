#include "quota/quota_defs.h"

#include <math.h>

double
quota_demand_at (const quota_demand_t *demand, usec_t now)
{
  if (now <= demand->at)
    return demand->rate;
  return demand->rate
         * exp (-(double)(now - demand->at) / (double)QUOTA_DEMAND_TIME);
}

void
quota_demand_add (quota_demand_t *demand, double n, usec_t now)
{
  demand->rate = quota_demand_at (demand, now)
                 + n * (double)USEC_PER_SEC / (double)QUOTA_DEMAND_TIME;
  demand->at = now;
}
