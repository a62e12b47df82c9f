/* Backend servers that say of themselves that they leave, or want a rest.
   Guards against requests that reach them all the same: by an older list, an
   evacuation that ends, a retry, or a queue that empties at once.  */

#include "../support/pool_world.h"

#define SEC USEC_PER_SEC

typedef struct fixture
{
  world_t world;
  backend_pool_t *pool;
} fixture_t;

static void
fixture_open (fixture_t *fixture)
{
  world_init (&fixture->world);
  add_backends (&fixture->world);
  fixture->world.settings.bounds.drain = 3 * SEC;
  fixture->pool = pool_open (&fixture->world);
}

static void
fixture_close (fixture_t *fixture)
{
  backend_pool_free (fixture->pool);
  world_clear (&fixture->world);
}

static backend_t *
pick (fixture_t *fixture, uint64_t object, usec_t now)
{
  pool_query_t query = query_of (&fixture->world, object);
  return backend_pool_pick (fixture->pool, &query, now);
}

/* Whether any of many objects goes to the backend server with ID.  */
static bool
gets_requests (fixture_t *fixture, const char *id, usec_t now)
{
  for (uint64_t object = 1; object <= 300; object++)
    {
      const backend_t *backend = pick (fixture, object, now);
      if (backend && strcmp (backend->record.id, id) == 0)
        return true;
    }
  return false;
}

static void
test_leaving_gets_nothing (void)
{
  fixture_t fixture;
  fixture_open (&fixture);
  backend_t *backend = pick (&fixture, 1, NOW);
  g_autofree char *id = g_strdup (backend->record.id);
  g_assert_true (gets_requests (&fixture, id, NOW));
  g_assert_true (backend_pool_note_leaving (fixture.pool, backend, NOW));
  g_assert_false (backend_pool_note_leaving (fixture.pool, backend, NOW + 1));
  g_assert_false (gets_requests (&fixture, id, NOW));
  g_assert_false (backend_pool_begin_probe (backend, NOW));
  /* Each snapshot shows it as ready, for it lags; its domain is evacuated and
     taken back meanwhile.  */
  world_t *world = &fixture.world;
  world->evacuated = backend->record.domain;
  world->is_evacuated = true;
  update (world, fixture.pool, NOW + SEC);
  world->is_evacuated = false;
  update (world, fixture.pool, NOW + 2 * SEC);
  g_assert_false (gets_requests (&fixture, id, NOW + 100 * SEC));
  fixture_close (&fixture);
}

/* The list loses the backend server and shows it again, as the list of another
   director does that is behind; then it has started again.  */
static void
test_leaving_is_of_one_boot (void)
{
  fixture_t fixture;
  fixture_open (&fixture);
  world_t *world = &fixture.world;
  backend_t *backend = pick (&fixture, 1, NOW);
  g_autofree char *id = g_strdup (backend->record.id);
  backend_pool_note_leaving (fixture.pool, backend, NOW);
  backend_list_t whole;
  backend_list_copy (&whole, &world->list);
  backend_list_clear (&world->list);
  backend_list_finalize (&world->list);
  update (world, fixture.pool, NOW + 1);
  g_assert_null (pick (&fixture, 1, NOW + 1));
  world->list = whole;
  update (world, fixture.pool, NOW + 2);
  g_assert_false (gets_requests (&fixture, id, NOW + 2));
  for (size_t i = 0; i < world->list.n_records; i++)
    if (strcmp (world->list.records[i].id, id) == 0)
      world->list.records[i].started_unix_ms++;
  update (world, fixture.pool, NOW + 3);
  g_assert_true (gets_requests (&fixture, id, NOW + 3));
  fixture_close (&fixture);
}

/* Leaves and rests of all backend servers; what is done then.  */
static void
for_all (fixture_t *fixture, usec_t rest, usec_t now)
{
  for (;;)
    {
      backend_t *backend = pick (fixture, 1, now);
      if (!backend || backend->notice.leaving_since > 0)
        return;
      if (rest > 0)
        backend_pool_note_rest (fixture->pool, backend, rest, now);
      else
        backend_pool_note_leaving (fixture->pool, backend, now);
    }
}

