#include "director/core_internal.h"

#include "base/log.h"
#include "fleet/crash_evidence.h"

/* Recompute the requests that are quarantined or on trial; log them if they
   changed.  */
static void
update_quarantine (director_core_t *core)
{
  core->n_quarantined
      = crash_table_quarantined (&core->crashes, core->quarantined);
  core->n_on_trial = crash_table_on_trial (&core->crashes, core->on_trial);
  /* Doubled, so that a request counts differently in the two lists.  */
  uint64_t digest
      = fingerprints_digest (core->quarantined, core->n_quarantined)
        + 2 * fingerprints_digest (core->on_trial, core->n_on_trial);
  if (digest == core->quarantine_digest)
    return;
  core->quarantine_digest = digest;
  core->next_share_at = 0;
  LOG_EVENT (LOG_LEVEL_WARNING, "quarantine_changed",
             LOG_U ("requests", core->n_quarantined),
             LOG_U ("on_trial", core->n_on_trial),
             LOG_U ("suspects", core->crashes.n_suspects));
}

/* Log what is known of the requests that have changed after the change AFTER
   and were running at more than one crash, or at none any more.  */
static void
log_changes (const director_core_t *core, uint64_t after)
{
  for (size_t i = 0; i < core->crashes.n_suspects; i++)
    {
      const suspect_t *suspect = &core->crashes.suspects[i];
      if (suspect->changed <= after || suspect->n_crashes == 1)
        continue;
      char text[FINGERPRINT_TEXT_BYTES];
      fingerprint_format (suspect->fingerprint, text);
      LOG_EVENT (LOG_LEVEL_INFO, "suspect_changed",
                 LOG_S ("fingerprint", text),
                 LOG_U ("known", suspect->n_crashes),
                 LOG_U ("counted", suspect_count (suspect, false)),
                 LOG_U ("dropped", suspect->n_dropped));
    }
}

void
core_crashes_merge (director_core_t *core, const fleet_suspect_t *suspects,
                    size_t n, usec_t sent_at, usec_t now)
{
  uint64_t before = core->crashes.sequence;
  if (n == 0 || !crash_wire_merge (&core->crashes, suspects, n, sent_at, now))
    return;
  log_changes (core, before);
  update_quarantine (core);
}

static void
write_fingerprints (const fingerprint_t *fingerprints, size_t n,
                    fleet_fingerprint_t *wire)
{
  for (size_t i = 0; i < n; i++)
    wire[i] = (fleet_fingerprint_t){ .low = fingerprints[i].low,
                                     .high = fingerprints[i].high };
}

void
core_crashes_fill_result (const director_core_t *core, uint64_t known_digest,
                          fleet_pull_result_t *result, suspect_lists_t *lists)
{
  result->quarantine_digest = core->quarantine_digest;
  if (known_digest == core->quarantine_digest)
    return;
  write_fingerprints (core->quarantined, core->n_quarantined,
                      lists->quarantined);
  write_fingerprints (core->on_trial, core->n_on_trial, lists->on_trial);
  result->quarantined.quarantined_val = lists->quarantined;
  result->quarantined.quarantined_len = (u_int)core->n_quarantined;
  result->on_trial.on_trial_val = lists->on_trial;
  result->on_trial.on_trial_len = (u_int)core->n_on_trial;
}

void
core_crashes_fill_releases (const director_core_t *core,
                            fleet_pull_result_t *result,
                            fleet_release_t *releases, usec_t now)
{
  u_int n = 0;
  for (size_t i = core->crashes.n_suspects;
       i-- > 0 && n < FLEET_WIRE_RELEASES_MAX;)
    {
      const suspect_t *suspect = &core->crashes.suspects[i];
      if (suspect->released_at > 0)
        releases[n++] = (fleet_release_t){
          .fingerprint = { .low = suspect->fingerprint.low,
                           .high = suspect->fingerprint.high },
          .age = crash_wire_age (suspect->released_at, now),
        };
    }
  result->releases.releases_val = releases;
  result->releases.releases_len = n;
}

bool
core_crashes_release (director_core_t *core, fingerprint_t fingerprint,
                      usec_t now)
{
  if (!fingerprints_contain (core->quarantined, core->n_quarantined,
                             fingerprint))
    return false;
  char text[FINGERPRINT_TEXT_BYTES];
  fingerprint_format (fingerprint, text);
  LOG_EVENT (LOG_LEVEL_WARNING, "quarantine_released",
             LOG_S ("fingerprint", text));
  crash_table_release (&core->crashes, fingerprint, now);
  update_quarantine (core);
  return true;
}

void
core_crashes_fill_share (const director_core_t *core, slot_t to,
                         fleet_share_args_t *args, crash_report_t *report,
                         usec_t now)
{
  crash_wire_write (&core->crashes, core->peers[to].crashes_known, report,
                    now);
  args->suspects.suspects_val = report->suspects;
  args->suspects.suspects_len = (u_int)report->n;
}

void
core_crashes_shared (director_core_t *core, slot_t to, uint64_t incarnation,
                     uint64_t sequence)
{
  director_peer_t *peer = &core->peers[to];
  bool has_restarted = peer->incarnation != incarnation;
  peer->incarnation = incarnation;
  if (has_restarted)
    peer->crashes_known = 0;
  else if (sequence > peer->crashes_known)
    peer->crashes_known = sequence;
}

void
core_crashes_tick (director_core_t *core, usec_t now)
{
  if (core->crashes.n_suspects == 0 || now < core->next_crash_expiry_at)
    return;
  core->next_crash_expiry_at = now + CRASH_EXPIRY_INTERVAL;
  crash_table_expire (&core->crashes, now);
  update_quarantine (core);
}
