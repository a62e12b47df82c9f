#include "membership/version_sync.h"

#include <stdlib.h>

enum
{
  RETRY_PARENT_PULLS = 16, /* after which a silent parent is tried again */
};

struct spread
{
  version_sync_options_t options;
  version_store_t *store;
  version_table_t *table;
  usec_t started_at;
  usec_t pull_at;
  uint64_t in_force;
  usec_t in_force_at;
  usec_t fresh_at;
  bool is_fresh;
  bool wants_full; /* a delta did not fit */
  size_t climbed;  /* steps above the parent, after failures */
  size_t climbed_pulls;
  size_t control_turn;
};

version_sync_t *
version_sync_new (const version_sync_options_t *options, usec_t now)
{
  version_sync_t *spread = calloc (1, sizeof *spread);
  if (!spread)
    abort ();
  spread->options = *options;
  spread->store = version_store_new ();
  spread->table = version_table_new (options->topology->n_vms);
  spread->started_at = now;
  spread->pull_at = now;
  spread->control_turn = options->self;
  return spread;
}

void
version_sync_free (version_sync_t *spread)
{
  version_store_free (spread->store);
  version_table_free (spread->table);
  free (spread);
}

/* The N-th VM of the own failure domain; TOPOLOGY_NONE beyond the last.  */
static vm_id_t
domain_vm (const version_sync_t *spread, size_t n)
{
  const topology_t *topology = spread->options.topology;
  domain_id_t domain = topology->vms[spread->options.self].domain;
  for (size_t i = 0; i < topology->n_vms; i++)
    if (topology->vms[i].domain == domain && n-- == 0)
      return (vm_id_t)i;
  return TOPOLOGY_NONE;
}

static size_t
own_position (const version_sync_t *spread)
{
  size_t position = 0;
  while (domain_vm (spread, position) != spread->options.self)
    position++;
  return position;
}

/* Where to ask now: an entry VM of the domain, or TOPOLOGY_NONE for the
   control VMs.  */
static vm_id_t
parent_of (const version_sync_t *spread)
{
  size_t position = own_position (spread);
  for (size_t climb = 0; climb <= spread->climbed; climb++)
    {
      if (position == 0)
        return TOPOLOGY_NONE;
      position = (position - 1) / VERSION_SYNC_FANOUT;
    }
  return domain_vm (spread, position);
}

static vm_id_t
control_at (const version_sync_t *spread, size_t turn)
{
  const topology_t *topology = spread->options.topology;
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
report_self (version_sync_t *spread, usec_t now)
{
  version_report_t report
      = { .vm = spread->options.self, .version = spread->in_force };
  if (spread->in_force > 0)
    report.in_force_age_ms
        = (uint32_t)((now - spread->in_force_at) / USEC_PER_MSEC);
  version_table_report (spread->table, now, &report);
}

static version_sync_pull_t *
add_pull (version_sync_t *spread, vm_id_t vm, bool is_control, list_t *actions)
{
  version_sync_pull_t *pull
      = &add_action (actions, VERSION_SYNC_ACTION_PULL)->body.pull;
  pull->vm = vm;
  pull->is_control = is_control;
  if (!spread->wants_full)
    pull->version = version_store_version (spread->store);
  return pull;
}

/* Ask all who may know more than this VM did before its start.  */
static void
pull_widely (version_sync_t *spread, list_t *actions)
{
  const topology_t *topology = spread->options.topology;
  domain_id_t domain = topology->vms[spread->options.self].domain;
  for (size_t i = 0; i < topology->n_vms; i++)
    {
      if (topology->vms[i].has_control)
        add_pull (spread, (vm_id_t)i, true, actions);
      if (topology->vms[i].domain == domain && i != spread->options.self)
        add_pull (spread, (vm_id_t)i, false, actions);
    }
}

static void
pull_parent (version_sync_t *spread, usec_t now, list_t *actions)
{
  vm_id_t vm = parent_of (spread);
  bool is_control = vm == TOPOLOGY_NONE;
  if (is_control)
    vm = control_at (spread, spread->control_turn++);
  if (vm == TOPOLOGY_NONE)
    return;
  if (spread->climbed > 0 && ++spread->climbed_pulls >= RETRY_PARENT_PULLS)
    {
      spread->climbed = 0;
      spread->climbed_pulls = 0;
    }
  version_sync_pull_t *pull = add_pull (spread, vm, is_control, actions);
  pull->n_reports = version_table_collect (
      spread->table, now, VERSION_SYNC_REPORT_AGE_MAX, pull->reports);
}

static bool
may_apply (const version_sync_t *spread, usec_t now)
{
  return spread->in_force > 0
         || (spread->is_fresh && spread->fresh_at >= spread->started_at)
         || now >= spread->started_at + VERSION_SYNC_START_GRACE;
}

static void
apply (version_sync_t *spread, usec_t now, list_t *actions)
{
  uint64_t version = version_store_version (spread->store);
  if (version <= spread->in_force || !may_apply (spread, now))
    return;
  spread->in_force = version;
  spread->in_force_at = now;
  add_action (actions, VERSION_SYNC_ACTION_APPLY)->body.apply_version
      = version;
}

void
version_sync_tick (version_sync_t *spread, usec_t now, list_t *actions)
{
  apply (spread, now, actions);
  if (now < spread->pull_at)
    return;
  spread->pull_at = now + spread->options.pull_interval;
  report_self (spread, now);
  if (spread->in_force == 0)
    pull_widely (spread, actions);
  else
    pull_parent (spread, now, actions);
}

void
version_sync_pull_answered (version_sync_t *spread, usec_t now, vm_id_t vm,
                            usec_t sent_at, const version_answer_t *answer,
                            list_t *actions)
{
  (void)vm;
  switch (version_store_apply (spread->store, answer))
    {
    case VERSION_CORRUPT:
      spread->wants_full = true;
      spread->pull_at = now;
      return;
    case VERSION_STORED:
      spread->wants_full = false;
      break;
    case VERSION_IGNORED:
      break;
    }
  if (answer->freshness != FRESHNESS_UNKNOWN)
    {
      usec_t fresh_at = sent_at - answer->freshness;
      if (!spread->is_fresh || fresh_at > spread->fresh_at)
        spread->fresh_at = fresh_at;
      spread->is_fresh = true;
    }
  apply (spread, now, actions);
}

void
version_sync_pull_failed (version_sync_t *spread, vm_id_t vm)
{
  if (vm == parent_of (spread))
    spread->climbed++;
}

version_answer_t
version_sync_serve (version_sync_t *spread, usec_t now, uint64_t version,
                    const version_report_t *reports, size_t n_reports)
{
  for (size_t i = 0; i < n_reports; i++)
    version_table_report (spread->table, now, &reports[i]);
  return version_store_answer (spread->store, version,
                               version_sync_freshness (spread, now));
}

uint64_t
version_sync_version (const version_sync_t *spread)
{
  return spread->in_force;
}

const text_t *
version_sync_text (const version_sync_t *spread)
{
  return version_store_text (spread->store);
}

usec_t
version_sync_freshness (const version_sync_t *spread, usec_t now)
{
  return spread->is_fresh ? now - spread->fresh_at : FRESHNESS_UNKNOWN;
}
