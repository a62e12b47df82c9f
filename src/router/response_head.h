/* response_head: the head of a response to a caller, and how its body ends. No
   I/O.  */

#ifndef ROUTER_RESPONSE_HEAD_H
#define ROUTER_RESPONSE_HEAD_H

#include "router/exchange.h"

/* What is sent for an exchange.  */
typedef struct caller_response
{
  char *head; /* malloc'd; with the body of a response of the router's own */
  size_t head_bytes;
  const char *body; /* of the backend server; owned by the exchange */
  size_t body_bytes;
  bool ends_by_close; /* its end is the end of the connection */
  bool closes;        /* the connection ends after it */
} caller_response_t;

/* Whether EXCHANGE's response ends with its connection, as that of the backend
   server did: a length would tell callers that it is whole.  */
bool response_ends_by_close (const exchange_t *exchange);

/* The response to EXCHANGE, which is finished; CLOSES: the connection ends
   after it.  The caller frees `head`.  */
caller_response_t response_head_build (const exchange_t *exchange,
                                       bool closes);

/* How EXCHANGE's response to its caller is framed, for logs.  */
const char *response_framing_label (const exchange_t *exchange);

#endif
