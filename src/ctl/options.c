#include "ctl/options.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/number.h"

const char *argp_program_version = "mulberryctl " MULBERRY_VERSION;

enum
{
  TIMEOUT_SECONDS_DEFAULT = 15,
  TIMEOUT_SECONDS_MAX = 600,
  COMMAND_WORDS_MAX = 2,
  NAME_BYTES_MAX = 64,
};

typedef enum
{
  ARGUMENT_NONE,
  ARGUMENT_FILE,
  ARGUMENT_NAME,
} argument_kind_t;

typedef struct command_spec
{
  const char *words[COMMAND_WORDS_MAX];
  argument_kind_t argument;
  const char *doc;
} command_spec_t;

static const command_spec_t commands[COMMAND_NONE] = {
  [COMMAND_SHEET_CHECK]
  = { { "sheet", "check" },
      ARGUMENT_FILE,
      "Check a sheet without submitting it: every bad row with its column and "
      "remedy, and the plan's expected and worst cost by region and link, "
      "held "
      "against the cost cap.  Nothing is sent.\vExit codes: 0 the sheet can "
      "be "
      "submitted, 2 usage, 3 it would be refused." },
  [COMMAND_SHEET_SUBMIT]
  = { { "sheet", "submit" },
      ARGUMENT_FILE,
      "Submit a sheet and wait until it is accepted, that is, until a "
      "majority "
      "of the control VMs has it on disk.  Sending the same file again is "
      "safe "
      "and gives the same answer.\vExit codes: 0 accepted, 3 refused, 4 the "
      "number is taken by other content or has passed, 5 no final answer "
      "(send "
      "it again), 6 credential refused." },
  [COMMAND_SHEET_SHOW] = { { "sheet", "show" },
                           ARGUMENT_NONE,
                           "Print the newest accepted sheet as CSV, as it was "
                           "submitted." },
  [COMMAND_SHIFT_STATUS]
  = { { "shift", "status" },
      ARGUMENT_NONE,
      "Show which sheet is accepted, and for each entry VM which sheet it has "
      "in "
      "force, since when, and whether the VM can be reached.\vExit codes: 0 "
      "in "
      "force on every VM, 1 not in force on every VM or some can't be "
      "reached, "
      "5 control can't be reached." },
  [COMMAND_SHIFT_LIST]
  = { { "shift", "list" },
      ARGUMENT_NONE,
      "Print the accepted shift: cost cap, prices and traffic by service and "
      "region." },
  [COMMAND_BACKEND_LIST] = { { "backend", "list" },
                             ARGUMENT_NONE,
                             "List the backend servers of the accepted sheet "
                             "with their state." },
  [COMMAND_BACKEND_DRAIN]
  = { { "backend", "drain" },
      ARGUMENT_NAME,
      "Take a backend server out of service: submits the accepted sheet under "
      "the next number with the backend server's state set to leaving.  If "
      "another operator submitted that number first, nothing is changed and "
      "the exit code is 4." },
  [COMMAND_VM_LIST] = { { "vm", "list" },
                        ARGUMENT_NONE,
                        "List the VMs of the settings with failure domain, "
                        "address, role, health and sheet in force." },
  [COMMAND_METRICS]
  = { { "metrics", NULL },
      ARGUMENT_NONE,
      "Fetch the counters and latency histograms of all VMs, merge them, and "
      "draw the histograms." },
  [COMMAND_CHECK]
  = { { "check", NULL },
      ARGUMENT_NONE,
      "Check all VMs and report every problem with its remedy.\vExit codes: "
      "0 no problem, 1 at least one problem." },
  [COMMAND_EXPLAIN]
  = { { "explain", NULL },
      ARGUMENT_NAME,
      "Show the log lines of the request with the id NAME from all VMs in the "
      "order of time, and its outcome, from the logs of routers: files, or "
      "standard input.\vExit codes: 0 lines were found, 1 no line has this "
      "id, "
      "2 a file can't be read." },
  [COMMAND_FLEET_SHOW]
  = { { "fleet", "show" },
      ARGUMENT_NAME,
      "Show the state that the director at NAME, its ADDRESS:PORT for "
      "operators, holds: "
      "configuration, evacuations, directors, routers, routes, backend "
      "servers.\vExit codes: 0 shown, 5 the director did not answer." },
  [COMMAND_FLEET_RELEASE]
  = { { "fleet", "release" },
      ARGUMENT_NAME,
      "End the quarantine of the requests with the fingerprint NAME, as "
      "`fleet "
      "show` lists it, at all directors and routers.  Crashes so far do not "
      "count any more; three more begin it again.\vExit codes: 0 ended, 2 "
      "usage, 3 none with this fingerprint is quarantined there, 5 the "
      "director did not answer." },
};

