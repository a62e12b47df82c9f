#include "entry/leave_watch.h"

#include <stdlib.h>

typedef struct watched_vm
{
  uint64_t incarnation; /* that is leaving; 0: none */
  usec_t leaving_since;
  bool is_acknowledged;
} watched_vm_t;

struct leave_watch
{
  watched_vm_t *vms;
};

leave_watch_t *
leave_watch_new (size_t n_vms)
{
  leave_watch_t *watch = calloc (1, sizeof *watch);
  if (!watch)
    abort ();
  watch->vms = calloc (n_vms, sizeof *watch->vms);
  if (!watch->vms)
    abort ();
  return watch;
}

void
leave_watch_free (leave_watch_t *watch)
{
  free (watch->vms);
  free (watch);
}

void
leave_watch_record (leave_watch_t *watch, const liveness_record_t *record,
                    usec_t now)
{
  watched_vm_t *vm = &watch->vms[record->vm];
  if (!record->takes_no_callers)
    vm->incarnation = 0;
  else if (vm->incarnation != record->incarnation)
    {
      vm->incarnation = record->incarnation;
      vm->leaving_since = now;
    }
}

bool
leave_watch_has_left (const leave_watch_t *watch, vm_id_t vm, usec_t span,
                      usec_t now)
{
  const watched_vm_t *watched = &watch->vms[vm];
  return watched->incarnation != 0 && now - watched->leaving_since >= span;
}

void
leave_watch_acknowledged (leave_watch_t *watch, vm_id_t vm)
{
  watch->vms[vm].is_acknowledged = true;
}

bool
leave_watch_is_acknowledged (const leave_watch_t *watch, vm_id_t vm)
{
  return watch->vms[vm].is_acknowledged;
}
