/* request: one request's life at one entry VM, as a state machine: admitted,
   claimed, sent, partly answered, answered, recorded.

   The same machine runs at the entry VM that the caller chose (the origin)
   and at the one that it forwards to; the latter's REQUEST_HOP outcomes go
   back over the wire as EVENT_TARGET_REFUSED and EVENT_TARGET_UNKNOWN.  A
   hop's "not run" may carry generation 0: it left the ticket untouched, and
   the origin may try elsewhere.  Only the origin retries, so that one budget
   bounds a service's extra attempts.

   Invariants: a non-idempotent request is sent by its claim's winner only,
   and once; "not run" is told only where no attempt sent a byte and, with a
   ticket, where the ledger agreed that none will; an answer counts only
   under the id that was sent; a slot is given back exactly once.  */

#ifndef DELIVERY_REQUEST_H
#define DELIVERY_REQUEST_H

#include "delivery/request_defs.h"
#include "delivery/retry_budget.h"

typedef enum
{
  REQUEST_ORIGIN, /* the caller is told */
  REQUEST_HOP,    /* another entry VM is told */
} request_role_t;

typedef enum
{
  REQUEST_PLACING,   /* looked up: no slot yet */
  REQUEST_ADMITTED,  /* slot held, claim under way */
  REQUEST_CLAIMED,   /* claim won, nothing sent */
  REQUEST_SENT,      /* bytes may have left */
  REQUEST_RECEIVING, /* part of the answer came */
  REQUEST_REFUSING,  /* the ledger is asked to make "not run" true */
  REQUEST_ANSWERED,  /* told; the outcome is being recorded */
  REQUEST_LINGERING, /* told; the cancelled work may still run */
  REQUEST_SETTLED,   /* nothing is left to do */
} request_phase_t;

typedef struct request_options
{
  request_role_t role;
  bool idempotent;
  uint64_t id;     /* of this request; its lowest byte is 0, and numbers the
                      sends */
  usec_t deadline; /* on the own clock */
  usec_t linger_timeout;  /* after the end, for late answers and records */
  usec_t refusal_timeout; /* for the ledger to make a refusal true, also past
                         the deadline */
  uint32_t generation;    /* of the ticket; 0 where idempotent */
  uint8_t max_sends;      /* to targets, in all; a hop sends once */
} request_options_t;

typedef struct request
{
  request_options_t options;
  request_phase_t phase;
  uint8_t n_sends;
  bool outcome_reported;
  bool slot_held;
  bool claim_won;
  bool claim_pending;
  bool forwarded;    /* the present target is an entry VM */
  bool send_started; /* in the present attempt */
  bool may_have_run; /* bytes left in an attempt that nobody refused */
  slot_token_t token;
  uint64_t send_id; /* of the present attempt */
  uint16_t status;
  answer_framing_t framing;
  uint64_t expected_bytes; /* bytes of the answer */
  uint64_t received_bytes;
  request_reason_t reason; /* of the refusal that is being made true */
  usec_t phase_deadline;   /* end of REQUEST_REFUSING and of lingering */
} request_t;

/* What the machine counts, for metrics; passed in at each step.  */
typedef struct request_counters
{
  uint64_t mismatched_answers; /* late or crossed: dropped */
  uint64_t truncated_answers;
  uint64_t retries;
  uint64_t retries_denied;
} request_counters_t;

/* Start: the first action is ACTION_PLACE, or the refusal where the deadline
   has passed.  */
void request_start (request_t *request, const request_options_t *options,
                    usec_t now, request_actions_t *actions);

/* One step.  BUDGET is the service's.  */
void request_on_event (request_t *request, const request_event_t *event,
                       retry_budget_t *budget, request_counters_t *counters,
                       usec_t now, request_actions_t *actions);

/* When EVENT_TICK is due.  */
usec_t request_wakeup (const request_t *request);

#endif
