/* accepted_sheet: the newest accepted sheet, fetched and parsed.  */

#ifndef CTL_ACCEPTED_SHEET_H
#define CTL_ACCEPTED_SHEET_H

#include "ctl/session.h"
#include "shift/sheet_defs.h"

/* NULL on an error; else for sheet_free.  */
sheet_t *accepted_sheet (session_t *session, err_t *err);

#endif
