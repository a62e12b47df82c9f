/* caller_connection: one connection of a caller, and the requests on it.

   A caller may send further requests before the first one is answered.
   Responses are sent in the order of the requests.  Safe requests (GET, HEAD)
   of idempotent routes are passed on as they arrive, so that none waits for
   another; any other request waits until all before it are answered, and those
   behind it wait for it.  So a request that may run only once is never under
   way on a connection that an earlier response may still close.

   While a response is due the socket is watched, so that a caller that closes
   the connection is noticed at once.  */

#ifndef ROUTER_CALLER_CONNECTION_H
#define ROUTER_CALLER_CONNECTION_H

#include "router/caller_http.h"
#include "router/response_head.h"

typedef enum
{
  CALLER_OPEN,
  CALLER_CLOSING, /* the last response is written, but the caller may not have
                     it yet; what arrives is dropped */
  CALLER_CLOSED,  /* to be freed */
} caller_phase_t;

struct caller_connection
{
  list_t link;       /* in the port's list, by last activity */
  list_t ready_link; /* in the port's list of connections to advance */
  caller_http_t *port;
  watch_t watch;
  unsigned int watched_for; /* POLLER_* bits */
  caller_phase_t phase;
  usec_t active_at;

  request_parser_t parser;
  bool reads_no_more; /* no further request is read */
  char *unparsed;     /* malloc'd; read, but not parsed yet */
  size_t n_unparsed;
  exchange_t *incoming; /* whose body is being received, or NULL */
  list_t exchanges;     /* in the order of arrival; owned */
  size_t n_exchanges;

  caller_response_t response; /* of the first exchange; valid if is_writing */
  bool is_writing;
  size_t n_written; /* of the response's head and body */

  size_t n_undelivered;  /* bytes that the caller's host had not acknowledged
                            when that was last looked at */
  usec_t undelivered_at; /* CALLER_CLOSING: when n_undelivered changed */
  size_t n_dropped;      /* bytes that were read and dropped */
  bool input_has_ended;  /* CALLER_CLOSING: the caller has closed its side;
                            the socket is not watched any more */
};

/* What a connection needs of its port.  */
typedef struct caller_connection_options
{
  caller_http_t *port;
  int fd; /* taken over */
  usec_t now;
} caller_connection_options_t;

/* Returns NULL if the poller refuses FD, which is closed then.  */
caller_connection_t *
caller_connection_new (const caller_connection_options_t *options);
/* All its exchanges must have been finished.  */
void caller_connection_free (caller_connection_t *connection);

/* Handle the events READY (POLLER_* bits) on its socket.  */
void caller_connection_socket_ready (caller_connection_t *connection,
                                     unsigned int ready);

/* Send the responses that are due, and go on with what was read.  */
void caller_connection_advance (caller_connection_t *connection);

/* Whether it may be closed because nothing has happened on it for long: no
   response is waited for.  */
bool caller_connection_is_idle (const caller_connection_t *connection);

#endif
