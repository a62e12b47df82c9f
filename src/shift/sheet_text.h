/* sheet_text: a sheet as CSV again, for tools that change one.  */

#ifndef SHIFT_SHEET_TEXT_H
#define SHIFT_SHEET_TEXT_H

#include <stddef.h>

#include "shift/sheet_defs.h"

/* SHEET as sheet_parse reads it; malloc'd and NUL-terminated.  NULL where
   memory ran out.  */
char *sheet_text (const sheet_t *sheet, const topology_t *topology,
                  size_t *length);

#endif
