#include "router/backend_http.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/number.h"
#include "platform_api.h"
#include "wire/answer_head.h"
#include "wire/http_handles.h"

enum
{
  CONNECTIONS_CACHED = 2000,
  URL_BYTES = 64,
  ID_BYTES = 128,
  IDLE_SECONDS = 8,             /* longer idle connections are not reused */
  LOAD_MAX = BACKEND_SLOTS_MAX, /* requests that a load report may tell */
  COLD_MSEC_MAX = 3600 * 1000,
  REST_SECONDS_MAX = 24 * 3600,
  STATUS_FINAL_MIN = 200, /* lower ones are informational */
};

/* A field that counts only if it stands in the head once, or always with the
   same value.  */
typedef struct notice_field
{
  bool is_present;
  bool is_invalid;
  usec_t value;
} notice_field_t;

struct backend_call
{
  list_t link;
  backend_http_t *client;
  void *owner;
  CURL *easy;
  struct curl_slist *headers;
  char id[ID_BYTES];
  unsigned int n_connections; /* that the request was transmitted on */
  size_t head_bytes;          /* received, with informational responses */
  answer_head_t head;
  bool has_id; /* the response has a request id */
  notice_field_t leaving;
  notice_field_t retry_after;
  size_t body_capacity;
  backend_response_t response;
};

/* A socket that libcurl wants to be watched.  */
typedef struct socket_watch
{
  list_t link;
  watch_t watch;
} socket_watch_t;

struct backend_http
{
  backend_http_options_t options;
  http_handles_t *handles;
  list_t calls;           /* in flight */
  size_t large_bytes;     /* buffers above SMALL_BODY_BYTES */
  list_t removed_watches; /* of socket_watch_t, to be freed */
  usec_t due_at;          /* of libcurl's next timeout */
};

void
backend_response_clear (backend_response_t *response)
{
  for (size_t i = 0; i < response->n_headers; i++)
    free (response->headers[i].name);
  free (response->body);
  *response = (backend_response_t){ 0 };
}

/* --- Reading a response ------------------------------------------------- */

/* The part of a buffer of CAPACITY bytes that counts as large.  */
static size_t
large_part (size_t capacity)
{
  return capacity > SMALL_BODY_BYTES ? capacity : 0;
}

/* Give the body a buffer of CAPACITY bytes.  False if the buffers of all calls
   would become too large, or memory is short.  */
static bool
resize_body (backend_call_t *call, size_t capacity)
{
  backend_http_t *client = call->client;
  size_t large_bytes = client->large_bytes - large_part (call->body_capacity)
                       + large_part (capacity);
  if (large_part (capacity) > 0 && large_bytes > RESPONSES_BYTES_MAX)
    return false;
  char *grown = realloc (call->response.body, capacity);
  if (!grown)
    return false;
  call->response.body = grown;
  call->body_capacity = capacity;
  client->large_bytes = large_bytes;
  return true;
}

static void
log_cut_off (const backend_call_t *call, const char *reason)
{
  LOG_EVENT (LOG_LEVEL_WARNING, "answer_cut_off", LOG_S ("id", call->id),
             LOG_S ("reason", reason), LOG_U ("head_bytes", call->head_bytes),
             LOG_U ("body_bytes", call->response.body_bytes));
}

static size_t
on_body (char *data, size_t size, size_t n, void *closure)
{
  backend_call_t *call = closure;
  backend_response_t *response = &call->response;
  size_t length = size * n;
  size_t needed = response->body_bytes + length;
  if (needed > SMALL_BODY_BYTES && call->id[0] && !response->id_matches)
    {
      log_cut_off (call, "it is not the answer to this request");
      return 0;
    }
  if (needed > RESPONSE_BYTES_MAX)
    {
      log_cut_off (call, "the body is too long");
      return 0;
    }
  size_t room = needed < 2048 ? 2048 : 2 * needed;
  if (needed > call->body_capacity && !resize_body (call, room))
    {
      log_cut_off (call, "no memory is left for large bodies");
      return 0;
    }
  memcpy (response->body + response->body_bytes, data, length);
  response->body_bytes = needed;
  return length;
}

/* Hop-by-hop headers are not forwarded, nor Content-Length, which is generated
   again.  */
static bool
is_forwarded (const char *name)
{
  static const char *const excluded[] = {
    "Connection",       "Keep-Alive", "Transfer-Encoding", "Content-Length",
    "Proxy-Connection", "Trailer",    "Upgrade",           "TE"
  };
  for (size_t i = 0; i < sizeof excluded / sizeof excluded[0]; i++)
    if (strcasecmp (name, excluded[i]) == 0)
      return false;
  return true;
}

