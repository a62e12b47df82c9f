/* Tests of entry/backend_table.  They guard against requests that go to
   backend servers which are slow, still in slow start, leaving, or which
   report a wrong load.  Requests and runs are simulated in steps of 1 ms; VM 0
   grants the slots of its own failure domain, VM 1 those of the other one.  */

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "entry/backend_run.h"
#include "entry/backend_table.h"

enum
{
  LOCAL = 6,  /* backend servers in the home domain */
  REMOTE = 2, /* in the other one */
  BACKENDS = LOCAL + REMOTE,
  SLOTS = 3,
  RUNS_MAX = 64,
  STEP = USEC_PER_MSEC,
  WARM_USEC = 2 * USEC_PER_MSEC,
  BUSY = 6,   /* requests a step: two thirds of what the home domain runs */
  FLOOD = 12, /* more than it runs */
  SLOW_USEC = 60 * USEC_PER_MSEC,
};

static region_t regions[1] = { { .name = { "sapporo" }, .capacity = 100 } };
static failure_domain_t domains[2]
    = { { .name = { "sapporo-1" } }, { .name = { "sapporo-2" } } };
static vm_t vms[2]
    = { { .name = { "a" }, .domain = 0 }, { .name = { "b" }, .domain = 1 } };
static service_t services[1] = { { .name = { "songfind" },
                                   .weight = 1,
                                   .slots = SLOTS,
                                   .connections = 300,
                                   .deadline = 400 * USEC_PER_MSEC } };
static const settings_t settings
    = { .topology = { .regions = regions,
                      .n_regions = 1,
                      .domains = domains,
                      .n_domains = 2,
                      .vms = vms,
                      .n_vms = 2,
                      .services = services,
                      .n_services = 1,
                      .domain_delay = 500 },
        .limits = { .deadline_max = USEC_PER_SEC } };

typedef struct run
{
  bool live;
  placement_t place;
  usec_t began_at;
  usec_t ends_at;
} run_t;

typedef struct fixture
{
  current_sheet_t *current_sheet;
  backend_table_t *table;
  usec_t now;
  backend_state_t state[BACKENDS];
  usec_t service_time[BACKENDS];
  run_t runs[RUNS_MAX];
  unsigned n_here[BACKENDS];
  unsigned n_forward;
  unsigned n_wait;
  unsigned most[BACKENDS]; /* slots used at the same time */
} fixture_t;

/* Sheet NUMBER with the first N backend servers of the fixture.  */
static void
apply (fixture_t *fixture, uint64_t number, size_t n)
{
  sheet_t *sheet = calloc (1, sizeof *sheet);
  sheet->number = number;
  sheet->n_backends = n;
  sheet->backends = calloc (n, sizeof *sheet->backends);
  for (size_t i = 0; i < n; i++)
    {
      backend_t *backend = &sheet->backends[i];
      g_snprintf (backend->name.text, sizeof backend->name.text, "b%zu", i);
      backend->domain = i >= BACKENDS - REMOTE;
      backend->state = fixture->state[i];
    }
  g_assert_true (current_sheet_apply (fixture->current_sheet, sheet));
  backend_table_tick (fixture->table, fixture->now);
}

static void
open_fixture (fixture_t *fixture)
{
  *fixture = (fixture_t){ .current_sheet = current_sheet_new () };
  const backend_table_options_t options = {
    .settings = &settings, .current_sheet = fixture->current_sheet, .seed = 1
  };
  fixture->table = backend_table_new (&options, NULL);
  g_assert_nonnull (fixture->table);
  /* After the time without admissions that follows a start.  */
  fixture->now = clock_monotonic () + 3 * USEC_PER_SEC;
  for (size_t i = 0; i < BACKENDS; i++)
    fixture->service_time[i] = WARM_USEC;
}

static void
close_fixture (fixture_t *fixture)
{
  backend_table_free (fixture->table);
  current_sheet_free (fixture->current_sheet);
}

static void
end_runs (fixture_t *fixture)
{
  for (size_t i = 0; i < RUNS_MAX; i++)
    {
      run_t *run = &fixture->runs[i];
      if (!run->live || run->ends_at > fixture->now)
        continue;
      run->live = false;
      slots_release (backend_table_slots (fixture->table), &run->place.token);
      backend_table_run_ended (fixture->table, run->place.backend,
                               OUTCOME_ANSWERED, fixture->now - run->began_at,
                               fixture->now);
    }
}

static void
begin_run (fixture_t *fixture, const placement_t *place)
{
  size_t i = 0;
  while (fixture->runs[i].live)
    i++;
  uint32_t backend = place->backend;
  fixture->runs[i]
      = (run_t){ .live = true,
                 .place = *place,
                 .began_at = fixture->now,
                 .ends_at = fixture->now + fixture->service_time[backend] };
  backend_table_run_started (fixture->table, backend);
  fixture->n_here[backend]++;
  unsigned used = slots_used (backend_table_slots (fixture->table), backend);
  fixture->most[backend] = MAX (fixture->most[backend], used);
}

