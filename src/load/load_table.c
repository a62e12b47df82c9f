#include "load/load_table.h"

#include <stdlib.h>
#include <string.h>

void
load_table_clear (load_table_t *table)
{
  free (table->entries);
  *table = (load_table_t){ 0 };
}

/* The position of SERVER's entry, or the one where it belongs.  */
static size_t
position (const load_table_t *table, uint32_t server)
{
  size_t low = 0;
  size_t high = table->n;
  while (low < high)
    {
      size_t middle = low + (high - low) / 2;
      if (table->entries[middle].report.server < server)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static void
insert_at (load_table_t *table, size_t at)
{
  if (table->n == table->n_allocated)
    {
      table->n_allocated = 2 * table->n_allocated + 64;
      table->entries = realloc (table->entries,
                                table->n_allocated * sizeof *table->entries);
      if (!table->entries)
        abort ();
    }
  memmove (&table->entries[at + 1], &table->entries[at],
           (table->n - at) * sizeof *table->entries);
  table->n++;
}

bool
load_table_put (load_table_t *table, const load_report_t *report)
{
  size_t at = position (table, report->server);
  bool is_known
      = at < table->n && table->entries[at].report.server == report->server;
  if (is_known && report->at <= table->entries[at].report.at)
    return false;
  if (!is_known && table->n == LOAD_SERVERS_MAX)
    return false;
  if (!is_known)
    insert_at (table, at);
  table->entries[at]
      = (load_entry_t){ .report = *report, .change = ++table->n_changes };
  return true;
}

static int
compare_newest (const void *a, const void *b)
{
  usec_t left = ((const load_report_t *)a)->at;
  usec_t right = ((const load_report_t *)b)->at;
  return left > right ? -1 : left < right;
}

static int
compare_servers (const void *a, const void *b)
{
  uint32_t left = ((const load_report_t *)a)->server;
  uint32_t right = ((const load_report_t *)b)->server;
  return left < right ? -1 : left > right;
}

static bool
is_wanted (const load_entry_t *entry, uint64_t after, usec_t since)
{
  return entry->change > after && entry->report.at > since;
}

/* The newest MAX of the wanted entries, of which there are N.  */
static void
write_newest (const load_table_t *table, uint64_t after, usec_t since,
              size_t n, load_report_t *reports, size_t max)
{
  load_report_t *all = calloc (n, sizeof *all);
  if (!all)
    abort ();
  size_t n_all = 0;
  for (size_t i = 0; i < table->n; i++)
    if (is_wanted (&table->entries[i], after, since))
      all[n_all++] = table->entries[i].report;
  qsort (all, n_all, sizeof *all, compare_newest);
  memcpy (reports, all, max * sizeof *all);
  free (all);
  qsort (reports, max, sizeof *reports, compare_servers);
}

size_t
load_table_changed (const load_table_t *table, uint64_t after, usec_t since,
                    load_report_t *reports, size_t max)
{
  size_t n = 0;
  for (size_t i = 0; i < table->n; i++)
    {
      if (!is_wanted (&table->entries[i], after, since))
        continue;
      if (n < max)
        reports[n] = table->entries[i].report;
      n++;
    }
  if (n <= max)
    return n;
  write_newest (table, after, since, n, reports, max);
  return max;
}

void
load_table_expire (load_table_t *table, usec_t since)
{
  size_t n = 0;
  for (size_t i = 0; i < table->n; i++)
    if (table->entries[i].report.at >= since)
      table->entries[n++] = table->entries[i];
  table->n = n;
}
