/* mulberry-control: keeps the accepted sheets on a VM with a disk.  */

#include <argp.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "base/log.h"
#include "control/accepted.h"
#include "control/admin_port.h"
#include "control/core_thread.h"
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
  storage_t *storage;
  rpc_t *rpc;
  core_thread_t *core;
  admin_port_t *admin;
} control_t;

static bool
folder_make (const char *folder, err_t *err)
{
  if (mkdir (folder, 0700) == 0 || errno == EEXIST)
    return true;
  return err_set (err, ERR_STORAGE,
                  "check the data folder's disk, its space and its owner",
                  "can't make %s: %s", folder, strerror (errno));
}

static bool
core_open (control_t *control, const program_t *program, err_t *err)
{
  replica_image_t image;
  if (!folder_make (program->data_folder, err))
    return false;
  control->storage = storage_open (program->data_folder, &image, err);
  if (!control->storage)
    return false;
  const core_thread_options_t options = { .settings = program->settings,
                                          .vm = program->vm_id,
                                          .rpc = control->rpc,
                                          .accepted = control->accepted,
                                          .storage = control->storage,
                                          .image = &image,
                                          .seed = program->incarnation };
  control->core = core_thread_start (&options, err);
  return control->core != NULL;
}

static bool
control_open (control_t *control, const program_t *program, err_t *err)
{
  const settings_t *settings = program->settings;
  control->accepted = accepted_new (settings->topology.n_vms);
  const rpc_options_t rpc_options = { .address = program->vm->address,
                                      .port = settings->ports.control_peer,
                                      .vm = program->vm_id,
                                      .incarnation = program->incarnation,
                                      .key = program->key };
  control->rpc = rpc_open (&rpc_options, err);
  if (!control->rpc)
    return false;
  peer_port_register (control->rpc, control->accepted);
  if (!core_open (control, program, err) || !rpc_start (control->rpc, err))
    return false;
  const admin_port_options_t admin_options = { .address = program->vm->address,
                                               .port = settings->ports.admin,
                                               .topology = &settings->topology,
                                               .accepted = control->accepted,
                                               .core = control->core };
  control->admin = admin_port_open (&admin_options, err);
  return control->admin != NULL;
}

/* The core thread goes first: it ends the requests that wait for it.  */
static void
control_close (control_t *control)
{
  if (control->core)
    core_thread_stop (control->core);
  if (control->admin)
    admin_port_close (control->admin);
  if (control->rpc)
    rpc_close (control->rpc);
  if (control->core)
    core_thread_free (control->core);
  if (control->storage)
    storage_close (control->storage);
  accepted_free (control->accepted);
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
