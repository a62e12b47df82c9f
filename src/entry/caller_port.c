#include "entry/caller_port.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/log.h"
#include "entry/backend_client.h"
#include "placement/topology.h"
#include "wire/http_reply.h"

enum
{
  IDLE_SECONDS = 60,
  CONNECTION_MEMORY_BYTES = 32 * 1024,
  LOOKUP_BYTES = 1024,
  LOOKUP_ENTRIES = 3,
  DRAIN_STEP_USEC = 10 * 1000,
};

struct caller_port
{
  caller_port_options_t options;
  struct MHD_Daemon *daemon;
  backend_client_t *client;
  _Atomic uint64_t serial;
  _Atomic size_t under_way;
};

/* --- Look-ups --------------------------------------------------------- */

static uint64_t
hash_text (const char *text)
{
  uint64_t hash = 0xcbf29ce484222325u; /* FNV-1a */
  for (; *text; text++)
    hash = (hash ^ (unsigned char)*text) * 0x100000001b3u;
  return hash;
}

static int
lookup_write (const caller_port_t *port, const char *block, char *text,
              size_t size)
{
  const settings_t *settings = port->options.settings;
  const topology_t *topology = &settings->topology;
  uint64_t start = hash_text (block) % topology->n_vms;
  int used = snprintf (
      text, size, "{\"version\":%llu,\"max_age_ms\":%lld,\"entries\":[",
      (unsigned long long)route_table_version (port->options.routes),
      (long long)(settings->limits.lookup_age / USEC_PER_MSEC));
  for (size_t i = 0; i < LOOKUP_ENTRIES && i < topology->n_vms; i++)
    {
      const vm_t *vm = &topology->vms[(start + i) % topology->n_vms];
      used += snprintf (text + used, size - (size_t)used, "%s\"%s:%u\"",
                        i ? "," : "", vm->address, settings->ports.caller);
    }
  used += snprintf (text + used, size - (size_t)used, "]}");
  return used;
}

static enum MHD_Result
serve_lookup (const caller_port_t *port, struct MHD_Connection *connection)
{
  const char *service = MHD_lookup_connection_value (
      connection, MHD_GET_ARGUMENT_KIND, "service");
  const char *block = MHD_lookup_connection_value (
      connection, MHD_GET_ARGUMENT_KIND, "block");
  err_t err = { 0 };
  if (!service || !block
      || topology_service (&port->options.settings->topology, service)
             == TOPOLOGY_NONE)
    {
      err_set (&err, ERR_USAGE,
               "ask GET /v1/lookup?service=NAME&block=PREFIX with a service "
               "that the settings list",
               "the service or the block is missing or unknown");
      return http_reply_error (connection, &err);
    }
  char text[LOOKUP_BYTES];
  entry_metrics_lookup (port->options.metrics);
  int used = lookup_write (port, block, text, sizeof text);
  return http_reply_text (connection, MHD_HTTP_OK, "application/json", text,
                          (size_t)used);
}

/* --- Requests --------------------------------------------------------- */

static unsigned int
outcome_status (const exchange_t *exchange)
{
  switch (exchange->outcome)
    {
    case EXCHANGE_ANSWER:
      return exchange->status;
    case EXCHANGE_NOT_RUN:
      return exchange->reason.kind == ERR_USAGE ? MHD_HTTP_BAD_REQUEST
             : exchange->reason.kind == ERR_AUTH
                 ? MHD_HTTP_FORBIDDEN
                 : MHD_HTTP_SERVICE_UNAVAILABLE;
    case EXCHANGE_UNKNOWN:
      return exchange->reason.kind == ERR_TIMEOUT ? MHD_HTTP_GATEWAY_TIMEOUT
                                                  : MHD_HTTP_BAD_GATEWAY;
    }
  return MHD_HTTP_INTERNAL_SERVER_ERROR;
}

static struct MHD_Response *
outcome_response (exchange_t *exchange)
{
  if (exchange->outcome == EXCHANGE_ANSWER)
    {
      struct MHD_Response *response = MHD_create_response_from_buffer (
          exchange->answer_bytes, exchange->answer ? exchange->answer : "",
          exchange->answer ? MHD_RESPMEM_MUST_FREE : MHD_RESPMEM_PERSISTENT);
      exchange->answer = NULL;
      return response;
    }
  char text[ERR_MESSAGE_BYTES + ERR_REMEDY_BYTES + 32];
  int n = snprintf (text, sizeof text, "%s\nremedy: %s\n",
                    exchange->reason.message, exchange->reason.remedy);
  return MHD_create_response_from_buffer ((size_t)n, text,
                                          MHD_RESPMEM_MUST_COPY);
}

