/* vm_view: what each VM's own pages say of it.  */

#ifndef CTL_VM_VIEW_H
#define CTL_VM_VIEW_H

#include <jansson.h>

#include "base/metrics.h"
#include "settings/settings_defs.h"

/* Gauges that entry VMs show: the number of the sheet in force, and since
   when, in seconds since 1970.  */
#define METRIC_SHEET_NUMBER "mulberry_sheet_number"
#define METRIC_SHEET_SINCE "mulberry_sheet_since_seconds"

enum
{
  VM_PROBLEM_BYTES = 256,
};

/* One process of a VM, as its pages show it.  */
typedef struct process_view
{
  bool expected; /* the settings say that it runs */
  bool reached;
  char problem[VM_PROBLEM_BYTES]; /* /health's text; "" where well */
  metrics_t *metrics;             /* NULL where not reached */
} process_view_t;

typedef struct vm_view
{
  vm_id_t vm;
  process_view_t entry;
  process_view_t control;
  uint64_t number_in_force; /* 0: none, or not reached */
  int64_t in_force_since;   /* seconds since 1970; 0: not known */
} vm_view_t;

/* Fetch the pages of all VMs; one view for each VM of the settings, in their
   order, for vm_views_free.  */
vm_view_t *vm_views_fetch (const settings_t *settings);

void vm_views_free (vm_view_t *views, size_t n);

/* One word for the entry VM's state, where sheet NUMBER is accepted:
   "in-force", "behind", "unreachable" or "unwell".  */
const char *vm_view_state (const vm_view_t *view, uint64_t number);

json_t *vm_view_json (const topology_t *topology, const vm_view_t *view);

/* The value of a gauge without labels; 0 where it isn't there.  */
int64_t vm_view_gauge (const process_view_t *process, const char *name);

/* The sum of a counter over all its labels.  */
uint64_t vm_view_counter (const process_view_t *process, const char *name);

#endif