/* Simulate TIME with N_EACH requests per step, with new counts.  */
static void
simulate (fixture_t *fixture, usec_t time, unsigned n_each, bool may_forward)
{
  memset (fixture->n_here, 0, sizeof fixture->n_here);
  memset (fixture->most, 0, sizeof fixture->most);
  fixture->n_forward = 0;
  fixture->n_wait = 0;
  for (usec_t end = fixture->now + time; fixture->now < end;
       fixture->now += STEP)
    {
      end_runs (fixture);
      backend_table_tick (fixture->table, fixture->now);
      for (unsigned i = 0; i < n_each; i++)
        {
          placement_t place = backend_table_place (
              fixture->table, 0, fixture->now + USEC_PER_SEC / 2, 0,
              may_forward, fixture->now);
          if (place.kind == PLACE_LOCAL)
            begin_run (fixture, &place);
          fixture->n_forward += place.kind == PLACE_FORWARD;
          fixture->n_wait += place.kind == PLACE_WAIT;
        }
    }
}

static void
test_slow_backend_gets_less_until_fast_again (void)
{
  fixture_t fixture;
  open_fixture (&fixture);
  apply (&fixture, 1, LOCAL);
  simulate (&fixture, 2 * USEC_PER_SEC, BUSY, true);
  unsigned n_before = fixture.n_here[1];
  g_assert_cmpuint (fixture.n_here[0] * 2, >, n_before);
  fixture.service_time[0] = SLOW_USEC;
  simulate (&fixture, USEC_PER_SEC / 2, BUSY, true);
  simulate (&fixture, 4 * USEC_PER_SEC, BUSY, true);
  g_assert_cmpuint (fixture.n_here[0] * 100, <, fixture.n_here[1]);
  g_assert_cmpuint (fixture.n_wait * 100, <, fixture.n_here[1]);
  fixture.service_time[0] = WARM_USEC;
  simulate (&fixture, 10 * USEC_PER_SEC, BUSY, true);
  simulate (&fixture, 2 * USEC_PER_SEC, BUSY, true);
  g_assert_cmpuint (fixture.n_here[0] * 2, >, fixture.n_here[1]);
  close_fixture (&fixture);
}

static void
test_joining_backend_starts_slowly (void)
{
  fixture_t fixture;
  open_fixture (&fixture);
  apply (&fixture, 1, LOCAL - 1);
  simulate (&fixture, USEC_PER_SEC, FLOOD, false);
  g_assert_cmpuint (fixture.most[0], ==, SLOTS);
  fixture.state[LOCAL - 1] = BACKEND_JOINING;
  apply (&fixture, 2, LOCAL);
  simulate (&fixture, USEC_PER_SEC, FLOOD, false);
  g_assert_cmpuint (fixture.n_here[LOCAL - 1], >, 0);
  g_assert_cmpuint (fixture.most[LOCAL - 1], ==, 1);
  g_assert_cmpuint (fixture.most[0], ==, SLOTS);
  simulate (&fixture, 5 * USEC_PER_SEC, FLOOD, false);
  g_assert_cmpuint (fixture.most[LOCAL - 1], ==, SLOTS);
  close_fixture (&fixture);
}

static void
test_leaving_backend_gets_nothing (void)
{
  fixture_t fixture;
  open_fixture (&fixture);
  apply (&fixture, 1, LOCAL);
  simulate (&fixture, USEC_PER_SEC, 1, true);
  g_assert_cmpuint (fixture.n_here[2], >, 0);
  fixture.state[2] = BACKEND_LEAVING;
  apply (&fixture, 2, LOCAL);
  simulate (&fixture, USEC_PER_SEC, FLOOD, true);
  g_assert_cmpuint (fixture.n_here[2], ==, 0);
  for (size_t i = 0; i < LOCAL; i++)
    fixture.state[i] = BACKEND_STOPPING;
  apply (&fixture, 3, LOCAL);
  placement_t place = backend_table_place (
      fixture.table, 0, fixture.now + USEC_PER_SEC / 2, 0, false, fixture.now);
  g_assert_cmpint (place.kind, ==, PLACE_NONE);
  close_fixture (&fixture);
}

/* Report LOAD and HEALTHY for BACKEND every 100 ms of TIME.  */
static void
simulate_reports (fixture_t *fixture, usec_t time, uint32_t backend,
                  double load, bool healthy)
{
  unsigned n_here[BACKENDS] = { 0 };
  for (usec_t end = fixture->now + time; fixture->now < end;)
    {
      const hint_t hint
          = { .load = load, .healthy = healthy, .measured_at = fixture->now };
      backend_table_report (fixture->table, backend, &hint);
      simulate (fixture, USEC_PER_SEC / 10, 1, true);
      for (size_t i = 0; i < BACKENDS; i++)
        n_here[i] += fixture->n_here[i];
    }
  memcpy (fixture->n_here, n_here, sizeof n_here);
}

