/* http_handles: HTTP transfers by one of libcurl's multi handles, whose easy
   handles are used again.  All calls from one thread.  */

#ifndef WIRE_HTTP_HANDLES_H
#define WIRE_HTTP_HANDLES_H

#include <curl/curl.h>

#include "base/time_defs.h"

typedef struct http_handles http_handles_t;

/* Up to CONNECTIONS_CACHED idle connections are kept.  */
http_handles_t *http_handles_new (long connections_cached);
/* After every handle was given back.  */
void http_handles_free (http_handles_t *handles);

CURLM *http_handles_multi (const http_handles_t *handles);

typedef struct http_transfer
{
  const char *own_address; /* source of the connection, dotted IPv4 */
  usec_t timeout;
  long idle_seconds; /* a connection that lay longer is not used again */
  void *owner;       /* told when it ends, and handed to what follows */
  curl_write_callback on_body;
  curl_write_callback on_header;
  curl_prereq_callback on_connection;
} http_transfer_t;

/* A handle with TRANSFER's options; the caller sets the rest and adds it to
   the multi handle.  */
CURL *http_handles_take (http_handles_t *handles,
                         const http_transfer_t *transfer);

/* End EASY's transfer, where it goes on, and keep EASY for another.  */
void http_handles_give_back (http_handles_t *handles, CURL *easy);

/* The owner of a transfer that has ended, and how; NULL where none has.  Its
   handle is still to be given back.  */
void *http_handles_ended (http_handles_t *handles, CURLcode *code);

#endif