static void
parse_load (const char *value, backend_load_t *load)
{
  uint64_t numbers[3];
  load->is_known = false;
  for (size_t i = 0; i < 3; i++)
    {
      size_t length = strcspn (value, ",");
      if (number_parse_unsigned_span (&numbers[i], value, length, LOAD_MAX)
              != NUMBER_OK
          || value[length] != (i < 2 ? ',' : '\0'))
        return;
      value += length + 1;
    }
  *load = (backend_load_t){ .is_known = true,
                            .running = (uint32_t)numbers[0],
                            .waiting = (uint32_t)numbers[1],
                            .slots = (uint32_t)numbers[2] };
}

/* "1500": milliseconds.  What can't be read says nothing.  */
static void
parse_cold_left (const char *value, usec_t *span)
{
  uint64_t msec;
  if (number_parse_unsigned (&msec, value, COLD_MSEC_MAX) == NUMBER_OK)
    *span = (usec_t)msec * USEC_PER_MSEC;
}

/* A response with several request ids that differ belongs to no request.  */
static void
parse_id (backend_call_t *call, const char *value)
{
  bool is_equal = call->id[0] && strcmp (value, call->id) == 0;
  call->response.id_matches
      = is_equal && (!call->has_id || call->response.id_matches);
  call->has_id = true;
}

static void
set_notice (notice_field_t *field, bool is_valid, usec_t value)
{
  if (!is_valid || (field->is_present && field->value != value))
    field->is_invalid = true;
  field->is_present = true;
  field->value = value;
}

/* "1".  */
static void
parse_leaving (notice_field_t *field, const char *value)
{
  set_notice (field, strcmp (value, "1") == 0, 1);
}

/* Seconds, with or without a fraction.  A date is not understood.  */
static void
parse_retry_after (notice_field_t *field, const char *value)
{
  double seconds = 0;
  bool is_valid = number_parse_decimal (&seconds, value, strlen (value),
                                        REST_SECONDS_MAX)
                  == NUMBER_OK;
  set_notice (field, is_valid, (usec_t)(seconds * (double)USEC_PER_SEC));
}

static void
parse_header (backend_call_t *call, const char *name, const char *value)
{
  backend_response_t *response = &call->response;
  if (strcasecmp (name, HEADER_REQUEST_ID) == 0)
    parse_id (call, value);
  else if (strcasecmp (name, HEADER_NOT_STARTED) == 0)
    response->not_started = true;
  else if (strcasecmp (name, HEADER_LOAD) == 0)
    parse_load (value, &response->load);
  else if (strcasecmp (name, HEADER_LEAVING) == 0)
    parse_leaving (&call->leaving, value);
  else if (strcasecmp (name, "Retry-After") == 0)
    parse_retry_after (&call->retry_after, value);
  else if (strcasecmp (name, HEADER_STAMP) == 0)
    response->is_signed = true;
  else if (strcasecmp (name, "Content-Encoding") == 0)
    response->is_encoded = strcasecmp (value, "identity") != 0;
  else if (strcasecmp (name, HEADER_HEALTH_ID) == 0)
    snprintf (response->backend_id, sizeof response->backend_id, "%s", value);
  else if (strcasecmp (name, HEADER_COLD_LEFT) == 0)
    parse_cold_left (value, &response->cold_remaining);
}

static void
release_body_buffer (backend_call_t *call)
{
  call->client->large_bytes -= large_part (call->body_capacity);
  call->body_capacity = 0;
}

/* Discard the headers of an informational response, which comes before the
   final one.  */
static void
reset_response (backend_call_t *call)
{
  backend_response_clear (&call->response);
  release_body_buffer (call);
  call->has_id = false;
  call->leaving = (notice_field_t){ 0 };
  call->retry_after = (notice_field_t){ 0 };
}

/* Parse the field LINE, LENGTH bytes, and keep it if it is to be forwarded.
   False where memory is short.  */
static bool
add_field (backend_call_t *call, const char *data, size_t length)
{
  backend_response_t *response = &call->response;
  const char *colon = memchr (data, ':', length);
  if (!colon)
    return true;
  char *line = malloc (length + 1);
  if (!line)
    return false;
  memcpy (line, data, length);
  line[length] = '\0';
  line[colon - data] = '\0';
  char *value = line + (colon - data) + 1;
  value += strspn (value, " \t");
  size_t end = strcspn (value, "\r\n");
  while (end > 0 && (value[end - 1] == ' ' || value[end - 1] == '\t'))
    end--;
  value[end] = '\0';
  parse_header (call, line, value);
  if (is_forwarded (line))
    response->headers[response->n_headers++]
        = (response_header_t){ .name = line, .value = value };
  else
    free (line);
  return true;
}

/* The value of FIELD; 0 if it is not there or not understood, which is
   counted.  */
