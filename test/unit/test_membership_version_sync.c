/* Tests of membership's spread: whom a VM asks, and that it never goes back.
 */

#include <glib.h>
#include <string.h>

#include "membership/version_sync.h"

enum
{
  DOMAIN_VMS = 25,
  CONTROLS = 3, /* the first VMs have a control process too */
  STEP_MS = 20,
};

#define STEP (STEP_MS * USEC_PER_MSEC)
#define INTERVAL (500 * USEC_PER_MSEC)

typedef struct world
{
  usec_t now;
  vm_t vms[DOMAIN_VMS];
  topology_t topology;
  version_sync_t *spreads[DOMAIN_VMS];
  bool is_down[DOMAIN_VMS]; /* the entry process */
  bool is_cut;              /* from control */
  version_store_t *controls[CONTROLS];
  usec_t freshness[CONTROLS];
  uint64_t in_force[DOMAIN_VMS];
  uint64_t pulls[DOMAIN_VMS]; /* sent or served */
  uint64_t reported[DOMAIN_VMS];
} world_t;

static void
world_start (world_t *world, size_t vm)
{
  const version_sync_options_t options = { .topology = &world->topology,
                                           .self = (vm_id_t)vm,
                                           .pull_interval = INTERVAL };
  if (world->spreads[vm])
    version_sync_free (world->spreads[vm]);
  world->spreads[vm] = version_sync_new (&options, world->now);
}

static world_t *
world_new (void)
{
  world_t *world = g_new0 (world_t, 1);
  world->now = USEC_PER_SEC;
  world->topology.vms = world->vms;
  world->topology.n_vms = DOMAIN_VMS;
  for (size_t i = 0; i < CONTROLS; i++)
    {
      world->vms[i].has_control = true;
      world->controls[i] = version_store_new ();
    }
  for (size_t i = 0; i < DOMAIN_VMS; i++)
    world_start (world, i);
  return world;
}

static void
world_free (world_t *world)
{
  for (size_t i = 0; i < CONTROLS; i++)
    version_store_free (world->controls[i]);
  for (size_t i = 0; i < DOMAIN_VMS; i++)
    version_sync_free (world->spreads[i]);
  g_free (world);
}

static void
accept_on (world_t *world, size_t control, uint64_t version)
{
  char *content
      = g_strdup_printf ("number,%" G_GUINT64_FORMAT "\nrow\n", version);
  text_t text = text_copy (content, strlen (content));
  g_free (content);
  version_store_put (world->controls[control], version, &text);
}

static void
accept (world_t *world, uint64_t version)
{
  for (size_t i = 0; i < CONTROLS; i++)
    accept_on (world, i, version);
}

static void perform (world_t *world, size_t vm, list_t *actions);

static void
pull (world_t *world, size_t vm, const version_sync_pull_t *ask)
{
  world->pulls[vm]++;
  version_answer_t answer;
  if (ask->is_control && !world->is_cut)
    {
      for (size_t i = 0; i < ask->n_reports; i++)
        world->reported[ask->reports[i].vm] = ask->reports[i].version;
      answer = version_store_answer (world->controls[ask->vm], ask->version,
                                     world->freshness[ask->vm]);
    }
  else if (!ask->is_control && !world->is_down[ask->vm])
    {
      world->pulls[ask->vm]++;
      answer = version_sync_serve (world->spreads[ask->vm], world->now,
                                   ask->version, ask->reports, ask->n_reports);
    }
  else
    {
      version_sync_pull_failed (world->spreads[vm], ask->vm);
      return;
    }
  list_t actions;
  list_init (&actions);
  version_sync_pull_answered (world->spreads[vm], world->now, ask->vm,
                              world->now, &answer, &actions);
  version_answer_clear (&answer);
  perform (world, vm, &actions);
}

static void
perform (world_t *world, size_t vm, list_t *actions)
{
  list_t *link;
  while ((link = list_pop_front (actions)))
    {
      version_sync_action_t *action
          = LIST_ENTRY (link, version_sync_action_t, link);
      if (action->kind == VERSION_SYNC_ACTION_PULL)
        pull (world, vm, &action->body.pull);
      else
        {
          g_assert_cmpuint (action->body.apply_version, >=,
                            world->in_force[vm]);
          world->in_force[vm] = action->body.apply_version;
        }
      version_sync_action_free (action);
    }
}

static void
run (world_t *world, usec_t span)
{
  for (usec_t end = world->now + span; world->now < end; world->now += STEP)
    for (size_t vm = 0; vm < DOMAIN_VMS; vm++)
      {
        if (world->is_down[vm])
          continue;
        list_t actions;
        list_init (&actions);
        version_sync_tick (world->spreads[vm], world->now, &actions);
        perform (world, vm, &actions);
      }
}

