/* vm_view: the state of each VM, read from the /metrics and /health pages of
   its processes.  */

#ifndef CTL_VM_VIEW_H
#define CTL_VM_VIEW_H

#include <jansson.h>

#include "base/metrics.h"
#include "settings/settings_defs.h"

/* Gauges of entry VMs: the number of the sheet in force, and when it came into
   force, in seconds since 1970.  */
#define METRIC_SHEET_NUMBER "mulberry_sheet_number"
#define METRIC_SHEET_SINCE "mulberry_sheet_since_seconds"

enum
{
  VM_PROBLEM_BYTES = 256,
};

/* One process of a VM.  */
typedef struct process_view
{
  bool expected; /* according to the settings, it runs on this VM */
  bool reached;
  char problem[VM_PROBLEM_BYTES]; /* from /health or parsing /metrics; "" where
                                     none */
  metrics_t *metrics; /* empty where not reached; NULL where not expected */
} process_view_t;

typedef struct vm_view
{
  vm_id_t vm;
  process_view_t entry;
  process_view_t control;
  uint64_t number_in_force; /* 0: none, or not reached */
  int64_t in_force_since;   /* seconds since 1970; 0: unknown */
} vm_view_t;

/* Fetch the pages of all VMs.  Returns one view for each VM of the settings,
   in the order of the settings; release them with vm_views_free.  */
vm_view_t *vm_views_fetch (const settings_t *settings);

void vm_views_free (vm_view_t *views, size_t n);

/* The state of the entry VM relative to the accepted sheet NUMBER: "in-force",
   "behind" (an older sheet is in force), "unreachable" or "unwell" (/health
   reports a problem, or the metrics can't be parsed).  A static string.  */
const char *vm_view_state (const vm_view_t *view, uint64_t number);

/* VIEW as JSON; the caller releases it with json_decref.  */
json_t *vm_view_json (const topology_t *topology, const vm_view_t *view);

/* The value of the gauge NAME, which has no labels; 0 where the process has
   none.  */
int64_t vm_view_gauge (const process_view_t *process, const char *name);

/* The sum of the counter NAME over all its labels.  */
uint64_t vm_view_counter (const process_view_t *process, const char *name);

#endif
