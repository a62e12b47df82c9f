#include "membership/liveness.h"

#include <stdlib.h>

#include "base/random.h"

enum
{
  FAILURES_MAX = 2, /* in a row, until a VM counts as out of reach */
  /* How often a change is sent, for each doubling of the VMs' number: some
     meet VMs that know it already.  */
  SENDS_A_DOUBLING = 3,
};

typedef struct member
{
  liveness_record_t row;
  usec_t heard_at; /* by itself; 0: never */
  uint32_t failures;
  uint32_t sends_left; /* of its row, as a change */
} member_t;

struct liveness
{
  liveness_options_t options;
  member_t *members;
  vm_id_t *order; /* all but this VM, shuffled; called in turn */
  size_t n_order;
  size_t next_in_order;
  size_t next_change;
  size_t n_known;
  uint32_t sends; /* of a new change */
  random_state_t random;
};

static void
shuffle (liveness_t *liveness)
{
  for (size_t i = liveness->n_order; i > 1; i--)
    {
      size_t other = random_next (&liveness->random) % i;
      vm_id_t vm = liveness->order[i - 1];
      liveness->order[i - 1] = liveness->order[other];
      liveness->order[other] = vm;
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
  liveness->order = calloc (options->n_vms, sizeof *liveness->order);
  if (!liveness->members || !liveness->order)
    abort ();
  random_seed (&liveness->random, options->seed);
  for (size_t i = 0; i < options->n_vms; i++)
    {
      liveness->members[i].row.vm = (vm_id_t)i;
      if (i != options->self)
        liveness->order[liveness->n_order++] = (vm_id_t)i;
    }
  shuffle (liveness);
  liveness->sends = SENDS_A_DOUBLING;
  for (size_t n = options->n_vms; n > 1; n /= 2)
    liveness->sends += SENDS_A_DOUBLING;
  member_t *self = &liveness->members[options->self];
  self->row.incarnation = options->incarnation;
  self->row.is_reachable = true;
  self->sends_left = liveness->sends;
  liveness->n_known = 1;
  return liveness;
}

void
liveness_free (liveness_t *liveness)
{
  free (liveness->members);
  free (liveness->order);
  free (liveness);
}

static bool
calls_all (const liveness_t *liveness)
{
  return liveness->options.n_vms <= LIVENESS_FULL_MESH_VMS_MAX;
}

static bool
is_among (const vm_id_t *vms, size_t n, vm_id_t vm)
{
  for (size_t i = 0; i < n; i++)
    if (vms[i] == vm)
      return true;
  return false;
}

static vm_id_t
next_in_order (liveness_t *liveness)
{
  if (liveness->next_in_order >= liveness->n_order)
    {
      liveness->next_in_order = 0;
      shuffle (liveness);
    }
  return liveness->order[liveness->next_in_order++];
}

size_t
liveness_next_peers (liveness_t *liveness,
                     vm_id_t partners[LIVENESS_PEERS_MAX])
{
  size_t n = 0;
  size_t wanted = calls_all (liveness) ? liveness->n_order : LIVENESS_FANOUT;
  while (n < wanted)
    {
      vm_id_t vm = next_in_order (liveness);
      if (!is_among (partners, n, vm))
        partners[n++] = vm;
    }
  /* One failure may be a lost packet: ask once more before others are told. */
  for (size_t i = 0; i < liveness->n_order && n < LIVENESS_PEERS_MAX; i++)
    {
      const member_t *member = &liveness->members[liveness->order[i]];
      if (member->failures > 0 && member->failures < FAILURES_MAX
          && !is_among (partners, n, member->row.vm))
        partners[n++] = member->row.vm;
    }
  return n;
}

liveness_record_t
liveness_own_record (const liveness_t *liveness, usec_t stamp)
{
  liveness_record_t row = liveness->members[liveness->options.self].row;
  row.vm_clock = stamp;
  return row;
}

static void
tell_all (const liveness_t *liveness, member_t *member)
{
  member->sends_left = liveness->sends;
}

void
liveness_announce_leaving (liveness_t *liveness)
{
  member_t *self = &liveness->members[liveness->options.self];
  self->row.is_leaving = true;
  self->row.revision++;
  tell_all (liveness, self);
}

/* Whether ROW holds against KNOWN.  */
static bool
is_later (const liveness_record_t *row, const liveness_record_t *known)
{
  if (row->incarnation != known->incarnation)
    return row->incarnation > known->incarnation;
  if (row->revision != known->revision)
    return row->revision > known->revision;
  return known->is_reachable && !row->is_reachable;
}

static void
take (liveness_t *liveness, member_t *member, const liveness_record_t *row)
{
  if (member->row.incarnation == 0)
    liveness->n_known++;
  if (row->incarnation > member->row.incarnation)
    member->failures = 0;
  usec_t stamp = member->row.vm_clock;
  bool same_start = row->incarnation == member->row.incarnation;
  member->row = *row;
  if (same_start && stamp > row->vm_clock)
    member->row.vm_clock = stamp;
  tell_all (liveness, member);
}

void
liveness_heartbeat_received (liveness_t *liveness,
                             const liveness_record_t *row, usec_t now)
{
  if (row->vm >= liveness->options.n_vms || row->vm == liveness->options.self)
    return;
  member_t *member = &liveness->members[row->vm];
  if (row->incarnation < member->row.incarnation)
    return;
  member->heard_at = now;
  member->failures = 0;
  if (is_later (row, &member->row))
    take (liveness, member, row);
  else if (row->vm_clock > member->row.vm_clock)
    member->row.vm_clock = row->vm_clock;
  /* It has to hear what is said of it, to deny it.  */
  if (!member->row.is_reachable && member->sends_left == 0)
    tell_all (liveness, member);
}

void
liveness_call_failed (liveness_t *liveness, vm_id_t vm, usec_t now)
{
  if (vm >= liveness->options.n_vms || vm == liveness->options.self)
    return;
  member_t *member = &liveness->members[vm];
  bool is_heard = member->heard_at > 0
                  && now - member->heard_at < LIVENESS_HEARTBEAT_TIMEOUT;
  if (is_heard)
    return;
  member->failures++;
  if (member->failures != FAILURES_MAX || !member->row.is_reachable)
    return;
  member->row.is_reachable = false;
  tell_all (liveness, member);
}

/* Others tell of this VM: deny what is not so.  */
static bool
learn_of_self (liveness_t *liveness, const liveness_record_t *row)
{
  member_t *self = &liveness->members[liveness->options.self];
  if (row->incarnation != self->row.incarnation
      || row->revision < self->row.revision || row->is_reachable)
    return false;
  self->row.revision = row->revision + 1;
  tell_all (liveness, self);
  return true;
}

bool
liveness_merge (liveness_t *liveness, const liveness_record_t *row)
{
  if (row->vm >= liveness->options.n_vms || row->incarnation == 0)
    return false;
  if (row->vm == liveness->options.self)
    return learn_of_self (liveness, row);
  member_t *member = &liveness->members[row->vm];
  if (!is_later (row, &member->row))
    return false;
  take (liveness, member, row);
  return true;
}

size_t
liveness_changes (liveness_t *liveness,
                  liveness_record_t rows[LIVENESS_CHANGES_MAX])
{
  size_t n = 0;
  for (size_t i = 0; i < liveness->options.n_vms && n < LIVENESS_CHANGES_MAX;
       i++)
    {
      size_t at = (liveness->next_change + i) % liveness->options.n_vms;
      member_t *member = &liveness->members[at];
      if (member->sends_left == 0)
        continue;
      member->sends_left--;
      rows[n++] = member->row;
      if (n == LIVENESS_CHANGES_MAX)
        liveness->next_change = at + 1;
    }
  return n;
}

const liveness_record_t *
liveness_record (const liveness_t *liveness, vm_id_t vm)
{
  return &liveness->members[vm].row;
}

bool
liveness_needs_full_state (const liveness_t *liveness)
{
  return !calls_all (liveness)
         && liveness->n_known < liveness->options.n_vms / 2;
}

bool
liveness_is_reachable (const liveness_t *liveness, vm_id_t vm, usec_t now)
{
  if (vm >= liveness->options.n_vms)
    return false;
  const member_t *member = &liveness->members[vm];
  if (vm == liveness->options.self
      || (member->heard_at > 0
          && now - member->heard_at < LIVENESS_HEARTBEAT_TIMEOUT))
    return true;
  return !calls_all (liveness) && member->row.incarnation != 0
         && member->row.is_reachable && member->failures == 0;
}
