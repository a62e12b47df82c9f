/* retry_share: one router's share of the retries that a service bears.  Pure.

   Load pattern: an outage, or backend servers that refuse or lose many
   requests; retries of all routers together must not become a load of their
   own.  The deployment allows a part of the requests and a base, in each
   window; the routers split the base evenly.  */

#ifndef BALANCE_RETRY_SHARE_H
#define BALANCE_RETRY_SHARE_H

#include <stdbool.h>
#include <stddef.h>

#include "settings/fleet_settings.h"

typedef struct retry_share
{
  double tokens;      /* retries in hand */
  usec_t refilled_at; /* when the base was counted last; 0: never */
} retry_share_t;

/* Another request of the service has come; N_ROUTERS are known.  */
void retry_share_refill (retry_share_t *share, const fleet_bounds_t *bounds,
                         size_t n_routers, usec_t now);

/* Take one retry; false where none is in hand.  */
bool retry_share_take (retry_share_t *share);

#endif
