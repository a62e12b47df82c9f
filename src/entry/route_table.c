#include "entry/route_table.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "shift/sheet.h"

struct route_table
{
  pthread_rwlock_t lock; /* guards the sheet */
  sheet_t *sheet;
  entry_metrics_t *metrics; /* NULL: none */
};

route_table_t *
route_table_new (void)
{
  route_table_t *table = calloc (1, sizeof *table);
  if (!table)
    abort ();
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

size_t
route_table_copy (route_table_t *table, backend_t **backends,
                  uint64_t *version)
{
  pthread_rwlock_rdlock (&table->lock);
  const sheet_t *sheet = table->sheet;
  size_t n = sheet ? sheet->n_backends : 0;
  *version = sheet ? sheet->number : 0;
  *backends = calloc (n + 1, sizeof **backends);
  if (!*backends)
    abort ();
  if (n > 0)
    memcpy (*backends, sheet->backends, n * sizeof **backends);
  pthread_rwlock_unlock (&table->lock);
  return n;
}
