/* admit: whether a request goes now, waits, or is refused as "not run".

   One gate for each service at the VM that admits to its slots.  A request
   runs at once while a slot and every budget allow it; it waits only while
   its deadline can still be met by the measured pace of the slots; else it
   is refused at once, before anything is sent.  A queue that has not been
   empty for a while is standing: waiting then wins nothing, and it is kept
   as short as keeps the slots busy.  Budgets are reserved in one
   order: slot, region capacity, spend, link; a later one that fails gives
   the earlier ones back.  Lighter classes leave a part of each budget to
   weightier ones.  Pure; not thread-safe.  */

#ifndef ADMISSION_ADMIT_H
#define ADMISSION_ADMIT_H

#include "admission/escrow.h"
#include "admission/fair_share.h"
#include "shift/sheet_defs.h"

typedef enum
{
  ADMIT_RUN,    /* charged; send it */
  ADMIT_QUEUE,  /* admit_next or admit_expired gives it back */
  ADMIT_REFUSE, /* nothing was charged or sent */
} admit_verdict_t;

typedef enum
{
  REFUSAL_NONE,
  REFUSAL_DEADLINE, /* it could not be answered in time */
  REFUSAL_TENANT,   /* its tenant's share of the queue is used up */
  REFUSAL_CAPACITY, /* the region's share of requests in flight */
  REFUSAL_SPEND,    /* the shift's cost cap */
  REFUSAL_LINK,     /* bytes on the link */
  REFUSAL_DRAINING, /* no slot is left here at all */
} refusal_t;

/* The budgets that one request draws on; a NULL one is not needed.  The
   links are NULL inside a region.  */
typedef struct admit_budgets
{
  escrow_holder_t *capacity;
  escrow_holder_t *spend;
  escrow_holder_t *request_link; /* towards the backend server */
  escrow_holder_t *answer_link;  /* back from it */
} admit_budgets_t;

/* What one request needs of them.  */
typedef struct admit_needs
{
  money_t price; /* worst */
  int64_t request_bytes;
  int64_t answer_bytes; /* expected */
} admit_needs_t;

/* What a request has charged.  Zeroed: nothing.  */
typedef struct reservation
{
  admit_budgets_t budgets;
  admit_needs_t needs;
  uint64_t spend_generation;
  bool held;
} reservation_t;

/* In the caller's own request struct; `fair` first.  */
typedef struct admit_item
{
  fair_item_t fair;
  admit_budgets_t budgets;
  admit_needs_t needs;
  usec_t deadline;    /* own clock; the answer must be back by then */
  usec_t return_time; /* from the end of the run to the caller */
  uint16_t weight;    /* of the class */
  refusal_t refusal;  /* why it was taken off the queue */
  reservation_t reservation;
} admit_item_t;

typedef struct admit_options
{
  uint32_t slots;            /* of all servers that this gate admits to */
  usec_t service_time;       /* first guess, until it is measured */
  uint16_t weight_max;       /* the weightiest class */
  uint32_t holdback_percent; /* of a budget, kept for the weightiest */
  size_t queue_max;
} admit_options_t;

typedef struct admit
{
  admit_options_t options;
  fair_share_t fair;
  list_t refused; /* off the queue, for admit_expired */
  uint32_t slots; /* now, ramps included */
  uint32_t n_running;
  usec_t drained_at;   /* when the queue was last empty */
  double service_time; /* moving average, usec */
  double deviation;    /* moving mean deviation, usec */
} admit_t;

void admit_init (admit_t *admit, const admit_options_t *options);

/* Servers came, went or ramp: the slots that may be used now.  Work that
   runs is never cut.  */
void admit_set_slots (admit_t *admit, uint32_t slots);

/* A new request.  On ADMIT_REFUSE *REFUSAL says why; on ADMIT_QUEUE the item
   must live until it is given back.  Another item may be displaced from the
   queue to make room: it comes in *DISPLACED (else NULL), as refused.  */
admit_verdict_t admit_offer (admit_t *admit, admit_item_t *item, usec_t now,
                             refusal_t *refusal, admit_item_t **displaced);

/* The next queued item that may run now, charged; NULL where none may.  Call
   it after every admit_end and admit_set_slots until it gives NULL.  */
admit_item_t *admit_next (admit_t *admit, usec_t now);

/* A queued item that can't be answered in time any more or whose budget is
   gone, off the queue, to be refused; NULL where there is none.  */
admit_item_t *admit_expired (admit_t *admit, usec_t now, refusal_t *refusal);

/* The caller of a queued item went away.  */
void admit_cancel (admit_t *admit, admit_item_t *item);

/* A run ended after RAN (0: it never started, "not run": its price is given
   back).  A second call for the same item does nothing.  */
void admit_end (admit_t *admit, admit_item_t *item, usec_t ran);

/* Expected wait of a new request of TENANT before it gets a slot.  */
usec_t admit_expected_wait (const admit_t *admit, tenant_id_t tenant);

/* Charge NEEDS to BUDGETS, for a use that ends by UNTIL; KEEP_PERCENT of each
   stays for weightier classes.  The gate does it for its items; the VM that
   sends a request to another region's gate does it for spend and links.
   False with *REFUSAL, nothing held.  */
bool reservation_take (reservation_t *reservation,
                       const admit_budgets_t *budgets,
                       const admit_needs_t *needs, uint32_t holdback_percent,
                       usec_t until, usec_t now, refusal_t *refusal);

/* Percent of a budget that a class of WEIGHT leaves to the weightiest.  */
uint32_t reservation_holdback_percent (uint32_t holdback_percent,
                                       uint16_t weight, uint16_t weight_max);

/* Give back what RAN does not justify; a second call does nothing.  */
void reservation_end (reservation_t *reservation, bool ran);

#endif
