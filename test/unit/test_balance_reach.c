/* Whether a router reaches any backend server, and who carries its requests.
   Guards against a cut that is not seen, against servers that end or are full
   and are taken for a cut, and against a few routers that carry the load of
   many.  */

#include <glib.h>
#include <string.h>

#include "balance/backend_reach.h"
#include "balance/carrier_choice.h"

#define NOW (100 * USEC_PER_SEC)
#define MSEC USEC_PER_MSEC

/* A round in which each check ends with CONTACT.  */
static void
play_round (backend_reach_t *reach, contact_t contact, usec_t now)
{
  g_assert_true (backend_reach_round_is_due (reach, now));
  backend_reach_begin_round (reach, REACH_CHECKS, now);
  g_assert_false (backend_reach_round_is_due (reach, now));
  for (size_t i = 0; i < REACH_CHECKS; i++)
    backend_reach_check_ended (reach, contact, now);
}

static void
fail (backend_reach_t *reach, uint64_t server, usec_t now)
{
  backend_reach_contact (reach, server, CONTACT_REFUSED, true, now);
}

static void
test_cut_and_back (void)
{
  backend_reach_t reach = { 0 };
  backend_reach_contact (&reach, 1, CONTACT_RESPONSE, true, NOW);
  fail (&reach, 1, NOW + 10);
  fail (&reach, 1, NOW + 20);
  g_assert_cmpint (reach.state, ==, REACH_ANY);
  fail (&reach, 2, NOW + 30);
  g_assert_cmpint (reach.state, ==, REACH_DOUBTFUL);
  /* New connections are refused; old ones live on and say nothing of it.  */
  backend_reach_contact (&reach, 3, CONTACT_RESPONSE, false, NOW + 40);
  g_assert_cmpint (reach.state, ==, REACH_DOUBTFUL);
  play_round (&reach, CONTACT_REFUSED, NOW + 50);
  g_assert_cmpint (reach.state, ==, REACH_NONE);
  usec_t now = NOW + 50 + REACH_ROUND_INTERVAL;
  g_assert_false (backend_reach_round_is_due (&reach, now - 1));
  play_round (&reach, CONTACT_RESPONSE, now);
  g_assert_cmpint (reach.state, ==, REACH_NONE);
  now += REACH_ROUND_INTERVAL;
  play_round (&reach, CONTACT_REFUSED, now); /* to and fro */
  now += REACH_ROUND_INTERVAL;
  play_round (&reach, CONTACT_RESPONSE, now);
  g_assert_cmpint (reach.state, ==, REACH_NONE);
  now += REACH_ROUND_INTERVAL;
  play_round (&reach, CONTACT_RESPONSE, now);
  g_assert_cmpint (reach.state, ==, REACH_ANY);
}

/* Servers of a service have ended; one of the others answers.  */
static void
test_ended_servers (void)
{
  backend_reach_t reach = { 0 };
  for (uint64_t server = 0; server < 12; server++)
    fail (&reach, server, NOW);
  backend_reach_begin_round (&reach, REACH_CHECKS, NOW);
  for (size_t i = 1; i < REACH_CHECKS; i++)
    backend_reach_check_ended (&reach, CONTACT_REFUSED, NOW);
  g_assert_cmpint (reach.state, ==, REACH_DOUBTFUL);
  backend_reach_check_ended (&reach, CONTACT_RESPONSE, NOW);
  g_assert_cmpint (reach.state, ==, REACH_ANY);
}

/* A busy router, or full servers: new connections are not made in time, or
   closed, now and then one is made, and those that are open are used.  */
