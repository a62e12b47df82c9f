#include "router/director_sync_internal.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "fleet/fleet_wire.h"

/* Timeout of a pull.  A director in another region answers within 50 ms; one
   that waits for its disk or for an election takes longer.  */
#define PULL_TIMEOUT (700 * USEC_PER_MSEC)
/* Timeout of a pull before the first configuration.  The result holds the
   whole configuration and list of backend servers, which takes long on a link
   of 2 Mbit/s; a second pull too early would only delay it further.  */
#define FIRST_PULL_TIMEOUT (1000 * USEC_PER_MSEC)
/* Interval of pulls after the start, until the state is confirmed; callers may
   be waiting.  */
#define START_PULL_INTERVAL (100 * USEC_PER_MSEC)
/* How long after the start routing waits for a confirmation that the state is
   the newest.  */
#define SETTLE_TIMEOUT (4 * USEC_PER_SEC)

/* The list of routers is pulled at most this often, because every router that
   joins or leaves changes it for all the others.  */
#define ROUTERS_INTERVAL USEC_PER_SEC

_Static_assert((int)DIRECTOR_RELEASES_MAX == FLEET_WIRE_RELEASES_MAX,
               "the limits of releases differ");

/* --- Opening and closing ------------------------------------------------ */

director_sync_t *
director_sync_new (const director_sync_options_t *options)
{
  director_sync_t *sync = calloc (1, sizeof *sync);
  if (!sync)
    abort ();
  sync->options = *options;
  sync->started_at = clock_monotonic ();
  pthread_mutex_init (&sync->lock, NULL);
  sync->snapshot = fleet_snapshot_new ();
  director_choice_add_seeds (&sync->directors, sync->options.settings);
  return sync;
}

void
director_sync_set_settings (director_sync_t *sync,
                            const fleet_settings_t *settings)
{
  pthread_mutex_lock (&sync->lock);
  sync->options.settings = settings;
  sync->routers_digest = 0; /* pull the list again: regions may differ */
  director_choice_add_seeds (&sync->directors, sync->options.settings);
  pthread_mutex_unlock (&sync->lock);
}

void
director_sync_free (director_sync_t *sync)
{
  fleet_snapshot_unref (sync->snapshot);
  pthread_mutex_destroy (&sync->lock);
  free (sync);
}

static void
set_disconnected (director_sync_t *sync, bool is_disconnected,
                  const err_t *why)
{
  if (is_disconnected == sync->is_disconnected)
    return;
  sync->is_disconnected = is_disconnected;
  if (is_disconnected)
    log_error (LOG_LEVEL_WARNING, "director_lost", why);
  else
    LOG_EVENT (LOG_LEVEL_INFO, "director_regained",
               LOG_U ("version", sync->config_version));
}

/* The messages of the director that answered have FORM.  */
static void
note_director_form (director_sync_t *sync, uint32_t form)
{
  if (form == sync->director_form)
    return;
  sync->director_form = form;
  LOG_EVENT (LOG_LEVEL_INFO, "director_form", LOG_U ("form", form),
             LOG_U ("own", MESSAGE_FORM));
}

static void
on_pull_ended (void *closure, const rpc_result_t *result)
{
  director_sync_t *sync = closure;
  pull_reply_t answer = { 0 };
  bool changed = false;
  bool ok = result->ok
            && rpc_result_decode (result, (xdrproc_t)message_xdr_pull_reply,
                                  &answer);
  usec_t now = clock_monotonic ();
  pthread_mutex_lock (&sync->lock);
  sync->is_pulling = false;
  set_disconnected (sync, !ok, &result->error);
  if (ok)
    {
      note_director_form (sync, message_items_form (&answer.items));
      changed = director_apply_result (sync, &answer.fixed, now);
    }
  else
    {
      director_choice_avoid (&sync->directors, now);
      director_report_keep_result (sync, NULL, false, now);
      sync->next_pull_at = now + DIRECTOR_SYNC_INTERVAL / 4;
    }
  pthread_mutex_unlock (&sync->lock);
  xdr_free ((xdrproc_t)message_xdr_pull_reply, (char *)&answer);
  if (changed)
    sync->options.snapshot_changed (sync->options.closure);
}

/* --- Pulling ------------------------------------------------------------ */

static void
send_pull (director_sync_t *sync, uint32_t director,
           const pull_message_t *message)
{
  char address[INET_TEXT_BYTES];
  inet_format_address (director, address);
  const rpc_request_t request
      = { .address = address,
          .port = sync->options.settings->peer_port,
          .program = MULBERRY_FLEET,
          .version = MULBERRY_FLEET_V1,
          .procedure = FLEET_PULL,
          .encode = (xdrproc_t)message_xdr_pull,
          .args = (void *)(uintptr_t)message,
          .timeout = message->fixed.config_version > 0 ? PULL_TIMEOUT
                                                       : FIRST_PULL_TIMEOUT,
          .done = on_pull_ended,
          .closure = sync };
  rpc_send (sync->options.rpc, &request);
}

