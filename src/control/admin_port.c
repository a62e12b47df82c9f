#include "control/admin_port.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/byte_buffer.h"
#include "base/clock.h"
#include "base/log.h"
#include "control/admin_exchange.h"
#include "control/admin_metrics.h"

enum
{
  /* Each connection may buffer a whole sheet before the signature can be
     checked.  */
  CONNECTIONS_MAX = 16,
  IDLE_SECONDS = 30,
  ADDRESS_PORT_BYTES = ADDRESS_BYTES + 8,
};

struct admin_port
{
  struct MHD_Daemon *daemon;
  admin_service_t service;
  char address_port[ADDRESS_PORT_BYTES]; /* part of the signed text */
  pthread_mutex_t lock;                  /* guards the verifier */
  credential_verifier_t *verifier;
  admin_metrics_t metrics;
};

/* The body of a request while it is received.  */
typedef struct upload
{
  usec_t started_at; /* monotonic clock */
  byte_buffer_t text;
  bool is_too_long; /* TEXT is incomplete */
} upload_t;

static enum MHD_Result
serve_submit (admin_port_t *port, admin_exchange_t *exchange,
              const upload_t *upload)
{
  err_t err = { 0 };
  admin_accepted_t accepted = { 0 };
  sheet_faults_t faults = { 0 };
  if (upload->is_too_long)
    {
      err_set (&err, ERR_LIMIT, "split the sheet or remove rows",
               "the request body exceeds the limit of %d bytes",
               SHEET_BYTES_MAX);
      return admin_reply_error (exchange, MHD_HTTP_CONTENT_TOO_LARGE, &err);
    }
  const char *text = upload->text.bytes ? upload->text.bytes : "";
  bool ok = admin_submit (&port->service, text, upload->text.length,
                          &exchange->credential->operator_name, &faults,
                          &accepted, &err);
  admin_metrics_sheet (&port->metrics, ok ? ERR_NONE : err.kind);
  if (ok)
    return admin_reply_accepted (exchange, &accepted);
  return admin_reply_refused (exchange, &faults, &err);
}

static enum MHD_Result
serve_sheet (admin_port_t *port, admin_exchange_t *exchange)
{
  size_t length = 0;
  char *text = admin_sheet (&port->service, &length);
  if (text)
    return admin_reply_text (exchange, MHD_HTTP_OK, "text/csv", text, length);
  err_t err = { 0 };
  err_set (&err, ERR_USAGE, "submit a sheet first",
           "no sheet has been accepted yet");
  return admin_reply_error (exchange, MHD_HTTP_NOT_FOUND, &err);
}

static enum MHD_Result
serve_status (admin_port_t *port, admin_exchange_t *exchange)
{
  admin_status_t status;
  admin_get_status (&port->service, &status);
  return admin_reply_status (exchange, port->service.settings,
                             port->service.self, &status);
}

static enum MHD_Result
serve (admin_port_t *port, admin_exchange_t *exchange, const upload_t *upload)
{
  const char *method = exchange->method;
  if (strcmp (exchange->target, "/v1/sheet") == 0)
    {
      if (strcmp (method, MHD_HTTP_METHOD_POST) == 0)
        return serve_submit (port, exchange, upload);
      if (strcmp (method, MHD_HTTP_METHOD_GET) == 0)
        return serve_sheet (port, exchange);
    }
  if (strcmp (exchange->target, "/v1/status") == 0
      && strcmp (method, MHD_HTTP_METHOD_GET) == 0)
    return serve_status (port, exchange);
  err_t err = { 0 };
  err_set (&err, ERR_USAGE, "docs/API.md lists the requests",
           "unknown method or path: %.8s %.100s", method, exchange->target);
  return admin_reply_error (exchange, MHD_HTTP_NOT_FOUND, &err);
}

/* Check the signature.  Returns false after the refusal has been queued, with
   libmicrohttpd's result in *QUEUED.  */
static bool
authenticate (admin_port_t *port, admin_exchange_t *exchange,
              const upload_t *upload, enum MHD_Result *queued)
{
  const credential_request_t signed_request
      = { .method = exchange->method,
          .target = exchange->target,
          .vm = port->address_port,
          .body = upload->text.bytes,
          .body_bytes = upload->text.length };
  exchange->authorization = MHD_lookup_connection_value (
      exchange->connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_AUTHORIZATION);
  pthread_mutex_lock (&port->lock);
  credential_verdict_t verdict = credential_verify (
      port->verifier, &signed_request, exchange->authorization, clock_wall (),
      &exchange->credential);
  pthread_mutex_unlock (&port->lock);
  if (verdict == CREDENTIAL_GOOD)
    return true;
  err_t err = { 0 };
  credential_verdict_error (verdict, &err);
  admin_metrics_refused (&port->metrics, verdict);
  LOG_EVENT (LOG_LEVEL_WARNING, "admin_refused",
             LOG_S ("reason", credential_verdict_name (verdict)),
             LOG_S ("from", exchange->sender_address),
             LOG_S ("method", exchange->method),
             LOG_S ("target", exchange->target));
  *queued = admin_reply_error (exchange, MHD_HTTP_UNAUTHORIZED, &err);
  return false;
}

