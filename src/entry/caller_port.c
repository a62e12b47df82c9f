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
#include "base/number.h"
#include "delivery/outcome.h"
#include "entry/dispatcher.h"
#include "entry/hop_credential.h"
#include "entry/live_ring.h"
#include "placement/topology.h"
#include "wire/http_reply.h"

enum
{
  IDLE_SECONDS = 60,
  CONNECTION_MEMORY_BYTES = 32 * 1024,
  LOOKUP_BYTES = 1024,
  LOOKUP_ENTRIES = 3,
  LOOKUP_TRAVEL_USEC = 150 * 1000, /* of the answer to a look-up, and of the
                                      request that follows its end */
  DRAIN_STEP_USEC = 10 * 1000,
  DRAIN_REFUSE_USEC = 500 * 1000,
  LIVE_RING_MAX_AGE_USEC = 50 * 1000,
};

struct caller_port
{
  caller_port_options_t options;
  struct MHD_Daemon *daemon;
  dispatcher_t *dispatcher;
  atomic_bool is_leaving;  /* look-ups return other entry VMs only */
  atomic_bool is_draining; /* requests are refused too */
  _Atomic size_t n_in_flight;
  _Atomic usec_t refused_at; /* last, since the VM is draining */
  /* The HTTP thread alone uses the following.  */
  live_ring_t live_vms;
  bool *is_live;
  usec_t live_updated_at;
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

/* Update the VMs that accept callers, where this is older than
   LIVE_RING_MAX_AGE_USEC.  */
static void
refresh_live_ring (caller_port_t *port)
{
  usec_t now = clock_monotonic ();
  if (port->live_updated_at != 0
      && now - port->live_updated_at < LIVE_RING_MAX_AGE_USEC)
    return;
  port->live_updated_at = now;
  bool is_any_live = false;
  for (size_t i = 0; i < port->live_vms.n_vms; i++)
    {
      port->is_live[i]
          = peer_ledger_takes_callers (port->options.peers, (vm_id_t)i);
      is_any_live = is_any_live || port->is_live[i];
    }
  /* Where nobody is known to serve, callers wait here.  */
  if (!is_any_live && !port->is_leaving)
    port->is_live[port->options.self] = true;
  live_ring_build (&port->live_vms, port->is_live);
}

static int
lookup_write (caller_port_t *port, const char *block, const char *ticket,
              char *text, size_t size)
{
  const settings_t *settings = port->options.settings;
  const topology_t *topology = &settings->topology;
  uint64_t start = hash_text (block) % topology->n_vms;
  int length = snprintf (
      text, size, "{\"version\":%llu,\"max_age_ms\":%lld,\"entries\":[",
      (unsigned long long)current_sheet_number (port->options.current_sheet),
      (long long)(settings->limits.lookup_age / USEC_PER_MSEC));
  vm_id_t vms[LOOKUP_ENTRIES];
  refresh_live_ring (port);
  size_t n = live_ring_select (&port->live_vms, start, vms, LOOKUP_ENTRIES);
  for (size_t i = 0; i < n; i++)
    length += snprintf (text + length, size - (size_t)length, "%s\"%s:%u\"",
                        i ? "," : "", topology->vms[vms[i]].address,
                        settings->ports.caller);
  length += snprintf (text + length, size - (size_t)length, "]");
  if (ticket[0])
    length += snprintf (text + length, size - (size_t)length,
                        ",\"ticket\":\"%s\"", ticket);
  length += snprintf (text + length, size - (size_t)length, "}");
  return length;
}

static enum MHD_Result
serve_lookup (caller_port_t *port, struct MHD_Connection *connection)
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
  const char *wants_ticket = MHD_lookup_connection_value (
      connection, MHD_GET_ARGUMENT_KIND, "ticket");
  char ticket[TICKET_TEXT_BYTES] = "";
  if (wants_ticket && strcmp (wants_ticket, "1") == 0
      && !peer_ledger_issue (port->options.peers, ticket, &err))
    return http_reply_error (connection, &err);
  char text[LOOKUP_BYTES];
  entry_metrics_count_lookup (port->options.metrics);
  int length = lookup_write (port, block, ticket, text, sizeof text);
  return http_reply_text (connection, MHD_HTTP_OK, "application/json", text,
                          (size_t)length);
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
      return exchange->error.kind == ERR_USAGE  ? MHD_HTTP_BAD_REQUEST
             : exchange->error.kind == ERR_AUTH ? MHD_HTTP_FORBIDDEN
                                                : MHD_HTTP_SERVICE_UNAVAILABLE;
    case EXCHANGE_UNKNOWN:
      return exchange->error.kind == ERR_TIMEOUT ? MHD_HTTP_GATEWAY_TIMEOUT
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
                    exchange->error.message, exchange->error.remedy);
  return MHD_create_response_from_buffer ((size_t)n, text,
                                          MHD_RESPMEM_MUST_COPY);
}

