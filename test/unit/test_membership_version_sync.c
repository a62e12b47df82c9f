/* Simulated VMs of one failure domain that pull versions of the sheet: which
   VM they pull from, and that none returns to an older version.  */

#include <glib.h>
#include <string.h>

#include "membership/version_sync.h"

enum
{
  DOMAIN_VMS = 25,
  CONTROLS = 3, /* the first VMs also have a control process */
  STEP_MS = 20,
};

#define STEP (STEP_MS * USEC_PER_MSEC)
#define INTERVAL (500 * USEC_PER_MSEC)

typedef struct simulation
{
  usec_t now;
  vm_t vms[DOMAIN_VMS];
  topology_t topology;
  version_sync_t *syncs[DOMAIN_VMS];
  bool is_down[DOMAIN_VMS]; /* the entry process */
  bool is_control_cut;      /* no control process can be reached */
  version_store_t *controls[CONTROLS];
  usec_t freshness[CONTROLS];
  uint64_t in_force[DOMAIN_VMS];
  uint64_t pulls[DOMAIN_VMS]; /* sent or served */
  uint64_t reported[DOMAIN_VMS];
} simulation_t;

static void
start_vm (simulation_t *sim, size_t vm)
{
  const version_sync_options_t options = { .topology = &sim->topology,
                                           .self = (vm_id_t)vm,
                                           .pull_interval = INTERVAL };
  if (sim->syncs[vm])
    version_sync_free (sim->syncs[vm]);
  sim->syncs[vm] = version_sync_new (&options, sim->now);
}

static simulation_t *
simulation_new (void)
{
  simulation_t *sim = g_new0 (simulation_t, 1);
  sim->now = USEC_PER_SEC;
  sim->topology.vms = sim->vms;
  sim->topology.n_vms = DOMAIN_VMS;
  for (size_t i = 0; i < CONTROLS; i++)
    {
      sim->vms[i].has_control = true;
      sim->controls[i] = version_store_new ();
    }
  for (size_t i = 0; i < DOMAIN_VMS; i++)
    start_vm (sim, i);
  return sim;
}

static void
simulation_free (simulation_t *sim)
{
  for (size_t i = 0; i < CONTROLS; i++)
    version_store_free (sim->controls[i]);
  for (size_t i = 0; i < DOMAIN_VMS; i++)
    version_sync_free (sim->syncs[i]);
  g_free (sim);
}

static void
accept_version_on (simulation_t *sim, size_t control, uint64_t version)
{
  char *content
      = g_strdup_printf ("number,%" G_GUINT64_FORMAT "\nrow\n", version);
  text_t text = text_copy (content, strlen (content));
  g_free (content);
  version_store_put (sim->controls[control], version, &text);
}

static void
accept_version (simulation_t *sim, uint64_t version)
{
  for (size_t i = 0; i < CONTROLS; i++)
    accept_version_on (sim, i, version);
}

static void perform_actions (simulation_t *sim, size_t vm, list_t *actions);

static void
perform_pull (simulation_t *sim, size_t vm, const version_sync_pull_t *request)
{
  sim->pulls[vm]++;
  version_answer_t answer;
  if (request->is_control && !sim->is_control_cut)
    {
      for (size_t i = 0; i < request->n_reports; i++)
        sim->reported[request->reports[i].vm] = request->reports[i].version;
      answer
          = version_store_answer (sim->controls[request->vm], request->version,
                                  sim->freshness[request->vm]);
    }
  else if (!request->is_control && !sim->is_down[request->vm])
    {
      sim->pulls[request->vm]++;
      answer = version_sync_serve (sim->syncs[request->vm], sim->now,
                                   request->version, request->reports,
                                   request->n_reports);
    }
  else
    {
      version_sync_pull_failed (sim->syncs[vm], request->vm);
      return;
    }
  list_t actions;
  list_init (&actions);
  version_sync_pull_answered (sim->syncs[vm], sim->now, request->vm, sim->now,
                              &answer, &actions);
  version_answer_clear (&answer);
  perform_actions (sim, vm, &actions);
}

static void
perform_actions (simulation_t *sim, size_t vm, list_t *actions)
{
  list_t *link;
  while ((link = list_pop_front (actions)))
    {
      version_sync_action_t *action
          = LIST_ENTRY (link, version_sync_action_t, link);
      if (action->kind == VERSION_SYNC_ACTION_PULL)
        perform_pull (sim, vm, &action->body.pull);
      else
        {
          g_assert_cmpuint (action->body.apply_version, >=, sim->in_force[vm]);
          sim->in_force[vm] = action->body.apply_version;
        }
      version_sync_action_free (action);
    }
}

static void
run_for (simulation_t *sim, usec_t span)
{
  for (usec_t end = sim->now + span; sim->now < end; sim->now += STEP)
    for (size_t vm = 0; vm < DOMAIN_VMS; vm++)
      {
        if (sim->is_down[vm])
          continue;
        list_t actions;
        list_init (&actions);
        version_sync_tick (sim->syncs[vm], sim->now, &actions);
        perform_actions (sim, vm, &actions);
      }
}

