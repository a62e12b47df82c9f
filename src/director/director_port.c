#include "director/director_port.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/name.h"
#include "config_codec.h"
#include "lookup_codec.h"
#include "platform_words.h"
#include "routing/route_config.h"
#include "wire/generated/fleet.h"
#include "wire/http_reply.h"

enum
{
  CONNECTIONS_MAX = 1500,
  IDLE_SECONDS = 30,
  ORDER_BYTES_MAX = FLEET_CONFIG_BYTES_MAX,
  URL_BYTES = 512,
};

/* How long callers keep a look-up; the operators' bound is higher.  */
#define LOOKUP_AGE (2 * USEC_PER_SEC)

/* Our own call, for mulberryctl.  */
static const char view_path[] = "/v1/fleet";

struct director_port
{
  director_port_options_t options;
  struct MHD_Daemon *operators;
  struct MHD_Daemon *lookups;
};

/* One request of an operator.  */
typedef struct call
{
  director_port_t *port;
  struct MHD_Connection *connection;
  char *body;
  size_t length;
  bool is_too_long;
  bool is_ordered; /* the core has it, or has ended it */
  director_order_t order;
} call_t;

static enum MHD_Result
reply (struct MHD_Connection *connection, unsigned int status,
       const char *text)
{
  return http_reply_text (connection, status, "application/json", text,
                          strlen (text));
}

static enum MHD_Result
reply_error (struct MHD_Connection *connection, unsigned int status,
             const char *why)
{
  char text[ERR_MESSAGE_BYTES + 64];
  char plain[ERR_MESSAGE_BYTES];
  snprintf (plain, sizeof plain, "%s", why);
  for (char *c = plain; *c; c++)
    if (*c == '"' || *c == '\\' || (unsigned char)*c < ' ')
      *c = '\'';
  snprintf (text, sizeof text, "{\"error\":\"%s\"}", plain);
  return reply (connection, status, text);
}

/* --- Operators ---------------------------------------------------------- */

static void
on_order_done (director_order_t *order)
{
  call_t *call = order->closure;
  MHD_resume_connection (call->connection);
}

