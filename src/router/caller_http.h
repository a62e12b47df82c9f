/* caller_http: HTTP server for callers' requests.  It runs in the traffic
   thread and waits for its sockets with that thread's poller.

   libmicrohttpd, which the other ports use, reads a further request of a
   connection only when the one before it is answered; here such requests are
   served beside each other (see caller_connection.h).  http_parser reads the
   requests.  */

#ifndef ROUTER_CALLER_HTTP_H
#define ROUTER_CALLER_HTTP_H

#include "base/error.h"
#include "router/exchange.h"

typedef struct caller_http caller_http_t;

typedef struct caller_http_options
{
  poller_t *poller;
  inet_t address;
  body_budget_t *budget; /* for the bodies of requests */
  void *closure;
  /* EXCHANGE's request was received completely, or the head of one whose body
     is passed on while it comes.  The callee finishes EXCHANGE by
     caller_http_finish, during this call or later.  */
  void (*request_received) (void *closure, exchange_t *exchange);
  /* More of such a body is in EXCHANGE's stream.  */
  void (*body_arrived) (void *closure, exchange_t *exchange);
  /* Whether EXCHANGE's request may run while earlier ones of its connection
     do.  */
  bool (*may_overlap) (void *closure, const exchange_t *exchange);
  /* EXCHANGE's caller has closed its connection.  The callee has to finish
     EXCHANGE, which is freed after the call; no response is sent.  */
  void (*caller_gone) (void *closure, exchange_t *exchange);
} caller_http_options_t;

/* Open the port.  Returns NULL with ERR_IO if the address can't be used.  */
caller_http_t *caller_http_new (const caller_http_options_t *options,
                                err_t *err);
/* All exchanges must have been finished.  */
void caller_http_free (caller_http_t *port);

/* Send EXCHANGE's response, or the status for its reason; one of them must be
   set.  EXCHANGE is freed once the response is written.  */
void caller_http_finish (exchange_t *exchange);

/* Connections may be idle for TIMEOUT, and for 20 s at least.  */
void caller_http_set_idle_timeout (caller_http_t *port, usec_t timeout);

/* Requests with longer bodies are rejected, at first none.  0: those that are
   longer than what a router holds whole.  */
void caller_http_set_max_body (caller_http_t *port, uint64_t n_bytes);

/* There is room in EXCHANGE's stream again.  */
void caller_http_read_on (exchange_t *exchange);

/* From now on every connection ends after a response, and requests are passed
   on one after the other.  */
void caller_http_disable_keep_alive (caller_http_t *port);

/* The number of requests of which the head was received and the response is
   not written whole.  */
size_t caller_http_n_open (const caller_http_t *port);

/* The number of connections whose caller may not have got all that was
   written.  It looks at every connection.  */
size_t caller_http_n_undelivered (const caller_http_t *port);

/* Handle the events READY (POLLER_* bits) of WATCH, which is WATCH_CALLER_PORT
   or WATCH_CALLER_SOCKET.  */
void caller_http_socket_ready (caller_http_t *port, watch_t *watch,
                               unsigned int ready);

/* Send the responses that are due, and close connections that are idle for too
   long.  To be called after all other events.  */
void caller_http_run (caller_http_t *port);

/* How long from now caller_http_run may be delayed, if no socket becomes
   ready.  */
usec_t caller_http_timeout (const caller_http_t *port);

#endif
