#include "membership/liveness.h"

#include <stdlib.h>

#include "base/random.h"

enum
{
  FAILURES_UNTIL_UNREACHABLE = 2, /* consecutive failed calls */
  /* How often a VM sends a change, per doubling of the number of VMs.
     More than one, as some transmissions reach VMs that know the change.  */
  TRANSMISSIONS_PER_DOUBLING = 3,
};

typedef struct member
{
  liveness_record_t record;
  usec_t heartbeat_at;         /* last heartbeat of the VM itself; 0: never */
  uint32_t failures;           /* consecutive failed calls */
  uint32_t transmissions_left; /* of its record, as a change */
} member_t;

struct liveness
{
  liveness_options_t options;
  member_t *members;
  vm_id_t *call_order; /* all other VMs, shuffled; called in turn */
  size_t n_call_order;
  size_t next_in_call_order;
  size_t next_change;     /* VM from which liveness_changes goes on */
  size_t n_known;         /* VMs with a record, including this one */
  uint32_t transmissions; /* of each change */
  random_state_t random;
};

static void
shuffle (liveness_t *liveness)
{
  for (size_t i = liveness->n_call_order; i > 1; i--)
    {
      size_t other = random_next (&liveness->random) % i;
      vm_id_t vm = liveness->call_order[i - 1];
      liveness->call_order[i - 1] = liveness->call_order[other];
      liveness->call_order[other] = vm;
    }
}

liveness_t *
liveness_new (const liveness_options_t *options)
{
  liveness_t *liveness = calloc (1, sizeof *liveness);
  if (!liveness)
    abort ();
  liveness->options = *options;
  liveness->members = calloc (options->n_vms, sizeof *liveness->members);
  liveness->call_order = calloc (options->n_vms, sizeof *liveness->call_order);
  if (!liveness->members || !liveness->call_order)
    abort ();
  random_seed (&liveness->random, options->seed);
  for (size_t i = 0; i < options->n_vms; i++)
    {
      liveness->members[i].record.vm = (vm_id_t)i;
      if (i != options->self)
        liveness->call_order[liveness->n_call_order++] = (vm_id_t)i;
    }
  shuffle (liveness);
  liveness->transmissions = TRANSMISSIONS_PER_DOUBLING;
  for (size_t n = options->n_vms; n > 1; n /= 2)
    liveness->transmissions += TRANSMISSIONS_PER_DOUBLING;
  member_t *self = &liveness->members[options->self];
  self->record.incarnation = options->incarnation;
  self->record.is_reachable = true;
  self->record.takes_no_callers = true;
  self->transmissions_left = liveness->transmissions;
  liveness->n_known = 1;
  return liveness;
}

void
liveness_free (liveness_t *liveness)
{
  free (liveness->members);
  free (liveness->call_order);
  free (liveness);
}

static bool
is_full_mesh (const liveness_t *liveness)
{
  return liveness->options.n_vms <= LIVENESS_FULL_MESH_VMS_MAX;
}

static bool
contains (const vm_id_t *vms, size_t n, vm_id_t vm)
{
  for (size_t i = 0; i < n; i++)
    if (vms[i] == vm)
      return true;
  return false;
}

static vm_id_t
next_to_call (liveness_t *liveness)
{
  if (liveness->next_in_call_order >= liveness->n_call_order)
    {
      liveness->next_in_call_order = 0;
      shuffle (liveness);
    }
  return liveness->call_order[liveness->next_in_call_order++];
}

size_t
liveness_next_peers (liveness_t *liveness, vm_id_t peers[LIVENESS_PEERS_MAX])
{
  size_t n = 0;
  size_t wanted
      = is_full_mesh (liveness) ? liveness->n_call_order : LIVENESS_FANOUT;
  while (n < wanted)
    {
      vm_id_t vm = next_to_call (liveness);
      if (!contains (peers, n, vm))
        peers[n++] = vm;
    }
  /* One failure may be a lost packet: repeat the call before the VM is
     reported as unreachable.  */
  for (size_t i = 0; i < liveness->n_call_order && n < LIVENESS_PEERS_MAX; i++)
    {
      const member_t *member = &liveness->members[liveness->call_order[i]];
      if (member->failures > 0 && member->failures < FAILURES_UNTIL_UNREACHABLE
          && !contains (peers, n, member->record.vm))
        peers[n++] = member->record.vm;
    }
  return n;
}

liveness_record_t
liveness_own_record (const liveness_t *liveness, usec_t vm_clock)
{
  liveness_record_t record = liveness->members[liveness->options.self].record;
  record.vm_clock = vm_clock;
  return record;
}

static void
schedule_gossip (const liveness_t *liveness, member_t *member)
{
  member->transmissions_left = liveness->transmissions;
}

static void
announce (liveness_t *liveness, bool takes_no_callers)
{
  member_t *self = &liveness->members[liveness->options.self];
  self->record.takes_no_callers = takes_no_callers;
  self->record.revision++;
  schedule_gossip (liveness, self);
}

