/* Which VMs live: how fast changes reach all, and what that costs each.  */

#include <glib.h>

#include "base/random.h"
#include "membership/liveness.h"

#define PERIOD (500 * USEC_PER_MSEC)

typedef struct world
{
  size_t n;
  usec_t now;
  liveness_t **vms;
  bool *is_down;
  bool **is_cut; /* from, to */
  uint64_t rows; /* sent by all so far */
  uint64_t calls;
  random_state_t random;
} world_t;

static void
vm_start (world_t *world, size_t vm, uint64_t incarnation)
{
  const liveness_options_t options = { .n_vms = world->n,
                                       .self = (vm_id_t)vm,
                                       .incarnation = incarnation,
                                       .seed = vm + 1 };
  if (world->vms[vm])
    liveness_free (world->vms[vm]);
  world->vms[vm] = liveness_new (&options);
  world->is_down[vm] = false;
}

static world_t *
world_new (size_t n)
{
  world_t *world = g_new0 (world_t, 1);
  world->n = n;
  world->now = 100 * USEC_PER_SEC;
  world->vms = g_new0 (liveness_t *, n);
  world->is_down = g_new0 (bool, n);
  world->is_cut = g_new0 (bool *, n);
  random_seed (&world->random, 5);
  for (size_t i = 0; i < n; i++)
    {
      world->is_cut[i] = g_new0 (bool, n);
      vm_start (world, i, 1);
    }
  return world;
}

static void
world_free (world_t *world)
{
  for (size_t i = 0; i < world->n; i++)
    {
      liveness_free (world->vms[i]);
      g_free (world->is_cut[i]);
    }
  g_free (world->vms);
  g_free (world->is_down);
  g_free (world->is_cut);
  g_free (world);
}

/* FROM's heartbeat reaches TO, with its changes.  */
static void
deliver (world_t *world, size_t from, size_t to)
{
  liveness_record_t rows[LIVENESS_CHANGES_MAX];
  liveness_record_t own = liveness_own_record (world->vms[from], world->now);
  size_t n = liveness_changes (world->vms[from], rows);
  world->rows += n;
  liveness_heartbeat_received (world->vms[to], &own, world->now);
  for (size_t i = 0; i < n; i++)
    liveness_merge (world->vms[to], &rows[i]);
  if (!liveness_needs_full_state (world->vms[to]))
    return;
  for (size_t i = 0; i < world->n; i++)
    liveness_merge (world->vms[to],
                    liveness_record (world->vms[from], (vm_id_t)i));
}

static void
step (world_t *world)
{
  world->now += PERIOD;
  for (size_t from = 0; from < world->n; from++)
    {
      vm_id_t partners[LIVENESS_PEERS_MAX];
      if (world->is_down[from])
        continue;
      size_t n = liveness_next_peers (world->vms[from], partners);
      world->calls += n;
      for (size_t i = 0; i < n; i++)
        {
          size_t to = partners[i];
          if (world->is_down[to] || world->is_cut[from][to]
              || world->is_cut[to][from])
            {
              liveness_call_failed (world->vms[from], (vm_id_t)to, world->now);
              continue;
            }
          deliver (world, from, to);
          deliver (world, to, from);
        }
    }
}

static void
steps (world_t *world, int n)
{
  for (int i = 0; i < n; i++)
    step (world);
}

static size_t
count_seeing (const world_t *world, vm_id_t vm, bool reachable)
{
  size_t n = 0;
  for (size_t i = 0; i < world->n; i++)
    if (i != vm && !world->is_down[i]
        && liveness_is_reachable (world->vms[i], vm, world->now) == reachable)
      n++;
  return n;
}

/* Nobody takes a living VM for dead, and the calls of a VM do not grow with
   the number of VMs.  */
