/* spend_share: this entry VM's part of the shift's cost cap.

   A request's price is charged before anything is sent, and given back where
   it was not run.  A thread asks the control processes for more before the
   share is used up; cut off from them, the VM goes on with what it holds.
   Amounts are in thousandths of the currency's smallest unit, so a price for
   1,000 requests is one request's amount.  Thread-safe.  */

#ifndef ENTRY_SPEND_SHARE_H
#define ENTRY_SPEND_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"
#include "settings/settings_defs.h"
#include "shift/sheet_defs.h"
#include "wire/rpc.h"

typedef struct spend_share spend_share_t;

typedef struct spend_share_options
{
  const settings_t *settings;
  rpc_t *rpc;
  vm_id_t self;
  uint64_t generation; /* greater than those of earlier starts */
} spend_share_options_t;

/* What one request has charged.  */
typedef struct spend_charge
{
  uint64_t budget; /* 0: nothing is charged */
  uint64_t generation;
  int64_t amount;
} spend_charge_t;

spend_share_t *spend_share_start (const spend_share_options_t *options,
                                  err_t *err);

/* Give back what is not spent and end the thread; before rpc_close.  */
void spend_share_stop (spend_share_t *share);

/* After rpc_close.  */
void spend_share_free (spend_share_t *share);

/* A sheet with this BUDGET and CAP came into force.  */
void spend_share_set_cap (spend_share_t *share, uint64_t budget, money_t cap);

typedef enum
{
  SPEND_CHARGED,
  SPEND_RETRY_LATER, /* the share is empty, and more is on its way */
  SPEND_REFUSED,     /* the cap is used up, or no control VM answers */
} spend_result_t;

/* Charge AMOUNT to the share.  */
spend_result_t spend_share_charge (spend_share_t *share, int64_t amount,
                                   spend_charge_t *charge);

/* The request was not run.  A second call for the same charge does
   nothing.  */
void spend_share_refund (spend_share_t *share, spend_charge_t *charge);

#endif
