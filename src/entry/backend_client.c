#include "entry/backend_client.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/list.h"
#include "base/log.h"
#include "entry/reply_fields.h"
#include "wire/answer_head.h"
#include "wire/chunk_decoder.h"
#include "wire/head_bound.h"
#include "wire/http_handles.h"
#include "wire/http_socket.h"

enum
{
  URL_BYTES = 2048 + 64,
  HEADER_LINE_BYTES = 512,
  CONNECTIONS_CACHED = 1024,
};

struct backend_call
{
  list_t link;
  backend_client_t *client;
  void *owner;
  CURL *easy;
  struct curl_slist *headers;
  reply_fields_t fields;
  bool no_resend;
  bool is_head;
  size_t body_bytes; /* of the request */
  int fd; /* of its connection, if the body is watched; -1: not known */
  send_watch_t send_watch;
  unsigned int n_sends; /* connections that it was sent on */
  answer_head_t head;
  head_bound_t head_bound;
  chunk_decoder_t chunks; /* of a body in chunks */
  bool is_too_long;
  size_t body_capacity;
  backend_reply_t reply;
};

struct backend_client
{
  backend_client_options_t options;
  http_handles_t *handles;
  list_t calls;
  usec_t uploads_at; /* when long requests are checked next */
};

static framing_kind_t
framing_kind (const backend_call_t *call)
{
  const answer_head_t *head = &call->head;
  if (chunk_decoder_is_malformed (&call->chunks))
    return FRAMING_INVALID;
  return response_framing_kind (&head->framing, call->is_head, head->status);
}

/* Make room for LENGTH more bytes of the body.  False if it is too long.  */
static bool
make_room (backend_call_t *call, size_t length)
{
  backend_reply_t *reply = &call->reply;
  size_t new_bytes = reply->body_bytes + length;
  if (new_bytes > call->client->options.answer_bytes_max)
    {
      call->is_too_long = true;
      return false;
    }
  if (new_bytes > call->body_capacity)
    {
      size_t capacity = new_bytes < 4096 ? 4096 : 2 * new_bytes;
      char *grown = realloc (reply->body, capacity);
      if (!grown)
        abort ();
      reply->body = grown;
      call->body_capacity = capacity;
    }
  return true;
}

/* The data of LENGTH bytes in chunks is shorter than they are.  */
static bool
read_chunks (backend_call_t *call, const char *data, size_t length)
{
  backend_reply_t *reply = &call->reply;
  chunk_decoder_t chunks = call->chunks;
  size_t n = chunk_decoder_read (&chunks, data, length, NULL);
  if (n > 0 && !make_room (call, n))
    return false;
  char *end = n > 0 ? reply->body + reply->body_bytes : NULL;
  chunk_decoder_read (&call->chunks, data, length, end);
  reply->body_bytes += n;
  if (call->chunks.n_beyond > 0)
    curl_easy_setopt (call->easy, CURLOPT_FORBID_REUSE, 1L);
  return !chunk_decoder_is_malformed (&call->chunks);
}

static size_t
on_body (char *data, size_t size, size_t n, void *closure)
{
  backend_call_t *call = closure;
  backend_reply_t *reply = &call->reply;
  size_t length = size * n;
  if (framing_kind (call) == FRAMING_CHUNKS)
    return read_chunks (call, data, length) ? length : 0;
  if (!make_room (call, length))
    return 0;
  memcpy (reply->body + reply->body_bytes, data, length);
  reply->body_bytes += length;
  return length;
}

/* Returns false if the call has to end, and its connection with it.  */
static bool
has_readable_framing (const backend_call_t *call)
{
  return !answer_head_is_final (&call->head)
         || framing_kind (call) != FRAMING_INVALID;
}

/* Whether CALL's request is long enough to be watched while it is sent.  */
static bool
is_upload (const backend_call_t *call)
{
  return call->body_bytes >= SEND_WATCH_BYTES_MIN && call->n_sends > 0;
}

