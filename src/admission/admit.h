/* admit: admission control; decides whether a request runs now, waits in a
   queue, or is refused as "not run".

   There is one gate for each service, at the VM that grants the slots of the
   service's backend servers.  A request runs at once while a slot is free and
   every budget covers it.  It is queued only while it can still be answered
   by its deadline at the measured service time; otherwise it is refused at
   once, before anything is sent.  A queue that has not been empty for some
   time is a standing queue: it adds latency without adding throughput, so it
   is limited to the length that keeps the slots busy.

   A request first takes a slot, then its budgets are charged in one order:
   region capacity, spend, request link, answer link.  When one of them
   refuses, the earlier ones are released.  The classes of lower weight leave a
   part of each budget to those of higher weight.  Pure; not thread-safe.  */

#ifndef ADMISSION_ADMIT_H
#define ADMISSION_ADMIT_H

#include "admission/escrow.h"
#include "admission/fair_share.h"
#include "shift/sheet_defs.h"

typedef enum
{
  ADMIT_RUN,    /* the budgets are charged; send the request */
  ADMIT_QUEUE,  /* admit_next or admit_expired returns the item later */
  ADMIT_REFUSE, /* nothing was charged or sent */
} admit_verdict_t;

/* REFUSAL_CAPACITY, REFUSAL_SPEND and REFUSAL_LINK name the share that does
   not cover the request.  */
typedef enum
{
  REFUSAL_NONE,
  REFUSAL_DEADLINE, /* the request can't be answered by its deadline */
  REFUSAL_TENANT,   /* the tenant's share of the queue is used up */
  REFUSAL_CAPACITY, /* the VM's share of the region's requests in flight */
  REFUSAL_SPEND,    /* the VM's share of the shift's cost cap */
  REFUSAL_LINK,     /* the VM's share of a link's bytes per second */
  REFUSAL_DRAINING, /* the gate has no usable slot at all */
} refusal_t;

/* The budgets that one request is charged to; a NULL budget is not charged.
   The links are NULL where the request stays in its region.  */
typedef struct admit_budgets
{
  escrow_holder_t *capacity;
  escrow_holder_t *spend;
  escrow_holder_t *request_link; /* bytes to the backend server */
  escrow_holder_t *answer_link;  /* bytes from the backend server */
} admit_budgets_t;

/* The amounts that one request charges to its budgets.  */
typedef struct admit_needs
{
  money_t price; /* highest possible, in the smallest unit of money */
  int64_t request_bytes;
  int64_t answer_bytes; /* expected size */
} admit_needs_t;

/* The amounts that a request has charged.  A zeroed struct holds nothing.  */
typedef struct reservation
{
  admit_budgets_t budgets;
  admit_needs_t needs;
  uint64_t spend_generation;
  bool held;
} reservation_t;

/* Embedded in the request struct of the code that uses the gate, which owns
   it.  `fair` must stay the first field.  */
typedef struct admit_item
{
  fair_item_t fair;
  admit_budgets_t budgets;
  admit_needs_t needs;
  usec_t deadline;    /* for receipt by the caller; by this VM's clock */
  usec_t return_time; /* from the end of the run to receipt by the caller */
  uint16_t weight;    /* of the request class; higher is served first */
  refusal_t refusal;  /* why the item was removed from the queue */
  reservation_t reservation;
} admit_item_t;

typedef struct admit_options
{
  uint32_t slots;            /* sum over the backend servers of this gate */
  usec_t service_time;       /* estimate until runs have been measured */
  uint16_t weight_max;       /* highest weight of any class */
  uint32_t holdback_percent; /* of a budget, held back for weight_max */
  size_t queue_max;
} admit_options_t;

typedef struct admit
{
  admit_options_t options;
  fair_share_t fair;
  list_t refused; /* removed from the queue, for admit_expired */
  uint32_t slots; /* usable now, slow start included */
  uint32_t n_running;
  usec_t last_empty_at;  /* when the queue was last empty */
  double service_time;   /* moving average, usec */
  double mean_deviation; /* from service_time, moving average, usec */
} admit_t;

void admit_init (admit_t *admit, const admit_options_t *options);

/* Set the number of usable slots after backend servers came, went or changed
   their slow-start fraction.  Requests that run are never cancelled.  */
void admit_set_slots (admit_t *admit, uint32_t slots);

/* Decide on the new request ITEM.  On ADMIT_REFUSE, *REFUSAL holds the reason.
   On ADMIT_QUEUE, ITEM must stay valid until admit_next or admit_expired
   returns it, admit_offer displaces it, or admit_cancel removes it.  To make
   room, another queued item may be removed: *DISPLACED is that item, which the
   caller must refuse, or NULL.  */
admit_verdict_t admit_offer (admit_t *admit, admit_item_t *item, usec_t now,
                             refusal_t *refusal, admit_item_t **displaced);

/* Remove the next queued item that may run now, with its budgets charged, and
   return it; NULL where no item may run.  Call it after every admit_end and
   admit_set_slots until it returns NULL.  */
admit_item_t *admit_next (admit_t *admit, usec_t now);

/* Remove a queued item that can no longer be answered by its deadline or whose
   budget is used up, and return it for the caller to refuse with *REFUSAL;
   NULL where there is none.  */
admit_item_t *admit_expired (admit_t *admit, usec_t now, refusal_t *refusal);

/* Remove ITEM from the queue because its caller has disconnected.  */
void admit_cancel (admit_t *admit, admit_item_t *item);

/* The run of ITEM ended after RAN microseconds; 0: the run never started ("not
   run"), and its spend and link charges are released.  A second call for the
   same item does nothing.  */
void admit_end (admit_t *admit, admit_item_t *item, usec_t ran);

/* Expected time until a new request of TENANT would get a slot.  */
usec_t admit_expected_wait (const admit_t *admit, tenant_id_t tenant);

/* Charge NEEDS to BUDGETS for a use that ends by UNTIL, leaving
   HOLDBACK_PERCENT of each budget to classes of higher weight.  The gate calls
   it for its items; a VM that sends a request to another region's gate calls
   it for spend and links.  Returns false, with the reason in *REFUSAL and
   nothing charged, where a budget does not cover its amount.  */
bool reservation_take (reservation_t *reservation,
                       const admit_budgets_t *budgets,
                       const admit_needs_t *needs, uint32_t holdback_percent,
                       usec_t until, usec_t now, refusal_t *refusal);

/* Percent of a budget that a class of WEIGHT leaves to classes of higher
   weight: 0 for WEIGHT_MAX, up to HOLDBACK_PERCENT for the lowest weights.  */
uint32_t reservation_holdback_percent (uint32_t holdback_percent,
                                       uint16_t weight, uint16_t weight_max);

/* Release the charges: the capacity always; spend and links only where the
   request did not run (RAN is false).  A second call does nothing.  */
void reservation_end (reservation_t *reservation, bool ran);

#endif
