#include "router/director_sync.h"

#include <math.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/name.h"
#include "config_codec.h"
#include "fleet/crash_wire.h"
#include "fleet/fleet_wire.h"
#include "fleet/list_update.h"
#include "fleet/notice_wire.h"
#include "router/director_choice.h"
#include "routing/route_config.h"

/* Timeout of a pull.  A director in another region answers within 50 ms; one
   that waits for its disk or for an election takes longer.  */
#define PULL_TIMEOUT (700 * USEC_PER_MSEC)
/* Timeout of a pull before the first configuration.  The result holds the
   whole configuration and list of backend servers, which takes long on a link
   of 2 Mbit/s; a second pull too early would only delay it further.  */
#define FIRST_PULL_TIMEOUT (1000 * USEC_PER_MSEC)
/* A director whose state was last confirmed by the leader longer ago than this
   is avoided.  */
#define CONFIRMED_AGE_MAX (1500 * USEC_PER_MSEC)
/* Interval of pulls after the start, until the state is confirmed; callers may
   be waiting.  */
#define START_PULL_INTERVAL (100 * USEC_PER_MSEC)
/* How long after the start routing waits for a confirmation that the state is
   the newest.  */
#define SETTLE_TIMEOUT (4 * USEC_PER_SEC)

/* The list of routers is pulled at most this often, because every router that
   joins or leaves changes it for all the others.  */
#define ROUTERS_INTERVAL USEC_PER_SEC
/* What backend servers say of themselves is told at most this often.  */
#define NOTICES_INTERVAL USEC_PER_SEC

struct director_sync
{
  director_sync_options_t options;
  usec_t started_at;
  pthread_mutex_t lock; /* guards all members below */
  director_choice_t directors;
  usec_t pull_sent_at;
  bool is_pulling;
  usec_t next_pull_at;
  bool takes_requests;
  bool is_disconnected; /* the last pull failed */
  fleet_snapshot_t *snapshot;
  uint64_t config_version;
  uint64_t evacuations_index;
  uint64_t list_digest;
  uint64_t routers_digest;
  usec_t routers_pulled_at; /* when the list was last received */
  uint64_t quarantine_digest;
  const backend_pool_t *pool; /* set before the first tick */
  usec_t notices_told_at;
  const crash_table_t *crashes; /* set before the first tick */
  uint32_t crashes_director;    /* the director that crashes_known is for */
  uint64_t crashes_known;       /* changes of CRASHES that it has */
  uint64_t crashes_sent;        /* the same, once it answers the pull */
  size_t n_releases;            /* by the last pull */
  director_release_t releases[DIRECTOR_RELEASES_MAX];
  bool is_confirmed;
  limiter_t *limiter;     /* NULL: no quotas */
  bool has_quota_result;  /* a pull has ended; not applied yet */
  bool is_quota_answered; /* valid if has_quota_result, as the next two */
  size_t n_quotas;
  quota_state_t quotas[QUOTA_USAGES_MAX];
};

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

/* --- Applying a pull's result; with the lock held ----------------------- */

static bool
apply_config (director_sync_t *sync, fleet_snapshot_t *snapshot,
              const fleet_pull_result_t *result)
{
  err_t err = { 0 };
  packed_t text;
  if (result->config_version <= sync->config_version
      || !packed_decompress (result->config.config_val,
                             result->config.config_len, FLEET_CONFIG_BYTES_MAX,
                             &text))
    return false;
  route_config_t *config = config_codec_read (text.bytes, text.length, &err);
  free (text.bytes);
  if (!config)
    {
      log_error (LOG_LEVEL_ERROR, "config_not_understood", &err);
      return false;
    }
  LOG_EVENT (
      LOG_LEVEL_INFO, "config_in_force",
      LOG_U ("version", result->config_version),
      LOG_U ("version_before", sync->config_version),
      LOG_U ("routes", config->n_routes),
      LOG_I ("confirmed_age_ms", result->confirmed_age / USEC_PER_MSEC));
  shared_config_unref (snapshot->shared);
  snapshot->shared = shared_config_new (config);
  snapshot->config = config;
  sync->config_version = result->config_version;
  return true;
}

