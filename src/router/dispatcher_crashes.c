#include "router/dispatcher_internal.h"

#include <string.h>
#include <xxhash.h>

#include "balance/trial_router.h"
#include "base/log.h"
#include "fleet/backend_list.h"
#include "fleet/crash_evidence.h"

/* A quarantine lasts much longer; a caller that is told less would come again
   in vain.  */
#define QUARANTINE_RETRY_AFTER (60 * USEC_PER_SEC)
/* Another router, or an earlier request, tries it meanwhile.  */
#define TRIAL_RETRY_AFTER USEC_PER_SEC
#define CRASH_EXPIRY_INTERVAL USEC_PER_SEC
/* The least time between two checks whether one backend server has ended.  */
#define CRASH_CHECK_INTERVAL USEC_PER_SEC

/* A body that is passed on while it comes is not known: other requests may
   have one of the same length, so that the id stands for it.  */
static XXH128_hash_t
hash_body (const exchange_t *exchange)
{
  if (exchange->stream)
    return XXH3_128bits (exchange->id, strlen (exchange->id));
  return XXH3_128bits (exchange->body, exchange->body_bytes);
}

fingerprint_t
dispatcher_fingerprint (exchange_t *exchange)
{
  if (exchange->has_fingerprint)
    return exchange->fingerprint;
  const char *credential
      = request_head_field (&exchange->head, "Authorization");
  const char *const parts[]
      = { exchange->method, exchange->host, exchange->target, credential };
  enum
  {
    N_PARTS = sizeof parts / sizeof parts[0],
  };
  XXH128_hash_t hashes[N_PARTS + 1];
  for (size_t i = 0; i < N_PARTS; i++)
    hashes[i] = XXH3_128bits (parts[i], parts[i] ? strlen (parts[i]) : 0);
  hashes[N_PARTS] = hash_body (exchange);
  XXH128_hash_t hash = XXH3_128bits (hashes, sizeof hashes);
  exchange->fingerprint
      = (fingerprint_t){ .low = hash.low64, .high = hash.high64 };
  exchange->has_fingerprint = true;
  return exchange->fingerprint;
}

/* Whether the directors have told that FINGERPRINT is quarantined.  */
static bool
is_listed (const dispatcher_t *dispatcher, fingerprint_t fingerprint)
{
  const fleet_snapshot_t *snapshot = dispatcher->snapshot;
  return fingerprints_contain (snapshot->quarantined, snapshot->n_quarantined,
                               fingerprint);
}

static bool
knows_suspects (const dispatcher_t *dispatcher)
{
  return dispatcher->crashes.n_suspects > 0
         || dispatcher->snapshot->n_quarantined > 0
         || dispatcher->snapshot->n_on_trial > 0;
}

static bool
is_quarantined (dispatcher_t *dispatcher, fingerprint_t fingerprint)
{
  return is_listed (dispatcher, fingerprint)
         || crash_table_is_quarantined (&dispatcher->crashes, fingerprint);
}

/* Until when requests with FINGERPRINT are held back; 0: they are not.  */
static usec_t
held_back_until (const dispatcher_t *dispatcher, fingerprint_t fingerprint)
{
  const suspect_t *suspect
      = crash_table_find (&dispatcher->crashes, fingerprint);
  return suspect ? suspect_held_back_until (suspect) : 0;
}

static bool
is_same_request (const fingerprint_t *a, const fingerprint_t *b)
{
  return a->low == b->low && a->high == b->high;
}

/* Whether another request with EXCHANGE's fingerprint is at a backend server,
   or may be there still after it was given up on lately.  */
static bool
is_running (const dispatcher_t *dispatcher, const exchange_t *exchange,
            usec_t now)
{
  if (abandoned_runs_has_recent (&dispatcher->abandoned, exchange->fingerprint,
                                 now))
    return true;
  LIST_FOREACH (link, &dispatcher->active)
  {
    exchange_t *other = LIST_ENTRY (link, exchange_t, link);
    if (other == exchange || !other->call)
      continue;
    fingerprint_t fingerprint = dispatcher_fingerprint (other);
    if (is_same_request (&fingerprint, &exchange->fingerprint))
      return true;
  }
  return false;
}

/* Whether EXCHANGE's request, if it is a suspect on trial, must not run here
   now.  */
