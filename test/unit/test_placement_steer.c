/* Tests of steer: nearest first, overflow to other regions, late or wrong
   hints, outlier ejection and return, slow start, and changes of the sheet. */

#include <glib.h>

#include "placement/steer.h"
#include "test_placement_world.h"

enum
{
  N_CHOICES = 400,
  IN_FLIGHT = 4,
};

static const usec_t run = 20000;

typedef struct fixture
{
  test_sheet_t test;
  steer_t *steer;
  random_state_t random;
  usec_t now;
} fixture_t;

static void
fixture_open (fixture_t *fixture)
{
  test_sheet_open (&fixture->test);
  steer_options_t options = { .topology = &test_topology, .home = 0 };
  fixture->steer = steer_new (&options, NULL);
  fixture->now = USEC_PER_SEC;
  random_seed (&fixture->random, 1);
  g_assert_true (
      steer_update (fixture->steer, &fixture->test.sheet, fixture->now, NULL));
}

static bool
choose (fixture_t *fixture, uint64_t regions_open, steer_choice_t *choice)
{
  steer_request_t request
      = { .deadline = fixture->now + 400000, .regions_open = regions_open };
  return steer_choose (fixture->steer, &request, fixture->now,
                       &fixture->random, choice);
}

static void
finish (fixture_t *fixture, backend_slot_t slot, run_outcome_t outcome,
        usec_t latency)
{
  steer_finished (fixture->steer, slot, slot, outcome, latency, fixture->now);
}

/* Choose N times with IN_FLIGHT requests running; count by slot.  */
static void
serve (fixture_t *fixture, int n, const run_outcome_t *outcomes,
       const usec_t *latencies, uint32_t *count)
{
  backend_slot_t running[IN_FLIGHT];
  for (int i = 0; i < n + IN_FLIGHT; i++)
    {
      backend_slot_t *oldest = &running[i % IN_FLIGHT];
      if (i >= IN_FLIGHT)
        {
          fixture->now += latencies[*oldest] / IN_FLIGHT;
          finish (fixture, *oldest, outcomes[*oldest], latencies[*oldest]);
        }
      if (i >= n)
        continue;
      steer_choice_t choice;
      g_assert_true (choose (fixture, ~(uint64_t)0, &choice));
      steer_started (fixture->steer, choice.slot);
      *oldest = choice.slot;
      count[choice.slot]++;
    }
}

static void
test_home_first_then_spill (void)
{
  fixture_t fixture;
  fixture_open (&fixture);
  steer_choice_t choice;
  for (int i = 0; i < TEST_BACKENDS / 2 * 3; i++)
    {
      g_assert_true (choose (&fixture, ~(uint64_t)0, &choice));
      g_assert_true (choice.has_free_slot);
      g_assert_cmpuint (choice.domain, ==, i / (TEST_PER_DOMAIN * 3));
      steer_started (fixture.steer, choice.slot);
    }
  /* A short wait at home costs less than the delay to the other region; a long
     wait costs more.  */
  uint32_t in_region[2] = { 0 };
  for (int i = 0; i < TEST_BACKENDS * 3; i++)
    {
      g_assert_true (choose (&fixture, ~(uint64_t)0, &choice));
      g_assert_true (i > 0 || choice.region == 0);
      steer_started (fixture.steer, choice.slot);
      in_region[choice.region]++;
    }
  g_assert_cmpuint (in_region[0], <=, TEST_BACKENDS / 2 * 3);
  g_assert_cmpuint (in_region[1], >=, TEST_BACKENDS / 2 * 3);
  steer_free (fixture.steer);
}

static void
test_closed_regions_are_left_out (void)
{
  fixture_t fixture;
  fixture_open (&fixture);
  steer_choice_t choice;
  g_assert_true (choose (&fixture, 2, &choice));
  g_assert_cmpuint (choice.region, ==, 1);
  g_assert_false (choose (&fixture, 0, &choice));
  fixture.test.shares[0].percent = 0;
  fixture.test.shares[1].percent = 100;
  steer_update (fixture.steer, &fixture.test.sheet, fixture.now, NULL);
  g_assert_true (choose (&fixture, ~(uint64_t)0, &choice));
  g_assert_cmpuint (choice.region, ==, 1);
  steer_free (fixture.steer);
}

