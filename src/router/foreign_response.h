/* foreign_response: recognizes a response to another request at the start of
   what waits on a connection, so that it can be left out and the request's own
   response be read behind it.  Pure.  */

#ifndef ROUTER_FOREIGN_RESPONSE_H
#define ROUTER_FOREIGN_RESPONSE_H

#include <stddef.h>
#include <stdint.h>

#include "router/sent_ids.h"

/* The bytes, with its head, of the response that DATA, LENGTH bytes, begins
   with, if its head is whole, it is a final response, it has request ids that
   all differ from ID, and its length is told.  Otherwise 0: it may be ID's, or
   its end can't be known.  DATA need not have all of the body.  If ID is "",
   only ids that are among SENT, those that the connection has carried, are
   request ids.  */
uint64_t foreign_response_bytes (const char *data, size_t length,
                                 const char *id, const sent_ids_t *sent);

#endif