static bool
waits_for_trial (const dispatcher_t *dispatcher, const exchange_t *exchange,
                 usec_t now)
{
  const fleet_snapshot_t *snapshot = dispatcher->snapshot;
  const suspect_t *suspect
      = crash_table_find (&dispatcher->crashes, exchange->fingerprint);
  bool is_on_trial
      = (suspect && suspect_is_on_trial (suspect))
        || fingerprints_contain (snapshot->on_trial, snapshot->n_on_trial,
                                 exchange->fingerprint);
  if (!is_on_trial)
    return false;
  const fleet_settings_t *settings = dispatcher->options.settings;
  uint32_t trial_router
      = trial_router_choose (snapshot->routers, snapshot->n_routers,
                             settings->region.text, exchange->fingerprint.low);
  bool is_chosen
      = trial_router == 0 || trial_router == settings->requests.address;
  return !is_chosen || is_running (dispatcher, exchange, now);
}

/* Why EXCHANGE must not be sent at NOW, for what requests like it did to
   backend servers, and in *RETRY_AFTER how long; REASON_NONE: it may be.  */
static exchange_reason_t
reason_to_refuse (dispatcher_t *dispatcher, exchange_t *exchange, usec_t now,
                  usec_t *retry_after)
{
  if (!knows_suspects (dispatcher))
    return REASON_NONE;
  fingerprint_t fingerprint = dispatcher_fingerprint (exchange);
  *retry_after = QUARANTINE_RETRY_AFTER;
  if (is_quarantined (dispatcher, fingerprint))
    return REASON_QUARANTINED;
  *retry_after = held_back_until (dispatcher, fingerprint) - now;
  if (*retry_after > 0)
    return REASON_HELD_BACK;
  *retry_after = TRIAL_RETRY_AFTER;
  return waits_for_trial (dispatcher, exchange, now) ? REASON_HELD_BACK
                                                     : REASON_NONE;
}

bool
dispatcher_may_be_poison (dispatcher_t *dispatcher, exchange_t *exchange,
                          usec_t now)
{
  usec_t retry_after;
  return reason_to_refuse (dispatcher, exchange, now, &retry_after)
         != REASON_NONE;
}

bool
dispatcher_refuse_suspect (dispatcher_t *dispatcher, exchange_t *exchange,
                           usec_t now)
{
  usec_t retry_after;
  exchange_reason_t reason
      = reason_to_refuse (dispatcher, exchange, now, &retry_after);
  if (reason == REASON_NONE)
    return false;
  char text[FINGERPRINT_TEXT_BYTES];
  fingerprint_format (dispatcher_fingerprint (exchange), text);
  LOG_EVENT (LOG_LEVEL_WARNING, "request_quarantined",
             LOG_S ("id", exchange->id), LOG_S ("fingerprint", text),
             LOG_S ("reason", exchange_reason_name (reason)));
  if (!exchange->may_have_run)
    exchange->retry_after = retry_after;
  dispatcher_finish (dispatcher, exchange,
                     exchange->may_have_run ? REASON_BROKE_OFF : reason);
  return true;
}

/* Whether requests like one that was running at BOOT have crashed another
   backend server before.  */
static bool
was_repeated (const dispatcher_t *dispatcher, uint64_t boot)
{
  for (size_t i = 0; i < dispatcher->crashes.n_suspects; i++)
    {
      const suspect_t *suspect = &dispatcher->crashes.suspects[i];
      if (suspect->n_crashes > 0
          && suspect->crashes[suspect->n_crashes - 1].boot == boot
          && suspect_count (suspect, false) > 1)
        return true;
    }
  return false;
}

void
dispatcher_confirm_end (dispatcher_t *dispatcher, uint64_t boot,
                        const char *evidence, usec_t now)
{
  dispatcher_suspect_abandoned (dispatcher, boot, now);
  size_t n = crash_table_confirm (&dispatcher->crashes, boot);
  if (n == 0)
    return;
  LOG_EVENT (LOG_LEVEL_WARNING, "backend_crash_confirmed",
             LOG_U ("boot", boot), LOG_S ("evidence", evidence),
             LOG_U ("requests", n));
  if (was_repeated (dispatcher, boot))
    director_sync_hurry (dispatcher->options.sync, 0);
}

