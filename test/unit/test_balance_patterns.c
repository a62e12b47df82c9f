/* Changes of the fleet under load, against the backend pool alone: backend
   servers are replaced, added and drained while requests continue, and callers
   cancel requests.  */

#include "../support/pool_world.h"

enum
{
  REGIONS = 3,
  OBJECTS = 72,
  WINDOW_REQUESTS = 360, /* of one region, in a window of 2 s */
};

/* Maximum fraction of a region's requests that may move to another region from
   one window of 2 s to the next.  */
static const double moved_max = 0.15;

/* One router of a region, and the fraction of its requests that each region
   served in the last window.  */
typedef struct region_router
{
  world_t world;
  backend_pool_t *pool;
  double shares[REGIONS];
  bool has_shares;
} region_router_t;

static const size_t router_domains[REGIONS] = { 0, 2, 4 };

static size_t
region_index (const char *name)
{
  for (size_t i = 0; i < REGIONS; i++)
    if (strcmp (region_names[router_domains[i]], name) == 0)
      return i;
  g_assert_not_reached ();
}

static void
region_open (region_router_t *region, size_t number,
             const backend_list_t *list)
{
  world_t *world = &region->world;
  world_init (world);
  g_strlcpy (world->settings.region.text, region_names[router_domains[number]],
             sizeof world->settings.region.text);
  g_strlcpy (world->settings.domain.text, domain_names[router_domains[number]],
             sizeof world->settings.domain.text);
  for (size_t i = 0; i < G_N_ELEMENTS (world->routers); i++)
    {
      world->routers[i].address = (uint32_t)i + 1;
      g_strlcpy (world->routers[i].region.text,
                 region_names[router_domains[i % REGIONS]],
                 sizeof world->routers[i].region.text);
    }
  world->n_routers = G_N_ELEMENTS (world->routers);
  backend_list_copy (&world->list, list);
  region->pool = pool_open (world);
}

static void
region_close (region_router_t *region)
{
  backend_pool_free (region->pool);
  world_clear (&region->world);
}

static void
region_update (region_router_t *region, const backend_list_t *list, usec_t now)
{
  backend_list_clear (&region->world.list);
  backend_list_copy (&region->world.list, list);
  update (&region->world, region->pool, now);
}

/* Sends the requests of one window and adds the ids of the backend servers
   used to USED_IDS, which may be NULL.  Returns the fraction of the requests
   that moved to another region since the last window.  */
static double
run_window (region_router_t *region, usec_t now, GHashTable *used_ids)
{
  double shares[REGIONS] = { 0 };
  for (int i = 0; i < WINDOW_REQUESTS; i++)
    {
      pool_query_t query
          = query_of (&region->world, (uint64_t)(i % OBJECTS) + 1);
      now += 2 * USEC_PER_SEC / WINDOW_REQUESTS;
      backend_t *backend = backend_pool_pick (region->pool, &query, now);
      g_assert_nonnull (backend);
      g_assert_false (backend->record.is_draining);
      backend_pool_request_sent (region->pool, backend, &query, now);
      report_answered (region->pool, backend, now);
      shares[region_index (backend->region.text)] += 1.0 / WINDOW_REQUESTS;
      if (used_ids)
        g_hash_table_add (used_ids, g_strdup (backend->record.id));
    }
  double moved = 0;
  for (size_t i = 0; i < REGIONS; i++)
    if (region->has_shares && shares[i] > region->shares[i])
      moved += shares[i] - region->shares[i];
  memcpy (region->shares, shares, sizeof shares);
  region->has_shares = true;
  return moved;
}

static void
set_backend_id (backend_record_t *record, size_t domain, unsigned int number)
{
  snprintf (record->id, sizeof record->id, "%s-%u", domain_names[domain],
            number);
}

/* All backend servers of a service are replaced one by one; each replacement
   starts before the old one drains.  Guards against requests that move between
   regions although the capacity of each region stays the same.  */
static void
test_release (void)
{
  world_t world;
  world_init (&world);
  add_backends (&world);
  region_router_t regions[REGIONS] = { 0 };
  for (size_t r = 0; r < REGIONS; r++)
    region_open (&regions[r], r, &world.list);
  size_t n = world.list.n_records;
  usec_t now = NOW;
  backend_list_t list;
  backend_list_copy (&list, &world.list);
  for (size_t i = 0; i < n; i++)
    {
      const backend_record_t old = world.list.records[i];
      backend_record_t replacement = old;
      g_strlcat (replacement.id, "-next", sizeof replacement.id);
      replacement.started_unix_ms = 2;
      backend_list_add (&list, &replacement);
      for (size_t j = 0; j < list.n_records; j++)
        if (strcmp (list.records[j].id, old.id) == 0)
          list.records[j].is_draining = true;
      list.read_at = now;
      backend_list_finalize (&list);
      for (size_t r = 0; r < REGIONS; r++)
        {
          region_update (&regions[r], &list, now);
          g_assert_cmpfloat (run_window (&regions[r], now, NULL), <=,
                             moved_max);
        }
      now += 2 * USEC_PER_SEC;
    }
  for (size_t r = 0; r < REGIONS; r++)
    region_close (&regions[r]);
  backend_list_clear (&list);
  world_clear (&world);
}

