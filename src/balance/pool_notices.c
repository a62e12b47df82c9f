/* What backend servers have said of themselves, in the choice of one.  */

#include "balance/pool_internal.h"

#include "fleet/backend_list.h"

void
pool_notices_load (const backend_pool_t *pool, backend_t *backend)
{
  const backend_notice_t *notice = backend_notices_find (
      &pool->notices, backend_record_boot (&backend->record));
  backend->notice = notice ? *notice : (backend_notice_t){ 0 };
}

void
pool_notices_store (backend_pool_t *pool, backend_t *backend, usec_t now)
{
  uint64_t boot = backend_record_boot (&backend->record);
  backend->notice.boot = boot;
  backend->notice.noted_at = now;
  *backend_notices_get (&pool->notices, boot, now) = backend->notice;
}

void
pool_notices_keep_draining (backend_pool_t *pool, backend_t *backend,
                            usec_t now)
{
  if (!backend->record.is_draining || backend->notice.was_draining)
    return;
  usec_t noted_at = backend->notice.noted_at;
  backend->notice.was_draining = true;
  pool_notices_store (pool, backend, noted_at > 0 ? noted_at : now);
}

bool
backend_pool_note_leaving (backend_pool_t *pool, backend_t *backend,
                           usec_t now)
{
  if (backend->notice.leaving_since > 0)
    return false;
  backend->notice.leaving_since = now;
  pool_notices_store (pool, backend, now);
  return true;
}

bool
backend_pool_note_rest (backend_pool_t *pool, backend_t *backend, usec_t span,
                        usec_t now)
{
  bool was_resting = backend_notice_is_resting (&backend->notice, now);
  if (now + span > backend->notice.rest_until)
    backend->notice.rest_until = now + span;
  backend->notice.is_trial = true;
  pool_notices_store (pool, backend, now);
  return !was_resting;
}

bool
backend_pool_note_served (backend_pool_t *pool, backend_t *backend,
                          usec_t sent_at, usec_t now)
{
  if (!backend->notice.is_trial || sent_at < backend->notice.rest_until)
    return false;
  backend->notice.is_trial = false;
  pool_notices_store (pool, backend, now);
  return true;
}

size_t
backend_pool_notices (const backend_pool_t *pool, told_notice_t *notices,
                      size_t n_max, usec_t now)
{
  size_t n = 0;
  LIST_FOREACH (link, &pool->backends)
  {
    const backend_t *backend = LIST_ENTRY (link, backend_t, link);
    const backend_notice_t *notice = &backend->notice;
    bool is_leaving = notice->leaving_since > 0;
    bool is_resting = backend_notice_is_resting (notice, now);
    if (!backend->is_listed || (!is_leaving && !is_resting))
      continue;
    if (n == n_max)
      break;
    notices[n++]
        = (told_notice_t){ .boot = notice->boot,
                           .is_leaving = is_leaving,
                           .said_at = is_leaving ? notice->leaving_since
                                                 : notice->noted_at,
                           .rest_until = is_resting ? notice->rest_until : 0 };
  }
  return n;
}

bool
backend_is_leaving (const backend_t *backend)
{
  return backend->record.is_draining || backend->notice.leaving_since > 0;
}

bool
backend_pool_boot_is_leaving (const backend_pool_t *pool, uint64_t boot)
{
  const backend_notice_t *notice = backend_notices_find (&pool->notices, boot);
  return notice && (notice->leaving_since > 0 || notice->was_draining);
}

bool
pool_is_last_resort (const backend_pool_t *pool, const backend_t *backend,
                     const pool_query_t *query, usec_t now)
{
  usec_t span = pool->options.settings->bounds.drain / LAST_RESORT_DIVISOR;
  return backend->notice.leaving_since > 0
         && now < backend->notice.leaving_since + span
         && pool_may_serve (backend, query);
}

/* Until when BACKEND gets nothing of this router, as it rests or others share
   the rate that it bears; 0: it may get requests at NOW.  */
static usec_t
closed_until (const backend_t *backend, usec_t now)
{
  usec_t until = pool_cold_start_closed_until (backend, now);
  usec_t limit_end = pool_limit_closed_until (backend, now);
  until = limit_end > until ? limit_end : until;
  if (backend_notice_is_resting (&backend->notice, now)
      && backend->notice.rest_until > until)
    until = backend->notice.rest_until;
  return until;
}

usec_t
backend_pool_rest_end (const backend_pool_t *pool, const pool_query_t *query,
                       usec_t now)
{
  const pool_service_t *service = pool_index_find (pool, query->service);
  usec_t end = INT64_MAX;
  for (size_t i = 0; i < service->n; i++)
    {
      const backend_t *backend = service->backends[i];
      if (!pool_is_eligible (backend, query))
        continue;
      usec_t until = closed_until (backend, now);
      if (until == 0)
        return 0;
      if (until < end)
        end = until;
    }
  return end == INT64_MAX ? 0 : end;
}

bool
backend_pool_is_shared_by_others (const backend_pool_t *pool,
                                  const pool_query_t *query, usec_t now)
{
  const pool_service_t *service = pool_index_find (pool, query->service);
  for (size_t i = 0; i < service->n; i++)
    {
      const backend_t *backend = service->backends[i];
      if (pool_is_eligible (backend, query)
          && pool_limit_closed_until (backend, now) > 0
          && !backend_notice_is_resting (&backend->notice, now)
          && pool_cold_start_closed_until (backend, now) == 0)
        return true;
    }
  return false;
}
