#include "fleet/crash_table.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/number.h"
#include "fleet/crash_evidence.h"

/* Other VMs report a complete answer with a time that is off by the delay of
   the message.  Differences up to this are no news, so that a report does not
   travel back and forth.  */
#define COMPLETION_TOLERANCE (500 * USEC_PER_MSEC)

static int
compare_fingerprints (const void *a, const void *b)
{
  const fingerprint_t *left = a;
  const fingerprint_t *right = b;
  if (left->low != right->low)
    return left->low < right->low ? -1 : 1;
  if (left->high != right->high)
    return left->high < right->high ? -1 : 1;
  return 0;
}

static size_t
find_position (const crash_table_t *table, fingerprint_t fingerprint)
{
  size_t i = 0;
  while (
      i < table->n_suspects
      && compare_fingerprints (&table->suspects[i].fingerprint, &fingerprint)
             != 0)
    i++;
  return i;
}

const suspect_t *
crash_table_find (const crash_table_t *table, fingerprint_t fingerprint)
{
  size_t at = find_position (table, fingerprint);
  return at < table->n_suspects ? &table->suspects[at] : NULL;
}

static void
remove_suspect (crash_table_t *table, size_t at)
{
  table->n_suspects--;
  memmove (&table->suspects[at], &table->suspects[at + 1],
           (table->n_suspects - at) * sizeof table->suspects[0]);
}

/* Record a change of the suspect AT, which moves to the end.  */
static suspect_t *
mark_changed (crash_table_t *table, size_t at)
{
  suspect_t suspect = table->suspects[at];
  remove_suspect (table, at);
  suspect.changed = ++table->sequence;
  table->is_judged = false;
  table->suspects[table->n_suspects] = suspect;
  return &table->suspects[table->n_suspects++];
}

/* Bring is_quarantined of all suspects up to date.  */
static void
judge (crash_table_t *table)
{
  if (table->is_judged)
    return;
  crash_evidence_judge (table->suspects, table->n_suspects);
  table->is_judged = true;
}

static void
make_room (crash_table_t *table)
{
  size_t at = 0;
  judge (table);
  while (at < table->n_suspects && table->suspects[at].is_quarantined)
    at++;
  if (at == table->n_suspects)
    {
      at = 0;
      table->is_judged = false;
    }
  remove_suspect (table, at);
}

/* The position of the suspect with FINGERPRINT, which is added if needed.  */
static size_t
find_or_add (crash_table_t *table, fingerprint_t fingerprint)
{
  size_t at = find_position (table, fingerprint);
  if (at < table->n_suspects)
    return at;
  if (table->n_suspects == SUSPECTS_MAX)
    make_room (table);
  table->suspects[table->n_suspects]
      = (suspect_t){ .fingerprint = fingerprint };
  return table->n_suspects++;
}

static crash_t *
find_boot (suspect_t *suspect, uint64_t boot)
{
  for (size_t i = 0; i < suspect->n_crashes; i++)
    if (suspect->crashes[i].boot == boot)
      return &suspect->crashes[i];
  return NULL;
}

static void
remove_crash (suspect_t *suspect, size_t at)
{
  suspect->n_crashes--;
  memmove (&suspect->crashes[at], &suspect->crashes[at + 1],
           (suspect->n_crashes - at) * sizeof suspect->crashes[0]);
}

/* Insert CRASH by the time of its end.  Returns false if there is no room for
   it between the oldest and the newest.  */
static bool
insert_crash (suspect_t *suspect, const crash_t *crash)
{
  size_t at = suspect->n_crashes;
  while (at > 0 && suspect->crashes[at - 1].ended_at > crash->ended_at)
    at--;
  if (suspect->n_crashes == CRASHES_PER_SUSPECT_MAX)
    {
      suspect->n_dropped++;
      if (at == OLDEST_CRASHES_KEPT)
        return false;
      remove_crash (suspect, at < OLDEST_CRASHES_KEPT ? OLDEST_CRASHES_KEPT - 1
                                                      : OLDEST_CRASHES_KEPT);
      at -= at > OLDEST_CRASHES_KEPT;
    }
  memmove (&suspect->crashes[at + 1], &suspect->crashes[at],
           (suspect->n_crashes - at) * sizeof suspect->crashes[0]);
  suspect->crashes[at] = *crash;
  suspect->n_crashes++;
  return true;
}

bool
crash_table_add (crash_table_t *table, fingerprint_t fingerprint,
                 const crash_t *crash, usec_t now)
{
  if (now - crash->ended_at >= CRASH_LIFETIME)
    return false;
  size_t at = find_or_add (table, fingerprint);
  suspect_t *suspect = &table->suspects[at];
  crash_t *known = find_boot (suspect, crash->boot);
  if (known && (known->is_confirmed || !crash->is_confirmed))
    return false;
  if (known)
    known->is_confirmed = true;
  else if (crash->ended_at <= suspect->completed_at
           || !insert_crash (suspect, crash))
    return false;
  if (crash->is_confirmed)
    mark_changed (table, at);
  return true;
}

size_t
crash_table_confirm (crash_table_t *table, uint64_t boot)
{
  size_t n = 0;
  size_t n_unchanged = table->n_suspects;
  for (size_t at = 0; at < n_unchanged;)
    {
      crash_t *crash = find_boot (&table->suspects[at], boot);
      if (!crash || crash->is_confirmed)
        {
          at++;
          continue;
        }
      crash->is_confirmed = true;
      mark_changed (table, at);
      n_unchanged--;
      n++;
    }
  return n;
}

