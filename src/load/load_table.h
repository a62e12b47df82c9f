/* load_table: the last load report of each backend server.

   Load pattern: many routers choose among the same backend servers, and each
   learns of a server's load from the responses that it passes on itself, which
   is seldom.  Routers tell a director what they heard, and the directors tell
   all routers, so that each knows of all servers what any router heard less
   than a second ago.  No server is asked more often for it.

   Pure: no I/O and no clock.  Times are usec of the monotonic clock.  */

#ifndef LOAD_LOAD_TABLE_H
#define LOAD_LOAD_TABLE_H

#include <stdbool.h>
#include <stddef.h>

#include "load/load_defs.h"

typedef struct load_entry
{
  load_report_t report;
  uint64_t change; /* number of the last change of the entry */
} load_entry_t;

/* Zero-initialized.  */
typedef struct load_table
{
  size_t n;
  size_t n_allocated;
  load_entry_t *entries; /* malloc'd, by server */
  uint64_t n_changes;
} load_table_t;

void load_table_clear (load_table_t *table);

/* Keep REPORT if it is newer than the one of its server.  Returns false if it
   is not, or the table is full.  */
bool load_table_put (load_table_t *table, const load_report_t *report);

/* Write the reports that changed after the change AFTER and were said later
   than SINCE to REPORTS, up to MAX, ordered by server.  If there are more, the
   newest are written.  Returns how many.  */
size_t load_table_changed (const load_table_t *table, uint64_t after,
                           usec_t since, load_report_t *reports, size_t max);

/* Forget the reports that were said before SINCE.  */
void load_table_expire (load_table_t *table, usec_t since);

#endif
