#include "director/core_internal.h"

#include "base/log.h"
#include "fleet/cold_wire.h"

#define COLD_EXPIRY_INTERVAL USEC_PER_SEC
/* What a router has just seen is shared before the next regular share, but
   after this, so that reports of one moment travel together.  */
#define COLD_SHARE_DELAY (100 * USEC_PER_MSEC)

/* The thread looks for work every few milliseconds; after a longer time the
   process was paused.  */
#define PAUSE_MIN USEC_PER_SEC
/* Until what arrived during a pause has been read.  */
#define RESUME_SPAN (500 * USEC_PER_MSEC)

void
core_colds_note_run (director_core_t *core, usec_t now)
{
  if (core->ran_at > 0 && now - core->ran_at > PAUSE_MIN)
    {
      core->resumed_at = now;
      LOG_EVENT (LOG_LEVEL_WARNING, "director_was_paused",
                 LOG_I ("ms", (now - core->ran_at) / USEC_PER_MSEC));
    }
  core->ran_at = now;
}

/* Whether a pull that is read at NOW may have been sent before a pause: it
   does not say when what is left of its times was read.  */
static bool
may_be_late (const director_core_t *core, usec_t now)
{
  return core->resumed_at > 0 && now < core->resumed_at + RESUME_SPAN;
}

/* Returns how many of the N servers at WIRE were not known to be cold for
   long.  */
static size_t
merge (director_core_t *core, const fleet_cold_t *wire, size_t n,
       bool is_direct, usec_t sent_at, usec_t now)
{
  static cold_report_t reports[COLDS_MAX];
  cold_wire_read (wire, n, reports, sent_at);
  size_t n_new = 0;
  for (size_t i = 0; i < n; i++)
    {
      usec_t until = cold_table_until (&core->colds, reports[i].server);
      if (cold_table_put (&core->colds, &reports[i], is_direct)
          && until < now + COLD_URGENT_LEFT)
        n_new++;
    }
  if (n_new > 0)
    LOG_EVENT (LOG_LEVEL_INFO, "backends_may_be_cold", LOG_U ("new", n_new),
               LOG_U ("told_by_router", is_direct),
               LOG_U ("known", core->colds.n));
  return n_new;
}

/* Have what is new shared soon.  */
static void
hurry_share (director_core_t *core, usec_t now)
{
  usec_t due_at = now + COLD_SHARE_DELAY;
  if (due_at < core->next_share_at)
    core->next_share_at = due_at;
}

/* Encode the changes that QUERY asks for, and set *KNOWN to the last one that
   they include; returns how many.  */
static size_t
write_changes (const director_core_t *core, const cold_query_t *query,
               fleet_cold_t *wire, uint64_t *known)
{
  static cold_report_t reports[COLDS_MAX];
  size_t n
      = cold_table_changed (&core->colds, query, reports, COLDS_MAX, known);
  cold_wire_write (reports, n, wire, query->now);
  return n;
}

void
core_colds_answer (director_core_t *core, const fleet_pull_args_t *args,
                   fleet_pull_result_t *result, fleet_cold_t *colds,
                   usec_t now)
{
  if (may_be_late (core, now))
    result->source = 0; /* the router tells all again */
  else if (merge (core, args->colds.colds_val, args->colds.colds_len, true,
                  now, now)
           > 0)
    hurry_share (core, now);
  bool is_same = args->source == core->options.seed;
  const cold_query_t query
      = { .after = is_same ? args->colds_known : 0, .now = now };
  result->colds.colds_val = colds;
  result->colds.colds_len
      = (u_int)write_changes (core, &query, colds, &result->colds_known);
}

uint64_t
core_colds_fill_share (director_core_t *core, slot_t to,
                       fleet_share_args_t *args, fleet_cold_t *colds,
                       usec_t now)
{
  /* Only the leader relays, so that no report comes back to its sender.  */
  const cold_query_t query = { .after = core->peers[to].colds_told,
                               .now = now,
                               .only_direct = core->role != ROLE_LEADER };
  uint64_t sent = 0;
  args->colds.colds_val = colds;
  args->colds.colds_len = (u_int)write_changes (core, &query, colds, &sent);
  return sent;
}

void
core_colds_shared (director_core_t *core, slot_t to, uint64_t incarnation,
                   uint64_t sent)
{
  director_peer_t *peer = &core->peers[to];
  if (peer->incarnation != incarnation)
    peer->colds_told = 0;
  else if (sent > peer->colds_told)
    peer->colds_told = sent;
}

void
core_colds_merge_share (director_core_t *core, const fleet_share_args_t *args,
                        usec_t sent_at, usec_t now)
{
  size_t n_new = merge (core, args->colds.colds_val, args->colds.colds_len,
                        false, sent_at, now);
  if (n_new > 0 && core->role == ROLE_LEADER)
    hurry_share (core, now);
}

void
core_colds_tick (director_core_t *core, usec_t now)
{
  if (now < core->next_cold_expiry_at)
    return;
  core->next_cold_expiry_at = now + COLD_EXPIRY_INTERVAL;
  cold_table_expire (&core->colds, now);
}
