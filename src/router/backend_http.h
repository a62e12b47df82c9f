/* backend_http: HTTP client for requests to backend servers, with libcurl's
   multi interface.  It runs in the traffic thread and waits for its sockets
   with that thread's poller.

   A request is transmitted on one connection only.  libcurl would retransmit
   a request if a reused connection turns out to be closed; this is prevented,
   because the first transmission may already have been executed.  */

#ifndef ROUTER_BACKEND_HTTP_H
#define ROUTER_BACKEND_HTTP_H

#include <curl/curl.h>
#include <stdbool.h>
#include <stddef.h>

#include "balance/backend_pool.h"
#include "base/inet.h"
#include "router/poller.h"

enum
{
  /* A response beyond one of these limits ends its call: a broken server may
     send a head or a body without end.  */
  RESPONSE_HEADERS_MAX = 128,
  RESPONSE_HEAD_BYTES_MAX = 64 * 1024, /* with informational responses */
  RESPONSE_BYTES_MAX = 16 * 1024 * 1024,
  /* Buffers of all bodies together that are larger than SMALL_BODY_BYTES.  */
  RESPONSES_BYTES_MAX = 32 * 1024 * 1024,
  SMALL_BODY_BYTES = 64 * 1024,
};

typedef struct backend_http backend_http_t;
typedef struct backend_call backend_call_t;

typedef struct response_header
{
  char *name; /* allocated with malloc; VALUE points into the same block */
  char *value;
} response_header_t;

/* The result of a call: a response, or the reason why there is none.  */
typedef struct backend_response
{
  bool may_have_reached; /* bytes of the request may have left this VM */
  bool is_complete;      /* the whole response was received */
  bool id_matches;       /* its request id is that of the request */
  bool is_signed;        /* it has the backend server's signature */
  bool is_encoded;       /* its Content-Encoding is not "identity" */
  bool not_started;      /* the backend server did not run the request */
  bool timed_out;
  bool was_cut_off;     /* the connection ended after the request was sent and
                           before the response was complete */
  bool was_reconnected; /* a new connection could be made after that */
  bool is_unreachable;  /* no connection, or no new one, could be made */
  unsigned int status;  /* HTTP status code */
  char backend_id[BACKEND_ID_BYTES]; /* from a health check; "": none */
  usec_t cold_remaining; /* from a health check: how long it stays cold */
  backend_load_t load;
  bool is_leaving; /* the backend server says that it leaves */
  usec_t rest;     /* from Retry-After: how long it wants nothing; 0: none */
  size_t n_invalid_notices; /* of these two, not understood and ignored */
  size_t n_headers;
  response_header_t headers[RESPONSE_HEADERS_MAX]; /* to be forwarded */
  char *body; /* allocated with malloc; NULL if it is empty */
  size_t body_bytes;
  const char *error; /* libcurl's text for the result */
} backend_response_t;

/* Free what RESPONSE holds and set it to zero.  */
void backend_response_clear (backend_response_t *response);

typedef struct backend_http_options
{
  poller_t *poller;
  const char *own_address; /* source address of the connections */
  void *closure;
  /* The call that was started for OWNER has ended, and its backend_call_t is
     freed.  The callee may move RESPONSE's contents out, setting it to zero;
     what is left is freed afterwards.  Never called from inside
     backend_http_call.  */
  void (*done) (void *closure, void *owner, backend_response_t *response);
} backend_http_options_t;

backend_http_t *backend_http_new (const backend_http_options_t *options);
/* Calls in flight are aborted without calling `done`.  */
void backend_http_free (backend_http_t *client);

typedef struct backend_request
{
  inet_t address;
  const char *method;
  const char *target;         /* path and query */
  const char *id;             /* request id; "" for a health check */
  struct curl_slist *headers; /* owned by the call from now on */
  const char *body;           /* must stay valid until the call has ended */
  size_t body_bytes;
  usec_t timeout;         /* of the whole call */
  usec_t connect_timeout; /* of setting up the connection */
  void *owner;            /* passed to `done` */
} backend_request_t;

/* Start REQUEST.  The result is valid until `done` is called for it or
   backend_http_abort ends it.  */
backend_call_t *backend_http_call (backend_http_t *client,
                                   const backend_request_t *request);

/* Abort CALL and close its connection; `done` is not called.  */
void backend_http_abort (backend_http_t *client, backend_call_t *call);

/* Handle the events READY (POLLER_* bits) on the socket of WATCH.  */
void backend_http_socket_ready (backend_http_t *client, watch_t *watch,
                                unsigned int ready);

/* The buffers of bodies larger than SMALL_BODY_BYTES, in bytes.  */
size_t backend_http_large_bytes (const backend_http_t *client);

/* The monotonic time at which backend_http_tick has to be called next;
   INT64_MAX if there is none.  */
usec_t backend_http_due_at (const backend_http_t *client);
/* Handle libcurl's timeouts that are due at NOW.  */
void backend_http_tick (backend_http_t *client, usec_t now);

#endif
