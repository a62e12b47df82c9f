/* backend_client: HTTP calls to backend servers and to other entry VMs, with
   libcurl's multi interface.  One thread calls all functions but
   backend_client_wake.

   libcurl sends a request again on its own when a connection that it reuses
   turns out to be closed; a request with `no_resend` is never sent on a second
   connection.  */

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
  bool is_complete;  /* an answer with an explicit length came, to its end */
  bool maybe_sent;   /* bytes of the request may have been sent */
  bool was_resent;   /* on another connection: the answer tells nothing of the
                        transmission before it */
  bool is_truncated; /* an answer, or what is none, began; not complete */
  bool id_matches;   /* its X-Request-Id is the one that was sent */
  bool not_started;  /* X-Not-Started: 1, and no other value beside it */
  bool timed_out;
  bool was_refused; /* the connection, as no process listens there */
  unsigned int status;
  char content_type[BACKEND_HEADER_VALUE_BYTES]; /* of the answer */
  /* X-Mulberry-Outcome, X-Mulberry-Reason, X-Mulberry-Generation and
     X-Mulberry-Run-Us of an entry VM's answer; an outcome beside another one
     is "", and the last is the time at the backend server, 0 where it is
     missing.  */
  char outcome[BACKEND_HEADER_VALUE_BYTES];
  char reason[BACKEND_HEADER_VALUE_BYTES];
  uint32_t generation;
  usec_t run_time;
  char *body; /* malloc'd; a receiver that keeps it sets it to NULL */
  size_t body_bytes;
  const char *error; /* static text; why it is not complete */
} backend_reply_t;

typedef struct backend_client_options
{
  const char *address; /* local IPv4 address of the connections */
  size_t answer_bytes_max;
  usec_t connection_idle; /* idle connections are closed after it */
  void *closure;
  /* The request is about to be written to a connection; false stops it.  */
  bool (*before_send) (void *closure, void *owner);
  /* The call has ended; it must not be used any more.  Never called from
     within backend_client_call.  */
  void (*done) (void *closure, void *owner, backend_reply_t *reply);
} backend_client_options_t;

typedef struct backend_header
{
  const char *name;
  const char *value; /* "": the header is not sent */
} backend_header_t;

typedef struct backend_request
{
  const char *address;
  uint16_t port;
  const char *method;
  const char *path;
  const char *id; /* X-Request-Id, which the answer must repeat */
  backend_header_t headers[BACKEND_HEADERS_MAX];
  const char *body; /* must stay valid until the call has ended */
  size_t body_bytes;
  usec_t timeout;
  bool no_resend;
  void *owner; /* for the callbacks; NULL: none are called */
} backend_request_t;

backend_client_t *backend_client_new (const backend_client_options_t *options);

/* Calls in progress are dropped without their callbacks.  */
void backend_client_free (backend_client_t *client);

/* Start a call; it proceeds in backend_client_run.  */
backend_call_t *backend_client_call (backend_client_t *client,
                                     const backend_request_t *request);

/* Drop CALL and close its connection; `done` is not called.  */
void backend_client_abort (backend_client_t *client, backend_call_t *call);

/* Perform transfers and call the callbacks, then wait until a socket is ready,
   FD is readable or backend_client_wake is called, at most WAIT.  */
void backend_client_run (backend_client_t *client, usec_t wait, int fd);

/* End the wait of backend_client_run; from any thread.  */
void backend_client_wake (backend_client_t *client);

#endif
