/* Guards against routers that flood a cold backend server, or each other,
   while no director tells them what one of them has seen: a world of many
   routers without a network, in which some are down and datagrams take 40 ms.
 */

#include "fleet/cold_spread.h"

#include <glib.h>

enum
{
  SERVER = 7,
  IN_FLIGHT_MAX = 400 * 1000,
};

#define NOW (100 * USEC_PER_SEC)
#define DELAY (40 * USEC_PER_MSEC)
#define STEP (5 * USEC_PER_MSEC)
#define COLD_START (3 * USEC_PER_SEC)
#define LIMIT (COLD_START + COLD_REFUSAL_INTERVAL)

typedef struct flight
{
  cold_datagram_t datagram;
  usec_t left[1]; /* of its report, as it travels */
  usec_t arrives_at;
} flight_t;

typedef struct router
{
  cold_spread_t spread;
  cold_table_t seen;
  bool is_down;
  uint64_t sequence;
  usec_t first_heard_at; /* 0: never */
  usec_t until;          /* as heard */
  size_t n_sent;
  size_t n_sent_bytes;
} router_t;

typedef struct world
{
  size_t n;
  router_t *routers;
  usec_t now;
  cold_directors_t directors; /* the same for each router */
  flight_t *flights;
  size_t first;
  size_t n_flights;
} world_t;

static uint32_t
address_of (size_t i)
{
  return (uint32_t)(0x0a000001 + i);
}

static void
world_open (world_t *world, size_t n)
{
  *world = (world_t){ .n = n,
                      .routers = g_new0 (router_t, n),
                      .now = NOW,
                      .flights = g_new0 (flight_t, IN_FLIGHT_MAX) };
  uint32_t *addresses = g_new0 (uint32_t, n);
  for (size_t i = 0; i < n; i++)
    addresses[i] = address_of (i);
  for (size_t i = 0; i < n; i++)
    {
      cold_spread_init (&world->routers[i].spread, address_of (i), i);
      cold_spread_set_routers (&world->routers[i].spread, addresses, n);
    }
  g_free (addresses);
}

static void
world_close (world_t *world)
{
  for (size_t i = 0; i < world->n; i++)
    {
      cold_spread_clear (&world->routers[i].spread);
      cold_table_clear (&world->routers[i].seen);
    }
  g_free (world->routers);
  g_free (world->flights);
}

static void
see_refusal (world_t *world, size_t i, uint64_t server)
{
  const cold_report_t report
      = { .server = server, .until = world->now + LIMIT };
  cold_table_put (&world->routers[i].seen, &report, true);
}

static void
send_batch (world_t *world, size_t i, const cold_batch_t *batch)
{
  router_t *router = &world->routers[i];
  for (size_t k = 0; k < batch->n_to; k++)
    {
      g_assert_cmpuint (world->n_flights, <, IN_FLIGHT_MAX);
      flight_t *flight = &world->flights[world->n_flights++];
      flight->arrives_at = world->now + DELAY;
      flight->datagram = (cold_datagram_t){ .from = address_of (i),
                                            .to = batch->to[k],
                                            .incarnation = 1,
                                            .sequence = ++router->sequence,
                                            .groups = batch->groups,
                                            .n = 1 };
      flight->datagram.reports[0] = batch->reports[0];
      flight->left[0] = batch->reports[0].until - world->now;
      router->n_sent++;
      router->n_sent_bytes += 28 + COLD_DATAGRAM_BYTES_MIN
                              + batch->n * COLD_DATAGRAM_REPORT_BYTES;
    }
}

static void
deliver (world_t *world, const flight_t *flight)
{
  router_t *router = &world->routers[flight->datagram.to - address_of (0)];
  if (router->is_down)
    return;
  cold_datagram_t datagram = flight->datagram;
  datagram.reports[0].until = world->now + flight->left[0];
  g_assert_true (cold_spread_hear (&router->spread, &datagram, world->now));
  if (router->first_heard_at == 0)
    router->first_heard_at = world->now;
  router->until = MAX (router->until, datagram.reports[0].until);
}

