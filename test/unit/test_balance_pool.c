/* Choice of the backend server for each request: each test simulates one load
   pattern against the backend pool alone.  */

#include "../support/pool_world.h"

/* Routers in all regions get requests for the same objects.  Guards against
   spreading an object over so many backend servers that each gets more objects
   than it can cache, which makes all requests slow.  */
static void
test_objects_use_few_backends (void)
{
  enum
  {
    OBJECTS = 72,
    ROUNDS = 40,
  };
  world_t world;
  world_init (&world);
  add_backends (&world);
  GHashTable *pairs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  static const size_t router_domains[] = { 0, 2, 4 };
  for (size_t region = 0; region < G_N_ELEMENTS (router_domains); region++)
    {
      g_strlcpy (world.settings.region.text,
                 region_names[router_domains[region]],
                 sizeof world.settings.region.text);
      g_strlcpy (world.settings.domain.text,
                 domain_names[router_domains[region]],
                 sizeof world.settings.domain.text);
      backend_pool_t *pool = pool_open (&world);
      usec_t now = NOW;
      for (int i = 0; i < OBJECTS * ROUNDS; i++)
        {
          uint64_t number = (uint64_t)(i % OBJECTS) + 1;
          pool_query_t query = query_of (&world, number);
          now += 10 * USEC_PER_MSEC;
          backend_t *backend = backend_pool_pick (pool, &query, now);
          g_assert_nonnull (backend);
          backend_pool_request_sent (pool, backend, &query, now);
          g_hash_table_add (pairs,
                            g_strdup_printf ("%s %" G_GUINT64_FORMAT,
                                             backend->record.id, number));
          report_answered (pool, backend, now);
        }
      backend_pool_free (pool);
    }
  /* The routers of three regions each choose between two candidates.  */
  g_assert_cmpuint (g_hash_table_size (pairs), <=, 12 * MEMORY);
  g_hash_table_unref (pairs);
  world_clear (&world);
}

/* Guards against an object that changes its backend server while that one has
   a free slot, and so is handled uncached again.  */
static void
test_object_uses_same_backend (void)
{
  world_t world;
  world_init (&world);
  add_backends (&world);
  backend_pool_t *pool = pool_open (&world);
  for (uint64_t number = 1; number <= 20; number++)
    {
      pool_query_t query = query_of (&world, number);
      backend_t *first = backend_pool_pick (pool, &query, NOW);
      backend_pool_request_sent (pool, first, &query, NOW);
      report_answered (pool, first, NOW);
      for (int i = 0; i < 5; i++)
        g_assert_true (backend_pool_pick (pool, &query, NOW) == first);
    }
  backend_pool_free (pool);
  world_clear (&world);
}

/* More requests than slots: guards against unbounded queues at the backend
   servers.  The remaining requests must wait in the router.  */
static void
test_full_backends_take_no_more (void)
{
  world_t world;
  world_init (&world);
  add_backends (&world);
  backend_pool_t *pool = pool_open (&world);
  pool_query_t query = query_of (&world, 1);
  int n = 0;
  backend_t *backend;
  while ((backend = backend_pool_pick (pool, &query, NOW)) && n < 1000)
    {
      backend_pool_request_sent (pool, backend, &query, NOW);
      n++;
    }
  g_assert_cmpint (n, >=, 2 * SLOTS);
  g_assert_cmpint (n, <=, 2 * (SLOTS + 2));
  backend_pool_free (pool);
  world_clear (&world);
}

/* Guards against requests to an evacuated failure domain.  */
static void
test_evacuated_domain_gets_nothing (void)
{
  world_t world;
  world_init (&world);
  add_backends (&world);
  backend_pool_t *pool = pool_open (&world);
  g_strlcpy (world.evacuated.text, "south-a", sizeof world.evacuated.text);
  world.is_evacuated = true;
  update (&world, pool, NOW);
  for (uint64_t object = 1; object <= 200; object++)
    g_assert_cmpstr (pick_any (&world, pool, object, NOW)->record.domain.text,
                     !=, "south-a");
  backend_pool_free (pool);
  world_clear (&world);
}

