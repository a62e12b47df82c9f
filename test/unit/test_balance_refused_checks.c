/* Guards against health checks that overrun a cold backend server, as many
   routers wait for it, and against one that stays down without a refusal.  */

#include <glib.h>

#include "../support/pool_world.h"
#include "balance/pool_internal.h"
#include "fleet/abandoned_runs.h"

enum
{
  N_ROUTERS = 60,
  N_STEPS = 1400,
  TOLD_STEPS = 50, /* what a router tells takes to all others */
  REQUEST_STEPS = 25,
  COLD_RATE = 2,
  COLD_MAX = 8, /* requests a second: 1.5 times the rate, and 5 */
};

#define STEP (10 * USEC_PER_MSEC)
#define COLD_START (3 * USEC_PER_SEC)
#define BACK_AT (NOW + 3 * USEC_PER_SEC)

typedef struct site
{
  world_t worlds[N_ROUTERS];
  backend_pool_t *pools[N_ROUTERS];
  backend_t *backends[N_ROUTERS];
  cold_report_t told[N_STEPS + 1]; /* the latest one, by step */
  unsigned n_reached[N_STEPS];
  usec_t refused_at;
} site_t;

static void
site_open (site_t *site)
{
  for (size_t i = 0; i < N_ROUTERS; i++)
    {
      world_t *world = &site->worlds[i];
      world_init (world);
      add_routers (world, N_ROUTERS);
      become_router (world, i);
      add_backend (world, 0, 0);
      backend_list_finalize (&world->list);
      world->list.read_at = NOW;
      world->service.cold_start_duration = COLD_START;
      world->service.cold_rate = COLD_RATE;
      site->pools[i] = pool_open (world);
      site->backends[i] = site->pools[i]->by_id_hash[0];
    }
}

static void
site_close (site_t *site)
{
  for (size_t i = 0; i < N_ROUTERS; i++)
    {
      backend_pool_free (site->pools[i]);
      world_clear (&site->worlds[i]);
    }
}

/* A request or health check of router I arrives; returns false if there is no
   process.  */
static bool
reach (site_t *site, size_t i, size_t step, usec_t now)
{
  if (now >= BACK_AT)
    {
      site->n_reached[step]++;
      return true;
    }
  usec_t until = backend_pool_connection_refused (site->pools[i],
                                                  site->backends[i], now);
  site->told[step + 1] = (cold_report_t){ .server = site->backends[i]->id_hash,
                                          .until = until };
  site->refused_at = now;
  return false;
}

static void
router_step (site_t *site, size_t i, size_t step, usec_t now)
{
  backend_pool_t *pool = site->pools[i];
  backend_t *backend = site->backends[i];
  const cold_report_t *told
      = step >= TOLD_STEPS ? &site->told[step - TOLD_STEPS] : NULL;
  if (told && told->until > 0)
    backend_pool_hear_colds (pool, told, 1, now);
  if (backend_pool_due_probe (pool, now))
    {
      bool is_healthy = reach (site, i, step, now);
      usec_t cold_left = BACK_AT + COLD_START - now;
      backend_pool_probe_ended (pool, backend, is_healthy,
                                cold_left > 0 ? cold_left : 0, now);
    }
  if (step % REQUEST_STEPS != i % REQUEST_STEPS
      || backend->health != BACKEND_UP
      || !pool_cold_start_allows (backend, now))
    return;
  const pool_query_t query = query_of (&site->worlds[i], i);
  backend_pool_request_sent (pool, backend, &query, now);
  reach (site, i, step, now);
  report_answered (pool, backend, now);
}

static unsigned
busiest_second (const site_t *site, size_t from, size_t to)
{
  const size_t second = USEC_PER_SEC / STEP;
  unsigned most = 0;
  for (size_t first = from; first + second <= to; first++)
    {
      unsigned n = 0;
      for (size_t i = first; i < first + second; i++)
        n += site->n_reached[i];
      most = n > most ? n : most;
    }
  return most;
}