static usec_t
notice_value (backend_call_t *call, const notice_field_t *field)
{
  call->response.n_invalid_notices += field->is_invalid;
  return field->is_invalid ? 0 : field->value;
}

/* What follows a response to another request on its connection can't be told
   apart either, so the connection is not used again.  */
static void
end_head (backend_call_t *call)
{
  backend_response_t *response = &call->response;
  response->is_leaving = notice_value (call, &call->leaving) > 0;
  response->rest = notice_value (call, &call->retry_after);
  if (call->id[0] && !call->response.id_matches)
    curl_easy_setopt (call->easy, CURLOPT_FORBID_REUSE, 1L);
}

static size_t
on_header (char *data, size_t size, size_t n, void *closure)
{
  backend_call_t *call = closure;
  backend_response_t *response = &call->response;
  size_t length = size * n;
  call->head_bytes += length;
  if (call->head_bytes > RESPONSE_HEAD_BYTES_MAX
      || response->n_headers == RESPONSE_HEADERS_MAX)
    {
      log_cut_off (call, "the head is too long");
      return 0;
    }
  switch (answer_head_next (&call->head, data, length))
    {
    case HEAD_LINE_STATUS:
      reset_response (call);
      return length;
    case HEAD_LINE_FIELD:
      return add_field (call, data, length) ? length : 0;
    case HEAD_LINE_END:
      end_head (call);
      return length;
    case HEAD_LINE_TRAILER:
      return length;
    case HEAD_LINE_MALFORMED:
      break;
    }
  log_cut_off (call, "the head is malformed");
  return 0;
}

/* --- Connections -------------------------------------------------------- */

/* Called by libcurl whenever it is about to transmit the request on a
   connection.  A second transmission is libcurl's own retry and could execute
   the request twice, so it is aborted.  */
static int
on_connection (void *closure, char *remote, char *local, int remote_port,
               int local_port)
{
  (void)remote;
  (void)local;
  (void)remote_port;
  (void)local_port;
  backend_call_t *call = closure;
  if (call->n_connections > 0)
    return CURL_PREREQFUNC_ABORT;
  call->n_connections++;
  return CURL_PREREQFUNC_OK;
}

static unsigned int
poll_events (int what)
{
  switch (what)
    {
    case CURL_POLL_IN:
      return POLLER_READABLE;
    case CURL_POLL_OUT:
      return POLLER_WRITABLE;
    case CURL_POLL_INOUT:
      return POLLER_READABLE | POLLER_WRITABLE;
    default:
      return 0;
    }
}

static int
on_socket (CURL *easy, curl_socket_t fd, int what, void *closure,
           void *socket_closure)
{
  (void)easy;
  backend_http_t *client = closure;
  socket_watch_t *socket = socket_closure;
  poller_t *poller = client->options.poller;
  if (what == CURL_POLL_REMOVE)
    {
      if (!socket)
        return 0;
      poller_remove (poller, &socket->watch);
      curl_multi_assign (http_handles_multi (client->handles), fd, NULL);
      list_push_back (&client->removed_watches, &socket->link);
      return 0;
    }
  if (socket)
    {
      poller_change (poller, &socket->watch, poll_events (what));
      return 0;
    }
  socket = calloc (1, sizeof *socket);
  if (!socket)
    abort ();
  list_init (&socket->link);
  socket->watch = (watch_t){ .kind = WATCH_BACKEND_SOCKET, .fd = fd };
  curl_multi_assign (http_handles_multi (client->handles), fd, socket);
  poller_add (poller, &socket->watch, poll_events (what));
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
set_method (CURL *easy, const backend_request_t *request)
{
  bool has_body = request->body_bytes > 0;
  if (strcmp (request->method, "HEAD") == 0)
    curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
  else if (!has_body && strcmp (request->method, "GET") == 0)
    curl_easy_setopt (easy, CURLOPT_HTTPGET, 1L);
  else
    {
      curl_easy_setopt (easy, CURLOPT_POST, 1L);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)request->body_bytes);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS,
                        has_body ? request->body : "");
      curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, request->method);
    }
}

static void
set_options (backend_call_t *call, const backend_request_t *request)
{
  CURL *easy = call->easy;
  char address[INET_TEXT_BYTES];
  char url[URL_BYTES];
  inet_format (&request->address, address);
  snprintf (url, sizeof url, "http://%s/", address);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_REQUEST_TARGET, request->target);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)(request->connect_timeout / USEC_PER_MSEC + 1));
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, call->headers);
  set_method (easy, request);
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
  call->easy = http_handles_take (client->handles, &transfer);
  list_push_back (&client->calls, &call->link);
  return call;
}

