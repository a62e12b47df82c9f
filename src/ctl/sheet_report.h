/* sheet_report: the output of `mulberryctl sheet check`.  */

#ifndef CTL_SHEET_REPORT_H
#define CTL_SHEET_REPORT_H

#include "ctl/session.h"
#include "shift/sheet.h"

/* Print the cost of SHEET by region and link against its cap, and whether the
   sheet could be accepted.  Returns EXIT_OK or EXIT_REFUSED.  */
exit_code_t sheet_report (const session_t *session, const sheet_t *sheet);

/* Print the faults of a sheet that could not be parsed, by row and column, and
   ERR.  Returns an exit code other than EXIT_OK.  */
exit_code_t sheet_report_faults (const session_t *session,
                                 const sheet_faults_t *faults,
                                 const err_t *err);

#endif
