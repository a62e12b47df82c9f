#include "router/dispatcher_internal.h"

#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "fleet/backend_list.h"
#include "router/request_headers.h"
#include "routing/route_config.h"

/* Longer than a run takes at a backend server whose queue is short enough for
   a probe to be useful.  */
#define PROBE_TIMEOUT (500 * USEC_PER_MSEC)

static void
send_check (dispatcher_t *dispatcher, backend_t *backend, bool is_reach_check)
{
  const route_config_t *config = dispatcher->snapshot->config;
  const service_config_t *service
      = config ? route_config_service (config, backend->record.service.text)
               : NULL;
  call_owner_t *owner = calloc (1, sizeof *owner);
  if (!owner)
    abort ();
  owner->backend = backend;
  owner->is_reach_check = is_reach_check;
  owner->boot = backend_record_boot (&backend->record);
  list_push_back (&dispatcher->probes, &owner->link);
  const backend_request_t request
      = { .address = backend->record.address,
          .boot = owner->boot,
          .backend_id = backend->record.id,
          .needs_new_connection
          = is_reach_check
            || dispatcher_stutters (dispatcher, backend, clock_monotonic ()),
          .method = "GET",
          .target = service ? service->health_path : "/",
          .id = "",
          .headers = request_headers_probe (backend),
          .timeout = PROBE_TIMEOUT,
          .connect_timeout = CONNECT_TIMEOUT,
          .owner = owner };
  backend_http_call (dispatcher->backends, &request);
}

void
dispatcher_send_probe (dispatcher_t *dispatcher, backend_t *backend)
{
  send_check (dispatcher, backend, false);
}

void
dispatcher_send_reach_check (dispatcher_t *dispatcher, backend_t *backend)
{
  send_check (dispatcher, backend, true);
}

static void
count_needless_limit (dispatcher_t *dispatcher, backend_t *backend, usec_t now)
{
  usec_t span = backend_pool_needless_limit (backend, now);
  if (span == 0)
    return;
  LOG_EVENT (LOG_LEVEL_INFO, "limit_needless",
             LOG_S ("backend", backend->record.id),
             LOG_I ("ms", span / USEC_PER_MSEC));
  router_metrics_needless_limit (dispatcher->options.metrics,
                                 backend->record.service.text, span);
}

void
dispatcher_free_probe (call_owner_t *owner)
{
  list_remove (&owner->link);
  free (owner);
}

/* A 200 that states that nothing was run contradicts itself.  */
static bool
is_healthy_answer (const backend_t *backend,
                   const backend_response_t *response)
{
  return response->is_complete && response->status == MHD_HTTP_OK
         && !response->is_foreign && !response->not_started
         && strcmp (response->backend_id, backend->record.id) == 0;
}

void
dispatcher_probe_ended (dispatcher_t *dispatcher, const call_owner_t *owner,
                        const backend_response_t *response)
{
  backend_t *backend = owner->backend;
  usec_t now = clock_monotonic ();
  bool is_healthy = is_healthy_answer (backend, response);
  LOG_EVENT (LOG_LEVEL_INFO, "backend_probed",
             LOG_S ("backend", backend->record.id),
             LOG_U ("healthy", is_healthy), LOG_U ("status", response->status),
             LOG_U ("of_earlier", response->is_foreign),
             LOG_I ("cold_left_ms", response->cold_remaining / USEC_PER_MSEC),
             LOG_U ("failures", backend->consecutive_failures));
  dispatcher_reach_evidence (dispatcher, owner, backend, response, now);
  if (!response->is_foreign)
    {
      dispatcher_crash_evidence_of_probe (dispatcher, owner, response, now);
      dispatcher_read_probe_notices (dispatcher, backend, response, now);
      dispatcher_cold_evidence (dispatcher, backend, response, now);
    }
  if (is_healthy && response->cold_remaining == 0)
    count_needless_limit (dispatcher, backend, now);
  backend_pool_probe_ended (dispatcher->pool, backend, is_healthy,
                            response->cold_remaining, now);
  if (is_healthy)
    dispatcher_serve_queue (dispatcher, now);
}

void
dispatcher_send_probes (dispatcher_t *dispatcher, usec_t now)
{
  backend_t *backend;
  if (dispatcher->reach.state == REACH_NONE)
    return; /* dispatcher_check_reach asks */
  while ((backend = backend_pool_due_probe (dispatcher->pool, now)))
    dispatcher_send_probe (dispatcher, backend);
}
