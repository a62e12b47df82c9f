/* mulberryctl: the command line tool of operators.  */

#include <curl/curl.h>

#include "ctl/commands.h"

static exit_code_t
run (session_t *session)
{
  switch (session->options->command)
    {
    case COMMAND_SHEET_CHECK:
      return command_sheet_check (session);
    case COMMAND_SHEET_SUBMIT:
      return command_sheet_submit (session);
    case COMMAND_SHEET_SHOW:
      return command_sheet_show (session);
    case COMMAND_SHIFT_STATUS:
      return command_shift_status (session);
    case COMMAND_SHIFT_LIST:
      return command_shift_list (session);
    case COMMAND_BACKEND_LIST:
      return command_backend_list (session);
    case COMMAND_BACKEND_DRAIN:
      return command_backend_drain (session);
    case COMMAND_VM_LIST:
      return command_vm_list (session);
    case COMMAND_METRICS:
      return command_metrics (session);
    case COMMAND_CHECK:
      return command_check (session);
    case COMMAND_EXPLAIN:
      return command_explain (session);
    case COMMAND_FLEET_SHOW:
      return command_fleet_show (session);
    case COMMAND_FLEET_RELEASE:
      return command_fleet_release (session);
    case COMMAND_NONE:
      break;
    }
  return EXIT_USAGE;
}

int
main (int argc, char **argv)
{
  options_t options;
  session_t session;
  err_t err = { 0 };
  options_parse (&options, argc, argv);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  exit_code_t code = session_open (&session, &options, &err)
                         ? run (&session)
                         : session_report_error (&session, &err);
  session_close (&session);
  curl_global_cleanup ();
  return code;
}
