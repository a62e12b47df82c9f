/* exchange: one caller's request on its way through a router.

   All of it belongs to the traffic thread.  The caller port makes it and
   releases it; the dispatcher fills in the answer and ends it once.  */

#ifndef ROUTER_EXCHANGE_H
#define ROUTER_EXCHANGE_H

#include <microhttpd.h>
#include <stdbool.h>
#include <stddef.h>

#include "balance/backend_pool.h"
#include "base/list.h"
#include "base/time_defs.h"
#include "router/backend_http.h"
#include "router/fleet_snapshot.h"
#include "router/poller.h"

enum
{
  EXCHANGE_METHOD_BYTES = 16,
  EXCHANGE_ID_BYTES = 128,
};

typedef struct exchange exchange_t;

/* Whose call to a backend server it was; part of its owner.  */
typedef struct call_owner
{
  exchange_t *exchange; /* NULL: a health check */
  backend_t *backend;   /* of the health check */
} call_owner_t;

/* What the caller is told where no backend server's answer is passed on.  */
typedef enum
{
  REASON_NONE,        /* a backend server's answer */
  REASON_BAD_REQUEST, /* 400 */
  REASON_TOO_LARGE,   /* 413 */
  REASON_NO_ROUTE,    /* 404 */
  REASON_NO_CONFIG,   /* 503, not run */
  REASON_NO_BACKEND,  /* 503, not run: none may take it */
  REASON_OVERLOAD,    /* 503, not run: its turn would come too late */
  REASON_REFUSED,     /* 503, not run: backend servers refused it */
  REASON_MEMORY,      /* 503, not run: too many bodies are held */
  REASON_STOPPING,    /* 503, not run: this process ends; ask another */
  REASON_BROKE_OFF,   /* 502: it may have run */
  REASON_TIMEOUT,     /* 504: it may have run */
  REASON_GONE,        /* the caller left */
} exchange_reason_t;

struct exchange
{
  list_t link; /* among the waiting or those under way */
  struct MHD_Connection *connection;
  watch_t watch; /* of the caller's socket, while it waits */
  int caller_fd;
  usec_t received_at; /* monotonic */

  char method[EXCHANGE_METHOD_BYTES];
  char *target; /* path and query as they came */
  char id[EXCHANGE_ID_BYTES];
  const char *host; /* the connection's */
  char *body;
  size_t body_bytes;
  bool is_dispatched;
  bool is_finished;

  fleet_snapshot_t *snapshot; /* what it is judged by; holds a reference */
  const route_t *route;
  size_t share_index; /* of the route */
  pool_query_t query;
  usec_t deadline;        /* the caller's or the route's, what comes first */
  usec_t caller_deadline; /* 0: not told */
  uint32_t n_transmitted; /* backend servers that it may have reached */
  uint32_t n_attempts;    /* with those that it did not reach */
  bool may_have_run;
  bool was_rejected;  /* some backend server refused it */
  backend_t *backend; /* where it is under way; NULL: nowhere */
  backend_call_t *call;
  call_owner_t owner; /* of CALL */
  usec_t sent_at;
  bool slot_was_free;    /* a slot was free, as far as was known */
  bool object_was_known; /* the backend server handled its object before */

  exchange_reason_t reason;
  unsigned int status;
  usec_t retry_after; /* 0: not told */
  backend_response_t response;
};

const char *exchange_reason_name (exchange_reason_t reason);

/* The status for REASON.  */
unsigned int exchange_reason_status (exchange_reason_t reason);

#endif
