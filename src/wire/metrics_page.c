#include "wire/metrics_page.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  CONNECTIONS_MAX = 32,
  IDLE_SECONDS = 10,
  CONNECTION_BYTES = 4 * 1024,
  PROBLEM_BYTES = 256,
};

struct metrics_page
{
  struct MHD_Daemon *daemon;
  metrics_t *metrics;
  counter_t *refused;
  const gauge_t *ready; /* NULL: always ready */
  const char *not_ready;
  pthread_mutex_t lock; /* guards problem */
  char problem[PROBLEM_BYTES];
};

/* Queue a response with TEXT; MODE says whether libmicrohttpd copies, frees or
   borrows TEXT.  */
static enum MHD_Result
answer (struct MHD_Connection *connection, unsigned status, char *text,
        enum MHD_ResponseMemoryMode mode)
{
  struct MHD_Response *response
      = MHD_create_response_from_buffer (strlen (text), text, mode);
  if (!response)
    return MHD_NO;
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE,
                           "text/plain; charset=utf-8");
  enum MHD_Result queued = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return queued;
}

static enum MHD_Result
refuse (metrics_page_t *page, struct MHD_Connection *connection,
        unsigned status, const char *reason)
{
  counter_add (page->refused, 1);
  return answer (connection, status, (char *)reason, MHD_RESPMEM_PERSISTENT);
}

static enum MHD_Result
answer_metrics (metrics_page_t *page, struct MHD_Connection *connection)
{
  char *text = metrics_render (page->metrics, NULL);
  if (!text)
    return refuse (page, connection, MHD_HTTP_INTERNAL_SERVER_ERROR,
                   "out of memory\n");
  return answer (connection, MHD_HTTP_OK, text, MHD_RESPMEM_MUST_FREE);
}

static enum MHD_Result
answer_health (metrics_page_t *page, struct MHD_Connection *connection)
{
  char text[PROBLEM_BYTES + 2];
  pthread_mutex_lock (&page->lock);
  const char *problem = page->problem;
  if (!*problem && page->ready && gauge_read (page->ready) == 0)
    problem = page->not_ready;
  bool healthy = *problem == '\0';
  snprintf (text, sizeof text, "%s\n", healthy ? "ok" : problem);
  pthread_mutex_unlock (&page->lock);
  return answer (connection,
                 healthy ? MHD_HTTP_OK : MHD_HTTP_SERVICE_UNAVAILABLE, text,
                 MHD_RESPMEM_MUST_COPY);
}

static enum MHD_Result
handle_request (void *closure, struct MHD_Connection *connection,
                const char *url, const char *method, const char *version,
                const char *body, size_t *body_size, void **state)
{
  (void)version;
  (void)body;
  (void)body_size;
  (void)state;
  metrics_page_t *page = closure;
  if (strcmp (method, MHD_HTTP_METHOD_GET) != 0)
    return refuse (page, connection, MHD_HTTP_METHOD_NOT_ALLOWED,
                   "only GET is answered here\n");
  if (strcmp (url, "/metrics") == 0)
    return answer_metrics (page, connection);
  if (strcmp (url, "/health") == 0)
    return answer_health (page, connection);
  return refuse (page, connection, MHD_HTTP_NOT_FOUND,
                 "no such page: ask for /metrics or /health\n");
}

static bool
start_daemon (metrics_page_t *page, const metrics_page_options_t *options,
              err_t *err)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (options->port) };
  if (inet_pton (AF_INET, options->address, &address.sin_addr) != 1)
    return err_set (err, ERR_SETTINGS, "give a dotted IPv4 address",
                    "the metrics address '%s' is not dotted IPv4",
                    options->address);
  page->daemon = MHD_start_daemon (
      MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_EPOLL, options->port, NULL,
      NULL, handle_request, page, MHD_OPTION_SOCK_ADDR, &address,
      MHD_OPTION_CONNECTION_LIMIT, (unsigned)CONNECTIONS_MAX,
      MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)IDLE_SECONDS,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_BYTES,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
  if (!page->daemon)
    return err_set (err, ERR_IO, "free the port, or change metrics_port",
                    "can't listen on %s:%u for metrics", options->address,
                    options->port);
  return true;
}

metrics_page_t *
metrics_page_start (const metrics_page_options_t *options, err_t *err)
{
  metrics_page_t *page = calloc (1, sizeof *page);
  if (!page)
    {
      err_set (err, ERR_LIMIT, "give the VM more memory", "out of memory");
      return NULL;
    }
  page->metrics = options->metrics;
  page->ready = options->ready;
  page->not_ready = options->not_ready;
  pthread_mutex_init (&page->lock, NULL);
  const metric_options_t refused
      = { .name = "mulberry_metrics_refused_total",
          .help = "Requests to the metrics page that it does not serve" };
  page->refused = metrics_counter (page->metrics, &refused, err);
  if (page->refused && start_daemon (page, options, err))
    return page;
  metrics_page_stop (page);
  return NULL;
}

uint16_t
metrics_page_port (const metrics_page_t *page)
{
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (page->daemon, MHD_DAEMON_INFO_BIND_PORT);
  return info ? info->port : 0;
}

void
metrics_page_set_health (metrics_page_t *page, const char *problem)
{
  pthread_mutex_lock (&page->lock);
  snprintf (page->problem, sizeof page->problem, "%s", problem ? problem : "");
  pthread_mutex_unlock (&page->lock);
}

void
metrics_page_stop (metrics_page_t *page)
{
  if (page->daemon)
    MHD_stop_daemon (page->daemon);
  pthread_mutex_destroy (&page->lock);
  free (page);
}
