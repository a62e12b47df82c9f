#include "membership/version_sync.h"

#include <stdlib.h>

enum
{
  PARENT_RETRY_PULLS = 16, /* after which the parent is tried again */
};

struct version_sync
{
  version_sync_options_t options;
  version_store_t *store;
  version_table_t *table;
  usec_t started_at;
  usec_t pull_at;
  uint64_t in_force;
  usec_t in_force_at;
  usec_t newest_as_of; /* when the version was last known as the newest */
  bool has_newest_as_of;
  bool needs_full_text;     /* an answer was corrupt */
  size_t ancestors_skipped; /* that did not answer, from the parent on */
  size_t pulls_since_skip;
  size_t next_control; /* of the control VMs, modulo their number */
};

version_sync_t *
version_sync_new (const version_sync_options_t *options, usec_t now)
{
  version_sync_t *sync = calloc (1, sizeof *sync);
  if (!sync)
    abort ();
  sync->options = *options;
  sync->store = version_store_new ();
  sync->table = version_table_new (options->topology->n_vms);
  sync->started_at = now;
  sync->pull_at = now;
  sync->next_control = options->self;
  return sync;
}

void
version_sync_free (version_sync_t *sync)
{
  version_store_free (sync->store);
  version_table_free (sync->table);
  free (sync);
}

/* The N-th VM of this VM's failure domain, from 0; TOPOLOGY_NONE if there are
   fewer.  */
static vm_id_t
domain_vm (const version_sync_t *sync, size_t n)
{
  const topology_t *topology = sync->options.topology;
  domain_id_t domain = topology->vms[sync->options.self].domain;
  for (size_t i = 0; i < topology->n_vms; i++)
    if (topology->vms[i].domain == domain && n-- == 0)
      return (vm_id_t)i;
  return TOPOLOGY_NONE;
}

static size_t
own_position (const version_sync_t *sync)
{
  size_t position = 0;
  while (domain_vm (sync, position) != sync->options.self)
    position++;
  return position;
}

/* The entry VM to pull from, or TOPOLOGY_NONE for the control VMs.  */
static vm_id_t
parent_of (const version_sync_t *sync)
{
  size_t position = own_position (sync);
  for (size_t climb = 0; climb <= sync->ancestors_skipped; climb++)
    {
      if (position == 0)
        return TOPOLOGY_NONE;
      position = (position - 1) / VERSION_SYNC_FANOUT;
    }
  return domain_vm (sync, position);
}

static vm_id_t
control_at (const version_sync_t *sync, size_t turn)
{
  const topology_t *topology = sync->options.topology;
  size_t n = 0;
  for (size_t i = 0; i < topology->n_vms; i++)
    n += topology->vms[i].has_control;
  if (n == 0)
    return TOPOLOGY_NONE;
  turn %= n;
  for (size_t i = 0; i < topology->n_vms; i++)
    if (topology->vms[i].has_control && turn-- == 0)
      return (vm_id_t)i;
  return TOPOLOGY_NONE;
}

static version_sync_action_t *
add_action (list_t *actions, version_sync_action_kind_t kind)
{
  version_sync_action_t *action = calloc (1, sizeof *action);
  if (!action)
    abort ();
  action->kind = kind;
  list_push_back (actions, &action->link);
  return action;
}

void
version_sync_action_free (version_sync_action_t *action)
{
  free (action);
}

static void
report_self (version_sync_t *sync, usec_t now)
{
  version_report_t report
      = { .vm = sync->options.self, .version = sync->in_force };
  if (sync->in_force > 0)
    report.in_force_age_ms
        = (uint32_t)((now - sync->in_force_at) / USEC_PER_MSEC);
  version_table_report (sync->table, now, &report);
}

static version_sync_pull_t *
add_pull (version_sync_t *sync, vm_id_t vm, bool is_control, list_t *actions)
{
  version_sync_pull_t *pull
      = &add_action (actions, VERSION_SYNC_ACTION_PULL)->body.pull;
  pull->vm = vm;
  pull->is_control = is_control;
  if (!sync->needs_full_text)
    pull->version = version_store_version (sync->store);
  return pull;
}

/* Pull from all VMs that may have the version that this VM had before its
   start, or a newer one.  */