/* Another request on CALL's connection would wait behind the rest of this one,
   which its server may never read.  */
static bool
is_held_up (const backend_call_t *call)
{
  send_facts_t facts;
  return is_upload (call) && http_socket_read_facts (call->fd, &facts)
         && (!http_socket_is_written (call->easy, call->body_bytes)
             || !send_facts_all_acknowledged (&facts));
}

/* CALL's final head has come, and what follows on its connection is known.  */
static void
end_upload (backend_call_t *call)
{
  if (is_upload (call))
    http_socket_end_send (call->fd, &call->send_watch);
}

/* What follows another request's answer on its connection can't be told apart
   either, so that is not to be used again.  Returns false if the call has to
   end.  */
static bool
end_head (backend_call_t *call)
{
  if (answer_head_is_final (&call->head))
    {
      if (!call->reply.id_matches || is_held_up (call))
        curl_easy_setopt (call->easy, CURLOPT_FORBID_REUSE, 1L);
      else
        end_upload (call);
    }
  return has_readable_framing (call);
}

static size_t
on_header (char *data, size_t size, size_t n, void *closure)
{
  backend_call_t *call = closure;
  size_t length = size * n;
  if (!head_bound_add (&call->head_bound, length))
    return 0;
  switch (answer_head_next (&call->head, data, length))
    {
    case HEAD_LINE_FIELD:
      reply_fields_parse (&call->fields, &call->reply, data, length);
      return length;
    case HEAD_LINE_END:
      return end_head (call) ? length : 0;
    case HEAD_LINE_STATUS:
      reply_fields_reset (&call->fields, &call->reply);
      return length;
    case HEAD_LINE_TRAILER:
      return length;
    case HEAD_LINE_MALFORMED:
      break;
    }
  return 0;
}

/* libcurl calls this each time it is about to send the request on a
   connection; a second time would be libcurl's own retry, which could run it
   twice.  */
static int
before_transmission (void *closure, char *remote, char *local, int remote_port,
                     int local_port)
{
  (void)local;
  backend_call_t *call = closure;
  const backend_client_options_t *options = &call->client->options;
  if (call->n_sends > 0 && call->no_resend)
    return CURL_PREREQFUNC_ABORT;
  if (call->owner && !options->before_send (options->closure, call->owner))
    return CURL_PREREQFUNC_ABORT;
  call->n_sends++;
  if (is_upload (call))
    {
      call->fd = http_handles_socket (call->client->handles, remote,
                                      remote_port, local_port);
      http_socket_start_send (call->fd, &call->send_watch);
    }
  return CURL_PREREQFUNC_OK;
}

static void
add_header (backend_call_t *call, const char *name, const char *value)
{
  char line[HEADER_LINE_BYTES];
  snprintf (line, sizeof line, "%s: %s", name, value);
  call->headers = curl_slist_append (call->headers, line);
}

static void
set_headers (backend_call_t *call, const backend_request_t *request)
{
  add_header (call, "X-Request-Id", request->id);
  for (size_t i = 0; i < BACKEND_HEADERS_MAX; i++)
    {
      const backend_header_t *header = &request->headers[i];
      if (header->name && header->value[0])
        add_header (call, header->name, header->value);
    }
  call->headers = curl_slist_append (call->headers, "Expect:");
}

static void
set_method (backend_call_t *call, const backend_request_t *request)
{
  CURL *easy = call->easy;
  if (call->is_head)
    curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
  else if (strcmp (request->method, "GET") == 0)
    curl_easy_setopt (easy, CURLOPT_HTTPGET, 1L);
  else
    {
      curl_easy_setopt (easy, CURLOPT_POST, 1L);
      curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, request->method);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)request->body_bytes);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS,
                        request->body ? request->body : "");
    }
}

