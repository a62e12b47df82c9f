/* mulberryctl explain.  */

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/commands.h"
#include "ctl/log_story.h"

static void
read_lines (log_story_t *story, FILE *file)
{
  char *line = NULL;
  size_t size = 0;
  while (getline (&line, &size, file) > 0)
    log_story_add (story, line);
  free (line);
}

static bool
read_logs (const options_t *options, log_story_t *story, err_t *err)
{
  if (options->n_logs == 0)
    read_lines (story, stdin);
  for (size_t i = 0; i < options->n_logs; i++)
    {
      FILE *file = fopen (options->logs[i], "r");
      if (!file)
        return err_set (err, ERR_USAGE, "name logs that can be read", "%s: %s",
                        options->logs[i], strerror (errno));
      read_lines (story, file);
      fclose (file);
    }
  return true;
}

exit_code_t
command_explain (session_t *session)
{
  const options_t *options = session->options;
  err_t err = { 0 };
  log_story_t *story = log_story_new (options->argument);
  exit_code_t code = EXIT_GOOD;
  if (!read_logs (options, story, &err))
    code = session_fail (session, &err);
  else if (log_story_count (story) == 0)
    {
      printf ("no line tells of %s: give the logs of all routers\n",
              options->argument);
      code = EXIT_FOUND;
    }
  else
    {
      log_story_print (story, stdout);
      const char *outcome = log_story_outcome (story);
      printf ("%s: %s\n", options->argument,
              *outcome ? outcome : "its end is not in these logs");
    }
  log_story_free (story);
  return code;
}