/* Record which evacuations have ended: those that the director names, also if
   this process has just started, and those that were in force here.  */
static void
note_reopened (fleet_snapshot_t *snapshot, const name_t *before,
               size_t n_before, const fleet_pull_result_t *result, usec_t now)
{
  reopened_domains_add_ended (&snapshot->reopened, before, n_before,
                              snapshot->evacuated, snapshot->n_evacuated, now);
  for (u_int i = 0; i < result->reopened.reopened_len; i++)
    {
      const fleet_reopened_t *item = &result->reopened.reopened_val[i];
      name_t name;
      if (item->age >= 0 && item->age < now
          && name_parse (&name, item->domain, NULL))
        reopened_domains_add (&snapshot->reopened, &name, now - item->age);
    }
}

static bool
apply_evacuations (director_sync_t *sync, fleet_snapshot_t *snapshot,
                   const fleet_pull_result_t *result, usec_t now)
{
  if (result->evacuations_index <= sync->evacuations_index)
    return false;
  size_t n = 0;
  name_t *before = snapshot->evacuated;
  size_t n_before = snapshot->n_evacuated;
  snapshot->evacuated
      = calloc (result->evacuated.evacuated_len + 1u, sizeof (name_t));
  if (!snapshot->evacuated)
    abort ();
  for (u_int i = 0; i < result->evacuated.evacuated_len; i++)
    if (name_parse (&snapshot->evacuated[n],
                    result->evacuated.evacuated_val[i], NULL))
      n++;
  snapshot->n_evacuated = n;
  note_reopened (snapshot, before, n_before, result, now);
  free (before);
  sync->evacuations_index = result->evacuations_index;
  LOG_EVENT (LOG_LEVEL_INFO, "evacuations_in_force",
             LOG_U ("index", sync->evacuations_index), LOG_U ("domains", n),
             LOG_S ("first", n > 0 ? snapshot->evacuated[0].text : ""));
  return true;
}

static bool
apply_backend_list (director_sync_t *sync, fleet_snapshot_t *snapshot,
                    const fleet_pull_result_t *result, usec_t now)
{
  switch (list_update_apply (&result->list, now, &snapshot->list))
    {
    case LIST_UPDATE_UNCHANGED:
      return false;
    case LIST_UPDATE_MISMATCH:
      LOG_EVENT (LOG_LEVEL_WARNING, "backends_not_understood",
                 LOG_U ("deltas", result->list.deltas.deltas_len));
      sync->list_digest = 0; /* pull the whole list next */
      return false;
    case LIST_UPDATE_APPLIED:
      break;
    }
  sync->list_digest = snapshot->list.digest;
  LOG_EVENT (LOG_LEVEL_INFO, "backends_in_force",
             LOG_U ("backends", snapshot->list.n_records),
             LOG_U ("deltas", result->list.deltas.deltas_len),
             LOG_I ("age_ms", (now - snapshot->list.read_at) / USEC_PER_MSEC));
  return true;
}

static bool
apply_routers (director_sync_t *sync, fleet_snapshot_t *snapshot,
               const fleet_pull_result_t *result, usec_t now)
{
  fleet_peers_t wire = { 0 };
  if (result->routers.fleet_packed_t_len == 0)
    return false;
  sync->routers_pulled_at = now;
  if (!fleet_wire_unpack ((xdrproc_t)xdr_fleet_peers_t, &wire,
                          &result->routers))
    {
      LOG_EVENT (LOG_LEVEL_WARNING, "routers_not_understood",
                 LOG_U ("bytes", result->routers.fleet_packed_t_len));
      return false;
    }
  sync->routers_digest = result->routers_digest;
  free (snapshot->routers);
  snapshot->routers
      = calloc (wire.peers.peers_len + 1u, sizeof (pool_router_t));
  if (!snapshot->routers)
    abort ();
  snapshot->n_routers = 0;
  for (u_int i = 0; i < wire.peers.peers_len; i++)
    {
      const fleet_peer_t *peer = &wire.peers.peers_val[i];
      const name_t *region
          = fleet_settings_region (sync->options.settings, peer->domain);
      if (region)
        snapshot->routers[snapshot->n_routers++]
            = (pool_router_t){ .address = peer->address, .region = *region };
    }
  xdr_free ((xdrproc_t)xdr_fleet_peers_t, (char *)&wire);
  return true;
}

