#include "entry/route_table.h"

#include <pthread.h>
#include <stdlib.h>

#include "placement/topology.h"
#include "shift/sheet.h"

struct route_table
{
  const topology_t *topology;
  vm_id_t self;
  pthread_rwlock_t lock; /* guards the sheet */
  sheet_t *sheet;
  _Atomic size_t turn;
  entry_metrics_t *metrics; /* NULL: none */
};

route_table_t *
route_table_new (const topology_t *topology, vm_id_t self)
{
  route_table_t *table = calloc (1, sizeof *table);
  if (!table)
    abort ();
  table->topology = topology;
  table->self = self;
  pthread_rwlock_init (&table->lock, NULL);
  return table;
}

void
route_table_watch (route_table_t *table, entry_metrics_t *metrics)
{
  table->metrics = metrics;
}

void
route_table_free (route_table_t *table)
{
  sheet_free (table->sheet);
  pthread_rwlock_destroy (&table->lock);
  free (table);
}

bool
route_table_apply (route_table_t *table, sheet_t *sheet)
{
  pthread_rwlock_wrlock (&table->lock);
  bool newer = !table->sheet || sheet->number > table->sheet->number;
  sheet_t *old = newer ? table->sheet : sheet;
  if (newer)
    table->sheet = sheet;
  if (newer && table->metrics)
    entry_metrics_sheet (table->metrics, sheet->number);
  pthread_rwlock_unlock (&table->lock);
  sheet_free (old);
  return newer;
}

uint64_t
route_table_version (route_table_t *table)
{
  pthread_rwlock_rdlock (&table->lock);
  uint64_t version = table->sheet ? table->sheet->number : 0;
  pthread_rwlock_unlock (&table->lock);
  return version;
}

/* How far away BACKEND is: 0 in the own failure domain, 1 in the own region,
   2 elsewhere; 3 where it takes no new work for SERVICE.  */
static int
distance (const route_table_t *table, const backend_t *backend,
          service_id_t service)
{
  if (backend->service != service || backend->state == BACKEND_LEAVING
      || backend->state == BACKEND_STOPPING)
    return 3;
  const topology_t *topology = table->topology;
  domain_id_t home = topology->vms[table->self].domain;
  if (backend->domain == home)
    return 0;
  return topology->domains[backend->domain].region
                 == topology->domains[home].region
             ? 1
             : 2;
}

bool
route_table_pick (route_table_t *table, service_id_t service,
                  backend_t *backend)
{
  int best = 3;
  size_t turn = table->turn++;
  pthread_rwlock_rdlock (&table->lock);
  const sheet_t *sheet = table->sheet;
  for (size_t i = 0; sheet && i < sheet->n_backends; i++)
    {
      const backend_t *at = &sheet->backends[(turn + i) % sheet->n_backends];
      int far = distance (table, at, service);
      if (far >= best)
        continue;
      best = far;
      *backend = *at;
    }
  pthread_rwlock_unlock (&table->lock);
  return best < 3;
}