/* Add the reason and, where the ticket is used up, the ticket of the next
   generation to send the request again with.  */
static void
add_reason (const caller_port_t *port, const exchange_t *exchange,
            struct MHD_Response *response)
{
  MHD_add_response_header (response, "X-Mulberry-Reason",
                           request_reason_name (exchange->reason));
  if (exchange->generation == 0)
    return;
  char generation[16];
  snprintf (generation, sizeof generation, "%u", exchange->generation);
  MHD_add_response_header (response, "X-Mulberry-Generation", generation);
  ticket_t next = exchange->parsed_ticket;
  next.generation = exchange->generation + 1;
  char text[TICKET_TEXT_BYTES];
  ticket_format (text, &next, peer_ledger_key (port->options.peers));
  MHD_add_response_header (response, "Idempotency-Key", text);
}

/* For the entry VM that forwarded the request: the time at the backend server,
   without the wait for a slot here.  */
static void
add_run_time (const exchange_t *exchange, struct MHD_Response *response)
{
  char run_time[24];
  snprintf (run_time, sizeof run_time, "%lld", (long long)exchange->run_time);
  MHD_add_response_header (response, "X-Mulberry-Run-Us", run_time);
}

static enum MHD_Result
reply_outcome (const caller_port_t *port, exchange_t *exchange)
{
  if (!exchange->is_hop)
    entry_metrics_record_outcome (port->options.metrics, exchange,
                                  clock_monotonic () - exchange->received_at);
  struct MHD_Response *response = outcome_response (exchange);
  if (!response)
    return MHD_NO;
  MHD_add_response_header (response, "X-Mulberry-Outcome",
                           exchange_outcome_name (exchange->outcome));
  if (exchange->caller_id[0])
    MHD_add_response_header (response, "X-Request-Id", exchange->caller_id);
  if (exchange->outcome != EXCHANGE_ANSWER)
    add_reason (port, exchange, response);
  if (exchange->outcome == EXCHANGE_ANSWER && exchange->answer_content_type[0])
    MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE,
                             exchange->answer_content_type);
  if (exchange->is_hop && exchange->outcome == EXCHANGE_ANSWER)
    add_run_time (exchange, response);
  enum MHD_Result result = MHD_queue_response (
      exchange->connection, outcome_status (exchange), response);
  MHD_destroy_response (response);
  return result;
}

/* Refuse the request before anything was sent to a backend server.  */
static enum MHD_Result
refuse (const caller_port_t *port, exchange_t *exchange, err_kind_t kind,
        const char *remedy, const char *message)
{
  exchange->outcome = EXCHANGE_NOT_RUN;
  err_set (&exchange->error, kind, remedy, "%s", message);
  exchange->has_outcome = true;
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

/* Parse the service of "/s/SERVICE/rest".  */
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
  usec_t timeout = settings->topology.services[exchange->service].deadline;
  const char *value = MHD_lookup_connection_value (
      exchange->connection, MHD_HEADER_KIND, "X-Deadline-Ms");
  if (value)
    {
      uint64_t msec;
      uint64_t max = (uint64_t)(settings->limits.deadline_max / USEC_PER_MSEC);
      if (number_parse_unsigned (&msec, value, max) != NUMBER_OK || msec < 1)
        return false;
      timeout = (usec_t)msec * USEC_PER_MSEC;
    }
  exchange->deadline = clock_monotonic () + timeout;
  return true;
}

