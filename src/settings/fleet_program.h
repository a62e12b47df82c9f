/* fleet_program: start and end of mulberry-router and mulberry-director:
   command line, settings, log, signals.  */

#ifndef SETTINGS_FLEET_PROGRAM_H
#define SETTINGS_FLEET_PROGRAM_H

#include "settings/fleet_settings.h"
#include "settings/program.h"
#include "settings/settings_feed.h"

typedef struct fleet_program
{
  settings_feed_t *feed;
  const fleet_settings_t *settings;      /* as read at the start */
  uint64_t incarnation;                  /* see program_incarnation */
  unsigned char key[SETTINGS_KEY_BYTES]; /* SHA-256 of peer_secret */
} fleet_program_t;

/* Parse the command line (--settings FILE ...), read the settings and open the
   log.  NAME is the program's name, DOC its help text.  Returns true if the
   program should continue; the caller then calls fleet_program_finish at the
   end.  Otherwise everything has been released and *EXIT_CODE is the process's
   exit code: 0 after --check-settings, PROGRAM_EXIT_USAGE after an error,
   which has been printed to standard error.  Blocks SIGTERM, SIGINT and SIGHUP
   in the calling thread and in the threads that it creates later.  */
bool fleet_program_start (fleet_program_t *program, const char *name,
                          const char *doc, int argc, char **argv,
                          int *exit_code);

/* Block until SIGTERM or SIGINT.  Until then, reload the settings on SIGHUP
   and whenever the settings file has changed (checked once a second).  */
void fleet_program_serve (const fleet_program_t *program);

/* Log EXIT_CODE, stop the log and release everything that PROGRAM holds.  No
   other thread may hold settings of the feed any more.  */
void fleet_program_finish (fleet_program_t *program, int exit_code);

#endif
