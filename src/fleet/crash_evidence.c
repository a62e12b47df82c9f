#include "fleet/crash_evidence.h"

#include <stdlib.h>

enum
{
  SEPARATE_CRASHES_MIN = 3,
  MANY_CRASHES = 6,
  SEPARATE_OF_MANY_MIN = 2,
  /* Of the set of boots: a power of two, and at least twice the boots that it
     is to hold.  */
  BOOT_SET_SLOTS = 16384,
  BOOT_SET_MAX = BOOT_SET_SLOTS / 2,
};

/* Boots of backend servers whose ends are explained.  Open addressing; a free
   slot is 0, so a boot 0 is taken for 1.  */
typedef struct boot_set
{
  size_t n;
  uint64_t slots[BOOT_SET_SLOTS];
} boot_set_t;

typedef struct evidence
{
  size_t n_crashes;
  size_t n_separate;
} evidence_t;

/* --- Explained ends ----------------------------------------------------- */

/* The slot of BOOT, or the free one where it belongs.  */
static size_t
boot_slot (const boot_set_t *set, uint64_t boot)
{
  size_t slot = boot % BOOT_SET_SLOTS;
  while (set->slots[slot] != 0 && set->slots[slot] != boot)
    slot = (slot + 1) % BOOT_SET_SLOTS;
  return slot;
}

static bool
boot_set_has (const boot_set_t *set, uint64_t boot)
{
  boot += boot == 0;
  return set->n > 0 && set->slots[boot_slot (set, boot)] == boot;
}

/* Beyond BOOT_SET_MAX boots nothing is added: their ends stay unexplained.  */
static void
boot_set_add (boot_set_t *set, uint64_t boot)
{
  boot += boot == 0;
  size_t slot = boot_slot (set, boot);
  if (set->slots[slot] == boot || set->n == BOOT_SET_MAX)
    return;
  set->slots[slot] = boot;
  set->n++;
}

/* --- One request -------------------------------------------------------- */

bool
suspect_was_answered (const suspect_t *suspect)
{
  return suspect->n_crashes > 0 && suspect->completed_at > suspect->released_at
         && suspect->crashes[0].ended_at
                < suspect->completed_at + ANSWERED_BEFORE_TIME;
}

/* The crashes of SUSPECT at boots that are not in EXPLAINED, which may be
   NULL.  */
static evidence_t
collect (const suspect_t *suspect, bool with_unconfirmed,
         const boot_set_t *explained)
{
  evidence_t evidence = { 0 };
  usec_t last_ended_at = 0;
  bool was_answered = suspect_was_answered (suspect);
  for (size_t i = 0; i < suspect->n_crashes; i++)
    {
      const crash_t *crash = &suspect->crashes[i];
      if (!(crash->is_confirmed || with_unconfirmed)
          || (explained && boot_set_has (explained, crash->boot)))
        continue;
      evidence.n_crashes++;
      bool is_separate = evidence.n_separate == 0
                         || (!was_answered && crash->sent_at >= last_ended_at)
                         || crash->ended_at >= last_ended_at + SAME_EVENT_TIME;
      if (!is_separate)
        continue;
      evidence.n_separate++;
      last_ended_at = crash->ended_at;
    }
  return evidence;
}

size_t
suspect_count (const suspect_t *suspect, bool with_unconfirmed)
{
  return collect (suspect, with_unconfirmed, NULL).n_separate;
}

size_t
suspect_n_confirmed (const suspect_t *suspect)
{
  return collect (suspect, false, NULL).n_crashes;
}

usec_t
suspect_held_back_until (const suspect_t *suspect)
{
  size_t n_needed = suspect_was_answered (suspect) ? SEPARATE_CRASHES_MIN
                                                   : SEPARATE_OF_MANY_MIN;
  if (suspect_count (suspect, true) < n_needed)
    return 0;
  return suspect->crashes[suspect->n_crashes - 1].ended_at + HOLD_BACK_TIME;
}

bool
suspect_is_on_trial (const suspect_t *suspect)
{
  return collect (suspect, true, NULL).n_crashes >= SEPARATE_CRASHES_MIN;
}

static bool
is_enough (const evidence_t *evidence, bool was_answered)
{
  bool is_many = evidence->n_crashes >= MANY_CRASHES;
  bool is_separate = evidence->n_separate >= SEPARATE_CRASHES_MIN;
  if (was_answered)
    return is_many && is_separate;
  return is_separate
         || (is_many && evidence->n_separate >= SEPARATE_OF_MANY_MIN);
}

/* --- All requests ------------------------------------------------------- */

/* The strongest evidence comes first: that against requests which were never
   answered, then the most crashes.  0: no difference.  */
static int
compare_strength (const suspect_t *left, const suspect_t *right)
{
  bool left_answered = suspect_was_answered (left);
  bool right_answered = suspect_was_answered (right);
  if (left_answered != right_answered)
    return left_answered ? 1 : -1;
  size_t n_left = suspect_n_confirmed (left);
  size_t n_right = suspect_n_confirmed (right);
  if (n_left != n_right)
    return n_left > n_right ? -1 : 1;
  return 0;
}

static int
compare_suspects (const void *a, const void *b)
{
  return compare_strength (*(suspect_t *const *)a, *(suspect_t *const *)b);
}

static void
explain_crashes (boot_set_t *explained, const suspect_t *suspect)
{
  for (size_t i = 0; i < suspect->n_crashes; i++)
    if (suspect->crashes[i].is_confirmed)
      boot_set_add (explained, suspect->crashes[i].boot);
}

/* Judge N suspects with evidence of the same strength: none of them explains
   the crashes of another.  */
static void
judge_equals (suspect_t **suspects, size_t n, boot_set_t *explained)
{
  for (size_t i = 0; i < n; i++)
    {
      evidence_t evidence = collect (suspects[i], false, explained);
      bool was_answered = suspect_was_answered (suspects[i]);
      suspects[i]->is_quarantined = is_enough (&evidence, was_answered);
    }
  for (size_t i = 0; i < n; i++)
    if (suspects[i]->is_quarantined)
      explain_crashes (explained, suspects[i]);
}

void
crash_evidence_judge (suspect_t *suspects, size_t n)
{
  suspect_t **order = calloc (n + 1, sizeof (suspect_t *));
  boot_set_t *explained = calloc (1, sizeof *explained);
  size_t n_ordered = 0;
  if (!order || !explained)
    abort ();
  for (size_t i = 0; i < n; i++)
    {
      suspects[i].is_quarantined = false;
      if (suspects[i].n_crashes >= SEPARATE_CRASHES_MIN)
        order[n_ordered++] = &suspects[i];
    }
  qsort (order, n_ordered, sizeof (suspect_t *), compare_suspects);
  for (size_t first = 0, next; first < n_ordered; first = next)
    {
      next = first;
      while (next < n_ordered
             && compare_strength (order[first], order[next]) == 0)
        next++;
      judge_equals (&order[first], next - first, explained);
    }
  free (order);
  free (explained);
}