static void
run (world_t *world, usec_t span)
{
  static cold_batch_t batch;
  for (usec_t end = world->now + span; world->now < end; world->now += STEP)
    {
      while (world->first < world->n_flights
             && world->flights[world->first].arrives_at <= world->now)
        deliver (world, &world->flights[world->first++]);
      for (size_t i = 0; i < world->n; i++)
        {
          router_t *router = &world->routers[i];
          if (router->is_down)
            continue;
          cold_spread_see (&router->spread, &router->seen, &world->directors,
                           world->now);
          while (cold_spread_next (&router->spread, world->now, &batch))
            send_batch (world, i, &batch);
        }
    }
}

/* One of N routers sees a refusal; of the others, each DOWN-th is down.
   Returns how many that run were not told.  */
static size_t
spread_one (size_t n, size_t down, size_t *most_sent)
{
  world_t world;
  world_open (&world, n);
  for (size_t i = 1; down > 0 && i < n; i += down)
    world.routers[i].is_down = true;
  see_refusal (&world, 0, SERVER);
  run (&world, USEC_PER_SEC);
  size_t n_missed = 0;
  *most_sent = 0;
  for (size_t i = 0; i < n; i++)
    {
      const router_t *router = &world.routers[i];
      *most_sent = MAX (*most_sent, router->n_sent);
      if (i == 0 || router->is_down)
        continue;
      n_missed += router->first_heard_at == 0;
      g_assert_cmpint (router->first_heard_at, <=, NOW + 2 * (DELAY + STEP));
      /* Later by the two hops at the most.  */
      g_assert_cmpint (
          router->until, <=,
          router->first_heard_at == 0 ? 0 : NOW + LIMIT + 2 * (DELAY + STEP));
    }
  world_close (&world);
  return n_missed;
}

static void
test_all_are_told (void)
{
  static const size_t sizes[] = { 2, 3, 9, 60, 300, 1600 };
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      size_t most_sent = 0;
      g_assert_cmpuint (spread_one (sizes[i], 0, &most_sent), ==, 0);
      g_test_message ("%zu routers: at most %zu datagrams each", sizes[i],
                      most_sent);
      /* Some 3 * sqrt(n); groups differ in size.  */
      g_assert_cmpuint (most_sent * most_sent, <=, 16 * sizes[i]);
    }
}

/* With a quarter of the routers down, both relays of a group are with a chance
   of a sixteenth: what a router misses, another one sees and tells.  */
static void
test_routers_that_are_down (void)
{
  size_t most_sent = 0;
  g_assert_cmpuint (spread_one (300, 4, &most_sent), <=, 300 / 8);
}

/* Every router of 300 sees the same 20 servers refuse, again and again.  */
static void
test_budget_holds (void)
{
  world_t world;
  world_open (&world, 300);
  for (int step = 0; step < 20; step++)
    {
      for (size_t i = 0; i < world.n; i++)
        see_refusal (&world, i, SERVER + (i + (size_t)step) % 20);
      run (&world, 100 * USEC_PER_MSEC);
    }
  for (size_t i = 0; i < world.n; i++)
    g_assert_cmpuint (world.routers[i].n_sent_bytes, <=,
                      COLD_SPREAD_BYTE_BURST + 2 * COLD_SPREAD_BYTE_RATE
                          + 8 * 1000);
  world_close (&world);
}

/* Nothing is told that directors take with one of the next pulls, however long
   that takes; a director that does not answer is out of reach.  */
static void
test_directors_in_reach (void)
{
  world_t world;
  world_open (&world, 9);
  world.directors.is_in_reach = true;
  see_refusal (&world, 0, SERVER);
  for (int i = 0; i < 4; i++)
    {
      run (&world, 2 * COLD_SPREAD_DELAY);
      world.directors.asked_at = world.now;
      run (&world, COLD_SPREAD_DELAY - STEP);
      world.directors.asked_at = 0;
    }
  g_assert_cmpuint (world.routers[0].n_sent, ==, 0);
  world.directors.taken = 1;
  world.directors.asked_at = world.now;
  run (&world, USEC_PER_SEC);
  g_assert_cmpuint (world.routers[0].n_sent, ==, 0);
  see_refusal (&world, 0, SERVER);
  world.directors.asked_at = world.now;
  run (&world, COLD_SPREAD_DELAY - STEP);
  g_assert_cmpuint (world.routers[0].n_sent, ==, 0);
  g_assert_cmpint (cold_spread_due_at (&world.routers[0].spread), ==,
                   world.directors.asked_at + COLD_SPREAD_DELAY);
  run (&world, 3 * (DELAY + STEP));
  for (size_t i = 1; i < world.n; i++)
    g_assert_cmpint (world.routers[i].first_heard_at, >, 0);
  world_close (&world);
}

