/* mulberryctl backend list and drain.  */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/accepted_sheet.h"
#include "ctl/commands.h"
#include "shift/sheet.h"
#include "shift/sheet_text.h"

static json_t *
backend_json (const topology_t *topology, const backend_t *backend)
{
  return json_pack ("{s:s,s:s,s:s,s:s,s:i,s:s}", "name", backend->name.text,
                    "service", topology->services[backend->service].name.text,
                    "failure_domain",
                    topology->domains[backend->domain].name.text, "address",
                    backend->address, "port", (int)backend->port, "state",
                    sheet_state_name (backend->state));
}

static void
print_backends (const topology_t *topology, const sheet_t *sheet)
{
  printf ("%-28s %-16s %-20s %-22s %s\n", "NAME", "SERVICE", "FAILURE DOMAIN",
          "ADDRESS", "STATE");
  for (size_t i = 0; i < sheet->n_backends; i++)
    {
      const backend_t *backend = &sheet->backends[i];
      char address[ADDRESS_BYTES + 8];
      snprintf (address, sizeof address, "%s:%u", backend->address,
                backend->port);
      printf ("%-28s %-16s %-20s %-22s %s\n", backend->name.text,
              topology->services[backend->service].name.text,
              topology->domains[backend->domain].name.text, address,
              sheet_state_name (backend->state));
    }
}

static json_t *
backends_json (const topology_t *topology, const sheet_t *sheet)
{
  json_t *json = json_array ();
  for (size_t i = 0; i < sheet->n_backends; i++)
    json_array_append_new (json, backend_json (topology, &sheet->backends[i]));
  return json;
}

exit_code_t
command_backend_list (session_t *session)
{
  const sheet_view_t view
      = { .to_json = backends_json, .print = print_backends };
  return accepted_sheet_show (session, &view);
}

/* Change SHEET so that it drains the backend server that the command line
   names: its state becomes stopping with --stop, else leaving.  The sheet gets
   the next number.  False with ERR_USAGE where the sheet has no backend server
   of that name.  */
static bool
drain_backend (sheet_t *sheet, const options_t *options,
               const name_t *operator_name, err_t *err)
{
  size_t n_found = 0;
  for (size_t i = 0; i < sheet->n_backends; i++)
    if (strcmp (sheet->backends[i].name.text, options->argument) == 0)
      {
        sheet->backends[i].state
            = options->stop ? BACKEND_STOPPING : BACKEND_LEAVING;
        n_found++;
      }
  if (n_found == 0)
    return err_set (
        err, ERR_USAGE, "run `mulberryctl backend list` for the names",
        "the accepted sheet has no backend server '%.48s'", options->argument);
  sheet->number++;
  sheet->operator_name = *operator_name;
  return true;
}

static exit_code_t
submit_drained_sheet (session_t *session, const sheet_t *sheet)
{
  err_t err = { 0 };
  size_t length = 0;
  char *text = sheet_text (sheet, &session->settings->topology, &length);
  const client_request_t request = {
    .method = "POST", .target = "/v1/sheet", .body = text, .body_bytes = length
  };
  client_reply_t reply;
  exit_code_t code = EXIT_OK;
  if (!session_send (session, &request, &reply, &err))
    code = session_report_error (session, &err);
  else if (session->options->output == OUTPUT_JSON)
    puts (reply.body);
  else
    printf ("accepted: sheet %" PRIu64 " drains %s\n", sheet->number,
            session->options->argument);
  client_reply_free (&reply);
  free (text);
  return code;
}

exit_code_t
command_backend_drain (session_t *session)
{
  err_t err = { 0 };
  sheet_t *sheet = accepted_sheet (session, &err);
  if (!sheet)
    return session_report_error (session, &err);
  exit_code_t code = drain_backend (sheet, session->options,
                                    session_operator (session), &err)
                         ? submit_drained_sheet (session, sheet)
                         : session_report_error (session, &err);
  sheet_free (sheet);
  return code;
}
