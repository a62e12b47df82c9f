#include "control/admin_port.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "control/sheet_port.h"
#include "control/status_page.h"
#include "shift/sheet.h"
#include "wire/http_reply.h"

enum
{
  CONNECTIONS_MAX = 64,
  IDLE_SECONDS = 30,
  THREADS = 8, /* a submission waits in its thread for a majority */
};

struct admin_port
{
  struct MHD_Daemon *daemon;
  admin_port_options_t options;
};

/* One request's body as it comes in.  */
typedef struct upload
{
  char *text;
  size_t length;
  bool too_long;
} upload_t;

static enum MHD_Result
reply_submitted (struct MHD_Connection *connection,
                 const sheet_record_t *winner)
{
  char digest[2 * SHEET_DIGEST_BYTES + 1];
  sheet_digest_text (winner, digest);
  char text[256];
  int n = snprintf (text, sizeof text,
                    "{\"status\":\"accepted\",\"number\":%llu,"
                    "\"operator\":\"%s\",\"digest\":\"%s\"}",
                    (unsigned long long)winner->number,
                    winner->operator_name.text, digest);
  return http_reply_text (connection, MHD_HTTP_OK, "application/json", text,
                          (size_t)n);
}

static enum MHD_Result
serve_submit (admin_port_t *port, struct MHD_Connection *connection,
              const upload_t *upload)
{
  err_t err = { 0 };
  sheet_record_t winner;
  if (upload->too_long)
    err_set (&err, ERR_LIMIT, "split the sheet or remove rows",
             "the body has more than %d bytes", SHEET_BYTES_MAX);
  else if (sheet_submit (port->options.core, port->options.topology,
                         upload->text ? upload->text : "", upload->length,
                         &winner, &err))
    {
      LOG_EVENT (LOG_LEVEL_INFO, "sheet_accepted",
                 LOG_U ("number", winner.number));
      return reply_submitted (connection, &winner);
    }
  log_error (LOG_LEVEL_WARNING, "sheet_refused", &err);
  return http_reply_error (connection, &err);
}

static enum MHD_Result
serve_show (admin_port_t *port, struct MHD_Connection *connection)
{
  size_t length = 0;
  char *text = accepted_text (port->options.accepted, &length);
  if (!text)
    {
      err_t err = { 0 };
      err_set (&err, ERR_UNAVAILABLE, "submit a sheet first",
               "no sheet has been accepted yet");
      return http_reply_error (connection, &err);
    }
  enum MHD_Result result
      = http_reply_text (connection, MHD_HTTP_OK, "text/csv", text, length);
  free (text);
  return result;
}

static enum MHD_Result
serve_status (admin_port_t *port, struct MHD_Connection *connection)
{
  char *text = status_page (port->options.topology, port->options.accepted,
                            port->options.core);
  enum MHD_Result result = http_reply_text (
      connection, MHD_HTTP_OK, "application/json", text, strlen (text));
  free (text);
  return result;
}

static void
upload_add (upload_t *upload, const char *data, size_t length)
{
  if (upload->length + length > SHEET_BYTES_MAX)
    {
      upload->too_long = true;
      return;
    }
  char *grown = realloc (upload->text, upload->length + length + 1);
  if (!grown)
    abort ();
  memcpy (grown + upload->length, data, length);
  upload->text = grown;
  upload->length += length;
  upload->text[upload->length] = '\0';
}

static enum MHD_Result
on_request (void *closure, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *data,
            size_t *data_bytes, void **state)
{
  (void)version;
  admin_port_t *port = closure;
  upload_t *upload = *state;
  if (!upload)
    {
      *state = calloc (1, sizeof *upload);
      return *state ? MHD_YES : MHD_NO;
    }
  if (*data_bytes > 0)
    {
      upload_add (upload, data, *data_bytes);
      *data_bytes = 0;
      return MHD_YES;
    }
  if (strcmp (url, "/v1/sheet") == 0 && strcmp (method, "POST") == 0)
    return serve_submit (port, connection, upload);
  if (strcmp (url, "/v1/sheet") == 0 && strcmp (method, "GET") == 0)
    return serve_show (port, connection);
  if (strcmp (url, "/v1/status") == 0 && strcmp (method, "GET") == 0)
    return serve_status (port, connection);
  err_t err = { 0 };
  err_set (&err, ERR_USAGE, "docs/API.md lists the requests",
           "no such request: %.8s %.100s", method, url);
  return http_reply_error (connection, &err);
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
  free (upload->text);
  free (upload);
  *state = NULL;
}

admin_port_t *
admin_port_open (const admin_port_options_t *options, err_t *err)
{
  admin_port_t *port = calloc (1, sizeof *port);
  if (!port)
    abort ();
  port->options = *options;
  struct sockaddr_in at
      = { .sin_family = AF_INET, .sin_port = htons (options->port) };
  inet_pton (AF_INET, options->address, &at.sin_addr);
  port->daemon = MHD_start_daemon (
      MHD_USE_INTERNAL_POLLING_THREAD, options->port, NULL, NULL, on_request,
      port, MHD_OPTION_SOCK_ADDR, &at, MHD_OPTION_CONNECTION_LIMIT,
      (unsigned int)CONNECTIONS_MAX, MHD_OPTION_CONNECTION_TIMEOUT,
      (unsigned int)IDLE_SECONDS, MHD_OPTION_THREAD_POOL_SIZE,
      (unsigned int)THREADS, MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
      MHD_OPTION_END);
  if (port->daemon)
    return port;
  err_set (err, ERR_IO,
           "check that this VM has the address and that no other process "
           "holds the port",
           "can't listen on %s:%u", options->address, options->port);
  free (port);
  return NULL;
}

void
admin_port_close (admin_port_t *port)
{
  MHD_stop_daemon (port->daemon);
  free (port);
}
