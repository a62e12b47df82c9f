/* current_sheet: the sheet that is in force on an entry VM.  Thread-safe; a
   sheet is replaced only by one with a higher number.  */

#ifndef ENTRY_CURRENT_SHEET_H
#define ENTRY_CURRENT_SHEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "entry/entry_metrics.h"
#include "shift/sheet_defs.h"

typedef struct current_sheet current_sheet_t;

current_sheet_t *current_sheet_new (void);

/* Report each sheet that is applied from now on to METRICS.  */
void current_sheet_set_metrics (current_sheet_t *current,
                                entry_metrics_t *metrics);

void current_sheet_free (current_sheet_t *current);

/* Put SHEET in force and take ownership of it.  False, and SHEET is released,
   where this one or a newer one is in force already.  */
bool current_sheet_apply (current_sheet_t *current, sheet_t *sheet);

/* The number of the sheet in force; 0 where there is none.  */
uint64_t current_sheet_number (current_sheet_t *current);

/* A copy of the sheet in force, to be released with sheet_free; NULL where
   there is none.  */
sheet_t *current_sheet_copy (current_sheet_t *current);

/* Write the budget's number and the cost cap of the sheet in force.  False
   where there is none.  */
bool current_sheet_cost_cap (current_sheet_t *current, uint64_t *budget,
                             money_t *cost_cap);

/* The price of 1,000 requests for SERVICE in REGION; 0 where the sheet has
   none.  */
money_t current_sheet_price (current_sheet_t *current, service_id_t service,
                             region_id_t region);

#endif
