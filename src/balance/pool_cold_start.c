/* Cold start of backend servers: limits the request rate.

   Load pattern: one backend server, or a whole failure domain at once,
   restarts cold and crashes if all routers together exceed a certain request
   rate.  Each backend server gets requests from a few routers only, chosen by
   rendezvous hashing, each of which limits its part of the rate with a token
   bucket.  */

#include "balance/pool_internal.h"

#include <stdint.h>
#include <string.h>
#include <xxhash.h>

#include "routing/route_config.h"

enum
{
  SHARERS_MAX = 4,       /* routers that may send to one cold backend server */
  PROBERS_WHEN_TOLD = 2, /* of these, that probe it as soon as they are told */
};

/* Fraction of the allowed rate that is used.  The remainder is a margin for
   requests in transit and for routers whose lists of routers differ.  */
static const double rate_fraction = 0.6;

/* Between two health checks of one limited backend server by all routers
   together that do not share its rate.  Those that share it check it as often
   as any.  */
#define SPREAD_PROBE_INTERVAL USEC_PER_SEC

/* Tokens that a health check takes which is answered; the margin bears the
   rest.  */
static const double probe_cost = 0.5;

/* A time that other routers tell is late by what the messages took.  */
#define MESSAGE_TIME (200 * USEC_PER_MSEC)

static uint64_t
rank_hash (const backend_t *backend, uint32_t address)
{
  const uint64_t pair[] = { backend->id_hash, address };
  return XXH3_64bits (pair, sizeof pair);
}

/* Whether some router of REGION that reaches backend servers is known.  */
static bool
has_reaching (const pool_update_t *update, const char *region)
{
  for (size_t i = 0; i < update->n_routers; i++)
    if (!update->routers[i].is_cut_off
        && strcmp (update->routers[i].region.text, region) == 0)
      return true;
  return false;
}

region_rank_t
pool_region_rank (const backend_pool_t *pool, const backend_t *backend,
                  const pool_update_t *update)
{
  region_rank_t result = { 0 };
  uint64_t own_hash = rank_hash (backend, pool->self);
  bool is_listed = false;
  bool skips_cut_off = has_reaching (update, backend->region.text);
  for (size_t i = 0; i < update->n_routers; i++)
    {
      const pool_router_t *router = &update->routers[i];
      if (strcmp (router->region.text, backend->region.text) != 0
          || (router->is_cut_off && skips_cut_off))
        continue;
      result.n++;
      if (router->address == pool->self)
        is_listed = true;
      else if (rank_hash (backend, router->address) < own_hash)
        result.rank++;
    }
  if (!is_listed)
    result.rank = SIZE_MAX;
  return result;
}

void
pool_cold_start_set_rate (backend_pool_t *pool, backend_t *backend,
                          const pool_update_t *update,
                          const region_rank_t *place, usec_t now)
{
  size_t n = place->n;
  size_t rank = place->rank;
  size_t n_sharers = n < SHARERS_MAX ? n : SHARERS_MAX;
  const service_config_t *service
      = update->config ? route_config_service (update->config,
                                               backend->record.service.text)
                       : NULL;
  double rate = service ? service->cold_rate : 0;
  backend->cold_start = service ? service->cold_start_duration : 0;
  if (rank >= SHARERS_MAX)
    rate = 0;
  else
    rate = rate * rate_fraction / (double)n_sharers;
  if (backend->cold_refilled_at == 0)
    backend->cold_refilled_at = now;
  backend->cold_rate = rate;
  backend->probes_when_told = rank < PROBERS_WHEN_TOLD;
  backend->spread_period = (usec_t)update->n_routers * SPREAD_PROBE_INTERVAL;
  if (backend->spread_period > 0)
    backend->spread_phase = (usec_t)(rank_hash (backend, pool->self)
                                     % (uint64_t)backend->spread_period);
}

usec_t
pool_cold_start_probe_at (const backend_t *backend, usec_t at, usec_t now)
{
  usec_t period = backend->spread_period;
  if (period == 0 || backend->cold_rate > 0
      || !backend_is_limited (backend, now))
    return at;
  usec_t since_phase = (at + period - backend->spread_phase) % period;
  return since_phase == 0 ? at : at + period - since_phase;
}

