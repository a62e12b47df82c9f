/* Guards against the end of a backend server that is charged to a later start
   of it, and against an orderly exit that is taken for a crash.  */

#include <glib.h>

#include "../support/sync_world.h"
#include "fleet/backend_list.h"
#include "router/dispatcher_internal.h"

#define SENT_AGO (USEC_PER_SEC / 2)
/* After it the backend server is asked whether it has ended.  */
#define CHECK_AGO (2 * ABANDONED_CHECK_INTERVAL)

static const fingerprint_t request = { .low = 1, .high = 2 };

typedef struct fixture
{
  sync_world_t *world;
  dispatcher_t *dispatcher;
  metrics_t *metrics;
  exchange_t *exchange; /* at the first start of the backend server */
  uint64_t boot;
  usec_t now;
} fixture_t;

/* Show the pool a list with the start STARTED of the backend server; 0: one
   without it.  Returns the boot.  */
static uint64_t
show (fixture_t *fixture, int64_t started, bool is_draining)
{
  backend_list_t list = { 0 };
  backend_record_t record = { .id = "backend-1",
                              .slots = 1,
                              .started_unix_ms = started,
                              .is_draining = is_draining };
  strcpy (record.service.text, "search");
  strcpy (record.domain.text, "north-a");
  if (started > 0)
    backend_list_add (&list, &record);
  backend_list_finalize (&list);
  list.read_at = fixture->now;
  const pool_update_t update = { .list = &list };
  backend_pool_update (fixture->world->pool, &update, fixture->now);
  backend_list_clear (&list);
  return backend_record_boot (&record);
}

static void
fixture_open (fixture_t *fixture)
{
  *fixture
      = (fixture_t){ .world = sync_world_new (), .now = clock_monotonic () };
  fixture->boot = show (fixture, 1, false);
  dispatcher_t *dispatcher = calloc (1, sizeof *dispatcher);
  dispatcher->pool = fixture->world->pool;
  dispatcher->options.sync = fixture->world->sync;
  fixture->metrics = metrics_new ();
  dispatcher->options.metrics = router_metrics_new (fixture->metrics);
  fixture->dispatcher = dispatcher;
  exchange_t *exchange = calloc (1, sizeof *exchange);
  exchange->backend = backend_pool_find_boot (dispatcher->pool, fixture->boot);
  exchange->owner.boot = fixture->boot;
  exchange->has_fingerprint = true;
  exchange->fingerprint = request;
  exchange->sent_at = fixture->now - SENT_AGO;
  exchange->deadline = fixture->now + USEC_PER_SEC;
  fixture->exchange = exchange;
}

/* The exchange's call, which keeps the backend server in the pool, begins.  */
static void
begin_call (fixture_t *fixture)
{
  const pool_query_t query = { 0 };
  backend_pool_request_sent (fixture->world->pool, fixture->exchange->backend,
                             &query, fixture->now);
}

static void
fixture_close (fixture_t *fixture)
{
  router_metrics_free (fixture->dispatcher->options.metrics);
  metrics_free (fixture->metrics);
  free (fixture->dispatcher);
  free (fixture->exchange);
  sync_world_free (fixture->world);
}

/* The crash that the request is charged with; NULL: none.  */
static const crash_t *
charged (const fixture_t *fixture)
{
  const suspect_t *suspect
      = crash_table_find (&fixture->dispatcher->crashes, request);
  return suspect && suspect->n_crashes > 0 ? &suspect->crashes[0] : NULL;
}

static void
end_call (fixture_t *fixture, const backend_response_t *response)
{
  dispatcher_crash_evidence (fixture->dispatcher, fixture->exchange, false,
                             response, fixture->now);
}

/* The list shows the later start before the call is cut off.  */
static void
test_cut_off_after_later_start (void)
{
  fixture_t fixture;
  fixture_open (&fixture);
  begin_call (&fixture);
  show (&fixture, 2, false);
  const backend_response_t response
      = { .was_cut_off = true, .may_have_reached = true };
  end_call (&fixture, &response);
  const crash_t *crash = charged (&fixture);
  g_assert_nonnull (crash);
  g_assert_true (crash->boot == fixture.boot);
  g_assert_true (crash->is_confirmed);
  fixture_close (&fixture);
}

