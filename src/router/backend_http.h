/* backend_http: requests to backend servers, by libcurl's multi interface in
   the traffic thread's poller.

   A request is put on one connection only: libcurl's own resend, after a
   connection that was used before turns out to be dead, is stopped.  */

#ifndef ROUTER_BACKEND_HTTP_H
#define ROUTER_BACKEND_HTTP_H

#include <curl/curl.h>
#include <stdbool.h>
#include <stddef.h>

#include "balance/backend_pool.h"
#include "base/inet.h"
#include "router/poller.h"

enum
{
  RESPONSE_HEADERS_MAX = 48,
  RESPONSE_BYTES_MAX = 16 * 1024 * 1024,
};

typedef struct backend_http backend_http_t;
typedef struct backend_call backend_call_t;

typedef struct response_header
{
  char *name; /* malloc'd; VALUE points into the same block */
  char *value;
} response_header_t;

/* What came back.  */
typedef struct backend_response
{
  bool was_transmitted; /* bytes of the request may have left */
  bool is_complete;     /* a whole answer came */
  bool id_matches;      /* and it is this request's */
  bool is_stamped;      /* it bears the backend server's signature */
  bool is_encoded;      /* its body is not as the backend server made it */
  bool not_started;
  bool timed_out;
  unsigned int status;
  char backend_id[BACKEND_ID_BYTES]; /* as a probe's answer tells; "" */
  usec_t cold_remaining;             /* as a probe's answer tells */
  backend_load_t load;
  size_t n_headers;
  response_header_t headers[RESPONSE_HEADERS_MAX]; /* to be passed on */
  char *body;                                      /* malloc'd */
  size_t body_bytes;
  const char *error; /* where no whole answer came */
} backend_response_t;

void backend_response_clear (backend_response_t *response);

typedef struct backend_http_options
{
  poller_t *poller;
  const char *own_address; /* source of the connections */
  void *closure;
  /* The call of OWNER has ended and is gone; ANSWER may be moved from.  Never
     called from inside backend_http_call.  */
  void (*done) (void *closure, void *owner, backend_response_t *response);
} backend_http_options_t;

backend_http_t *backend_http_new (const backend_http_options_t *options);
/* Calls under way end without a word.  */
void backend_http_free (backend_http_t *client);

typedef struct backend_request
{
  inet_t address;
  const char *method;
  const char *target;
  const char *id;             /* "": a probe, whose answer bears none */
  struct curl_slist *headers; /* passes to the call */
  const char *body;           /* stays until the call has ended */
  size_t body_bytes;
  usec_t timeout;
  usec_t connect_timeout;
  void *owner;
} backend_request_t;

backend_call_t *backend_http_call (backend_http_t *client,
                                   const backend_request_t *request);

/* End it and close its connection; `done` is not called.  */
void backend_http_abort (backend_http_t *client, backend_call_t *call);

/* A watched descriptor is ready.  */
void backend_http_socket_ready (backend_http_t *client, watch_t *watch,
                                unsigned int ready);

/* When backend_http_tick is due next, monotonic; INT64_MAX: not at all.  */
usec_t backend_http_due_at (const backend_http_t *client);
void backend_http_tick (backend_http_t *client, usec_t now);

#endif
