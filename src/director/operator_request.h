/* operator_request: one request of an operator, handed from the HTTP port to
   the director's core thread, and its outcome.

   The HTTP port owns the request and fills in KIND and the fields of that
   kind, RECEIVED_AT, DONE and CLOSURE; all other fields are zero.  Between
   director_core_submit and the call of DONE the core thread owns it.  */

#ifndef DIRECTOR_OPERATOR_REQUEST_H
#define DIRECTOR_OPERATOR_REQUEST_H

#include "agreement/entry.h"
#include "base/inet.h"
#include "base/list.h"
#include "base/name_defs.h"
#include "base/time_defs.h"
#include "ledger/ledger_defs.h"

typedef enum
{
  OPERATOR_PUT_CONFIG, /* CONFIG_VERSION, TEXT and LENGTH are set */
  OPERATOR_GET_CONFIG, /* linearizable read of the configuration */
  OPERATOR_EVACUATE,   /* DOMAIN is set */
  OPERATOR_TAKE_BACK,  /* ends the evacuation of DOMAIN */
  OPERATOR_RELEASE,    /* ends the quarantine of FINGERPRINT */
  OPERATOR_SHOW,       /* this director's own view, which may be stale */
} operator_request_kind_t;

typedef enum
{
  OUTCOME_DONE,     /* committed by a majority, or the read is in TEXT */
  OUTCOME_REDIRECT, /* repeat the request at LEADER_ADDRESS */
  /* Not accepted: no leader or no configuration is known, or the disk or the
     mailbox can't take the request.  */
  OUTCOME_UNAVAILABLE,
  OUTCOME_NOT_FOUND,  /* no request with FINGERPRINT is quarantined here */
  OUTCOME_NO_VERSION, /* CONFIG_VERSION is 0, which stands for none */
  OUTCOME_UNKNOWN,    /* may still be committed; safe to repeat unchanged */
} operator_outcome_t;

typedef struct operator_request operator_request_t;

/* Called on the core thread, exactly once.  REQUEST belongs to the callee from
   then on, with TEXT, which it frees.  */
typedef void (*operator_request_done_t) (operator_request_t *request);

struct operator_request
{
  list_t link; /* in the core's list of unfinished requests */
  operator_request_kind_t kind;
  uint64_t config_version; /* of TEXT, where it is a configuration */
  char *text;    /* malloc'd: the configuration to put, or the result */
  size_t length; /* bytes of TEXT */
  name_t domain; /* failure domain to evacuate or to take back */
  fingerprint_t fingerprint; /* of the requests to release */
  usec_t received_at;        /* monotonic */
  proposal_id_t proposal_id; /* 0: not proposed */
  operator_outcome_t outcome;
  uint32_t leader_address; /* IPv4, where OUTCOME is OUTCOME_REDIRECT */
  operator_request_done_t done;
  void *closure;
};

#endif