/* Nothing is known to have ended at the later start.  */
static void
test_refused_after_later_start (void)
{
  fixture_t fixture;
  fixture_open (&fixture);
  begin_call (&fixture);
  uint64_t later = show (&fixture, 2, false);
  const crash_t crash = { .boot = later,
                          .sent_at = fixture.now - SENT_AGO,
                          .ended_at = fixture.now };
  crash_table_add (&fixture.dispatcher->crashes, request, &crash, fixture.now);
  const backend_response_t response = { .is_unreachable = true };
  end_call (&fixture, &response);
  g_assert_false (charged (&fixture)->is_confirmed);
  call_owner_t probe
      = { .backend = fixture.exchange->backend, .boot = fixture.boot };
  dispatcher_crash_evidence_of_probe (fixture.dispatcher, &probe, &response,
                                      fixture.now);
  g_assert_false (charged (&fixture)->is_confirmed);
  fixture_close (&fixture);
}

/* A call is given up on after the list has shown the later start: it was not
   cut off at the end of the earlier one, and runs on at the later one.  */
static void
test_given_up_after_later_start (void)
{
  fixture_t fixture;
  fixture_open (&fixture);
  begin_call (&fixture);
  uint64_t later = show (&fixture, 2, false);
  dispatcher_abandon_run (fixture.dispatcher, fixture.exchange, fixture.now);
  g_assert_null (charged (&fixture));
  dispatcher_confirm_end (fixture.dispatcher, later, "a test", fixture.now);
  g_assert_true (charged (&fixture)->boot == later);
  fixture_close (&fixture);
}

/* The request has ended the earlier start, is sent again before the list shows
   the later one, and ends that too.  */
static void
test_both_starts_end (void)
{
  fixture_t fixture;
  fixture_open (&fixture);
  begin_call (&fixture);
  const crash_t crash = { .boot = fixture.boot,
                          .sent_at = fixture.now - USEC_PER_SEC,
                          .ended_at = fixture.now - SENT_AGO,
                          .is_confirmed = true };
  crash_table_add (&fixture.dispatcher->crashes, request, &crash, fixture.now);
  show (&fixture, 2, false);
  const backend_response_t response = { .was_cut_off = true,
                                        .may_have_reached = true,
                                        .was_reconnected = true };
  end_call (&fixture, &response);
  const suspect_t *suspect
      = crash_table_find (&fixture.dispatcher->crashes, request);
  g_assert_cmpuint (suspect->n_crashes, ==, 2);
  fixture_close (&fixture);
}

typedef enum
{
  LEAVES_BY_ANSWER,
  LEAVES_BY_LIST,
  N_WAYS,
} way_t;

static void
leave (fixture_t *fixture, way_t way)
{
  if (way == LEAVES_BY_ANSWER)
    backend_pool_note_leaving (fixture->world->pool,
                               fixture->exchange->backend, fixture->now);
  else
    show (fixture, 1, true);
}

/* Given up on before the backend server left, or cut off at its end, by when
   no list shows it.  */
static void
test_left_in_order (void)
{
  for (way_t way = 0; way < N_WAYS; way++)
    {
      fixture_t fixture;
      fixture_open (&fixture);
      dispatcher_abandon_run (fixture.dispatcher, fixture.exchange,
                              fixture.now);
      leave (&fixture, way);
      show (&fixture, 0, false);
      dispatcher_check_abandoned (fixture.dispatcher, fixture.now + CHECK_AGO);
      g_assert_null (charged (&fixture));
      fixture_close (&fixture);
    }
}

/* The same, and its address is taken by a later start.  */
static void
test_left_and_started_again (void)
{
  for (way_t way = 0; way < N_WAYS; way++)
    {
      fixture_t fixture;
      fixture_open (&fixture);
      begin_call (&fixture);
      leave (&fixture, way);
      show (&fixture, 2, false);
      const backend_response_t response
          = { .was_cut_off = true, .may_have_reached = true };
      end_call (&fixture, &response);
      g_assert_null (charged (&fixture));
      fixture_close (&fixture);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/crash-start/cut-off-after-later-start",
                   test_cut_off_after_later_start);
  g_test_add_func ("/crash-start/refused-after-later-start",
                   test_refused_after_later_start);
  g_test_add_func ("/crash-start/given-up-after-later-start",
                   test_given_up_after_later_start);
  g_test_add_func ("/crash-start/both-starts-end", test_both_starts_end);
  g_test_add_func ("/crash-start/left-in-order", test_left_in_order);
  g_test_add_func ("/crash-start/left-and-started-again",
                   test_left_and_started_again);
  return g_test_run ();
}
