#include "fleet/crash_wire.h"

#include "fleet/crash_evidence.h"

_Static_assert((int)CRASHES_PER_SUSPECT_MAX == FLEET_WIRE_CRASHES_MAX
                   && (int)QUARANTINED_MAX == FLEET_WIRE_QUARANTINED_MAX,
               "the limits of crash reports differ");

int64_t
crash_wire_age (usec_t at, usec_t now)
{
  return at < now ? now - at : 0;
}

static void
write_suspect (const suspect_t *suspect, fleet_suspect_t *wire,
               fleet_crash_t *crashes, usec_t now)
{
  u_int n = 0;
  for (size_t i = 0; i < suspect->n_crashes; i++)
    {
      const crash_t *crash = &suspect->crashes[i];
      if (crash->is_confirmed)
        crashes[n++] = (fleet_crash_t){
          .boot = crash->boot,
          .sent_age = crash_wire_age (crash->sent_at, now),
          .ended_age = crash_wire_age (crash->ended_at, now)
        };
    }
  *wire = (fleet_suspect_t){
    .fingerprint
    = { .low = suspect->fingerprint.low, .high = suspect->fingerprint.high },
    .completed_age = suspect->completed_at > 0
                         ? crash_wire_age (suspect->completed_at, now)
                         : -1,
    .is_released = suspect->released_at > 0,
    .released_age = crash_wire_age (suspect->released_at, now)
  };
  wire->crashes.crashes_len = n;
  wire->crashes.crashes_val = crashes;
}

static void
add_suspect (crash_report_t *report, const suspect_t *suspect, usec_t now)
{
  write_suspect (suspect, &report->suspects[report->n],
                 report->crashes[report->n], now);
  report->n++;
}

void
crash_wire_write (const crash_table_t *table, uint64_t after,
                  crash_report_t *report, usec_t now)
{
  bool is_told[SUSPECTS_MAX] = { false };
  report->n = 0;
  report->sequence = after;
  for (size_t i = table->n_suspects; i-- > 0;)
    {
      const suspect_t *suspect = &table->suspects[i];
      if (suspect->changed <= after || report->n == URGENT_SUSPECTS_MAX)
        break;
      is_told[i] = suspect_count (suspect, false) > 1;
      if (is_told[i])
        add_suspect (report, suspect, now);
    }
  for (size_t i = 0; i < table->n_suspects; i++)
    {
      const suspect_t *suspect = &table->suspects[i];
      if (suspect->changed <= after)
        continue;
      if (!is_told[i] && report->n == FLEET_WIRE_SUSPECTS_MAX)
        return;
      if (!is_told[i])
        add_suspect (report, suspect, now);
      report->sequence = suspect->changed;
    }
}

static bool
is_possible_age (int64_t age)
{
  return age >= 0 && age < CRASH_LIFETIME;
}

static bool
merge_release (crash_table_t *table, const fleet_suspect_t *wire,
               usec_t sent_at)
{
  const fingerprint_t fingerprint
      = { .low = wire->fingerprint.low, .high = wire->fingerprint.high };
  return wire->is_released && is_possible_age (wire->released_age)
         && crash_table_release (table, fingerprint,
                                 sent_at - wire->released_age);
}

static bool
merge_suspect (crash_table_t *table, const fleet_suspect_t *wire,
               usec_t sent_at, usec_t now)
{
  bool changed = merge_release (table, wire, sent_at);
  const fingerprint_t fingerprint
      = { .low = wire->fingerprint.low, .high = wire->fingerprint.high };
  for (u_int i = 0; i < wire->crashes.crashes_len; i++)
    {
      const fleet_crash_t *from = &wire->crashes.crashes_val[i];
      if (!is_possible_age (from->ended_age)
          || !is_possible_age (from->sent_age)
          || from->sent_age < from->ended_age)
        continue;
      const crash_t crash = { .boot = from->boot,
                              .sent_at = sent_at - from->sent_age,
                              .ended_at = sent_at - from->ended_age,
                              .is_confirmed = true };
      changed = crash_table_add (table, fingerprint, &crash, now) || changed;
    }
  if (is_possible_age (wire->completed_age)
      && crash_table_complete (table, fingerprint,
                               sent_at - wire->completed_age, false))
    changed = true;
  return changed;
}

bool
crash_wire_merge (crash_table_t *table, const fleet_suspect_t *suspects,
                  size_t n, usec_t sent_at, usec_t now)
{
  bool changed = false;
  for (size_t i = 0; i < n; i++)
    changed = merge_suspect (table, &suspects[i], sent_at, now) || changed;
  return changed;
}
