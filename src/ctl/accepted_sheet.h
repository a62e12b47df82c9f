/* accepted_sheet: the newest accepted sheet, fetched and parsed.  */

#ifndef CTL_ACCEPTED_SHEET_H
#define CTL_ACCEPTED_SHEET_H

#include "ctl/session.h"
#include "shift/sheet_defs.h"

/* NULL on an error; else for sheet_free.  */
sheet_t *accepted_sheet (session_t *session, err_t *err);

/* The two ways to show something of a sheet.  */
typedef struct sheet_view
{
  json_t *(*to_json) (const topology_t *topology, const sheet_t *sheet);
  void (*print) (const topology_t *topology, const sheet_t *sheet);
} sheet_view_t;

/* Show the accepted sheet by VIEW, in the output format that was asked
   for.  */
exit_code_t accepted_sheet_show (session_t *session, const sheet_view_t *view);

#endif
