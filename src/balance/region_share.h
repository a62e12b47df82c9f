/* region_share: how the requests of one region are divided among the regions.
   Pure.

   Load pattern: callers are spread evenly over the regions, backend servers
   are not, and most services have less capacity than demand.  Each region
   serves its own requests as far as its capacity allows; the rest goes to
   regions with spare capacity.  The shares depend on the routers and backend
   servers that are present, not on the present load, so they change only when
   routers or backend servers come or go.  */

#ifndef BALANCE_REGION_SHARE_H
#define BALANCE_REGION_SHARE_H

#include <stddef.h>

enum
{
  REGION_SHARES_MAX = 32, /* regions */
};

typedef struct region_capacity
{
  double demand; /* relative request volume, for example number of routers */
  double slots;  /* of the service's backend servers in the region */
} region_capacity_t;

/* Sets SHARES[i] to the fraction of the requests of region SELF that region i
   of the N regions serves.  The shares add up to 1; all are 0 if no region has
   slots.  N must not exceed REGION_SHARES_MAX, and SELF must be less than
   N.  */
void region_share (const region_capacity_t *regions, size_t n, size_t self,
                   double *shares);

#endif
