/* mulberryctl sheet check, submit and show.  */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/commands.h"
#include "ctl/sheet_report.h"
#include "shift/sheet.h"

static char *
read_file (const char *path, size_t *length, err_t *err)
{
  FILE *file = fopen (path, "re");
  if (!file)
    {
      err_set (err, ERR_IO, "check the path and its permissions",
               "can't open %s: %m", path);
      return NULL;
    }
  char *text = malloc (SHEET_BYTES_MAX + 1);
  *length = text ? fread (text, 1, SHEET_BYTES_MAX + 1, file) : 0;
  bool failed = !text || ferror (file);
  fclose (file);
  if (failed)
    err_set (err, ERR_IO, "check the path and its permissions",
             "can't read %s", path);
  else if (*length > SHEET_BYTES_MAX)
    err_set (err, ERR_SHEET, "remove rows",
             "%s is larger than the limit of %d bytes", path, SHEET_BYTES_MAX);
  else
    return text;
  free (text);
  return NULL;
}

exit_code_t
command_sheet_check (session_t *session)
{
  err_t err = { 0 };
  size_t length = 0;
  char *text = read_file (session->options->argument, &length, &err);
  if (!text)
    return session_report_error (session, &err);
  sheet_faults_t faults = { 0 };
  sheet_t *sheet = sheet_parse (text, length, &session->settings->topology,
                                &faults, &err);
  free (text);
  exit_code_t code = sheet ? sheet_report (session, sheet)
                           : sheet_report_faults (session, &faults, &err);
  if (sheet)
    sheet_free (sheet);
  return code;
}

/* Print the list of faults in the JSON of a refusal, if there is one.  */
static void
print_remote_faults (const client_reply_t *reply)
{
  json_t *json = json_loadb (reply->body, reply->length, 0, NULL);
  size_t i;
  json_t *fault;
  json_array_foreach (json_object_get (json, "faults"), i, fault)
  {
    json_int_t row = 0;
    const char *column = "";
    const char *message = "";
    const char *remedy = "";
    json_unpack (fault, "{s:I,s:s,s:s,s:s}", "row", &row, "column", &column,
                 "message", &message, "remedy", &remedy);
    fprintf (stderr,
             "row %" JSON_INTEGER_FORMAT ", column %s: %s; remedy: %s\n", row,
             column, message, remedy);
  }
  json_decref (json);
}

static void
print_accepted (const session_t *session, const client_reply_t *reply)
{
  json_int_t number = 0;
  const char *operator_name = "";
  const char *digest = "";
  json_t *json = json_loadb (reply->body, reply->length, 0, NULL);
  json_unpack (json, "{s:I,s?s,s?s}", "number", &number, "operator",
               &operator_name, "digest", &digest);
  if (session->options->output == OUTPUT_JSON)
    session_print_json (json);
  else
    printf ("accepted: sheet %" JSON_INTEGER_FORMAT
            ", operator %s, digest %.16s, by %s\n",
            number, operator_name, digest, reply->address);
  json_decref (json);
}

exit_code_t
command_sheet_submit (session_t *session)
{
  err_t err = { 0 };
  size_t length = 0;
  char *text = read_file (session->options->argument, &length, &err);
  if (!text)
    return session_report_error (session, &err);
  const client_request_t request = {
    .method = "POST", .target = "/v1/sheet", .body = text, .body_bytes = length
  };
  client_reply_t reply;
  exit_code_t code = EXIT_OK;
  if (session_send (session, &request, &reply, &err))
    print_accepted (session, &reply);
  else
    {
      code = session_report_error (session, &err);
      if (reply.body && session->options->output == OUTPUT_TEXT)
        print_remote_faults (&reply);
    }
  client_reply_free (&reply);
  free (text);
  return code;
}

exit_code_t
command_sheet_show (session_t *session)
{
  err_t err = { 0 };
  const client_request_t request = { .method = "GET", .target = "/v1/sheet" };
  client_reply_t reply;
  exit_code_t code = EXIT_OK;
  if (!session_send (session, &request, &reply, &err))
    code = session_report_error (session, &err);
  else if (session->options->output == OUTPUT_JSON)
    {
      json_t *json
          = json_pack ("{s:s%}", "text", reply.body, (size_t)reply.length);
      session_print_json (json);
      json_decref (json);
    }
  else
    fwrite (reply.body, 1, reply.length, stdout);
  client_reply_free (&reply);
  return code;
}
