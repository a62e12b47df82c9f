/* commands: one function for each command of mulberryctl.  Each prints its
   result on standard output, reports its own errors, and returns the exit
   code.  */

#ifndef CTL_COMMANDS_H
#define CTL_COMMANDS_H

#include "ctl/session.h"

exit_code_t command_sheet_check (session_t *session);
exit_code_t command_sheet_submit (session_t *session);
exit_code_t command_sheet_show (session_t *session);
exit_code_t command_shift_status (session_t *session);
exit_code_t command_shift_list (session_t *session);
exit_code_t command_backend_list (session_t *session);
exit_code_t command_backend_drain (session_t *session);
exit_code_t command_vm_list (session_t *session);
exit_code_t command_metrics (session_t *session);
exit_code_t command_check (session_t *session);
exit_code_t command_explain (session_t *session);
exit_code_t command_fleet_show (session_t *session);
exit_code_t command_fleet_release (session_t *session);

#endif