static void
exchange_begin (admin_exchange_t *exchange, struct MHD_Connection *connection,
                const char *method, const char *target)
{
  *exchange = (admin_exchange_t){ .connection = connection,
                                  .method = method,
                                  .target = target };
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  if (info && info->client_addr->sa_family == AF_INET)
    inet_ntop (AF_INET,
               &((const struct sockaddr_in *)info->client_addr)->sin_addr,
               exchange->sender_address, sizeof exchange->sender_address);
}

static enum MHD_Result
serve_request (admin_port_t *port, struct MHD_Connection *connection,
               const char *method, const char *target, const upload_t *upload)
{
  admin_exchange_t exchange;
  enum MHD_Result queued = MHD_NO;
  exchange_begin (&exchange, connection, method, target);
  if (!authenticate (port, &exchange, upload, &queued))
    return queued;
  queued = serve (port, &exchange, upload);
  usec_t elapsed = clock_monotonic () - upload->started_at;
  admin_metrics_served (&port->metrics, elapsed);
  LOG_EVENT (LOG_LEVEL_INFO, "admin_request",
             LOG_S ("operator", exchange.credential->operator_name.text),
             LOG_S ("from", exchange.sender_address), LOG_S ("method", method),
             LOG_S ("target", target), LOG_U ("status", exchange.status),
             LOG_U ("number", exchange.number),
             LOG_S ("reason", exchange.reason), LOG_I ("usec", elapsed));
  return queued;
}

static void
upload_add (upload_t *upload, const char *data, size_t length)
{
  if (!byte_buffer_append (&upload->text, data, length, SHEET_BYTES_MAX))
    upload->is_too_long = true;
}

static enum MHD_Result
on_request (void *closure, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *data,
            size_t *data_bytes, void **state)
{
  (void)version;
  upload_t *upload = *state;
  if (!upload)
    {
      upload = calloc (1, sizeof *upload);
      if (!upload)
        return MHD_NO;
      upload->started_at = clock_monotonic ();
      *state = upload;
      return MHD_YES;
    }
  if (*data_bytes > 0)
    {
      upload_add (upload, data, *data_bytes);
      *data_bytes = 0;
      return MHD_YES;
    }
  return serve_request (closure, connection, method, url, upload);
}

static void
on_completed (void *closure, struct MHD_Connection *connection, void **state,
              enum MHD_RequestTerminationCode code)
{
  (void)closure;
  (void)connection;
  (void)code;
  upload_t *upload = *state;
  if (!upload)
    return;
  free (upload->text.bytes);
  free (upload);
  *state = NULL;
}

static bool
start_daemon (admin_port_t *port, const admin_port_options_t *options,
              err_t *err)
{
  struct sockaddr_in at
      = { .sin_family = AF_INET, .sin_port = htons (options->port) };
  inet_pton (AF_INET, options->address, &at.sin_addr);
  /* One thread per connection, as a submission blocks until its outcome is
     known.  */
  port->daemon = MHD_start_daemon (
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
      options->port, NULL, NULL, on_request, port, MHD_OPTION_SOCK_ADDR, &at,
      MHD_OPTION_CONNECTION_LIMIT, (unsigned int)CONNECTIONS_MAX,
      MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)IDLE_SECONDS,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_NOTIFY_COMPLETED,
      on_completed, NULL, MHD_OPTION_END);
  if (port->daemon)
    return true;
  return err_set (err, ERR_IO,
                  "check that this VM has the address and that no other "
                  "process listens on the port",
                  "can't listen on %s:%u", options->address, options->port);
}

admin_port_t *
admin_port_open (const admin_port_options_t *options, err_t *err)
{
  admin_port_t *port = calloc (1, sizeof *port);
  if (!port)
    abort ();
  port->service = options->service;
  snprintf (port->address_port, sizeof port->address_port, "%s:%u",
            options->address, options->port);
  pthread_mutex_init (&port->lock, NULL);
  port->verifier
      = credential_verifier_new (options->credentials, clock_wall ());
  if (!port->verifier)
    abort ();
  if (admin_metrics_register (&port->metrics, options->metrics, err)
      && start_daemon (port, options, err))
    return port;
  admin_port_close (port);
  return NULL;
}

void
admin_port_close (admin_port_t *port)
{
  if (port->daemon)
    MHD_stop_daemon (port->daemon);
  credential_verifier_free (port->verifier);
  pthread_mutex_destroy (&port->lock);
  free (port);
}
