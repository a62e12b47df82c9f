/* The limit that a backend server names.  Guards against routers that together
   send more than it allows, or that waste it, against a limit that a late
   answer ends, and against one that stays when it is not named any more.  */

#include "../support/pool_world.h"

#include "balance/limit_share.h"
#include "balance/request_limit.h"

#define SEC USEC_PER_SEC

enum
{
  FLEET_MAX = 1600,
  STEPS_A_SECOND = 20,
  SECONDS = 60,
  STEPS = SECONDS * STEPS_A_SECOND,
  SETTLE_STEPS = 3 * STEPS_A_SECOND,
  WINDOW = 4 * STEPS_A_SECOND,
};

/* Requests, by step, of N routers in REGIONS regions that have more than they
   may send, and hear of the limit at the start alone.  */
static void
send_all (size_t n, size_t regions, double limit, int sent[STEPS])
{
  static limit_share_t shares[FLEET_MAX];
  memset (sent, 0, STEPS * sizeof *sent);
  for (size_t i = 0; i < n; i++)
    {
      shares[i]
          = (limit_share_t){ .place = { .rank = i < n / regions ? i : SIZE_MAX,
                                        .n_near = n / regions,
                                        .n_all = n,
                                        .spread = (double)i / (double)n } };
      limit_share_begin (&shares[i], NOW);
    }
  for (int step = 0; step < STEPS; step++)
    for (size_t i = 0; i < n; i++)
      {
        usec_t now = NOW + (step + 1) * (SEC / STEPS_A_SECOND);
        while (limit_share_allows (&shares[i], limit, now))
          {
            limit_share_take (&shares[i], limit, now);
            sent[step]++;
          }
      }
}

static void
test_all_routers_keep_to_it (void)
{
  static int sent[STEPS];
  const size_t fleets[][2] = { { 1, 1 },  { 3, 3 },   { 9, 3 },
                               { 85, 3 }, { 300, 3 }, { FLEET_MAX, 18 } };
  const double limits[] = { 0, 0.3, 1.1, 2.8, 12, 50, 400 };
  for (size_t f = 0; f < G_N_ELEMENTS (fleets); f++)
    for (size_t l = 0; l < G_N_ELEMENTS (limits); l++)
      {
        double limit = limits[l];
        send_all (fleets[f][0], fleets[f][1], limit, sent);
        int most = busiest_window (sent + SETTLE_STEPS, STEPS - SETTLE_STEPS,
                                   WINDOW);
        g_assert_cmpfloat (most, <=, 1.5 * 4 * limit + 5);
        int all = 0;
        for (int step = 0; step < STEPS; step++)
          all += sent[step];
        g_assert_cmpfloat (all, >=, 0.9 * limit * SECONDS - 5);
        g_assert_cmpint (all, >, 0); /* or its end could not be learned */
      }
}

/* A router with a list that does not have it yet has no share.  */
static void
test_news_put_trials_off (void)
{
  limit_share_t share
      = { .place
          = { .rank = SIZE_MAX, .n_near = 3, .n_all = 9, .spread = 1 } };
  limit_share_begin (&share, NOW);
  for (int i = 1; i <= 100; i++)
    {
      limit_share_settle (&share, 1.1, true, NOW + i * SEC);
      g_assert_false (limit_share_allows (&share, 1.1, NOW + i * SEC));
    }
  usec_t now = NOW + 100 * SEC;
  usec_t ready_at = limit_share_ready_at (&share, 1.1, now);
  g_assert_cmpint (ready_at, >, now + 10 * SEC);
  g_assert_false (limit_share_allows (&share, 1.1, ready_at - SEC));
  g_assert_true (limit_share_allows (&share, 1.1, ready_at));
}

static bool
hear (request_limit_t *limit, limit_statement_kind_t kind, double rate,
      usec_t sent_at, usec_t now)
{
  const limit_statement_t statement = { .kind = kind, .rate = rate };
  return request_limit_hear (limit, &statement, sent_at, now);
}

static void
test_named_and_ended (void)
{
  request_limit_t limit = { 0 };
  g_assert_false (hear (&limit, LIMIT_NOT_NAMED, 0, NOW, NOW));
  g_assert_false (hear (&limit, LIMIT_UNREADABLE, 0, NOW, NOW));
  g_assert_true (hear (&limit, LIMIT_NAMED, 1.1, NOW, NOW + 10));
  g_assert_false (hear (&limit, LIMIT_NAMED, 1.1, NOW, NOW + 20));
  g_assert_true (hear (&limit, LIMIT_NAMED, 0, NOW, NOW + 30));
  g_assert_false (hear (&limit, LIMIT_UNREADABLE, 0, NOW + 40, NOW + 50));
  /* The request was sent before the limit was named last.  */
  g_assert_false (hear (&limit, LIMIT_NOT_NAMED, 0, NOW + 29, NOW + 60));
  g_assert_true (limit.is_in_force);
  g_assert_true (hear (&limit, LIMIT_NOT_NAMED, 0, NOW + 30, NOW + 70));
  g_assert_false (limit.is_in_force);
  g_assert_false (hear (&limit, LIMIT_NOT_NAMED, 0, NOW + 80, NOW + 90));
}

