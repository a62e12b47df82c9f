/* exchange: a caller's request, and the response to it.

   An exchange is used by the traffic thread only.  caller_connection creates
   and frees it; the dispatcher sets its response and finishes it exactly
   once.  */

#ifndef ROUTER_EXCHANGE_H
#define ROUTER_EXCHANGE_H

#include <stdbool.h>
#include <stddef.h>

#include "balance/backend_pool.h"
#include "base/list.h"
#include "base/time_defs.h"
#include "ledger/ledger_defs.h"
#include "router/backend_http.h"
#include "router/body_stream.h"
#include "router/fleet_snapshot.h"
#include "router/poller.h"
#include "router/request_parser.h"

enum
{
  EXCHANGE_METHOD_BYTES = 16,
  EXCHANGE_ID_BYTES = 128,
};

typedef struct exchange exchange_t;
typedef struct caller_connection caller_connection_t;

/* What a call to a backend server was made for.  */
typedef struct call_owner
{
  exchange_t *exchange; /* NULL for a health check */
  backend_t *backend;   /* set for a health check only */
  uint64_t boot;        /* backend_record_boot of the start that it was made
                           to; the list may show a later one meanwhile */
  bool is_reach_check;  /* a health check for backend_reach */
  list_t link;          /* of a health check: in dispatcher_t's probes */
} call_owner_t;

/* Why the router itself answers a request.  The comments give the HTTP
   status, and whether the request has not run or may have run.  */
typedef enum
{
  REASON_NONE,        /* a backend server's response is forwarded */
  REASON_BAD_REQUEST, /* 400 */
  REASON_TOO_LARGE,   /* 413 */
  REASON_LONG_HEAD,   /* 431 */
  REASON_NO_ROUTE,    /* 404 */
  REASON_NO_ACCOUNT,  /* 401: its key belongs to no client account */
  REASON_QUOTA,       /* 429, not run: beyond the account's quota */
  REASON_NO_CONFIG,   /* 503, not run */
  REASON_NO_BACKEND,  /* 503, not run: no backend server is available */
  REASON_OVERLOAD,    /* 503, not run: it would wait beyond its deadline */
  REASON_TOO_LATE,    /* 503, not run: others use all places for so long that
                         its answer would miss the route's target latency */
  REASON_RESTING,     /* 503, not run: all backend servers want a rest, beyond
                         its deadline */
  REASON_CUT_OFF,     /* 503, not run: another router sent it here to be
                         carried, and no backend server is in reach */
  REASON_REFUSED,     /* 503, not run: backend servers refused it */
  REASON_MEMORY,      /* 503, not run: request bodies use too much memory */
  REASON_QUARANTINED, /* 503, not run: requests like it crash backend
                         servers */
  REASON_HELD_BACK,   /* 503, not run: until the other routers know of the
                         crashes of requests like it */
  REASON_STOPPING,    /* 503, not run: this process is shutting down; the
                         caller should use another router */
  REASON_BROKE_OFF,   /* 502: it may have run */
  REASON_TIMEOUT,     /* 504: it may have run */
  REASON_GONE,        /* the caller closed its connection */
} exchange_reason_t;

struct exchange
{
  list_t link; /* in the dispatcher's `queue` or `active` */
  caller_connection_t *connection;
  list_t connection_link; /* in the exchanges of CONNECTION, by arrival */
  usec_t received_at;     /* when the head was read; monotonic */

  char method[EXCHANGE_METHOD_BYTES];
  request_head_t head;
  const char *target; /* path and query, as received; in HEAD */
  char id[EXCHANGE_ID_BYTES];
  const char *host;         /* in HEAD */
  uint64_t announced_bytes; /* of the body, by the head; 0: none */
  char *body;
  size_t body_bytes;
  size_t body_capacity;  /* of BODY or STREAM, as the budget counts it */
  body_stream_t *stream; /* of a body that is passed on while it comes; NULL:
                            BODY holds it whole */
  bool body_is_released; /* some of it is no longer held: not to be sent
                            again */
  bool wants_continue;   /* the caller waits with the body until it is told */
  bool is_last;          /* the caller sends no further request */
  bool is_whole;         /* it was received to its end */
  bool is_dispatched;    /* it was passed to the dispatcher */
  bool is_finished;      /* its response or reason is final */

  fleet_snapshot_t *snapshot; /* the one it is routed by; holds a reference */
  const route_t *route;
  size_t share_index;              /* in the shares of ROUTE */
  const client_account_t *account; /* of the caller; NULL: none.  In SNAPSHOT's
                                      configuration */
  bool is_in_quota;                /* it was counted against ACCOUNT's quota */
  bool is_exempt;    /* it goes first in the queue, and is not refused */
  uint32_t priority; /* the account's or the route's; 0: highest */
  pool_query_t query;
  usec_t deadline; /* monotonic; the caller's or the route's, if earlier */
  usec_t caller_deadline; /* monotonic; 0: the caller sent none */
  uint32_t n_transmitted; /* attempts that may have reached a backend server */
  uint32_t n_attempts;    /* all, failed connections included */
  bool may_have_run;
  uint32_t carried_attempts; /* that another router, which sent it here, leaves
                                to this one; 0: it came from a caller */
  uint32_t carrier;    /* the router, by address, that carries it; 0: none */
  uint32_t n_carriers; /* that it was sent to */
  bool has_fingerprint;
  fingerprint_t fingerprint; /* valid if has_fingerprint */
  bool was_refused;          /* a backend server had no room for it */
  backend_t *backend; /* of the current call; NULL: none.  Valid until the
                         pool is told that the call has ended */
  char last_backend_id[BACKEND_ID_BYTES]; /* of the call whose result ended
                                             the exchange; empty: none */
  backend_call_t *call;
  call_owner_t owner; /* of CALL */
  usec_t sent_at;
  bool slot_was_free;    /* when it was sent, by the estimated load; false if
                            its time depends on the caller's, who still sends
                            the body */
  bool object_was_known; /* the backend server had handled its object for this
                            router before */

  exchange_reason_t reason;
  unsigned int status;
  usec_t retry_after; /* from now; 0: the header is not sent */
  backend_response_t response;
};

/* Whether EXCHANGE's call waits for more of the body from the caller.  */
bool exchange_awaits_caller (const exchange_t *exchange);

/* The name of REASON in logs, metrics and response bodies.  */
const char *exchange_reason_name (exchange_reason_t reason);

/* The HTTP status code for REASON.  */
unsigned int exchange_reason_status (exchange_reason_t reason);

#endif
