/* request: the state machine of one request at one entry VM: placement,
   admission, claim, send, answer, record.

   The machine does no input or output.  Its owner reports events, performs
   the actions that are returned for each event, and reports their results as
   further events.

   The same machine runs at the entry VM that received the request from the
   caller (the origin) and at the entry VM that the origin forwards it to
   (the hop).  The outcome of a REQUEST_HOP returns over the wire and becomes
   EVENT_TARGET_REFUSED or EVENT_TARGET_UNKNOWN at the origin.  The "not run"
   of a hop may carry generation 0: the hop did not touch the ticket, and the
   origin may try another target.  Only the origin retries, so that one retry
   budget limits the extra attempts of a service.

   Invariants:
   - A non-idempotent request is sent only by the attempt that won its claim,
     and only once.
   - "Not run" is reported only where no attempt sent a byte and, for a
     request with a ticket, where the ledger guarantees that none will.
   - An answer is accepted only under the send ID of the current attempt.
   - A slot is released exactly once.  */

#ifndef DELIVERY_REQUEST_H
#define DELIVERY_REQUEST_H

#include "delivery/request_defs.h"
#include "delivery/retry_budget.h"

typedef enum
{
  REQUEST_ORIGIN, /* reports the outcome to the caller */
  REQUEST_HOP,    /* reports the outcome to the origin's entry VM */
} request_role_t;

typedef enum
{
  REQUEST_PLACING,   /* waiting for a slot or for another entry VM */
  REQUEST_ADMITTED,  /* a slot is held; the claim is in progress */
  REQUEST_CLAIMED,   /* the claim, if any is needed, was won; no byte is known
                         to have been sent */
  REQUEST_SENT,      /* bytes may have been sent */
  REQUEST_RECEIVING, /* the head of the answer has arrived */
  REQUEST_REFUSING,  /* waiting for the ledger to guarantee "not run" */
  REQUEST_ANSWERED,  /* reported; the ledger is recording the answer */
  REQUEST_LINGERING, /* reported; the cancelled work may still run */
  REQUEST_SETTLED,   /* final: every further event is ignored */
} request_phase_t;

typedef struct request_options
{
  request_role_t role;
  bool idempotent;
  uint64_t id;     /* of this request; its lowest byte is 0, and is replaced by
                      the number of the send to give the send ID */
  usec_t deadline; /* on this VM's monotonic clock */
  usec_t linger_timeout;  /* time after the end in which late answers and
                             confirmations of records are accepted */
  usec_t refusal_timeout; /* time that the ledger gets to guarantee a
                             refusal, even past the deadline */
  uint32_t generation;    /* of the ticket; 0 where idempotent */
  uint8_t max_sends;      /* of the origin, to all targets together; a hop
                             sends once */
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
  bool forwarded;    /* the current target is another entry VM */
  bool send_started; /* the current attempt may have sent a byte */
  bool may_have_run; /* an earlier attempt sent bytes and no target refused
                        it */
  slot_token_t token;
  uint64_t send_id; /* of the current attempt */
  uint16_t status;  /* HTTP status of the answer; 0 before its head */
  answer_framing_t framing;
  uint64_t expected_bytes; /* of the answer's body, with FRAMING_LENGTH */
  uint64_t received_bytes; /* of the answer's body */
  request_reason_t reason; /* REQUEST_REFUSING: the reason of the refusal */
  usec_t phase_deadline;   /* end of REQUEST_REFUSING, REQUEST_ANSWERED and
                              REQUEST_LINGERING */
} request_t;

/* Counters of all requests, for metrics.  */
typedef struct request_counters
{
  uint64_t mismatched_answers; /* discarded: the send ID is not that of the
                                  current attempt */
  uint64_t truncated_answers;  /* ended early, or may have */
  uint64_t retries;
  uint64_t retries_denied; /* by the retry budget */
} request_counters_t;

/* Start REQUEST.  The first action is ACTION_PLACE or, where the deadline
   has passed, those of a refusal.  */
void request_start (request_t *request, const request_options_t *options,
                    usec_t now, request_actions_t *actions);

/* Process EVENT and write the actions to perform, in order, to ACTIONS.
   BUDGET is the retry budget of the request's service.  */
void request_on_event (request_t *request, const request_event_t *event,
                       retry_budget_t *budget, request_counters_t *counters,
                       usec_t now, request_actions_t *actions);

/* The time at which the next EVENT_TICK is due; INT64_MAX for none.  */
usec_t request_wakeup (const request_t *request);

#endif
