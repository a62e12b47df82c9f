#include "router/router_metrics.h"

#include <stdlib.h>
#include <string.h>

#include "base/name.h"

struct router_metrics
{
  metrics_t *metrics;
  size_t n_backends;
  name_t backends[BACKENDS_COUNTED_MAX]; /* that have counters of their own */
};

router_metrics_t *
router_metrics_new (metrics_t *metrics)
{
  router_metrics_t *router = calloc (1, sizeof *router);
  if (!router)
    abort ();
  router->metrics = metrics;
  return router;
}

void
router_metrics_free (router_metrics_t *metrics)
{
  free (metrics);
}

/* Registering a metric again returns the same one.  It is registered at each
   use, because services are added and removed with the configuration.  */
static void
count (router_metrics_t *metrics, const metric_options_t *options)
{
  counter_t *counter = metrics_counter (metrics->metrics, options, NULL);
  if (counter)
    counter_add (counter, 1);
}

/* The label of the backend server ID.  */
static const char *
backend_label (router_metrics_t *metrics, const char *id)
{
  for (size_t i = 0; i < metrics->n_backends; i++)
    if (strcmp (metrics->backends[i].text, id) == 0)
      return metrics->backends[i].text;
  if (metrics->n_backends == BACKENDS_COUNTED_MAX
      || !name_parse (&metrics->backends[metrics->n_backends], id, NULL))
    return "other";
  return metrics->backends[metrics->n_backends++].text;
}

void
router_metrics_extra_bytes (router_metrics_t *metrics, const char *backend_id,
                            const char *where)
{
  const metric_options_t extra
      = { .name = "mulberry_router_extra_bytes_total",
          .help = "Bytes of no request, by backend server and where seen",
          .request_class = backend_label (metrics, backend_id),
          .reason = where };
  count (metrics, &extra);
}

void
router_metrics_not_whole (router_metrics_t *metrics, const char *backend_id)
{
  const metric_options_t part
      = { .name = "mulberry_router_not_whole_total",
          .help = "Responses that were not whole, by backend server",
          .request_class = backend_label (metrics, backend_id) };
  count (metrics, &part);
}

void
router_metrics_request_ended (router_metrics_t *metrics, const char *service,
                              const char *reason, usec_t latency)
{
  const metric_options_t ended = { .name = "mulberry_router_requests_total",
                                   .help = "Requests that ended, by reason",
                                   .service = service,
                                   .reason = reason };
  count (metrics, &ended);
  const metric_options_t span
      = { .name = "mulberry_router_request_usec",
          .help = "Time from receiving a request to its response",
          .service = service };
  histogram_t *histogram = metrics_histogram (metrics->metrics, &span, NULL);
  if (histogram)
    histogram_record (histogram, latency);
}

void
router_metrics_request_sent (router_metrics_t *metrics, const char *service,
                             bool is_retry)
{
  const metric_options_t sent = { .name = "mulberry_router_sent_total",
                                  .help = "Requests sent to backend servers",
                                  .service = service,
                                  .reason = is_retry ? "again" : "first" };
  count (metrics, &sent);
}

void
router_metrics_response_ended (router_metrics_t *metrics, const char *service,
                               const char *framing, const char *connection_end)
{
  const metric_options_t ended
      = { .name = "mulberry_router_responses_total",
          .help
          = "Responses of backend servers, by framing and connection end",
          .service = service,
          .request_class = framing,
          .reason = connection_end };
  count (metrics, &ended);
}

void
router_metrics_invalid_notices (router_metrics_t *metrics, const char *service,
                                size_t n)
{
  const metric_options_t invalid
      = { .name = "mulberry_router_invalid_notices_total",
          .help = "Fields of backend servers that could not be read",
          .service = service };
  for (size_t i = 0; i < n; i++)
    count (metrics, &invalid);
}
