/* backend_client: HTTP calls to backend servers and to other entry VMs, by
   libcurl's multi interface.  All functions but backend_client_wake belong to
   one thread.

   libcurl by itself sends a request again when a connection that it used
   before turns out to be dead; a call that says `once` is never put on a
   second connection.  */

#ifndef ENTRY_BACKEND_CLIENT_H
#define ENTRY_BACKEND_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/time_defs.h"

enum
{
  BACKEND_HEADER_VALUE_BYTES = 256,
  BACKEND_HEADERS_MAX = 8,
};

typedef struct backend_client backend_client_t;
typedef struct backend_call backend_call_t;

typedef struct backend_reply
{
  bool is_complete;  /* all of an answer came, and its framing told its end */
  bool maybe_sent;   /* bytes of the request may have left */
  bool is_truncated; /* an answer began and ended short */
  bool id_matches;   /* it carries the id that was sent */
  bool not_started;  /* the server refused before starting */
  bool timed_out;
  unsigned int status;
  char content_type[BACKEND_HEADER_VALUE_BYTES]; /* Content-Type */
  char outcome[BACKEND_HEADER_VALUE_BYTES];
  char reason[BACKEND_HEADER_VALUE_BYTES];
  uint32_t generation;
  usec_t run_time; /* that the entry VM asked says the backend server ran; 0:
                      none */
  char *body;      /* malloc'd; who takes it sets it to NULL */
  size_t body_bytes;
  const char *error;
} backend_reply_t;

typedef struct backend_client_options
{
  const char *address; /* source of the connections */
  size_t answer_bytes_max;
  usec_t connection_idle;
  void *closure;
  /* The request is about to leave on a connection; false stops it.  */
  bool (*before_send) (void *closure, void *owner);
  /* The call has ended and is gone.  Never called from inside
     backend_client_call.  */
  void (*done) (void *closure, void *owner, backend_reply_t *reply);
} backend_client_options_t;

typedef struct backend_header
{
  const char *name;
  const char *value; /* "": left out */
} backend_header_t;

typedef struct backend_request
{
  const char *address;
  uint16_t port;
  const char *method;
  const char *path;
  const char *id; /* X-Request-Id, to be given back */
  backend_header_t headers[BACKEND_HEADERS_MAX];
  const char *body; /* stays until the call has ended */
  size_t body_bytes;
  usec_t timeout;
  bool no_resend;
  void *owner;
} backend_request_t;

backend_client_t *backend_client_new (const backend_client_options_t *options);

/* Calls under way end without a word.  */
void backend_client_free (backend_client_t *client);

backend_call_t *backend_client_call (backend_client_t *client,
                                     const backend_request_t *request);

/* End it and close its connection; `done` is not called.  */
void backend_client_abort (backend_client_t *client, backend_call_t *call);

/* Do what is due, then wait at most WAIT, until a wake or until FD can be
   read.  */
void backend_client_run (backend_client_t *client, usec_t wait, int fd);

/* End the wait; from any thread.  */
void backend_client_wake (backend_client_t *client);

#endif
