/* Failure detection in a simulated set of VMs: how fast a change reaches all
   of them, and what that costs each.  */

#include <glib.h>

#include "base/random.h"
#include "membership/liveness.h"

#define PERIOD (500 * USEC_PER_MSEC)

typedef struct simulation
{
  size_t n;
  usec_t now;
  liveness_t **vms;
  bool *is_down;
  bool **is_link_cut;    /* indexed by sender, receiver */
  uint64_t changes_sent; /* by all VMs */
  uint64_t calls;        /* made by all VMs */
  random_state_t random;
} simulation_t;

static void
vm_start (simulation_t *sim, size_t vm, uint64_t incarnation)
{
  const liveness_options_t options = { .n_vms = sim->n,
                                       .self = (vm_id_t)vm,
                                       .incarnation = incarnation,
                                       .seed = vm + 1 };
  if (sim->vms[vm])
    liveness_free (sim->vms[vm]);
  sim->vms[vm] = liveness_new (&options);
  sim->is_down[vm] = false;
}

static simulation_t *
simulation_new (size_t n)
{
  simulation_t *sim = g_new0 (simulation_t, 1);
  sim->n = n;
  sim->now = 100 * USEC_PER_SEC;
  sim->vms = g_new0 (liveness_t *, n);
  sim->is_down = g_new0 (bool, n);
  sim->is_link_cut = g_new0 (bool *, n);
  random_seed (&sim->random, 5);
  for (size_t i = 0; i < n; i++)
    {
      sim->is_link_cut[i] = g_new0 (bool, n);
      vm_start (sim, i, 1);
    }
  return sim;
}

static void
simulation_free (simulation_t *sim)
{
  for (size_t i = 0; i < sim->n; i++)
    {
      liveness_free (sim->vms[i]);
      g_free (sim->is_link_cut[i]);
    }
  g_free (sim->vms);
  g_free (sim->is_down);
  g_free (sim->is_link_cut);
  g_free (sim);
}

/* Deliver a heartbeat of FROM, with its changes, to TO.  */
static void
deliver_heartbeat (simulation_t *sim, size_t from, size_t to)
{
  liveness_record_t records[LIVENESS_CHANGES_MAX];
  liveness_record_t own_record
      = liveness_own_record (sim->vms[from], sim->now);
  size_t n = liveness_changes (sim->vms[from], records);
  sim->changes_sent += n;
  liveness_heartbeat_received (sim->vms[to], &own_record, sim->now);
  for (size_t i = 0; i < n; i++)
    liveness_merge (sim->vms[to], &records[i]);
  if (!liveness_needs_full_state (sim->vms[to]))
    return;
  for (size_t i = 0; i < sim->n; i++)
    liveness_merge (sim->vms[to],
                    liveness_record (sim->vms[from], (vm_id_t)i));
}

static void
run_period (simulation_t *sim)
{
  sim->now += PERIOD;
  for (size_t from = 0; from < sim->n; from++)
    {
      vm_id_t peers[LIVENESS_PEERS_MAX];
      if (sim->is_down[from])
        continue;
      size_t n = liveness_next_peers (sim->vms[from], peers);
      sim->calls += n;
      for (size_t i = 0; i < n; i++)
        {
          size_t to = peers[i];
          if (sim->is_down[to] || sim->is_link_cut[from][to]
              || sim->is_link_cut[to][from])
            {
              liveness_call_failed (sim->vms[from], (vm_id_t)to, sim->now);
              continue;
            }
          deliver_heartbeat (sim, from, to);
          deliver_heartbeat (sim, to, from);
        }
    }
}

static void
run_periods (simulation_t *sim, int n)
{
  for (int i = 0; i < n; i++)
    run_period (sim);
}

static size_t
count_views (const simulation_t *sim, vm_id_t vm, bool reachable)
{
  size_t n = 0;
  for (size_t i = 0; i < sim->n; i++)
    if (i != vm && !sim->is_down[i]
        && liveness_is_reachable (sim->vms[i], vm, sim->now) == reachable)
      n++;
  return n;
}

/* While nothing fails, no VM is reported as unreachable, no change is sent,
   and the number of calls of a VM does not grow with the number of VMs.  */
static void
test_no_false_alarm (void)
{
  static const size_t sizes[] = { 9, 30, 100, 300 };
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      simulation_t *sim = simulation_new (sizes[i]);
      run_periods (sim, 120);
      sim->calls = 0;
      sim->changes_sent = 0;
      run_periods (sim, 20);
      for (size_t vm = 0; vm < sim->n; vm++)
        g_assert_cmpuint (count_views (sim, (vm_id_t)vm, false), ==, 0);
      g_assert_cmpuint (sim->calls, <=, 20 * sim->n * LIVENESS_PEERS_MAX);
      g_assert_cmpuint (sim->changes_sent, ==, 0);
      simulation_free (sim);
    }
}