/* Check the credential of a request that another entry VM forwarded.  */
static bool
parse_hop (const caller_port_t *port, exchange_t *exchange, err_t *err)
{
  const char *text = MHD_lookup_connection_value (
      exchange->connection, MHD_HEADER_KIND, "X-Mulberry-Hop");
  if (!text)
    return true;
  hop_t hop = { .id = exchange->caller_id,
                .method = exchange->method,
                .target = exchange->target,
                .ticket = exchange->ticket };
  exchange->is_hop = true;
  if (hop_credential_check (text, &hop, peer_ledger_key (port->options.peers)))
    return true;
  return err_set (
      err, ERR_AUTH, "give all VMs the same key file",
      "X-Mulberry-Hop was not signed with this VM's key for this request");
}

static bool
parse_ticket (const caller_port_t *port, exchange_t *exchange, err_t *err)
{
  if (exchange_is_idempotent (exchange))
    return true;
  exchange->reason = REASON_BAD_REQUEST;
  if (!exchange->ticket[0])
    return err_set (err, ERR_USAGE,
                    "get one with GET /v1/lookup?...&ticket=1 and send it as "
                    "Idempotency-Key",
                    "%s needs a ticket, and Idempotency-Key is missing",
                    exchange->method);
  return ticket_parse (&exchange->parsed_ticket, exchange->ticket,
                       peer_ledger_key (port->options.peers), err);
}

static enum MHD_Result
refuse_draining (caller_port_t *port, exchange_t *exchange)
{
  port->refused_at = clock_monotonic ();
  exchange->reason = REASON_DRAINING;
  return refuse (port, exchange, ERR_UNAVAILABLE,
                 "ask GET /v1/lookup for another entry VM",
                 "this entry VM is stopping");
}

