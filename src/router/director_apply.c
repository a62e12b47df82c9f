/* director_apply: applies the result of a pull to a router's snapshot.  */

#include "router/director_sync_internal.h"

#include <stdlib.h>

#include "base/log.h"
#include "base/name.h"
#include "config_codec.h"
#include "fleet/fleet_wire.h"
#include "fleet/list_update.h"

/* A director whose state was last confirmed by the leader longer ago than this
   is avoided.  */
#define CONFIRMED_AGE_MAX (1500 * USEC_PER_MSEC)

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
        snapshot->routers[snapshot->n_routers++] = (pool_router_t){
          .address = peer->address,
          .port = peer->port <= UINT16_MAX ? (uint16_t)peer->port : 0,
          .region = *region,
          .is_cut_off = peer->is_cut_off
        };
    }
  xdr_free ((xdrproc_t)xdr_fleet_peers_t, (char *)&wire);
  return true;
}

/* Replace *FINGERPRINTS by the N entries at WIRE.  */
static void
replace_fingerprints (fingerprint_t **fingerprints, size_t *n_fingerprints,
                      const fleet_fingerprint_t *wire, size_t n)
{
  free (*fingerprints);
  *fingerprints = calloc (n + 1, sizeof **fingerprints);
  if (!*fingerprints)
    abort ();
  for (size_t i = 0; i < n; i++)
    (*fingerprints)[i]
        = (fingerprint_t){ .low = wire[i].low, .high = wire[i].high };
  *n_fingerprints = n;
}

static bool
apply_quarantine (director_sync_t *sync, fleet_snapshot_t *snapshot,
                  const fleet_pull_result_t *result)
{
  if (result->quarantine_digest == sync->quarantine_digest)
    return false;
  replace_fingerprints (&snapshot->quarantined, &snapshot->n_quarantined,
                        result->quarantined.quarantined_val,
                        result->quarantined.quarantined_len);
  replace_fingerprints (&snapshot->on_trial, &snapshot->n_on_trial,
                        result->on_trial.on_trial_val,
                        result->on_trial.on_trial_len);
  sync->quarantine_digest = result->quarantine_digest;
  LOG_EVENT (LOG_LEVEL_WARNING, "quarantine_in_force",
             LOG_U ("requests", snapshot->n_quarantined),
             LOG_U ("on_trial", snapshot->n_on_trial));
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

bool
director_apply_result (director_sync_t *sync,
                       const fleet_pull_result_t *result, usec_t now)
{
  bool changed = apply_changes (sync, result, now);
  sync->crashes_known = sync->crashes_sent;
  apply_releases (sync, result, now);
  add_directors (sync, result);
  bool is_fresh = result->confirmed_age >= 0
                  && result->confirmed_age < CONFIRMED_AGE_MAX;
  director_report_keep_result (sync, result, is_fresh, now);
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
