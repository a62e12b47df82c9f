/* Guards against evidence that a backend server has ended which reaches the
   directors late, or says more than was seen.  */

#include <glib.h>
#include <stdio.h>

#include "../support/sync_world.h"
#include "balance/pool_internal.h"
#include "fleet/backend_list.h"
#include "router/director_sync_internal.h"
#include "router/dispatcher_internal.h"
#include "wire/generated/fleet.h"

enum
{
  BACKENDS = 20,
};

#define COLD_START (3 * USEC_PER_SEC)
/* Between two pulls for evidence alone.  */
#define PULL_INTERVAL (100 * USEC_PER_MSEC)

typedef struct evidence_world
{
  sync_world_t *world;
  dispatcher_t *dispatcher;
  metrics_t *metrics;
  service_config_t service;
  route_config_t config;
  backend_list_t list;
} evidence_world_t;

static void
add_backend (evidence_world_t *evidence, unsigned number)
{
  backend_record_t record = { .slots = 1, .started_unix_ms = 1 };
  snprintf (record.id, sizeof record.id, "backend-%02u", number);
  strcpy (record.service.text, "search");
  strcpy (record.domain.text, "north-a");
  record.address = (inet_t){ .address = number + 1, .port = 80 };
  backend_list_add (&evidence->list, &record);
}

static void
evidence_open (evidence_world_t *evidence)
{
  *evidence = (evidence_world_t){ .world = sync_world_new () };
  strcpy (evidence->service.name.text, "search");
  evidence->service.cold_start_duration = COLD_START;
  evidence->service.cold_rate = 2;
  evidence->config
      = (route_config_t){ .n_services = 1, .services = &evidence->service };
  for (unsigned i = 0; i < BACKENDS; i++)
    add_backend (evidence, i);
  backend_list_finalize (&evidence->list);
  evidence->list.read_at = clock_monotonic ();
  const pool_update_t update
      = { .list = &evidence->list, .config = &evidence->config };
  backend_pool_t *pool = evidence->world->pool;
  backend_pool_update (pool, &update, clock_monotonic ());
  evidence->dispatcher = calloc (1, sizeof *evidence->dispatcher);
  evidence->dispatcher->pool = pool;
  evidence->dispatcher->options.sync = evidence->world->sync;
  evidence->metrics = metrics_new ();
  evidence->dispatcher->options.metrics
      = router_metrics_new (evidence->metrics);
  director_sync_set_seen_colds (evidence->world->sync,
                                &evidence->dispatcher->seen_colds);
}

static void
evidence_close (evidence_world_t *evidence)
{
  cold_table_clear (&evidence->dispatcher->seen_colds);
  router_metrics_free (evidence->dispatcher->options.metrics);
  metrics_free (evidence->metrics);
  free (evidence->dispatcher);
  backend_list_clear (&evidence->list);
  sync_world_free (evidence->world);
}

static backend_t *
backend_of (const evidence_world_t *evidence, size_t number)
{
  return evidence->world->pool->by_id_hash[number];
}

static void
refuse (evidence_world_t *evidence, size_t number, usec_t now)
{
  const backend_response_t response
      = { .is_unreachable = true, .was_refused = true };
  dispatcher_cold_evidence (evidence->dispatcher,
                            backend_of (evidence, number), &response, now);
}

/* Pull once; the director's process is SOURCE.  */
static void
pull_from (evidence_world_t *evidence, uint64_t source)
{
  fleet_pull_result_t result = { .confirmed_age = 0, .source = source };
  rpc_out_call_t *call = sync_world_pull (evidence->world);
  g_assert_nonnull (call);
  held_rpc_answer (call, (xdrproc_t)xdr_fleet_pull_result_t, &result);
}

/* Pull once, so that the next regular pull is not due.  */
static void
pull (evidence_world_t *evidence)
{
  pull_from (evidence, 1);
}

/* What is seen after many servers have ended at once is told as soon as what
   is seen after one has.  */
static void
test_told_soon_after_many (void)
{
  evidence_world_t evidence;
  evidence_open (&evidence);
  pull (&evidence);
  pull (&evidence);
  usec_t now = clock_monotonic ();
  for (size_t i = 0; i + 1 < BACKENDS; i++)
    refuse (&evidence, i, now);
  g_assert_cmpint (director_sync_next_pull (evidence.world->sync), <=, now);
  pull (&evidence);
  now += PULL_INTERVAL;
  refuse (&evidence, BACKENDS - 1, now);
  g_assert_cmpint (director_sync_next_pull (evidence.world->sync), <=,
                   now + PULL_INTERVAL);
  evidence_close (&evidence);
}

