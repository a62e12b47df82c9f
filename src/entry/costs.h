/* costs: what a request is charged before it is sent: its price from the
   shift's cost cap, its bytes from the links between regions.

   For the dispatcher's thread alone, but for costs_new and costs_free.  */

#ifndef ENTRY_COSTS_H
#define ENTRY_COSTS_H

#include "delivery/request_defs.h"
#include "entry/current_sheet.h"
#include "entry/spend_share.h"

typedef struct costs costs_t;

typedef struct costs_options
{
  const settings_t *settings;
  vm_id_t self;
  current_sheet_t *current_sheet;
  spend_share_t *spend;
} costs_options_t;

/* A request that is to go to a backend server in REGION.  */
typedef struct costs_request
{
  service_id_t service;
  region_id_t region;
  size_t request_bytes; /* of the body */
} costs_request_t;

costs_t *costs_new (const costs_options_t *options);

void costs_free (costs_t *costs);

/* Follow the sheet in force.  */
void costs_tick (costs_t *costs);

typedef enum
{
  COSTS_CHARGED,
  COSTS_RETRY_LATER, /* try again in a moment */
  COSTS_LINK_FULL,   /* try another region */
  COSTS_CAP_REACHED, /* the shift's cost cap is used up */
} costs_result_t;

/* Charge USE, whole or not at all.  CHARGE is the price, for
   costs_refund.  */
costs_result_t costs_charge (costs_t *costs, const costs_request_t *use,
                             spend_charge_t *charge, usec_t now);

/* The request was not run: its price is given back.  Its bytes are not: the
   links' shares fill up again by themselves.  */
void costs_refund (costs_t *costs, spend_charge_t *charge);

#endif
