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

static bool
contains (const uint32_t *addresses, size_t n, uint32_t address)
{
  for (size_t i = 0; i < n; i++)
    if (addresses[i] == address)
      return true;
  return false;
}

static bool
is_seed (const roster_bootstrap_t *bootstrap, uint32_t address)
{
  return contains (bootstrap->seeds, bootstrap->n_seeds, address);
}

void
roster_bootstrap_init (roster_bootstrap_t *bootstrap, uint32_t own_address,
                       const uint32_t *seeds, size_t n_seeds,
                       bool is_first_start, usec_t now)
{
  *bootstrap
      = (roster_bootstrap_t){ .own_address = own_address,
                              .is_coordinator = is_first_start && n_seeds > 0,
                              .started_at = now,
                              .last_announced_at = now,
                              .n_announced = 1,
                              .announced = { own_address } };
  for (size_t i = 0; i < n_seeds && i < ROSTER_MAX; i++)
    {
      bootstrap->seeds[bootstrap->n_seeds++] = seeds[i];
      bootstrap->is_coordinator
          = bootstrap->is_coordinator && own_address <= seeds[i];
    }
  bootstrap->is_coordinator
      = bootstrap->is_coordinator && is_seed (bootstrap, own_address);
}

static bool
has_announced (const roster_bootstrap_t *bootstrap, uint32_t address)
{
  return contains (bootstrap->announced, bootstrap->n_announced, address);
}

/* The roster is not created without all seeds.  */
static void
replace_by_seed (roster_bootstrap_t *bootstrap, uint32_t seed, usec_t now)
{
  for (size_t i = bootstrap->n_announced; i-- > 0;)
    if (!is_seed (bootstrap, bootstrap->announced[i]))
      {
        bootstrap->announced[i] = seed;
        bootstrap->last_announced_at = now;
        return;
      }
}

bool
roster_bootstrap_add (roster_bootstrap_t *bootstrap, uint32_t address,
                      usec_t now)
{
  if (has_announced (bootstrap, address))
    return true;
  if (bootstrap->n_announced == ROSTER_MAX)
    {
      if (is_seed (bootstrap, address))
        replace_by_seed (bootstrap, address, now);
      return false;
    }
  bootstrap->announced[bootstrap->n_announced++] = address;
  bootstrap->last_announced_at = now;
  return true;
}

static int
compare_addresses (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;
  return (x > y) - (x < y);
}

bool
roster_bootstrap_tick (const roster_bootstrap_t *bootstrap, usec_t now,
                       roster_t *roster)
{
  if (!bootstrap->is_coordinator
      || now < bootstrap->started_at + ROSTER_BOOTSTRAP_DELAY
      || now < bootstrap->last_announced_at + ROSTER_BOOTSTRAP_QUIET_TIME)
    return false;
  for (size_t i = 0; i < bootstrap->n_seeds; i++)
    if (!has_announced (bootstrap, bootstrap->seeds[i]))
      return false;
  roster->n_slots = bootstrap->n_announced;
  memcpy (roster->addresses, bootstrap->announced, sizeof roster->addresses);
  qsort (roster->addresses, roster->n_slots, sizeof roster->addresses[0],
         compare_addresses);
  return true;
}

slot_t
roster_find_free_slot (const roster_t *roster, const usec_t *silence,
                       slot_t wanted)
{
  if (wanted < roster->n_slots && silence[wanted] >= ROSTER_SLOT_TIMEOUT)
    return wanted;
  slot_t best = SLOT_NONE;
  for (size_t i = 0; i < roster->n_slots; i++)
    if (silence[i] >= ROSTER_SLOT_TIMEOUT
        && (best == SLOT_NONE || silence[i] > silence[best]))
      best = (slot_t)i;
  return best;
}
