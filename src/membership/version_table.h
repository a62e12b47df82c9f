/* version_table: the version that each VM has in force, since when, and when
   the VM was last heard.  Reports travel up the tree of pulls from VM to VM;
   they carry ages, not times, because the VMs' monotonic clocks differ.  Does
   no input or output.  */

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
  uint32_t in_force_age_ms; /* since VERSION came into force */
  uint32_t heard_age_ms;    /* since VM reported this */
} version_report_t;

/* Times are of the local monotonic clock.  */
typedef struct version_row
{
  uint64_t version; /* 0: none in force, or VM never heard */
  usec_t in_force_at;
  usec_t heard_at;
  bool is_heard; /* some report of the VM was received */
} version_row_t;

typedef struct version_table version_table_t;

/* The caller releases the result with version_table_free.  */
version_table_t *version_table_new (size_t n_vms);
void version_table_free (version_table_t *table);

/* Store REPORT if it is newer than the known one of its VM.  */
void version_table_report (version_table_t *table, usec_t now,
                           const version_report_t *report);

/* Fill in up to VERSION_REPORTS_MAX reports that were not returned before and
   whose VM was heard within the last MAX_AGE; the next call continues with the
   VM after the last one.  Returns how many.  */
size_t version_table_collect (version_table_t *table, usec_t now,
                              usec_t max_age,
                              version_report_t reports[VERSION_REPORTS_MAX]);

/* The row of VM, owned by TABLE; NULL if there is no such VM.  */
const version_row_t *version_table_row (const version_table_t *table,
                                        vm_id_t vm);

#endif
