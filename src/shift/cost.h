/* cost: what a sheet's plan costs, and whether it can be met.

   A plan is refused at submission where a service's shares do not sum to
   100, a planned region has no price or no backend server that takes work,
   its expected cost passes the cap, a region's backend servers have more
   slots than it carries, or a drain would leave more load than
   the remaining slots, region or links carry.  The message names what is
   lacking and how much.  Pure.  */

#ifndef SHIFT_COST_H
#define SHIFT_COST_H

#include <stdbool.h>
#include <stddef.h>

#include "base/error.h"
#include "shift/sheet_defs.h"

/* Measured load, so that a drain can be checked; arrays by
   service * n_regions + region of origin.  */
typedef struct shift_load
{
  const double *in_flight;  /* mean requests running */
  const double *per_second; /* requests */
  double headroom;          /* fraction kept free, from 0 to 1 */
} shift_load_t;

typedef struct cost_region
{
  money_t expected; /* by planned shares, services in equal parts */
  money_t worst;    /* if all its traffic were of its dearest service */
} cost_region_t;

typedef struct cost
{
  money_t expected;
  money_t worst;            /* every request at the dearest price */
  money_t worst_request;    /* dearest single request, rounded up */
  cost_region_t *regions;   /* by region */
  double *link_bytes;       /* a second, by link; zeros without a load */
  double *region_in_flight; /* planned, by region; zeros without a load */
} cost_t;

/* Work out SHEET's cost.  LOAD may be NULL.  False with ERR_SHEET where the
   plan lacks a price or its shares are not whole.  The arrays are freed by
   cost_free, also after a failure.  */
bool cost_of_sheet (cost_t *cost, const sheet_t *sheet,
                    const topology_t *topology, const shift_load_t *load,
                    err_t *err);

void cost_free (cost_t *cost);

/* Whether the system can accept SHEET: false with ERR_SHEET (a bad plan) or
   ERR_LIMIT (cap, slots, region or link), naming what it lacks.  LOAD may be
   NULL; then only what does not depend on load is checked.  */
bool cost_check (const sheet_t *sheet, const topology_t *topology,
                 const shift_load_t *load, err_t *err);

/* The worst price of one request of SERVICE in REGION, rounded up to whole
   units of money; false where it has no price.  */
bool cost_of_request (const sheet_t *sheet, service_id_t service,
                      region_id_t region, money_t *price);

/* Planned share of SERVICE in REGION in percent.  A service without any
   share record has an equal share in each region with a backend server.  */
uint32_t cost_share (const sheet_t *sheet, const topology_t *topology,
                     service_id_t service, region_id_t region);

#endif