static bool
apply_quarantine (director_sync_t *sync, fleet_snapshot_t *snapshot,
                  const fleet_pull_result_t *result)
{
  if (result->quarantine_digest == sync->quarantine_digest)
    return false;
  size_t n = result->quarantined.quarantined_len;
  free (snapshot->quarantined);
  snapshot->quarantined = calloc (n + 1, sizeof (fingerprint_t));
  if (!snapshot->quarantined)
    abort ();
  for (size_t i = 0; i < n; i++)
    snapshot->quarantined[i] = (fingerprint_t){
      .low = result->quarantined.quarantined_val[i].low,
      .high = result->quarantined.quarantined_val[i].high,
    };
  snapshot->n_quarantined = n;
  sync->quarantine_digest = result->quarantine_digest;
  LOG_EVENT (LOG_LEVEL_WARNING, "quarantine_in_force", LOG_U ("requests", n));
  return true;
}

static void
apply_releases (director_sync_t *sync, const fleet_pull_result_t *result,
                usec_t now)
{
  sync->n_releases = 0;
  for (u_int i = 0; i < result->releases.releases_len; i++)
    {
      const fleet_release_t *wire = &result->releases.releases_val[i];
      if (wire->age >= 0 && wire->age < CRASH_LIFETIME)
        sync->releases[sync->n_releases++] = (director_release_t){
          .fingerprint
          = { .low = wire->fingerprint.low, .high = wire->fingerprint.high },
          .at = now - wire->age,
        };
    }
}

/* Keep what RESULT tells of the quotas, if its state is the newest.  */
static void
apply_quotas (director_sync_t *sync, const fleet_pull_result_t *result,
              bool is_fresh)
{
  sync->has_quota_result = true;
  sync->is_quota_answered = true;
  sync->n_quotas = 0;
  for (u_int i = 0; is_fresh && i < result->quotas.quotas_len; i++)
    {
      const fleet_quota_t *wire = &result->quotas.quotas_val[i];
      if (isfinite (wire->level) && isfinite (wire->demand)
          && wire->demand >= 0)
        sync->quotas[sync->n_quotas++]
            = (quota_state_t){ .account = wire->account,
                               .level = wire->level,
                               .demand = wire->demand };
    }
}

static void
add_directors (director_sync_t *sync, const fleet_pull_result_t *result)
{
  for (u_int i = 0; i < result->directors.directors_len; i++)
    director_choice_add (&sync->directors, result->directors.directors_val[i]);
}

/* Returns whether RESULT shows that this router's list is unchanged at a
   reading late enough for a failure domain in REOPENED.  */
static bool
confirms_reopened (const director_sync_t *sync,
                   const fleet_pull_result_t *result, usec_t now)
{
  const reopened_domains_t *reopened = &sync->snapshot->reopened;
  usec_t shown_at = list_update_read_at (&result->list, now)
                    - sync->options.settings->backend_list_lag;
  if (sync->list_digest == 0 || result->list.digest != sync->list_digest)
    return false;
  for (size_t i = 0; i < reopened->n; i++)
    if (reopened->items[i].at <= shown_at)
      return true;
  return false;
}

/* Move the time of reading forward if the list is unchanged, and forget the
   reopened failure domains whose backend servers the list now shows.  Returns
   true if SNAPSHOT changed.  */
static bool
apply_list_time (const director_sync_t *sync, fleet_snapshot_t *snapshot,
                 const fleet_pull_result_t *result, usec_t now)
{
  usec_t read_at = list_update_read_at (&result->list, now);
  if (snapshot->list.digest != 0
      && result->list.digest == snapshot->list.digest
      && read_at > snapshot->list.read_at)
    list_update_advance_time (&snapshot->list, read_at);
  return reopened_domains_expire (
      &snapshot->reopened,
      snapshot->list.read_at - sync->options.settings->backend_list_lag + 1);
}

