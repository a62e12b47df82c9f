/* trial_router: the router of each region that may try a suspect request.

   Load pattern: many callers send, through all routers, a request that ends
   the backend servers that run it.  Until there is evidence enough to
   quarantine it, one router of each region runs it, once at a time; the others
   refuse it for a moment.  A request that merely ran where servers ended is
   answered there, and is cleared everywhere.

   Pure.  Rendezvous hashing: routers that know the same routers choose the
   same one.  */

#ifndef BALANCE_TRIAL_ROUTER_H
#define BALANCE_TRIAL_ROUTER_H

#include "balance/backend_pool.h"

/* Returns the address of the router in REGION, one of the N ROUTERS, that
   tries the request with the hash REQUEST; 0 if there is none.  */
uint32_t trial_router_choose (const pool_router_t *routers, size_t n,
                              const char *region, uint64_t request);

#endif
