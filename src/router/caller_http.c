#include "router/caller_http.h"

#include <arpa/inet.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "base/clock.h"
#include "base/log.h"
#include "platform_api.h"
#include "wire/socket_close.h"

enum
{
  IDLE_SECONDS = 20, /* longer than callers keep an idle connection */
  CONNECTIONS_MAX = 3000,
  CONNECTION_MEMORY_BYTES = 40 * 1024, /* must hold a request's headers */
  BODY_BYTES_MAX = 16 * 1024 * 1024,
  RETRY_AFTER_BYTES = 32,
  BODY_BLOCK_BYTES = 16 * 1024, /* that libmicrohttpd copies at once */
  DROPPED_BLOCKS_MAX = 64,      /* of requests behind the last response */
};

/* Upper limit of caller_http_timeout.  */
#define WAIT_MAX (200 * USEC_PER_MSEC)

struct caller_http
{
  caller_http_options_t options;
  struct MHD_Daemon *daemon;
  watch_t watch; /* of the daemon's epoll descriptor */
  bool keep_alive_disabled;
  bool has_resumed; /* connections, which MHD_run has to process */
  size_t n_open;    /* requests that are not received or answered whole */
};

const char *
caller_http_header (const exchange_t *exchange, const char *name)
{
  return MHD_lookup_connection_value (exchange->connection, MHD_HEADER_KIND,
                                      name);
}

typedef struct header_visitor
{
  void (*each) (void *closure, const char *name, const char *value);
  void *closure;
} header_visitor_t;

static enum MHD_Result
visit_header (void *closure, enum MHD_ValueKind kind, const char *name,
              const char *value)
{
  (void)kind;
  header_visitor_t *visitor = closure;
  visitor->each (visitor->closure, name, value ? value : "");
  return MHD_YES;
}

void
caller_http_each_header (const exchange_t *exchange,
                         void (*each) (void *closure, const char *name,
                                       const char *value),
                         void *closure)
{
  header_visitor_t visitor = { .each = each, .closure = closure };
  MHD_get_connection_values (exchange->connection, MHD_HEADER_KIND,
                             visit_header, &visitor);
}

/* --- Reading a request -------------------------------------------------- */

/* Counts of the headers that delimit the body or name the host.  */
typedef struct framing
{
  unsigned int n_lengths;
  unsigned int n_encodings;
  unsigned int n_hosts;
  bool is_malformed;
} framing_t;

static void
check_header (void *closure, const char *name, const char *value)
{
  framing_t *framing = closure;
  if (strcasecmp (name, "Content-Length") == 0)
    {
      framing->n_lengths++;
      framing->is_malformed = framing->is_malformed || !*value
                              || value[strspn (value, "0123456789")] != '\0';
    }
  else if (strcasecmp (name, "Transfer-Encoding") == 0)
    {
      framing->n_encodings++;
      framing->is_malformed
          = framing->is_malformed || strcasecmp (value, "chunked") != 0;
    }
  else if (strcasecmp (name, "Host") == 0)
    framing->n_hosts++;
  if (name[strcspn (name, " \t")] != '\0')
    framing->is_malformed = true;
}

/* Whether the request's headers can be read in one way only.  */
static bool
has_unambiguous_framing (const exchange_t *exchange)
{
  framing_t framing = { 0 };
  caller_http_each_header (exchange, check_header, &framing);
  return !framing.is_malformed && framing.n_hosts == 1
         && framing.n_lengths + framing.n_encodings <= 1;
}

static void *
on_request_line (void *closure, const char *target,
                 struct MHD_Connection *connection)
{
  (void)closure;
  exchange_t *exchange = calloc (1, sizeof *exchange);
  if (!exchange)
    abort ();
  list_init (&exchange->link);
  exchange->connection = connection;
  exchange->target = strdup (target);
  exchange->received_at = clock_monotonic ();
  exchange->caller_fd = -1;
  return exchange;
}

static void
refuse (exchange_t *exchange, exchange_reason_t reason)
{
  const char *id = caller_http_header (exchange, HEADER_REQUEST_ID);
  exchange->reason = reason;
  exchange->is_finished = true;
  LOG_EVENT (LOG_LEVEL_INFO, "request_refused", LOG_S ("id", id ? id : ""),
             LOG_S ("outcome", exchange_reason_name (reason)),
             LOG_U ("status", exchange_reason_status (reason)),
             LOG_U ("body_bytes", exchange->body_bytes));
}

