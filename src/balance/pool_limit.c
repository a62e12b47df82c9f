/* Limits that backend servers name, in the choice of one.

   Load pattern: one backend server, or all of a service, take far fewer
   requests than they have slots for; many routers send to them.  */

#include "balance/pool_internal.h"

#include <stdint.h>
#include <xxhash.h>

/* From 0 to 1, for this router and BACKEND.  */
static double
spread_of (const backend_pool_t *pool, const backend_t *backend)
{
  const uint64_t pair[] = { pool->self, backend->id_hash };
  return (double)(XXH3_64bits (pair, sizeof pair) >> 11)
         / (double)(1ull << 53);
}

void
pool_limit_set_place (const backend_pool_t *pool, backend_t *backend,
                      const pool_update_t *update, const region_rank_t *rank)
{
  limit_place_t *place = &backend->limit_share.place;
  place->rank = rank->rank;
  place->n_near = rank->n;
  place->n_all = update->n_routers;
  place->spread = spread_of (pool, backend);
}

bool
pool_limit_allows (const backend_t *backend, usec_t now)
{
  const request_limit_t *limit = &backend->notice.limit;
  return !limit->is_in_force
         || limit_share_allows (&backend->limit_share, limit->rate, now);
}

void
pool_limit_take (backend_t *backend, usec_t now)
{
  const request_limit_t *limit = &backend->notice.limit;
  if (limit->is_in_force)
    limit_share_take (&backend->limit_share, limit->rate, now);
}

usec_t
pool_limit_closed_until (const backend_t *backend, usec_t now)
{
  const request_limit_t *limit = &backend->notice.limit;
  const limit_share_t *share = &backend->limit_share;
  if (!limit->is_in_force
      || limit_share_is_sharer (&share->place, limit->rate))
    return 0;
  usec_t ready_at = limit_share_ready_at (share, limit->rate, now);
  return ready_at > now ? ready_at : 0;
}

double
pool_limit_rate (const backend_t *backend)
{
  return limit_share_rate (&backend->limit_share.place,
                           backend->notice.limit.rate);
}

bool
pool_limit_binds (const backend_t *backend)
{
  const request_limit_t *limit = &backend->notice.limit;
  double run_seconds = (double)backend->latency / (double)USEC_PER_SEC;
  return limit->is_in_force
         && limit->rate * run_seconds < (double)backend->record.slots;
}

/* BACKEND's limit was BEFORE until NOW; keep what has become of it.  */
static void
keep (backend_pool_t *pool, backend_t *backend, const request_limit_t *before,
      usec_t now)
{
  const request_limit_t *limit = &backend->notice.limit;
  if (limit->heard_at == before->heard_at)
    return;
  if (!before->is_in_force)
    limit_share_begin (&backend->limit_share, now);
  else
    limit_share_settle (&backend->limit_share, before->rate, true, now);
  pool_notices_store (pool, backend, now);
}

bool
backend_pool_note_limit (backend_pool_t *pool, backend_t *backend,
                         const limit_statement_t *statement, usec_t sent_at,
                         usec_t now)
{
  const request_limit_t before = backend->notice.limit;
  bool has_changed
      = request_limit_hear (&backend->notice.limit, statement, sent_at, now);
  keep (pool, backend, &before, now);
  return has_changed;
}

bool
pool_limit_hear_told (backend_pool_t *pool, backend_t *backend,
                      load_limit_t limit, usec_t at, usec_t now)
{
  const request_limit_t before = backend->notice.limit;
  bool has_changed
      = request_limit_hear_told (&backend->notice.limit, limit, at);
  keep (pool, backend, &before, now);
  return has_changed;
}