/* Guards against new requests to a draining backend server, which an older
   list that arrives late still shows as ready.  */
static void
test_older_list_does_not_undo_draining (void)
{
  world_t world;
  world_init (&world);
  add_backend (&world, 0, 0);
  backend_list_finalize (&world.list);
  backend_pool_t *pool = pool_open (&world);
  g_assert_nonnull (pick_any (&world, pool, 1, NOW));
  world.list.records[0].is_draining = true;
  update (&world, pool, NOW);
  g_assert_null (pick_any (&world, pool, 1, NOW));
  world.list.records[0].is_draining = false;
  update (&world, pool, NOW);
  g_assert_null (pick_any (&world, pool, 1, NOW));
  backend_pool_free (pool);
  world_clear (&world);
}

/* A backend server drains and then restarts with the same id.  Guards against
   keeping the state from before the restart, in which it would get no
   requests.  */
static void
test_restart_under_the_same_id (void)
{
  world_t world;
  world_init (&world);
  add_backend (&world, 0, 0);
  backend_list_finalize (&world.list);
  backend_pool_t *pool = pool_open (&world);
  world.list.records[0].is_draining = true;
  update (&world, pool, NOW);
  world.list.records[0].is_draining = false;
  world.list.records[0].started_unix_ms = 2;
  update (&world, pool, NOW);
  g_assert_nonnull (pick_any (&world, pool, 1, NOW));
  backend_pool_free (pool);
  world_clear (&world);
}

/* Guards against requests that leave the home regions of their route.  */
static void
test_home_regions (void)
{
  world_t world;
  world_init (&world);
  add_backends (&world);
  name_t home = { "east" };
  world.route.n_home_regions = 1;
  world.route.home_region_names = &home;
  backend_pool_t *pool = pool_open (&world);
  for (uint64_t object = 1; object <= 100; object++)
    g_assert_cmpstr (pick_any (&world, pool, object, NOW)->region.text, ==,
                     "east");
  backend_pool_free (pool);
  world_clear (&world);
}

/* A backend server crashes: after two consecutive broken connections it must
   get no requests until one probe, sent no earlier than due, succeeds.  */
static void
test_crash_and_recovery (void)
{
  world_t world;
  world_init (&world);
  add_backend (&world, 0, 0);
  backend_list_finalize (&world.list);
  backend_pool_t *pool = pool_open (&world);
  const backend_outcome_t broken = { .result = BACKEND_NO_VALID_ANSWER };
  for (int i = 0; i < 2; i++)
    {
      pool_query_t query = query_of (&world, 1);
      backend_t *backend = backend_pool_pick (pool, &query, NOW);
      backend_pool_request_sent (pool, backend, &query, NOW);
      backend_pool_request_ended (pool, backend, &broken, NOW);
    }
  g_assert_null (pick_any (&world, pool, 1, NOW));
  g_assert_null (backend_pool_due_probe (pool, NOW));
  usec_t later = NOW + USEC_PER_SEC;
  backend_t *probed = backend_pool_due_probe (pool, later);
  g_assert_nonnull (probed);
  g_assert_null (backend_pool_due_probe (pool, later));
  backend_pool_probe_ended (pool, probed, true, 0, later);
  g_assert_nonnull (pick_any (&world, pool, 1, later));
  backend_pool_free (pool);
  world_clear (&world);
}

/* How many requests in a row that end with OUTCOME take a backend server
   out.  */
static int
requests_until_out (const backend_outcome_t *outcome)
{
  world_t world;
  world_init (&world);
  add_backend (&world, 0, 0);
  backend_list_finalize (&world.list);
  backend_pool_t *pool = pool_open (&world);
  int n = 0;
  for (; n < 10; n++)
    {
      pool_query_t query = query_of (&world, 1);
      backend_t *backend = backend_pool_pick (pool, &query, NOW);
      if (!backend)
        break;
      backend_pool_request_sent (pool, backend, &query, NOW);
      backend_pool_request_ended (pool, backend, outcome, NOW);
    }
  backend_pool_free (pool);
  world_clear (&world);
  return n;
}

/* Guards against one request that takes a backend server from all callers, as
   it is answered 421 without the field that states that it has not run.  */
