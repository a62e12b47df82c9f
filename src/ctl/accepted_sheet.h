/* accepted_sheet: fetch, parse and print the newest sheet that the control
   VMs accepted.  */

#ifndef CTL_ACCEPTED_SHEET_H
#define CTL_ACCEPTED_SHEET_H

#include "ctl/session.h"
#include "shift/sheet_defs.h"

/* Fetch the newest accepted sheet and parse it against the settings of the
   session.  Returns NULL and sets ERR on an error; the caller releases the
   sheet with sheet_free.  */
sheet_t *accepted_sheet (session_t *session, err_t *err);

/* A command's output of a sheet, as JSON and as text.  */
typedef struct sheet_view
{
  json_t *(*to_json) (const topology_t *topology, const sheet_t *sheet);
  void (*print) (const topology_t *topology, const sheet_t *sheet);
} sheet_view_t;

/* Fetch the accepted sheet and print it with VIEW in the format that --output
   selects.  An error is reported; returns the exit code.  */
exit_code_t accepted_sheet_show (session_t *session, const sheet_view_t *view);

#endif
