/* backend_http: HTTP client for requests to backend servers, with libcurl's
   multi interface.  It runs in the traffic thread and waits for its sockets
   with that thread's poller.

   A request is transmitted on one connection only.  libcurl would retransmit
   a request if a reused connection turns out to be closed; this is prevented,
   because the first transmission may already have been executed.  A kept
   connection that has ended, or on which bytes wait, gets no request.  */

#ifndef ROUTER_BACKEND_HTTP_H
#define ROUTER_BACKEND_HTTP_H

#include <curl/curl.h>
#include <stdbool.h>
#include <stddef.h>

#include "balance/backend_pool.h"
#include "base/inet.h"
#include "router/backend_connections.h"
#include "router/body_stream.h"
#include "router/poller.h"
#include "router/response_reader.h"

typedef struct backend_http backend_http_t;
typedef struct backend_call backend_call_t;

typedef struct backend_http_options
{
  poller_t *poller;
  const char *own_address; /* source address of the connections */
  body_budget_t *budget;   /* for the bodies of responses */
  void *closure;
  /* The call that was started for OWNER has ended, and its backend_call_t is
     freed.  The callee may move RESPONSE's contents out, setting it to zero;
     what is left is freed afterwards.  Never called from inside
     backend_http_call.  */
  void (*done) (void *closure, void *owner, backend_response_t *response);
  /* Some of the stream of OWNER's request was taken: there is room in it.  The
     callee must not call this module.  */
  void (*stream_taken) (void *closure, void *owner);
  /* The response to OWNER's call waits for room in the budget, and all of the
     request has been written: its body is not read any more, and its memory
     may be given back.  The callee must not call this module.  */
  void (*request_written) (void *closure, void *owner);
  /* As in backend_connections_options_t.  The callee must not call this
     module.  */
  void (*extra_bytes) (void *closure, const connection_use_t *use,
                       extra_place_t place, size_t n_bytes);
  /* The same.  */
  void (*id_sent_again) (void *closure, const connection_use_t *use);
} backend_http_options_t;

backend_http_t *backend_http_new (const backend_http_options_t *options);
/* Calls in flight are aborted without calling `done`.  */
void backend_http_free (backend_http_t *client);

typedef struct backend_request
{
  inet_t address;
  uint64_t boot;             /* backend_record_boot of the backend server */
  const char *backend_id;    /* NULL: not known */
  bool needs_new_connection; /* which gets no other request */
  const char *method;
  const char *target;         /* path and query */
  const char *id;             /* request id; "" for a health check */
  struct curl_slist *headers; /* owned by the call from now on */
  const char *body;           /* must stay valid until the call has ended */
  size_t body_bytes;
  body_stream_t *stream;  /* in place of BODY; the same holds for it */
  usec_t timeout;         /* of the whole call */
  usec_t connect_timeout; /* of setting up the connection */
  void *owner;            /* passed to `done` */
} backend_request_t;

/* Start REQUEST.  The result is valid until `done` is called for it or
   backend_http_abort ends it.  */
backend_call_t *backend_http_call (backend_http_t *client,
                                   const backend_request_t *request);

/* More of the body is in the stream of CALL's request.  */
void backend_http_stream_filled (backend_http_t *client, backend_call_t *call);

/* Abort CALL and close its connection; `done` is not called.  Returns whether
   bytes of the request may have left this VM.  */
bool backend_http_abort (backend_http_t *client, backend_call_t *call);

/* Handle the events READY (POLLER_* bits) on the socket of WATCH.  */
void backend_http_socket_ready (backend_http_t *client, watch_t *watch,
                                unsigned int ready);

/* The monotonic time at which backend_http_tick has to be called next;
   INT64_MAX if there is none.  */
usec_t backend_http_due_at (const backend_http_t *client);
/* Handle libcurl's timeouts that are due at NOW, and read on responses that
   waited for room in the budget.  To be called often.  */
void backend_http_tick (backend_http_t *client, usec_t now);

#endif