/* A server reports itself idle and healthy while all its requests fail: its
   reports must not keep it from being ejected.  */
static void
test_failing_server_reported_healthy_is_ejected (void)
{
  fixture_t fixture;
  fixture_open (&fixture);
  run_outcome_t outcomes[TEST_BACKENDS] = { OUTCOME_FAILED };
  usec_t latencies[TEST_BACKENDS];
  uint32_t count[TEST_BACKENDS] = { 0 };
  for (int i = 0; i < TEST_BACKENDS; i++)
    latencies[i] = i == 0 ? 1000 : run;
  for (int i = 0; i < N_CHOICES; i++)
    {
      hint_t hint = { .healthy = true, .measured_at = fixture.now };
      steer_report (fixture.steer, "b0", HINT_ENDPOINT, &hint);
      serve (&fixture, 1, outcomes, latencies, count);
    }
  g_assert_cmpuint (count[0], <, 20);
  steer_free (fixture.steer);
}

static void
test_slow_server_gets_less_until_it_recovers (void)
{
  fixture_t fixture;
  fixture_open (&fixture);
  run_outcome_t outcomes[TEST_BACKENDS] = { OUTCOME_ANSWERED };
  usec_t latencies[TEST_BACKENDS];
  uint32_t slow[TEST_BACKENDS] = { 0 };
  for (int i = 0; i < TEST_BACKENDS; i++)
    latencies[i] = i == 0 ? 10 * run : run;
  serve (&fixture, N_CHOICES, outcomes, latencies, slow);
  g_assert_cmpuint (slow[0], <, slow[1] / 4);
  latencies[0] = run;
  fixture.now += 60 * USEC_PER_SEC;
  uint32_t well[TEST_BACKENDS] = { 0 };
  serve (&fixture, 4 * N_CHOICES, outcomes, latencies, well);
  g_assert_cmpuint (well[0], >, N_CHOICES);
  steer_free (fixture.steer);
}

static void
test_hint_fades_with_age (void)
{
  observe_t observe;
  observe_init (&observe, false, 0);
  hint_t hint = { .load = 8, .healthy = true, .measured_at = USEC_PER_SEC };
  observe_hint (&observe, HINT_PEER, &hint);
  hint_t older = { .load = 1, .healthy = true, .measured_at = 1 };
  observe_hint (&observe, HINT_PEER, &older);
  double fresh = observe_load (&observe, USEC_PER_SEC);
  double aged = observe_load (&observe, 2 * USEC_PER_SEC);
  double old = observe_load (&observe, 30 * USEC_PER_SEC);
  g_assert_cmpfloat (fresh, ==, 8);
  g_assert_cmpfloat (aged, <, 4);
  g_assert_cmpfloat (old, <, 0.1);
  hint.load = 0;
  hint.measured_at = 31 * USEC_PER_SEC;
  observe_hint (&observe, HINT_PEER, &hint);
  observe_start (&observe);
  g_assert_cmpfloat (observe_load (&observe, 31 * USEC_PER_SEC), ==, 1);
}

static void
test_returning_server_is_limited_to_one (void)
{
  observe_t observe;
  observe_init (&observe, false, 0);
  for (int i = 0; i < 10; i++)
    observe_end (&observe, OUTCOME_FAILED, 1000, 1);
  g_assert_true (observe_eject_outlier (&observe, run, 1));
  g_assert_false (observe_usable (&observe, USEC_PER_SEC));
  usec_t back = observe.ejected_until;
  g_assert_true (observe_usable (&observe, back));
  g_assert_cmpfloat (observe_limit (&observe, 3, back), ==, 1);
  observe_end (&observe, OUTCOME_FAILED, 1000, back);
  g_assert_true (observe_eject_outlier (&observe, run, back));
  g_assert_cmpint (observe.ejected_until - back, >, back);
}

