#include "router/backend_http.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "router/backend_transfer.h"
#include "wire/http_handles.h"
#include "wire/http_socket.h"
#include "wire/send_watch.h"

enum
{
  CONNECTIONS_CACHED = 2000,
  END_BYTES = 1,    /* the kernel counts the end of a stream as a byte */
  IDLE_SECONDS = 8, /* longer idle connections are not reused */
};

/* For how long responses are read on before other sockets have their turn.
   libcurl reads on a socket for as long as data waits there, 1.6 MB at most;
   in small chunks that takes tens of milliseconds.  */
#define TURN_TIME (1 * USEC_PER_MSEC)

struct backend_call
{
  list_t link;
  list_t upload_link; /* in `uploads` */
  list_t turn_link;   /* in the client's `yielded` or `failed` */
  CURLcode failure;   /* of a call in `failed` */
  backend_http_t *client;
  void *owner;
  CURL *easy;
  struct curl_slist *headers;
  inet_t remote;
  connection_use_t use;
  connection_user_t user;
  size_t body_bytes;          /* of the request */
  body_stream_t *stream;      /* of the request's body; or NULL */
  bool awaits_stream;         /* libcurl found nothing in STREAM */
  uint64_t n_read;            /* bytes of the whole response; 0: not known */
  unsigned int n_connections; /* that the request was transmitted on */
  bool needs_new_connection;  /* it was not transmitted on the kept one */
  bool is_paused;             /* until the budget has room for the body */
  response_reader_t reader;
};

struct backend_http
{
  backend_http_options_t options;
  http_handles_t *handles;
  backend_connections_t *connections;
  list_t calls;      /* in flight */
  list_t uploads;    /* those whose request may not have been sent yet */
  usec_t uploads_at; /* when these are checked next */
  list_t yielded;    /* calls that have had their turn, oldest first */
  list_t failed;     /* calls that failed while they were resumed */
  usec_t turn_ends_at;
  uint64_t n_releases; /* of the budget, when calls were last resumed */
  usec_t due_at;       /* of libcurl's next timeout */
};

/* --- Callbacks of libcurl ----------------------------------------------- */

static void
begin_turn (backend_http_t *client)
{
  client->turn_ends_at = clock_monotonic () + TURN_TIME;
}

static bool
turn_is_over (const backend_http_t *client)
{
  return clock_monotonic () >= client->turn_ends_at;
}

/* CALL's response waits for room.  */
static void
wait_for_room (backend_call_t *call)
{
  const backend_http_options_t *options = &call->client->options;
  if (call->is_paused)
    return;
  call->is_paused = true;
  bool is_written = call->body_bytes > 0
                    && http_socket_is_written (call->easy, call->body_bytes);
  LOG_EVENT (LOG_LEVEL_INFO, "answer_waits", LOG_S ("id", call->reader.id),
             LOG_U ("length", call->reader.head.framing.length),
             LOG_U ("request_written", is_written));
  if (is_written && options->request_written)
    options->request_written (options->closure, call->owner);
}

static size_t
on_body (char *data, size_t size, size_t n, void *closure)
{
  backend_call_t *call = closure;
  size_t length = size * n;
  if (turn_is_over (call->client))
    {
      list_push_back (&call->client->yielded, &call->turn_link);
      return CURL_WRITEFUNC_PAUSE;
    }
  switch (response_reader_body (&call->reader, data, length))
    {
    case BODY_READ:
      if (call->reader.chunks.n_beyond > 0)
        curl_easy_setopt (call->easy, CURLOPT_FORBID_REUSE, 1L);
      return length;
    case BODY_MUST_WAIT:
      wait_for_room (call);
      return CURL_WRITEFUNC_PAUSE;
    case BODY_REJECTED:
      break;
    }
  return 0;
}

static size_t
on_upload (char *buffer, size_t size, size_t n, void *closure)
{
  backend_call_t *call = closure;
  const backend_http_options_t *options = &call->client->options;
  size_t n_taken = body_stream_take (call->stream, buffer, size * n);
  call->awaits_stream = n_taken == 0;
  if (call->awaits_stream)
    return CURL_READFUNC_PAUSE;
  options->stream_taken (options->closure, call->owner);
  return n_taken;
}