static void
append_body (caller_http_t *port, exchange_t *exchange, const char *data,
             size_t length)
{
  size_t needed = exchange->body_bytes + length;
  if (exchange->is_finished)
    return;
  if (needed > BODY_BYTES_MAX)
    {
      refuse (exchange, REASON_TOO_LARGE);
      return;
    }
  if (!body_budget_resize (port->options.budget, BODY_CERTAIN,
                           exchange->body_bytes, needed))
    {
      refuse (exchange, REASON_MEMORY);
      return;
    }
  char *grown = realloc (exchange->body, needed);
  if (!grown)
    abort ();
  exchange->body = grown;
  memcpy (exchange->body + exchange->body_bytes, data, length);
  exchange->body_bytes = needed;
}

/* --- Responding --------------------------------------------------------- */

static struct MHD_Response *
error_response (const exchange_t *exchange)
{
  const char *name = exchange_reason_name (exchange->reason);
  char text[64];
  int n = snprintf (text, sizeof text, "%s\n", name);
  struct MHD_Response *response = MHD_create_response_from_buffer (
      (size_t)n, text, MHD_RESPMEM_MUST_COPY);
  if (exchange->id[0])
    MHD_add_response_header (response, HEADER_REQUEST_ID, exchange->id);
  if (exchange->reason == REASON_NO_ACCOUNT)
    MHD_add_response_header (response, MHD_HTTP_HEADER_WWW_AUTHENTICATE,
                             KEY_SCHEME);
  if (exchange->retry_after > 0)
    {
      char seconds[RETRY_AFTER_BYTES];
      snprintf (seconds, sizeof seconds, "%.3f",
                (double)exchange->retry_after / (double)USEC_PER_SEC);
      MHD_add_response_header (response, MHD_HTTP_HEADER_RETRY_AFTER, seconds);
    }
  return response;
}

/* Whether the backend server's response ended with its connection, so that
   only the backend server can know whether it is whole.  */
static bool
ends_by_close (const exchange_t *exchange)
{
  return exchange->reason == REASON_NONE
         && exchange->response.framing == FRAMING_UNTIL_CLOSE;
}

static int
caller_fd_of (const exchange_t *exchange)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      exchange->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  return info->connect_fd;
}

/* The connection of EXCHANGE closes after its response, which is written.
   Requests behind it are dropped: unread ones would make the kernel reset the
   connection, and drop what the caller has not got yet.  */
static void
end_connection (const exchange_t *exchange)
{
  char dropped[BODY_BLOCK_BYTES];
  int fd = caller_fd_of (exchange);
  for (int i = 0; i < DROPPED_BLOCKS_MAX; i++)
    if (recv (fd, dropped, sizeof dropped, MSG_DONTWAIT) <= 0)
      break;
  socket_close_in_order (fd);
}

/* The connection is set to end by a reset until the whole body was written. */
static ssize_t
read_body (void *closure, uint64_t position, char *data, size_t max)
{
  const exchange_t *exchange = closure;
  const backend_response_t *answer = &exchange->response;
  if (position >= answer->body_bytes)
    {
      end_connection (exchange);
      return MHD_CONTENT_READER_END_OF_STREAM;
    }
  size_t left = answer->body_bytes - (size_t)position;
  size_t n = left < max ? left : max;
  memcpy (data, answer->body + position, n);
  return (ssize_t)n;
}

/* A response that ends with its connection, as the backend server's did: a
   length would tell callers that it is whole.  */
static struct MHD_Response *
response_until_close (exchange_t *exchange)
{
  struct MHD_Response *response = MHD_create_response_from_callback (
      MHD_SIZE_UNKNOWN, BODY_BLOCK_BYTES, read_body, exchange, NULL);
  MHD_set_response_options (response, MHD_RF_HTTP_1_0_COMPATIBLE_STRICT,
                            MHD_RO_END);
  return response;
}

static struct MHD_Response *
response_with_length (backend_response_t *answer)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      answer->body_bytes, answer->body ? answer->body : "",
      answer->body ? MHD_RESPMEM_MUST_FREE : MHD_RESPMEM_PERSISTENT);
  answer->body = NULL;
  return response;
}

/* What is read of a body whose size was told and that is not sent: nothing. */
static ssize_t
read_no_body (void *closure, uint64_t position, char *data, size_t max)
{
  (void)closure;
  (void)position;
  (void)data;
  (void)max;
  return MHD_CONTENT_READER_END_OF_STREAM;
}

