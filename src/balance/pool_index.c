/* Index of the backend servers by service, by their id in load reports, and by
   the hash of their id.

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

static int
compare_id_hashes (const void *a, const void *b)
{
  uint64_t left = (*(backend_t *const *)a)->id_hash;
  uint64_t right = (*(backend_t *const *)b)->id_hash;
  return left < right ? -1 : left > right;
}

/* All N backend servers in the order of COMPARE, malloc'd.  */
static backend_t **
sorted_backends (const backend_pool_t *pool, size_t n,
                 int (*compare) (const void *a, const void *b))
{
  size_t at = 0;
  backend_t **backends = calloc (n + 1, sizeof (backend_t *));
  if (!backends)
    abort ();
  LIST_FOREACH (link, &pool->backends)
  backends[at++] = LIST_ENTRY (link, backend_t, link);
  qsort (backends, n, sizeof (backend_t *), compare);
  return backends;
}

static void
index_ids (backend_pool_t *pool)
{
  size_t n = 0;
  LIST_FOREACH (link, &pool->backends)
  n++;
  pool->by_load_id = sorted_backends (pool, n, compare_load_ids);
  pool->by_id_hash = sorted_backends (pool, n, compare_id_hashes);
  pool->n_by_id = n;
}

backend_t *
pool_index_find_id (const backend_pool_t *pool, uint64_t id_hash)
{
  if (pool->n_by_id == 0)
    return NULL;
  const backend_t wanted = { .id_hash = id_hash };
  const backend_t *key = &wanted;
  backend_t **found = bsearch (&key, pool->by_id_hash, pool->n_by_id,
                               sizeof (backend_t *), compare_id_hashes);
  return found ? *found : NULL;
}

void
pool_index_clear (backend_pool_t *pool)
{
  free (pool->by_load_id);
  free (pool->by_id_hash);
  pool->by_load_id = NULL;
  pool->by_id_hash = NULL;
  pool->n_by_id = 0;
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
  index_ids (pool);
}

/* Remove BACKEND from the N at BACKENDS.  */
static void
remove_from (backend_t **backends, size_t n, const backend_t *backend)
{
  size_t n_kept = 0;
  for (size_t i = 0; i < n; i++)
    if (backends[i] != backend)
      backends[n_kept++] = backends[i];
}

void
pool_index_remove (backend_pool_t *pool, const backend_t *backend)
{
  pool_service_t *service = find_service (pool, backend->record.service.text);
  remove_from (pool->by_load_id, pool->n_by_id, backend);
  remove_from (pool->by_id_hash, pool->n_by_id, backend);
  pool->n_by_id--;
  for (size_t i = 0; service && i < service->n; i++)
    if (service->backends[i] == backend)
      {
        service->backends[i] = service->backends[--service->n];
        return;
      }
}