static enum MHD_Result
reply_outcome (const caller_port_t *port, exchange_t *exchange)
{
  entry_metrics_outcome (port->options.metrics, exchange,
                         clock_monotonic () - exchange->begun_at);
  struct MHD_Response *response = outcome_response (exchange);
  if (!response)
    return MHD_NO;
  MHD_add_response_header (response, "X-Mulberry-Outcome",
                           exchange_outcome_name (exchange->outcome));
  if (exchange->caller_id[0])
    MHD_add_response_header (response, "X-Request-Id", exchange->caller_id);
  if (exchange->outcome == EXCHANGE_ANSWER && exchange->answer_type[0])
    MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE,
                             exchange->answer_type);
  enum MHD_Result result = MHD_queue_response (
      exchange->connection, outcome_status (exchange), response);
  MHD_destroy_response (response);
  return result;
}

/* Refuse before anything was sent.  */
static enum MHD_Result
refuse (const caller_port_t *port, exchange_t *exchange, err_kind_t kind,
        const char *remedy, const char *why)
{
  exchange->outcome = EXCHANGE_NOT_RUN;
  err_set (&exchange->reason, kind, remedy, "%s", why);
  exchange->done = true;
  return reply_outcome (port, exchange);
}

static void
copy_header (const exchange_t *exchange, const char *name, char *into)
{
  const char *value = MHD_lookup_connection_value (exchange->connection,
                                                   MHD_HEADER_KIND, name);
  if (value && strlen (value) < EXCHANGE_HEADER_BYTES)
    memcpy (into, value, strlen (value) + 1);
}

/* Find the service in "/s/SERVICE/rest".  */
static bool
parse_target (const topology_t *topology, exchange_t *exchange)
{
  const char *name = exchange->target + strlen ("/s/");
  size_t length = strcspn (name, "/?");
  char text[NAME_BYTES];
  if (length >= sizeof text || name[length] != '/')
    return false;
  memcpy (text, name, length);
  text[length] = '\0';
  exchange->service = topology_service (topology, text);
  exchange->service_path = name + length;
  return exchange->service != TOPOLOGY_NONE;
}

static bool
parse_deadline (const settings_t *settings, exchange_t *exchange)
{
  usec_t span = settings->topology.services[exchange->service].deadline;
  const char *value = MHD_lookup_connection_value (
      exchange->connection, MHD_HEADER_KIND, "X-Deadline-Ms");
  if (value)
    {
      char *end = NULL;
      long long msec = strtoll (value, &end, 10);
      if (end == value || *end || msec < 1
          || msec > settings->limits.deadline_max / USEC_PER_MSEC)
        return false;
      span = msec * USEC_PER_MSEC;
    }
  exchange->deadline = clock_monotonic () + span;
  return true;
}

static enum MHD_Result
begin_request (caller_port_t *port, exchange_t *exchange)
{
  const settings_t *settings = port->options.settings;
  if (!parse_target (&settings->topology, exchange))
    return refuse (port, exchange, ERR_USAGE,
                   "use /s/SERVICE/... with a service that the settings list",
                   "no such service");
  copy_header (exchange, "X-Request-Id", exchange->caller_id);
  copy_header (exchange, "Idempotency-Key", exchange->ticket);
  copy_header (exchange, "Content-Type", exchange->content_type);
  if (!parse_deadline (settings, exchange))
    return refuse (port, exchange, ERR_USAGE,
                   "give whole milliseconds, at most the settings' "
                   "deadline_max_ms",
                   "X-Deadline-Ms is not a legal deadline");
  if (exchange->body_too_long)
    return refuse (port, exchange, ERR_USAGE, "send less than body_bytes",
                   "the body is too long");
  if (!route_table_pick (port->options.routes, exchange->service,
                         &exchange->backend))
    return refuse (port, exchange, ERR_UNAVAILABLE, "try again later",
                   "no backend server takes work for the service");
  snprintf (exchange->id, sizeof exchange->id, "%016llx-%llx",
            (unsigned long long)port->options.incarnation,
            (unsigned long long)++port->serial);
  port->under_way++;
  MHD_suspend_connection (exchange->connection);
  if (backend_client_send (port->client, exchange))
    return MHD_YES;
  port->under_way--;
  MHD_resume_connection (exchange->connection);
  return refuse (port, exchange, ERR_LIMIT, "try again later",
                 "too many requests are under way");
}

