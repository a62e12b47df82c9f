/* sheet_submit: one operator's sheet, from its text to the log's answer.  */

#ifndef CONTROL_SHEET_SUBMIT_H
#define CONTROL_SHEET_SUBMIT_H

#include "control/core_thread.h"
#include "shift/sheet_defs.h"

/* Submit SHEET with the content TEXT and wait until the log has settled it.
   True where it was accepted, now or before; *WINNER is then its record.
   ERR_STALE, ERR_CONFLICT (which names the winner), ERR_STORAGE or
   ERR_UNAVAILABLE (it may yet be accepted) otherwise.  */
bool sheet_submit (core_thread_t *core, const sheet_t *sheet, const char *text,
                   size_t length, sheet_record_t *winner, err_t *err);

#endif
