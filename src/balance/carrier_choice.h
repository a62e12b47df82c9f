/* carrier_choice: which other router carries a request of a router that
   reaches no backend server.  Pure; times are usec of one monotonic clock.

   Load pattern: some or most routers of a region lose their links to all
   backend servers at once.  Their requests are divided between the other
   routers of the region and those of other regions by how much of the region
   is left, so that few do not carry the load of many.  */

#ifndef BALANCE_CARRIER_CHOICE_H
#define BALANCE_CARRIER_CHOICE_H

#include "balance/backend_pool.h"
#include "base/random.h"

enum
{
  CARRIERS_AVOIDED_MAX = 64,
};

/* A router that could not carry a request gets none for so long.  */
#define CARRIER_AVOID_TIME USEC_PER_SEC

typedef struct avoided_carrier
{
  uint32_t address;
  usec_t until;
} avoided_carrier_t;

/* All zero at first.  */
typedef struct carrier_choice
{
  size_t n_avoided;
  avoided_carrier_t avoided[CARRIERS_AVOIDED_MAX];
} carrier_choice_t;

typedef struct carrier_query
{
  const pool_router_t *routers;
  size_t n_routers;
  uint32_t self;                   /* address of this router */
  const char *region;              /* of this router */
  const route_t *route;            /* restricts the regions */
  const client_account_t *account; /* likewise; NULL: no restriction */
} carrier_query_t;

/* Returns the router that is to carry QUERY's request, or NULL if none can.
   One that is cut off itself, or was avoided, is not chosen.  */
const pool_router_t *carrier_choose (carrier_choice_t *choice,
                                     const carrier_query_t *query,
                                     random_state_t *random, usec_t now);

/* The router at ADDRESS could not carry a request.  */
void carrier_avoid (carrier_choice_t *choice, uint32_t address, usec_t now);

#endif
