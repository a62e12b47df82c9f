/* What this router sees of backend servers that start again.

   Load pattern: a part of a service's backend servers ends and is back after
   a second under the same ids, cold.  The list shows that about a second
   later.  Each router sends so little to one of them that it seldom notices,
   while all together overrun it; so what one sees is told to all.  */

#include "router/dispatcher_internal.h"

#include <string.h>

#include "base/log.h"
#include "fleet/backend_list.h"

#define COLD_EXPIRY_INTERVAL USEC_PER_SEC
/* The least time between two pulls that are earlier than regular ones, so that
   what is seen at one moment travels together.  */
#define HURRIED_PULL_INTERVAL (100 * USEC_PER_MSEC)

void
dispatcher_hurry_pull (dispatcher_t *dispatcher, usec_t now)
{
  usec_t due_at = dispatcher->next_hurried_pull_at;
  if (due_at <= now)
    {
      due_at = now;
      dispatcher->next_hurried_pull_at = now + HURRIED_PULL_INTERVAL;
    }
  director_sync_hurry (dispatcher->options.sync, due_at);
}

/* Tell that BACKEND is warm at UNTIL at the latest, by EVIDENCE; all knew that
   it is at KNOWN_UNTIL.  */
static void
tell (dispatcher_t *dispatcher, const backend_t *backend, usec_t until,
      usec_t known_until, const char *evidence, usec_t now)
{
  const cold_report_t report = { .server = backend->id_hash, .until = until };
  if (!cold_table_put (&dispatcher->seen_colds, &report, true)
      || known_until >= now + COLD_URGENT_LEFT)
    return;
  LOG_EVENT (LOG_LEVEL_INFO, "backend_may_be_cold",
             LOG_S ("backend", backend->record.id),
             LOG_S ("evidence", evidence),
             LOG_I ("left_ms", (until - now) / USEC_PER_MSEC));
  dispatcher_hurry_pull (dispatcher, now);
}

void
dispatcher_connection_refused (dispatcher_t *dispatcher, backend_t *backend,
                               usec_t now)
{
  usec_t known_until = backend->cold_until_at_most;
  usec_t until
      = backend_pool_connection_refused (dispatcher->pool, backend, now);
  if (until > now)
    tell (dispatcher, backend, until, known_until, "connection refused", now);
}

/* BACKEND says that it stays cold for COLD_LEFT; not for longer than a start
   does.  */
static void
cold_told (dispatcher_t *dispatcher, const backend_t *backend,
           usec_t cold_left, usec_t now)
{
  usec_t left
      = cold_left < backend->cold_start ? cold_left : backend->cold_start;
  usec_t known_until = backend->cold_until_at_most > backend->cold_until
                           ? backend->cold_until_at_most
                           : backend->cold_until;
  if (left > 0)
    tell (dispatcher, backend, now + left + COLD_REFUSAL_INTERVAL, known_until,
          "health check", now);
}

void
dispatcher_cold_evidence (dispatcher_t *dispatcher, backend_t *backend,
                          const backend_response_t *response, usec_t now)
{
  if (response->was_refused)
    {
      router_metrics_connection_refused (dispatcher->options.metrics,
                                         backend->record.service.text);
      uint64_t boot = backend_record_boot (&backend->record);
      if (dispatcher_shows_end (dispatcher, boot, true))
        dispatcher_connection_refused (dispatcher, backend, now);
      else
        backend_pool_take_out (dispatcher->pool, backend, now);
      return;
    }
  bool is_own = strcmp (response->backend_id, backend->record.id) == 0;
  if (response->is_complete && is_own)
    cold_told (dispatcher, backend, response->cold_remaining, now);
}

void
dispatcher_expire_colds (dispatcher_t *dispatcher, usec_t now)
{
  if (now < dispatcher->next_cold_expiry_at)
    return;
  dispatcher->next_cold_expiry_at = now + COLD_EXPIRY_INTERVAL;
  cold_table_expire (&dispatcher->seen_colds, now);
}

const cold_table_t *
dispatcher_seen_colds (const dispatcher_t *dispatcher)
{
  return &dispatcher->seen_colds;
}

void
dispatcher_hear_colds (dispatcher_t *dispatcher, const cold_report_t *reports,
                       size_t n, usec_t now)
{
  size_t n_new = backend_pool_hear_colds (dispatcher->pool, reports, n, now);
  if (n_new > 0)
    LOG_EVENT (LOG_LEVEL_INFO, "backends_may_be_cold", LOG_U ("new", n_new),
               LOG_U ("told", n), LOG_U ("told_by_router", true));
}