/* The bucket holds at most one token, so that the requests in one second
   exceed the rate by at most one for each router that shares it.  */
static double
tokens_at (const backend_t *backend, usec_t now)
{
  double seconds
      = (double)(now - backend->cold_refilled_at) / (double)USEC_PER_SEC;
  double tokens = backend->cold_tokens + seconds * backend->cold_rate;
  return tokens < 1 ? tokens : 1;
}

/* Whether a start of BACKEND is known that is later than the refusals of
   connections.  */
static bool
has_started_since (const backend_t *backend)
{
  return backend->cold_until_at_most
         <= backend->cold_until + COLD_REFUSAL_INTERVAL + MESSAGE_TIME;
}

bool
pool_cold_start_is_suspect (const backend_t *backend, usec_t now)
{
  return now < backend->cold_until_at_most && !has_started_since (backend);
}

bool
backend_is_limited (const backend_t *backend, usec_t now)
{
  if (backend->may_be_cold || now < backend->cold_until)
    return true;
  return pool_cold_start_is_suspect (backend, now);
}

usec_t
pool_cold_start_closed_until (const backend_t *backend, usec_t now)
{
  if (backend->cold_rate > 0 || backend->may_be_cold
      || !backend_is_limited (backend, now))
    return 0;
  if (pool_cold_start_is_suspect (backend, now)
      && backend->cold_until_at_most > backend->cold_until)
    return backend->cold_until_at_most;
  return backend->cold_until;
}

void
pool_cold_start_set (backend_t *backend, usec_t until)
{
  if (until > backend->cold_until)
    backend->cold_until = until;
}

bool
pool_cold_start_suspect (backend_t *backend, usec_t until, usec_t now)
{
  bool was_limited = backend_is_limited (backend, now);
  if (until > backend->cold_until_at_most)
    backend->cold_until_at_most = until;
  return !was_limited && backend_is_limited (backend, now);
}

usec_t
backend_pool_needless_limit (backend_t *backend, usec_t now)
{
  if (!pool_cold_start_is_suspect (backend, now))
    return 0;
  usec_t from = backend->needless_until > now ? backend->needless_until : now;
  usec_t until = backend->cold_until_at_most;
  if (until <= from)
    return 0;
  backend->needless_until = until;
  return until - from;
}

/* REPORT tells something new of BACKEND.  */
static void
hear_cold (backend_pool_t *pool, backend_t *backend,
           const cold_report_t *report, usec_t now)
{
  if (!pool_cold_start_is_suspect (backend, now))
    return;
  pool_forget_start (backend);
  /* So that a backend server that stays down goes on refusing.  */
  usec_t seen_at = report->until - COLD_REFUSAL_INTERVAL - backend->cold_start;
  if (backend->health == BACKEND_DOWN || !backend->probes_when_told
      || backend->probed_at > seen_at)
    return;
  backend->wants_probe = true;
  pool->has_wanted_probes = true;
}

size_t
backend_pool_hear_colds (backend_pool_t *pool, const cold_report_t *reports,
                         size_t n, usec_t now)
{
  size_t n_new = 0;
  for (size_t i = 0; i < n; i++)
    {
      bool is_news = cold_table_put (&pool->colds, &reports[i], false);
      backend_t *backend = pool_index_find_id (pool, reports[i].server);
      if (!backend)
        continue;
      if (pool_cold_start_suspect (backend, reports[i].until, now))
        n_new++;
      if (is_news)
        hear_cold (pool, backend, &reports[i], now);
    }
  return n_new;
}

bool
pool_cold_start_allows (const backend_t *backend, usec_t now)
{
  return !backend_is_limited (backend, now) || tokens_at (backend, now) >= 1;
}

static void
take_tokens (backend_t *backend, double n, usec_t now)
{
  if (!backend_is_limited (backend, now))
    return;
  backend->cold_tokens = tokens_at (backend, now) - n;
  backend->cold_refilled_at = now;
}

void
pool_cold_start_take (backend_t *backend, usec_t now)
{
  take_tokens (backend, 1, now);
}

void
pool_cold_start_take_probe (backend_t *backend, usec_t now)
{
  take_tokens (backend, probe_cost, now);
}