static void
set_options (backend_call_t *call, const backend_request_t *request)
{
  CURL *easy = call->easy;
  char url[URL_BYTES];
  snprintf (url, sizeof url, "http://%s:%u%s", request->address, request->port,
            request->path);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PATH_AS_IS, 1L);
  set_method (call, request);
  set_headers (call, request);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, call->headers);
}

static backend_call_t *
call_new (backend_client_t *client, const backend_request_t *request)
{
  const backend_client_options_t *options = &client->options;
  backend_call_t *call = calloc (1, sizeof *call);
  if (!call)
    abort ();
  const http_transfer_t transfer
      = { .own_address = options->address,
          .timeout = request->timeout,
          .idle_seconds = (long)(options->connection_idle / USEC_PER_SEC + 1),
          .owner = call,
          .on_body = on_body,
          .on_header = on_header,
          .on_connection = before_transmission };
  call->client = client;
  call->fd = -1;
  call->easy = http_handles_take (client->handles, &transfer);
  list_push_back (&client->calls, &call->link);
  return call;
}

static void
call_free (backend_call_t *call)
{
  http_handles_give_back (call->client->handles, call->easy);
  curl_slist_free_all (call->headers);
  free (call->reply.body);
  list_remove (&call->link);
  free (call);
}

backend_call_t *
backend_client_call (backend_client_t *client,
                     const backend_request_t *request)
{
  backend_call_t *call = call_new (client, request);
  call->owner = request->owner;
  call->no_resend = request->no_resend;
  call->body_bytes = request->body_bytes;
  call->is_head = strcmp (request->method, "HEAD") == 0;
  snprintf (call->fields.id, sizeof call->fields.id, "%s", request->id);
  set_options (call, request);
  curl_multi_add_handle (http_handles_multi (client->handles), call->easy);
  return call;
}

void
backend_client_abort (backend_client_t *client, backend_call_t *call)
{
  (void)client;
  call_free (call);
}

/* Whether the answer is whole for certain: one that ends with its connection
   may be a part.  */
static bool
is_whole (const backend_call_t *call, CURLcode code)
{
  const answer_head_t *head = &call->head;
  framing_kind_t kind = framing_kind (call);
  if (kind == FRAMING_CHUNKS && !chunk_decoder_has_ended (&call->chunks))
    return false;
  connection_end_t end = http_connection_end (code, head, call->is_head);
  return answer_head_is_final (head)
         && response_framing_completeness (&head->framing, kind,
                                           call->reply.body_bytes, end)
                == BODY_WHOLE;
}

/* Whether bytes came that are no answer, a status that is none for example:
   the server still runs.  */
static bool
has_no_answer (const backend_call_t *call, CURLcode code)
{
  connection_end_t end
      = http_connection_end (code, &call->head, call->is_head);
  return call->n_sends > 0
         && (end == CONNECTION_REJECTED || end == CONNECTION_MALFORMED);
}

/* Set the reply's fields from the result of the transfer.  */
static void
finish_reply (backend_call_t *call, CURLcode code)
{
  backend_reply_t *reply = &call->reply;
  reply->status = call->head.status;
  reply->maybe_sent = call->n_sends > 0;
  reply->was_resent = call->n_sends > 1;
  reply->timed_out = code == CURLE_OPERATION_TIMEDOUT;
  reply->was_refused = http_connection_was_refused (call->easy, code);
  reply->is_complete = code == CURLE_OK && is_whole (call, code);
  reply->is_truncated = !reply->is_complete
                        && (reply->status > 0 || has_no_answer (call, code));
  reply->error = call->is_too_long ? "its answer is longer than the limit"
                 : head_bound_is_exceeded (&call->head_bound)
                     ? "its head is longer than the limit"
                 : chunk_decoder_is_malformed (&call->chunks)
                     ? "the chunks of its answer can't be read"
                 : !has_readable_framing (call)
                     ? "the length of its answer can't be read"
                 : code == CURLE_OK
                     ? "its answer has neither Content-Length nor chunks"
                     : curl_easy_strerror (code);
}