static void
test_told (void)
{
  request_limit_t teller = { 0 };
  request_limit_t hearer = { 0 };
  g_assert_cmpuint (request_limit_tell (&teller, NOW), ==,
                    LOAD_LIMIT_NOT_TOLD);
  hear (&teller, LIMIT_NAMED, 2.86, NOW, NOW);
  load_limit_t told = request_limit_tell (&teller, NOW);
  g_assert_true (request_limit_hear_told (&hearer, told, NOW));
  g_assert_cmpfloat_with_epsilon (hearer.rate, 2.8, 1e-9);
  g_assert_false (request_limit_hear_told (&hearer, told, NOW + SEC));
  /* What the own answers named more exactly is kept.  */
  g_assert_true (hear (&hearer, LIMIT_NAMED, 2.86, NOW, NOW + 2 * SEC));
  g_assert_false (request_limit_hear_told (&hearer, told, NOW + 3 * SEC));
  g_assert_cmpfloat_with_epsilon (hearer.rate, 2.86, 1e-9);
  /* An older report changes nothing; the end comes last.  */
  hear (&teller, LIMIT_NOT_NAMED, 0, NOW + 4 * SEC, NOW + 4 * SEC);
  g_assert_cmpuint (request_limit_tell (&teller, NOW + 4 * SEC), ==,
                    LOAD_LIMIT_ENDED);
  g_assert_false (
      request_limit_hear_told (&hearer, LOAD_LIMIT_ENDED, NOW + SEC));
  g_assert_true (
      request_limit_hear_told (&hearer, LOAD_LIMIT_ENDED, NOW + 4 * SEC));
  g_assert_false (request_limit_hear_told (&hearer, told, NOW + 3 * SEC));
  g_assert_false (hearer.is_in_force);
  g_assert_cmpuint (request_limit_tell (&teller, NOW + 10 * SEC), ==,
                    LOAD_LIMIT_NOT_TOLD);
}

static void
name_limit (backend_pool_t *pool, backend_t *backend, double rate, usec_t now)
{
  const limit_statement_t statement = { .kind = LIMIT_NAMED, .rate = rate };
  backend_pool_note_limit (pool, backend, &statement, now, now);
}

/* Other servers come first; health checks count; a new start has no limit. */
static void
test_pool (void)
{
  world_t world;
  world_init (&world);
  add_routers (&world, 3);
  add_backends (&world);
  backend_pool_t *pool = pool_open (&world);
  backend_t *backend = pick_any (&world, pool, 1, NOW);
  g_autofree char *id = g_strdup (backend->record.id);
  name_limit (pool, backend, 0.5, NOW);
  backend_t *other = pick_any (&world, pool, 1, NOW);
  g_assert_nonnull (other);
  g_assert_true (other != backend);
  usec_t later = NOW + 60 * SEC;
  g_assert_true (pick_any (&world, pool, 1, later) == backend);
  g_assert_true (backend_pool_begin_check (backend, later));
  g_assert_true (pick_any (&world, pool, 1, later) == other);
  backend_pool_probe_ended (pool, backend, true, 0, later);
  /* The list loses it and shows it again: the limit is of its start.  */
  backend_list_t whole;
  backend_list_copy (&whole, &world.list);
  backend_list_clear (&world.list);
  backend_list_finalize (&world.list);
  update (&world, pool, later);
  world.list = whole;
  update (&world, pool, later);
  g_assert_true (pick_any (&world, pool, 1, later) != backend);
  for (size_t i = 0; i < world.list.n_records; i++)
    if (strcmp (world.list.records[i].id, id) == 0)
      world.list.records[i].started_unix_ms++;
  update (&world, pool, later);
  g_assert_cmpstr (pick_any (&world, pool, 1, later)->record.id, ==, id);
  backend_pool_free (pool);
  world_clear (&world);
}

/* Where all are limited, the room that is counted is what the limits leave to
   this router.  */
static void
test_capacity (void)
{
  world_t world;
  world_init (&world);
  add_routers (&world, 2);
  add_backends (&world);
  backend_pool_t *pool = pool_open (&world);
  pool_query_t query = query_of (&world, 1);
  for (;;)
    {
      backend_t *backend = backend_pool_pick (pool, &query, NOW);
      if (!backend)
        break;
      name_limit (pool, backend, 1, NOW);
    }
  pool_capacity_t capacity = backend_pool_capacity (pool, &query, NOW);
  g_assert_cmpuint (capacity.slots, ==, 0);
  /* Two servers of the region north, which two routers share.  */
  g_assert_cmpfloat_with_epsilon (capacity.limited_rate, 1, 1e-9);
  g_assert_true (backend_pool_is_shared_by_others (pool, &query, NOW));
  g_assert_cmpint (backend_pool_rest_end (pool, &query, NOW), ==, 0);
  backend_pool_free (pool);
  world_clear (&world);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/limit/all-routers", test_all_routers_keep_to_it);
  g_test_add_func ("/limit/trials", test_news_put_trials_off);
  g_test_add_func ("/limit/named-and-ended", test_named_and_ended);
  g_test_add_func ("/limit/told", test_told);
  g_test_add_func ("/limit/pool", test_pool);
  g_test_add_func ("/limit/capacity", test_capacity);
  return g_test_run ();
}
