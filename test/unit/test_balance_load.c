/* Load pattern: many routers, each with few requests, choose among the same
   backend servers at the same time.  Guards against servers that are overrun
   in turns while others idle, because each router knows only what it heard
   itself; and against reports that move more than their own weight.  */

#include "../support/pool_world.h"

#include "load/load_table.h"

enum
{
  ROUTERS = 40,
  SERVERS = 12,
  OBJECTS = 60,
  IN_FLIGHT_MAX = 4096,
  STEP_MSEC = 2,
};

#define SPAN (20 * USEC_PER_SEC)
#define TELL_INTERVAL (400 * USEC_PER_MSEC)
#define RUN_TIME (100 * USEC_PER_MSEC)

/* A request at a server: it waits there until a slot is free.  */
typedef struct flight
{
  size_t router;
  backend_t *backend; /* of the router's pool */
  size_t server;
  usec_t ends_at;
} flight_t;

typedef struct fleet
{
  world_t world;
  backend_pool_t *pools[ROUTERS];
  random_state_t random;
  usec_t free_at[SERVERS][SLOTS];
  size_t n_at[SERVERS];  /* requests that run or wait */
  uint32_t ids[SERVERS]; /* in load reports */
  size_t n_flights;
  flight_t flights[IN_FLIGHT_MAX];
  load_table_t heard;
  usec_t waited; /* of all requests, at servers */
  size_t n_sent;
} fleet_t;

static fleet_t *
fleet_new (void)
{
  fleet_t *fleet = g_new0 (fleet_t, 1);
  random_seed (&fleet->random, 3);
  world_init (&fleet->world);
  add_backends (&fleet->world);
  for (size_t i = 0; i < ROUTERS; i++)
    fleet->pools[i] = pool_open (&fleet->world);
  for (size_t i = 0; i < SERVERS; i++)
    fleet->ids[i]
        = load_server_id (backend_record_boot (&fleet->world.list.records[i]));
  return fleet;
}

static void
fleet_free (fleet_t *fleet)
{
  for (size_t i = 0; i < ROUTERS; i++)
    backend_pool_free (fleet->pools[i]);
  load_table_clear (&fleet->heard);
  world_clear (&fleet->world);
  g_free (fleet);
}

static size_t
server_of (const fleet_t *fleet, const backend_t *backend)
{
  for (size_t i = 0; i < SERVERS; i++)
    if (strcmp (fleet->world.list.records[i].id, backend->record.id) == 0)
      return i;
  g_assert_not_reached ();
}

/* When a request that comes at NOW ends; the slot that is free first runs
   it.  */
static usec_t
run_at (fleet_t *fleet, size_t server, usec_t now)
{
  usec_t *slot = &fleet->free_at[server][0];
  for (size_t i = 1; i < SLOTS; i++)
    if (fleet->free_at[server][i] < *slot)
      slot = &fleet->free_at[server][i];
  usec_t starts_at = MAX (*slot, now);
  fleet->waited += starts_at - now;
  *slot = starts_at + RUN_TIME;
  return *slot;
}

static void
send_request (fleet_t *fleet, usec_t now)
{
  size_t router = random_below (&fleet->random, ROUTERS);
  pool_query_t query
      = query_of (&fleet->world, 1 + random_below (&fleet->random, OBJECTS));
  query.run_time = (run_time_t){ .cached = RUN_TIME, .uncached = RUN_TIME };
  backend_t *backend = backend_pool_pick (fleet->pools[router], &query, now);
  if (!backend || fleet->n_flights == IN_FLIGHT_MAX)
    return;
  backend_pool_request_sent (fleet->pools[router], backend, &query, now);
  size_t server = server_of (fleet, backend);
  fleet->n_at[server]++;
  fleet->n_sent++;
  fleet->flights[fleet->n_flights++]
      = (flight_t){ .router = router,
                    .backend = backend,
                    .server = server,
                    .ends_at = run_at (fleet, server, now) };
}

static void
end_flight (fleet_t *fleet, const flight_t *flight, usec_t now)
{
  size_t n = --fleet->n_at[flight->server];
  uint32_t running = (uint32_t)MIN (n, (size_t)SLOTS);
  const backend_outcome_t outcome
      = { .result = BACKEND_ANSWERED,
          .latency = RUN_TIME,
          .load = { .is_known = true,
                    .running = running,
                    .waiting = (uint32_t)n - running,
                    .slots = SLOTS } };
  const load_report_t report = { .server = fleet->ids[flight->server],
                                 .running = (uint16_t)running,
                                 .waiting = (uint16_t)(n - running),
                                 .at = now };
  load_table_put (&fleet->heard, &report);
  backend_pool_request_ended (fleet->pools[flight->router], flight->backend,
                              &outcome, now);
}