static void
test_busy (void)
{
  backend_reach_t reach = { 0 };
  usec_t now = NOW;
  for (int i = 0; i < 20; i++, now += REACH_ROUND_INTERVAL)
    {
      backend_reach_contact (&reach, 1, CONTACT_UNMADE, true, now);
      backend_reach_contact (&reach, 2, CONTACT_UNMADE, true, now);
      backend_reach_contact (&reach, 3, CONTACT_RESPONSE, false, now);
      if (i % 2 == 0)
        backend_reach_contact (&reach, 4, CONTACT_SILENT, true, now);
      if (backend_reach_round_is_due (&reach, now))
        play_round (&reach, CONTACT_UNMADE, now);
      g_assert_cmpint (reach.state, !=, REACH_NONE);
    }
}

/* A response over a new connection ends the doubt while the checks of a round
   are still out; their results decide nothing.  */
static void
test_late_checks (void)
{
  backend_reach_t reach = { 0 };
  fail (&reach, 1, NOW);
  fail (&reach, 2, NOW);
  backend_reach_begin_round (&reach, REACH_CHECKS, NOW);
  backend_reach_contact (&reach, 3, CONTACT_RESPONSE, true, NOW + 10);
  g_assert_cmpint (reach.state, ==, REACH_ANY);
  for (size_t i = 0; i < REACH_CHECKS; i++)
    backend_reach_check_ended (&reach, CONTACT_REFUSED, NOW + 20);
  g_assert_cmpint (reach.state, ==, REACH_ANY);
}

/* New connections hang; those that are open live on.  */
static void
test_new_ones_hang (void)
{
  backend_reach_t reach = { 0 };
  usec_t now = NOW;
  for (; now - NOW <= REACH_UNMADE; now += REACH_ROUND_INTERVAL)
    {
      backend_reach_contact (&reach, 1, CONTACT_UNMADE, true, now);
      backend_reach_contact (&reach, 2, CONTACT_UNMADE, true, now);
      backend_reach_contact (&reach, 3, CONTACT_RESPONSE, false, now);
      play_round (&reach, CONTACT_UNMADE, now);
      g_assert_cmpint (reach.state, ==, REACH_DOUBTFUL);
    }
  play_round (&reach, CONTACT_UNMADE, now);
  g_assert_cmpint (reach.state, ==, REACH_NONE);
}

/* Full servers close new connections and answer on those that are open.  */
static void
test_full_servers (void)
{
  backend_reach_t reach = { 0 };
  usec_t now = NOW;
  for (int i = 0; i < 20; i++, now += REACH_ROUND_INTERVAL)
    {
      backend_reach_contact (&reach, 1, CONTACT_SILENT, true, now);
      backend_reach_contact (&reach, 2, CONTACT_SILENT, true, now);
      backend_reach_contact (&reach, 3, CONTACT_RESPONSE, false, now);
      if (backend_reach_round_is_due (&reach, now))
        play_round (&reach, CONTACT_SILENT, now);
      g_assert_cmpint (reach.state, !=, REACH_NONE);
    }
  /* None answers any more: connections are made, and nothing comes.  */
  play_round (&reach, CONTACT_SILENT, now + REACH_SILENCE);
  g_assert_cmpint (reach.state, ==, REACH_NONE);
}

static void
test_silence (void)
{
  backend_reach_t reach = { 0 };
  backend_reach_contact (&reach, 1, CONTACT_RESPONSE, false, NOW);
  backend_reach_waiting (&reach, NOW, NOW + REACH_SILENCE);
  g_assert_cmpint (reach.state, ==, REACH_ANY);
  backend_reach_waiting (&reach, NOW, NOW + REACH_SILENCE + 1);
  g_assert_cmpint (reach.state, ==, REACH_DOUBTFUL);
  /* No server may be asked now.  */
  backend_reach_begin_round (&reach, 0, NOW + REACH_SILENCE + 1);
  g_assert_cmpint (reach.state, ==, REACH_DOUBTFUL);
  play_round (&reach, CONTACT_RESPONSE, NOW + 3 * REACH_SILENCE);
  g_assert_cmpint (reach.state, ==, REACH_ANY);
}

enum
{
  ROUTERS = 9,
  REQUESTS = 3000,
};

