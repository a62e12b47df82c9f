#include "balance/region_share.h"

/* Room that a region's own callers may take of its slots, relative to an even
   load of all slots: a few objects more than the average are borne, and save
   the way to another region.  */
static const double own_room = 1.2;

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
  double own = smaller (own_demand, own_room * regions[self].slots / slots);
  double spare[REGION_SHARES_MAX] = { 0 };
  double spare_sum = 0;
  for (size_t i = 0; i < n && i < REGION_SHARES_MAX; i++)
    {
      double wanted = demand > 0 ? regions[i].demand / demand : 0;
      double room = regions[i].slots / slots;
      if (i == self || room <= 0)
        continue;
      spare[i] = room > wanted ? room - wanted : 0;
      spare_sum += spare[i];
    }
  shares[self] = own / own_demand;
  double left = 1 - shares[self];
  double others = slots - regions[self].slots;
  for (size_t i = 0; i < n && i < REGION_SHARES_MAX; i++)
    {
      if (i == self)
        continue;
      if (spare_sum > 0)
        shares[i] = left * spare[i] / spare_sum;
      else if (others > 0)
        shares[i] = left * regions[i].slots / others;
    }
  if (others <= 0)
    shares[self] = 1;
}
