#include "router/readiness_port.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include "platform_api.h"
#include "wire/http_reply.h"

enum
{
  CONNECTIONS_MAX = 32,
  IDLE_SECONDS = 10,
};

static const char not_found[] = "no such page; ask for " PATH_READY "\n";

struct readiness_port
{
  struct MHD_Daemon *daemon;
  _Atomic bool is_ready;
};

static enum MHD_Result
serve (void *closure, struct MHD_Connection *connection, const char *url,
       const char *method, const char *version, const char *data,
       size_t *data_bytes, void **context)
{
  (void)method;
  (void)version;
  (void)data;
  (void)data_bytes;
  (void)context;
  readiness_port_t *port = closure;
  if (strcmp (url, PATH_READY) != 0)
    return http_reply_text (connection, MHD_HTTP_NOT_FOUND, "text/plain",
                            not_found, strlen (not_found));
  bool is_ready = atomic_load (&port->is_ready);
  unsigned int status = is_ready ? MHD_HTTP_OK : MHD_HTTP_SERVICE_UNAVAILABLE;
  const char *text = is_ready ? "ready\n" : "not ready\n";
  return http_reply_text (connection, status, "text/plain", text,
                          strlen (text));
}

readiness_port_t *
readiness_port_open (const inet_t *at, err_t *err)
{
  readiness_port_t *port = calloc (1, sizeof *port);
  if (!port)
    abort ();
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (at->port),
                                 .sin_addr.s_addr = htonl (at->address) };
  port->daemon = MHD_start_daemon (
      MHD_USE_EPOLL_INTERNAL_THREAD, at->port, NULL, NULL, serve, port,
      MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address,
      MHD_OPTION_CONNECTION_LIMIT, (unsigned int)CONNECTIONS_MAX,
      MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)IDLE_SECONDS,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
  if (port->daemon)
    return port;
  free (port);
  err_set (err, ERR_IO,
           "check that `readiness` in the settings is a free address of "
           "this VM",
           "cannot open the readiness port");
  return NULL;
}

void
readiness_port_close (readiness_port_t *port)
{
  MHD_stop_daemon (port->daemon);
  free (port);
}

void
readiness_port_set (readiness_port_t *port, bool is_ready)
{
  atomic_store (&port->is_ready, is_ready);
}
