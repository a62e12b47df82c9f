#include "fleet/reopened_domains.h"

#include <string.h>

#include "base/name.h"

/* The item of the domain NAME, or NULL.  */
static const reopened_domain_t *
find_item (const reopened_domains_t *set, const char *name)
{
  for (size_t i = 0; i < set->n; i++)
    if (strcmp (set->items[i].name.text, name) == 0)
      return &set->items[i];
  return NULL;
}

/* The index of a new item; that of the oldest one if SET is full.  */
static size_t
allocate_item (reopened_domains_t *set)
{
  if (set->n < REOPENED_DOMAINS_MAX)
    return set->n++;
  size_t oldest = 0;
  for (size_t i = 1; i < set->n; i++)
    if (set->items[i].at < set->items[oldest].at)
      oldest = i;
  return oldest;
}

void
reopened_domains_add (reopened_domains_t *set, const name_t *name, usec_t at)
{
  const reopened_domain_t *known = find_item (set, name->text);
  size_t index = known ? (size_t)(known - set->items) : allocate_item (set);
  set->items[index] = (reopened_domain_t){ .name = *name, .at = at };
}

void
reopened_domains_add_ended (reopened_domains_t *set, const name_t *before,
                            size_t n_before, const name_t *after,
                            size_t n_after, usec_t at)
{
  for (size_t i = 0; i < n_before; i++)
    if (name_find (after, n_after, before[i].text) == n_after)
      reopened_domains_add (set, &before[i], at);
}

bool
reopened_domains_expire (reopened_domains_t *set, usec_t before)
{
  size_t n_kept = 0;
  size_t n = set->n;
  for (size_t i = 0; i < n; i++)
    if (set->items[i].at >= before)
      set->items[n_kept++] = set->items[i];
  set->n = n_kept;
  return n_kept < n;
}

usec_t
reopened_domains_ended_at (const reopened_domains_t *set, const char *domain)
{
  const reopened_domain_t *item = find_item (set, domain);
  return item ? item->at : 0;
}
