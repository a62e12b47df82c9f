/* mulberry-control: a replica of the log of accepted sheets, on a VM with a
   disk.  */

#include <argp.h>
#include <stdlib.h>

#include "base/log.h"
#include "control/accepted_sheet.h"
#include "control/admin_port.h"
#include "control/core_thread.h"
#include "control/peer_port.h"
#include "settings/program.h"
#include "wire/metrics_page.h"
#include "wire/rpc.h"
#include "wire/rpc_metrics.h"

const char *argp_program_version = "mulberry-control " MULBERRY_VERSION;

static const char doc[]
    = "Accepts the operators' sheets, stores them in the data folder and "
      "serves them to the entry VMs.  Stops on SIGTERM.";

typedef struct control
{
  accepted_sheet_t *accepted;
  rpc_t *rpc;
  core_thread_t *core;
  admin_port_t *admin;
  credentials_t credentials;
  metrics_t *metrics;
  metrics_page_t *page;
} control_t;

/* Load the operators' keys.  Without operators_file the administration port
   refuses every request.  */
static bool
open_credentials (control_t *control, const settings_t *settings, err_t *err)
{
  if (settings->operators_file[0])
    return credentials_load (&control->credentials, settings->operators_file,
                             err);
  LOG_EVENT (LOG_LEVEL_WARNING, "admin_closed",
             LOG_S ("remedy", "set operators_file in the settings"));
  return true;
}

static bool
open_metrics (control_t *control, const program_t *program, err_t *err)
{
  control->metrics = metrics_new ();
  if (!control->metrics)
    return err_set (err, ERR_LIMIT, "give the VM more memory",
                    "out of memory");
  if (!rpc_metrics_register (control->rpc, control->metrics, err))
    return false;
  const metrics_page_options_t options
      = { .address = program->vm->address,
          .port = program->settings->ports.control_metrics,
          .metrics = control->metrics };
  control->page = metrics_page_start (&options, err);
  if (!control->page)
    return false;
  core_thread_set_page (control->core, control->page);
  return true;
}

static bool
open_admin (control_t *control, const program_t *program, err_t *err)
{
  const settings_t *settings = program->settings;
  if (!open_credentials (control, settings, err))
    return false;
  const admin_port_options_t options
      = { .address = program->vm->address,
          .port = settings->ports.admin,
          .service = { .settings = settings,
                       .self = program->vm_id,
                       .accepted = control->accepted,
                       .core = control->core },
          .credentials = &control->credentials,
          .metrics = control->metrics };
  control->admin = admin_port_open (&options, err);
  return control->admin != NULL;
}

static bool
open_core (control_t *control, const program_t *program, err_t *err)
{
  const core_thread_options_t options = { .settings = program->settings,
                                          .vm = program->vm_id,
                                          .rpc = control->rpc,
                                          .accepted = control->accepted,
                                          .data_folder = program->data_folder,
                                          .seed = program->incarnation };
  control->core = core_thread_start (&options, err);
  return control->core != NULL;
}

static bool
control_open (control_t *control, const program_t *program, err_t *err)
{
  const settings_t *settings = program->settings;
  control->accepted = accepted_sheet_new (settings->topology.n_vms);
  const rpc_options_t rpc_options = { .address = program->vm->address,
                                      .port = settings->ports.control_peer,
                                      .vm = program->vm_id,
                                      .incarnation = program->incarnation,
                                      .key = program->key };
  control->rpc = rpc_open (&rpc_options, err);
  if (!control->rpc)
    return false;
  peer_port_register (control->rpc, control->accepted);
  if (!open_core (control, program, err) || !rpc_start (control->rpc, err))
    return false;
  return open_metrics (control, program, err)
         && open_admin (control, program, err);
}

/* The core thread stops first, as that completes the submissions for which
   administration requests wait.  */
static void
control_close (control_t *control)
{
  if (control->core)
    core_thread_stop (control->core);
  if (control->admin)
    admin_port_close (control->admin);
  if (control->page)
    metrics_page_stop (control->page);
  if (control->rpc)
    rpc_close (control->rpc);
  if (control->core)
    core_thread_free (control->core);
  accepted_sheet_free (control->accepted);
  metrics_free (control->metrics);
  credentials_free (&control->credentials);
}

int
main (int argc, char **argv)
{
  program_t program;
  int exit_code = 0;
  if (!program_start (&program, "mulberry-control", doc, argc, argv,
                      &exit_code))
    return exit_code;
  control_t control = { 0 };
  err_t err = { 0 };
  bool opened = control_open (&control, &program, &err);
  exit_code = program_serve (&program, opened, &err);
  control_close (&control);
  program_finish (&program);
  return exit_code;
}
