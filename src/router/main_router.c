/* mulberry-router: forwards callers' requests to backend servers according to
   the configuration.  */

#include <argp.h>
#include <curl/curl.h>
#include <malloc.h>
#include <stdlib.h>

#include "base/log.h"
#include "router/traffic_thread.h"
#include "settings/fleet_program.h"
#include "wire/metrics_page.h"
#include "wire/rpc_metrics.h"

enum
{
  /* Larger blocks go back to the system when they are freed.  Without a fixed
     limit, malloc raises it with the size of the bodies.  */
  MMAP_THRESHOLD_BYTES = 128 * 1024,
};

const char *argp_program_version = "mulberry-router " MULBERRY_VERSION;

static const char doc[] = "Forwards callers' requests to backend servers.  On "
                          "SIGTERM it directs callers to other routers, "
                          "finishes the active requests, and exits.";

typedef struct router
{
  rpc_t *rpc;
  metrics_t *metrics;
  metrics_page_t *page;
  traffic_thread_t *traffic;
} router_t;

static bool
open_page (router_t *router, const fleet_settings_t *settings, err_t *err)
{
  if (!rpc_metrics_register (router->rpc, router->metrics, err))
    return false;
  const metrics_page_options_t options = { .address = settings->address,
                                           .port = settings->metrics_port,
                                           .metrics = router->metrics };
  router->page = metrics_page_start (&options, err);
  return router->page != NULL;
}

static bool
router_open (router_t *router, const fleet_program_t *program, err_t *err)
{
  const fleet_settings_t *settings = program->settings;
  router->metrics = metrics_new ();
  const rpc_options_t rpc = { .address = settings->address,
                              .port = 0,
                              .vm = RPC_VM_TOOL,
                              .incarnation = program->incarnation,
                              .key = program->key };
  router->rpc = rpc_open (&rpc, err);
  if (!router->rpc || !rpc_start (router->rpc, err)
      || !open_page (router, settings, err))
    return false;
  const traffic_thread_options_t traffic
      = { .feed = program->feed,
          .rpc = router->rpc,
          .metrics = router->metrics,
          .incarnation = program->incarnation,
          .key = program->key };
  router->traffic = traffic_thread_start (&traffic, err);
  return router->traffic != NULL;
}

static void
router_close (router_t *router)
{
  if (router->page)
    metrics_page_stop (router->page);
  if (router->rpc)
    rpc_close (router->rpc);
  if (router->traffic)
    traffic_thread_free (router->traffic);
  metrics_free (router->metrics);
}

int
main (int argc, char **argv)
{
  mallopt (M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
  fleet_program_t program;
  int exit_code = 0;
  if (!fleet_program_start (&program, "mulberry-router", doc, argc, argv,
                            &exit_code))
    return exit_code;
  curl_global_init (CURL_GLOBAL_DEFAULT);
  router_t router = { 0 };
  err_t err = { 0 };
  if (router_open (&router, &program, &err))
    {
      fleet_program_serve (&program);
      traffic_thread_stop (router.traffic);
    }
  else
    {
      log_error (LOG_LEVEL_ERROR, "start_failed", &err);
      exit_code = EXIT_FAILURE;
    }
  router_close (&router);
  fleet_program_finish (&program, exit_code);
  return exit_code;
}
