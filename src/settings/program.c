#include "settings/program.h"

#include <apr_general.h>
#include <argp.h>
#include <openssl/rand.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "placement/topology.h"

enum
{
  INCARNATION_RANDOM_BITS = 12, /* low bits, below the wall clock in us */
};

typedef struct arguments
{
  program_arguments_t common;
  const char *vm;
  const char *data_folder;
} arguments_t;

static const struct argp_option options[] = {
  { "settings", 's', "FILE", 0, "The organisation's settings file (YAML)", 0 },
  { "vm", 'v', "NAME", 0, "Name of this VM in the settings", 0 },
  { "data-folder", 'd', "FOLDER", 0,
    "Folder for stored state; default: the settings' data_folder/NAME", 0 },
  { "check-settings", 'c', NULL, 0, "Check the settings and exit", 0 },
  { "log-level", 'l', "LEVEL", 0, "debug, info (default), warning or error",
    0 },
  { 0 },
};

static bool
parse_level (const char *text, log_level_t *level)
{
  static const char *const names[] = { "debug", "info", "warning", "error" };
  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    if (strcmp (text, names[i]) == 0)
      {
        *level = (log_level_t)i;
        return true;
      }
  return false;
}

error_t
program_parse_common (int key, char *arg, struct argp_state *state,
                      program_arguments_t *arguments)
{
  switch (key)
    {
    case 's':
      arguments->settings = arg;
      return 0;
    case 'c':
      arguments->check_settings = true;
      return 0;
    case 'l':
      if (!parse_level (arg, &arguments->level))
        argp_error (
            state, "unknown log level '%s'; use debug, info, warning or error",
            arg);
      return 0;
    case ARGP_KEY_END:
      if (!arguments->settings)
        argp_error (state, "--settings FILE is missing");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  arguments_t *arguments = state->input;
  error_t result = program_parse_common (key, arg, state, &arguments->common);
  switch (key)
    {
    case 'v':
      arguments->vm = arg;
      return 0;
    case 'd':
      arguments->data_folder = arg;
      return 0;
    case ARGP_KEY_END:
      if (!arguments->vm && !arguments->common.check_settings)
        argp_error (state, "--vm NAME is missing");
      return 0;
    default:
      return result;
    }
}

void
program_stop_signals (sigset_t *set)
{
  sigemptyset (set);
  sigaddset (set, SIGTERM);
  sigaddset (set, SIGINT);
}

void
program_prepare (const struct argp *argp, int argc, char **argv, void *input,
                 const sigset_t *signals)
{
  argp_err_exit_status = PROGRAM_EXIT_USAGE;
  argp_parse (argp, argc, argv, 0, NULL, input);
  apr_initialize ();
  pthread_sigmask (SIG_BLOCK, signals, NULL);
  signal (SIGPIPE, SIG_IGN);
}

void
program_print_fault (const char *name, const err_t *err)
{
  fprintf (stderr, "%s: %s\n%s: remedy: %s\n", name, err->message, name,
           err->remedy);
}

void
program_open_log (const char *name, const char *vm, log_level_t level)
{
  err_t err = { 0 };
  log_open (name, vm, level);
  if (!log_start (&err))
    log_error (LOG_LEVEL_WARNING, "log_waits", &err);
}

/* Read the settings and the key file and find this VM.  Without --vm, which
   only --check-settings permits, the VM's fields stay unset.  */
static bool
load (program_t *program, const arguments_t *arguments, err_t *err)
{
  program->settings = settings_load (arguments->common.settings, err);
  if (!program->settings)
    return false;
  const topology_t *topology = &program->settings->topology;
  if (!settings_read_key (program->settings->key_file, program->key, err))
    return false;
  if (!arguments->vm)
    return true;
  program->vm_id = topology_vm (topology, arguments->vm);
  if (program->vm_id == TOPOLOGY_NONE)
    return err_set (err, ERR_USAGE,
                    "give --vm the name of a VM in the settings",
                    "--vm %s: no such VM in %s", arguments->vm,
                    arguments->common.settings);
  program->vm = &topology->vms[program->vm_id];
  int n = arguments->data_folder
              ? snprintf (program->data_folder, sizeof program->data_folder,
                          "%s", arguments->data_folder)
              : snprintf (program->data_folder, sizeof program->data_folder,
                          "%s/%s", program->settings->data_folder,
                          arguments->vm);
  if (n < 0 || (size_t)n >= sizeof program->data_folder)
    return err_set (err, ERR_USAGE, "use a path of at most 255 bytes",
                    "the path of the data folder is longer than 255 bytes");
  return true;
}

uint64_t
program_incarnation (void)
{
  uint64_t random_bits = 0;
  RAND_bytes ((unsigned char *)&random_bits, sizeof random_bits);
  return ((uint64_t)clock_wall () << INCARNATION_RANDOM_BITS)
         | (random_bits >> (64 - INCARNATION_RANDOM_BITS)) | 1;
}

bool
program_start (program_t *program, const char *name, const char *doc, int argc,
               char **argv, int *exit_code)
{
  memset (program, 0, sizeof *program);
  arguments_t arguments = { .common.level = LOG_LEVEL_INFO };
  const struct argp argp
      = { .options = options, .parser = parse_option, .doc = doc };
  sigset_t stop;
  program_stop_signals (&stop);
  program_prepare (&argp, argc, argv, &arguments, &stop);
  err_t err = { 0 };
  if (!load (program, &arguments, &err))
    {
      program_print_fault (name, &err);
      program_finish (program);
      *exit_code = PROGRAM_EXIT_USAGE;
      return false;
    }
  if (arguments.common.check_settings)
    {
      printf ("%s: the settings are valid\n", arguments.common.settings);
      program_finish (program);
      *exit_code = 0;
      return false;
    }
  program->incarnation = program_incarnation ();
  program_open_log (name, program->vm->name.text, arguments.common.level);
  return true;
}

int
program_serve (const program_t *program, bool opened, const err_t *err)
{
  if (!opened)
    {
      log_error (LOG_LEVEL_ERROR, "start_failed", err);
      return EXIT_FAILURE;
    }
  LOG_EVENT (LOG_LEVEL_INFO, "started",
             LOG_S ("address", program->vm->address));
  sigset_t stop;
  program_stop_signals (&stop);
  int signal_number = 0;
  sigwait (&stop, &signal_number);
  LOG_EVENT (LOG_LEVEL_INFO, "stopping", LOG_S ("reason", "signal"));
  return EXIT_SUCCESS;
}

void
program_finish (program_t *program)
{
  log_stop ();
  settings_free (program->settings);
  program->settings = NULL;
  apr_terminate ();
}
