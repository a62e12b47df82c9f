#include "control/status_page.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"

/* VMs report through the tree of pulls within this time.  */
#define UNREACHABLE_AGE (5 * USEC_PER_SEC)

static json_t *
replica_json (const topology_t *topology, core_thread_t *core)
{
  replica_status_t status = core_thread_status (core);
  vm_id_t leader = core_thread_slot_vm (core, status.leader);
  char incarnation[24];
  snprintf (incarnation, sizeof incarnation, "%016llx",
            (unsigned long long)status.incarnation);
  return json_pack (
      "{s:s,s:s,s:I,s:s,s:I,s:I,s:I,s:I}", "role",
      replica_role_name (status.role), "incarnation", incarnation, "term",
      (json_int_t)status.term, "leader",
      leader == TOPOLOGY_NONE ? "" : topology->vms[leader].name.text,
      "committed", (json_int_t)status.commit, "applied",
      (json_int_t)status.applied, "last", (json_int_t)status.last, "snapshot",
      (json_int_t)status.snapshot);
}

static json_t *
vm_json (const vm_t *vm, const version_row_t *row, usec_t now, usec_t wall)
{
  bool is_reached = row->is_heard && now - row->heard_at <= UNREACHABLE_AGE;
  usec_t since = row->version ? wall - (now - row->in_force_at) : 0;
  return json_pack ("{s:s,s:b,s:I,s:I,s:I}", "vm", vm->name.text, "reached",
                    is_reached, "in_force", (json_int_t)row->version, "since",
                    (json_int_t)(since / USEC_PER_SEC), "heard_ms",
                    row->is_heard
                        ? (json_int_t)((now - row->heard_at) / USEC_PER_MSEC)
                        : (json_int_t)-1);
}

char *
status_page (const topology_t *topology, accepted_t *accepted,
             core_thread_t *core)
{
  usec_t now = clock_monotonic ();
  usec_t wall = clock_wall ();
  uint64_t number = accepted_number (accepted);
  size_t n_in_force = 0;
  json_t *vms = json_array ();
  for (size_t i = 0; i < topology->n_vms; i++)
    {
      version_row_t row = accepted_row (accepted, (vm_id_t)i);
      n_in_force += row.is_heard && number > 0 && row.version >= number
                    && now - row.heard_at <= UNREACHABLE_AGE;
      json_array_append_new (vms,
                             vm_json (&topology->vms[i], &row, now, wall));
    }
  json_t *page
      = json_pack ("{s:I,s:b,s:I,s:o,s:o}", "number", (json_int_t)number,
                   "in_force_everywhere", n_in_force == topology->n_vms,
                   "in_force_on", (json_int_t)n_in_force, "replica",
                   replica_json (topology, core), "vms", vms);
  char *text = json_dumps (page, JSON_COMPACT);
  json_decref (page);
  if (!text)
    abort ();
  return text;
}