/* Runs on the backend client's thread.  */
static void
on_outcome (void *closure, exchange_t *exchange)
{
  caller_port_t *port = closure;
  exchange->done = true;
  port->under_way--;
  MHD_resume_connection (exchange->connection);
}

/* --- libmicrohttpd's callbacks ---------------------------------------- */

static void *
on_uri (void *closure, const char *uri, struct MHD_Connection *connection)
{
  (void)closure;
  exchange_t *exchange = exchange_new ();
  exchange->connection = connection;
  exchange->begun_at = clock_monotonic ();
  if (strlen (uri) < sizeof exchange->target)
    memcpy (exchange->target, uri, strlen (uri) + 1);
  return exchange;
}

static enum MHD_Result
on_request (void *closure, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *data,
            size_t *data_bytes, void **state)
{
  (void)version;
  caller_port_t *port = closure;
  exchange_t *exchange = *state;
  if (exchange->done)
    return reply_outcome (port, exchange);
  if (!exchange->begun)
    {
      exchange->begun = true;
      if (strlen (method) < sizeof exchange->method)
        memcpy (exchange->method, method, strlen (method) + 1);
      return MHD_YES;
    }
  if (*data_bytes > 0)
    {
      exchange_add_body (exchange, data, *data_bytes,
                         port->options.settings->limits.body_bytes);
      *data_bytes = 0;
      return MHD_YES;
    }
  if (strcmp (url, "/v1/lookup") == 0 && strcmp (method, "GET") == 0)
    return serve_lookup (port, connection);
  if (strncmp (exchange->target, "/s/", strlen ("/s/")) == 0
      && exchange->method[0])
    return begin_request (port, exchange);
  return refuse (port, exchange, ERR_USAGE, "docs/API.md lists the requests",
                 "no such request");
}

static void
on_completed (void *closure, struct MHD_Connection *connection, void **state,
              enum MHD_RequestTerminationCode code)
{
  (void)closure;
  (void)connection;
  (void)code;
  if (*state)
    exchange_free (*state);
  *state = NULL;
}

static struct MHD_Daemon *
daemon_start (caller_port_t *port, const vm_t *vm)
{
  const settings_t *settings = port->options.settings;
  struct sockaddr_in at
      = { .sin_family = AF_INET, .sin_port = htons (settings->ports.caller) };
  inet_pton (AF_INET, vm->address, &at.sin_addr);
  return MHD_start_daemon (
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME,
      settings->ports.caller, NULL, NULL, on_request, port,
      MHD_OPTION_SOCK_ADDR, &at, MHD_OPTION_CONNECTION_LIMIT,
      (unsigned int)settings->limits.caller_connections,
      MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)IDLE_SECONDS,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
      MHD_OPTION_URI_LOG_CALLBACK, on_uri, NULL, MHD_OPTION_END);
}

caller_port_t *
caller_port_open (const caller_port_options_t *options, err_t *err)
{
  caller_port_t *port = calloc (1, sizeof *port);
  if (!port)
    abort ();
  port->options = *options;
  const settings_t *settings = options->settings;
  const vm_t *vm = &settings->topology.vms[options->self];
  const backend_client_options_t client_options
      = { .address = vm->address,
          .in_flight_max = settings->limits.requests_in_flight,
          .answer_bytes_max = settings->limits.body_bytes,
          .connection_idle = settings->limits.connection_idle,
          .done = on_outcome,
          .closure = port };
  port->client = backend_client_start (&client_options, err);
  if (!port->client)
    {
      free (port);
      return NULL;
    }
  port->daemon = daemon_start (port, vm);
  if (port->daemon)
    return port;
  err_set (err, ERR_IO,
           "check that this VM has the address and that no other process "
           "holds the port",
           "can't listen on %s:%u", vm->address, settings->ports.caller);
  backend_client_stop (port->client);
  free (port);
  return NULL;
}

void
caller_port_close (caller_port_t *port)
{
  MHD_socket listener = MHD_quiesce_daemon (port->daemon);
  if (listener != MHD_INVALID_SOCKET)
    close (listener);
  usec_t until
      = clock_monotonic () + port->options.settings->limits.deadline_max;
  while (port->under_way > 0 && clock_monotonic () < until)
    usleep (DRAIN_STEP_USEC);
  backend_client_stop (port->client);
  MHD_stop_daemon (port->daemon);
  free (port);
}
