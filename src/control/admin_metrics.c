#include "control/admin_metrics.h"

static bool
register_refused (admin_metrics_t *own, metrics_t *metrics, err_t *err)
{
  for (size_t i = CREDENTIAL_MISSING; i < CREDENTIAL_VERDICTS; i++)
    {
      const metric_options_t options
          = { .name = "mulberry_admin_refused_total",
              .help = "Requests refused for their credential",
              .reason = credential_verdict_name (i) };
      own->refused[i] = metrics_counter (metrics, &options, err);
      if (!own->refused[i])
        return false;
    }
  return true;
}

static bool
register_sheets (admin_metrics_t *own, metrics_t *metrics, err_t *err)
{
  for (size_t i = 0; i <= ERR_INTERNAL; i++)
    {
      const metric_options_t options
          = { .name = "mulberry_sheets_total",
              .help = "Sheets submitted here, by outcome",
              .reason = i == ERR_NONE ? "accepted" : err_kind_name (i) };
      own->sheets[i] = metrics_counter (metrics, &options, err);
      if (!own->sheets[i])
        return false;
    }
  return true;
}

bool
admin_metrics_register (admin_metrics_t *own, metrics_t *metrics, err_t *err)
{
  const metric_options_t served
      = { .name = "mulberry_admin_usec",
          .help = "Time to answer a signed request" };
  own->served = metrics_histogram (metrics, &served, err);
  return own->served && register_refused (own, metrics, err)
         && register_sheets (own, metrics, err);
}

void
admin_metrics_refused (admin_metrics_t *own, credential_verdict_t verdict)
{
  counter_add (own->refused[verdict], 1);
}

void
admin_metrics_sheet (admin_metrics_t *own, err_kind_t kind)
{
  counter_add (own->sheets[kind], 1);
}

void
admin_metrics_served (admin_metrics_t *own, usec_t took)
{
  histogram_record (own->served, took);
}