static size_t
on_header (char *data, size_t size, size_t n, void *closure)
{
  backend_call_t *call = closure;
  size_t length = size * n;
  if (call->user.connection)
    backend_connection_response_began (call->user.connection);
  if (!response_reader_head (&call->reader, data, length))
    return 0;
  const backend_connection_t *connection = call->user.connection;
  bool is_spoilt = connection && backend_connection_is_spoilt (connection);
  if (is_spoilt || response_reader_is_foreign (&call->reader))
    curl_easy_setopt (call->easy, CURLOPT_FORBID_REUSE, 1L);
  return length;
}

/* --- Connections -------------------------------------------------------- */

/* Called by libcurl whenever it is about to transmit the request on a
   connection.  A second transmission is libcurl's own retry and could execute
   the request twice, so it is aborted; so is one on a kept connection that has
   ended or has bytes of another request.  */
static int
on_connection (void *closure, char *remote, char *local, int remote_port,
               int local_port)
{
  (void)remote;
  (void)local;
  (void)remote_port;
  backend_call_t *call = closure;
  if (call->n_connections > 0)
    return CURL_PREREQFUNC_ABORT;
  connection_state_t state = backend_connections_use (
      call->client->connections, &call->remote, (uint16_t)local_port,
      &call->use, &call->user);
  if (state == CONNECTION_IS_UNUSABLE)
    {
      call->needs_new_connection = true;
      return CURL_PREREQFUNC_ABORT;
    }
  if (call->user.connection)
    call->reader.earlier_ids
        = backend_connection_sent_ids (call->user.connection);
  call->n_connections++;
  return CURL_PREREQFUNC_OK;
}

static int
on_socket (CURL *easy, curl_socket_t fd, int what, void *closure,
           void *socket_closure)
{
  (void)easy;
  (void)socket_closure;
  backend_http_t *client = closure;
  backend_connections_watch (client->connections, fd, what);
  return 0;
}

static int
on_timer (CURLM *multi, long msec, void *closure)
{
  (void)multi;
  backend_http_t *client = closure;
  client->due_at
      = msec < 0 ? INT64_MAX : clock_monotonic () + msec * USEC_PER_MSEC;
  return 0;
}

/* --- Calls -------------------------------------------------------------- */

static void
set_options (backend_call_t *call, const backend_request_t *request)
{
  CURL *easy = call->easy;
  backend_transfer_set_target (easy, request);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)(request->connect_timeout / USEC_PER_MSEC + 1));
  curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT,
                    (long)request->needs_new_connection);
  backend_connections_attach (call->client->connections, easy);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, call->headers);
  if (call->stream)
    {
      curl_easy_setopt (easy, CURLOPT_READFUNCTION, on_upload);
      curl_easy_setopt (easy, CURLOPT_READDATA, call);
    }
  backend_transfer_set_method (easy, request);
}

static backend_call_t *
call_new (backend_http_t *client, const backend_request_t *request)
{
  backend_call_t *call = calloc (1, sizeof *call);
  if (!call)
    abort ();
  const http_transfer_t transfer
      = { .own_address = client->options.own_address,
          .timeout = request->timeout,
          .idle_seconds = IDLE_SECONDS,
          .owner = call,
          .on_body = on_body,
          .on_header = on_header,
          .on_connection = on_connection };
  call->client = client;
  call->reader.budget = client->options.budget;
  call->easy = http_handles_take (client->handles, &transfer);
  list_init (&call->upload_link);
  list_push_back (&client->calls, &call->link);
  list_init (&call->turn_link);
  return call;
}

/* The bytes of CALL's response; 0 if they are not known.  */
static uint64_t
response_bytes (const backend_call_t *call)
{
  const backend_response_t *response = &call->reader.response;
  bool is_known = response->framing == FRAMING_LENGTH
                  || response->framing == FRAMING_NO_BODY;
  return response->is_complete && is_known
             ? call->reader.head_bytes + response->body_bytes
             : 0;
}

