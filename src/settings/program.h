/* program: what mulberry-entry and mulberry-control share at their start:
   the command line, the settings, the log, the stop signal; and the parts of
   it that settings/fleet_program shares.  */

#ifndef SETTINGS_PROGRAM_H
#define SETTINGS_PROGRAM_H

#include <argp.h>
#include <signal.h>

#include "base/log.h"
#include "settings/settings.h"

enum
{
  PROGRAM_EXIT_USAGE = 2, /* bad command line or settings */
};

typedef struct program
{
  settings_t *settings;
  const vm_t *vm; /* this VM, inside the settings */
  vm_id_t vm_id;
  uint64_t incarnation; /* of this start; greater than former ones; not 0 */
  unsigned char key[SETTINGS_KEY_BYTES];
  char data_folder[SETTINGS_PATH_BYTES];
} program_t;

/* Read the command line (--settings FILE --vm NAME ...) and the settings.
   Returns true where the program should go on; else *EXIT_CODE says how it
   ends: 0 after --check-settings, PROGRAM_EXIT_USAGE after a fault, which
   has been printed.  */
bool program_start (program_t *program, const char *name, const char *doc,
                    int argc, char **argv, int *exit_code);

/* Where the program's parts were OPENED, block until SIGTERM or SIGINT, which
   program_start has masked; else log ERR.  Returns the exit code.  */
int program_serve (const program_t *program, bool opened, const err_t *err);

void program_finish (program_t *program);

/* The options that all programs have.  */
typedef struct program_arguments
{
  const char *settings;
  bool check_settings;
  log_level_t level;
} program_arguments_t;

/* Take KEY where it is one of them, for an argp parser; ARGP_ERR_UNKNOWN for
   another.  Ends the process where its value is none.  */
error_t program_parse_common (int key, char *arg, struct argp_state *state,
                              program_arguments_t *arguments);

/* Read the command line by ARGP into INPUT, start APR, and block SIGNALS.  A
   bad command line ends the process with PROGRAM_EXIT_USAGE.  */
void program_prepare (const struct argp *argp, int argc, char **argv,
                      void *input, const sigset_t *signals);

/* SIGTERM and SIGINT.  */
void program_stop_signals (sigset_t *set);

/* Say on standard error what is wrong, and the remedy.  */
void program_print_fault (const char *name, const err_t *err);

/* Open the log of program NAME on VM.  */
void program_open_log (const char *name, const char *vm, log_level_t level);

/* An incarnation for a new start.  Greater than all former ones of this VM as
   long as its wall clock was not set back over a restart, and different even
   then; not 0.  */
uint64_t program_incarnation (void);

#endif
