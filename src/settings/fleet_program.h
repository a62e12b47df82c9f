/* fleet_program: what mulberry-router and mulberry-director share at their
   start: the command line, the settings, the log.  */

#ifndef SETTINGS_FLEET_PROGRAM_H
#define SETTINGS_FLEET_PROGRAM_H

#include "settings/fleet_settings.h"
#include "settings/program.h"
#include "settings/settings_feed.h"

typedef struct fleet_program
{
  settings_feed_t *feed;
  const fleet_settings_t *settings; /* those of the start */
  uint64_t incarnation; /* of this start; greater than former ones; not 0 */
  unsigned char key[SETTINGS_KEY_BYTES];
} fleet_program_t;

/* Read the command line (--settings FILE ...) and the settings.  Returns true
   where the program should go on; else *EXIT_CODE says how it ends: 0 after
   --check-settings, PROGRAM_EXIT_USAGE after a fault, which has been
   printed.  SIGTERM, SIGINT and SIGHUP are blocked from here on.  */
bool fleet_program_start (fleet_program_t *program, const char *name,
                          const char *doc, int argc, char **argv,
                          int *exit_code);

/* Block until SIGTERM or SIGINT.  Meanwhile put the settings in force anew: at
   SIGHUP, and whenever their file has changed.  */
void fleet_program_serve (const fleet_program_t *program);

/* Log the end with EXIT_CODE and release all.  */
void fleet_program_finish (fleet_program_t *program, int exit_code);

#endif