static void
test_calm (void)
{
  static const size_t sizes[] = { 9, 30, 100, 300 };
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      world_t *world = world_new (sizes[i]);
      steps (world, 120);
      world->calls = 0;
      world->rows = 0;
      steps (world, 20);
      for (size_t vm = 0; vm < world->n; vm++)
        g_assert_cmpuint (count_seeing (world, (vm_id_t)vm, false), ==, 0);
      g_assert_cmpuint (world->calls, <=, 20 * world->n * LIVENESS_PEERS_MAX);
      g_assert_cmpuint (world->rows, ==, 0);
      world_free (world);
    }
}

/* One that stops is out of reach for all within 6 s, one that starts within
   reach and known by its incarnation.  */
static void
test_stop_and_start (void)
{
  static const size_t sizes[] = { 9, 30, 100, 300 };
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      world_t *world = world_new (sizes[i]);
      steps (world, 40);
      world->is_down[3] = true;
      steps (world, 12);
      g_assert_cmpuint (count_seeing (world, 3, true), ==, 0);
      vm_start (world, 3, 2);
      steps (world, 12);
      g_assert_cmpuint (count_seeing (world, 3, false), ==, 0);
      for (size_t vm = 0; vm < world->n; vm++)
        if (vm != 3)
          g_assert_cmpuint (liveness_record (world->vms[vm], 3)->incarnation,
                            ==, 2);
      world_free (world);
    }
}

/* A VM that only a few can't reach denies that it is gone.  */
static void
test_denial (void)
{
  world_t *world = world_new (100);
  steps (world, 40);
  for (size_t i = 0; i < 10; i++)
    world->is_cut[i][50] = world->is_cut[50][i] = true;
  steps (world, 60);
  for (size_t i = 0; i < 10; i++)
    for (size_t j = 0; j < world->n; j++)
      world->is_cut[i][50] = world->is_cut[50][i] = false;
  steps (world, 40);
  g_assert_cmpuint (count_seeing (world, 50, false), ==, 0);
  world_free (world);
}

/* Two halves that hear nothing of each other, then meet again.  */
static void
test_halves (void)
{
  world_t *world = world_new (60);
  steps (world, 40);
  for (size_t i = 0; i < 30; i++)
    for (size_t j = 30; j < 60; j++)
      world->is_cut[i][j] = world->is_cut[j][i] = true;
  steps (world, 80);
  g_assert_cmpuint (count_seeing (world, 2, false), ==, 30);
  g_assert_cmpuint (count_seeing (world, 50, false), ==, 30);
  for (size_t i = 0; i < 60; i++)
    for (size_t j = 0; j < 60; j++)
      world->is_cut[i][j] = false;
  steps (world, 80);
  for (size_t vm = 0; vm < world->n; vm++)
    g_assert_cmpuint (count_seeing (world, (vm_id_t)vm, false), ==, 0);
  world_free (world);
}

/* An older incarnation's rows change nothing.  */
static void
test_old_rows (void)
{
  world_t *world = world_new (30);
  steps (world, 40);
  vm_start (world, 7, 5);
  steps (world, 12);
  const liveness_record_t old = { .vm = 7, .incarnation = 1, .revision = 90 };
  g_assert_false (liveness_merge (world->vms[2], &old));
  g_assert_true (liveness_is_reachable (world->vms[2], 7, world->now));
  const liveness_record_t nobody = { .vm = 30, .incarnation = 1 };
  g_assert_false (liveness_merge (world->vms[2], &nobody));
  world_free (world);
}

/* One that leaves is known to do so by all within 4 s.  */
static void
test_leaving (void)
{
  world_t *world = world_new (100);
  steps (world, 40);
  liveness_announce_leaving (world->vms[11]);
  steps (world, 8);
  for (size_t vm = 0; vm < world->n; vm++)
    g_assert_true (vm == 11
                   || liveness_record (world->vms[vm], 11)->is_leaving);
  world_free (world);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/liveness/calm", test_calm);
  g_test_add_func ("/liveness/stop-start", test_stop_and_start);
  g_test_add_func ("/liveness/denial", test_denial);
  g_test_add_func ("/liveness/halves", test_halves);
  g_test_add_func ("/liveness/old-rows", test_old_rows);
  g_test_add_func ("/liveness/leaving", test_leaving);
  return g_test_run ();
}
