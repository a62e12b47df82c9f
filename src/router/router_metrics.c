#include "router/router_metrics.h"

#include <stdlib.h>

#include "base/name.h"

/* The names that have counters of their own.  */
typedef struct label_set
{
  size_t n;
  size_t max;
  name_t names[BACKENDS_COUNTED_MAX];
} label_set_t;

struct router_metrics
{
  metrics_t *metrics;
  label_set_t backends;
  label_set_t accounts;
};

_Static_assert((int)ACCOUNTS_COUNTED_MAX <= (int)BACKENDS_COUNTED_MAX,
               "a set of labels is too small");

router_metrics_t *
router_metrics_new (metrics_t *metrics)
{
  router_metrics_t *router = calloc (1, sizeof *router);
  if (!router)
    abort ();
  router->metrics = metrics;
  router->backends.max = BACKENDS_COUNTED_MAX;
  router->accounts.max = ACCOUNTS_COUNTED_MAX;
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
count_n (router_metrics_t *metrics, const metric_options_t *options,
         uint64_t n)
{
  counter_t *counter = metrics_counter (metrics->metrics, options, NULL);
  if (counter)
    counter_add (counter, n);
}

static void
count (router_metrics_t *metrics, const metric_options_t *options)
{
  count_n (metrics, options, 1);
}

/* The label of NAME: itself, or "other" if SET is full.  */
static const char *
label_of (label_set_t *set, const char *name)
{
  size_t at = name_find (set->names, set->n, name);
  if (at < set->n)
    return set->names[at].text;
  if (set->n == set->max || !name_parse (&set->names[set->n], name, NULL))
    return "other";
  return set->names[set->n++].text;
}

void
router_metrics_account (router_metrics_t *metrics, const char *account,
                        bool is_within_quota)
{
  const metric_options_t asked
      = { .name = "mulberry_router_account_requests_total",
          .help = "Requests of client accounts, by account and quota",
          .request_class = label_of (&metrics->accounts, account),
          .reason = is_within_quota ? "admitted" : "quota" };
  count (metrics, &asked);
}

void
router_metrics_extra_bytes (router_metrics_t *metrics, const char *backend_id,
                            const char *where)
{
  const metric_options_t extra
      = { .name = "mulberry_router_extra_bytes_total",
          .help = "Bytes of no request, by backend server and where seen",
          .request_class = label_of (&metrics->backends, backend_id),
          .reason = where };
  count (metrics, &extra);
}

void
router_metrics_id_sent_again (router_metrics_t *metrics,
                              const char *backend_id)
{
  const metric_options_t again
      = { .name = "mulberry_router_ids_sent_again_total",
          .help = "Requests whose connection had carried their id before, by "
                  "backend server",
          .request_class = label_of (&metrics->backends, backend_id) };
  count (metrics, &again);
}

void
router_metrics_not_whole (router_metrics_t *metrics, const char *backend_id)
{
  const metric_options_t part
      = { .name = "mulberry_router_not_whole_total",
          .help = "Responses that were not whole, by backend server",
          .request_class = label_of (&metrics->backends, backend_id) };
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
router_metrics_request_carried (router_metrics_t *metrics, const char *service)
{
  const metric_options_t carried
      = { .name = "mulberry_router_carried_total",
          .help = "Requests sent to other routers, as no backend server was "
                  "in reach",
          .service = service };
  count (metrics, &carried);
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
  count_n (metrics, &invalid, n);
}

void
router_metrics_connection_refused (router_metrics_t *metrics,
                                   const char *service)
{
  const metric_options_t refused
      = { .name = "mulberry_router_connections_refused_total",
          .help = "Connections that backend servers refused",
          .service = service };
  count (metrics, &refused);
}

void
router_metrics_abandoned_dropped (router_metrics_t *metrics, uint64_t n)
{
  const metric_options_t dropped
      = { .name = "mulberry_router_abandoned_dropped_total",
          .help = "Requests given up on and forgotten for want of room" };
  count_n (metrics, &dropped, n);
}

void
router_metrics_needless_limit (router_metrics_t *metrics, const char *service,
                               usec_t span)
{
  const metric_options_t needless
      = { .name = "mulberry_router_needless_limit_msec_total",
          .help = "Time that backend servers are limited which are not cold",
          .service = service };
  count_n (metrics, &needless, (uint64_t)(span / USEC_PER_MSEC));
}

void
router_metrics_cold_datagrams_sent (router_metrics_t *metrics, size_t n)
{
  const metric_options_t sent
      = { .name = "mulberry_router_cold_datagrams_sent_total",
          .help = "Datagrams on cold backend servers to other routers" };
  count_n (metrics, &sent, n);
}

void
router_metrics_cold_datagram_ignored (router_metrics_t *metrics,
                                      const char *reason)
{
  const metric_options_t ignored
      = { .name = "mulberry_router_cold_datagrams_ignored_total",
          .help = "Datagrams on cold backend servers that were not used",
          .reason = reason };
  count (metrics, &ignored);
}
