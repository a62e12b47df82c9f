/* Guards against a backend server that is used as warm after it has refused
   connections, by this router or another one, and against one that is used as
   cold for longer than it is.  */

#include <glib.h>

#include "../support/pool_world.h"

#define COLD_START (3 * USEC_PER_SEC)

static backend_t *
picked (world_t *world, backend_pool_t *pool)
{
  backend_t *backend = pick_any (world, pool, 1, NOW);
  g_assert_nonnull (backend);
  return backend;
}

/* Lists BACKEND as started anew, cold for COLD_LEFT, by a reading at NOW.  */
static void
list_restart (world_t *world, backend_pool_t *pool, const backend_t *backend,
              usec_t cold_left, usec_t now)
{
  for (size_t i = 0; i < world->list.n_records; i++)
    if (strcmp (world->list.records[i].id, backend->record.id) == 0)
      {
        world->list.records[i].started_unix_ms++;
        world->list.records[i].cold_left = cold_left;
      }
  world->list.read_at = now;
  update (world, pool, now);
}

static void
test_one_refusal_is_enough (void)
{
  world_t world;
  backend_pool_t *pool = pool_open_cold (&world, COLD_START);
  backend_t *backend = picked (&world, pool);
  usec_t until = backend_pool_connection_refused (pool, backend, NOW);
  g_assert_cmpint (backend->health, ==, BACKEND_DOWN);
  g_assert_cmpint (until, >, NOW + COLD_START);
  g_assert_true (backend_is_limited (backend, until - 1));
  g_assert_false (backend_is_limited (backend, until));
  g_assert_true (pick_any (&world, pool, 1, NOW) != backend);
  backend_pool_free (pool);
  world_clear (&world);
}

/* A healthy answer does not end the limit: it is a new start that answers.  */
static void
test_probe_keeps_limit (void)
{
  world_t world;
  backend_pool_t *pool = pool_open_cold (&world, COLD_START);
  backend_t *backend = picked (&world, pool);
  backend_pool_connection_refused (pool, backend, NOW);
  usec_t back_at = NOW + USEC_PER_SEC;
  g_assert_true (backend_pool_begin_probe (backend, back_at));
  backend_pool_probe_ended (pool, backend, true, COLD_START, back_at);
  g_assert_cmpint (backend->health, ==, BACKEND_UP);
  g_assert_true (backend_is_limited (backend, back_at + COLD_START - 1));
  g_assert_false (backend_is_limited (backend, back_at + COLD_START));
  backend_pool_free (pool);
  world_clear (&world);
}

static void
test_told_by_others (void)
{
  world_t world;
  backend_pool_t *pool = pool_open_cold (&world, COLD_START);
  backend_t *backend = picked (&world, pool);
  const cold_report_t reports[]
      = { { .server = 1, .until = NOW + USEC_PER_SEC },
          { .server = backend->id_hash, .until = NOW + USEC_PER_SEC } };
  g_assert_cmpuint (backend_pool_hear_colds (pool, reports, 2, NOW), ==, 1);
  g_assert_cmpuint (backend_pool_hear_colds (pool, reports, 2, NOW), ==, 0);
  g_assert_cmpint (backend->health, ==, BACKEND_UP);
  g_assert_true (backend_is_limited (backend, NOW + USEC_PER_SEC - 1));
  g_assert_false (backend_is_limited (backend, NOW + USEC_PER_SEC));
  backend_pool_free (pool);
  world_clear (&world);
}

/* A listed start that is later than the refusals tells how long it is cold;
   one that refused connections after that start may be another one by now.  */
static void
test_listed_start_is_exact (void)
{
  world_t world;
  backend_pool_t *pool = pool_open_cold (&world, COLD_START);
  backend_t *backend = picked (&world, pool);
  usec_t until = backend_pool_connection_refused (pool, backend, NOW);
  usec_t started_at = NOW + USEC_PER_SEC / 10;
  list_restart (&world, pool, backend, COLD_START - USEC_PER_SEC,
                started_at + USEC_PER_SEC);
  g_assert_true (backend_is_limited (backend, started_at + COLD_START - 1));
  g_assert_false (backend_is_limited (backend, started_at + COLD_START));
  g_assert_cmpint (until, >, started_at + COLD_START);
  until = backend_pool_connection_refused (pool, backend,
                                           started_at + 2 * USEC_PER_SEC);
  g_assert_true (backend_is_limited (backend, until - 1));
  backend_pool_free (pool);
  world_clear (&world);
}

/* The time for which a backend server is limited that says it is warm counts
   once.  */
static void
test_needless_limit_counts_once (void)
{
  world_t world;
  backend_pool_t *pool = pool_open_cold (&world, COLD_START);
  backend_t *backend = picked (&world, pool);
  g_assert_cmpint (backend_pool_needless_limit (backend, NOW), ==, 0);
  usec_t until = backend_pool_connection_refused (pool, backend, NOW);
  const usec_t at = NOW + USEC_PER_SEC;
  g_assert_cmpint (backend_pool_needless_limit (backend, at), ==, until - at);
  g_assert_cmpint (backend_pool_needless_limit (backend, at + 1), ==, 0);
  usec_t later = backend_pool_connection_refused (pool, backend, at + 1);
  g_assert_cmpint (backend_pool_needless_limit (backend, at + 2), ==,
                   later - until);
  g_assert_cmpint (backend_pool_needless_limit (backend, later), ==, 0);
  backend_pool_free (pool);
  world_clear (&world);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/refused/one-refusal-is-enough",
                   test_one_refusal_is_enough);
  g_test_add_func ("/refused/probe-keeps-limit", test_probe_keeps_limit);
  g_test_add_func ("/refused/told-by-others", test_told_by_others);
  g_test_add_func ("/refused/listed-start-is-exact",
                   test_listed_start_is_exact);
  g_test_add_func ("/refused/needless-limit-counts-once",
                   test_needless_limit_counts_once);
  return g_test_run ();
}
