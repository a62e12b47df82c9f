/* request_defs: what happens to one request, what is to be done about it,
   and how it ends.  */

#ifndef DELIVERY_REQUEST_DEFS_H
#define DELIVERY_REQUEST_DEFS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time_defs.h"
#include "delivery/slots.h"
#include "ledger/claim.h"
#include "ledger/ledger_defs.h"
#include "placement/topology_defs.h"

/* The three ends of a request.  */
typedef enum
{
  OUTCOME_ANSWER,  /* whole, and this request's own */
  OUTCOME_NOT_RUN, /* it did not run and will not: safe to send again */
  OUTCOME_UNKNOWN, /* it may have run; the same ticket never runs it twice */
} outcome_kind_t;

typedef enum
{
  REASON_NONE,
  REASON_BAD_REQUEST,    /* no ticket, or one that isn't ours */
  REASON_NO_CAPACITY,    /* no slot or headroom in time */
  REASON_COST_CAP,       /* this VM's share of the cost cap is spent */
  REASON_LINK_FULL,      /* the link to the backend server's region is */
  REASON_DEADLINE,       /* it can't be met, or it passed */
  REASON_QUARANTINED,    /* its fingerprint crashed backend servers */
  REASON_DRAINING,       /* this entry VM takes no new requests */
  REASON_RETRY_BUDGET,   /* a retry would pass the service's budget */
  REASON_BACKEND_FAILED, /* the connection broke, or the server refused */
  REASON_SHORT_ANSWER,   /* the answer ended before its end */
  REASON_CALLER_GONE,    /* the caller closed its connection */
  REASON_CLAIMED,        /* another attempt of the ticket is under way */
  REASON_LEDGER,         /* the claim could not be decided */
  REASON_TICKET_EXPIRED,
  REASON_TICKET_CONFLICT, /* the ticket belongs to another request */
  REASON_ANSWER_NOT_KEPT, /* it ran, and its answer passed a bound */
} request_reason_t;

typedef struct request_outcome
{
  outcome_kind_t kind;
  request_reason_t reason;
  uint16_t status;     /* OUTCOME_ANSWER: HTTP */
  bool from_record;    /* OUTCOME_ANSWER: the body is the claim's */
  uint32_t generation; /* OUTCOME_NOT_RUN with a ticket: its dead generation;
                          0 where the ticket is untouched */
} request_outcome_t;

/* How the end of an answer is told.  */
typedef enum
{
  FRAMING_LENGTH,  /* Content-Length */
  FRAMING_CHUNKED, /* the closing chunk */
  FRAMING_CLOSE,   /* nothing tells a whole answer from a short one */
} answer_framing_t;

typedef enum
{
  EVENT_ADMITTED,          /* a slot of a backend server here */
  EVENT_FORWARD,           /* another entry VM is to run it */
  EVENT_NOT_PLACED,        /* nowhere to run it; `reason` */
  EVENT_CLAIM_SETTLED,     /* `claim` */
  EVENT_SEND_STARTED,      /* the first byte may have left for the target */
  EVENT_HEAD,              /* `answer`: status, framing, length */
  EVENT_BODY,              /* `answer`: n_bytes more */
  EVENT_END,               /* `answer`: framed_end */
  EVENT_CONNECTION_FAILED, /* the connection failed or went silent */
  EVENT_TARGET_REFUSED,    /* the backend server or entry VM says that it
                              refused before starting; `refusal` */
  EVENT_TARGET_UNKNOWN,    /* the entry VM that ran it says "unknown" */
  EVENT_CANCEL_CONFIRMED,  /* the backend server confirmed the cancellation */
  EVENT_CANCEL,            /* the caller has gone */
  EVENT_RECORDED,          /* a majority of replicas keeps the outcome */
  EVENT_TICK,
} request_event_kind_t;

typedef struct request_event
{
  request_event_kind_t kind;
  uint64_t request_id; /* EVENT_SEND_STARTED to EVENT_CANCEL_CONFIRMED: of the
                          send that it belongs to.  0 stands for the present
                          one, but where the target says it.  */
  union
  {
    struct
    {
      uint32_t backend;
      slot_token_t token;
    } admitted;
    vm_id_t forward;
    request_reason_t reason; /* EVENT_NOT_PLACED, EVENT_TARGET_UNKNOWN */
    struct
    {
      claim_phase_t phase;
      claim_cause_t cause;
      uint32_t generation;
      uint16_t status;
      bool body_kept;
    } claim;
    struct
    {
      request_reason_t reason;
      uint32_t generation; /* not 0: it claimed, then released */
    } refusal;
    struct
    {
      uint16_t status;
      answer_framing_t framing;
      uint64_t length;  /* FRAMING_LENGTH: bytes */
      uint64_t n_bytes; /* EVENT_BODY */
      bool framed_end;  /* EVENT_END: the framing's own end was seen */
    } answer;
  } as;
} request_event_t;

typedef enum
{
  ACTION_PLACE,          /* find a slot or an entry VM; say EVENT_ADMITTED,
                            EVENT_FORWARD or EVENT_NOT_PLACED */
  ACTION_CLAIM,          /* start a claim with `intent` */
  ACTION_SEND,           /* send with `send_id` to the target */
  ACTION_REPORT_OUTCOME, /* `outcome`, to the caller; once in a life */
  ACTION_RELEASE_CLAIM,  /* claim_release */
  ACTION_RECORD,         /* claim_record with the answer that was told */
  ACTION_CANCEL_TARGET,  /* ask the target to stop the work */
  ACTION_RELEASE_SLOT,   /* slots_release */
  ACTION_CANCEL_SLOT,    /* slots_cancel: held until stopped or deadline */
} request_action_kind_t;

typedef struct request_action
{
  request_action_kind_t kind;
  union
  {
    claim_intent_t intent;
    uint64_t send_id;
    slot_token_t token;
    request_outcome_t outcome;
  } as;
} request_action_t;

enum
{
  REQUEST_ACTIONS_MAX = 8,
};

typedef struct request_actions
{
  size_t n;
  request_action_t items[REQUEST_ACTIONS_MAX];
} request_actions_t;

#endif
