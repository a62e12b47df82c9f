#include "director/director_port.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/byte_buffer.h"
#include "base/clock.h"
#include "base/log.h"
#include "base/name.h"
#include "config_codec.h"
#include "fleet/crash_table.h"
#include "lookup_codec.h"
#include "platform_api.h"
#include "routing/route_config.h"
#include "wire/generated/fleet.h"
#include "wire/http_reply.h"

enum
{
  CONNECTIONS_MAX = 1500,
  IDLE_TIMEOUT_SECONDS = 30,
  BODY_BYTES_MAX = FLEET_CONFIG_BYTES_MAX,
  URL_BYTES_MAX = 512,
};

/* How long callers may cache the answer to a look-up; less where the bound in
   the operators' settings, which is usually higher, is lower.  */
#define LOOKUP_CACHE_TIME (2 * USEC_PER_SEC)

/* This director's view, for mulberryctl; not one of the platform's paths.  */
static const char fleet_view_path[] = "/v1/fleet";
/* Ends a quarantine; the fingerprint follows.  */
static const char release_path[] = "/v1/fleet/release/";

struct director_port
{
  director_port_options_t options;
  struct MHD_Daemon *operator_daemon;
  struct MHD_Daemon *lookup_daemon;
};

/* One HTTP request of an operator and its reply.  */
typedef struct exchange
{
  director_port_t *port;
  struct MHD_Connection *connection;
  byte_buffer_t body;
  bool is_body_too_long;
  bool is_submitted; /* REQUEST was submitted, and may be finished */
  operator_request_t request;
} exchange_t;

static enum MHD_Result
reply_json (struct MHD_Connection *connection, unsigned int status,
            const char *text)
{
  return http_reply_text (connection, status, "application/json", text,
                          strlen (text));
}

static enum MHD_Result
reply_error (struct MHD_Connection *connection, unsigned int status,
             const char *reason)
{
  char text[ERR_MESSAGE_BYTES + 64];
  char sanitized[ERR_MESSAGE_BYTES];
  snprintf (sanitized, sizeof sanitized, "%s", reason);
  for (char *c = sanitized; *c; c++)
    if (*c == '"' || *c == '\\' || (unsigned char)*c < ' ')
      *c = '\'';
  snprintf (text, sizeof text, "{\"error\":\"%s\"}", sanitized);
  return reply_json (connection, status, text);
}

/* --- Operators ---------------------------------------------------------- */

static void
on_request_done (operator_request_t *request)
{
  exchange_t *exchange = request->closure;
  MHD_resume_connection (exchange->connection);
}