static const char global_doc[]
    = "Operate mulberrychute: submit sheets and show its state.\v"
      "Commands:\n"
      "  sheet check FILE     check a sheet; costs against the cap\n"
      "  sheet submit FILE    submit a sheet\n"
      "  sheet show           print the accepted sheet\n"
      "  shift status         which sheet is in force where\n"
      "  shift list           cap, prices and traffic of the accepted sheet\n"
      "  backend list         backend servers and their states\n"
      "  backend drain NAME   take a backend server out of service\n"
      "  vm list              VMs and their health\n"
      "  metrics              counters and latencies of all VMs, merged\n"
      "  check                what is wrong, and how to mend it\n"
      "  explain NAME         what became of a request, from logs\n"
      "  fleet show NAME      what the director at ADDRESS:PORT knows\n"
      "  fleet release NAME   end the quarantine of a fingerprint\n"
      "\n`mulberryctl COMMAND --help` describes one command.\n"
      "\nExit codes: 0 good, 1 something found, 2 usage or settings, 3 "
      "refused, 4 conflict, 5 no final answer (ask again), 6 credential "
      "refused.";

enum
{
  OPTION_SERVICE = 0x100,
  OPTION_STOP,
  OPTION_LOG,
  OPTION_DIRECTOR,
};

static const struct argp_option global_options[] = {
  { "settings", 's', "FILE", 0,
    "The organisation's settings (or MULBERRY_SETTINGS)", 0 },
  { "key", 'k', "FILE", 0,
    "The operator's key file (or MULBERRY_KEY_FILE; else operator.key beside "
    "the settings)",
    0 },
  { "output", 'o', "FORMAT", 0, "text (the default) or json", 0 },
  { "timeout", 't', "SECONDS", 0, "Wait this long for a final answer (15)",
    0 },
  { "vm", 'v', "NAME", 0,
    "Ask this VM alone (metrics), or first (everything else)", 0 },
  { 0 },
};

static const struct argp_option metrics_options[] = {
  { "service", OPTION_SERVICE, "NAME", 0, "Only this service", 0 },
  { 0 },
};

static const struct argp_option drain_options[] = {
  { "stop", OPTION_STOP, NULL, 0,
    "A planned stop: state stopping, not leaving", 0 },
  { 0 },
};

static const struct argp_option release_options[] = {
  { "director", OPTION_DIRECTOR, "ADDRESS:PORT", 0,
    "The director to tell, at its address for operators", 0 },
  { 0 },
};

static const struct argp_option explain_options[] = {
  { "log", OPTION_LOG, "FILE", 0, "A log to read; can be given many times",
    0 },
  { 0 },
};

/* The state that the argp parsers share.  */
typedef struct parse
{
  options_t *options;
  int argc; /* the command's words and what follows */
  char **argv;
} parse_context_t;

static usec_t
parse_timeout (struct argp_state *state, const char *text)
{
  uint64_t seconds = 0;
  if (number_parse_unsigned (&seconds, text, TIMEOUT_SECONDS_MAX) != NUMBER_OK
      || seconds < 1)
    argp_error (state,
                "--timeout '%s' is not a number of seconds from 1 to %d", text,
                TIMEOUT_SECONDS_MAX);
  return (usec_t)seconds * USEC_PER_SEC;
}

static output_t
parse_output (struct argp_state *state, const char *text)
{
  if (strcmp (text, "json") == 0)
    return OUTPUT_JSON;
  if (strcmp (text, "text") != 0)
    argp_error (state, "--output '%s' is neither text nor json", text);
  return OUTPUT_TEXT;
}

