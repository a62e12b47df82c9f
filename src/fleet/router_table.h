/* router_table: which routers are there, and who may be named to callers.

   A router tells a director of itself again and again; directors pass that on
   with its age.  A router that nobody has heard for ROUTER_TIMEOUT is gone.
 */

#ifndef FLEET_ROUTER_TABLE_H
#define FLEET_ROUTER_TABLE_H

#include "fleet/fleet_defs.h"

/* Longer than a few lost reports, shorter than callers need to find out by
   themselves.  */
#define ROUTER_TIMEOUT (2500 * USEC_PER_MSEC)

typedef struct router_table
{
  size_t n_records;
  router_record_t records[FLEET_ROUTERS_MAX]; /* by address */
} router_table_t;

/* Take in RECORD where it is newer than what is known: of a later
   incarnation, or of the same one and heard later.  What comes back of what
   was heard here is not newer.  False where the table is full.  */
bool router_table_merge (router_table_t *table, const router_record_t *record);

/* Drop the routers that are gone at NOW; returns how many.  */
size_t router_table_expire (router_table_t *table, usec_t now);

/* Changes whenever a router comes, goes, or starts or stops to take
   requests.  Never 0.  */
uint64_t router_table_digest (const router_table_t *table);

#endif
