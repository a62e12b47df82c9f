#include "control/admin_metrics.h"

static bool
register_refused (admin_metrics_t *admin, metrics_t *metrics, err_t *err)
{
  for (size_t i = CREDENTIAL_MISSING; i < CREDENTIAL_VERDICTS; i++)
    {
      const metric_options_t options
          = { .name = "mulberry_admin_refused_total",
              .help = "Requests refused because of their credential",
              .reason = credential_verdict_name (i) };
      admin->refused[i] = metrics_counter (metrics, &options, err);
      if (!admin->refused[i])
        return false;
    }
  return true;
}

static bool
register_sheets (admin_metrics_t *admin, metrics_t *metrics, err_t *err)
{
  for (size_t i = 0; i <= ERR_INTERNAL; i++)
    {
      const metric_options_t options
          = { .name = "mulberry_sheets_total",
              .help = "Sheets submitted to this VM, by outcome",
              .reason = i == ERR_NONE ? "accepted" : err_kind_name (i) };
      admin->sheets[i] = metrics_counter (metrics, &options, err);
      if (!admin->sheets[i])
        return false;
    }
  return true;
}

bool
admin_metrics_register (admin_metrics_t *admin, metrics_t *metrics, err_t *err)
{
  const metric_options_t request_usec
      = { .name = "mulberry_admin_usec",
          .help = "Time to answer a signed request" };
  admin->request_usec = metrics_histogram (metrics, &request_usec, err);
  return admin->request_usec && register_refused (admin, metrics, err)
         && register_sheets (admin, metrics, err);
}

void
admin_metrics_refused (admin_metrics_t *admin, credential_verdict_t verdict)
{
  counter_add (admin->refused[verdict], 1);
}

void
admin_metrics_sheet (admin_metrics_t *admin, err_kind_t kind)
{
  counter_add (admin->sheets[kind], 1);
}

void
admin_metrics_served (admin_metrics_t *admin, usec_t elapsed)
{
  histogram_record (admin->request_usec, elapsed);
}