static size_t
count_in_force (const world_t *world, uint64_t version)
{
  size_t n = 0;
  for (size_t vm = 0; vm < DOMAIN_VMS; vm++)
    n += world->in_force[vm] == version;
  return n;
}

static void
test_version_reaches_the_whole_domain (void)
{
  world_t *world = world_new ();
  accept (world, 1);
  run (world, USEC_PER_SEC);
  g_assert_cmpuint (count_in_force (world, 1), ==, DOMAIN_VMS);
  accept (world, 2);
  run (world, 2 * USEC_PER_SEC);
  g_assert_cmpuint (count_in_force (world, 2), ==, DOMAIN_VMS);
  run (world, 4 * USEC_PER_SEC);
  for (size_t vm = 0; vm < DOMAIN_VMS; vm++)
    g_assert_cmpuint (world->reported[vm], ==, 2);
  world_free (world);
}

/* One VM sends or serves no more than its pull and those of its children. */
static void
test_pulls_are_spread_evenly (void)
{
  world_t *world = world_new ();
  accept (world, 1);
  run (world, 2 * USEC_PER_SEC);
  memset (world->pulls, 0, sizeof world->pulls);
  run (world, 10 * USEC_PER_SEC);
  for (size_t vm = 0; vm < DOMAIN_VMS; vm++)
    g_assert_cmpuint (world->pulls[vm], <=,
                      20 * (1 + VERSION_SYNC_FANOUT) + 5);
  world_free (world);
}

static void
test_silent_parents_are_passed_by (void)
{
  world_t *world = world_new ();
  accept (world, 1);
  run (world, USEC_PER_SEC);
  for (size_t vm = 0; vm < 6; vm++)
    world->is_down[vm] = true;
  accept (world, 2);
  run (world, 5 * USEC_PER_SEC);
  g_assert_cmpuint (count_in_force (world, 2), ==, DOMAIN_VMS - 6);
  world_free (world);
}

/* Control VM 0 was cut off long ago and has old state.  */
static void
test_restart_without_disk_does_not_go_back (void)
{
  world_t *world = world_new ();
  accept (world, 5);
  accept_on (world, 1, 7);
  accept_on (world, 2, 7);
  world->freshness[0] = FRESHNESS_UNKNOWN;
  run (world, USEC_PER_SEC);
  g_assert_cmpuint (count_in_force (world, 7), ==, DOMAIN_VMS);
  for (size_t vm = 0; vm < DOMAIN_VMS; vm++)
    {
      world_start (world, vm);
      run (world, USEC_PER_SEC / 10);
      g_assert_cmpuint (version_sync_version (world->spreads[vm]), !=, 5);
    }
  run (world, USEC_PER_SEC);
  for (size_t vm = 0; vm < DOMAIN_VMS; vm++)
    g_assert_cmpuint (version_sync_version (world->spreads[vm]), ==, 7);
  world_free (world);
}

/* Nothing fresh can be reached: the highest there is, after a while.  */
static void
test_cut_off_domain_goes_on (void)
{
  world_t *world = world_new ();
  accept (world, 3);
  run (world, USEC_PER_SEC);
  world->is_cut = true;
  accept (world, 4);
  run (world, 20 * USEC_PER_SEC);
  g_assert_cmpuint (count_in_force (world, 3), ==, DOMAIN_VMS);
  world_start (world, 9);
  run (world, VERSION_SYNC_START_GRACE - 2 * INTERVAL);
  g_assert_cmpuint (version_sync_version (world->spreads[9]), ==, 0);
  run (world, 3 * INTERVAL);
  g_assert_cmpuint (version_sync_version (world->spreads[9]), ==, 3);
  g_assert_cmpint (version_sync_freshness (world->spreads[0], world->now), >,
                   20 * USEC_PER_SEC);
  world->is_cut = false;
  run (world, 10 * USEC_PER_SEC);
  g_assert_cmpuint (count_in_force (world, 4), ==, DOMAIN_VMS);
  world_free (world);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/membership/spread/domain",
                   test_version_reaches_the_whole_domain);
  g_test_add_func ("/membership/spread/even", test_pulls_are_spread_evenly);
  g_test_add_func ("/membership/spread/silent-parents",
                   test_silent_parents_are_passed_by);
  g_test_add_func ("/membership/spread/restart",
                   test_restart_without_disk_does_not_go_back);
  g_test_add_func ("/membership/spread/cut-off", test_cut_off_domain_goes_on);
  return g_test_run ();
}
