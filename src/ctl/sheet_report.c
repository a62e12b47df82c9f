#include "ctl/sheet_report.h"

#include <inttypes.h>
#include <stdio.h>

exit_code_t
sheet_report (const session_t *session, const sheet_t *sheet)
{
  if (session->options->output == OUTPUT_JSON)
    printf ("{\"good\": true, \"number\": %" PRIu64 "}\n", sheet->number);
  else
    printf ("sheet %" PRIu64 ": every row is good\n", sheet->number);
  return EXIT_GOOD;
}

static size_t
n_named (const sheet_faults_t *faults)
{
  return faults->n_faults < SHEET_FAULTS_MAX ? faults->n_faults
                                             : SHEET_FAULTS_MAX;
}

static json_t *
faults_json (const sheet_faults_t *faults)
{
  json_t *json = json_array ();
  for (size_t i = 0; i < n_named (faults); i++)
    {
      const sheet_fault_t *fault = &faults->fault[i];
      json_array_append_new (
          json, json_pack ("{s:I,s:s,s:s,s:s}", "row", (json_int_t)fault->row,
                           "column", fault->column, "message", fault->message,
                           "remedy", fault->remedy));
    }
  return json;
}

exit_code_t
sheet_report_faults (const session_t *session, const sheet_faults_t *faults,
                     const err_t *err)
{
  if (session->options->output == OUTPUT_JSON)
    {
      json_t *json = json_pack ("{s:b,s:I,s:o}", "good", 0, "n_faults",
                                (json_int_t)faults->n_faults, "faults",
                                faults_json (faults));
      session_print_json (json);
      json_decref (json);
      return EXIT_REFUSED;
    }
  for (size_t i = 0; i < n_named (faults); i++)
    {
      const sheet_fault_t *fault = &faults->fault[i];
      fprintf (stderr, "row %zu, column %s: %s; remedy: %s\n", fault->row,
               fault->column, fault->message, fault->remedy);
    }
  return session_fail (session, err);
}
