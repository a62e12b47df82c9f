/* sheet: parser of an operator's sheet, a CSV file as a spreadsheet exports
   it.

   The first row names the columns: record,service,place,name,address,value.
   docs/OPERATIONS.md describes each record with an example.  A sheet is
   accepted as a whole or refused as a whole.  */

#ifndef SHIFT_SHEET_H
#define SHIFT_SHEET_H

#include "base/error.h"
#include "shift/sheet_defs.h"

enum
{
  SHEET_BYTES_MAX = 900 * 1024, /* fits one RPC record */
  SHEET_FAULTS_MAX = 64, /* faults that are stored; more are only counted */
};

/* One fault in a sheet.  */
typedef struct sheet_fault
{
  size_t row; /* from 1, the heading; 0: the sheet as a whole */
  const char *column;
  char message[160];
  char remedy[160];
} sheet_fault_t;

typedef struct sheet_faults
{
  sheet_fault_t fault[SHEET_FAULTS_MAX];
  size_t n_faults; /* may exceed SHEET_FAULTS_MAX */
} sheet_faults_t;

/* Parse TEXT of LENGTH bytes against TOPOLOGY's names.  Returns NULL with
   ERR_SHEET in ERR (the message gives the number of faults and the first) and
   the faults in FAULTS.  The caller frees the result with sheet_free.  */
sheet_t *sheet_parse (const char *text, size_t length,
                      const topology_t *topology, sheet_faults_t *faults,
                      err_t *err);

void sheet_free (sheet_t *sheet);

/* The name of STATE in a sheet, for example "joining".  */
const char *sheet_state_name (backend_state_t state);

#endif
