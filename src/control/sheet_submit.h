/* sheet_submit: submit a sheet to the replicated log and wait for the
   outcome.  */

#ifndef CONTROL_SHEET_SUBMIT_H
#define CONTROL_SHEET_SUBMIT_H

#include "control/core_thread.h"
#include "shift/sheet_defs.h"

/* Submit SHEET, whose text is TEXT, and block until its outcome is known, for
   3 s at most.  Returns true, with its record in *ACCEPTED, if the sheet is
   accepted now or was before.  Otherwise ERR is ERR_STALE, ERR_CONFLICT (the
   message names the accepted sheet), ERR_STORAGE, or ERR_UNAVAILABLE (the
   sheet may still be accepted).  */
bool sheet_submit (core_thread_t *core, const sheet_t *sheet, const char *text,
                   size_t length, sheet_record_t *accepted, err_t *err);

#endif
