/* options: mulberryctl's command line.  */

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
  COMMAND_NONE,
} command_t;

enum
{
  LOGS_MAX = 256,
};

typedef enum
{
  OUTPUT_TEXT,
  OUTPUT_JSON,
} output_t;

typedef enum
{
  EXIT_GOOD = 0,
  EXIT_FOUND = 1,    /* `check` found something wrong */
  EXIT_USAGE = 2,    /* command line, settings or key file */
  EXIT_REFUSED = 3,  /* the sheet or request was refused; nothing changed */
  EXIT_CONFLICT = 4, /* the number is taken or has passed */
  EXIT_UNKNOWN = 5,  /* no final answer: ask again */
  EXIT_AUTH = 6,     /* the credential was refused */
} exit_code_t;

typedef struct options
{
  command_t command;
  const char *settings;
  const char *key; /* NULL: the default */
  const char *vm;  /* NULL: any */
  output_t output;
  usec_t timeout;
  const char *argument; /* the command's own: file or name */
  const char *service;  /* metrics: only this one */
  bool stop;            /* backend drain: a planned stop */
  size_t n_logs;        /* explain: the files to read; none: standard input */
  const char *logs[LOGS_MAX];
} options_t;

/* Whether COMMAND needs an organisation's settings.  */
bool options_need_settings (command_t command);

/* Read the command line; prints the help or a usage error and exits where it
   has to.  */
void options_parse (options_t *options, int argc, char **argv);

#endif