static void
test_many_routers_wait (void)
{
  static site_t site;
  site_open (&site);
  for (size_t step = 0; step < N_STEPS; step++)
    {
      usec_t now = NOW + (usec_t)step * STEP;
      site.told[step + 1] = site.told[step];
      for (size_t i = 0; i < N_ROUTERS; i++)
        router_step (&site, i, step, now);
      if (now < BACK_AT)
        g_assert_cmpint (now - site.refused_at, <=, COLD_REFUSAL_INTERVAL);
    }
  const size_t back = (size_t)((BACK_AT - NOW) / STEP);
  const size_t warm = back + (size_t)(COLD_START / STEP);
  g_assert_cmpuint (busiest_second (&site, back, warm), >, 0);
  g_assert_cmpuint (busiest_second (&site, back, warm), <=, COLD_MAX);
  usec_t found_by = BACK_AT + COLD_START + COLD_REFUSAL_INTERVAL
                    + TOLD_STEPS * STEP + USEC_PER_SEC;
  g_assert_cmpint (found_by, <, NOW + N_STEPS * STEP);
  for (size_t i = 0; i < N_ROUTERS; i++)
    g_assert_cmpint (site.backends[i]->health, ==, BACKEND_UP);
  site_close (&site);
}

/* A router that does not share the rate, while no other tells or asks.  */
static void
test_router_alone (void)
{
  world_t world;
  for (size_t i = 0; i < 8; i++)
    {
      world_init (&world);
      add_routers (&world, 8);
      become_router (&world, i);
      add_backend (&world, 0, 0);
      backend_list_finalize (&world.list);
      world.list.read_at = NOW;
      world.service.cold_start_duration = COLD_START;
      backend_pool_t *pool = pool_open (&world);
      backend_t *backend = pool->by_id_hash[0];
      usec_t until = backend_pool_connection_refused (pool, backend, NOW);
      g_assert_true (backend_pool_due_probe (pool, until) == backend);
      backend_pool_free (pool);
      world_clear (&world);
    }
}

/* One refusal that any router tells of has the routers probe, once, that do
   so when told.  */
static void
test_told_looks_once (void)
{
  world_t world;
  backend_pool_t *pool = pool_open_cold (&world, COLD_START);
  add_routers (&world, 2);
  update (&world, pool, NOW);
  size_t n_probed = 0;
  for (size_t i = 0; i < pool->n_by_id; i++)
    {
      backend_t *backend = pool->by_id_hash[i];
      const cold_report_t report
          = { .server = backend->id_hash,
              .until = NOW + COLD_REFUSAL_INTERVAL + COLD_START };
      for (int round = 0; round < 2; round++)
        {
          backend_pool_hear_colds (pool, &report, 1, NOW + round);
          backend_t *due = backend_pool_due_probe (pool, NOW + round);
          g_assert_true ((due == backend)
                         == (round == 0 && backend->probes_when_told));
          if (due)
            backend_pool_probe_ended (pool, due, true, 0, NOW + round + 1);
          n_probed += due != NULL;
        }
    }
  g_assert_cmpuint (n_probed, >, 0);
  backend_pool_free (pool);
  world_clear (&world);
}

/* The list still shows the last start; all have been told of a refusal.  */
static void
test_abandoned_runs (void)
{
  static site_t site;
  static abandoned_runs_t runs[N_ROUTERS];
  site_open (&site);
  for (size_t i = 0; i < N_ROUTERS; i++)
    {
      const cold_report_t report
          = { .server = site.backends[i]->id_hash,
              .until = NOW + COLD_REFUSAL_INTERVAL + COLD_START };
      const abandoned_call_t call
          = { .boot = backend_record_boot (&site.backends[i]->record),
              .fingerprint = { .low = i + 1 },
              .sent_at = NOW - USEC_PER_SEC,
              .deadline = NOW + USEC_PER_SEC };
      backend_pool_hear_colds (site.pools[i], &report, 1, NOW);
      abandoned_runs_add (&runs[i], &call, NOW);
    }
  for (size_t step = 0; step < 300; step++)
    for (size_t i = 0; i < N_ROUTERS; i++)
      {
        usec_t now = NOW + (usec_t)step * STEP;
        uint64_t boot = abandoned_runs_due_check (&runs[i], now);
        if (boot == 0 || !backend_pool_begin_check (site.backends[i], now))
          continue;
        site.n_reached[step]++;
        backend_pool_probe_ended (site.pools[i], site.backends[i], true,
                                  NOW + COLD_START - now, now);
      }
  g_assert_cmpuint (busiest_second (&site, 0, 300), <=, COLD_MAX);
  site_close (&site);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/refused-checks/many-routers-wait",
                   test_many_routers_wait);
  g_test_add_func ("/refused-checks/router-alone", test_router_alone);
  g_test_add_func ("/refused-checks/told-looks-once", test_told_looks_once);
  g_test_add_func ("/refused-checks/abandoned-runs", test_abandoned_runs);
  return g_test_run ();
}
