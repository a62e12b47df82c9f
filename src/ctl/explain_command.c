/* mulberryctl explain: trace one request through the logs of routers.  */

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/commands.h"
#include "ctl/request_trace.h"

static void
read_lines (request_trace_t *trace, FILE *file)
{
  char *line = NULL;
  size_t size = 0;
  while (getline (&line, &size, file) > 0)
    request_trace_add (trace, line);
  free (line);
}

static bool
read_logs (const options_t *options, request_trace_t *trace, err_t *err)
{
  if (options->n_logs == 0)
    read_lines (trace, stdin);
  for (size_t i = 0; i < options->n_logs; i++)
    {
      FILE *file = fopen (options->logs[i], "r");
      if (!file)
        return err_set (
            err, ERR_USAGE, "give log files that exist and are readable",
            "can't read %s: %s", options->logs[i], strerror (errno));
      read_lines (trace, file);
      fclose (file);
    }
  return true;
}

exit_code_t
command_explain (session_t *session)
{
  const options_t *options = session->options;
  err_t err = { 0 };
  request_trace_t *trace = request_trace_new (options->argument);
  exit_code_t code = EXIT_OK;
  if (!read_logs (options, trace, &err))
    code = session_report_error (session, &err);
  else if (request_trace_count (trace) == 0)
    {
      printf (
          "no log line has the request id %s: give the logs of all routers\n",
          options->argument);
      code = EXIT_PROBLEM_FOUND;
    }
  else
    {
      request_trace_print (trace, stdout);
      const char *outcome = request_trace_outcome (trace);
      printf ("%s: %s\n", options->argument,
              *outcome ? outcome : "these logs do not hold its end");
    }
  request_trace_free (trace);
  return code;
}