/* Callers are told the length that the backend server told, of a body that is
   not sent, or none.  libmicrohttpd tells none for 204, and for other statuses
   only if the connection closes.  */
static struct MHD_Response *
response_without_body (exchange_t *exchange)
{
  backend_response_t *answer = &exchange->response;
  if (answer->status == MHD_HTTP_NO_CONTENT)
    return response_with_length (answer);
  if (!answer->has_announced)
    return response_until_close (exchange);
  return MHD_create_response_from_callback (
      answer->announced_bytes, BODY_BLOCK_BYTES, read_no_body, NULL, NULL);
}

static struct MHD_Response *
body_response (exchange_t *exchange)
{
  backend_response_t *answer = &exchange->response;
  if (ends_by_close (exchange))
    {
      socket_close_by_reset (caller_fd_of (exchange));
      return response_until_close (exchange);
    }
  if (answer->framing == FRAMING_NO_BODY)
    return response_without_body (exchange);
  return response_with_length (answer);
}

static struct MHD_Response *
backend_response (exchange_t *exchange)
{
  backend_response_t *answer = &exchange->response;
  struct MHD_Response *response = body_response (exchange);
  for (size_t i = 0; i < answer->n_headers; i++)
    MHD_add_response_header (response, answer->headers[i].name,
                             answer->headers[i].value);
  return response;
}

const char *
caller_http_framing_name (const exchange_t *exchange)
{
  if (exchange->reason == REASON_GONE)
    return "";
  bool has_no_body = exchange->reason == REASON_NONE
                     && exchange->response.framing == FRAMING_NO_BODY;
  if (has_no_body || strcmp (exchange->method, "HEAD") == 0)
    return framing_kind_name (FRAMING_NO_BODY);
  return framing_kind_name (ends_by_close (exchange) ? FRAMING_UNTIL_CLOSE
                                                     : FRAMING_LENGTH);
}

static enum MHD_Result
queue_response (caller_http_t *port, exchange_t *exchange)
{
  bool is_backend_response = exchange->reason == REASON_NONE;
  struct MHD_Response *response = is_backend_response
                                      ? backend_response (exchange)
                                      : error_response (exchange);
  bool closes = port->keep_alive_disabled || ends_by_close (exchange)
                || exchange->reason == REASON_BAD_REQUEST
                || exchange->reason == REASON_TOO_LARGE
                || exchange->reason == REASON_GONE;
  if (closes)
    MHD_add_response_header (response, MHD_HTTP_HEADER_CONNECTION, "close");
  unsigned int status = is_backend_response
                            ? exchange->response.status
                            : exchange_reason_status (exchange->reason);
  enum MHD_Result result
      = MHD_queue_response (exchange->connection, status, response);
  MHD_destroy_response (response);
  return result;
}

/* --- Waiting ------------------------------------------------------------ */

static void
suspend (caller_http_t *port, exchange_t *exchange)
{
  exchange->caller_fd = caller_fd_of (exchange);
  exchange->watch = (watch_t){ .kind = WATCH_CALLER_SOCKET,
                               .fd = exchange->caller_fd,
                               .owner = exchange };
  MHD_suspend_connection (exchange->connection);
  poller_add (port->options.poller, &exchange->watch, 0);
}

void
caller_http_finish (caller_http_t *port, exchange_t *exchange)
{
  exchange->is_finished = true;
  if (exchange->caller_fd < 0)
    return;
  poller_remove (port->options.poller, &exchange->watch);
  exchange->caller_fd = -1;
  MHD_resume_connection (exchange->connection);
  port->has_resumed = true;
}

void
caller_http_hangup (caller_http_t *port, watch_t *watch)
{
  exchange_t *exchange = watch->owner;
  port->options.caller_gone (port->options.closure, exchange);
}

/* Whether the caller has closed its connection already, which may be so if the
   request was in the socket's receive buffer for long.  */
