#include "router/view.h"

#include <stdlib.h>

#include "fleet/backend_list.h"
#include "routing/route_config.h"

shared_config_t *
shared_config_new (route_config_t *config)
{
  shared_config_t *shared = calloc (1, sizeof *shared);
  if (!shared)
    abort ();
  atomic_init (&shared->references, 1);
  shared->config = config;
  return shared;
}

shared_config_t *
shared_config_ref (shared_config_t *shared)
{
  if (shared)
    atomic_fetch_add (&shared->references, 1);
  return shared;
}

void
shared_config_unref (shared_config_t *shared)
{
  if (!shared || atomic_fetch_sub (&shared->references, 1) > 1)
    return;
  route_config_free (shared->config);
  free (shared);
}

view_t *
view_new (void)
{
  view_t *view = calloc (1, sizeof *view);
  if (!view)
    abort ();
  atomic_init (&view->references, 1);
  return view;
}

view_t *
view_ref (view_t *view)
{
  atomic_fetch_add (&view->references, 1);
  return view;
}

void
view_unref (view_t *view)
{
  if (!view || atomic_fetch_sub (&view->references, 1) > 1)
    return;
  shared_config_unref (view->shared);
  backend_list_clear (&view->list);
  free (view->evacuated);
  free (view->routers);
  free (view);
}
