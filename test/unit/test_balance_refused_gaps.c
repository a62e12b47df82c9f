/* Guards against a limit of a backend server that is lost or kept without
   need.  */

#include <glib.h>
#include <xxhash.h>

#include "../support/pool_world.h"
#include "balance/pool_internal.h"

#define COLD_START (3 * USEC_PER_SEC)

static backend_t *
picked (world_t *world, backend_pool_t *pool)
{
  backend_t *backend = pick_any (world, pool, 1, NOW);
  g_assert_nonnull (backend);
  return backend;
}

/* The reports of a pull are applied before the list that came with them.  */
static void
test_report_before_list (void)
{
  world_t world;
  world_init (&world);
  add_routers (&world, 8);
  world.service.cold_start_duration = COLD_START;
  backend_pool_t *pool = pool_open (&world);
  const char *id = "north-a-0";
  const cold_report_t report = { .server = XXH3_64bits (id, strlen (id)),
                                 .until = NOW + USEC_PER_SEC };
  backend_pool_hear_colds (pool, &report, 1, NOW);
  add_backends (&world);
  update (&world, pool, NOW);
  backend_t *backend = pool_index_find_id (pool, report.server);
  g_assert_nonnull (backend);
  g_assert_true (backend_is_limited (backend, NOW));
  backend_pool_free (pool);
  world_clear (&world);
}

/* The same, and no list was ever read: a process that has just started.  */
static void
test_report_before_first_list (void)
{
  world_t world;
  world_init (&world);
  const backend_pool_options_t options = { .settings = &world.settings };
  backend_pool_t *pool = backend_pool_new (&options);
  const cold_report_t report = { .server = 1, .until = NOW + USEC_PER_SEC };
  g_assert_cmpuint (backend_pool_hear_colds (pool, &report, 1, NOW), ==, 0);
  g_assert_null (pool_index_find_id (pool, report.server));
  backend_pool_free (pool);
  world_clear (&world);
}

/* One reading of the list lacks the backend server, as its entry could not be
   read; the next one has it as before.  */
static void
test_unlisted_for_a_moment (void)
{
  world_t world;
  backend_pool_t *pool = pool_open_cold (&world, COLD_START);
  backend_t *backend = picked (&world, pool);
  uint64_t id_hash = backend->id_hash;
  usec_t until = backend_pool_connection_refused (pool, backend, NOW);
  backend_list_t whole = world.list;
  world.list = (backend_list_t){ .read_at = NOW };
  update (&world, pool, NOW);
  world.list = whole;
  update (&world, pool, NOW);
  backend = pool_index_find_id (pool, id_hash);
  g_assert_nonnull (backend);
  g_assert_true (backend_is_limited (backend, until - 1));
  backend_pool_free (pool);
  world_clear (&world);
}

/* A service whose servers are never cold.  */
static void
test_no_cold_start (void)
{
  world_t world;
  backend_pool_t *pool = pool_open_cold (&world, 0);
  world.service.cold_rate = 0;
  update (&world, pool, NOW);
  backend_t *backend = picked (&world, pool);
  backend_pool_connection_refused (pool, backend, NOW);
  usec_t back_at = NOW + 300 * USEC_PER_MSEC;
  g_assert_true (backend_pool_begin_probe (backend, back_at));
  backend_pool_probe_ended (pool, backend, true, 0, back_at);
  g_assert_false (backend_is_limited (backend, back_at));
  backend_pool_free (pool);
  world_clear (&world);
}

/* Another router's health check tells of a start 1 s after the one that the
   list shows, and the list does not come any more.  */
static void
test_second_start_soon_after_listed (void)
{
  world_t world;
  backend_pool_t *pool = pool_open_cold (&world, COLD_START);
  backend_t *backend = picked (&world, pool);
  for (size_t i = 0; i < world.list.n_records; i++)
    if (strcmp (world.list.records[i].id, backend->record.id) == 0)
      world.list.records[i].cold_left = COLD_START;
  update (&world, pool, NOW);
  usec_t warm_at = NOW + USEC_PER_SEC + COLD_START;
  const cold_report_t report = { .server = backend->id_hash,
                                 .until = warm_at + COLD_REFUSAL_INTERVAL };
  backend_pool_hear_colds (pool, &report, 1, NOW + USEC_PER_SEC);
  g_assert_true (backend_is_limited (backend, warm_at - 1));
  backend_pool_free (pool);
  world_clear (&world);
}

