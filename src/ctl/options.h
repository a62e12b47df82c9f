/* options: parse the command line of mulberryctl.  */

#ifndef CTL_OPTIONS_H
#define CTL_OPTIONS_H

#include <stdbool.h>
#include <stddef.h>

#include "base/time_defs.h"

typedef enum
{
  COMMAND_SHEET_CHECK,
  COMMAND_SHEET_SUBMIT,
  COMMAND_SHEET_SHOW,
  COMMAND_SHIFT_STATUS,
  COMMAND_SHIFT_LIST,
  COMMAND_BACKEND_LIST,
  COMMAND_BACKEND_DRAIN,
  COMMAND_VM_LIST,
  COMMAND_METRICS,
  COMMAND_CHECK,
  COMMAND_EXPLAIN,
  COMMAND_FLEET_SHOW,
  COMMAND_FLEET_RELEASE,
  COMMAND_NONE,
} command_t;

enum
{
  LOGS_MAX = 256, /* --log options of one command line */
};

typedef enum
{
  OUTPUT_TEXT,
  OUTPUT_JSON,
} output_t;

typedef enum
{
  EXIT_OK = 0,
  EXIT_PROBLEM_FOUND = 1, /* `check` found something wrong */
  EXIT_USAGE = 2,         /* command line, settings or key file */
  EXIT_REFUSED = 3,  /* the sheet or request was refused and changed nothing */
  EXIT_CONFLICT = 4, /* the sheet number is taken or has passed */
  EXIT_NO_FINAL_ANSWER = 5, /* the request can be sent again */
  EXIT_AUTH = 6,            /* the credential was refused */
} exit_code_t;

typedef struct options
{
  command_t command;
  const char *settings;
  const char *key; /* key file; NULL: operator.key beside the settings */
  const char *vm;  /* --vm; NULL: any */
  output_t output;
  usec_t timeout;
  const char *argument; /* FILE or NAME after the command; NULL: none */
  const char *service;  /* metrics: only this service; NULL: all */
  const char *director; /* fleet release: ADDRESS:PORT for operators */
  bool stop;            /* backend drain: a planned stop */
  size_t n_logs;        /* explain: the files to read; none: standard input */
  const char *logs[LOGS_MAX];
} options_t;

/* Whether COMMAND needs the settings of an organisation.  */
bool options_need_settings (command_t command);

/* Parse the command line and the environment into OPTIONS, whose strings are
   borrowed.  Prints the help and exits with 0 where it is asked for; prints a
   usage error and exits with EXIT_USAGE on one.  */
void options_parse (options_t *options, int argc, char **argv);

#endif
