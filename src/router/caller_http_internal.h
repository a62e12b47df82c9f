/* caller_http_internal: the state of the callers' port, and the functions that
   the source files of its connections call in each other.  */

#ifndef ROUTER_CALLER_HTTP_INTERNAL_H
#define ROUTER_CALLER_HTTP_INTERNAL_H

#include "router/caller_connection.h"

enum
{
  READ_BUFFER_BYTES = 16 * 1024,
  CONNECTIONS_MAX = 3000,
};

/* A connection on which nothing is sent for so long is closed; longer than
   callers keep an idle connection.  */
#define IDLE_TIMEOUT (20 * USEC_PER_SEC)
#define CLOSING_CHECK_INTERVAL USEC_PER_SEC

struct caller_http
{
  caller_http_options_t options;
  watch_t watch;     /* of the listening socket */
  bool is_accepting; /* the listening socket is watched */
  usec_t accept_at;  /* when to accept again; 0: not for a lack of resources */
  usec_t idle_timeout;     /* of a connection */
  uint64_t max_body_bytes; /* of a request; 0: what is held whole */
  bool keep_alive_disabled;
  list_t connections; /* by last activity, the oldest first */
  list_t closing;     /* the same, of those that are CALLER_CLOSING */
  list_t ready;       /* to be advanced */
  list_t ended;       /* exchanges to be freed */
  size_t n_connections;
  size_t n_open; /* requests that are not received or answered whole */
  char buffer[READ_BUFFER_BYTES]; /* what was read last */
};

/* caller_exchange.c */
/* The first exchange of CONNECTION, or NULL.  */
exchange_t *caller_first_exchange (const caller_connection_t *connection);
/* A new exchange for the request that the parser is reading.  */
exchange_t *caller_exchange_add (caller_connection_t *connection);
/* Remove EXCHANGE, which the port frees later, as its caller may still use
   it.  */
void caller_exchange_remove (caller_connection_t *connection,
                             exchange_t *exchange);
/* Free EXCHANGE, which was removed from its connection.  */
void caller_exchange_free (caller_http_t *port, exchange_t *exchange);
/* Answer EXCHANGE for REASON without passing it on.  */
void caller_exchange_refuse (exchange_t *exchange, exchange_reason_t reason);
/* Whether the response that is being written is the last of CONNECTION.  */
bool caller_writes_last (const caller_connection_t *connection);
/* Pass on the requests that need not wait for others, and none behind a
   response that is known to end the connection.  */
void caller_dispatch (caller_connection_t *connection);
/* The caller can't be answered any more: abort what is under way.  */
void caller_abort_exchanges (caller_connection_t *connection);
/* Have CONNECTION advanced, after the present event.  */
void caller_set_ready (caller_connection_t *connection);
/* End CONNECTION at once.  */
void caller_set_closed (caller_connection_t *connection);

/* caller_read.c */
/* Whether what has arrived may be parsed: the request under way, or a further
   one.  */
bool caller_may_parse (const caller_connection_t *connection);
/* Parse what was read before.  */
void caller_parse_unparsed (caller_connection_t *connection);
/* Read and parse what has arrived.  */
void caller_read_input (caller_connection_t *connection);

/* caller_close.c */
/* Begin to end CONNECTION, whose last response is written: no more is sent,
   and its requests are aborted.  It is closed when the caller closes it, which
   has the response then, or by caller_closing_is_over.  */
void caller_begin_closing (caller_connection_t *connection);
/* Read and drop some of what has arrived on CONNECTION, whose last response is
   being written or is written.  */
void caller_drop_input (caller_connection_t *connection);
/* Read and drop what has arrived on CONNECTION, so that its close does not
   reset it.  */
void caller_drain_input (caller_connection_t *connection);
/* Whether the caller may not have got all that was written: it has not closed
   CONNECTION, which ends, or its host has not acknowledged all.  */
bool caller_has_undelivered (const caller_connection_t *connection);
/* Whether the caller's host has got something since the last call, and not
   all.  */
bool caller_takes_response (caller_connection_t *connection);
/* Whether CONNECTION, which is CALLER_CLOSING, is to be closed now.  To be
   called every CLOSING_CHECK_INTERVAL.  */
bool caller_closing_is_over (caller_connection_t *connection, usec_t now);

/* caller_write.c */
/* Send the responses that are due, in order, as far as the socket takes
   them.  */
void caller_send_responses (caller_connection_t *connection);
/* Whether the caller is to be told to go on with the body of the first
   request.  */
bool caller_awaits_continue (const caller_connection_t *connection);
/* Tell it, if the socket has room.  */
void caller_send_continue (caller_connection_t *connection);

#endif