void
director_sync_set_crashes (director_sync_t *sync, const crash_table_t *crashes)
{
  sync->crashes = crashes;
}

void
director_sync_set_pool (director_sync_t *sync, backend_pool_t *pool)
{
  sync->pool = pool;
}

void
director_sync_set_heard_loads (director_sync_t *sync,
                               const load_table_t *loads)
{
  sync->heard_loads = loads;
}

void
director_sync_set_seen_colds (director_sync_t *sync, const cold_table_t *colds)
{
  sync->seen_colds = colds;
}

cold_directors_t
director_sync_colds_state (director_sync_t *sync)
{
  pthread_mutex_lock (&sync->lock);
  const cold_directors_t state
      = { .taken = sync->seen_taken,
          .is_in_reach = !sync->is_disconnected && sync->is_fresh,
          .asked_at = sync->is_pulling ? sync->pull_sent_at : 0 };
  pthread_mutex_unlock (&sync->lock);
  return state;
}

void
director_sync_set_limiter (director_sync_t *sync, limiter_t *limiter)
{
  sync->limiter = limiter;
}

size_t
director_sync_releases (director_sync_t *sync, director_release_t *releases)
{
  pthread_mutex_lock (&sync->lock);
  size_t n = sync->n_releases;
  memcpy (releases, sync->releases, n * sizeof *releases);
  pthread_mutex_unlock (&sync->lock);
  return n;
}

void
director_sync_hurry (director_sync_t *sync, usec_t at)
{
  pthread_mutex_lock (&sync->lock);
  if (at < sync->next_pull_at)
    sync->next_pull_at = at;
  pthread_mutex_unlock (&sync->lock);
}

void
director_sync_tick (director_sync_t *sync, usec_t now)
{
  const fleet_settings_t *settings = sync->options.settings;
  pthread_mutex_lock (&sync->lock);
  director_report_settle (sync, now);
  bool is_due = !sync->is_pulling && now >= sync->next_pull_at
                && sync->directors.n_directors > 0;
  router_record_t self = { .vm = settings->vm,
                           .domain = settings->domain,
                           .region = settings->region,
                           .request_address = settings->requests,
                           .incarnation = sync->options.incarnation,
                           .takes_requests = sync->takes_requests,
                           .is_cut_off = sync->is_cut_off,
                           .heard_at = now };
  pull_message_t message
      = { .fixed = { .router = fleet_wire_encode_router (&self, now),
                     .config_version = sync->config_version,
                     .list_digest = sync->list_digest,
                     .routers_digest = sync->routers_digest,
                     .wants_routers
                     = now >= sync->routers_pulled_at + ROUTERS_INTERVAL,
                     .quarantine_digest = sync->quarantine_digest } };
  static director_report_t report;
  uint32_t director = 0;
  if (is_due)
    {
      sync->is_pulling = true;
      sync->next_pull_at = now
                           + (sync->is_confirmed ? DIRECTOR_SYNC_INTERVAL
                                                 : START_PULL_INTERVAL);
      sync->pull_sent_at = now;
      director = director_choice_next (&sync->directors, now);
      director_report_fill (sync, director, &message.fixed, &report, now);
    }
  pthread_mutex_unlock (&sync->lock);
  if (is_due)
    send_pull (sync, director, &message);
}

usec_t
director_sync_next_pull (director_sync_t *sync)
{
  pthread_mutex_lock (&sync->lock);
  usec_t due_at = sync->is_pulling ? INT64_MAX : sync->next_pull_at;
  pthread_mutex_unlock (&sync->lock);
  return due_at;
}

void
director_sync_set_takes_requests (director_sync_t *sync, bool takes_requests)
{
  pthread_mutex_lock (&sync->lock);
  if (sync->takes_requests != takes_requests)
    sync->next_pull_at = 0;
  sync->takes_requests = takes_requests;
  pthread_mutex_unlock (&sync->lock);
}

void
director_sync_set_cut_off (director_sync_t *sync, bool is_cut_off)
{
  pthread_mutex_lock (&sync->lock);
  if (sync->is_cut_off != is_cut_off)
    sync->next_pull_at = 0;
  sync->is_cut_off = is_cut_off;
  pthread_mutex_unlock (&sync->lock);
}

fleet_snapshot_t *
director_sync_snapshot (director_sync_t *sync)
{
  pthread_mutex_lock (&sync->lock);
  fleet_snapshot_t *snapshot = fleet_snapshot_ref (sync->snapshot);
  pthread_mutex_unlock (&sync->lock);
  return snapshot;
}

bool
director_sync_is_settled (director_sync_t *sync, usec_t now)
{
  pthread_mutex_lock (&sync->lock);
  bool settled
      = sync->is_confirmed || now >= sync->started_at + SETTLE_TIMEOUT;
  pthread_mutex_unlock (&sync->lock);
  return settled;
}
