/* caller_http_internal: the state of the callers' port, for its source files.
 */

#ifndef ROUTER_CALLER_HTTP_INTERNAL_H
#define ROUTER_CALLER_HTTP_INTERNAL_H

#include "router/caller_connection.h"

enum
{
  READ_BUFFER_BYTES = 16 * 1024,
};

struct caller_http
{
  caller_http_options_t options;
  watch_t watch;     /* of the listening socket */
  bool is_accepting; /* the listening socket is watched */
  usec_t accept_at;  /* when to accept again; 0: not for a lack of resources */
  bool keep_alive_disabled;
  list_t connections; /* by last activity, the oldest first */
  list_t closing;     /* the same, of those that are CALLER_CLOSING */
  list_t ready;       /* to be advanced */
  list_t ended;       /* exchanges to be freed */
  size_t n_connections;
  size_t n_open; /* requests that are not received or answered whole */
  char buffer[READ_BUFFER_BYTES]; /* what was read last */
};

#endif