/* Scaling out by a third: guards against new backend servers that get no
   requests within 4 s.  */
static void
test_scale_out (void)
{
  world_t world;
  world_init (&world);
  add_backends (&world);
  region_router_t regions[REGIONS] = { 0 };
  GHashTable *used_ids
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (size_t r = 0; r < REGIONS; r++)
    {
      region_open (&regions[r], r, &world.list);
      run_window (&regions[r], NOW, NULL);
    }
  for (unsigned int i = 0; i < 4; i++)
    add_backend (&world, 1 + i, 50 + i);
  backend_list_finalize (&world.list);
  world.list.read_at = NOW + 2 * USEC_PER_SEC;
  for (size_t r = 0; r < REGIONS; r++)
    {
      region_update (&regions[r], &world.list, world.list.read_at);
      run_window (&regions[r], world.list.read_at, used_ids);
      run_window (&regions[r], world.list.read_at + 2 * USEC_PER_SEC,
                  used_ids);
      region_close (&regions[r]);
    }
  for (unsigned int i = 0; i < 4; i++)
    {
      backend_record_t record;
      set_backend_id (&record, 1 + i, 50 + i);
      g_assert_true (g_hash_table_contains (used_ids, record.id));
    }
  g_hash_table_unref (used_ids);
  world_clear (&world);
}

/* A third of the backend servers drain.  Guards against requests to draining
   backend servers (asserted in run_window) and against objects that move
   although their backend server remains.  */
static void
test_scale_in (void)
{
  world_t world;
  world_init (&world);
  add_backends (&world);
  region_router_t region = { 0 };
  region_open (&region, 1, &world.list);
  run_window (&region, NOW, NULL);
  const char *before[OBJECTS];
  char ids[OBJECTS][BACKEND_ID_BYTES];
  usec_t now = NOW + 2 * USEC_PER_SEC;
  for (uint64_t i = 0; i < OBJECTS; i++)
    {
      backend_t *backend = pick_any (&region.world, region.pool, i + 1, now);
      g_strlcpy (ids[i], backend->record.id, sizeof ids[i]);
      before[i] = ids[i];
    }
  for (size_t i = 0; i < world.list.n_records; i += 3)
    world.list.records[i].is_draining = true;
  world.list.read_at = now;
  backend_list_finalize (&world.list);
  region_update (&region, &world.list, now);
  size_t moved = 0;
  for (uint64_t i = 0; i < OBJECTS; i++)
    {
      const backend_record_t *old = backend_list_find (&world.list, before[i]);
      backend_t *backend = pick_any (&region.world, region.pool, i + 1, now);
      if (!old->is_draining && strcmp (backend->record.id, before[i]) != 0)
        moved++;
    }
  /* Not 0: the shares of the regions change slightly with their slots.  */
  g_assert_cmpuint (moved, <=, OBJECTS / 10);
  run_window (&region, now, NULL);
  region_close (&region);
  world_clear (&world);
}

/* Many callers cancel their requests before the answer.  Guards against
   counting that as a failure of the backend server.  */
static void
test_cancelled_calls (void)
{
  world_t world;
  world_init (&world);
  add_backends (&world);
  backend_pool_t *pool = pool_open (&world);
  const backend_outcome_t left = { .result = BACKEND_CANCELLED,
                                   .latency = 900 * USEC_PER_MSEC,
                                   .expected_latency = 100 * USEC_PER_MSEC };
  pool_query_t query = query_of (&world, 1);
  backend_t *first = backend_pool_pick (pool, &query, NOW);
  for (int i = 0; i < 50; i++)
    {
      backend_pool_request_sent (pool, first, &query, NOW);
      backend_pool_request_ended (pool, first, &left, NOW);
    }
  g_assert_true (backend_pool_pick (pool, &query, NOW) == first);
  g_assert_null (backend_pool_due_probe (pool, NOW + USEC_PER_SEC));
  g_assert_cmpuint (first->in_flight, ==, 0);
  backend_pool_free (pool);
  world_clear (&world);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/pool/release", test_release);
  g_test_add_func ("/pool/scale-out", test_scale_out);
  g_test_add_func ("/pool/scale-in", test_scale_in);
  g_test_add_func ("/pool/cancelled-calls", test_cancelled_calls);
  return g_test_run ();
}