static bool
caller_has_left (const exchange_t *exchange)
{
  struct pollfd poll_fd
      = { .fd = caller_fd_of (exchange), .events = POLLRDHUP };
  return poll (&poll_fd, 1, 0) > 0
         && (poll_fd.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

static enum MHD_Result
on_request (void *closure, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *data,
            size_t *data_bytes, void **context)
{
  (void)connection;
  (void)url;
  (void)version;
  caller_http_t *port = closure;
  exchange_t *exchange = *context;
  if (!exchange->method[0])
    {
      port->n_open++;
      snprintf (exchange->method, sizeof exchange->method, "%s", method);
      exchange->host = caller_http_header (exchange, "Host");
      if (!has_unambiguous_framing (exchange))
        {
          refuse (exchange, REASON_BAD_REQUEST);
          return queue_response (port, exchange);
        }
      return MHD_YES;
    }
  if (*data_bytes > 0)
    {
      append_body (port, exchange, data, *data_bytes);
      *data_bytes = 0;
      return MHD_YES;
    }
  if (!exchange->is_dispatched && !exchange->is_finished)
    {
      exchange->is_dispatched = true;
      if (caller_has_left (exchange))
        {
          refuse (exchange, REASON_GONE);
          return queue_response (port, exchange);
        }
      port->options.request_received (port->options.closure, exchange);
      if (!exchange->is_finished)
        {
          suspend (port, exchange);
          return MHD_YES;
        }
    }
  return queue_response (port, exchange);
}

static void
on_completed (void *closure, struct MHD_Connection *connection, void **context,
              enum MHD_RequestTerminationCode code)
{
  (void)connection;
  (void)code;
  caller_http_t *port = closure;
  exchange_t *exchange = *context;
  if (!exchange)
    return;
  *context = NULL;
  port->n_open--;
  if (exchange->is_dispatched && !exchange->is_finished)
    port->options.caller_gone (port->options.closure, exchange);
  body_budget_resize (port->options.budget, BODY_CERTAIN, exchange->body_bytes,
                      0);
  backend_response_clear (&exchange->response);
  fleet_snapshot_unref (exchange->snapshot);
  free (exchange->target);
  free (exchange->body);
  free (exchange);
}

/* --- Opening and running ------------------------------------------------ */

static struct MHD_Daemon *
open_daemon (caller_http_t *port)
{
  const inet_t *at = &port->options.address;
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (at->port),
                                 .sin_addr.s_addr = htonl (at->address) };
  return MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME
          | MHD_USE_SUPPRESS_DATE_NO_CLOCK,
      at->port, NULL, NULL, on_request, port, MHD_OPTION_SOCK_ADDR,
      (struct sockaddr *)&address, MHD_OPTION_URI_LOG_CALLBACK,
      on_request_line, port, MHD_OPTION_CONNECTION_LIMIT,
      (unsigned int)CONNECTIONS_MAX, MHD_OPTION_CONNECTION_TIMEOUT,
      (unsigned int)IDLE_SECONDS, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      (size_t)CONNECTION_MEMORY_BYTES, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
      MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_NOTIFY_COMPLETED,
      on_completed, port, MHD_OPTION_END);
}

caller_http_t *
caller_http_new (const caller_http_options_t *options, err_t *err)
{
  caller_http_t *port = calloc (1, sizeof *port);
  if (!port)
    abort ();
  port->options = *options;
  port->daemon = open_daemon (port);
  if (port->daemon)
    {
      const union MHD_DaemonInfo *info
          = MHD_get_daemon_info (port->daemon, MHD_DAEMON_INFO_EPOLL_FD);
      port->watch
          = (watch_t){ .kind = WATCH_CALLER_PORT, .fd = info->epoll_fd };
      if (poller_add (options->poller, &port->watch, POLLER_READABLE))
        return port;
      MHD_stop_daemon (port->daemon);
    }
  free (port);
  err_set (err, ERR_IO,
           "check that `requests` in the settings is a free address of this "
           "VM",
           "cannot open the port for callers' requests");
  return NULL;
}

void
caller_http_free (caller_http_t *port)
{
  MHD_stop_daemon (port->daemon);
  free (port);
}

void
caller_http_disable_keep_alive (caller_http_t *port)
{
  port->keep_alive_disabled = true;
}

size_t
caller_http_n_open (const caller_http_t *port)
{
  return port->n_open;
}

void
caller_http_run (caller_http_t *port)
{
  do
    {
      port->has_resumed = false;
      MHD_run (port->daemon);
    }
  while (port->has_resumed);
}

usec_t
caller_http_timeout (const caller_http_t *port)
{
  MHD_UNSIGNED_LONG_LONG msec = 0;
  if (port->has_resumed)
    return 0;
  if (MHD_get_timeout (port->daemon, &msec) != MHD_YES
      || (usec_t)msec * USEC_PER_MSEC > WAIT_MAX)
    return WAIT_MAX;
  return (usec_t)msec * USEC_PER_MSEC;
}