static bool
has_whole_answer (const backend_call_t *call)
{
  return http_response_has_ended (&call->head, framing_kind (call),
                                  call->reply.body_bytes, &call->chunks);
}

static void
finish_call (backend_client_t *client, backend_call_t *call, CURLcode code)
{
  finish_reply (call, code);
  if (call->owner)
    client->options.done (client->options.closure, call->owner, &call->reply);
  call_free (call);
}

static void
collect_finished (backend_client_t *client)
{
  CURLcode code;
  backend_call_t *call;
  while ((call = http_handles_ended (client->handles, &code)))
    finish_call (client, call,
                 http_transfer_result (code, has_whole_answer (call)));
}

static void
abandon_upload (backend_client_t *client, backend_call_t *call,
                const char *reason, CURLcode code)
{
  LOG_EVENT (LOG_LEVEL_INFO, "upload_abandoned", LOG_S ("id", call->fields.id),
             LOG_S ("reason", reason), LOG_U ("bytes", call->body_bytes));
  finish_call (client, call, code);
}

/* A server that has answered may read no more: the rest of the request is not
   waited for, and the connection is closed.  One that reads slowly is told
   from one that has gone silent.  */
static void
check_upload (backend_client_t *client, backend_call_t *call, usec_t now)
{
  if (has_whole_answer (call))
    {
      abandon_upload (client, call, "the response came before its end",
                      CURLE_OK);
      return;
    }
  send_state_t state
      = http_socket_check_send (call->fd, &call->send_watch, now);
  if (call->send_watch.is_held)
    curl_easy_setopt (call->easy, CURLOPT_FORBID_REUSE, 1L);
  if (state == SEND_ARRIVED
      && http_socket_is_written (call->easy, call->body_bytes))
    end_upload (call);
  if (state == SEND_SILENT)
    abandon_upload (client, call, "the backend server acknowledges nothing",
                    CURLE_SEND_ERROR);
}

/* What is told of an upload that ends may end others.  */
static void
check_uploads (backend_client_t *client, usec_t now)
{
  list_t due;
  list_t *link;
  if (now < client->uploads_at)
    return;
  client->uploads_at = now + SEND_WATCH_SPAN;
  list_init (&due);
  while ((link = list_pop_front (&client->calls)))
    list_push_back (&due, link);
  while ((link = list_pop_front (&due)))
    {
      backend_call_t *call = LIST_ENTRY (link, backend_call_t, link);
      list_push_back (&client->calls, link);
      if (is_upload (call))
        check_upload (client, call, now);
    }
}

void
backend_client_run (backend_client_t *client, usec_t wait, int fd)
{
  CURLM *multi = http_handles_multi (client->handles);
  int running = 0;
  curl_multi_perform (multi, &running);
  collect_finished (client);
  check_uploads (client, clock_monotonic ());
  struct curl_waitfd extra = { .fd = fd, .events = CURL_WAIT_POLLIN };
  int msec = (int)((wait + USEC_PER_MSEC - 1) / USEC_PER_MSEC);
  curl_multi_poll (multi, &extra, 1, msec, NULL);
}

void
backend_client_wake (backend_client_t *client)
{
  curl_multi_wakeup (http_handles_multi (client->handles));
}

backend_client_t *
backend_client_new (const backend_client_options_t *options)
{
  backend_client_t *client = calloc (1, sizeof *client);
  if (!client)
    abort ();
  client->options = *options;
  client->handles = http_handles_new (CONNECTIONS_CACHED);
  list_init (&client->calls);
  return client;
}

void
backend_client_free (backend_client_t *client)
{
  LIST_FOREACH (link, &client->calls)
  backend_client_abort (client, LIST_ENTRY (link, backend_call_t, link));
  http_handles_free (client->handles);
  free (client);
}
