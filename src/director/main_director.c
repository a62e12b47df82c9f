/* mulberry-director: runs on a VM with a disk.  Replicates the operators'
   configuration and evacuations, tracks routers and backend servers, and
   answers callers' look-ups.  */

#include <argp.h>
#include <curl/curl.h>
#include <stdlib.h>

#include "base/log.h"
#include "director/director_core.h"
#include "director/director_port.h"
#include "director/list_reader.h"
#include "settings/fleet_program.h"
#include "wire/metrics_page.h"
#include "wire/rpc_metrics.h"

const char *argp_program_version = "mulberry-director " MULBERRY_VERSION;

static const char doc[]
    = "Replicates the operators' configuration, tracks routers and backend "
      "servers, and answers callers' look-ups.  Stops on SIGTERM.";

typedef struct director
{
  lookup_view_t *lookups;
  rpc_t *rpc;
  director_core_t *core;
  list_reader_t *reader;
  director_port_t *port;
  metrics_t *metrics;
  metrics_page_t *page;
} director_t;

static bool
open_core (director_t *director, const fleet_program_t *program, err_t *err)
{
  if (!program->settings->data_folder[0])
    return err_set (err, ERR_SETTINGS, "set data_folder in the settings",
                    "a director needs a data folder");
  const director_core_options_t options = { .feed = program->feed,
                                            .rpc = director->rpc,
                                            .lookups = director->lookups,
                                            .seed = program->incarnation };
  director->core = director_core_start (&options, err);
  return director->core != NULL;
}

static bool
open_metrics (director_t *director, const fleet_settings_t *settings,
              err_t *err)
{
  director->metrics = metrics_new ();
  if (!director->metrics)
    return err_set (err, ERR_LIMIT, "give the VM more memory",
                    "out of memory");
  if (!rpc_metrics_register (director->rpc, director->metrics, err))
    return false;
  const metrics_page_options_t options = { .address = settings->address,
                                           .port = settings->metrics_port,
                                           .metrics = director->metrics };
  director->page = metrics_page_start (&options, err);
  return director->page != NULL;
}

static bool
director_open (director_t *director, const fleet_program_t *program,
               err_t *err)
{
  const fleet_settings_t *settings = program->settings;
  director->lookups = lookup_view_new ();
  const rpc_options_t rpc = { .address = settings->address,
                              .port = settings->peer_port,
                              .vm = RPC_VM_TOOL,
                              .incarnation = program->incarnation,
                              .key = program->key };
  director->rpc = rpc_open (&rpc, err);
  if (!director->rpc || !open_core (director, program, err)
      || !rpc_start (director->rpc, err)
      || !open_metrics (director, settings, err))
    return false;
  director->reader = list_reader_start (program->feed, director->core, err);
  const director_port_options_t port = { .feed = program->feed,
                                         .settings = settings,
                                         .core = director->core,
                                         .lookups = director->lookups };
  director->port = director->reader ? director_port_open (&port, err) : NULL;
  return director->port != NULL;
}

static void
director_close (director_t *director)
{
  if (director->reader)
    list_reader_stop (director->reader);
  if (director->core)
    director_core_stop (director->core);
  if (director->port)
    director_port_close (director->port);
  if (director->page)
    metrics_page_stop (director->page);
  if (director->rpc)
    rpc_close (director->rpc);
  if (director->core)
    director_core_free (director->core);
  lookup_view_free (director->lookups);
  metrics_free (director->metrics);
}

int
main (int argc, char **argv)
{
  fleet_program_t program;
  int exit_code = 0;
  if (!fleet_program_start (&program, "mulberry-director", doc, argc, argv,
                            &exit_code))
    return exit_code;
  curl_global_init (CURL_GLOBAL_DEFAULT);
  director_t director = { 0 };
  err_t err = { 0 };
  if (director_open (&director, &program, &err))
    fleet_program_serve (&program);
  else
    {
      log_error (LOG_LEVEL_ERROR, "start_failed", &err);
      exit_code = EXIT_FAILURE;
    }
  director_close (&director);
  fleet_program_finish (&program, exit_code);
  return exit_code;
}
