/* mulberryctl check: report the problems of all VMs, each with a remedy.  */

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "ctl/commands.h"
#include "ctl/vm_view.h"

enum
{
  FINDING_TEXT_BYTES = 400,
  CLOCK_SKEW_MAX_SECONDS = 20, /* a third of CREDENTIAL_WINDOW */
};

typedef enum
{
  SEVERITY_WARNING,
  SEVERITY_ERROR,
} severity_t;

/* The problems found so far, and the session for their output.  */
typedef struct findings
{
  const session_t *session;
  json_t *json;
  size_t n_problems;
} findings_t;

static void add_finding (findings_t *findings, severity_t severity,
                         const char *subject, const char *remedy,
                         const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));

static void
add_finding (findings_t *findings, severity_t severity, const char *subject,
             const char *remedy, const char *format, ...)
{
  char text[FINDING_TEXT_BYTES];
  va_list args;
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  const char *name = severity == SEVERITY_ERROR ? "error" : "warning";
  findings->n_problems++;
  json_array_append_new (findings->json,
                         json_pack ("{s:s,s:s,s:s,s:s}", "severity", name,
                                    "subject", subject, "problem", text,
                                    "remedy", remedy));
  if (findings->session->options->output == OUTPUT_TEXT)
    printf ("%s: %s: %s\n    remedy: %s\n", name, subject, text, remedy);
}

static void
check_process (findings_t *findings, const char *vm, const char *program,
               const process_view_t *process)
{
  char subject[FINDING_TEXT_BYTES];
  snprintf (subject, sizeof subject, "%s on %s", program, vm);
  if (!process->expected)
    return;
  if (!process->reached)
    {
      add_finding (
          findings, SEVERITY_ERROR, subject,
          "check that the VM and the process run, then the network path; "
          "docs/OPERATIONS.md, 'Losing and replacing a VM'",
          "can't be reached");
      return;
    }
  if (process->problem[0])
    add_finding (findings, SEVERITY_ERROR, subject,
                 "look up the text in docs/OPERATIONS.md", "says: %s",
                 process->problem);
  uint64_t refused = vm_view_counter (process, "mulberry_admin_refused_total")
                     + vm_view_counter (process, "mulberry_rpc_bad_auth_total")
                     + vm_view_counter (process, "mulberry_rpc_replays_total");
  if (refused > 0)
    add_finding (
        findings, SEVERITY_WARNING, subject,
        "compare the key files; if they agree, find the sender in the log",
        "refused %" PRIu64 " requests for their credential since its start",
        refused);
}

static void
check_vms (findings_t *findings, const vm_view_t *views, uint64_t number)
{
  const topology_t *topology = &findings->session->settings->topology;
  for (size_t i = 0; i < topology->n_vms; i++)
    {
      const char *vm = topology->vms[i].name.text;
      check_process (findings, vm, "mulberry-entry", &views[i].entry);
      check_process (findings, vm, "mulberry-control", &views[i].control);
      if (views[i].entry.reached && views[i].number_in_force < number)
        add_finding (findings, SEVERITY_ERROR, vm,
                     "wait some seconds; then check its network path to the "
                     "control VMs",
                     "has sheet %" PRIu64 " in force, but sheet %" PRIu64
                     " is accepted",
                     views[i].number_in_force, number);
    }
}

static void
check_majority (findings_t *findings, const vm_view_t *views)
{
  const topology_t *topology = &findings->session->settings->topology;
  size_t n = 0;
  size_t n_reached = 0;
  for (size_t i = 0; i < topology->n_vms; i++)
    {
      n += views[i].control.expected;
      n_reached += views[i].control.reached;
    }
  if (2 * n_reached > n)
    return;
  add_finding (
      findings, SEVERITY_ERROR, "control",
      "start control VMs again until more than half of them run; keep their "
      "data folders",
      "only %zu of %zu control VMs can be reached: no sheet can be accepted",
      n_reached, n);
}

static void
check_clock (findings_t *findings, const json_t *status)
{
  json_int_t time = 0;
  if (json_unpack ((json_t *)status, "{s:I}", "time", &time) != 0)
    return;
  int64_t skew = clock_wall () / USEC_PER_SEC - time;
  if (skew > CLOCK_SKEW_MAX_SECONDS || skew < -CLOCK_SKEW_MAX_SECONDS)
    add_finding (
        findings, SEVERITY_WARNING, "clock",
        "synchronise this machine's clock and the control VM's",
        "the clocks of this machine and of a control VM differ by %" PRId64
        " s",
        skew);
}

/* Check the control VMs; returns the number of the accepted sheet, 0 where
   none is accepted or no control VM answers.  */
static uint64_t
check_control (findings_t *findings, session_t *session)
{
  err_t err = { 0 };
  json_t *status = session_get (session, "/v1/status", &err);
  if (!status)
    {
      add_finding (findings, SEVERITY_ERROR, "control", err.remedy, "%s",
                   err.message);
      return 0;
    }
  json_int_t number = 0;
  const char *leader = "";
  json_unpack (status, "{s:I,s?s}", "number", &number, "leader", &leader);
  if (number == 0)
    add_finding (findings, SEVERITY_ERROR, "control", "submit a sheet",
                 "no sheet has been accepted: no traffic is steered");
  if (!*leader)
    add_finding (
        findings, SEVERITY_ERROR, "control",
        "wait some seconds; then check that more than half of the control "
        "VMs run and reach each other",
        "there is no leader: no sheet can be accepted");
  check_clock (findings, status);
  json_decref (status);
  return (uint64_t)number;
}

exit_code_t
command_check (session_t *session)
{
  const topology_t *topology = &session->settings->topology;
  findings_t findings = { .session = session, .json = json_array () };
  uint64_t number = check_control (&findings, session);
  vm_view_t *views = vm_views_fetch (session->settings);
  check_majority (&findings, views);
  check_vms (&findings, views, number);
  if (session->options->output == OUTPUT_JSON)
    session_print_json (findings.json);
  else if (findings.n_problems == 0)
    printf ("all is well on %zu VMs, sheet %" PRIu64 " in force\n",
            topology->n_vms, number);
  vm_views_free (views, topology->n_vms);
  json_decref (findings.json);
  return findings.n_problems == 0 ? EXIT_OK : EXIT_PROBLEM_FOUND;
}