static void
test_all_leave (void)
{
  fixture_t fixture;
  fixture_open (&fixture);
  pool_query_t query = query_of (&fixture.world, 1);
  for_all (&fixture, 0, NOW);
  g_assert_nonnull (pick (&fixture, 1, NOW + SEC));
  g_assert_true (backend_pool_has_eligible (fixture.pool, &query, NOW + SEC));
  g_assert_null (pick (&fixture, 1, NOW + 3 * SEC / 2));
  g_assert_false (
      backend_pool_has_eligible (fixture.pool, &query, NOW + 3 * SEC / 2));
  fixture_close (&fixture);
}

static void
test_resting_gets_nothing (void)
{
  fixture_t fixture;
  fixture_open (&fixture);
  backend_t *backend = pick (&fixture, 1, NOW);
  g_autofree char *id = g_strdup (backend->record.id);
  g_assert_true (backend_pool_note_rest (fixture.pool, backend, 5 * SEC, NOW));
  /* A shorter rest, told later, does not end the longer one.  */
  g_assert_false (
      backend_pool_note_rest (fixture.pool, backend, SEC, NOW + 1));
  update (&fixture.world, fixture.pool, NOW + SEC);
  g_assert_false (gets_requests (&fixture, id, NOW + 5 * SEC - 1));
  g_assert_false (backend_pool_begin_probe (backend, NOW + 5 * SEC - 1));
  g_assert_false (
      backend_pool_note_served (fixture.pool, backend, NOW - 1, NOW + SEC));
  g_assert_true (gets_requests (&fixture, id, NOW + 5 * SEC));
  fixture_close (&fixture);
}

/* Several rests end together and many requests wait: each backend server gets
   one until it has answered it.  */
static void
test_rests_end_together (void)
{
  fixture_t fixture;
  fixture_open (&fixture);
  pool_query_t query = query_of (&fixture.world, 1);
  for_all (&fixture, 5 * SEC, NOW);
  g_assert_null (pick (&fixture, 1, NOW + SEC));
  g_assert_true (backend_pool_has_eligible (fixture.pool, &query, NOW + SEC));
  g_assert_cmpint (backend_pool_rest_end (fixture.pool, &query, NOW + SEC), ==,
                   NOW + 5 * SEC);
  g_assert_cmpuint (
      backend_pool_capacity (fixture.pool, &query, NOW + SEC).slots, ==, 0);
  usec_t end = NOW + 5 * SEC;
  g_assert_cmpint (backend_pool_rest_end (fixture.pool, &query, end), ==, 0);
  size_t n = 0;
  backend_t *backend = NULL;
  for (uint64_t object = 1; object <= 500; object++)
    {
      backend_t *next = pick (&fixture, object, end);
      if (!next)
        continue;
      g_assert_cmpuint (next->in_flight, ==, 0);
      backend_pool_request_sent (fixture.pool, next, &query, end);
      backend = next;
      n++;
    }
  g_assert_cmpuint (n, <=, fixture.world.list.n_records);
  g_assert_cmpuint (n, >, 1);
  g_assert_true (
      backend_pool_note_served (fixture.pool, backend, end, end + 1));
  g_assert_true (gets_requests (&fixture, backend->record.id, end + 1));
  fixture_close (&fixture);
}

static void
test_notices_are_bounded (void)
{
  backend_notices_t *notices = g_new0 (backend_notices_t, 1);
  for (uint64_t boot = 1; boot <= 2 * BACKEND_NOTICES_MAX; boot++)
    backend_notices_get (notices, boot, (usec_t)boot)->leaving_since = 1;
  g_assert_cmpuint (notices->n, ==, BACKEND_NOTICES_MAX);
  g_assert_null (backend_notices_find (notices, 1));
  g_assert_nonnull (backend_notices_find (notices, 2 * BACKEND_NOTICES_MAX));
  g_free (notices);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/notices/leaving", test_leaving_gets_nothing);
  g_test_add_func ("/notices/leaving-boot", test_leaving_is_of_one_boot);
  g_test_add_func ("/notices/all-leave", test_all_leave);
  g_test_add_func ("/notices/resting", test_resting_gets_nothing);
  g_test_add_func ("/notices/rests-end-together", test_rests_end_together);
  g_test_add_func ("/notices/bounded", test_notices_are_bounded);
  return g_test_run ();
}
