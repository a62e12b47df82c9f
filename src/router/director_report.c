/* director_report: what a router tells directors beside its own state, and
   what they tell it for its limiter and its pool.  */

#include "router/director_sync_internal.h"

#include <math.h>

#include "base/log.h"

/* What backend servers say of themselves is told at most this often.  */
#define NOTICES_INTERVAL USEC_PER_SEC
/* Load reports that were heard earlier are not told.  */
#define HEARD_LIFETIME USEC_PER_SEC

/* Fill in the crashes that DIRECTOR does not know yet. */
static void
add_crashes (director_sync_t *sync, uint32_t director, fleet_pull_args_t *args,
             crash_report_t *report, usec_t now)
{
  if (director != sync->crashes_director)
    sync->crashes_known = 0;
  sync->crashes_director = director;
  crash_wire_write (sync->crashes, sync->crashes_known, report, now);
  sync->crashes_sent = report->sequence;
  args->suspects.suspects_val = report->suspects;
  args->suspects.suspects_len = (u_int)report->n;
}

/* Fill in what backend servers have said of themselves, if that is due.
   NOTICES has room for NOTICES_MAX.  */
static void
add_notices (director_sync_t *sync, fleet_pull_args_t *args,
             fleet_notice_t *notices, usec_t now)
{
  told_notice_t told[NOTICES_MAX];
  if (now < sync->notices_told_at + NOTICES_INTERVAL)
    return;
  sync->notices_told_at = now;
  size_t n = backend_pool_notices (sync->pool, told, NOTICES_MAX, now);
  notice_wire_write (told, n, notices, now);
  args->tells_notices = true;
  args->notices.notices_val = notices;
  args->notices.notices_len = (u_int)n;
}

/* Fill in what was done for client accounts.  WIRE has room for
   QUOTA_USAGES_MAX.  */
static void
add_usages (director_sync_t *sync, fleet_pull_args_t *args,
            fleet_usage_t *wire, usec_t now)
{
  quota_usage_t usages[QUOTA_USAGES_MAX];
  if (!sync->limiter)
    return;
  size_t n = limiter_report (sync->limiter, usages, now);
  for (size_t i = 0; i < n; i++)
    wire[i] = (fleet_usage_t){ .account = usages[i].account,
                               .admitted = usages[i].admitted,
                               .asked = usages[i].asked };
  args->usages.usages_val = wire;
  args->usages.usages_len = (u_int)n;
}

/* Fill in the load reports that were heard and not told yet.  WIRE has room
   for LOADS_MAX.  */
static void
add_loads (director_sync_t *sync, fleet_pull_args_t *args, fleet_load_t *wire,
           usec_t now)
{
  static load_report_t reports[LOADS_MAX];
  args->source = sync->source;
  args->loads_known = sync->loads_known;
  if (!sync->heard_loads)
    return;
  size_t n = load_table_changed (sync->heard_loads, sync->heard_known,
                                 now - HEARD_LIFETIME, reports, LOADS_MAX);
  sync->heard_sent = sync->heard_loads->n_changes;
  load_wire_write (reports, n, wire, now);
  args->loads.loads_val = wire;
  args->loads.loads_len = (u_int)n;
}

/* Fill in the cold backend servers that were seen and not told yet.  WIRE has
   room for COLDS_MAX.  */
static void
add_colds (director_sync_t *sync, fleet_pull_args_t *args, fleet_cold_t *wire,
           usec_t now)
{
  static cold_report_t reports[COLDS_MAX];
  args->colds_known = sync->colds_known;
  if (!sync->seen_colds)
    return;
  const cold_query_t query = { .after = sync->seen_known, .now = now };
  size_t n = cold_table_changed (sync->seen_colds, &query, reports, COLDS_MAX,
                                 &sync->seen_sent);
  cold_wire_write (reports, n, wire, now);
  args->colds.colds_val = wire;
  args->colds.colds_len = (u_int)n;
}

