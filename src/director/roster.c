#include "director/roster.h"

#include <stdlib.h>
#include <string.h>

slot_t
roster_slot (const roster_t *roster, uint32_t address)
{
  for (size_t i = 0; i < roster->n_slots; i++)
    if (roster->addresses[i] == address)
      return (slot_t)i;
  return SLOT_NONE;
}

bool
roster_equal (const roster_t *a, const roster_t *b)
{
  return a->n_slots == b->n_slots
         && memcmp (a->addresses, b->addresses, sizeof a->addresses) == 0;
}

void
roster_former_init (roster_former_t *former, uint32_t self,
                    const uint32_t *seeds, size_t n_seeds, bool is_first,
                    usec_t now)
{
  *former = (roster_former_t){ .self = self,
                               .is_former = is_first && n_seeds > 0,
                               .started_at = now,
                               .changed_at = now,
                               .n_heard = 1,
                               .heard = { self } };
  for (size_t i = 0; i < n_seeds && i < ROSTER_MAX; i++)
    {
      former->seeds[former->n_seeds++] = seeds[i];
      former->is_former = former->is_former && self <= seeds[i];
    }
  bool is_seed = false;
  for (size_t i = 0; i < former->n_seeds; i++)
    is_seed = is_seed || former->seeds[i] == self;
  former->is_former = former->is_former && is_seed;
}

static bool
has_heard (const roster_former_t *former, uint32_t address)
{
  for (size_t i = 0; i < former->n_heard; i++)
    if (former->heard[i] == address)
      return true;
  return false;
}

void
roster_former_hear (roster_former_t *former, uint32_t address, usec_t now)
{
  if (has_heard (former, address) || former->n_heard == ROSTER_MAX)
    return;
  former->heard[former->n_heard++] = address;
  former->changed_at = now;
}

static int
compare_addresses (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;
  return (x > y) - (x < y);
}

bool
roster_former_tick (const roster_former_t *former, usec_t now,
                    roster_t *roster)
{
  if (!former->is_former || now < former->started_at + ROSTER_FORM_AFTER
      || now < former->changed_at + ROSTER_FORM_QUIET)
    return false;
  for (size_t i = 0; i < former->n_seeds; i++)
    if (!has_heard (former, former->seeds[i]))
      return false;
  roster->n_slots = former->n_heard;
  memcpy (roster->addresses, former->heard, sizeof roster->addresses);
  qsort (roster->addresses, roster->n_slots, sizeof roster->addresses[0],
         compare_addresses);
  return true;
}

slot_t
roster_free_slot (const roster_t *roster, const usec_t *silence, slot_t wanted)
{
  if (wanted < roster->n_slots && silence[wanted] >= ROSTER_CLAIM_SILENCE)
    return wanted;
  slot_t best = SLOT_NONE;
  for (size_t i = 0; i < roster->n_slots; i++)
    if (silence[i] >= ROSTER_CLAIM_SILENCE
        && (best == SLOT_NONE || silence[i] > silence[best]))
      best = (slot_t)i;
  return best;
}
