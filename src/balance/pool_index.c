/* Index of the backend servers by service, and by their id in load reports.

   Load pattern: hundreds of backend servers, while the router may use a tenth
   of a CPU core.  With the index, a request examines only the backend servers
   of its own service.  */

#include "balance/pool_internal.h"

#include <stdlib.h>
#include <string.h>

static pool_service_t *
find_service (const backend_pool_t *pool, const char *name)
{
  for (size_t i = 0; i < pool->n_services; i++)
    if (strcmp (pool->services[i].name.text, name) == 0)
      return &pool->services[i];
  return NULL;
}

const pool_service_t *
pool_index_find (const backend_pool_t *pool, const char *service)
{
  static const pool_service_t none = { .n = 0 };
  const pool_service_t *found = find_service (pool, service);
  return found ? found : &none;
}

static pool_service_t *
add_service (backend_pool_t *pool, const name_t *name)
{
  pool->services = realloc (pool->services,
                            (pool->n_services + 1) * sizeof *pool->services);
  if (!pool->services)
    abort ();
  pool_service_t *service = &pool->services[pool->n_services++];
  *service = (pool_service_t){ .name = *name };
  return service;
}

/* Doubles the array when its length is 0 or a power of two, that is, when it
   is full.  */
static void
add_backend (pool_service_t *service, backend_t *backend)
{
  if ((service->n & (service->n - 1)) == 0)
    {
      size_t capacity = service->n ? 2 * service->n : 1;
      service->backends
          = realloc (service->backends, capacity * sizeof (backend_t *));
      if (!service->backends)
        abort ();
    }
  service->backends[service->n++] = backend;
}

static int
compare_load_ids (const void *a, const void *b)
{
  uint32_t left = (*(backend_t *const *)a)->load_id;
  uint32_t right = (*(backend_t *const *)b)->load_id;
  return left < right ? -1 : left > right;
}

static void
index_load_ids (backend_pool_t *pool)
{
  size_t n = 0;
  LIST_FOREACH (link, &pool->backends)
  n++;
  pool->by_load_id = calloc (n + 1, sizeof (backend_t *));
  if (!pool->by_load_id)
    abort ();
  LIST_FOREACH (link, &pool->backends)
  pool->by_load_id[pool->n_by_load_id++] = LIST_ENTRY (link, backend_t, link);
  qsort (pool->by_load_id, n, sizeof (backend_t *), compare_load_ids);
}

void
pool_index_clear (backend_pool_t *pool)
{
  free (pool->by_load_id);
  pool->by_load_id = NULL;
  pool->n_by_load_id = 0;
  for (size_t i = 0; i < pool->n_services; i++)
    free (pool->services[i].backends);
  free (pool->services);
  pool->services = NULL;
  pool->n_services = 0;
}

void
pool_index_rebuild (backend_pool_t *pool)
{
  pool_index_clear (pool);
  LIST_FOREACH (link, &pool->backends)
  {
    backend_t *backend = LIST_ENTRY (link, backend_t, link);
    const name_t *name = &backend->record.service;
    pool_service_t *service = find_service (pool, name->text);
    add_backend (service ? service : add_service (pool, name), backend);
  }
  index_load_ids (pool);
}

static void
remove_load_id (backend_pool_t *pool, const backend_t *backend)
{
  size_t n = 0;
  for (size_t i = 0; i < pool->n_by_load_id; i++)
    if (pool->by_load_id[i] != backend)
      pool->by_load_id[n++] = pool->by_load_id[i];
  pool->n_by_load_id = n;
}

void
pool_index_remove (backend_pool_t *pool, const backend_t *backend)
{
  pool_service_t *service = find_service (pool, backend->record.service.text);
  remove_load_id (pool, backend);
  for (size_t i = 0; service && i < service->n; i++)
    if (service->backends[i] == backend)
      {
        service->backends[i] = service->backends[--service->n];
        return;
      }
}
