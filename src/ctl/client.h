/* client: signed requests to the administration API.

   A request goes to one control VM after the other until one gives a final
   answer.  Every operation of the API is idempotent, a sheet by its number
   and content, so a request whose answer was lost is sent again as it is,
   signed anew.  Each try has a connection of its own, for libcurl resends a
   request by itself when a reused one breaks.  */

#ifndef CTL_CLIENT_H
#define CTL_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/time_defs.h"
#include "wire/credential.h"

typedef struct client_options
{
  const char *const *addresses; /* of the control VMs, dotted IPv4 */
  size_t n_addresses;
  uint16_t port;
  const credential_t *credential;
  usec_t try_timeout; /* of one try */
  usec_t timeout;     /* over all tries */
} client_options_t;

typedef struct client_request
{
  const char *method;
  const char *target;
  const char *body; /* NULL: none */
  size_t body_bytes;
} client_request_t;

typedef struct client_reply
{
  unsigned status;
  char *body; /* NUL-terminated; for client_reply_free */
  size_t length;
  const char *address; /* of the VM that answered; the options' string */
} client_reply_t;

/* Ask until there is a final answer: any status but 503 and 504.  False with
   ERR_UNAVAILABLE (no VM was reached), ERR_TIMEOUT (one was, but none gave a
   final answer: the request may have been carried out) or ERR_AUTH (an answer
   without the right signature).  */
bool client_ask (const client_options_t *options,
                 const client_request_t *request, client_reply_t *reply,
                 err_t *err);

void client_reply_free (client_reply_t *reply);

#endif