static void
test_doubtful_misdirection_is_one_failure (void)
{
  backend_outcome_t outcome = { .result = BACKEND_MISDIRECTED };
  g_assert_cmpint (requests_until_out (&outcome), ==, 1);
  outcome.may_have_run = true;
  const backend_outcome_t broken = { .result = BACKEND_NO_VALID_ANSWER };
  g_assert_cmpint (requests_until_out (&outcome), ==,
                   requests_until_out (&broken));
}

/* Guards against estimates from a run that may not have happened: a success
   beside the statement that the request has not run.  */
static void
test_contradiction_tells_nothing (void)
{
  world_t world;
  world_init (&world);
  add_backend (&world, 0, 0);
  backend_list_finalize (&world.list);
  backend_pool_t *pool = pool_open (&world);
  const backend_outcome_t broken = { .result = BACKEND_NO_VALID_ANSWER };
  const backend_outcome_t contradiction
      = { .result = BACKEND_ANSWERED,
          .not_started = true,
          .latency = 900 * USEC_PER_MSEC,
          .expected_latency = 100 * USEC_PER_MSEC };
  const backend_outcome_t *const outcomes[]
      = { &contradiction, &broken, &contradiction, &broken };
  for (size_t i = 0; i < G_N_ELEMENTS (outcomes); i++)
    {
      pool_query_t query = query_of (&world, 1);
      backend_t *backend = backend_pool_pick (pool, &query, NOW);
      g_assert_nonnull (backend);
      backend_pool_request_sent (pool, backend, &query, NOW);
      backend_pool_request_ended (pool, backend, outcomes[i], NOW);
      g_assert_cmpint (backend->latency, ==, 0);
      g_assert_cmpfloat (backend->quality.slowness, ==, 0);
    }
  g_assert_null (pick_any (&world, pool, 1, NOW));
  backend_pool_free (pool);
  world_clear (&world);
}

/* Guards against a backend server that is left out, or gets less, because it
   answers requests twice.  */
static void
test_other_answers_are_no_failures (void)
{
  world_t world;
  world_init (&world);
  add_backend (&world, 0, 0);
  backend_list_finalize (&world.list);
  backend_pool_t *pool = pool_open (&world);
  const backend_outcome_t other = { .result = BACKEND_OTHER_ANSWER };
  for (int i = 0; i < 100; i++)
    {
      pool_query_t query = query_of (&world, 1);
      backend_t *backend = backend_pool_pick (pool, &query, NOW);
      g_assert_nonnull (backend);
      backend_pool_request_sent (pool, backend, &query, NOW);
      backend_pool_request_ended (pool, backend, &other, NOW);
      g_assert_cmpfloat (
          backend_quality_weight_factor (&backend->quality, NOW), ==, 1.0);
    }
  backend_pool_free (pool);
  world_clear (&world);
}

/* A backend server starts cold and crashes above a certain request rate.
   Guards against the routers of its region together exceeding that rate in any
   second.  */
static void
test_cold_rate_over_all_routers (void)
{
  enum
  {
    ROUTERS = 5,
    STEPS = 300,
  };
  world_t world;
  world_init (&world);
  add_backend (&world, 0, 0);
  world.list.records[0].cold_left = 10 * USEC_PER_SEC;
  backend_list_finalize (&world.list);
  world.list.read_at = NOW;
  add_routers (&world, ROUTERS);
  int sent[STEPS] = { 0 };
  for (unsigned i = 0; i < ROUTERS; i++)
    {
      become_router (&world, i);
      run_router (&world, 10 * USEC_PER_MSEC, STEPS, sent);
    }
  int total = 0;
  for (int step = 0; step < STEPS; step++)
    total += sent[step];
  g_assert_cmpint (total, >, 0);
  /* cold_rate is 5 per second; the smallest deployment allows a
     cold_overshoot of 1.5 and a cold_slack of 5.  */
  g_assert_cmpint (busiest_window (sent, STEPS, 100), <=, 5 * 3 / 2 + 5);
  world_clear (&world);
}