static void
call_free (backend_call_t *call)
{
  http_handles_give_back (call->client->handles, call->easy);
  backend_connections_release (call->client->connections, &call->user,
                               call->n_read, clock_monotonic ());
  curl_slist_free_all (call->headers);
  backend_response_clear (&call->reader.response);
  list_remove (&call->upload_link);
  list_remove (&call->link);
  list_remove (&call->turn_link);
  free (call);
}

/* Look at CALL's request while it is sent, where it is long.  */
static void
watch_upload (backend_http_t *client, backend_call_t *call)
{
  call->use.is_upload = call->body_bytes >= SEND_WATCH_BYTES_MIN;
  if (!call->use.is_upload)
    return;
  if (list_empty (&client->uploads))
    client->uploads_at = clock_monotonic () + SEND_WATCH_SPAN;
  list_push_back (&client->uploads, &call->upload_link);
}

backend_call_t *
backend_http_call (backend_http_t *client, const backend_request_t *request)
{
  backend_call_t *call = call_new (client, request);
  call->owner = request->owner;
  call->headers = request->headers;
  call->remote = request->address;
  call->use.boot = request->boot;
  call->use.is_head = strcmp (request->method, "HEAD") == 0;
  call->use.is_only_use = request->needs_new_connection;
  snprintf (call->use.backend_id, sizeof call->use.backend_id, "%s",
            request->backend_id ? request->backend_id : "");
  snprintf (call->use.id, sizeof call->use.id, "%s", request->id);
  snprintf (call->reader.id, sizeof call->reader.id, "%s", request->id);
  call->reader.is_head_request = strcmp (request->method, "HEAD") == 0;
  /* libcurl sends no body with HEAD.  */
  call->stream = call->use.is_head ? NULL : request->stream;
  call->body_bytes = call->stream ? (size_t)body_stream_length (call->stream)
                                  : request->body_bytes;
  watch_upload (client, call);
  set_options (call, request);
  curl_multi_add_handle (http_handles_multi (client->handles), call->easy);
  return call;
}

bool
backend_http_abort (backend_http_t *client, backend_call_t *call)
{
  bool was_sent = call->n_connections > 0;
  (void)client;
  call_free (call);
  return was_sent;
}

/* Store the result of CALL's transfer in its response.  */
static void
record_result (backend_call_t *call, CURLcode code)
{
  backend_response_t *response = &call->reader.response;
  const answer_head_t *head = &call->reader.head;
  bool is_head = call->reader.is_head_request;
  bool was_sent = call->n_connections > 0;
  long n_new_connections = 0;
  curl_easy_getinfo (call->easy, CURLINFO_NUM_CONNECTS, &n_new_connections);
  response_reader_finish (&call->reader,
                          was_sent ? http_connection_end (code, head, is_head)
                                   : CONNECTION_NONE);
  response->may_have_reached = was_sent;
  response->was_reused = was_sent && n_new_connections == 0;
  response->timed_out = code == CURLE_OPERATION_TIMEDOUT;
  response->was_cut_off
      = response->may_have_reached && backend_transfer_is_cut_off (code);
  response->was_reconnected = code == CURLE_ABORTED_BY_CALLBACK;
  response->is_unreachable = code == CURLE_COULDNT_CONNECT;
  response->was_refused = http_connection_was_refused (call->easy, code);
  response->is_complete
      = code == CURLE_OK && response->completeness != BODY_TRUNCATED;
  response->error = curl_easy_strerror (code);
}

