/* current_sheet: the accepted sheet as an entry VM uses it.  Thread-safe; a
   newer sheet replaces an older one, never the other way.  */

#ifndef ENTRY_CURRENT_SHEET_H
#define ENTRY_CURRENT_SHEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "entry/entry_metrics.h"
#include "shift/sheet_defs.h"

typedef struct current_sheet current_sheet_t;

current_sheet_t *current_sheet_new (void);

/* Tell METRICS which sheet is in force, from the next one on.  */
void current_sheet_set_metrics (current_sheet_t *table,
                                entry_metrics_t *metrics);

void current_sheet_free (current_sheet_t *table);

/* Put SHEET in force; it becomes the table's.  False (and released) where
   the table has it or a newer one already.  */
bool current_sheet_apply (current_sheet_t *table, sheet_t *sheet);

/* The number of the sheet in force; 0 for none.  */
uint64_t current_sheet_number (current_sheet_t *table);

/* A copy of the sheet in force, for sheet_free; NULL where there is none.  */
sheet_t *current_sheet_copy (current_sheet_t *table);

/* The budget and cost cap of the sheet in force; false before the first.  */
bool current_sheet_cost_cap (current_sheet_t *table, uint64_t *budget,
                             money_t *cost_cap);

/* What 1,000 requests of SERVICE cost in REGION; 0 where the sheet has no
   price.  */
money_t current_sheet_price (current_sheet_t *table, service_id_t service,
                             region_id_t region);

#endif
