#include "router/dispatcher_internal.h"

#include "base/clock.h"
#include "base/log.h"
#include "fleet/backend_list.h"

static const char *
place_name (extra_place_t place)
{
  switch (place)
    {
    case EXTRA_WHILE_IDLE:
      return "while_idle";
    case EXTRA_AFTER_RESPONSE:
      return "after_response";
    case EXTRA_BEFORE_RESPONSE:
      break;
    }
  return "before_response";
}

/* The backend server BACKEND_ID, of BOOT, has sent N_BYTES that belong to no
   request.  ID is that of the request before them or, for
   EXTRA_BEFORE_RESPONSE, of the one whose response they came before.  */
static void
note_extra_bytes (dispatcher_t *dispatcher, uint64_t boot,
                  const char *backend_id, const char *id, extra_place_t place,
                  size_t n_bytes, usec_t now)
{
  const char *where = place_name (place);
  router_metrics_extra_bytes (dispatcher->options.metrics, backend_id, where);
  LOG_EVENT (LOG_LEVEL_INFO, "extra_bytes", LOG_S ("id", id),
             LOG_S ("backend", backend_id), LOG_S ("seen", where),
             LOG_U ("bytes", n_bytes));
  if (!backend_stutters_note (&dispatcher->stutters, boot, backend_id, now))
    return;
  LOG_EVENT (LOG_LEVEL_WARNING, "backend_stutters", LOG_S ("id", id),
             LOG_S ("backend", backend_id), LOG_S ("seen", where),
             LOG_I ("for_ms", BACKEND_STUTTER_TIME / USEC_PER_MSEC));
}

void
dispatcher_stutter_seen_in_response (dispatcher_t *dispatcher,
                                     const exchange_t *exchange,
                                     const backend_response_t *response,
                                     usec_t now)
{
  const backend_record_t *record = &exchange->backend->record;
  note_extra_bytes (dispatcher, exchange->owner.boot, record->id, exchange->id,
                    EXTRA_BEFORE_RESPONSE, response->body_bytes, now);
}

void
dispatcher_extra_bytes (dispatcher_t *dispatcher, const connection_use_t *use,
                        extra_place_t place, size_t n_bytes)
{
  note_extra_bytes (dispatcher, use->boot, use->backend_id, use->id, place,
                    n_bytes, clock_monotonic ());
}

void
dispatcher_id_sent_again (dispatcher_t *dispatcher,
                          const connection_use_t *use)
{
  router_metrics_id_sent_again (dispatcher->options.metrics, use->backend_id);
  LOG_EVENT (LOG_LEVEL_INFO, "id_sent_again", LOG_S ("id", use->id),
             LOG_S ("backend", use->backend_id));
}

bool
dispatcher_stutters (const dispatcher_t *dispatcher, const backend_t *backend,
                     usec_t now)
{
  return backend_stutters_contain (
      &dispatcher->stutters, backend_record_boot (&backend->record), now);
}

void
dispatcher_expire_stutters (dispatcher_t *dispatcher, usec_t now)
{
  backend_stutter_t ended;
  while (backend_stutters_take_ended (&dispatcher->stutters, now, &ended))
    LOG_EVENT (LOG_LEVEL_INFO, "backend_stutter_ended",
               LOG_S ("backend", ended.id), LOG_U ("times", ended.n_seen),
               LOG_I ("usec", now - ended.began_at));
}
