/* retry_share: one router's part of the retries that a service allows, as a
   token bucket.  Pure.

   Load pattern: in an outage, or while backend servers refuse or lose many
   requests, the retries of all routers together must not overload the service.
   In each window the deployment allows a fraction of the requests plus a base
   number of retries; the routers divide the base evenly.  */

#ifndef BALANCE_RETRY_SHARE_H
#define BALANCE_RETRY_SHARE_H

#include <stdbool.h>
#include <stddef.h>

#include "settings/fleet_settings.h"

/* Zero-initialized: no retry allowed yet.  */
typedef struct retry_share
{
  double tokens;      /* retries that may be sent now */
  usec_t refilled_at; /* monotonic; 0: never */
} retry_share_t;

/* Refills the bucket.  Call it once for each new request of the service;
   N_ROUTERS is the number of known routers, 0 if none is known.  */
void retry_share_refill (retry_share_t *share, const fleet_bounds_t *bounds,
                         size_t n_routers, usec_t now);

/* Takes one token for a retry; returns false if there is none.  */
bool retry_share_take (retry_share_t *share);

#endif