void
dispatcher_add_suspect (dispatcher_t *dispatcher, fingerprint_t fingerprint,
                        const char *id, const crash_t *crash, usec_t now)
{
  char text[FINGERPRINT_TEXT_BYTES];
  const backend_t *backend
      = backend_pool_find_boot (dispatcher->pool, crash->boot);
  usec_t answered_at = recent_answers_find (&dispatcher->answers, fingerprint);
  if (answered_at > 0 && !crash_table_find (&dispatcher->crashes, fingerprint))
    crash_table_complete (&dispatcher->crashes, fingerprint, answered_at,
                          true);
  crash_table_add (&dispatcher->crashes, fingerprint, crash, now);
  const suspect_t none = { 0 };
  const suspect_t *suspect
      = crash_table_find (&dispatcher->crashes, fingerprint);
  if (!suspect)
    suspect = &none;
  fingerprint_format (fingerprint, text);
  LOG_EVENT (LOG_LEVEL_INFO, "request_suspected", LOG_S ("id", id),
             LOG_S ("fingerprint", text),
             LOG_S ("backend", backend ? backend->record.id : ""),
             LOG_U ("boot", crash->boot),
             LOG_I ("sent_ms_ago", (now - crash->sent_at) / USEC_PER_MSEC),
             LOG_U ("known", suspect->n_crashes),
             LOG_U ("confirmed", suspect_n_confirmed (suspect)),
             LOG_U ("counted", suspect_count (suspect, false)),
             LOG_U ("answered_before", suspect_was_answered (suspect)),
             LOG_U ("dropped", suspect->n_dropped));
}

/* RESPONSE to EXCHANGE shows that its request need not end a backend server:
   discard its crashes.  */
static void
clear_suspect (dispatcher_t *dispatcher, exchange_t *exchange,
               const backend_response_t *response, usec_t now)
{
  fingerprint_t fingerprint = dispatcher_fingerprint (exchange);
  const suspect_t *suspect
      = crash_table_find (&dispatcher->crashes, fingerprint);
  size_t n_known = suspect ? suspect->n_crashes : 0;
  bool changed = crash_table_complete (&dispatcher->crashes, fingerprint, now,
                                       is_listed (dispatcher, fingerprint));
  if (!changed || n_known == 0)
    return;
  char text[FINGERPRINT_TEXT_BYTES];
  fingerprint_format (fingerprint, text);
  LOG_EVENT (LOG_LEVEL_INFO, "request_cleared", LOG_S ("id", exchange->id),
             LOG_S ("fingerprint", text),
             LOG_S ("backend", exchange->backend->record.id),
             LOG_U ("status", response->status), LOG_U ("known", n_known));
}

/* The start that ended under EXCHANGE: the one that it was sent to, unless its
   end under this request is known.  Then a later one took the request before
   it was listed.  */
static uint64_t
ended_boot (dispatcher_t *dispatcher, exchange_t *exchange)
{
  uint64_t boot = exchange->owner.boot;
  const suspect_t *suspect = crash_table_find (
      &dispatcher->crashes, dispatcher_fingerprint (exchange));
  for (size_t i = 0; suspect && i < suspect->n_crashes; i++)
    if (suspect->crashes[i].boot == boot)
      return backend_record_boot (&exchange->backend->record);
  return boot;
}

/* Ask BACKEND for its health, to learn whether it has ended.  */
static void
check_backend (dispatcher_t *dispatcher, backend_t *backend, usec_t now)
{
  if (now < backend->checked_at + CRASH_CHECK_INTERVAL
      || !backend_pool_begin_probe (backend, now))
    return;
  backend->checked_at = now;
  dispatcher_send_probe (dispatcher, backend);
}

/* EXCHANGE's call was cut off, as RESPONSE tells.  */
static void
suspect_cut_off (dispatcher_t *dispatcher, exchange_t *exchange,
                 const backend_response_t *response, usec_t now)
{
  backend_t *backend = exchange->backend;
  const crash_t crash = { .boot = ended_boot (dispatcher, exchange),
                          .sent_at = exchange->sent_at,
                          .ended_at = now };
  if (backend_pool_boot_is_leaving (dispatcher->pool, crash.boot))
    return;
  dispatcher_add_suspect (dispatcher, dispatcher_fingerprint (exchange),
                          exchange->id, &crash, now);
  if (crash.boot != backend_record_boot (&backend->record))
    dispatcher_confirm_end (dispatcher, crash.boot, "a later start is listed",
                            now);
  else if (!response->was_reconnected)
    check_backend (dispatcher, backend, now);
}