static enum MHD_Result
reply_redirect (const exchange_t *exchange, const char *url)
{
  char address[INET_TEXT_BYTES];
  char location[URL_BYTES_MAX + 64];
  const inet_t leader
      = { .address = exchange->request.leader_address,
          .port = exchange->port->options.settings->operators.port };
  inet_format (&leader, address);
  snprintf (location, sizeof location, "http://%s%s", address, url);
  struct MHD_Response *response
      = MHD_create_response_from_buffer (0, "", MHD_RESPMEM_PERSISTENT);
  MHD_add_response_header (response, MHD_HTTP_HEADER_LOCATION, location);
  enum MHD_Result result = MHD_queue_response (
      exchange->connection, MHD_HTTP_TEMPORARY_REDIRECT, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
reply_outcome (exchange_t *exchange, const char *url)
{
  const operator_request_t *request = &exchange->request;
  switch (request->outcome)
    {
    case OUTCOME_DONE:
      if (request->kind == OPERATOR_GET_CONFIG
          || request->kind == OPERATOR_SHOW)
        return http_reply_text (exchange->connection, MHD_HTTP_OK,
                                "application/json", request->text,
                                request->length);
      return reply_json (exchange->connection, MHD_HTTP_OK, "{}");
    case OUTCOME_REDIRECT:
      return reply_redirect (exchange, url);
    case OUTCOME_NOT_FOUND:
      return reply_error (exchange->connection, MHD_HTTP_NOT_FOUND,
                          "no request with this fingerprint is quarantined "
                          "here; `mulberryctl fleet show` lists them");
    case OUTCOME_NO_VERSION:
      return reply_error (exchange->connection, MHD_HTTP_BAD_REQUEST,
                          "version 00000000 stands for no configuration: "
                          "begin with 00000001");
    case OUTCOME_UNAVAILABLE:
      return reply_error (exchange->connection, MHD_HTTP_SERVICE_UNAVAILABLE,
                          "not accepted: this director knows no leader or no "
                          "configuration, or "
                          "is overloaded; ask another director");
    case OUTCOME_UNKNOWN:
      break;
    }
  return reply_error (
      exchange->connection, MHD_HTTP_SERVICE_UNAVAILABLE,
      "the outcome of the request is not known: send the same request again");
}

/* Fill in the request from a body that holds a configuration; false with the
   reason in ERR.  */
static bool
prepare_config (exchange_t *exchange, err_t *err)
{
  if (exchange->is_body_too_long)
    return err_set (err, ERR_LIMIT, "send a smaller configuration",
                    "the configuration exceeds the limit of %d bytes",
                    BODY_BYTES_MAX);
  route_config_t *config
      = config_codec_read (exchange->body.bytes ? exchange->body.bytes : "",
                           exchange->body.length, err);
  if (!config)
    return false;
  bool ok = route_config_check (config, err);
  exchange->request.kind = OPERATOR_PUT_CONFIG;
  exchange->request.config_version = config->version;
  exchange->request.length = exchange->body.length;
  exchange->request.text = byte_buffer_take (&exchange->body);
  route_config_free (config);
  return ok;
}

static bool
prepare_evacuation (exchange_t *exchange, operator_request_kind_t kind,
                    const char *domain, err_t *err)
{
  settings_feed_t *feed = exchange->port->options.feed;
  const fleet_settings_t *settings = settings_feed_acquire (feed);
  bool is_known = fleet_settings_region (settings, domain) != NULL;
  settings_feed_release (feed, settings);
  exchange->request.kind = kind;
  if (is_known && name_parse (&exchange->request.domain, domain, NULL))
    return true;
  return err_set (err, ERR_USAGE,
                  "name one of the failure domains in the settings",
                  "unknown failure domain '%s'", domain);
}

static bool
prepare_release (exchange_t *exchange, const char *fingerprint, err_t *err)
{
  exchange->request.kind = OPERATOR_RELEASE;
  if (fingerprint_parse (&exchange->request.fingerprint, fingerprint))
    return true;
  return err_set (err, ERR_USAGE,
                  "give a fingerprint as `mulberryctl fleet show` lists it",
                  "'%s' is not 32 hexadecimal digits", fingerprint);
}

/* True where URL begins with PREFIX; *REST is then the rest of URL.  */
static bool
url_has_prefix (const char *url, const char *prefix, const char **rest)
{
  size_t length = strlen (prefix);
  if (strncmp (url, prefix, length) != 0)
    return false;
  *rest = url + length;
  return true;
}

static enum MHD_Result
submit_request (exchange_t *exchange, const char *method, const char *url)
{
  err_t err = { 0 };
  bool ok = false;
  bool is_post = strcmp (method, "POST") == 0;
  const char *rest = "";
  if (is_post && strcmp (url, PATH_CONFIG_PUT) == 0)
    ok = prepare_config (exchange, &err);
  else if (strcmp (method, "GET") == 0 && strcmp (url, PATH_CONFIG_GET) == 0)
    {
      exchange->request.kind = OPERATOR_GET_CONFIG;
      ok = true;
    }
  else if (strcmp (method, "GET") == 0 && strcmp (url, fleet_view_path) == 0)
    {
      exchange->request.kind = OPERATOR_SHOW;
      ok = true;
    }
  else if (is_post && url_has_prefix (url, release_path, &rest))
    ok = prepare_release (exchange, rest, &err);
  else if (is_post && url_has_prefix (url, PATH_EVACUATION_START, &rest))
    ok = prepare_evacuation (exchange, OPERATOR_EVACUATE, rest, &err);
  else if (is_post && url_has_prefix (url, PATH_EVACUATION_END, &rest))
    ok = prepare_evacuation (exchange, OPERATOR_TAKE_BACK, rest, &err);
  else
    return reply_error (exchange->connection, MHD_HTTP_NOT_FOUND,
                        "unknown method or path; docs/API.md lists the calls");
  if (!ok)
    {
      LOG_EVENT (LOG_LEVEL_INFO, "order_refused", LOG_S ("url", url),
                 LOG_S ("reason", err.message));
      return reply_error (exchange->connection, MHD_HTTP_BAD_REQUEST,
                          err.message);
    }
  exchange->is_submitted = true;
  exchange->request.received_at = clock_monotonic ();
  exchange->request.done = on_request_done;
  exchange->request.closure = exchange;
  MHD_suspend_connection (exchange->connection);
  if (director_core_submit (exchange->port->options.core, &exchange->request))
    return MHD_YES;
  exchange->request.outcome = OUTCOME_UNAVAILABLE;
  MHD_resume_connection (exchange->connection);
  return MHD_YES;
}

static void
append_body (exchange_t *exchange, const char *data, size_t length)
{
  if (!byte_buffer_append (&exchange->body, data, length, BODY_BYTES_MAX))
    exchange->is_body_too_long = true;
}

static enum MHD_Result
serve_operator (void *closure, struct MHD_Connection *connection,
                const char *url, const char *method, const char *version,
                const char *data, size_t *data_bytes, void **context)
{
  (void)version;
  exchange_t *exchange = *context;
  if (!exchange)
    {
      exchange = calloc (1, sizeof *exchange);
      if (!exchange)
        return MHD_NO;
      exchange->port = closure;
      exchange->connection = connection;
      list_init (&exchange->request.link);
      *context = exchange;
      return MHD_YES;
    }
  if (*data_bytes > 0)
    {
      append_body (exchange, data, *data_bytes);
      *data_bytes = 0;
      return MHD_YES;
    }
  if (exchange->is_submitted)
    return reply_outcome (exchange, url);
  return submit_request (exchange, method, url);
}

static void
on_completed (void *closure, struct MHD_Connection *connection, void **context,
              enum MHD_RequestTerminationCode code)
{
  (void)closure;
  (void)connection;
  (void)code;
  exchange_t *exchange = *context;
  if (!exchange)
    return;
  free (exchange->body.bytes);
  free (exchange->request.text);
  free (exchange);
  *context = NULL;
}

/* --- Look-ups ----------------------------------------------------------- */

static const char *
query_argument (struct MHD_Connection *connection, const char *name)
{
  const char *value
      = MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, name);
  return value ? value : "";
}

static usec_t
lookup_cache_time_max (const director_port_t *port)
{
  const fleet_settings_t *settings
      = settings_feed_acquire (port->options.feed);
  usec_t age = settings->bounds.lookup_age;
  settings_feed_release (port->options.feed, settings);
  return age;
}

static enum MHD_Result
serve_lookup (void *closure, struct MHD_Connection *connection,
              const char *url, const char *method, const char *version,
              const char *data, size_t *data_bytes, void **context)
{
  (void)method;
  (void)version;
  (void)data;
  (void)data_bytes;
  (void)context;
  director_port_t *port = closure;
  if (strcmp (url, PATH_LOOKUP) != 0)
    return reply_error (connection, MHD_HTTP_NOT_FOUND,
                        "unknown path: look-ups are at " PATH_LOOKUP);
  const lookup_query_t query
      = { .host = query_argument (connection, QUERY_LOOKUP_HOST),
          .region = query_argument (connection, QUERY_LOOKUP_REGION),
          .domain = query_argument (connection, QUERY_LOOKUP_DOMAIN) };
  inet_t addresses[LOOKUP_ADDRESSES_MAX];
  size_t n = lookup_view_choose (port->options.lookups, &query, addresses,
                                 LOOKUP_ADDRESSES_MAX);
  if (n == 0)
    return reply_error (
        connection, MHD_HTTP_SERVICE_UNAVAILABLE,
        "this director knows no router that takes requests: ask another "
        "director");
  usec_t bound = lookup_cache_time_max (port);
  char text[LOOKUP_TEXT_BYTES];
  lookup_codec_write (addresses, n,
                      LOOKUP_CACHE_TIME < bound ? LOOKUP_CACHE_TIME : bound,
                      text);
  return reply_json (connection, MHD_HTTP_OK, text);
}

/* --- Opening and closing ------------------------------------------------ */

static struct MHD_Daemon *
open_daemon (const inet_t *listen_address, MHD_AccessHandlerCallback handler,
             director_port_t *port)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET,
          .sin_port = htons (listen_address->port),
          .sin_addr.s_addr = htonl (listen_address->address) };
  return MHD_start_daemon (
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME,
      listen_address->port, NULL, NULL, handler, port, MHD_OPTION_SOCK_ADDR,
      (struct sockaddr *)&address, MHD_OPTION_CONNECTION_LIMIT,
      (unsigned int)CONNECTIONS_MAX, MHD_OPTION_CONNECTION_TIMEOUT,
      (unsigned int)IDLE_TIMEOUT_SECONDS, MHD_OPTION_LISTENING_ADDRESS_REUSE,
      1u, MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL, MHD_OPTION_END);
}

director_port_t *
director_port_open (const director_port_options_t *options, err_t *err)
{
  director_port_t *port = calloc (1, sizeof *port);
  if (!port)
    abort ();
  port->options = *options;
  const fleet_settings_t *settings = options->settings;
  port->operator_daemon
      = open_daemon (&settings->operators, serve_operator, port);
  port->lookup_daemon = open_daemon (&settings->lookups, serve_lookup, port);
  if (port->operator_daemon && port->lookup_daemon)
    return port;
  director_port_close (port);
  err_set (err, ERR_IO,
           "check that the operators and lookups addresses in the settings "
           "belong to this VM and are free",
           "cannot listen on the HTTP ports for operators and look-ups");
  return NULL;
}

void
director_port_close (director_port_t *port)
{
  if (port->operator_daemon)
    MHD_stop_daemon (port->operator_daemon);
  if (port->lookup_daemon)
    MHD_stop_daemon (port->lookup_daemon);
  free (port);
}