/* A health check that tells of a longer cold start than the service has.  */
static void
test_health_check_lies (void)
{
  evidence_world_t evidence;
  evidence_open (&evidence);
  usec_t now = clock_monotonic ();
  backend_t *backend = backend_of (&evidence, 0);
  backend_response_t response = { .is_complete = true,
                                  .status = 200,
                                  .cold_remaining = 3600 * USEC_PER_SEC };
  g_strlcpy (response.backend_id, backend->record.id,
             sizeof response.backend_id);
  dispatcher_cold_evidence (evidence.dispatcher, backend, &response, now);
  g_assert_cmpint (
      cold_table_until (&evidence.dispatcher->seen_colds, backend->id_hash),
      <=, now + COLD_START + USEC_PER_SEC);
  evidence_close (&evidence);
}

/* A server ends again shortly before its limit does.  */
static void
test_second_end_is_told_soon (void)
{
  evidence_world_t evidence;
  evidence_open (&evidence);
  pull (&evidence);
  pull (&evidence);
  usec_t now = clock_monotonic ();
  refuse (&evidence, 0, now - COLD_START - USEC_PER_SEC / 2);
  pull (&evidence);
  refuse (&evidence, 0, now);
  g_assert_cmpint (director_sync_next_pull (evidence.world->sync), <=,
                   now + PULL_INTERVAL);
  evidence_close (&evidence);
}

/* What the directors have told already is not worth another pull.  */
static void
test_known_is_not_hurried (void)
{
  evidence_world_t evidence;
  evidence_open (&evidence);
  pull (&evidence);
  pull (&evidence);
  usec_t now = clock_monotonic ();
  usec_t due_at = director_sync_next_pull (evidence.world->sync);
  const cold_report_t told = { .server = backend_of (&evidence, 0)->id_hash,
                               .until = now + USEC_PER_SEC + COLD_START };
  backend_pool_hear_colds (evidence.world->pool, &told, 1, now);
  refuse (&evidence, 0, now);
  g_assert_cmpint (director_sync_next_pull (evidence.world->sync), ==, due_at);
  evidence_close (&evidence);
}

/* A router that was paused can't tell how old an answer is that waited.  */
static void
test_late_answer_is_asked_again (void)
{
  evidence_world_t evidence;
  evidence_open (&evidence);
  backend_t *backend = backend_of (&evidence, 0);
  fleet_cold_t cold
      = { .server = backend->id_hash, .left = COLD_START / USEC_PER_MSEC };
  fleet_pull_result_t result
      = { .source = 1, .colds_known = 5, .colds = { 1, &cold } };
  const bool is_late[] = { true, false };
  for (size_t i = 0; i < G_N_ELEMENTS (is_late); i++)
    {
      rpc_out_call_t *call = sync_world_pull (evidence.world);
      g_assert_nonnull (call);
      if (is_late[i])
        g_usleep (11 * USEC_PER_SEC / 10);
      held_rpc_answer (call, (xdrproc_t)xdr_fleet_pull_result_t, &result);
      g_assert_cmpuint (evidence.world->sync->colds_known, ==,
                        is_late[i] ? 0 : result.colds_known);
      usec_t now = clock_monotonic ();
      director_sync_tick (evidence.world->sync, now);
      g_assert_true (backend_is_limited (backend, now) == !is_late[i]);
    }
  evidence_close (&evidence);
}

/* A director that was paused answers without a source, again and again: what
   it was told it has not kept.  */
static void
test_paused_director_is_told_again (void)
{
  evidence_world_t evidence;
  evidence_open (&evidence);
  director_sync_t *sync = evidence.world->sync;
  pull (&evidence);
  pull (&evidence);
  refuse (&evidence, 0, clock_monotonic ());
  for (int i = 0; i < 3; i++)
    {
      pull_from (&evidence, 0);
      g_assert_cmpuint (sync->seen_known, ==, 0);
      g_assert_cmpuint (director_sync_colds_state (sync).taken, ==, 0);
    }
  pull (&evidence);
  pull (&evidence);
  g_assert_cmpuint (director_sync_colds_state (sync).taken, ==,
                    evidence.dispatcher->seen_colds.n_changes);
  evidence_close (&evidence);
}

