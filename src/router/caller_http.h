/* caller_http: HTTP server for callers' requests, with libmicrohttpd.  It runs
   in the traffic thread and waits for its sockets with that thread's poller.

   A request whose framing is ambiguous (two Content-Length headers, for
   example) is refused with 400 and its connection is closed.  While a request
   waits for its response, its socket is watched, so that a caller that closes
   the connection is noticed at once.  */

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
  /* EXCHANGE's request was received completely.  The callee finishes EXCHANGE
     by caller_http_finish, during this call or later.  */
  void (*request_received) (void *closure, exchange_t *exchange);
  /* EXCHANGE's caller has closed its connection.  The callee has to finish
     EXCHANGE; no response is sent.  */
  void (*caller_gone) (void *closure, exchange_t *exchange);
} caller_http_options_t;

/* Open the port.  Returns NULL with ERR_IO if the address can't be used.  */
caller_http_t *caller_http_new (const caller_http_options_t *options,
                                err_t *err);
/* All exchanges must have been finished.  */
void caller_http_free (caller_http_t *port);

/* Send EXCHANGE's response, or the status for its reason; one of them must be
   set.  EXCHANGE is freed once libmicrohttpd has completed the request.  */
void caller_http_finish (caller_http_t *port, exchange_t *exchange);

/* How EXCHANGE's response to its caller is framed, for logs.  */
const char *caller_http_framing_name (const exchange_t *exchange);

/* From now on every response closes its connection.  */
void caller_http_disable_keep_alive (caller_http_t *port);

/* The number of requests of which the head was received and the response is
   not written whole.  */
size_t caller_http_n_open (const caller_http_t *port);

/* The value of the header NAME of EXCHANGE's request; NULL if it has none.  */
const char *caller_http_header (const exchange_t *exchange, const char *name);

/* Call EACH for every header of EXCHANGE's request.  */
void caller_http_each_header (const exchange_t *exchange,
                              void (*each) (void *closure, const char *name,
                                            const char *value),
                              void *closure);

/* Process sockets that are ready, and timeouts that are due.  */
void caller_http_run (caller_http_t *port);

/* The caller whose socket WATCH watches has closed its connection.  */
void caller_http_hangup (caller_http_t *port, watch_t *watch);

/* How long from now caller_http_run may be delayed, if no socket becomes
   ready.  */
usec_t caller_http_timeout (const caller_http_t *port);

#endif