/* All VMs must see within 6 s that one has stopped, and within 6 s that it has
   started again, with its new incarnation.  */
static void
test_stop_and_start (void)
{
  static const size_t sizes[] = { 9, 30, 100, 300 };
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      simulation_t *sim = simulation_new (sizes[i]);
      run_periods (sim, 40);
      sim->is_down[3] = true;
      run_periods (sim, 12);
      g_assert_cmpuint (count_views (sim, 3, true), ==, 0);
      vm_start (sim, 3, 2);
      run_periods (sim, 12);
      g_assert_cmpuint (count_views (sim, 3, false), ==, 0);
      for (size_t vm = 0; vm < sim->n; vm++)
        if (vm != 3)
          g_assert_cmpuint (liveness_record (sim->vms[vm], 3)->incarnation, ==,
                            2);
      simulation_free (sim);
    }
}

/* When 10 of 100 VMs can't reach a VM they report it as unreachable.  The VM
   refutes that, so that all see it as reachable after the links are back.  */
static void
test_refutation (void)
{
  simulation_t *sim = simulation_new (100);
  run_periods (sim, 40);
  for (size_t i = 0; i < 10; i++)
    sim->is_link_cut[i][50] = sim->is_link_cut[50][i] = true;
  run_periods (sim, 60);
  for (size_t i = 0; i < 10; i++)
    for (size_t j = 0; j < sim->n; j++)
      sim->is_link_cut[i][50] = sim->is_link_cut[50][i] = false;
  run_periods (sim, 40);
  g_assert_cmpuint (count_views (sim, 50, false), ==, 0);
  simulation_free (sim);
}

/* A network partition into two halves: each sees the other as unreachable, and
   after the partition heals all VMs are reachable for all again.  */
static void
test_partition (void)
{
  simulation_t *sim = simulation_new (60);
  run_periods (sim, 40);
  for (size_t i = 0; i < 30; i++)
    for (size_t j = 30; j < 60; j++)
      sim->is_link_cut[i][j] = sim->is_link_cut[j][i] = true;
  run_periods (sim, 80);
  g_assert_cmpuint (count_views (sim, 2, false), ==, 30);
  g_assert_cmpuint (count_views (sim, 50, false), ==, 30);
  for (size_t i = 0; i < 60; i++)
    for (size_t j = 0; j < 60; j++)
      sim->is_link_cut[i][j] = false;
  run_periods (sim, 80);
  for (size_t vm = 0; vm < sim->n; vm++)
    g_assert_cmpuint (count_views (sim, (vm_id_t)vm, false), ==, 0);
  simulation_free (sim);
}

/* A late record of an older incarnation, even with a high revision, must not
   change what is known of the restarted VM.  A record of a VM that does not
   exist is ignored.  */
static void
test_outdated_records (void)
{
  simulation_t *sim = simulation_new (30);
  run_periods (sim, 40);
  vm_start (sim, 7, 5);
  run_periods (sim, 12);
  const liveness_record_t outdated
      = { .vm = 7, .incarnation = 1, .revision = 90 };
  g_assert_false (liveness_merge (sim->vms[2], &outdated));
  g_assert_true (liveness_is_reachable (sim->vms[2], 7, sim->now));
  const liveness_record_t unknown_vm = { .vm = 30, .incarnation = 1 };
  g_assert_false (liveness_merge (sim->vms[2], &unknown_vm));
  simulation_free (sim);
}

static void
check_takes_no_callers (const simulation_t *sim, vm_id_t of, bool expected)
{
  for (size_t vm = 0; vm < sim->n; vm++)
    g_assert_cmpint (liveness_record (sim->vms[vm], of)->takes_no_callers, ==,
                     expected);
}

/* All VMs must learn within 4 s that one serves, and that one is leaving.  */
static void
test_serving_and_leaving (void)
{
  simulation_t *sim = simulation_new (100);
  run_periods (sim, 40);
  check_takes_no_callers (sim, 11, true);
  g_assert_true (liveness_is_starting (liveness_record (sim->vms[3], 11)));
  liveness_announce_serving (sim->vms[11]);
  run_periods (sim, 8);
  check_takes_no_callers (sim, 11, false);
  liveness_announce_leaving (sim->vms[11]);
  run_periods (sim, 8);
  check_takes_no_callers (sim, 11, true);
  g_assert_false (liveness_is_starting (liveness_record (sim->vms[3], 11)));
  simulation_free (sim);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/liveness/no-false-alarm", test_no_false_alarm);
  g_test_add_func ("/liveness/stop-start", test_stop_and_start);
  g_test_add_func ("/liveness/refutation", test_refutation);
  g_test_add_func ("/liveness/partition", test_partition);
  g_test_add_func ("/liveness/outdated-records", test_outdated_records);
  g_test_add_func ("/liveness/serving-leaving", test_serving_and_leaving);
  return g_test_run ();
}