static void
end_flights (fleet_t *fleet, usec_t now)
{
  size_t n = 0;
  for (size_t i = 0; i < fleet->n_flights; i++)
    {
      const flight_t flight = fleet->flights[i];
      if (flight.ends_at <= now)
        end_flight (fleet, &flight, now);
      else
        fleet->flights[n++] = flight;
    }
  fleet->n_flights = n;
}

/* Tell the router I what all heard since the last time.  */
static void
tell (fleet_t *fleet, size_t i, usec_t now)
{
  load_report_t reports[SERVERS];
  size_t n = load_table_changed (&fleet->heard, 0, now - TELL_INTERVAL,
                                 reports, SERVERS);
  backend_pool_hear_loads (fleet->pools[i], reports, n, now);
}

/* The mean time that a request waits at its server, in usec.  */
static double
mean_wait (bool is_shared)
{
  fleet_t *fleet = fleet_new ();
  for (usec_t now = NOW; now < NOW + SPAN; now += STEP_MSEC * USEC_PER_MSEC)
    {
      end_flights (fleet, now);
      /* Of each 10 steps, 5 to 6 bring a request: 0.77 of what the servers
         can run.  */
      if (random_below (&fleet->random, 100) < 55)
        send_request (fleet, now);
      for (size_t i = 0; i < ROUTERS && is_shared; i++)
        if ((now / USEC_PER_MSEC + (usec_t)i * 10)
                % (TELL_INTERVAL / USEC_PER_MSEC)
            < STEP_MSEC)
          tell (fleet, i, now);
    }
  double wait = (double)fleet->waited / (double)fleet->n_sent;
  fleet_free (fleet);
  return wait;
}

static void
test_shared_reports (void)
{
  double alone = mean_wait (false);
  double shared = mean_wait (true);
  g_test_message ("mean wait %.1f ms alone, %.1f ms shared", alone / 1000,
                  shared / 1000);
  g_assert_cmpfloat (shared, <, alone);
}

/* A report that came before what this router heard itself changes nothing, nor
   does one of a server that is not known.  */
static void
test_old_reports (void)
{
  fleet_t *fleet = fleet_new ();
  backend_pool_t *pool = fleet->pools[0];
  backend_t *backend = pick_any (&fleet->world, pool, 1, NOW);
  size_t server = server_of (fleet, backend);
  load_report_t reports[] = {
    { .server = fleet->ids[server], .running = 3, .waiting = 2, .at = NOW }
  };
  backend_pool_hear_loads (pool, reports, 1, NOW);
  g_assert_cmpfloat (backend_load_at (backend, NOW), ==, 5);
  reports[0].running = 0;
  reports[0].waiting = 0;
  reports[0].at = NOW - USEC_PER_SEC;
  backend_pool_hear_loads (pool, reports, 1, NOW);
  g_assert_cmpfloat (backend_load_at (backend, NOW), ==, 5);
  reports[0].server = 12345;
  reports[0].at = NOW + USEC_PER_SEC;
  backend_pool_hear_loads (pool, reports, 1, NOW);
  g_assert_cmpfloat (backend_load_at (backend, NOW), ==, 5);
  fleet_free (fleet);
}

/* A server that says that work takes five times as long gets no request while
   another candidate is at its usual pace; later it does again.  */
static void
test_pace (void)
{
  fleet_t *fleet = fleet_new ();
  backend_pool_t *pool = fleet->pools[0];
  backend_t *usual = pick_any (&fleet->world, pool, 1, NOW);
  const load_report_t slow = { .server = fleet->ids[server_of (fleet, usual)],
                               .pace = 5 * LOAD_PACE_NORMAL,
                               .at = NOW };
  backend_pool_hear_loads (pool, &slow, 1, NOW);
  g_assert_true (pick_any (&fleet->world, pool, 1, NOW) != usual);
  g_assert_true (pick_any (&fleet->world, pool, 1, NOW + 2 * USEC_PER_SEC)
                 == usual);
  fleet_free (fleet);
}

/* Other routers' requests fail at a server whose health check succeeds: this
   one sends it less.  */
static void
test_shared_failures (void)
{
  fleet_t *fleet = fleet_new ();
  backend_pool_t *pool = fleet->pools[0];
  backend_t *usual = pick_any (&fleet->world, pool, 1, NOW);
  usec_t now = NOW;
  for (int i = 0; i < 8; i++)
    {
      now += TELL_INTERVAL;
      const load_report_t failed
          = { .server = fleet->ids[server_of (fleet, usual)],
              .has_failed = true,
              .at = now };
      backend_pool_hear_loads (pool, &failed, 1, now);
    }
  g_assert_true (pick_any (&fleet->world, pool, 1, now) != usual);
  fleet_free (fleet);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/balance-load/shared-reports", test_shared_reports);
  g_test_add_func ("/balance-load/old-reports", test_old_reports);
  g_test_add_func ("/balance-load/pace", test_pace);
  g_test_add_func ("/balance-load/shared-failures", test_shared_failures);
  return g_test_run ();
}
