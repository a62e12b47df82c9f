#include "load/load_table.h"

#include <stdlib.h>
#include <string.h>

#include "base/sorted_array.h"

void
load_table_clear (load_table_t *table)
{
  free (table->entries);
  *table = (load_table_t){ 0 };
}

bool
load_table_put (load_table_t *table, const load_report_t *report)
{
  size_t at = sorted_array_position (table->entries, table->n,
                                     sizeof *table->entries, report->server);
  bool is_known
      = at < table->n && table->entries[at].report.server == report->server;
  if (is_known && report->at <= table->entries[at].report.at)
    return false;
  if (!is_known && table->n == LOAD_SERVERS_MAX)
    return false;
  if (!is_known)
    sorted_array_insert ((void **)&table->entries, &table->n,
                         &table->n_allocated, sizeof *table->entries, at);
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
  qsort (reports, max, sizeof *reports, sorted_array_compare);
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
