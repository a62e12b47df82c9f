/* region_share: which part of a region's requests each region serves.  Pure.

   Load pattern: callers stand evenly over the regions, backend servers do
   not, and most services have less room than work.  Each region keeps what it
   has room for; what is left goes where there is room to spare.  The shares
   follow from who is there, not from the load of the moment, so they move
   only when routers or backend servers come and go.  */

#ifndef BALANCE_REGION_SHARE_H
#define BALANCE_REGION_SHARE_H

#include <stddef.h>

enum
{
  REGION_SHARES_MAX = 32,
};

typedef struct region_capacity
{
  double demand; /* of its callers, in any unit: its routers, say */
  double slots;  /* of the service there */
} region_capacity_t;

/* Fill in SHARES, which add up to 1: the part of the requests of region SELF
   that each of the N regions serves.  All are 0 where there are no slots.  */
void region_share (const region_capacity_t *regions, size_t n, size_t self,
                   double *shares);

#endif