/* The backend servers of two regions start cold after an evacuation, but many
   objects belong to them.  Guards against requests that wait for a cold
   backend server while others have free capacity.  */
static void
test_cold_region_does_not_delay_requests (void)
{
  world_t world;
  world_init (&world);
  add_backends (&world);
  for (size_t i = 0; i < world.list.n_records; i++)
    if (!g_str_has_prefix (world.list.records[i].domain.text, "north"))
      world.list.records[i].cold_left = 10 * USEC_PER_SEC;
  add_routers (&world, 1);
  backend_pool_t *pool = pool_open (&world);
  for (uint64_t object = 1; object <= 100; object++)
    {
      backend_t *backend = pick_any (&world, pool, object, NOW);
      g_assert_nonnull (backend);
      g_assert_cmpint (backend->cold_until, <=, NOW);
    }
  backend_pool_free (pool);
  world_clear (&world);
}

/* Callers are spread evenly over the regions, slots are not (1 : 2 : 3).
   Guards against overload of the small region: with a new object in each
   request, no backend server may get more than 4/3 of the mean.  */
static void
test_uneven_regions (void)
{
  enum
  {
    OBJECTS = 6000,
  };
  world_t world;
  world_init (&world);
  add_backends (&world);
  static const size_t router_domains[] = { 0, 2, 4 };
  for (size_t i = 0; i < G_N_ELEMENTS (world.routers); i++)
    {
      world.routers[i].address = (uint32_t)i + 1;
      g_strlcpy (
          world.routers[i].region.text,
          region_names[router_domains[i % G_N_ELEMENTS (router_domains)]],
          sizeof world.routers[i].region.text);
    }
  world.n_routers = G_N_ELEMENTS (world.routers);
  int n_of[DOMAINS] = { 0 };
  for (size_t region = 0; region < G_N_ELEMENTS (router_domains); region++)
    {
      g_strlcpy (world.settings.region.text,
                 region_names[router_domains[region]],
                 sizeof world.settings.region.text);
      g_strlcpy (world.settings.domain.text,
                 domain_names[router_domains[region]],
                 sizeof world.settings.domain.text);
      backend_pool_t *pool = pool_open (&world);
      for (uint64_t i = 1; i <= OBJECTS; i++)
        {
          const backend_t *backend
              = pick_any (&world, pool, i * 3 + region, NOW);
          for (size_t at = 0; at < DOMAINS; at++)
            if (strcmp (backend->record.domain.text, domain_names[at]) == 0)
              n_of[at]++;
        }
      backend_pool_free (pool);
    }
  double mean = (double)(3 * OBJECTS) / 12;
  for (size_t at = 0; at < DOMAINS; at++)
    g_assert_cmpfloat ((double)n_of[at] / (double)backends_of[at], <,
                       mean * 4 / 3);
  world_clear (&world);
}

/* The list of backend servers arrives in pages.  The rest of a cold start in a
   late page counts from the arrival of that page; guards against counting it
   from the first page, which would end the cold start too early.  */
static void
test_cold_start_in_late_page (void)
{
  world_t world;
  world_init (&world);
  add_backend (&world, 0, 0);
  add_backend (&world, 0, 1);
  world.list.records[1].cold_left = 2 * USEC_PER_SEC;
  world.list.read_at = NOW;
  backend_list_extend_cold_left (&world.list, 0, 240 * USEC_PER_MSEC);
  backend_list_finalize (&world.list);
  g_assert_cmpint (backend_list_find (&world.list, "north-a-0")->cold_left, ==,
                   0);
  g_assert_cmpint (backend_list_find (&world.list, "north-a-1")->cold_left, ==,
                   2240 * USEC_PER_MSEC);
  world_clear (&world);
}

/* Sends requests for 400 objects.  The backend server with ID takes five times
   as long as expected if IS_SLOW, and otherwise fails every second request;
   the other ones answer as expected.  Returns the fraction of the requests
   that went to the backend server with ID.  */
