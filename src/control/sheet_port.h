/* sheet_port: one operator's sheet, from its text to the log's answer.  */

#ifndef CONTROL_SHEET_PORT_H
#define CONTROL_SHEET_PORT_H

#include "control/core_thread.h"

/* Check the sheet TEXT and wait until the log has settled it.  True where it
   was accepted, now or before; *WINNER is then its record.  ERR_SHEET,
   ERR_STALE, ERR_CONFLICT (which names the winner), ERR_STORAGE, ERR_LIMIT or
   ERR_UNAVAILABLE (it may yet be accepted) otherwise.  */
bool sheet_submit (core_thread_t *core, const topology_t *topology,
                   const char *text, size_t length, sheet_record_t *winner,
                   err_t *err);

#endif
