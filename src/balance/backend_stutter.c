#include "balance/backend_stutter.h"

#include <stdio.h>

static size_t
find_position (const backend_stutters_t *stutters, uint64_t boot)
{
  size_t i = 0;
  while (i < stutters->n && stutters->items[i].boot != boot)
    i++;
  return i;
}

static size_t
find_oldest (const backend_stutters_t *stutters)
{
  size_t oldest = 0;
  for (size_t i = 1; i < stutters->n; i++)
    if (stutters->items[i].seen_at < stutters->items[oldest].seen_at)
      oldest = i;
  return oldest;
}

static bool
has_ended (const backend_stutter_t *stutter, usec_t now)
{
  return now - stutter->seen_at >= BACKEND_STUTTER_TIME;
}

bool
backend_stutters_note (backend_stutters_t *stutters, uint64_t boot,
                       const char *id, usec_t now)
{
  size_t at = find_position (stutters, boot);
  bool is_new = at == stutters->n;
  if (is_new && stutters->n < BACKEND_STUTTERS_MAX)
    stutters->n++;
  else if (is_new)
    at = find_oldest (stutters);
  backend_stutter_t *stutter = &stutters->items[at];
  if (is_new)
    {
      *stutter = (backend_stutter_t){ .boot = boot, .began_at = now };
      snprintf (stutter->id, sizeof stutter->id, "%s", id);
    }
  stutter->seen_at = now;
  stutter->n_seen++;
  return is_new;
}

bool
backend_stutters_contain (const backend_stutters_t *stutters, uint64_t boot,
                          usec_t now)
{
  size_t at = find_position (stutters, boot);
  return at < stutters->n && !has_ended (&stutters->items[at], now);
}

bool
backend_stutters_take_ended (backend_stutters_t *stutters, usec_t now,
                             backend_stutter_t *ended)
{
  for (size_t i = 0; i < stutters->n; i++)
    if (has_ended (&stutters->items[i], now))
      {
        *ended = stutters->items[i];
        stutters->items[i] = stutters->items[--stutters->n];
        return true;
      }
  return false;
}