static void
test_ramp_follows_latency (void)
{
  ramp_options_t options = ramp_defaults ();
  ramp_t good;
  ramp_t cold;
  ramp_begin (&good, &options, 0);
  ramp_begin (&cold, &options, 0);
  for (usec_t now = 0; now <= 4 * USEC_PER_SEC; now += options.period)
    {
      ramp_step (&good, 100, 100, now);
      ramp_step (&cold, 400, 100, now);
    }
  g_assert_true (ramp_over (&good));
  g_assert_cmpfloat (cold.fraction, ==, options.start);
  g_assert_cmpfloat (ramp_step (&cold, 400, 100, options.max_duration), ==, 1);
}

static void
test_slowdown_is_per_region_and_expires (void)
{
  fixture_t fixture;
  fixture_open (&fixture);
  g_assert_cmpfloat (steer_slowdown (fixture.steer, 0, fixture.now), ==, 1);
  for (int i = 0; i < 200; i++)
    finish (&fixture, 0, OUTCOME_ANSWERED, i < 100 ? run : 3 * run);
  g_assert_cmpfloat (steer_slowdown (fixture.steer, 0, fixture.now), >, 2);
  g_assert_cmpfloat (steer_slowdown (fixture.steer, 1, fixture.now), ==, 1);
  usec_t later = fixture.now + 5 * USEC_PER_SEC;
  g_assert_cmpfloat (steer_slowdown (fixture.steer, 0, later), ==, 1);
  steer_free (fixture.steer);
}

static void
test_leaving_server_gets_nothing_new (void)
{
  fixture_t fixture;
  fixture_open (&fixture);
  steer_choice_t choice;
  g_assert_true (choose (&fixture, 1, &choice));
  steer_started (fixture.steer, choice.slot);
  for (size_t i = 0; i < TEST_BACKENDS; i++)
    fixture.test.backends[i].state
        = i == choice.slot ? BACKEND_STOPPING : BACKEND_SERVING;
  steer_update (fixture.steer, &fixture.test.sheet, fixture.now, NULL);
  for (int i = 0; i < N_CHOICES; i++)
    {
      steer_choice_t other;
      g_assert_true (choose (&fixture, ~(uint64_t)0, &other));
      g_assert_cmpuint (other.slot, !=, choice.slot);
    }
  g_assert_cmpuint (steer_slots (fixture.steer, choice.slot, fixture.now), ==,
                    0);
  g_assert_cmpuint (steer_observe (fixture.steer, choice.slot)->in_flight, ==,
                    1);
  finish (&fixture, choice.slot, OUTCOME_ANSWERED, run);
  steer_free (fixture.steer);
}

/* A server crashes and returns under its name while the sheet stays the same:
   it is cold, and what its last start refused is no reason to spare it.  */
static void
test_crashed_server_returns_cold (void)
{
  fixture_t fixture;
  fixture_open (&fixture);
  for (int i = 0; i < 20; i++)
    finish (&fixture, 0, OUTCOME_ANSWERED, run);
  g_assert_cmpuint (steer_slots (fixture.steer, 0, fixture.now), ==, 3);
  for (int i = 0; i < 20; i++)
    finish (&fixture, 0, OUTCOME_REFUSED, run);
  fixture.now += USEC_PER_SEC;
  const observe_t *observe = steer_observe (fixture.steer, 0);
  g_assert_true (observe_backing_off (observe, fixture.now));
  steer_started (fixture.steer, 0);
  steer_started (fixture.steer, 0);
  finish (&fixture, 0, OUTCOME_DOWN, 0);
  g_assert_cmpuint (steer_slots (fixture.steer, 0, fixture.now), ==, 1);
  g_assert_false (observe_backing_off (observe, fixture.now));
  g_assert_cmpuint (observe->in_flight, ==, 1);
  fixture.now += 20 * USEC_PER_SEC;
  g_assert_cmpuint (steer_slots (fixture.steer, 0, fixture.now), ==, 3);
  steer_free (fixture.steer);
}

/* A server that stays down is ejected as one that fails, for longer each
   time.  */
