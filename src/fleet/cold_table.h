/* cold_table: backend servers that have started again, or may have, and until
   when each must be taken to be cold.

   A connection that is refused shows that a backend server's process has
   ended; it may be back, under the same id and cold, at any moment.  A health
   check tells how long a backend server stays cold.  One router seldom sees
   either, so routers tell directors, which tell all routers.  What is known of
   a backend server is only ever extended; it ends by itself.

   No I/O and no clock.  Times are usec of the local monotonic clock.  */

#ifndef FLEET_COLD_TABLE_H
#define FLEET_COLD_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time_defs.h"

enum
{
  COLD_SERVERS_MAX = 8192, /* in a table */
};

/* A report of a time that another table knows, but for this difference, is no
   news: a time that travels as what is left of it arrives a little later.  */
#define COLD_TOLERANCE (50 * USEC_PER_MSEC)

/* A backend server that is still down this long after it refused a connection
   has refused another one, to the health check of some router.  */
#define COLD_REFUSAL_INTERVAL (1000 * USEC_PER_MSEC)
/* A report that extends one with less than this left can't wait: others take
   the server for warm when that is over.  */
#define COLD_URGENT_LEFT (2 * USEC_PER_SEC)

typedef struct cold_report
{
  uint64_t server; /* a hash of its id, whatever its start */
  /* When it is warm at the latest: COLD_REFUSAL_INTERVAL and the duration of a
     cold start after it was seen to be down, or after its start.  */
  usec_t until;
} cold_report_t;

typedef struct cold_entry
{
  cold_report_t report;
  bool is_direct;  /* from a router that saw it; otherwise relayed */
  uint64_t change; /* number of the last change of the entry */
} cold_entry_t;

/* Zero-initialized.  */
typedef struct cold_table
{
  size_t n;
  size_t n_allocated;
  cold_entry_t *entries; /* malloc'd, by server */
  uint64_t n_changes;
} cold_table_t;

void cold_table_clear (cold_table_t *table);

/* Keep REPORT if it extends what is known of its server by more than
   COLD_TOLERANCE.  Returns false if it does not, or the table is full.  A
   report that only confirms what was relayed makes it direct.  */
bool cold_table_put (cold_table_t *table, const cold_report_t *report,
                     bool is_direct);

/* Until when SERVER must be taken to be cold; 0: nothing is known.  */
usec_t cold_table_until (const cold_table_t *table, uint64_t server);

typedef struct cold_query
{
  uint64_t after; /* changes up to this one are known */
  usec_t now;     /* reports that have ended by then are left out */
  bool only_direct;
} cold_query_t;

/* Write up to MAX reports that QUERY asks for to REPORTS, the oldest changes
   first, and to *KNOWN the last change up to which nothing is left out.
   Returns how many.  */
size_t cold_table_changed (const cold_table_t *table,
                           const cold_query_t *query, cold_report_t *reports,
                           size_t max, uint64_t *known);

/* Forget the reports that have ended by NOW.  */
void cold_table_expire (cold_table_t *table, usec_t now);

#endif
