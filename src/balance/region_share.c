#include "balance/region_share.h"

/* Limit for the requests that a region keeps, relative to its part of all
   slots, that is, to an even load of all slots.  Above 1, because a slightly
   higher load is cheaper than the network time to another region.  */
static const double own_load_max = 1.2;

static double
smaller (double a, double b)
{
  return a < b ? a : b;
}

void
region_share (const region_capacity_t *regions, size_t n, size_t self,
              double *shares)
{
  double demand = 0;
  double slots = 0;
  for (size_t i = 0; i < n; i++)
    {
      demand += regions[i].demand;
      slots += regions[i].slots;
      shares[i] = 0;
    }
  if (slots <= 0)
    return;
  double own_demand = demand > 0 ? regions[self].demand / demand : 0;
  if (own_demand <= 0)
    own_demand = 1.0 / (double)n;
  double own_load
      = smaller (own_demand, own_load_max * regions[self].slots / slots);
  double spare[REGION_SHARES_MAX] = { 0 };
  double spare_sum = 0;
  for (size_t i = 0; i < n && i < REGION_SHARES_MAX; i++)
    {
      double demand_part = demand > 0 ? regions[i].demand / demand : 0;
      double slots_part = regions[i].slots / slots;
      if (i == self || slots_part <= 0)
        continue;
      spare[i] = slots_part > demand_part ? slots_part - demand_part : 0;
      spare_sum += spare[i];
    }
  shares[self] = own_load / own_demand;
  double remainder = 1 - shares[self];
  double other_slots = slots - regions[self].slots;
  for (size_t i = 0; i < n && i < REGION_SHARES_MAX; i++)
    {
      if (i == self)
        continue;
      if (spare_sum > 0)
        shares[i] = remainder * spare[i] / spare_sum;
      else if (other_slots > 0)
        shares[i] = remainder * regions[i].slots / other_slots;
    }
  if (other_slots <= 0)
    shares[self] = 1;
}