static enum MHD_Result
reply_elsewhere (const call_t *call, const char *url)
{
  char address[INET_TEXT_BYTES];
  char location[URL_BYTES + 64];
  const inet_t leader
      = { .address = call->order.leader,
          .port = call->port->options.settings->operators.port };
  inet_format (&leader, address);
  snprintf (location, sizeof location, "http://%s%s", address, url);
  struct MHD_Response *response
      = MHD_create_response_from_buffer (0, "", MHD_RESPMEM_PERSISTENT);
  MHD_add_response_header (response, MHD_HTTP_HEADER_LOCATION, location);
  enum MHD_Result result = MHD_queue_response (
      call->connection, MHD_HTTP_TEMPORARY_REDIRECT, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
reply_end (call_t *call, const char *url)
{
  const director_order_t *order = &call->order;
  switch (order->end)
    {
    case ORDER_DONE:
      if (order->kind == ORDER_GET_CONFIG || order->kind == ORDER_SHOW)
        return http_reply_text (call->connection, MHD_HTTP_OK,
                                "application/json", order->text,
                                order->length);
      return reply (call->connection, MHD_HTTP_OK, "{}");
    case ORDER_ELSEWHERE:
      return reply_elsewhere (call, url);
    case ORDER_UNAVAILABLE:
      return reply_error (call->connection, MHD_HTTP_SERVICE_UNAVAILABLE,
                          "no leader is known: ask another director");
    case ORDER_UNKNOWN:
      break;
    }
  return reply_error (call->connection, MHD_HTTP_SERVICE_UNAVAILABLE,
                      "the outcome is not known: send the same again");
}

/* Fill in the order of a configuration; false with the reason in ERR.  */
static bool
order_config (call_t *call, err_t *err)
{
  if (call->is_too_long)
    return err_set (err, ERR_LIMIT, "send a smaller configuration",
                    "a configuration may have %d bytes", ORDER_BYTES_MAX);
  route_config_t *config
      = config_codec_read (call->body ? call->body : "", call->length, err);
  if (!config)
    return false;
  bool ok = route_config_check (config, err);
  call->order.kind = ORDER_PUT_CONFIG;
  call->order.version = config->version;
  call->order.text = call->body;
  call->order.length = call->length;
  call->body = NULL;
  route_config_free (config);
  return ok;
}

static bool
order_evacuation (call_t *call, order_kind_t kind, const char *domain,
                  err_t *err)
{
  settings_feed_t *feed = call->port->options.feed;
  const fleet_settings_t *settings = settings_feed_acquire (feed);
  bool is_known = fleet_settings_region (settings, domain) != NULL;
  settings_feed_release (feed, settings);
  call->order.kind = kind;
  if (is_known && name_parse (&call->order.domain, domain, NULL))
    return true;
  return err_set (err, ERR_USAGE, "name one of the settings' failure domains",
                  "unknown failure domain '%s'", domain);
}

/* True where URL begins with PREFIX; *REST is what follows.  */
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
start_order (call_t *call, const char *method, const char *url)
{
  err_t err = { 0 };
  bool ok = false;
  bool is_post = strcmp (method, "POST") == 0;
  const char *domain = "";
  if (is_post && strcmp (url, PATH_CONFIG_PUT) == 0)
    ok = order_config (call, &err);
  else if (strcmp (method, "GET") == 0 && strcmp (url, PATH_CONFIG_GET) == 0)
    {
      call->order.kind = ORDER_GET_CONFIG;
      ok = true;
    }
  else if (strcmp (method, "GET") == 0 && strcmp (url, view_path) == 0)
    {
      call->order.kind = ORDER_SHOW;
      ok = true;
    }
  else if (is_post && url_has_prefix (url, PATH_EVACUATE, &domain))
    ok = order_evacuation (call, ORDER_EVACUATE, domain, &err);
  else if (is_post && url_has_prefix (url, PATH_TAKE_BACK, &domain))
    ok = order_evacuation (call, ORDER_TAKE_BACK, domain, &err);
  else
    return reply_error (call->connection, MHD_HTTP_NOT_FOUND,
                        "no such call; docs/API.md lists them");
  if (!ok)
    {
      LOG_EVENT (LOG_LEVEL_INFO, "order_refused", LOG_S ("url", url),
                 LOG_S ("reason", err.message));
      return reply_error (call->connection, MHD_HTTP_BAD_REQUEST, err.message);
    }
  call->is_ordered = true;
  call->order.begun_at = clock_monotonic ();
  call->order.done = on_order_done;
  call->order.closure = call;
  MHD_suspend_connection (call->connection);
  if (director_core_order (call->port->options.core, &call->order))
    return MHD_YES;
  call->order.end = ORDER_UNAVAILABLE;
  MHD_resume_connection (call->connection);
  return MHD_YES;
}

static void
take_body (call_t *call, const char *data, size_t length)
{
  if (call->length + length > ORDER_BYTES_MAX)
    {
      call->is_too_long = true;
      return;
    }
  char *grown = realloc (call->body, call->length + length + 1);
  if (!grown)
    abort ();
  call->body = grown;
  memcpy (call->body + call->length, data, length);
  call->length += length;
  call->body[call->length] = '\0';
}

static enum MHD_Result
serve_operator (void *closure, struct MHD_Connection *connection,
                const char *url, const char *method, const char *version,
                const char *data, size_t *data_bytes, void **context)
{
  (void)version;
  call_t *call = *context;
  if (!call)
    {
      call = calloc (1, sizeof *call);
      if (!call)
        return MHD_NO;
      call->port = closure;
      call->connection = connection;
      list_init (&call->order.link);
      *context = call;
      return MHD_YES;
    }
  if (*data_bytes > 0)
    {
      take_body (call, data, *data_bytes);
      *data_bytes = 0;
      return MHD_YES;
    }
  if (call->is_ordered)
    return reply_end (call, url);
  return start_order (call, method, url);
}

static void
on_completed (void *closure, struct MHD_Connection *connection, void **context,
              enum MHD_RequestTerminationCode code)
{
  (void)closure;
  (void)connection;
  (void)code;
  call_t *call = *context;
  if (!call)
    return;
  free (call->body);
  free (call->order.text);
  free (call);
  *context = NULL;
}

/* --- Look-ups ----------------------------------------------------------- */

static const char *
argument (struct MHD_Connection *connection, const char *name)
{
  const char *value
      = MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, name);
  return value ? value : "";
}

static usec_t
lookup_age_max (const director_port_t *port)
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
    return reply_error (connection, MHD_HTTP_NOT_FOUND, "no such call");
  const lookup_query_t query
      = { .host = argument (connection, QUERY_LOOKUP_HOST),
          .region = argument (connection, QUERY_LOOKUP_REGION),
          .domain = argument (connection, QUERY_LOOKUP_DOMAIN) };
  inet_t addresses[LOOKUP_ADDRESSES_MAX];
  size_t n = lookup_view_choose (port->options.lookups, &query, addresses,
                                 LOOKUP_ADDRESSES_MAX);
  if (n == 0)
    return reply_error (connection, MHD_HTTP_SERVICE_UNAVAILABLE,
                        "no router is known: ask another director");
  usec_t bound = lookup_age_max (port);
  char text[LOOKUP_TEXT_BYTES];
  lookup_codec_write (addresses, n, LOOKUP_AGE < bound ? LOOKUP_AGE : bound,
                      text);
  return reply (connection, MHD_HTTP_OK, text);
}

/* --- Opening and closing ------------------------------------------------ */

static struct MHD_Daemon *
open_daemon (const inet_t *at, MHD_AccessHandlerCallback handler,
             director_port_t *port)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (at->port),
                                 .sin_addr.s_addr = htonl (at->address) };
  return MHD_start_daemon (
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, at->port, NULL,
      NULL, handler, port, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address,
      MHD_OPTION_CONNECTION_LIMIT, (unsigned int)CONNECTIONS_MAX,
      MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)IDLE_SECONDS,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_NOTIFY_COMPLETED,
      on_completed, NULL, MHD_OPTION_END);
}

director_port_t *
director_port_open (const director_port_options_t *options, err_t *err)
{
  director_port_t *port = calloc (1, sizeof *port);
  if (!port)
    abort ();
  port->options = *options;
  const fleet_settings_t *settings = options->settings;
  port->operators = open_daemon (&settings->operators, serve_operator, port);
  port->lookups = open_daemon (&settings->lookups, serve_lookup, port);
  if (port->operators && port->lookups)
    return port;
  director_port_close (port);
  err_set (err, ERR_IO,
           "check that the settings' operators and lookups are free "
           "addresses of this VM",
           "the HTTP ports can't be opened");
  return NULL;
}

void
director_port_close (director_port_t *port)
{
  if (port->operators)
    MHD_stop_daemon (port->operators);
  if (port->lookups)
    MHD_stop_daemon (port->lookups);
  free (port);
}
