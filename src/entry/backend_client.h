/* backend_client: the thread that sends requests to backend servers, over
   libcurl's multi interface.

   libcurl sends a request again by itself when a reused connection dies
   before the answer; a non-idempotent request would then run twice.  Each
   exchange may therefore reach a connection once only.  */

#ifndef ENTRY_BACKEND_CLIENT_H
#define ENTRY_BACKEND_CLIENT_H

#include "entry/exchange.h"

typedef struct backend_client backend_client_t;

/* Called on the client's thread once the exchange has its outcome.  */
typedef void (*backend_done_t) (void *closure, exchange_t *exchange);

typedef struct backend_client_options
{
  const char *address; /* the source of our connections */
  size_t in_flight_max;
  size_t answer_bytes_max;
  usec_t connection_idle;
  backend_done_t done;
  void *closure;
} backend_client_options_t;

backend_client_t *
backend_client_start (const backend_client_options_t *options, err_t *err);

/* Finishes nothing: exchanges still under way end as unknown.  */
void backend_client_stop (backend_client_t *client);

/* Send EXCHANGE to its backend server; false where too many are under
   way.  From any thread.  */
bool backend_client_send (backend_client_t *client, exchange_t *exchange);

#endif