static enum MHD_Result
begin_request (caller_port_t *port, exchange_t *exchange)
{
  const settings_t *settings = port->options.settings;
  if (!parse_target (&settings->topology, exchange))
    return refuse (port, exchange, ERR_USAGE,
                   "use /s/SERVICE/... with a service that the settings list",
                   "the path names no service of the settings");
  copy_header (exchange, "X-Request-Id", exchange->caller_id);
  copy_header (exchange, "Idempotency-Key", exchange->ticket);
  copy_header (exchange, "Content-Type", exchange->content_type);
  copy_header (exchange, "X-Tenant", exchange->tenant);
  if (!parse_deadline (settings, exchange))
    return refuse (
        port, exchange, ERR_USAGE,
        "give whole milliseconds, at most the settings' "
        "deadline_max_ms",
        "X-Deadline-Ms is not a number of milliseconds within the limits");
  if (exchange->is_body_too_long)
    return refuse (port, exchange, ERR_USAGE,
                   "send at most the settings' body_bytes",
                   "the body is too long");
  err_t err = { 0 };
  if (!parse_hop (port, exchange, &err)
      || !parse_ticket (port, exchange, &err))
    return refuse (port, exchange, err.kind, err.remedy, err.message);
  if (port->is_draining)
    return refuse_draining (port, exchange);
  exchange->caller_fd
      = MHD_get_connection_info (exchange->connection,
                                 MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd;
  port->n_in_flight++;
  exchange_ref (exchange);
  MHD_suspend_connection (exchange->connection);
  if (dispatcher_submit (port->dispatcher, exchange))
    return MHD_YES;
  port->n_in_flight--;
  exchange_free (exchange);
  MHD_resume_connection (exchange->connection);
  exchange->reason = REASON_NO_CAPACITY;
  return refuse (port, exchange, ERR_LIMIT, "try again later",
                 "too many requests are in progress");
}

/* Runs on the dispatcher's thread.  */
static void
on_outcome (void *closure, exchange_t *exchange)
{
  caller_port_t *port = closure;
  exchange->has_outcome = true;
  port->n_in_flight--;
  MHD_resume_connection (exchange->connection);
}

/* --- libmicrohttpd's callbacks ---------------------------------------- */

static void *
on_request_line (void *closure, const char *uri,
                 struct MHD_Connection *connection)
{
  (void)closure;
  exchange_t *exchange = exchange_new ();
  exchange->connection = connection;
  exchange->received_at = clock_monotonic ();
  if (strlen (uri) < sizeof exchange->target)
    memcpy (exchange->target, uri, strlen (uri) + 1);
  return exchange;
}

static enum MHD_Result
on_request_data (void *closure, struct MHD_Connection *connection,
                 const char *url, const char *method, const char *version,
                 const char *data, size_t *data_bytes, void **state)
{
  (void)version;
  caller_port_t *port = closure;
  exchange_t *exchange = *state;
  if (exchange->has_outcome)
    return reply_outcome (port, exchange);
  if (!exchange->headers_received)
    {
      exchange->headers_received = true;
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
  return refuse (port, exchange, ERR_USAGE, "see docs/API.md for the requests",
                 "no such request: the path or the method is not supported");
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

static void
on_connection (void *closure, struct MHD_Connection *connection,
               void **context, enum MHD_ConnectionNotificationCode code)
{
  (void)context;
  caller_port_t *port = closure;
  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    dispatcher_watch_caller (
        port->dispatcher,
        MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd);
}

static struct MHD_Daemon *
daemon_start (caller_port_t *port, const vm_t *vm)
{
  const settings_t *settings = port->options.settings;
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (settings->ports.caller) };
  inet_pton (AF_INET, vm->address, &address.sin_addr);
  return MHD_start_daemon (
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME,
      settings->ports.caller, NULL, NULL, on_request_data, port,
      MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_CONNECTION_LIMIT,
      (unsigned int)settings->limits.caller_connections,
      MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)IDLE_SECONDS,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
      MHD_OPTION_NOTIFY_CONNECTION, on_connection, port,
      MHD_OPTION_URI_LOG_CALLBACK, on_request_line, NULL, MHD_OPTION_END);
}

static void
port_free (caller_port_t *port)
{
  live_ring_free (&port->live_vms);
  free (port->is_live);
  free (port);
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
  live_ring_init (&port->live_vms, settings->topology.n_vms);
  port->is_live = calloc (settings->topology.n_vms, sizeof *port->is_live);
  if (!port->is_live)
    abort ();
  const dispatcher_options_t dispatcher_options
      = { .settings = settings,
          .self = options->self,
          .incarnation = options->incarnation,
          .current_sheet = options->current_sheet,
          .peers = options->peers,
          .spend = options->spend,
          .quarantine = options->quarantine,
          .closure = port,
          .outcome_ready = on_outcome };
  port->dispatcher = dispatcher_start (&dispatcher_options, err);
  if (!port->dispatcher)
    {
      port_free (port);
      return NULL;
    }
  port->daemon = daemon_start (port, vm);
  if (port->daemon)
    return port;
  err_set (err, ERR_IO,
           "check that this VM has the address and that no other process "
           "holds the port",
           "can't listen on %s:%u", vm->address, settings->ports.caller);
  dispatcher_stop (port->dispatcher);
  dispatcher_free (port->dispatcher);
  port_free (port);
  return NULL;
}

void
caller_port_close (caller_port_t *port)
{
  /* Callers cache a look-up up to its maximum age and are served until then.
     After that they are refused until no more have come for a while, so that
     no caller gets a connection reset.  */
  port->is_leaving = true;
  peer_ledger_leave (port->options.peers);
  usleep ((useconds_t)port->options.settings->limits.lookup_age
          + LIVE_RING_MAX_AGE_USEC + LOOKUP_TRAVEL_USEC);
  usec_t now = clock_monotonic ();
  port->refused_at = now;
  port->is_draining = true;
  usec_t give_up_at = now + port->options.settings->limits.deadline_max;
  while ((now < port->refused_at + DRAIN_REFUSE_USEC || port->n_in_flight > 0)
         && now < give_up_at)
    {
      usleep (DRAIN_STEP_USEC);
      now = clock_monotonic ();
    }
  MHD_socket listener = MHD_quiesce_daemon (port->daemon);
  if (listener != MHD_INVALID_SOCKET)
    close (listener);
  usleep (DRAIN_STEP_USEC);
  dispatcher_stop (port->dispatcher);
  MHD_stop_daemon (port->daemon);
}

void
caller_port_free (caller_port_t *port)
{
  dispatcher_free (port->dispatcher);
  port_free (port);
}