static void
test_wrong_report_does_not_decide (void)
{
  fixture_t fixture;
  open_fixture (&fixture);
  apply (&fixture, 1, LOCAL);
  simulate (&fixture, USEC_PER_SEC, 1, true);
  fixture.service_time[0] = SLOW_USEC;
  simulate_reports (&fixture, 4 * USEC_PER_SEC, 0, 0, true);
  g_assert_cmpuint (fixture.n_here[0] * 100, <, fixture.n_here[1]);
  /* Its answers outweigh the report that it is unhealthy.  */
  simulate_reports (&fixture, 4 * USEC_PER_SEC, 2, 0, false);
  g_assert_cmpuint (fixture.n_here[2] * 3, >, fixture.n_here[1]);
  close_fixture (&fixture);
}

static void
test_home_domain_first_then_forwarded (void)
{
  fixture_t fixture;
  open_fixture (&fixture);
  apply (&fixture, 1, BACKENDS);
  simulate (&fixture, USEC_PER_SEC, 1, true);
  g_assert_cmpuint (fixture.n_forward, ==, 0);
  usec_t now = fixture.now;
  usec_t deadline = now + USEC_PER_SEC / 2;
  for (size_t i = 0; i < (size_t)LOCAL * SLOTS; i++)
    {
      placement_t place
          = backend_table_place (fixture.table, 0, deadline, 0, true, now);
      if (place.kind == PLACE_LOCAL)
        begin_run (&fixture, &place);
    }
  placement_t place
      = backend_table_place (fixture.table, 0, deadline, 0, true, now);
  g_assert_cmpint (place.kind, ==, PLACE_FORWARD);
  g_assert_cmpint (place.vm, ==, 1);
  g_assert_cmpuint (place.backend, >=, LOCAL);
  place = backend_table_place (fixture.table, 0, deadline, 1 << 1, true, now);
  g_assert_cmpint (place.kind, ==, PLACE_WAIT);
  backend_table_peer_full (fixture.table, 1, 0, now);
  place = backend_table_place (fixture.table, 0, deadline, 0, true, now);
  g_assert_cmpint (place.kind, ==, PLACE_WAIT);
  close_fixture (&fixture);
}

static usec_t
run_time_of_reply (fixture_t *fixture, placement_kind_t kind)
{
  const placement_t place = { .kind = kind };
  const backend_reply_t reply = { .is_complete = true,
                                  .id_matches = true,
                                  .status = 200,
                                  .run_time = WARM_USEC };
  backend_run_t run = { 0 };
  usec_t end = fixture->now + SLOW_USEC;
  backend_run_begin (&run, fixture->table, &place, end, fixture->now);
  return backend_run_reply (&run, fixture->table, &reply, end);
}

/* A backend server must not appear fast by sending X-Mulberry-Run-Us itself;
   only an entry VM's report replaces the measured time.  */
static void
test_run_time_is_taken_from_entry_vms_only (void)
{
  fixture_t fixture;
  open_fixture (&fixture);
  apply (&fixture, 1, LOCAL);
  g_assert_cmpint (run_time_of_reply (&fixture, PLACE_LOCAL), ==, SLOW_USEC);
  g_assert_cmpint (run_time_of_reply (&fixture, PLACE_FORWARD), ==, WARM_USEC);
  close_fixture (&fixture);
}

/* Slots of the first backend server that are used in a flood just after a
   connection was refused, to it or to an entry VM.  */
static unsigned
most_after_refusal (placement_kind_t kind)
{
  fixture_t fixture;
  open_fixture (&fixture);
  apply (&fixture, 1, LOCAL);
  simulate (&fixture, USEC_PER_SEC, BUSY, false);
  const placement_t place = { .kind = kind };
  const backend_reply_t reply = { .was_refused = true };
  backend_run_t run = { 0 };
  backend_run_begin (&run, fixture.table, &place, fixture.now + SLOW_USEC,
                     fixture.now);
  backend_run_reply (&run, fixture.table, &reply, fixture.now);
  simulate (&fixture, 100 * USEC_PER_MSEC, FLOOD, false);
  unsigned most = fixture.most[0];
  close_fixture (&fixture);
  return most;
}

/* A backend server that crashed and returned gets a slow start; an entry VM
   that did says nothing of the backend servers behind it.  */
static void
test_refused_connection_begins_slow_start (void)
{
  g_assert_cmpuint (most_after_refusal (PLACE_LOCAL), ==, 1);
  g_assert_cmpuint (most_after_refusal (PLACE_FORWARD), ==, SLOTS);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/backend_table/slow",
                   test_slow_backend_gets_less_until_fast_again);
  g_test_add_func ("/backend_table/joining",
                   test_joining_backend_starts_slowly);
  g_test_add_func ("/backend_table/leaving",
                   test_leaving_backend_gets_nothing);
  g_test_add_func ("/backend_table/lying", test_wrong_report_does_not_decide);
  g_test_add_func ("/backend_table/home_first",
                   test_home_domain_first_then_forwarded);
  g_test_add_func ("/backend_table/run_time",
                   test_run_time_is_taken_from_entry_vms_only);
  g_test_add_func ("/backend_table/refused",
                   test_refused_connection_begins_slow_start);
  return g_test_run ();
}
