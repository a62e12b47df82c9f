/* program: start and end of mulberry-entry and mulberry-control: command line,
   settings, log, stop signals; also the helper functions that
   settings/fleet_program uses.  */

#ifndef SETTINGS_PROGRAM_H
#define SETTINGS_PROGRAM_H

#include <argp.h>
#include <signal.h>

#include "base/log.h"
#include "settings/settings.h"

enum
{
  PROGRAM_EXIT_USAGE = 2, /* after a bad command line or bad settings */
};

typedef struct program
{
  settings_t *settings;
  const vm_t *vm; /* this VM; points into SETTINGS */
  vm_id_t vm_id;
  uint64_t incarnation;                  /* see program_incarnation */
  unsigned char key[SETTINGS_KEY_BYTES]; /* read from settings->key_file */
  char data_folder[SETTINGS_PATH_BYTES];
} program_t;

/* Parse the command line (--settings FILE --vm NAME ...), read the settings
   and the key file, and open the log.  NAME is the program's name, DOC its
   help text.  Returns true if the program should continue; the caller then
   calls program_finish at the end.  Otherwise everything has been released and
   *EXIT_CODE is the process's exit code: 0 after --check-settings,
   PROGRAM_EXIT_USAGE after an error, which has been printed to standard error.
   Blocks SIGTERM and SIGINT in the calling thread and in the threads that it
   creates later.  */
bool program_start (program_t *program, const char *name, const char *doc,
                    int argc, char **argv, int *exit_code);

/* If OPENED (the program's modules have been opened), block until SIGTERM or
   SIGINT and return EXIT_SUCCESS.  Otherwise log ERR and return
   EXIT_FAILURE.  */
int program_serve (const program_t *program, bool opened, const err_t *err);

/* Stop the log and release the settings.  */
void program_finish (program_t *program);

/* Values of the options that all programs have.  The string belongs to
   argv.  */
typedef struct program_arguments
{
  const char *settings;
  bool check_settings;
  log_level_t level;
} program_arguments_t;

/* For an argp parser: store the value ARG of the option KEY in ARGUMENTS.
   Returns 0, or ARGP_ERR_UNKNOWN if KEY is not a common option.  Ends the
   process if the value is invalid or, at ARGP_KEY_END, --settings is
   missing.  */
error_t program_parse_common (int key, char *arg, struct argp_state *state,
                              program_arguments_t *arguments);

/* Parse the command line with ARGP into INPUT, initialise APR, block SIGNALS
   and ignore SIGPIPE.  A bad command line ends the process with
   PROGRAM_EXIT_USAGE.  */
void program_prepare (const struct argp *argp, int argc, char **argv,
                      void *input, const sigset_t *signals);

/* Set SET to SIGTERM and SIGINT.  */
void program_stop_signals (sigset_t *set);

/* Print the message and the remedy of ERR to standard error, prefixed with
   the program's NAME.  */
void program_print_fault (const char *name, const err_t *err);

/* Open the log of the program NAME on the VM named VM; entries below LEVEL are
   not written.  If its writer can't be started, a warning is logged.  */
void program_open_log (const char *name, const char *vm, log_level_t level);

/* Create the incarnation number of a process start: the wall clock followed
   by random bits.  Never 0.  Greater than those of all earlier starts on this
   VM unless the wall clock was set back between two starts; the random bits
   tell the starts apart even then.  */
uint64_t program_incarnation (void);

#endif