static void
test_server_that_stays_down_is_ejected (void)
{
  fixture_t fixture;
  fixture_open (&fixture);
  bool ejected = false;
  for (int i = 0; i < 20 && !ejected; i++)
    ejected
        = steer_finished (fixture.steer, 0, 0, OUTCOME_DOWN, 0, fixture.now);
  g_assert_true (ejected);
  usec_t until = steer_observe (fixture.steer, 0)->ejected_until;
  g_assert_cmpuint (steer_slots (fixture.steer, 0, fixture.now), ==, 0);
  usec_t span = until - fixture.now;
  fixture.now = until;
  g_assert_true (
      steer_finished (fixture.steer, 0, 0, OUTCOME_DOWN, 0, fixture.now));
  until = steer_observe (fixture.steer, 0)->ejected_until;
  g_assert_cmpint (until - fixture.now, >, span);
  g_assert_cmpuint (steer_slots (fixture.steer, 0, until), ==, 1);
  steer_free (fixture.steer);
}

/* A sheet drops a server with a request in flight: the slot must stay valid
   until that request has ended.  */
static void
test_slot_outlives_the_sheet (void)
{
  fixture_t fixture;
  fixture_open (&fixture);
  steer_started (fixture.steer, 7);
  fixture.test.sheet.n_backends = 7;
  steer_update (fixture.steer, &fixture.test.sheet, fixture.now, NULL);
  backend_slot_t slot;
  g_assert_true (steer_find (fixture.steer, "b7", &slot));
  g_assert_cmpuint (slot, ==, 7);
  finish (&fixture, 7, OUTCOME_ANSWERED, run);
  g_assert_false (steer_find (fixture.steer, "b7", &slot));
  g_assert_true (steer_find (fixture.steer, "b6", &slot));
  steer_free (fixture.steer);
}

/* Guards against servers that all entry VMs found full at one moment and try
   again at one moment, where their requests refuse each other once more.  */
static void
test_overloaded_servers_return_one_by_one (void)
{
  enum
  {
    SERVERS = 200,
    REFUSALS = 40,
    WINDOWS = 100,
  };
  const usec_t window = 100 * USEC_PER_MSEC;
  const usec_t start = 50 * USEC_PER_SEC;
  size_t n_back[WINDOWS] = { 0 };
  for (size_t i = 0; i < SERVERS; i++)
    {
      observe_t observe;
      observe_init (&observe, false, 0);
      usec_t now = start;
      for (size_t j = 0; j < REFUSALS; j++)
        {
          now = start + (usec_t)(i * 50 + j * 1000);
          observe_back_off (&observe, now);
        }
      size_t n = 0;
      while (observe_backing_off (&observe, now) && n < WINDOWS)
        {
          now += window;
          n++;
        }
      g_assert_cmpuint (n, >=, 10);
      g_assert_cmpuint (n, <, WINDOWS);
      n_back[n]++;
    }
  for (size_t n = 0; n < WINDOWS; n++)
    g_assert_cmpuint (n_back[n], <=, SERVERS / 10);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/steer/spill", test_home_first_then_spill);
  g_test_add_func ("/steer/closed", test_closed_regions_are_left_out);
  g_test_add_func ("/steer/lying",
                   test_failing_server_reported_healthy_is_ejected);
  g_test_add_func ("/steer/slow",
                   test_slow_server_gets_less_until_it_recovers);
  g_test_add_func ("/steer/hint", test_hint_fades_with_age);
  g_test_add_func ("/steer/return", test_returning_server_is_limited_to_one);
  g_test_add_func ("/steer/ramp", test_ramp_follows_latency);
  g_test_add_func ("/steer/slowdown", test_slowdown_is_per_region_and_expires);
  g_test_add_func ("/steer/leaving", test_leaving_server_gets_nothing_new);
  g_test_add_func ("/steer/slot", test_slot_outlives_the_sheet);
  g_test_add_func ("/steer/crashed", test_crashed_server_returns_cold);
  g_test_add_func ("/steer/down", test_server_that_stays_down_is_ejected);
  g_test_add_func ("/steer/overloaded-return",
                   test_overloaded_servers_return_one_by_one);
  return g_test_run ();
}