/* While a server stays down its limit is extended, by routers in turn, and it
   ends by itself once none refuses.  */
static void
test_no_circle (void)
{
  world_t world;
  world_open (&world, 60);
  for (size_t i = 0; i < 8; i++)
    {
      see_refusal (&world, i, SERVER);
      run (&world, 400 * USEC_PER_MSEC);
    }
  usec_t last = world.now - 400 * USEC_PER_MSEC;
  for (size_t i = 8; i < world.n; i++)
    g_assert_cmpint (world.routers[i].until, >=,
                     last + LIMIT - COLD_SPREAD_EXTENSION);
  size_t n_flights = world.n_flights;
  run (&world, 2 * LIMIT);
  g_assert_cmpuint (world.n_flights, ==, n_flights);
  for (size_t i = 0; i < world.n; i++)
    g_assert_cmpint (world.routers[i].until, <=,
                     last + LIMIT + 2 * (DELAY + STEP));
  world_close (&world);
}

/* A datagram that was recorded is heard once, and none of a router that is not
   listed.  */
static void
test_replay (void)
{
  world_t world;
  world_open (&world, 3);
  cold_spread_t *spread = &world.routers[0].spread;
  cold_datagram_t datagram = { .from = address_of (1),
                               .to = address_of (0),
                               .incarnation = 5,
                               .sequence = 9,
                               .n = 1 };
  datagram.reports[0]
      = (cold_report_t){ .server = SERVER, .until = NOW + LIMIT };
  g_assert_true (cold_spread_hear (spread, &datagram, NOW));
  g_assert_false (cold_spread_hear (spread, &datagram, NOW));
  datagram.sequence = 8;
  g_assert_false (cold_spread_hear (spread, &datagram, NOW));
  datagram.incarnation = 4;
  datagram.sequence = 10;
  g_assert_false (cold_spread_hear (spread, &datagram, NOW));
  datagram.incarnation = 6;
  datagram.sequence = 1;
  g_assert_true (cold_spread_hear (spread, &datagram, NOW));
  datagram.from = address_of (3);
  g_assert_false (cold_spread_hear (spread, &datagram, NOW));
  world_close (&world);
}

/* Two routers tell of more servers at once than a relay has room for.  */
static void
test_more_than_a_batch (void)
{
  static cold_batch_t batch;
  world_t world;
  world_open (&world, 9);
  cold_spread_t *spread = &world.routers[0].spread;
  size_t n_relayed = 0;
  for (uint64_t i = 1; i <= 4; i++)
    {
      cold_datagram_t datagram = { .from = address_of (1),
                                   .to = address_of (0),
                                   .sequence = i,
                                   .groups = 1,
                                   .n = COLD_DATAGRAM_REPORTS_MAX };
      for (size_t k = 0; k < datagram.n; k++)
        datagram.reports[k] = (cold_report_t){ .server = 1000 * (i % 2) + k,
                                               .until = NOW + LIMIT };
      g_assert_true (cold_spread_hear (spread, &datagram, NOW));
      if (i % 2 == 0
          && cold_spread_next (spread, NOW + (usec_t)i * DELAY, &batch))
        n_relayed += batch.n;
    }
  g_assert_cmpuint (n_relayed, ==, 2 * COLD_DATAGRAM_REPORTS_MAX);
  world_close (&world);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cold-spread/all-are-told", test_all_are_told);
  g_test_add_func ("/cold-spread/down", test_routers_that_are_down);
  g_test_add_func ("/cold-spread/budget", test_budget_holds);
  g_test_add_func ("/cold-spread/directors", test_directors_in_reach);
  g_test_add_func ("/cold-spread/no-circle", test_no_circle);
  g_test_add_func ("/cold-spread/replay", test_replay);
  g_test_add_func ("/cold-spread/more-than-a-batch", test_more_than_a_batch);
  return g_test_run ();
}
