/* spend_share: this entry VM's share of the shift's cost cap.

   A request's price is charged before anything is sent, and refunded where the
   request was not run.  A thread requests more from the control processes
   before the share is used up; while none of them can be reached, the VM
   continues with what it holds.  Amounts are in thousandths of the currency's
   smallest unit, so a price for 1,000 requests is one request's amount.
   Thread-safe.  */

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
  uint64_t generation; /* greater than at earlier starts of this VM */
} spend_share_options_t;

/* The charge of one request.  */
typedef struct spend_charge
{
  uint64_t budget; /* 0: nothing is charged */
  uint64_t generation;
  int64_t amount;
} spend_charge_t;

/* Start the thread.  NULL with ERR set where threads are short.  */
spend_share_t *spend_share_start (const spend_share_options_t *options,
                                  err_t *err);

/* Return the unspent rest to the control processes, within about a second, and
   end the thread; call it before rpc_close.  */
void spend_share_stop (spend_share_t *share);

/* Call it after rpc_close.  */
void spend_share_free (spend_share_t *share);

/* A sheet with this BUDGET number and cost CAP is in force.  A higher budget
   number replaces the share.  */
void spend_share_set_cap (spend_share_t *share, uint64_t budget, money_t cap);

/* Whether the control processes have told what this VM may spend, or can't be
   reached for longer than elections take.  */
bool spend_share_is_known (spend_share_t *share);

typedef enum
{
  SPEND_CHARGED,
  SPEND_RETRY_LATER, /* the share is empty; more is being requested */
  SPEND_REFUSED,     /* the cap is used up, or no control VM has answered for
                        longer than elections take */
} spend_result_t;

/* Charge AMOUNT to the share; CHARGE is set with SPEND_CHARGED only.  */
spend_result_t spend_share_charge (spend_share_t *share, int64_t amount,
                                   spend_charge_t *charge);

/* Refund CHARGE, whose request was not run, and clear it, so that a second
   call does nothing.  */
void spend_share_refund (spend_share_t *share, spend_charge_t *charge);

#endif
