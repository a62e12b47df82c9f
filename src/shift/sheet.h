/* sheet: reading an operator's sheet, a CSV file as a spreadsheet exports it.

   The first row names the columns: record,service,place,name,address,value.
   docs/OPERATIONS.md gives each record with an example.  A sheet is taken
   whole or not at all.  */

#ifndef SHIFT_SHEET_H
#define SHIFT_SHEET_H

#include "base/error.h"
#include "shift/sheet_defs.h"

enum
{
  SHEET_BYTES_MAX = 900 * 1024, /* fits one RPC record */
  SHEET_FAULTS_MAX = 64,        /* bad rows that are named; more are counted */
};

/* One bad row.  */
typedef struct sheet_fault
{
  size_t row; /* from 1, the heading row being 1; 0: the sheet as a whole */
  const char *column;
  char message[160];
  char remedy[160];
} sheet_fault_t;

typedef struct sheet_faults
{
  sheet_fault_t fault[SHEET_FAULTS_MAX];
  size_t n_faults; /* may be over SHEET_FAULTS_MAX */
} sheet_faults_t;

/* Parse TEXT of LENGTH bytes against TOPOLOGY's names.  Returns NULL with
   ERR_SHEET in ERR (its message counts the bad rows) and every bad row in
   FAULTS.  The result is the caller's, for sheet_free.  */
sheet_t *sheet_parse (const char *text, size_t length,
                      const topology_t *topology, sheet_faults_t *faults,
                      err_t *err);

void sheet_free (sheet_t *sheet);

/* The name of a state as it stands in a sheet, "joining" say.  */
const char *sheet_state_name (backend_state_t state);

#endif