static bool
has_changes (const director_sync_t *sync, const fleet_pull_result_t *result,
             usec_t now)
{
  return result->config_version > sync->config_version
         || confirms_reopened (sync, result, now)
         || result->evacuations_index > sync->evacuations_index
         || result->routers.fleet_packed_t_len > 0
         || result->quarantine_digest != sync->quarantine_digest
         || result->list.whole.fleet_packed_t_len > 0
         || result->list.deltas.deltas_len > 0;
}

/* Returns true if the snapshot was replaced.  */
static bool
apply_changes (director_sync_t *sync, const fleet_pull_result_t *result,
               usec_t now)
{
  if (!has_changes (sync, result, now))
    return false;
  fleet_snapshot_t *snapshot = fleet_snapshot_copy (sync->snapshot);
  bool changed = apply_config (sync, snapshot, result);
  changed = apply_evacuations (sync, snapshot, result, now) || changed;
  changed = apply_backend_list (sync, snapshot, result, now) || changed;
  changed = apply_list_time (sync, snapshot, result, now) || changed;
  changed = apply_routers (sync, snapshot, result, now) || changed;
  changed = apply_quarantine (sync, snapshot, result) || changed;
  fleet_snapshot_unref (changed ? sync->snapshot : snapshot);
  if (changed)
    sync->snapshot = snapshot;
  return changed;
}