static void
set_routers (pool_router_t routers[ROUTERS])
{
  static const char *const regions[] = { "north", "east", "south" };
  for (size_t i = 0; i < ROUTERS; i++)
    {
      routers[i] = (pool_router_t){ .address = (uint32_t)i + 1, .port = 80 };
      g_strlcpy (routers[i].region.text, regions[i / 3],
                 sizeof routers[i].region.text);
    }
}

static carrier_query_t
query_of (const pool_router_t *routers, const route_t *route)
{
  return (carrier_query_t){ .routers = routers,
                            .n_routers = ROUTERS,
                            .self = 1,
                            .region = "north",
                            .route = route };
}

/* Two of three routers of a region are cut off; the third one is not the only
   one that carries.  */
static void
test_carriers_share (void)
{
  pool_router_t routers[ROUTERS];
  carrier_choice_t choice = { 0 };
  random_state_t random;
  const route_t route = { 0 };
  size_t n[ROUTERS] = { 0 };
  random_seed (&random, 1);
  set_routers (routers);
  routers[0].is_cut_off = routers[1].is_cut_off = true;
  const carrier_query_t query = query_of (routers, &route);
  for (int i = 0; i < REQUESTS; i++)
    {
      const pool_router_t *router
          = carrier_choose (&choice, &query, &random, NOW);
      n[router - routers]++;
    }
  g_assert_cmpuint (n[0] + n[1], ==, 0);
  g_assert_cmpuint (n[2], >, REQUESTS / 5);
  g_assert_cmpuint (n[2], <, REQUESTS / 2);
  for (size_t i = 3; i < ROUTERS; i++)
    g_assert_cmpuint (n[i], >, REQUESTS / 20);
}

static void
test_carriers_left (void)
{
  pool_router_t routers[ROUTERS];
  carrier_choice_t choice = { 0 };
  random_state_t random;
  const route_t route = { 0 };
  random_seed (&random, 1);
  set_routers (routers);
  for (size_t i = 1; i < ROUTERS; i++)
    routers[i].is_cut_off = i != 4 && i != 5;
  const carrier_query_t query = query_of (routers, &route);
  carrier_avoid (&choice, routers[4].address, NOW);
  for (int i = 0; i < 100; i++)
    g_assert_true (carrier_choose (&choice, &query, &random, NOW)
                   == &routers[5]);
  carrier_avoid (&choice, routers[5].address, NOW);
  g_assert_null (carrier_choose (&choice, &query, &random, NOW));
  g_assert_nonnull (
      carrier_choose (&choice, &query, &random, NOW + CARRIER_AVOID_TIME));
}

/* A body goes to no region that is not a home of its route.  */
static void
test_carriers_at_home (void)
{
  pool_router_t routers[ROUTERS];
  carrier_choice_t choice = { 0 };
  random_state_t random;
  name_t home = { .text = "south" };
  const route_t route = { .n_home_regions = 1, .home_region_names = &home };
  random_seed (&random, 1);
  set_routers (routers);
  const carrier_query_t query = query_of (routers, &route);
  for (int i = 0; i < 100; i++)
    g_assert_cmpstr (
        carrier_choose (&choice, &query, &random, NOW)->region.text, ==,
        "south");
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/reach/cut-and-back", test_cut_and_back);
  g_test_add_func ("/reach/ended-servers", test_ended_servers);
  g_test_add_func ("/reach/full-servers", test_full_servers);
  g_test_add_func ("/reach/busy", test_busy);
  g_test_add_func ("/reach/late-checks", test_late_checks);
  g_test_add_func ("/reach/new-ones-hang", test_new_ones_hang);
  g_test_add_func ("/reach/silence", test_silence);
  g_test_add_func ("/reach/carriers-share", test_carriers_share);
  g_test_add_func ("/reach/carriers-left", test_carriers_left);
  g_test_add_func ("/reach/carriers-at-home", test_carriers_at_home);
  return g_test_run ();
}