static double
impaired_fraction (world_t *world, const char *id, bool is_slow, usec_t from,
                   backend_pool_t *pool)
{
  enum
  {
    REQUESTS = 4000,
    OBJECTS = 400,
  };
  int n = 0;
  for (int i = 0; i < REQUESTS; i++)
    {
      usec_t now = from + i * USEC_PER_MSEC;
      pool_query_t query = query_of (world, (uint64_t)(i % OBJECTS) + 1);
      backend_t *backend = backend_pool_pick (pool, &query, now);
      bool is_impaired = strcmp (backend->record.id, id) == 0;
      backend_pool_request_sent (pool, backend, &query, now);
      backend_outcome_t outcome = { .result = BACKEND_ANSWERED,
                                    .latency = 100 * USEC_PER_MSEC,
                                    .expected_latency = 100 * USEC_PER_MSEC };
      if (is_impaired && is_slow)
        outcome.latency *= 5;
      else if (is_impaired && n % 2 == 0)
        outcome.result = BACKEND_SERVER_ERROR;
      n += is_impaired;
      backend_pool_request_ended (pool, backend, &outcome, now);
    }
  return (double)n / REQUESTS;
}

/* A backend server becomes slow, or fails half of its requests, while its
   health check succeeds.  Guards against sending it as many requests as
   before, against sending it none, so that its recovery would not show, and
   against reducing its share forever.  */
static void
check_impaired (bool is_slow)
{
  world_t world;
  world_init (&world);
  add_backends (&world);
  backend_pool_t *pool = pool_open (&world);
  double even = impaired_fraction (&world, "none", is_slow, NOW, pool);
  g_assert_cmpfloat (even, ==, 0);
  pool_query_t query = query_of (&world, 1);
  char id[BACKEND_ID_BYTES];
  g_strlcpy (id, backend_pool_pick (pool, &query, NOW)->record.id, sizeof id);
  double before = 0;
  for (uint64_t object = 1; object <= 400; object++)
    before += strcmp (pick_any (&world, pool, object, NOW)->record.id, id) == 0
                  ? 1.0 / 400
                  : 0;
  double during
      = impaired_fraction (&world, id, is_slow, NOW + 10 * USEC_PER_SEC, pool);
  g_assert_cmpfloat (during, <, before / 2);
  g_assert_cmpfloat (during, >, 0);
  double after = 0;
  usec_t later = NOW + 30 * USEC_PER_SEC;
  for (uint64_t object = 1; object <= 400; object++)
    after
        += strcmp (pick_any (&world, pool, object, later)->record.id, id) == 0
               ? 1.0 / 400
               : 0;
  g_assert_cmpfloat (after, >, before / 2);
  backend_pool_free (pool);
  world_clear (&world);
}

static void
test_slow_backend_gets_less (void)
{
  check_impaired (true);
}

static void
test_failing_backend_gets_less (void)
{
  check_impaired (false);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/pool/objects-few-backends",
                   test_objects_use_few_backends);
  g_test_add_func ("/pool/object-same-backend", test_object_uses_same_backend);
  g_test_add_func ("/pool/full", test_full_backends_take_no_more);
  g_test_add_func ("/pool/evacuated", test_evacuated_domain_gets_nothing);
  g_test_add_func ("/pool/draining", test_older_list_does_not_undo_draining);
  g_test_add_func ("/pool/restart", test_restart_under_the_same_id);
  g_test_add_func ("/pool/home-regions", test_home_regions);
  g_test_add_func ("/pool/crash", test_crash_and_recovery);
  g_test_add_func ("/pool/doubtful-misdirection",
                   test_doubtful_misdirection_is_one_failure);
  g_test_add_func ("/pool/contradiction", test_contradiction_tells_nothing);
  g_test_add_func ("/pool/other-answers", test_other_answers_are_no_failures);
  g_test_add_func ("/pool/cold", test_cold_rate_over_all_routers);
  g_test_add_func ("/pool/cold-return",
                   test_cold_region_does_not_delay_requests);
  g_test_add_func ("/pool/uneven", test_uneven_regions);
  g_test_add_func ("/pool/cold-page", test_cold_start_in_late_page);
  g_test_add_func ("/pool/slow", test_slow_backend_gets_less);
  g_test_add_func ("/pool/failing", test_failing_backend_gets_less);
  return g_test_run ();
}
