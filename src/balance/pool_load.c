/* What is known of the load that other routers cause.  */

#include "balance/pool_internal.h"

enum
{
  LOAD_MEAN_DIVISOR = 8, /* a new report has a weight of 1/8 in the mean */
  PACE_MAX = 1000,       /* percent; no server that is believed is slower */
};

void
pool_load_update (backend_t *backend, uint32_t total, uint32_t pace, usec_t at)
{
  backend->other_load
      = total > backend->in_flight ? total - backend->in_flight : 0;
  backend->load_reported_at = at;
  backend->pace = pace < PACE_MAX ? pace : PACE_MAX;
  backend->other_load_mean
      += (backend->other_load - backend->other_load_mean) / LOAD_MEAN_DIVISOR;
}

/* This router's own reports come back later by the time that they travelled.
 */
#define ECHO_TIME (50 * USEC_PER_MSEC)

static void
hear (backend_t *backend, const load_report_t *report, usec_t now)
{
  if (report->lacks_load
      || report->at <= backend->load_reported_at + ECHO_TIME)
    return;
  pool_load_update (backend, (uint32_t)report->running + report->waiting,
                    report->pace, report->at);
  backend_quality_update (&backend->quality, report->has_failed,
                          report->duration, LOAD_PACE_NORMAL, now);
}

size_t
backend_pool_hear_loads (backend_pool_t *pool, const load_report_t *reports,
                         size_t n, usec_t now)
{
  size_t at = 0;
  size_t n_limits = 0;
  for (size_t i = 0; i < pool->n_by_id; i++)
    {
      uint32_t id = pool->by_load_id[i]->load_id;
      while (at < n && reports[at].server < id)
        at++;
      if (at == n || reports[at].server != id)
        continue;
      backend_t *backend = pool->by_load_id[i];
      hear (backend, &reports[at], now);
      n_limits += pool_limit_hear_told (pool, backend, reports[at].limit,
                                        reports[at].at, now);
    }
  return n_limits;
}
