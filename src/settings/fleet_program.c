#include "settings/fleet_program.h"

#include <apr_general.h>
#include <argp.h>
#include <openssl/sha.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "base/log.h"

/* Interval between checks whether the settings file has changed.  */
static const struct timespec poll_interval = { .tv_sec = 1 };

static const struct argp_option options[] = {
  { "settings", 's', "FILE", 0, "This VM's settings (YAML)", 0 },
  { "check-settings", 'c', NULL, 0, "Check the settings and exit", 0 },
  { "log-level", 'l', "LEVEL", 0, "debug, info (default), warning or error",
    0 },
  { 0 },
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  return program_parse_common (key, arg, state, state->input);
}

static void
handled_signals (sigset_t *set)
{
  program_stop_signals (set);
  sigaddset (set, SIGHUP);
}

static bool
exit_with (int code, int *exit_code)
{
  *exit_code = code;
  apr_terminate ();
  return false;
}

bool
fleet_program_start (fleet_program_t *program, const char *name,
                     const char *doc, int argc, char **argv, int *exit_code)
{
  *program = (fleet_program_t){ 0 };
  program_arguments_t arguments = { .level = LOG_LEVEL_INFO };
  const struct argp argp
      = { .options = options, .parser = parse_option, .doc = doc };
  sigset_t signals;
  handled_signals (&signals);
  program_prepare (&argp, argc, argv, &arguments, &signals);
  err_t err = { 0 };
  program->feed = settings_feed_open (arguments.settings, &err);
  if (!program->feed)
    {
      program_print_fault (name, &err);
      return exit_with (PROGRAM_EXIT_USAGE, exit_code);
    }
  if (arguments.check_settings)
    {
      printf ("%s: the settings are valid\n", arguments.settings);
      settings_feed_close (program->feed);
      return exit_with (0, exit_code);
    }
  program->settings = settings_feed_acquire (program->feed);
  const name_t *secret = &program->settings->peer_secret;
  SHA256 ((const unsigned char *)secret->text, strlen (secret->text),
          program->key);
  program->incarnation = program_incarnation ();
  program_open_log (name, program->settings->vm.text, arguments.level);
  /* The program starts its threads after this, so that "started" is the first
     entry of the log.  */
  LOG_EVENT (LOG_LEVEL_INFO, "started", LOG_S ("version", MULBERRY_VERSION),
             LOG_S ("address", program->settings->address));
  return true;
}

/* Reload the settings as needed until a stop signal arrives; returns the
   number of that signal.  */
static int
wait_for_stop (settings_feed_t *feed)
{
  sigset_t set;
  handled_signals (&set);
  for (;;)
    {
      int number = sigtimedwait (&set, NULL, &poll_interval);
      if (number == SIGHUP)
        settings_feed_poll (feed, SETTINGS_POLL_ALWAYS);
      else if (number > 0)
        return number;
      else
        settings_feed_poll (feed, SETTINGS_POLL_IF_CHANGED);
    }
}

void
fleet_program_serve (const fleet_program_t *program)
{
  int number = wait_for_stop (program->feed);
  LOG_EVENT (LOG_LEVEL_INFO, "stopping", LOG_U ("signal", (uint64_t)number));
}

void
fleet_program_finish (fleet_program_t *program, int exit_code)
{
  LOG_EVENT (LOG_LEVEL_INFO, "stopped", LOG_I ("exit_code", exit_code));
  log_stop ();
  settings_feed_release (program->feed, program->settings);
  settings_feed_close (program->feed);
  apr_terminate ();
}
