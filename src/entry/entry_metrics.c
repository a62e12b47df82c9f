#include "entry/entry_metrics.h"

#include <stdlib.h>

#include "base/clock.h"
#include "delivery/outcome.h"

enum
{
  N_OUTCOMES = EXCHANGE_UNKNOWN + 1,
  N_REASONS = REASON_ANSWER_NOT_KEPT + 1,
};

/* The metrics of one service.  */
typedef struct service_metrics
{
  histogram_t *latency;
  counter_t *outcomes[N_OUTCOMES];
} service_metrics_t;

struct entry_metrics
{
  metrics_t *registry;
  service_metrics_t *services;
  size_t n_services;
  counter_t *refused[N_REASONS]; /* not run or unknown, by reason */
  counter_t *lookups;
  counter_t *bad_requests;
  gauge_t *sheet_number;
  gauge_t *sheet_since;
};

static bool
register_service (metrics_t *registry, service_metrics_t *metrics,
                  const name_t *organisation, const service_t *service,
                  err_t *err)
{
  metric_options_t options = { .name = "mulberry_request_usec",
                               .help = "Time to the outcome",
                               .organisation = organisation->text,
                               .service = service->name.text,
                               .request_class = service->request_class.text };
  metrics->latency = metrics_histogram (registry, &options, err);
  if (!metrics->latency)
    return false;
  options.name = "mulberry_requests_total";
  options.help = "Requests by outcome";
  for (size_t i = 0; i < N_OUTCOMES; i++)
    {
      options.reason = exchange_outcome_name ((exchange_outcome_t)i);
      metrics->outcomes[i] = metrics_counter (registry, &options, err);
      if (!metrics->outcomes[i])
        return false;
    }
  return true;
}

static bool
register_refused (entry_metrics_t *metrics, err_t *err)
{
  for (size_t i = 0; i < N_REASONS; i++)
    {
      const metric_options_t options
          = { .name = "mulberry_refused_total",
              .help = "Requests without an answer, by reason",
              .reason = request_reason_name ((request_reason_t)i) };
      metrics->refused[i] = metrics_counter (metrics->registry, &options, err);
      if (!metrics->refused[i])
        return false;
    }
  return true;
}

static bool
register_vm (entry_metrics_t *metrics, err_t *err)
{
  const metric_options_t lookups
      = { .name = "mulberry_lookups_total", .help = "Look-ups answered" };
  const metric_options_t bad = { .name = "mulberry_bad_requests_total",
                                 .help = "Requests that name no service" };
  const metric_options_t number = { .name = "mulberry_sheet_number",
                                    .help = "Number of the sheet in force" };
  const metric_options_t since
      = { .name = "mulberry_sheet_since_seconds",
          .help = "Since when it is in force, seconds since 1970" };
  metrics->lookups = metrics_counter (metrics->registry, &lookups, err);
  metrics->bad_requests = metrics_counter (metrics->registry, &bad, err);
  metrics->sheet_number = metrics_gauge (metrics->registry, &number, err);
  metrics->sheet_since = metrics_gauge (metrics->registry, &since, err);
  return metrics->lookups && metrics->bad_requests && metrics->sheet_number
         && metrics->sheet_since;
}

static bool
register_services (entry_metrics_t *metrics, const topology_t *topology,
                   err_t *err)
{
  metrics->n_services = topology->n_services;
  metrics->services = calloc (topology->n_services, sizeof *metrics->services);
  for (size_t i = 0; metrics->services && i < topology->n_services; i++)
    if (!register_service (metrics->registry, &metrics->services[i],
                           &topology->organisation, &topology->services[i],
                           err))
      return false;
  return metrics->services != NULL;
}

entry_metrics_t *
entry_metrics_new (const topology_t *topology, err_t *err)
{
  entry_metrics_t *metrics = calloc (1, sizeof *metrics);
  if (!metrics)
    abort ();
  metrics->registry = metrics_new ();
  if (metrics->registry && register_services (metrics, topology, err)
      && register_refused (metrics, err) && register_vm (metrics, err))
    return metrics;
  entry_metrics_free (metrics);
  return NULL;
}

void
entry_metrics_free (entry_metrics_t *metrics)
{
  if (!metrics)
    return;
  metrics_free (metrics->registry);
  free (metrics->services);
  free (metrics);
}

metrics_t *
entry_metrics_registry (entry_metrics_t *metrics)
{
  return metrics->registry;
}

const gauge_t *
entry_metrics_sheet_number (const entry_metrics_t *metrics)
{
  return metrics->sheet_number;
}

void
entry_metrics_count_lookup (entry_metrics_t *metrics)
{
  counter_add (metrics->lookups, 1);
}

void
entry_metrics_record_outcome (entry_metrics_t *metrics,
                              const exchange_t *exchange, usec_t duration)
{
  if (exchange->outcome != EXCHANGE_ANSWER)
    counter_add (metrics->refused[exchange->reason], 1);
  if (exchange->service >= metrics->n_services)
    {
      counter_add (metrics->bad_requests, 1);
      return;
    }
  service_metrics_t *service = &metrics->services[exchange->service];
  counter_add (service->outcomes[exchange->outcome], 1);
  histogram_record (service->latency, duration);
}

void
entry_metrics_set_sheet (entry_metrics_t *metrics, uint64_t number)
{
  gauge_set (metrics->sheet_number, (int64_t)number);
  gauge_set (metrics->sheet_since, clock_wall () / USEC_PER_SEC);
}
