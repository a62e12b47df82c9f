/* caller_http: the port where callers send their requests, by libmicrohttpd
   in the traffic thread's poller.

   A request that could be read in two ways (two lengths, say) is refused with
   400 and its connection closed.  While a request waits for its answer its
   socket is watched, so that a caller who leaves is noticed at once.  */

#ifndef ROUTER_CALLER_HTTP_H
#define ROUTER_CALLER_HTTP_H

#include "base/error.h"
#include "router/exchange.h"

typedef struct caller_http caller_http_t;

typedef struct caller_http_options
{
  poller_t *poller;
  inet_t address;
  void *closure;
  /* A whole request has come; it may be ended at once or later.  */
  void (*request_received) (void *closure, exchange_t *exchange);
  /* Its caller has left; end it, and nothing is sent.  */
  void (*caller_gone) (void *closure, exchange_t *exchange);
} caller_http_options_t;

/* NULL with ERR_IO.  */
caller_http_t *caller_http_new (const caller_http_options_t *options,
                                err_t *err);
/* All exchanges must have ended.  */
void caller_http_free (caller_http_t *port);

/* The exchange has its answer or its reason.  */
void caller_http_finish (caller_http_t *port, exchange_t *exchange);

/* From now on every answer closes its connection.  */
void caller_http_disable_keep_alive (caller_http_t *port);

/* The header NAME of EXCHANGE's request; NULL where it has none.  */
const char *caller_http_header (const exchange_t *exchange, const char *name);

/* Call EACH with every header.  */
void caller_http_each_header (const exchange_t *exchange,
                              void (*each) (void *closure, const char *name,
                                            const char *value),
                              void *closure);

/* Do what is due.  */
void caller_http_run (caller_http_t *port);

/* A watched descriptor of a waiting caller says that it has gone.  */
void caller_http_hangup (caller_http_t *port, watch_t *watch);

/* When caller_http_run is due next: a span from now.  */
usec_t caller_http_timeout (const caller_http_t *port);

#endif