static size_t
count_in_force (const simulation_t *sim, uint64_t version)
{
  size_t n = 0;
  for (size_t vm = 0; vm < DOMAIN_VMS; vm++)
    n += sim->in_force[vm] == version;
  return n;
}

static void
test_version_reaches_the_whole_domain (void)
{
  simulation_t *sim = simulation_new ();
  accept_version (sim, 1);
  run_for (sim, USEC_PER_SEC);
  g_assert_cmpuint (count_in_force (sim, 1), ==, DOMAIN_VMS);
  accept_version (sim, 2);
  run_for (sim, 2 * USEC_PER_SEC);
  g_assert_cmpuint (count_in_force (sim, 2), ==, DOMAIN_VMS);
  run_for (sim, 4 * USEC_PER_SEC);
  for (size_t vm = 0; vm < DOMAIN_VMS; vm++)
    g_assert_cmpuint (sim->reported[vm], ==, 2);
  simulation_free (sim);
}

/* A VM sends its own pulls and serves those of its children, no more.  */
static void
test_pulls_are_spread_evenly (void)
{
  simulation_t *sim = simulation_new ();
  accept_version (sim, 1);
  run_for (sim, 2 * USEC_PER_SEC);
  memset (sim->pulls, 0, sizeof sim->pulls);
  run_for (sim, 10 * USEC_PER_SEC);
  for (size_t vm = 0; vm < DOMAIN_VMS; vm++)
    g_assert_cmpuint (sim->pulls[vm], <=, 20 * (1 + VERSION_SYNC_FANOUT) + 5);
  simulation_free (sim);
}

/* The first 6 VMs, among them the parents of all others, are down.  The others
   must skip them and still get the new version.  */
static void
test_silent_parents_are_skipped (void)
{
  simulation_t *sim = simulation_new ();
  accept_version (sim, 1);
  run_for (sim, USEC_PER_SEC);
  for (size_t vm = 0; vm < 6; vm++)
    sim->is_down[vm] = true;
  accept_version (sim, 2);
  run_for (sim, 5 * USEC_PER_SEC);
  g_assert_cmpuint (count_in_force (sim, 2), ==, DOMAIN_VMS - 6);
  simulation_free (sim);
}

/* Control VM 0 has an old version, because it was cut off.  A VM that
   restarts has lost its version, and must not put the old one into force if
   that control VM answers first.  */
static void
test_restart_does_not_go_back (void)
{
  simulation_t *sim = simulation_new ();
  accept_version (sim, 5);
  accept_version_on (sim, 1, 7);
  accept_version_on (sim, 2, 7);
  sim->freshness[0] = FRESHNESS_UNKNOWN;
  run_for (sim, USEC_PER_SEC);
  g_assert_cmpuint (count_in_force (sim, 7), ==, DOMAIN_VMS);
  for (size_t vm = 0; vm < DOMAIN_VMS; vm++)
    {
      start_vm (sim, vm);
      run_for (sim, USEC_PER_SEC / 10);
      g_assert_cmpuint (version_sync_version (sim->syncs[vm]), !=, 5);
    }
  run_for (sim, USEC_PER_SEC);
  for (size_t vm = 0; vm < DOMAIN_VMS; vm++)
    g_assert_cmpuint (version_sync_version (sim->syncs[vm]), ==, 7);
  simulation_free (sim);
}

/* Without any control VM the VMs keep the version that they have.  One that
   restarts puts the highest version of its neighbours into force, but only
   after VERSION_SYNC_START_GRACE.  */
static void
test_cut_off_domain_keeps_its_version (void)
{
  simulation_t *sim = simulation_new ();
  accept_version (sim, 3);
  run_for (sim, USEC_PER_SEC);
  sim->is_control_cut = true;
  accept_version (sim, 4);
  run_for (sim, 20 * USEC_PER_SEC);
  g_assert_cmpuint (count_in_force (sim, 3), ==, DOMAIN_VMS);
  start_vm (sim, 9);
  run_for (sim, VERSION_SYNC_START_GRACE - 2 * INTERVAL);
  g_assert_cmpuint (version_sync_version (sim->syncs[9]), ==, 0);
  run_for (sim, 3 * INTERVAL);
  g_assert_cmpuint (version_sync_version (sim->syncs[9]), ==, 3);
  g_assert_cmpint (version_sync_freshness (sim->syncs[0], sim->now), >,
                   20 * USEC_PER_SEC);
  sim->is_control_cut = false;
  run_for (sim, 10 * USEC_PER_SEC);
  g_assert_cmpuint (count_in_force (sim, 4), ==, DOMAIN_VMS);
  simulation_free (sim);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/membership/version-sync/domain",
                   test_version_reaches_the_whole_domain);
  g_test_add_func ("/membership/version-sync/even",
                   test_pulls_are_spread_evenly);
  g_test_add_func ("/membership/version-sync/silent-parents",
                   test_silent_parents_are_skipped);
  g_test_add_func ("/membership/version-sync/restart",
                   test_restart_does_not_go_back);
  g_test_add_func ("/membership/version-sync/cut-off",
                   test_cut_off_domain_keeps_its_version);
  return g_test_run ();
}
