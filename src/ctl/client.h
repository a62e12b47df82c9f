/* client: send signed requests to the administration API.

   A request is sent to one control VM after another until one of them gives a
   final answer.  Every operation of the API is idempotent (a sheet is
   identified by its number and content), so a request whose answer was lost is
   sent again unchanged, with a new signature.  Each attempt opens a connection
   of its own, because libcurl resends a request by itself when a reused
   connection breaks.  */

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
  usec_t attempt_timeout; /* of one attempt */
  usec_t timeout;         /* over all attempts */
} client_options_t;

typedef struct client_request
{
  const char *method;
  const char *target;
  const char *body; /* NULL for a request without a body */
  size_t body_bytes;
} client_request_t;

typedef struct client_reply
{
  unsigned status;
  char *body; /* NUL-terminated; for client_reply_free */
  size_t length;
  const char *address; /* of the VM that answered; owned by the options */
} client_reply_t;

/* Send REQUEST until a VM gives a final answer: any status but 503 and 504.
   True with the answer in REPLY, for client_reply_free.  After
   OPTIONS->timeout, false with one of
   ERR_UNAVAILABLE: no VM was reached;
   ERR_TIMEOUT: a VM was reached, but none gave a final answer; the request may
   have been carried out;
   ERR_AUTH: an answer did not have a valid signature.  */
bool client_send (const client_options_t *options,
                  const client_request_t *request, client_reply_t *reply,
                  err_t *err);

void client_reply_free (client_reply_t *reply);

#endif