static error_t
parse_global (int key, char *text, struct argp_state *state)
{
  parse_context_t *parse = state->input;
  options_t *options = parse->options;
  switch (key)
    {
    case 's':
      options->settings = text;
      return 0;
    case 'k':
      options->key = text;
      return 0;
    case 'o':
      options->output = parse_output (state, text);
      return 0;
    case 't':
      options->timeout = parse_timeout (state, text);
      return 0;
    case 'v':
      options->vm = text;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* Parse the global options up to the first word, which begins the command.  */
static error_t
parse_words (int key, char *text, struct argp_state *state)
{
  parse_context_t *parse = state->input;
  if (key == ARGP_KEY_ARG)
    {
      parse->argv = state->argv + state->next - 1;
      parse->argc = state->argc - state->next + 1;
      state->next = state->argc;
      return 0;
    }
  if (key == ARGP_KEY_NO_ARGS)
    argp_usage (state);
  return parse_global (key, text, state);
}

static error_t
parse_argument (int key, char *text, struct argp_state *state)
{
  options_t *options = ((parse_context_t *)state->input)->options;
  argument_kind_t wanted = commands[options->command].argument;
  switch (key)
    {
    case ARGP_KEY_INIT:
      state->child_inputs[0] = state->input;
      return 0;
    case ARGP_KEY_ARG:
      if (wanted == ARGUMENT_NONE || options->argument)
        argp_error (state, "unexpected argument '%s'", text);
      options->argument = text;
      return 0;
    case ARGP_KEY_END:
      if (wanted != ARGUMENT_NONE && !options->argument)
        argp_error (state, "the argument %s is missing",
                    wanted == ARGUMENT_FILE ? "FILE" : "NAME");
      return 0;
    case OPTION_SERVICE:
      options->service = text;
      return 0;
    case OPTION_STOP:
      options->stop = true;
      return 0;
    case OPTION_DIRECTOR:
      options->director = text;
      return 0;
    case OPTION_LOG:
      if (options->n_logs == LOGS_MAX)
        argp_error (state, "--log can be given at most %d times", LOGS_MAX);
      options->logs[options->n_logs++] = text;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* The number of words of ARGV that name the command of SPEC; 0 where they name
   another command.  */
static int
match_words (const command_spec_t *spec, int argc, char **argv)
{
  int n = 0;
  for (; n < COMMAND_WORDS_MAX && spec->words[n]; n++)
    if (n >= argc || strcmp (argv[n], spec->words[n]) != 0)
      return 0;
  return n;
}

static const struct argp_option *
command_options (command_t command)
{
  if (command == COMMAND_METRICS)
    return metrics_options;
  if (command == COMMAND_BACKEND_DRAIN)
    return drain_options;
  if (command == COMMAND_EXPLAIN)
    return explain_options;
  if (command == COMMAND_FLEET_RELEASE)
    return release_options;
  return NULL;
}

static const char *
argument_name (argument_kind_t argument)
{
  switch (argument)
    {
    case ARGUMENT_NONE:
      return NULL;
    case ARGUMENT_FILE:
      return "FILE";
    case ARGUMENT_NAME:
      return "NAME";
    }
  return NULL;
}

/* Parse what follows the command's N_WORDS words: options and argument.  */
static void
parse_command (parse_context_t *parse, int n_words)
{
  const command_spec_t *spec = &commands[parse->options->command];
  char name[NAME_BYTES_MAX];
  snprintf (name, sizeof name, "mulberryctl %s%s%s", spec->words[0],
            spec->words[1] ? " " : "", spec->words[1] ? spec->words[1] : "");
  const struct argp global
      = { .options = global_options, .parser = parse_global };
  const struct argp_child children[]
      = { { &global, 0, "Everywhere:", 1 }, { 0 } };
  const struct argp argp
      = { .options = command_options (parse->options->command),
          .parser = parse_argument,
          .args_doc = argument_name (spec->argument),
          .doc = spec->doc,
          .children = children };
  int argc = parse->argc - n_words + 1;
  char **argv = parse->argv + n_words - 1;
  argv[0] = name;
  argp_parse (&argp, argc, argv, 0, NULL, parse);
}

bool
options_need_settings (command_t command)
{
  return command != COMMAND_EXPLAIN && command != COMMAND_FLEET_SHOW
         && command != COMMAND_FLEET_RELEASE;
}

void
options_parse (options_t *options, int argc, char **argv)
{
  *options = (options_t){ .command = COMMAND_NONE,
                          .settings = getenv ("MULBERRY_SETTINGS"),
                          .key = getenv ("MULBERRY_KEY_FILE"),
                          .timeout = TIMEOUT_SECONDS_DEFAULT * USEC_PER_SEC };
  const struct argp argp = { .options = global_options,
                             .parser = parse_words,
                             .args_doc = "COMMAND",
                             .doc = global_doc };
  argp_err_exit_status = EXIT_USAGE;
  parse_context_t parse = { .options = options };
  argp_parse (&argp, argc, argv, ARGP_IN_ORDER, NULL, &parse);
  for (command_t command = 0; command < COMMAND_NONE; command++)
    {
      int n_words = match_words (&commands[command], parse.argc, parse.argv);
      if (n_words == 0)
        continue;
      options->command = command;
      parse_command (&parse, n_words);
      break;
    }
  const char *message = NULL;
  if (options->command == COMMAND_NONE)
    message = "unknown command; `mulberryctl --help` lists the commands";
  else if (!options->settings && options_need_settings (options->command))
    message
        = "no settings given: use --settings FILE or set MULBERRY_SETTINGS";
  if (!message)
    return;
  fprintf (stderr, "mulberryctl: %s\n", message);
  exit (EXIT_USAGE);
}
