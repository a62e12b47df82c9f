/* cost: the cost of a sheet's plan, and whether the plan can be carried out.

   A plan is refused at submission where the shares of a service do not sum to
   100, a planned region has no price or no backend server that takes new
   requests, the expected cost or the price of one request exceeds the cost
   cap, the backend servers of a region have more slots than the region's
   capacity, or the remaining slots, region or links could not carry the
   measured load (a drain that goes too far).  The error message names what is
   exceeded and by how much.  Pure.  */

#ifndef SHIFT_COST_H
#define SHIFT_COST_H

#include <stdbool.h>
#include <stddef.h>

#include "base/error.h"
#include "shift/sheet_defs.h"

/* Measured load, used to check a drain.  The arrays are indexed by
   service * n_regions + region of origin.  */
typedef struct shift_load
{
  const double *in_flight;  /* mean number of running requests */
  const double *per_second; /* requests per second */
  double headroom;          /* fraction kept free, from 0 to 1 */
} shift_load_t;

typedef struct cost_region
{
  money_t expected; /* by planned shares, all services equally used */
  money_t worst;    /* if all requests were of its most expensive service */
} cost_region_t;

typedef struct cost
{
  money_t expected;
  money_t worst;            /* every request at the highest price */
  money_t worst_request;    /* highest price of one request, rounded up */
  cost_region_t *regions;   /* by region */
  double *link_bytes;       /* per second, by link; zeros without a load */
  double *region_in_flight; /* planned, by region; zeros without a load */
} cost_t;

/* Calculate the cost of SHEET.  LOAD may be NULL.  False with ERR_SHEET where
   a planned region has no price or no backend server, or the shares of a
   service do not sum to 100.  Call cost_free afterwards, also on failure.  */
bool cost_of_sheet (cost_t *cost, const sheet_t *sheet,
                    const topology_t *topology, const shift_load_t *load,
                    err_t *err);

void cost_free (cost_t *cost);

/* Whether the system can accept SHEET: false with ERR_SHEET (a bad plan) or
   ERR_LIMIT (cap, slots, region or link), naming what is exceeded.  LOAD may
   be NULL; then only what does not depend on load is checked.  */
bool cost_check (const sheet_t *sheet, const topology_t *topology,
                 const shift_load_t *load, err_t *err);

/* The price of one request of SERVICE in REGION, rounded up to whole
   units of money; false where it has no price.  */
bool cost_of_request (const sheet_t *sheet, service_id_t service,
                      region_id_t region, money_t *price);

/* Planned share of SERVICE in REGION in percent.  A service without share
   records has an equal share in each region where a backend server takes new
   requests.  */
uint32_t cost_share (const sheet_t *sheet, const topology_t *topology,
                     service_id_t service, region_id_t region);

#endif