/* What a director takes that is not in touch with the leader reaches no other
   one.  */
static void
test_director_that_is_cut_off (void)
{
  evidence_world_t evidence;
  evidence_open (&evidence);
  director_sync_t *sync = evidence.world->sync;
  pull (&evidence);
  pull (&evidence);
  g_assert_true (director_sync_colds_state (sync).is_in_reach);
  refuse (&evidence, 0, clock_monotonic ());
  fleet_pull_result_t result
      = { .confirmed_age = 10 * USEC_PER_SEC, .source = 1 };
  held_rpc_answer (sync_world_pull (evidence.world),
                   (xdrproc_t)xdr_fleet_pull_result_t, &result);
  g_assert_cmpuint (director_sync_colds_state (sync).taken, ==, 0);
  g_assert_false (director_sync_colds_state (sync).is_in_reach);
  evidence_close (&evidence);
}

static void
answer_check (evidence_world_t *evidence, size_t number, bool is_answered,
              usec_t now)
{
  const call_owner_t owner = { .is_reach_check = true };
  const backend_response_t response
      = { .has_head = is_answered, .is_unreachable = !is_answered };
  dispatcher_reach_evidence (evidence->dispatcher, &owner,
                             backend_of (evidence, number), &response, now);
}

/* Connections to all backend servers are refused, the first one included in
   the checks that follow.  */
static void
refuse_all (evidence_world_t *evidence, usec_t now)
{
  const call_owner_t owner = { 0 };
  const backend_response_t response
      = { .is_unreachable = true, .was_refused = true };
  for (size_t i = 0; i < BACKENDS; i++)
    {
      dispatcher_reach_evidence (evidence->dispatcher, &owner,
                                 backend_of (evidence, i), &response, now);
      refuse (evidence, i, now);
    }
}

static size_t
n_limited (const evidence_world_t *evidence, usec_t now)
{
  size_t n = 0;
  for (size_t i = 0; i < BACKENDS; i++)
    n += backend_is_limited (backend_of (evidence, i), now);
  return n;
}

/* Guards against a router that has lost its links to all backend servers and
   has all others limit them.  */
static void
test_cut_off_tells_nothing (void)
{
  evidence_world_t evidence;
  evidence_open (&evidence);
  usec_t now = clock_monotonic ();
  refuse_all (&evidence, now);
  backend_reach_begin_round (&evidence.dispatcher->reach, 1, now);
  answer_check (&evidence, 0, false, now);
  refuse_all (&evidence, now);
  /* The one that was refused before there was a doubt.  */
  g_assert_cmpuint (evidence.dispatcher->seen_colds.n, <=, 1);
  g_assert_cmpuint (n_limited (&evidence, now), <=, 1);
  evidence_close (&evidence);
}

/* A part of the backend servers has ended; another one answers.  */
static void
test_ends_are_told_after_a_doubt (void)
{
  evidence_world_t evidence;
  evidence_open (&evidence);
  usec_t now = clock_monotonic ();
  refuse_all (&evidence, now);
  backend_reach_begin_round (&evidence.dispatcher->reach, 2, now);
  answer_check (&evidence, 0, false, now);
  answer_check (&evidence, 1, true, now);
  g_assert_cmpuint (evidence.dispatcher->seen_colds.n, ==, BACKENDS);
  g_assert_cmpuint (n_limited (&evidence, now), ==, BACKENDS);
  evidence_close (&evidence);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cold-evidence/told-soon-after-many",
                   test_told_soon_after_many);
  g_test_add_func ("/cold-evidence/health-check-lies", test_health_check_lies);
  g_test_add_func ("/cold-evidence/known-is-not-hurried",
                   test_known_is_not_hurried);
  g_test_add_func ("/cold-evidence/second-end-is-told-soon",
                   test_second_end_is_told_soon);
  g_test_add_func ("/cold-evidence/late-answer-is-asked-again",
                   test_late_answer_is_asked_again);
  g_test_add_func ("/cold-evidence/paused-director-is-told-again",
                   test_paused_director_is_told_again);
  g_test_add_func ("/cold-evidence/director-that-is-cut-off",
                   test_director_that_is_cut_off);
  g_test_add_func ("/cold-evidence/cut-off", test_cut_off_tells_nothing);
  g_test_add_func ("/cold-evidence/after-a-doubt",
                   test_ends_are_told_after_a_doubt);
  return g_test_run ();
}
