/* costs: what a request is charged before it is sent: its price against the
   shift's cost cap, and its bytes against the bandwidth of the links between
   regions.

   Only the dispatcher's thread may call these, except costs_new and
   costs_free.  */

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

/* A request that is to be sent to a backend server in REGION.  */
typedef struct costs_request
{
  service_id_t service;
  region_id_t region;
  size_t request_bytes; /* of the body, without headers */
} costs_request_t;

costs_t *costs_new (const costs_options_t *options);

void costs_free (costs_t *costs);

/* Apply the cost cap of a newer sheet.  Call it every few milliseconds.  */
void costs_tick (costs_t *costs);

typedef enum
{
  COSTS_CHARGED,
  COSTS_RETRY_LATER, /* more of the cap is being requested */
  COSTS_LINK_FULL,   /* no bandwidth left: try another region */
  COSTS_CAP_REACHED, /* the shift's cost cap is used up */
} costs_result_t;

/* Charge the price and the bytes of REQUEST, or nothing at all.  CHARGE
   receives the price, for costs_refund.  */
costs_result_t costs_charge (costs_t *costs, const costs_request_t *request,
                             spend_charge_t *charge, usec_t now);

/* Refund the price of a request that was not run.  Its bytes are not refunded,
   as the links' shares are refilled with time.  */
void costs_refund (costs_t *costs, spend_charge_t *charge);

#endif