void
director_report_fill (director_sync_t *sync, uint32_t director,
                      fleet_pull_args_t *args, director_report_t *report,
                      usec_t now)
{
  add_crashes (sync, director, args, &report->crashes, now);
  add_notices (sync, args, report->notices, now);
  add_usages (sync, args, report->usages, now);
  add_loads (sync, args, report->loads, now);
  add_colds (sync, args, report->colds, now);
}

static void
keep_quotas (director_sync_t *sync, const fleet_pull_result_t *result)
{
  for (u_int i = 0; i < result->quotas.quotas_len; i++)
    {
      const fleet_quota_t *wire = &result->quotas.quotas_val[i];
      if (isfinite (wire->level) && isfinite (wire->demand)
          && wire->demand >= 0)
        sync->quotas[sync->n_quotas++]
            = (quota_state_t){ .account = wire->account,
                               .level = wire->level,
                               .demand = wire->demand };
    }
}

static void
keep_loads (director_sync_t *sync, const fleet_pull_result_t *result,
            usec_t now)
{
  sync->heard_known = sync->heard_sent;
  sync->source = result->source;
  sync->loads_known = result->loads_known;
  sync->n_loads = result->loads.loads_len;
  load_wire_read (result->loads.loads_val, sync->n_loads, sync->loads, now);
}

/* An exchange that took longer, as a process was paused, does not say when
   what is left of a time was read.  */
#define COLD_EXCHANGE_MAX USEC_PER_SEC

/* A director that has not been asked before is told all with the next pull,
   as one without a source: it was paused and has kept nothing.
   What a late answer says is asked for again.  */
static void
keep_colds (director_sync_t *sync, const fleet_pull_result_t *result,
            bool is_fresh, usec_t now)
{
  bool is_same = result->source != 0 && result->source == sync->source;
  sync->seen_known = is_same ? sync->seen_sent : 0;
  if (is_same && is_fresh && sync->seen_sent > sync->seen_taken)
    sync->seen_taken = sync->seen_sent;
  if (now - sync->pull_sent_at > COLD_EXCHANGE_MAX)
    {
      sync->colds_known = is_same ? sync->colds_known : 0;
      return;
    }
  sync->colds_known = result->colds_known;
  sync->n_colds = result->colds.colds_len;
  cold_wire_read (result->colds.colds_val, sync->n_colds, sync->colds, now);
}

void
director_report_keep_result (director_sync_t *sync,
                             const fleet_pull_result_t *result, bool is_fresh,
                             usec_t now)
{
  sync->has_ended = true;
  sync->is_fresh = is_fresh;
  sync->is_answered = result != NULL;
  sync->n_quotas = 0;
  sync->n_loads = 0;
  sync->n_colds = 0;
  if (!result)
    return;
  if (is_fresh)
    keep_quotas (sync, result);
  keep_colds (sync, result, is_fresh, now);
  keep_loads (sync, result, now);
}

static void
hear_colds (director_sync_t *sync, usec_t now)
{
  size_t n_new
      = backend_pool_hear_colds (sync->pool, sync->colds, sync->n_colds, now);
  if (n_new > 0)
    LOG_EVENT (LOG_LEVEL_INFO, "backends_may_be_cold", LOG_U ("new", n_new),
               LOG_U ("told", sync->n_colds));
}

static void
hear_loads (director_sync_t *sync, usec_t now)
{
  size_t n_limits
      = backend_pool_hear_loads (sync->pool, sync->loads, sync->n_loads, now);
  if (n_limits > 0)
    LOG_EVENT (LOG_LEVEL_INFO, "backend_limits_told",
               LOG_U ("changed", n_limits), LOG_U ("told", sync->n_loads));
}

void
director_report_settle (director_sync_t *sync, usec_t now)
{
  if (!sync->has_ended)
    return;
  sync->has_ended = false;
  if (sync->limiter)
    limiter_report_ended (sync->limiter, sync->is_answered, sync->quotas,
                          sync->n_quotas, now);
  if (sync->n_loads > 0)
    hear_loads (sync, now);
  if (sync->n_colds > 0)
    hear_colds (sync, now);
}
