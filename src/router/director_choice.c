#include "router/director_choice.h"

#include "base/inet.h"

/* A director that failed or was stale is not asked again for this long, if
   there are others.  */
#define AVOID_TIME (3 * USEC_PER_SEC)

static bool
knows_director (const director_choice_t *choice, uint32_t address)
{
  for (size_t i = 0; i < choice->n_directors; i++)
    if (choice->directors[i].address == address)
      return true;
  return false;
}

/* The index of the director to be replaced if there is no room for another: of
   those that the last pull was not sent to, the one that failed last.  */
static size_t
find_replaceable_director (const director_choice_t *choice)
{
  size_t best = 0;
  for (size_t i = 0; i < choice->n_directors; i++)
    if (i != choice->last
        && (best == choice->last
            || choice->directors[i].avoid_until
                   > choice->directors[best].avoid_until))
      best = i;
  return best;
}

void
director_choice_add (director_choice_t *choice, uint32_t address)
{
  if (knows_director (choice, address))
    return;
  size_t at = choice->n_directors < KNOWN_DIRECTORS_MAX
                  ? choice->n_directors++
                  : find_replaceable_director (choice);
  choice->directors[at] = (known_director_t){ .address = address };
}

size_t
director_choice_first_seed (const char *own_address, size_t n_seeds)
{
  uint32_t address = 0;
  inet_parse_address (&address, own_address);
  return n_seeds > 0 ? address % n_seeds : 0;
}

void
director_choice_add_seeds (director_choice_t *choice,
                           const fleet_settings_t *settings)
{
  size_t n = settings->n_seeds;
  size_t first = director_choice_first_seed (settings->address, n);
  for (size_t i = 0; i < n; i++)
    director_choice_add (choice, settings->seeds[(first + i) % n].address);
}

/* The index of the director for the next pull: the one with the shortest round
   trip that is not avoided, where one not measured yet counts as shortest; if
   all are avoided, the one whose avoidance ends first.  */
static size_t
find_best (const director_choice_t *choice, usec_t now)
{
  size_t best = 0;
  for (size_t i = 0; i < choice->n_directors; i++)
    {
      const known_director_t *director = &choice->directors[i];
      const known_director_t *other = &choice->directors[best];
      bool is_avoided = now < director->avoid_until;
      bool other_avoided = now < other->avoid_until;
      bool is_better = is_avoided != other_avoided ? other_avoided
                       : is_avoided
                           ? director->avoid_until < other->avoid_until
                           : director->round_trip < other->round_trip;
      if (is_better)
        best = i;
    }
  return best;
}

uint32_t
director_choice_next (director_choice_t *choice, usec_t now)
{
  choice->last = find_best (choice, now);
  return choice->directors[choice->last].address;
}

void
director_choice_answered (director_choice_t *choice, usec_t round_trip)
{
  known_director_t *director = &choice->directors[choice->last];
  if (director->round_trip == 0 || round_trip < director->round_trip)
    director->round_trip = round_trip;
}

void
director_choice_avoid (director_choice_t *choice, usec_t now)
{
  choice->directors[choice->last].avoid_until = now + AVOID_TIME;
}