/* Whether a complete answer at AT tells more of SUSPECT than is known.  */
static bool
is_news (const suspect_t *suspect, usec_t at)
{
  bool clears = suspect->n_crashes > 0 && suspect->crashes[0].ended_at <= at;
  return clears || at > suspect->completed_at + COMPLETION_TOLERANCE;
}

bool
crash_table_complete (crash_table_t *table, fingerprint_t fingerprint,
                      usec_t at, bool adds)
{
  size_t position = adds ? find_or_add (table, fingerprint)
                         : find_position (table, fingerprint);
  if (position == table->n_suspects
      || !is_news (&table->suspects[position], at))
    return false;
  suspect_t *suspect = mark_changed (table, position);
  suspect->completed_at = at;
  while (suspect->n_crashes > 0 && suspect->crashes[0].ended_at <= at)
    remove_crash (suspect, 0);
  return true;
}

bool
crash_table_release (crash_table_t *table, fingerprint_t fingerprint,
                     usec_t at)
{
  const suspect_t *known = crash_table_find (table, fingerprint);
  if (at <= 0
      || (known && known->released_at > 0
          && at <= known->released_at + COMPLETION_TOLERANCE))
    return false;
  suspect_t *suspect = mark_changed (table, find_or_add (table, fingerprint));
  suspect->released_at = at;
  if (at > suspect->completed_at)
    suspect->completed_at = at;
  while (suspect->n_crashes > 0 && suspect->crashes[0].ended_at <= at)
    remove_crash (suspect, 0);
  return true;
}

static bool
is_expired (const crash_t *crash, usec_t now)
{
  return now - crash->ended_at >= (crash->is_confirmed
                                       ? CRASH_LIFETIME
                                       : UNCONFIRMED_CRASH_LIFETIME);
}

/* Whether nothing is left to be remembered of SUSPECT.  */
static bool
is_forgotten (const suspect_t *suspect, usec_t now)
{
  bool was_completed
      = suspect->completed_at > 0
        && now - suspect->completed_at < UNCONFIRMED_CRASH_LIFETIME;
  /* By then the crashes before it are too old to be reported again.  */
  bool was_released = suspect->released_at > 0
                      && now - suspect->released_at < CRASH_LIFETIME;
  return suspect->n_crashes == 0 && !was_completed && !was_released;
}

size_t
crash_table_expire (crash_table_t *table, usec_t now)
{
  size_t n_unconfirmed = 0;
  for (size_t i = table->n_suspects; i-- > 0;)
    {
      suspect_t *suspect = &table->suspects[i];
      for (size_t j = suspect->n_crashes; j-- > 0;)
        if (is_expired (&suspect->crashes[j], now))
          {
            n_unconfirmed += !suspect->crashes[j].is_confirmed;
            table->is_judged = false;
            remove_crash (suspect, j);
          }
      if (is_forgotten (suspect, now))
        remove_suspect (table, i);
    }
  return n_unconfirmed;
}

bool
crash_table_is_quarantined (crash_table_t *table, fingerprint_t fingerprint)
{
  judge (table);
  const suspect_t *suspect = crash_table_find (table, fingerprint);
  return suspect && suspect->is_quarantined;
}

size_t
crash_table_quarantined (crash_table_t *table,
                         fingerprint_t out[QUARANTINED_MAX])
{
  size_t n = 0;
  judge (table);
  for (size_t i = 0; i < table->n_suspects && n < QUARANTINED_MAX; i++)
    if (table->suspects[i].is_quarantined)
      out[n++] = table->suspects[i].fingerprint;
  qsort (out, n, sizeof out[0], compare_fingerprints);
  return n;
}

size_t
crash_table_on_trial (crash_table_t *table, fingerprint_t out[QUARANTINED_MAX])
{
  size_t n = 0;
  judge (table);
  for (size_t i = 0; i < table->n_suspects && n < QUARANTINED_MAX; i++)
    if (!table->suspects[i].is_quarantined
        && suspect_is_on_trial (&table->suspects[i]))
      out[n++] = table->suspects[i].fingerprint;
  qsort (out, n, sizeof out[0], compare_fingerprints);
  return n;
}

bool
fingerprints_contain (const fingerprint_t *sorted, size_t n,
                      fingerprint_t fingerprint)
{
  return n > 0
         && bsearch (&fingerprint, sorted, n, sizeof fingerprint,
                     compare_fingerprints);
}

uint64_t
fingerprints_digest (const fingerprint_t *sorted, size_t n)
{
  return n > 0 ? XXH3_64bits (sorted, n * sizeof sorted[0]) | 1 : 0;
}

void
fingerprint_format (fingerprint_t fingerprint,
                    char text[FINGERPRINT_TEXT_BYTES])
{
  snprintf (text, FINGERPRINT_TEXT_BYTES, "%016" PRIx64 "%016" PRIx64,
            fingerprint.high, fingerprint.low);
}

bool
fingerprint_parse (fingerprint_t *fingerprint, const char *text)
{
  enum
  {
    DIGITS = FINGERPRINT_TEXT_BYTES - 1,
  };
  if (strlen (text) != DIGITS)
    return false;
  char high[DIGITS / 2 + 1] = { 0 };
  memcpy (high, text, DIGITS / 2);
  return number_parse_hex (&fingerprint->high, high, DIGITS / 2) == NUMBER_OK
         && number_parse_hex (&fingerprint->low, text + DIGITS / 2, DIGITS / 2)
                == NUMBER_OK;
}
