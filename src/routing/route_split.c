#include "routing/route_split.h"

#include <stdlib.h>

/* Returns N zeroed elements and one more, which terminates a list of
   pointers.  */
static void *
allocate (size_t n, size_t size)
{
  void *block = calloc (n + 1, size);
  if (!block)
    abort ();
  return block;
}

route_split_t *
route_split_new (const route_config_t *config)
{
  route_split_t *split = allocate (1, sizeof *split);
  split->config = config;
  if (!config)
    return split;
  split->credits = allocate (config->n_routes, sizeof (double *));
  for (size_t i = 0; i < config->n_routes; i++)
    split->credits[i] = allocate (config->routes[i].n_shares, sizeof (double));
  return split;
}

void
route_split_free (route_split_t *split)
{
  if (!split)
    return;
  for (size_t i = 0; split->credits && split->credits[i]; i++)
    free (split->credits[i]);
  free (split->credits);
  free (split);
}

size_t
route_split_next (route_split_t *split, const route_t *route)
{
  double *credit = split->credits[route - split->config->routes];
  double sum = 0;
  size_t best = 0;
  for (size_t i = 0; i < route->n_shares; i++)
    {
      credit[i] += route->shares[i].weight;
      sum += route->shares[i].weight;
      if (credit[i] > credit[best])
        best = i;
    }
  credit[best] -= sum;
  return best;
}
