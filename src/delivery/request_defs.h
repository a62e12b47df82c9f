/* request_defs: the events, actions and outcomes of the request state
   machine (delivery/request.h).  */

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

/* The three ways in which a request can end.  */
typedef enum
{
  OUTCOME_ANSWER,  /* the complete answer to this request */
  OUTCOME_NOT_RUN, /* it did not run and never will: safe to send again */
  OUTCOME_UNKNOWN, /* it may have run; with its ticket it never runs twice */
} outcome_kind_t;

typedef enum
{
  REASON_NONE,
  REASON_BAD_REQUEST,    /* no ticket, or none of this organisation */
  REASON_NO_CAPACITY,    /* no slot or headroom became free in time */
  REASON_COST_CAP,       /* this VM's share of the cost cap is spent */
  REASON_LINK_FULL,      /* the link to the backend server's region is full */
  REASON_DEADLINE,       /* the deadline passed, or can't be met */
  REASON_QUARANTINED,    /* its fingerprint is quarantined */
  REASON_DRAINING,       /* this entry VM accepts no new requests */
  REASON_RETRY_BUDGET,   /* a retry would exceed the retry budget */
  REASON_BACKEND_FAILED, /* the connection failed, or the server refused */
  REASON_SHORT_ANSWER,   /* the answer was truncated */
  REASON_CALLER_GONE,    /* the caller closed its connection */
  REASON_CLAIMED,        /* another attempt holds the claim */
  REASON_LEDGER,         /* the replicas could not decide the claim */
  REASON_TICKET_EXPIRED,
  REASON_TICKET_CONFLICT, /* the ticket was used for another request */
  REASON_ANSWER_NOT_KEPT, /* it ran; its answer exceeded a size limit */
} request_reason_t;

typedef struct request_outcome
{
  outcome_kind_t kind;
  request_reason_t reason;
  uint16_t status;     /* OUTCOME_ANSWER: HTTP status */
  bool from_record;    /* OUTCOME_ANSWER: the body is in the claim */
  uint32_t generation; /* OUTCOME_NOT_RUN with a ticket: the generation that
                          will never run; 0 where the ticket is unchanged */
} request_outcome_t;

/* How the end of an answer is recognised.  */
typedef enum
{
  FRAMING_LENGTH,  /* Content-Length */
  FRAMING_CHUNKED, /* the last chunk */
  FRAMING_CLOSE,   /* end of the connection; truncation can't be detected, so
                      no such answer counts as complete */
} answer_framing_t;

typedef enum
{
  EVENT_ADMITTED,          /* a local slot was granted; `admitted` */
  EVENT_FORWARD,           /* another entry VM is the target; `forward` */
  EVENT_NOT_PLACED,        /* no target was found; `reason` */
  EVENT_CLAIM_SETTLED,     /* the claim reached its result; `claim` */
  EVENT_SEND_STARTED,      /* the first byte may have been sent */
  EVENT_HEAD,              /* `answer`: status, framing, length */
  EVENT_BODY,              /* `answer`: n_bytes more */
  EVENT_END,               /* `answer`: framed_end */
  EVENT_CONNECTION_FAILED, /* the target's connection failed or timed out */
  EVENT_TARGET_REFUSED,    /* the target refused before it started the
                              request; `refusal` */
  EVENT_TARGET_UNKNOWN,    /* the target, an entry VM, reports "unknown";
                              `reason` */
  EVENT_CANCEL_CONFIRMED,  /* the backend server confirmed the cancellation */
  EVENT_CANCEL,            /* the caller closed its connection */
  EVENT_RECORDED,          /* a majority of replicas stored the outcome */
  EVENT_TICK,
} request_event_kind_t;

typedef struct request_event
{
  request_event_kind_t kind;
  uint64_t request_id; /* EVENT_SEND_STARTED to EVENT_CANCEL_CONFIRMED: the ID
                          of the send that the event belongs to.  0 means the
                          current send, and is accepted only for
                          EVENT_SEND_STARTED, EVENT_CONNECTION_FAILED and
                          EVENT_CANCEL_CONFIRMED, not for what the target
                          itself sends.  */
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
      uint32_t generation; /* not 0: the target claimed the ticket, then
                               released the claim */
      bool may_have_run;   /* by an earlier transmission of this send */
    } refusal;
    struct
    {
      uint16_t status;
      answer_framing_t framing;
      uint64_t length;  /* FRAMING_LENGTH: bytes of the body */
      uint64_t n_bytes; /* EVENT_BODY: size of this part */
      bool framed_end;  /* EVENT_END: the framing marked the end */
    } answer;
  } as;
} request_event_t;

typedef enum
{
  ACTION_PLACE,          /* find a slot or an entry VM; report EVENT_ADMITTED,
                            EVENT_FORWARD or EVENT_NOT_PLACED */
  ACTION_CLAIM,          /* start a claim with `intent`; report
                            EVENT_CLAIM_SETTLED */
  ACTION_SEND,           /* send the request to the target under `send_id` */
  ACTION_REPORT_OUTCOME, /* report `outcome` to the caller, or to the origin;
                            at most once for a request */
  ACTION_RELEASE_CLAIM,  /* claim_release */
  ACTION_RECORD,         /* claim_record with the reported answer */
  ACTION_CANCEL_TARGET,  /* ask the target to stop the request */
  ACTION_RELEASE_SLOT,   /* slots_release */
  ACTION_CANCEL_SLOT,    /* slots_cancel: the slot stays held until the target
                            confirms or the deadline passes */
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
  size_t n; /* items in use */
  request_action_t items[REQUEST_ACTIONS_MAX];
} request_actions_t;

#endif
