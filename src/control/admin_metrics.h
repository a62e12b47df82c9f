/* admin_metrics: what the administration port counts.  */

#ifndef CONTROL_ADMIN_METRICS_H
#define CONTROL_ADMIN_METRICS_H

#include "base/metrics.h"
#include "wire/credential.h"

typedef struct admin_metrics
{
  counter_t *refused[CREDENTIAL_VERDICTS]; /* by verdict but the good one */
  counter_t *sheets[ERR_INTERNAL + 1];     /* by kind; ERR_NONE: accepted */
  histogram_t *served;
} admin_metrics_t;

bool admin_metrics_register (admin_metrics_t *own, metrics_t *metrics,
                             err_t *err);

/* A request was refused for its credential.  */
void admin_metrics_refused (admin_metrics_t *own,
                            credential_verdict_t verdict);

/* A sheet was accepted (ERR_NONE) or refused.  */
void admin_metrics_sheet (admin_metrics_t *own, err_kind_t kind);

/* A signed request was answered after TOOK.  */
void admin_metrics_served (admin_metrics_t *own, usec_t took);

#endif