/* No connection to BOOT's backend server can be made.  */
static void
note_unreachable (dispatcher_t *dispatcher, uint64_t boot, usec_t now)
{
  if (dispatcher_shows_end (dispatcher, boot, false))
    dispatcher_confirm_end (dispatcher, boot, "unreachable", now);
}

void
dispatcher_crash_evidence (dispatcher_t *dispatcher, exchange_t *exchange,
                           bool is_complete_run,
                           const backend_response_t *response, usec_t now)
{
  uint64_t boot = exchange->owner.boot;
  if (response->was_cut_off)
    suspect_cut_off (dispatcher, exchange, response, now);
  if (response->may_have_reached && !response->was_cut_off
      && (!response->is_complete || response->is_foreign))
    dispatcher_abandon_run (dispatcher, exchange, now);
  if (response->is_unreachable)
    note_unreachable (dispatcher, boot, now);
  if (!is_complete_run)
    return;
  abandoned_runs_seen (&dispatcher->abandoned,
                       backend_record_boot (&exchange->backend->record), now);
  recent_answers_add (&dispatcher->answers, dispatcher_fingerprint (exchange),
                      now);
  if (knows_suspects (dispatcher))
    clear_suspect (dispatcher, exchange, response, now);
}

void
dispatcher_crash_evidence_of_probe (dispatcher_t *dispatcher,
                                    const call_owner_t *probe,
                                    const backend_response_t *response,
                                    usec_t now)
{
  const backend_t *backend = probe->backend;
  uint64_t boot = probe->boot;
  bool is_other = response->is_complete && response->backend_id[0]
                  && strcmp (response->backend_id, backend->record.id) != 0;
  if (response->is_unreachable)
    note_unreachable (dispatcher, boot, now);
  else if (is_other)
    dispatcher_confirm_end (dispatcher, boot,
                            "another backend server at its address", now);
}

static bool
list_has_boot (const backend_list_t *list, uint64_t boot)
{
  for (size_t i = 0; i < list->n_records; i++)
    if (backend_record_boot (&list->records[i]) == boot)
      return true;
  return false;
}

/* The first crash that is not confirmed although its backend server is not
   listed any more; NULL if there is none.  */
static const crash_t *
find_unlisted (const dispatcher_t *dispatcher)
{
  for (size_t i = 0; i < dispatcher->crashes.n_suspects; i++)
    {
      const suspect_t *suspect = &dispatcher->crashes.suspects[i];
      for (size_t j = 0; j < suspect->n_crashes; j++)
        if (!suspect->crashes[j].is_confirmed
            && !list_has_boot (&dispatcher->snapshot->list,
                               suspect->crashes[j].boot))
          return &suspect->crashes[j];
    }
  return NULL;
}

void
dispatcher_crash_evidence_of_list (dispatcher_t *dispatcher, usec_t now)
{
  const crash_t *crash;
  while ((crash = find_unlisted (dispatcher)))
    dispatcher_confirm_end (dispatcher, crash->boot, "not listed any more",
                            now);
}

void
dispatcher_apply_releases (dispatcher_t *dispatcher)
{
  director_release_t releases[DIRECTOR_RELEASES_MAX];
  size_t n = director_sync_releases (dispatcher->options.sync, releases);
  for (size_t i = 0; i < n; i++)
    {
      char text[FINGERPRINT_TEXT_BYTES];
      if (!crash_table_release (&dispatcher->crashes, releases[i].fingerprint,
                                releases[i].at))
        continue;
      fingerprint_format (releases[i].fingerprint, text);
      LOG_EVENT (LOG_LEVEL_WARNING, "quarantine_released",
                 LOG_S ("fingerprint", text));
    }
}

void
dispatcher_expire_crashes (dispatcher_t *dispatcher, usec_t now)
{
  if (dispatcher->crashes.n_suspects == 0
      || now < dispatcher->next_crash_expiry_at)
    return;
  dispatcher->next_crash_expiry_at = now + CRASH_EXPIRY_INTERVAL;
  size_t n_unconfirmed = crash_table_expire (&dispatcher->crashes, now);
  if (n_unconfirmed > 0)
    LOG_EVENT (LOG_LEVEL_INFO, "crash_unconfirmed",
               LOG_U ("crashes", n_unconfirmed));
}
