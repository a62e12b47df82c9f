#include "ctl/accepted_sheet.h"

#include "shift/sheet.h"

sheet_t *
accepted_sheet (session_t *session, err_t *err)
{
  const client_request_t request = { .method = "GET", .target = "/v1/sheet" };
  client_reply_t reply;
  sheet_t *sheet = NULL;
  if (session_send (session, &request, &reply, err))
    {
      sheet_faults_t faults = { 0 };
      sheet = sheet_parse (reply.body, reply.length,
                           &session->settings->topology, &faults, err);
      if (!sheet)
        err_prefix (err,
                    "the accepted sheet does not match the local settings");
    }
  client_reply_free (&reply);
  return sheet;
}

exit_code_t
accepted_sheet_show (session_t *session, const sheet_view_t *view)
{
  err_t err = { 0 };
  sheet_t *sheet = accepted_sheet (session, &err);
  if (!sheet)
    return session_report_error (session, &err);
  const topology_t *topology = &session->settings->topology;
  if (session->options->output == OUTPUT_JSON)
    {
      json_t *json = view->to_json (topology, sheet);
      session_print_json (json);
      json_decref (json);
    }
  else
    view->print (topology, sheet);
  sheet_free (sheet);
  return EXIT_OK;
}