static void
call_free (backend_call_t *call)
{
  http_handles_give_back (call->client->handles, call->easy);
  curl_slist_free_all (call->headers);
  backend_response_clear (&call->response);
  release_body_buffer (call);
  list_remove (&call->link);
  free (call);
}

backend_call_t *
backend_http_call (backend_http_t *client, const backend_request_t *request)
{
  backend_call_t *call = call_new (client, request);
  call->owner = request->owner;
  call->headers = request->headers;
  snprintf (call->id, sizeof call->id, "%s", request->id);
  set_options (call, request);
  curl_multi_add_handle (http_handles_multi (client->handles), call->easy);
  return call;
}

void
backend_http_abort (backend_http_t *client, backend_call_t *call)
{
  (void)client;
  call_free (call);
}

/* Whether CODE tells that the connection has ended.  libcurl makes a new one
   if a reused connection ended before any byte of the response.  */
static bool
is_cut_off (CURLcode code)
{
  switch (code)
    {
    case CURLE_GOT_NOTHING:
    case CURLE_RECV_ERROR:
    case CURLE_SEND_ERROR:
    case CURLE_PARTIAL_FILE:
    case CURLE_ABORTED_BY_CALLBACK: /* by on_connection */
    case CURLE_COULDNT_CONNECT:
      return true;
    default:
      return false;
    }
}

/* Store the result of CALL's transfer in its response.  */
static void
record_result (backend_call_t *call, CURLcode code)
{
  backend_response_t *response = &call->response;
  long status = 0;
  curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &status);
  response->status = (unsigned int)status;
  response->may_have_reached = call->n_connections > 0;
  response->timed_out = code == CURLE_OPERATION_TIMEDOUT;
  response->was_cut_off = response->may_have_reached && is_cut_off (code);
  response->was_reconnected = code == CURLE_ABORTED_BY_CALLBACK;
  response->is_unreachable = code == CURLE_COULDNT_CONNECT;
  response->is_complete
      = code == CURLE_OK && call->head.has_ended && status >= STATUS_FINAL_MIN;
  response->error = curl_easy_strerror (code);
}

/* Free the watches that no event refers to any more.  */
static void
free_removed_watches (backend_http_t *client)
{
  LIST_FOREACH (link, &client->removed_watches)
  free (LIST_ENTRY (link, socket_watch_t, link));
  list_init (&client->removed_watches);
}

static void
finish_ended_calls (backend_http_t *client)
{
  CURLcode code;
  backend_call_t *call;
  while ((call = http_handles_ended (client->handles, &code)))
    {
      record_result (call, code);
      backend_response_t response = call->response;
      void *owner = call->owner;
      call->response = (backend_response_t){ 0 };
      call_free (call);
      client->options.done (client->options.closure, owner, &response);
      backend_response_clear (&response);
    }
  free_removed_watches (client);
}

void
backend_http_socket_ready (backend_http_t *client, watch_t *watch,
                           unsigned int ready)
{
  int events = 0;
  int running = 0;
  if (ready & POLLER_READABLE)
    events |= CURL_CSELECT_IN;
  if (ready & POLLER_WRITABLE)
    events |= CURL_CSELECT_OUT;
  if (ready & POLLER_HANGUP)
    events |= CURL_CSELECT_IN | CURL_CSELECT_ERR;
  curl_multi_socket_action (http_handles_multi (client->handles), watch->fd,
                            events, &running);
  finish_ended_calls (client);
}

size_t
backend_http_large_bytes (const backend_http_t *client)
{
  return client->large_bytes;
}

usec_t
backend_http_due_at (const backend_http_t *client)
{
  return client->due_at;
}

void
backend_http_tick (backend_http_t *client, usec_t now)
{
  int running = 0;
  if (now < client->due_at)
    return;
  client->due_at = INT64_MAX;
  curl_multi_socket_action (http_handles_multi (client->handles),
                            CURL_SOCKET_TIMEOUT, 0, &running);
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
  CURLM *multi = http_handles_multi (client->handles);
  curl_multi_setopt (multi, CURLMOPT_SOCKETFUNCTION, on_socket);
  curl_multi_setopt (multi, CURLMOPT_SOCKETDATA, client);
  curl_multi_setopt (multi, CURLMOPT_TIMERFUNCTION, on_timer);
  curl_multi_setopt (multi, CURLMOPT_TIMERDATA, client);
  list_init (&client->calls);
  list_init (&client->removed_watches);
  return client;
}

void
backend_http_free (backend_http_t *client)
{
  LIST_FOREACH (link, &client->calls)
  backend_http_abort (client, LIST_ENTRY (link, backend_call_t, link));
  http_handles_free (client->handles);
  free_removed_watches (client);
  free (client);
}
