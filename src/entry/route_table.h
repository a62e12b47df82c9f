/* route_table: the accepted sheet as an entry VM uses it.  Thread-safe; a
   newer sheet replaces an older one, never the other way.  */

#ifndef ENTRY_ROUTE_TABLE_H
#define ENTRY_ROUTE_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "entry/entry_metrics.h"
#include "shift/sheet_defs.h"

typedef struct route_table route_table_t;

route_table_t *route_table_new (void);

/* Tell METRICS which sheet is in force, from the next one on.  */
void route_table_watch (route_table_t *table, entry_metrics_t *metrics);

void route_table_free (route_table_t *table);

/* Put SHEET in force; it becomes the table's.  False (and released) where
   the table has it or a newer one already.  */
bool route_table_apply (route_table_t *table, sheet_t *sheet);

/* The number of the sheet in force; 0 for none.  */
uint64_t route_table_version (route_table_t *table);

/* A copy of the sheet in force, for sheet_free; NULL where there is none.  */
sheet_t *route_table_copy (route_table_t *table);

/* The budget and cost cap of the sheet in force; false before the first.  */
bool route_table_budget (route_table_t *table, uint64_t *budget,
                         money_t *cost_cap);

/* What 1,000 requests of SERVICE cost in REGION; 0 where the sheet has no
   price.  */
money_t route_table_price (route_table_t *table, service_id_t service,
                           region_id_t region);

#endif
