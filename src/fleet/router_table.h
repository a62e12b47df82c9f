/* router_table: the known routers, which directors may name to callers.

   Each router reports itself to a director periodically; directors relay the
   reports to each other with their age.  A router without a report for
   ROUTER_TIMEOUT is removed.  */

#ifndef FLEET_ROUTER_TABLE_H
#define FLEET_ROUTER_TABLE_H

#include "fleet/fleet_defs.h"

/* Long enough to tolerate a few lost reports, and shorter than callers need to
   find out by themselves that a router is down.  */
#define ROUTER_TIMEOUT (2500 * USEC_PER_MSEC)

typedef struct router_table
{
  size_t n_records;
  router_record_t records[FLEET_ROUTERS_MAX]; /* sorted by address */
} router_table_t;

/* Store RECORD if it is newer than the known record of its address: if it has
   a later incarnation, or the same one and a later report.  A direct record
   that other directors relay back does not count as newer.  Returns false if
   the table is full.  */
bool router_table_merge (router_table_t *table, const router_record_t *record);

/* Remove the routers whose last report is ROUTER_TIMEOUT or more before NOW.
   Returns how many were removed.  */
size_t router_table_expire (router_table_t *table, usec_t now);

/* A digest that changes when a router is added or removed, restarts, starts or
   stops accepting requests, or is cut off from backend servers or not any
   more.  Never 0.  */
uint64_t router_table_digest (const router_table_t *table);

#endif
