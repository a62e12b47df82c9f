/* version_table: which VM has which version in force, since when, and when it
   was last heard.  Reports travel up the tree of pulls, from VM to VM, so
   they carry ages, not times.  Pure.  */

#ifndef MEMBERSHIP_VERSION_TABLE_H
#define MEMBERSHIP_VERSION_TABLE_H

#include <stdbool.h>

#include "placement/topology_defs.h"

enum
{
  VERSION_REPORTS_MAX = 32, /* in one pull */
};

typedef struct version_report
{
  vm_id_t vm;
  uint64_t version;
  uint32_t in_force_age_ms; /* for how long */
  uint32_t heard_age_ms;    /* ago */
} version_report_t;

typedef struct version_row
{
  uint64_t version; /* 0: none, or never heard */
  usec_t in_force_at;
  usec_t heard_at;
  bool is_heard;
} version_row_t;

typedef struct version_table version_table_t;

version_table_t *version_table_new (size_t n_vms);
void version_table_free (version_table_t *table);

/* Take a report that is newer than what is known of its VM.  */
void version_table_report (version_table_t *table, usec_t now,
                           const version_report_t *report);

/* Fill in up to VERSION_REPORTS_MAX reports of VMs heard in the last MAX_AGE:
   those that came in since the last call first.  Returns how many.  */
size_t version_table_collect (version_table_t *table, usec_t now,
                              usec_t max_age,
                              version_report_t reports[VERSION_REPORTS_MAX]);

/* NULL where VM is no VM.  */
const version_row_t *version_table_row (const version_table_t *table,
                                        vm_id_t vm);

#endif