/* Transmit CALL's request, of which nothing was sent, on a new connection.  */
static void
restart_call (backend_call_t *call)
{
  CURLM *multi = http_handles_multi (call->client->handles);
  call->needs_new_connection = false;
  curl_multi_remove_handle (multi, call->easy);
  curl_easy_setopt (call->easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_multi_add_handle (multi, call->easy);
}

/* The bytes that came after the end of CALL's response, together with it; 0 if
   they are not known.  */
static uint64_t
bytes_after (const backend_call_t *call)
{
  uint64_t n_read = call->n_read;
  uint64_t n_unread = call->user.n_unread;
  if (n_read > 0 && n_unread > n_read + END_BYTES)
    return n_unread - n_read;
  return call->reader.chunks.n_beyond;
}

/* Tell of such bytes.  They are dropped, and the connection is closed.  */
static void
tell_bytes_after (const backend_call_t *call)
{
  const backend_http_options_t *options = &call->client->options;
  uint64_t n_bytes = bytes_after (call);
  if (n_bytes > 0 && options->extra_bytes)
    options->extra_bytes (options->closure, &call->use, EXTRA_AFTER_RESPONSE,
                          n_bytes);
}

static bool
has_whole_response (const backend_call_t *call)
{
  const response_reader_t *reader = &call->reader;
  const answer_head_t *head = &reader->head;
  framing_kind_t kind = response_framing_kind (
      &head->framing, reader->is_head_request, head->status);
  return http_response_has_ended (head, kind, reader->response.body_bytes,
                                  &reader->chunks);
}

/* CALL has ended with CODE.  */
static void
finish_call (backend_http_t *client, backend_call_t *call, CURLcode code)
{
  record_result (call, code);
  call->n_read = response_bytes (call);
  tell_bytes_after (call);
  backend_response_t response = call->reader.response;
  void *owner = call->owner;
  call->reader.response = (backend_response_t){ 0 };
  call_free (call);
  client->options.done (client->options.closure, owner, &response);
  backend_response_clear (&response);
}

/* One in each turn.  */
static void
finish_failed_call (backend_http_t *client)
{
  list_t *link = list_pop_front (&client->failed);
  if (!link)
    return;
  backend_call_t *call = LIST_ENTRY (link, backend_call_t, turn_link);
  finish_call (client, call, call->failure);
}

static void
finish_ended_calls (backend_http_t *client)
{
  CURLcode code;
  backend_call_t *call;
  while ((call = http_handles_ended (client->handles, &code)))
    {
      if (call->needs_new_connection)
        {
          restart_call (call);
          continue;
        }
      finish_call (client, call,
                   http_transfer_result (code, has_whole_response (call)));
    }
  backend_connections_sweep (client->connections);
}

void
backend_http_socket_ready (backend_http_t *client, watch_t *watch,
                           unsigned int ready)
{
  int events = 0;
  int running = 0;
  int fd = watch->fd;
  begin_turn (client);
  ready = backend_connections_ready (client->connections, watch, ready);
  if (ready == 0)
    return;
  if (ready & POLLER_READABLE)
    events |= CURL_CSELECT_IN;
  if (ready & POLLER_WRITABLE)
    events |= CURL_CSELECT_OUT;
  if (ready & POLLER_HANGUP)
    events |= CURL_CSELECT_IN | CURL_CSELECT_ERR;
  curl_multi_socket_action (http_handles_multi (client->handles), fd, events,
                            &running);
  backend_connections_show (client->connections);
  finish_ended_calls (client);
}

usec_t
backend_http_due_at (const backend_http_t *client)
{
  bool is_waiting
      = !list_empty (&client->yielded) || !list_empty (&client->failed);
  return is_waiting && client->turn_ends_at < client->due_at
             ? client->turn_ends_at
             : client->due_at;
}

/* libcurl tells of a body that is rejected here by the result alone: the
   transfer would go on until its timeout.  */
static void
resume_call (backend_http_t *client, backend_call_t *call)
{
  call->failure = curl_easy_pause (call->easy, CURLPAUSE_CONT);
  if (call->failure == CURLE_OK)
    return;
  list_remove (&call->turn_link);
  list_push_back (&client->failed, &call->turn_link);
}

void
backend_http_stream_filled (backend_http_t *client, backend_call_t *call)
{
  bool is_receiving = !call->is_paused && list_empty (&call->turn_link);
  if (!call->awaits_stream || !is_receiving)
    return;
  call->awaits_stream = false;
  begin_turn (client);
  resume_call (client, call);
}

/* Let the calls that have yielded read on, in turn.  */
static void
resume_yielded_calls (backend_http_t *client)
{
  while (!list_empty (&client->yielded) && !turn_is_over (client))
    {
      list_t *link = list_pop_front (&client->yielded);
      resume_call (client, LIST_ENTRY (link, backend_call_t, turn_link));
    }
}

/* Let the calls that wait for room in the budget try again.  */
static void
resume_paused_calls (backend_http_t *client)
{
  if (client->n_releases == client->options.budget->n_releases)
    return;
  client->n_releases = client->options.budget->n_releases;
  LIST_FOREACH (link, &client->calls)
  {
    backend_call_t *call = LIST_ENTRY (link, backend_call_t, link);
    if (call->is_paused)
      {
        call->is_paused = false;
        resume_call (client, call);
      }
  }
}

static void
abandon_upload (backend_http_t *client, backend_call_t *call,
                const char *reason, CURLcode code)
{
  LOG_EVENT (LOG_LEVEL_INFO, "upload_abandoned", LOG_S ("id", call->reader.id),
             LOG_S ("reason", reason), LOG_U ("bytes", call->body_bytes));
  finish_call (client, call, code);
}

/* libcurl ends a call once its request is written, also after the whole
   response.  A backend server that has responded may read no more, so the rest
   is not waited for, and the connection is closed.  */
static void
check_upload (backend_http_t *client, backend_call_t *call, usec_t now)
{
  if (!call->user.connection)
    return;
  if (has_whole_response (call))
    {
      abandon_upload (client, call, "the response came before its end",
                      CURLE_OK);
      return;
    }
  switch (backend_connection_check_upload (call->user.connection, now))
    {
    case SEND_GOES_ON:
      return;
    case SEND_ARRIVED:
      if (http_socket_is_written (call->easy, call->body_bytes))
        {
          backend_connection_end_upload (call->user.connection);
          list_remove (&call->upload_link);
        }
      return;
    case SEND_SILENT:
      abandon_upload (client, call, "the backend server acknowledges nothing",
                      CURLE_SEND_ERROR);
      return;
    }
}

/* What is told of an upload that ends may end others.  */
static void
check_uploads (backend_http_t *client, usec_t now)
{
  list_t due;
  list_t *link;
  if (list_empty (&client->uploads) || now < client->uploads_at)
    return;
  client->uploads_at = now + SEND_WATCH_SPAN;
  list_init (&due);
  while ((link = list_pop_front (&client->uploads)))
    list_push_back (&due, link);
  while ((link = list_pop_front (&due)))
    {
      list_push_back (&client->uploads, link);
      check_upload (client, LIST_ENTRY (link, backend_call_t, upload_link),
                    now);
    }
  backend_connections_sweep (client->connections);
}

void
backend_http_tick (backend_http_t *client, usec_t now)
{
  int running = 0;
  begin_turn (client);
  resume_paused_calls (client);
  resume_yielded_calls (client);
  finish_failed_call (client);
  backend_connections_expire (client->connections, now);
  check_uploads (client, now);
  if (now < client->due_at)
    return;
  client->due_at = INT64_MAX;
  curl_multi_socket_action (http_handles_multi (client->handles),
                            CURL_SOCKET_TIMEOUT, 0, &running);
  backend_connections_show (client->connections);
  finish_ended_calls (client);
}

backend_http_t *
backend_http_new (const backend_http_options_t *options)
{
  backend_http_t *client = calloc (1, sizeof *client);
  if (!client)
    abort ();
  client->options = *options;
  client->due_at = INT64_MAX;
  client->handles = http_handles_new (CONNECTIONS_CACHED);
  const backend_connections_options_t connections
      = { .poller = options->poller,
          .closure = options->closure,
          .extra_bytes = options->extra_bytes,
          .id_sent_again = options->id_sent_again };
  client->connections = backend_connections_new (&connections);
  CURLM *multi = http_handles_multi (client->handles);
  curl_multi_setopt (multi, CURLMOPT_SOCKETFUNCTION, on_socket);
  curl_multi_setopt (multi, CURLMOPT_SOCKETDATA, client);
  curl_multi_setopt (multi, CURLMOPT_TIMERFUNCTION, on_timer);
  curl_multi_setopt (multi, CURLMOPT_TIMERDATA, client);
  list_init (&client->calls);
  list_init (&client->uploads);
  list_init (&client->yielded);
  list_init (&client->failed);
  return client;
}

void
backend_http_free (backend_http_t *client)
{
  LIST_FOREACH (link, &client->calls)
  backend_http_abort (client, LIST_ENTRY (link, backend_call_t, link));
  http_handles_free (client->handles);
  backend_connections_free (client->connections);
  free (client);
}