void
liveness_announce_serving (liveness_t *liveness)
{
  announce (liveness, false);
}

void
liveness_announce_leaving (liveness_t *liveness)
{
  announce (liveness, true);
}

bool
liveness_is_starting (const liveness_record_t *record)
{
  return record->takes_no_callers && record->revision == 0;
}

/* Whether RECORD replaces KNOWN; see liveness_record_t.  */
static bool
supersedes (const liveness_record_t *record, const liveness_record_t *known)
{
  if (record->incarnation != known->incarnation)
    return record->incarnation > known->incarnation;
  if (record->revision != known->revision)
    return record->revision > known->revision;
  return known->is_reachable && !record->is_reachable;
}

static void
adopt_record (liveness_t *liveness, member_t *member,
              const liveness_record_t *record)
{
  if (member->record.incarnation == 0)
    liveness->n_known++;
  if (record->incarnation > member->record.incarnation)
    member->failures = 0;
  usec_t known_clock = member->record.vm_clock;
  bool is_same_incarnation = record->incarnation == member->record.incarnation;
  member->record = *record;
  if (is_same_incarnation && known_clock > record->vm_clock)
    member->record.vm_clock = known_clock;
  schedule_gossip (liveness, member);
}

void
liveness_heartbeat_received (liveness_t *liveness,
                             const liveness_record_t *record, usec_t now)
{
  if (record->vm >= liveness->options.n_vms
      || record->vm == liveness->options.self)
    return;
  member_t *member = &liveness->members[record->vm];
  if (record->incarnation < member->record.incarnation)
    return;
  member->heartbeat_at = now;
  member->failures = 0;
  if (supersedes (record, &member->record))
    adopt_record (liveness, member, record);
  else if (record->vm_clock > member->record.vm_clock)
    member->record.vm_clock = record->vm_clock;
  /* The VM can refute that it is unreachable only once it learns of it.  */
  if (!member->record.is_reachable && member->transmissions_left == 0)
    schedule_gossip (liveness, member);
}

void
liveness_call_failed (liveness_t *liveness, vm_id_t vm, usec_t now)
{
  if (vm >= liveness->options.n_vms || vm == liveness->options.self)
    return;
  member_t *member = &liveness->members[vm];
  bool has_recent_heartbeat
      = member->heartbeat_at > 0
        && now - member->heartbeat_at < LIVENESS_HEARTBEAT_TIMEOUT;
  if (has_recent_heartbeat)
    return;
  member->failures++;
  if (member->failures != FAILURES_UNTIL_UNREACHABLE
      || !member->record.is_reachable)
    return;
  member->record.is_reachable = false;
  schedule_gossip (liveness, member);
}

/* Handle a record of this VM from another one: if it says that this VM is
   unreachable, gossip a record with a higher revision.  */
static bool
refute (liveness_t *liveness, const liveness_record_t *record)
{
  member_t *self = &liveness->members[liveness->options.self];
  if (record->incarnation != self->record.incarnation
      || record->revision < self->record.revision || record->is_reachable)
    return false;
  self->record.revision = record->revision + 1;
  schedule_gossip (liveness, self);
  return true;
}

bool
liveness_merge (liveness_t *liveness, const liveness_record_t *record)
{
  if (record->vm >= liveness->options.n_vms || record->incarnation == 0)
    return false;
  if (record->vm == liveness->options.self)
    return refute (liveness, record);
  member_t *member = &liveness->members[record->vm];
  if (!supersedes (record, &member->record))
    return false;
  adopt_record (liveness, member, record);
  return true;
}

size_t
liveness_changes (liveness_t *liveness,
                  liveness_record_t records[LIVENESS_CHANGES_MAX])
{
  size_t n = 0;
  for (size_t i = 0; i < liveness->options.n_vms && n < LIVENESS_CHANGES_MAX;
       i++)
    {
      size_t at = (liveness->next_change + i) % liveness->options.n_vms;
      member_t *member = &liveness->members[at];
      if (member->transmissions_left == 0)
        continue;
      member->transmissions_left--;
      records[n++] = member->record;
      if (n == LIVENESS_CHANGES_MAX)
        liveness->next_change = at + 1;
    }
  return n;
}

const liveness_record_t *
liveness_record (const liveness_t *liveness, vm_id_t vm)
{
  return &liveness->members[vm].record;
}

bool
liveness_needs_full_state (const liveness_t *liveness)
{
  return !is_full_mesh (liveness)
         && liveness->n_known < liveness->options.n_vms / 2;
}

bool
liveness_is_reachable (const liveness_t *liveness, vm_id_t vm, usec_t now)
{
  if (vm >= liveness->options.n_vms)
    return false;
  const member_t *member = &liveness->members[vm];
  if (vm == liveness->options.self
      || (member->heartbeat_at > 0
          && now - member->heartbeat_at < LIVENESS_HEARTBEAT_TIMEOUT))
    return true;
  return !is_full_mesh (liveness) && member->record.incarnation != 0
         && member->record.is_reachable && member->failures == 0;
}