/* A start is listed that was before the refusal: there is still no process. */
static void
test_listed_start_before_refusal (void)
{
  world_t world;
  backend_pool_t *pool = pool_open_cold (&world, COLD_START);
  backend_t *backend = picked (&world, pool);
  backend_pool_connection_refused (pool, backend, NOW);
  for (size_t i = 0; i < world.list.n_records; i++)
    if (strcmp (world.list.records[i].id, backend->record.id) == 0)
      {
        world.list.records[i].started_unix_ms++;
        world.list.records[i].cold_left = COLD_START - USEC_PER_SEC;
      }
  update (&world, pool, NOW + 1);
  g_assert_cmpint (backend->health, ==, BACKEND_DOWN);
  backend_pool_free (pool);
  world_clear (&world);
}

/* What is known of load, quality and objects is of the start that has ended;
   what is learned afterwards stays.  */
static void
test_told_forgets_last_start (void)
{
  world_t world;
  backend_pool_t *pool = pool_open_cold (&world, COLD_START);
  const pool_query_t query = query_of (&world, 1);
  backend_t *backend = picked (&world, pool);
  const cold_report_t report
      = { .server = backend->id_hash, .until = NOW + 2 * USEC_PER_SEC };
  for (int round = 0; round < 2; round++)
    {
      backend_pool_request_sent (pool, backend, &query, NOW);
      report_answered (pool, backend, NOW);
      pool_load_update (backend, SLOTS, 200, NOW);
      backend_pool_hear_colds (pool, &report, 1, NOW);
      g_assert_cmpuint (backend->other_load, ==, round * SLOTS);
      g_assert_cmpuint (backend->pace, ==, round * 200);
      g_assert_true ((backend->latency > 0) == round);
      g_assert_true (
          recent_objects_contains (&backend->recent_objects, query.object_hash)
          == round);
      g_assert_cmpint (backend->health, ==, BACKEND_UP);
    }
  backend_pool_free (pool);
  world_clear (&world);
}

/* A health check tells of a cold time that no start has: a backend server that
   is well would get no requests until then.  */
static void
test_impossible_cold_time (void)
{
  static const usec_t cold_starts[] = { 0, COLD_START };
  for (size_t i = 0; i < G_N_ELEMENTS (cold_starts); i++)
    {
      world_t world;
      backend_pool_t *pool = pool_open_cold (&world, cold_starts[i]);
      backend_t *backend = picked (&world, pool);
      g_assert_true (backend_pool_begin_probe (backend, NOW));
      backend_pool_probe_ended (pool, backend, true, 3600 * USEC_PER_SEC, NOW);
      g_assert_false (backend_is_limited (backend, NOW + cold_starts[i]));
      g_assert_cmpint (backend_is_limited (backend, NOW), ==,
                       cold_starts[i] > 0);
      backend_pool_free (pool);
      world_clear (&world);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/refused-gaps/report-before-list",
                   test_report_before_list);
  g_test_add_func ("/refused-gaps/report-before-first-list",
                   test_report_before_first_list);
  g_test_add_func ("/refused-gaps/unlisted-for-a-moment",
                   test_unlisted_for_a_moment);
  g_test_add_func ("/refused-gaps/no-cold-start", test_no_cold_start);
  g_test_add_func ("/refused-gaps/second-start-soon-after-listed",
                   test_second_start_soon_after_listed);
  g_test_add_func ("/refused-gaps/listed-start-before-refusal",
                   test_listed_start_before_refusal);
  g_test_add_func ("/refused-gaps/impossible-cold-time",
                   test_impossible_cold_time);
  g_test_add_func ("/refused-gaps/told-forgets-last-start",
                   test_told_forgets_last_start);
  return g_test_run ();
}
