/* admin_metrics: metrics of the administration port.  Thread-safe after
   admin_metrics_register.  */

#ifndef CONTROL_ADMIN_METRICS_H
#define CONTROL_ADMIN_METRICS_H

#include "base/metrics.h"
#include "wire/credential.h"

typedef struct admin_metrics
{
  counter_t *refused[CREDENTIAL_VERDICTS]; /* NULL at CREDENTIAL_GOOD */
  counter_t *sheets[ERR_INTERNAL + 1];     /* by error; ERR_NONE: accepted */
  histogram_t *request_usec;
} admin_metrics_t;

/* Register all metrics in METRICS, which owns them.  */
bool admin_metrics_register (admin_metrics_t *admin, metrics_t *metrics,
                             err_t *err);

/* Count a request that was refused because of its credential.  */
void admin_metrics_refused (admin_metrics_t *admin,
                            credential_verdict_t verdict);

/* Count a sheet that was accepted (KIND is ERR_NONE) or refused.  */
void admin_metrics_sheet (admin_metrics_t *admin, err_kind_t kind);

/* Record that a signed request was answered after ELAPSED.  */
void admin_metrics_served (admin_metrics_t *admin, usec_t elapsed);

#endif