static void
pull_from_all (version_sync_t *sync, list_t *actions)
{
  const topology_t *topology = sync->options.topology;
  domain_id_t domain = topology->vms[sync->options.self].domain;
  for (size_t i = 0; i < topology->n_vms; i++)
    {
      if (topology->vms[i].has_control)
        add_pull (sync, (vm_id_t)i, true, actions);
      if (topology->vms[i].domain == domain && i != sync->options.self)
        add_pull (sync, (vm_id_t)i, false, actions);
    }
}

static void
pull_parent (version_sync_t *sync, usec_t now, list_t *actions)
{
  vm_id_t vm = parent_of (sync);
  bool is_control = vm == TOPOLOGY_NONE;
  if (is_control)
    vm = control_at (sync, sync->next_control++);
  if (vm == TOPOLOGY_NONE)
    return;
  if (sync->ancestors_skipped > 0
      && ++sync->pulls_since_skip >= PARENT_RETRY_PULLS)
    {
      sync->ancestors_skipped = 0;
      sync->pulls_since_skip = 0;
    }
  version_sync_pull_t *pull = add_pull (sync, vm, is_control, actions);
  pull->n_reports = version_table_collect (
      sync->table, now, VERSION_SYNC_REPORT_AGE_MAX, pull->reports);
}

static bool
may_apply (const version_sync_t *sync, usec_t now)
{
  return sync->in_force > 0
         || (sync->has_newest_as_of && sync->newest_as_of >= sync->started_at)
         || now >= sync->started_at + VERSION_SYNC_START_GRACE;
}

static void
apply_newest (version_sync_t *sync, usec_t now, list_t *actions)
{
  uint64_t version = version_store_version (sync->store);
  if (version <= sync->in_force || !may_apply (sync, now))
    return;
  sync->in_force = version;
  sync->in_force_at = now;
  add_action (actions, VERSION_SYNC_ACTION_APPLY)->body.apply_version
      = version;
}

void
version_sync_tick (version_sync_t *sync, usec_t now, list_t *actions)
{
  apply_newest (sync, now, actions);
  if (now < sync->pull_at)
    return;
  sync->pull_at = now + sync->options.pull_interval;
  report_self (sync, now);
  if (sync->in_force == 0)
    pull_from_all (sync, actions);
  else
    pull_parent (sync, now, actions);
}

void
version_sync_pull_answered (version_sync_t *sync, usec_t now, vm_id_t vm,
                            usec_t sent_at, const version_answer_t *answer,
                            list_t *actions)
{
  (void)vm;
  switch (version_store_apply (sync->store, answer))
    {
    case VERSION_CORRUPT:
      sync->needs_full_text = true;
      sync->pull_at = now;
      return;
    case VERSION_STORED:
      sync->needs_full_text = false;
      break;
    case VERSION_IGNORED:
      break;
    }
  if (answer->freshness != FRESHNESS_UNKNOWN)
    {
      usec_t newest_as_of = sent_at - answer->freshness;
      if (!sync->has_newest_as_of || newest_as_of > sync->newest_as_of)
        sync->newest_as_of = newest_as_of;
      sync->has_newest_as_of = true;
    }
  apply_newest (sync, now, actions);
}

void
version_sync_pull_failed (version_sync_t *sync, vm_id_t vm)
{
  if (vm == parent_of (sync))
    sync->ancestors_skipped++;
}

version_answer_t
version_sync_serve (version_sync_t *sync, usec_t now, uint64_t version,
                    const version_report_t *reports, size_t n_reports)
{
  for (size_t i = 0; i < n_reports; i++)
    version_table_report (sync->table, now, &reports[i]);
  return version_store_answer (sync->store, version,
                               version_sync_freshness (sync, now));
}

uint64_t
version_sync_version (const version_sync_t *sync)
{
  return sync->in_force;
}

const text_t *
version_sync_text (const version_sync_t *sync)
{
  return version_store_text (sync->store);
}

usec_t
version_sync_freshness (const version_sync_t *sync, usec_t now)
{
  return sync->has_newest_as_of ? now - sync->newest_as_of : FRESHNESS_UNKNOWN;
}
