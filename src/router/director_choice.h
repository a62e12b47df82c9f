/* director_choice: which director a router asks next.

   Each known director is asked once, and then the one with the shortest round
   trip, which is normally in the router's own failure domain.  One that failed
   or was stale is avoided for a while, if there are others.  No I/O and no
   clock; times are usec of the monotonic clock.  */

#ifndef ROUTER_DIRECTOR_CHOICE_H
#define ROUTER_DIRECTOR_CHOICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fleet/fleet_defs.h"
#include "settings/fleet_settings.h"

enum
{
  KNOWN_DIRECTORS_MAX = FLEET_DIRECTORS_MAX + FLEET_SEEDS_MAX,
};

typedef struct known_director
{
  uint32_t address;
  usec_t round_trip; /* the shortest one; 0: none measured */
  usec_t avoid_until;
} known_director_t;

/* All zero at first.  */
typedef struct director_choice
{
  size_t n_directors;
  known_director_t directors[KNOWN_DIRECTORS_MAX];
  size_t last; /* index of the director that was chosen last */
} director_choice_t;

/* Add the director at ADDRESS.  If there is no room, it replaces the one that
   failed last, but not the one that was chosen last.  */
void director_choice_add (director_choice_t *choice, uint32_t address);

/* Add the seeds of SETTINGS, beginning with director_choice_first_seed.  */
void director_choice_add_seeds (director_choice_t *choice,
                                const fleet_settings_t *settings);

/* The index of the seed that the router at OWN_ADDRESS asks first, of N_SEEDS.
   Routers that start at once would otherwise all ask the same director for the
   whole list.  */
size_t director_choice_first_seed (const char *own_address, size_t n_seeds);

/* Choose a director; there must be one.  Returns its address.  */
uint32_t director_choice_next (director_choice_t *choice, usec_t now);

/* The director that was chosen last answered after ROUND_TRIP.  */
void director_choice_answered (director_choice_t *choice, usec_t round_trip);

/* Avoid the director that was chosen last for a while.  */
void director_choice_avoid (director_choice_t *choice, usec_t now);

#endif
