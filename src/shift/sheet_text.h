/* sheet_text: writes a sheet as CSV, for tools that change a sheet.  */

#ifndef SHIFT_SHEET_TEXT_H
#define SHIFT_SHEET_TEXT_H

#include <stddef.h>

#include "shift/sheet_defs.h"

/* SHEET as CSV that sheet_parse accepts, NUL-terminated, with its length in
   *LENGTH.  The caller frees the result with free.  NULL where memory ran
   out.  */
char *sheet_text (const sheet_t *sheet, const topology_t *topology,
                  size_t *length);

#endif
