/* http_handles: HTTP transfers on one libcurl multi handle, with a pool of
   reusable easy handles.  Not thread-safe: call all functions from one thread.
   Failed allocations abort the process.  */

#ifndef WIRE_HTTP_HANDLES_H
#define WIRE_HTTP_HANDLES_H

#include <curl/curl.h>

#include "base/time_defs.h"
#include "wire/answer_head.h"
#include "wire/chunk_decoder.h"

typedef struct http_handles http_handles_t;

/* Keep up to CONNECTIONS_CACHED idle connections open.  */
http_handles_t *http_handles_new (long connections_cached);
/* Every handle must have been given back.  */
void http_handles_free (http_handles_t *handles);

CURLM *http_handles_multi (const http_handles_t *handles);

typedef struct http_transfer
{
  const char *own_address; /* source of the connection, dotted IPv4 */
  usec_t timeout;          /* of the whole transfer */
  long idle_seconds;       /* a connection idle for longer is not reused */
  void *owner;             /* closure of the callbacks below; returned by
                              http_handles_ended */
  curl_write_callback on_body;
  curl_write_callback on_header;
  curl_prereq_callback on_connection; /* before the request is sent */
} http_transfer_t;

/* An easy handle with TRANSFER's options.  ON_BODY gets a body in chunks as it
   was sent, with its framing, and bytes that came with its end; ON_HEADER gets
   no trailers (see wire/chunk_decoder).  The caller sets the other options
   and adds the handle to the multi handle.  */
CURL *http_handles_take (http_handles_t *handles,
                         const http_transfer_t *transfer);

/* The socket of a connection of these handles, as ON_CONNECTION is told of it;
   -1: none, or the caller opens sockets by itself.  It is valid until the
   transfer ends.  */
int http_handles_socket (const http_handles_t *handles, const char *remote,
                         int remote_port, int local_port);

/* Abort EASY's transfer if it still runs, and return EASY to the pool.  */
void http_handles_give_back (http_handles_t *handles, CURL *easy);

/* The owner of the next transfer that has ended, with its result in *CODE;
   NULL if there is none.  The owner must still give the handle back.  */
void *http_handles_ended (http_handles_t *handles, CURLcode *code);

/* Whether a response with HEAD and a body that is framed as KIND has ended:
   N_READ bytes of it were received, or CHUNKS.  libcurl ends a transfer later,
   once the rest of its request is written.  */
bool http_response_has_ended (const answer_head_t *head, framing_kind_t kind,
                              uint64_t n_read, const chunk_decoder_t *chunks);

/* The result of a transfer for which libcurl tells CODE, whose response
   HAS_ENDED: libcurl fails transfers that can't send the rest of their
   request.  */
CURLcode http_transfer_result (CURLcode code, bool has_ended);

/* Whether EASY's transfer, with result CODE, found that no process listens at
   the server's address.  */
bool http_connection_was_refused (CURL *easy, CURLcode code);

/* How the connection of a transfer ended, whose request was sent, with result
   CODE and the response's HEAD.  IS_HEAD: the method is HEAD.  */
connection_end_t http_connection_end (CURLcode code, const answer_head_t *head,
                                      bool is_head);

#endif