/* Returns true if the snapshot was replaced or has become confirmed.  */
static bool
apply_result (director_sync_t *sync, const fleet_pull_result_t *result,
              usec_t now)
{
  bool changed = apply_changes (sync, result, now);
  sync->crashes_known = sync->crashes_sent;
  apply_releases (sync, result, now);
  add_directors (sync, result);
  bool is_fresh = result->confirmed_age >= 0
                  && result->confirmed_age < CONFIRMED_AGE_MAX;
  apply_quotas (sync, result, is_fresh);
  director_choice_answered (&sync->directors, now - sync->pull_sent_at);
  if (!is_fresh)
    director_choice_avoid (&sync->directors, now);
  /* The state was the newest at a time after this process started.  */
  bool was_newest = result->confirmed_age >= 0
                    && now - result->confirmed_age >= sync->started_at;
  if (sync->is_confirmed || !was_newest)
    return changed;
  sync->is_confirmed = true;
  return true;
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

static void
on_pull_ended (void *closure, const rpc_result_t *result)
{
  director_sync_t *sync = closure;
  fleet_pull_result_t answer = { 0 };
  bool changed = false;
  bool ok = result->ok
            && rpc_result_decode (result, (xdrproc_t)xdr_fleet_pull_result_t,
                                  &answer);
  usec_t now = clock_monotonic ();
  pthread_mutex_lock (&sync->lock);
  sync->is_pulling = false;
  set_disconnected (sync, !ok, &result->error);
  if (ok)
    changed = apply_result (sync, &answer, now);
  else
    {
      director_choice_avoid (&sync->directors, now);
      sync->has_quota_result = true;
      sync->is_quota_answered = false;
      sync->next_pull_at = now + DIRECTOR_SYNC_INTERVAL / 4;
    }
  pthread_mutex_unlock (&sync->lock);
  xdr_free ((xdrproc_t)xdr_fleet_pull_result_t, (char *)&answer);
  if (changed)
    sync->options.snapshot_changed (sync->options.closure);
}

/* --- Pulling ------------------------------------------------------------ */

static void
send_pull (director_sync_t *sync, uint32_t director,
           const fleet_pull_args_t *args)
{
  char address[INET_TEXT_BYTES];
  inet_format_address (director, address);
  const rpc_request_t request
      = { .address = address,
          .port = sync->options.settings->peer_port,
          .program = MULBERRY_FLEET,
          .version = MULBERRY_FLEET_V1,
          .procedure = FLEET_PULL,
          .encode = (xdrproc_t)xdr_fleet_pull_args_t,
          .args = (void *)(uintptr_t)args,
          .timeout
          = args->config_version > 0 ? PULL_TIMEOUT : FIRST_PULL_TIMEOUT,
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
director_sync_set_pool (director_sync_t *sync, const backend_pool_t *pool)
{
  sync->pool = pool;
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
director_sync_hurry (director_sync_t *sync)
{
  pthread_mutex_lock (&sync->lock);
  sync->next_pull_at = 0;
  pthread_mutex_unlock (&sync->lock);
}

/* Fill in the crashes that DIRECTOR does not know yet.  With the lock held.
 */
static void
add_crashes (director_sync_t *sync, uint32_t director, fleet_pull_args_t *args,
             crash_report_t *report, usec_t now)
{
  if (director != sync->crashes_director)
    sync->crashes_known = 0;
  sync->crashes_director = director;
  crash_wire_write (sync->crashes, sync->crashes_known, report, now);
  sync->crashes_sent = report->sequence;
  args->suspects.suspects_val = report->suspects;
  args->suspects.suspects_len = (u_int)report->n;
}

/* Fill in what backend servers have said of themselves, if that is due.
   NOTICES has room for NOTICES_MAX.  With the lock held.  */
static void
add_notices (director_sync_t *sync, fleet_pull_args_t *args,
             fleet_notice_t *notices, usec_t now)
{
  told_notice_t told[NOTICES_MAX];
  if (now < sync->notices_told_at + NOTICES_INTERVAL)
    return;
  sync->notices_told_at = now;
  size_t n = backend_pool_notices (sync->pool, told, NOTICES_MAX, now);
  notice_wire_write (told, n, notices, now);
  args->tells_notices = true;
  args->notices.notices_val = notices;
  args->notices.notices_len = (u_int)n;
}

/* Apply what the last pull told of the quotas, if it has ended.  With the lock
   held.  */
static void
settle_quotas (director_sync_t *sync, usec_t now)
{
  if (!sync->has_quota_result || !sync->limiter)
    return;
  sync->has_quota_result = false;
  limiter_report_ended (sync->limiter, sync->is_quota_answered, sync->quotas,
                        sync->is_quota_answered ? sync->n_quotas : 0, now);
}

/* Fill in what was done for client accounts.  WIRE has room for
   QUOTA_USAGES_MAX.  With the lock held.  */
static void
add_usages (director_sync_t *sync, fleet_pull_args_t *args,
            fleet_usage_t *wire, usec_t now)
{
  quota_usage_t usages[QUOTA_USAGES_MAX];
  if (!sync->limiter)
    return;
  size_t n = limiter_report (sync->limiter, usages, now);
  for (size_t i = 0; i < n; i++)
    wire[i] = (fleet_usage_t){ .account = usages[i].account,
                               .admitted = usages[i].admitted,
                               .asked = usages[i].asked };
  args->usages.usages_val = wire;
  args->usages.usages_len = (u_int)n;
}

void
director_sync_tick (director_sync_t *sync, usec_t now)
{
  const fleet_settings_t *settings = sync->options.settings;
  pthread_mutex_lock (&sync->lock);
  settle_quotas (sync, now);
  bool is_due = !sync->is_pulling && now >= sync->next_pull_at
                && sync->directors.n_directors > 0;
  router_record_t self = { .vm = settings->vm,
                           .domain = settings->domain,
                           .region = settings->region,
                           .request_address = settings->requests,
                           .incarnation = sync->options.incarnation,
                           .takes_requests = sync->takes_requests,
                           .heard_at = now };
  fleet_pull_args_t args
      = { .router = fleet_wire_encode_router (&self, now),
          .config_version = sync->config_version,
          .list_digest = sync->list_digest,
          .routers_digest = sync->routers_digest,
          .wants_routers = now >= sync->routers_pulled_at + ROUTERS_INTERVAL,
          .quarantine_digest = sync->quarantine_digest };
  crash_report_t crashes;
  fleet_notice_t notices[NOTICES_MAX];
  fleet_usage_t usages[QUOTA_USAGES_MAX];
  uint32_t director = 0;
  if (is_due)
    {
      sync->is_pulling = true;
      sync->next_pull_at = now
                           + (sync->is_confirmed ? DIRECTOR_SYNC_INTERVAL
                                                 : START_PULL_INTERVAL);
      sync->pull_sent_at = now;
      director = director_choice_next (&sync->directors, now);
      add_crashes (sync, director, &args, &crashes, now);
      add_notices (sync, &args, notices, now);
      add_usages (sync, &args, usages, now);
    }
  pthread_mutex_unlock (&sync->lock);
  if (is_due)
    send_pull (sync, director, &args);
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
