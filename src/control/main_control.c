/* mulberry-control: keeps the accepted sheets on a VM with a disk.  */

#include <argp.h>
#include <stdlib.h>

#include "base/log.h"
#include "control/accepted.h"
#include "control/admin_port.h"
#include "control/peer_port.h"
#include "settings/program.h"
#include "wire/rpc.h"

const char *argp_program_version = "mulberry-control " MULBERRY_VERSION;

static const char doc[]
    = "Accepts the operators' sheets, keeps them in the data folder and hands "
      "them to the entry VMs.  Stops on SIGTERM.";

typedef struct control
{
  accepted_t *accepted;
  rpc_t *rpc;
  admin_port_t *admin;
} control_t;

static bool
control_open (control_t *control, const program_t *program, err_t *err)
{
  const settings_t *settings = program->settings;
  control->accepted
      = accepted_open (program->data_folder, &settings->topology, err);
  if (!control->accepted)
    return false;
  const rpc_options_t rpc_options = { .address = program->vm->address,
                                      .port = settings->ports.control_peer,
                                      .vm = program->vm_id,
                                      .incarnation = program->incarnation,
                                      .key = program->key };
  control->rpc = rpc_open (&rpc_options, err);
  if (!control->rpc)
    return false;
  peer_port_register (control->rpc, control->accepted);
  if (!rpc_start (control->rpc, err))
    return false;
  const admin_port_options_t admin_options = { .address = program->vm->address,
                                               .port = settings->ports.admin,
                                               .accepted = control->accepted };
  control->admin = admin_port_open (&admin_options, err);
  return control->admin != NULL;
}

static void
control_close (control_t *control)
{
  if (control->admin)
    admin_port_close (control->admin);
  if (control->rpc)
    rpc_close (control->rpc);
  if (control->accepted)
    accepted_close (control->accepted);
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
  if (control_open (&control, &program, &err))
    {
      LOG_EVENT (LOG_LEVEL_INFO, "started",
                 LOG_S ("address", program.vm->address));
      program_wait_stop ();
      LOG_EVENT (LOG_LEVEL_INFO, "stopping", LOG_S ("reason", "signal"));
    }
  else
    {
      log_error (LOG_LEVEL_ERROR, "start_failed", &err);
      exit_code = EXIT_FAILURE;
    }
  control_close (&control);
  program_finish (&program);
  return exit_code;
}
