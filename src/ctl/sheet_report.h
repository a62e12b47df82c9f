/* sheet_report: what `sheet check` tells of a sheet.  */

#ifndef CTL_SHEET_REPORT_H
#define CTL_SHEET_REPORT_H

#include "ctl/session.h"
#include "shift/sheet.h"

/* Print SHEET's cost by region and link against its cap, and whether it could
   be accepted.  */
exit_code_t sheet_report (const session_t *session, const sheet_t *sheet);

/* Print the bad rows.  */
exit_code_t sheet_report_faults (const session_t *session,
                                 const sheet_faults_t *faults,
                                 const err_t *err);

#endif
