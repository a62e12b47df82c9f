/* The backend servers of a failure domain whose evacuation ends may be cold
   without the list showing it.  Each test runs all routers of a region against
   one such backend server and counts its requests.  */

#include "../support/pool_world.h"

enum
{
  ROUTERS = 69,
  STEP_MSEC = 20,
  STEPS_PER_SECOND = 1000 / STEP_MSEC,
  STEPS = 3 * STEPS_PER_SECOND,
  /* cold_rate is 5 per second; the smallest deployment allows a cold_overshoot
     of 1.5 and a cold_slack of 5.  */
  COLD_REQUESTS_MAX = 5 * 3 / 2 + 5,
};

#define LIST_LAG (800 * USEC_PER_MSEC)
#define LIST_AGE (1200 * USEC_PER_MSEC)

/* One backend server, in "north-a", which is no longer evacuated.  */
static void
reopened_world_init (world_t *world)
{
  world_init (world);
  add_backend (world, 0, 0);
  backend_list_finalize (&world->list);
  world->list.read_at = NOW - LIST_AGE;
  world->settings.backend_list_lag = LIST_LAG;
  add_routers (world, ROUTERS);
  name_t domain = { 0 };
  g_strlcpy (domain.text, domain_names[0], sizeof domain.text);
  reopened_domains_add (&world->reopened, &domain, NOW);
}

/* Returns how many requests the backend server gets from all routers in the
   busiest second.  */
static int
busiest_second (world_t *world)
{
  int sent[STEPS] = { 0 };
  for (size_t i = 0; i < ROUTERS; i++)
    {
      become_router (world, i);
      run_router (world, STEP_MSEC * USEC_PER_MSEC, STEPS, sent);
    }
  return busiest_window (sent, STEPS, STEPS_PER_SECOND);
}

/* Guards against the full request rate from all routers at once: the list was
   read 1.2 s before the end of the evacuation and shows a warm backend server.
   A router that has just started, as each one here, has nothing else to tell
   it.  */
static void
test_old_list (void)
{
  world_t world;
  reopened_world_init (&world);
  g_assert_cmpint (busiest_second (&world), <=, COLD_REQUESTS_MAX);
  world_clear (&world);
}

/* Guards against a reading that began after the end of the evacuation but
   within the lag of the list.  */
static void
test_lagging_list (void)
{
  world_t world;
  reopened_world_init (&world);
  world.list.read_at = NOW + LIST_LAG - 1;
  g_assert_cmpint (busiest_second (&world), <=, COLD_REQUESTS_MAX);
  world_clear (&world);
}

/* Guards against a limit that outlasts the doubt: the list was read late
   enough and shows a warm backend server.  */
static void
test_recent_list (void)
{
  world_t world;
  reopened_world_init (&world);
  world.list.read_at = NOW + LIST_LAG;
  g_assert_cmpint (busiest_second (&world), ==, ROUTERS * STEPS_PER_SECOND);
  world_clear (&world);
}

/* Guards against a limit for backend servers of other failure domains.  */
static void
test_other_domain (void)
{
  world_t world;
  reopened_world_init (&world);
  world.reopened.items[0].name.text[0] = 'x';
  g_assert_cmpint (busiest_second (&world), ==, ROUTERS * STEPS_PER_SECOND);
  world_clear (&world);
}

/* The routers that the list has divide the whole rate of a cold backend server
   among themselves.  Guards against a further share for each router that
   started since, or that the directors have given up.  */
static void
test_unlisted_router_has_no_share (void)
{
  world_t world;
  reopened_world_init (&world);
  world.list.records[0].cold_left = 10 * USEC_PER_SEC;
  world.n_routers = 4;
  int n = busiest_second (&world);
  g_assert_cmpint (n, >, 0);
  g_assert_cmpint (n, <=, COLD_REQUESTS_MAX);
  world_clear (&world);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/reopened/old-list", test_old_list);
  g_test_add_func ("/reopened/lagging-list", test_lagging_list);
  g_test_add_func ("/reopened/recent-list", test_recent_list);
  g_test_add_func ("/reopened/other-domain", test_other_domain);
  g_test_add_func ("/reopened/unlisted-router",
                   test_unlisted_router_has_no_share);
  return g_test_run ();
}
