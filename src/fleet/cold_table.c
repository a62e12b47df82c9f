#include "fleet/cold_table.h"

#include <stdlib.h>
#include <string.h>

#include "base/sorted_array.h"

void
cold_table_clear (cold_table_t *table)
{
  free (table->entries);
  *table = (cold_table_t){ 0 };
}

static cold_entry_t *
find_entry (const cold_table_t *table, uint64_t server)
{
  return sorted_array_find (table->entries, table->n, sizeof *table->entries,
                            server);
}

/* A router has seen what was relayed to ENTRY.  */
static void
confirm (cold_table_t *table, cold_entry_t *entry, const cold_report_t *report,
         bool is_direct)
{
  if (!is_direct || entry->is_direct
      || report->until < entry->report.until - COLD_TOLERANCE)
    return;
  entry->is_direct = true;
  entry->change = ++table->n_changes;
}

bool
cold_table_put (cold_table_t *table, const cold_report_t *report,
                bool is_direct)
{
  cold_entry_t *known = find_entry (table, report->server);
  if (known && report->until <= known->report.until + COLD_TOLERANCE)
    {
      confirm (table, known, report, is_direct);
      return false;
    }
  if (!known && table->n == COLD_SERVERS_MAX)
    return false;
  size_t at = sorted_array_position (table->entries, table->n,
                                     sizeof *table->entries, report->server);
  if (!known)
    sorted_array_insert ((void **)&table->entries, &table->n,
                         &table->n_allocated, sizeof *table->entries, at);
  table->entries[at] = (cold_entry_t){ .report = *report,
                                       .is_direct = is_direct,
                                       .change = ++table->n_changes };
  return true;
}

usec_t
cold_table_until (const cold_table_t *table, uint64_t server)
{
  const cold_entry_t *entry = find_entry (table, server);
  return entry ? entry->report.until : 0;
}

/* Whether ENTRY is in force and its change not known.  */
static bool
is_news (const cold_entry_t *entry, const cold_query_t *query)
{
  return entry->change > query->after && entry->report.until > query->now;
}

static bool
is_left_out (const cold_entry_t *entry, const cold_query_t *query)
{
  return query->only_direct && !entry->is_direct;
}

static int
compare_changes (const void *a, const void *b)
{
  uint64_t left = (*(const cold_entry_t *const *)a)->change;
  uint64_t right = (*(const cold_entry_t *const *)b)->change;
  return left < right ? -1 : left > right;
}

size_t
cold_table_changed (const cold_table_t *table, const cold_query_t *query,
                    cold_report_t *reports, size_t max, uint64_t *known)
{
  *known = table->n_changes;
  if (query->after >= table->n_changes)
    return 0;
  const cold_entry_t **wanted = calloc (table->n + 1, sizeof (cold_entry_t *));
  if (!wanted)
    abort ();
  size_t n = 0;
  for (size_t i = 0; i < table->n; i++)
    {
      const cold_entry_t *entry = &table->entries[i];
      if (!is_news (entry, query))
        continue;
      if (!is_left_out (entry, query))
        wanted[n++] = entry;
      else if (entry->change <= *known)
        *known = entry->change - 1;
    }
  qsort (wanted, n, sizeof (cold_entry_t *), compare_changes);
  if (n > max)
    {
      n = max;
      uint64_t last = n > 0 ? wanted[n - 1]->change : query->after;
      *known = last < *known ? last : *known;
    }
  for (size_t i = 0; i < n; i++)
    reports[i] = wanted[i]->report;
  free (wanted);
  return n;
}

void
cold_table_expire (cold_table_t *table, usec_t now)
{
  size_t n = 0;
  for (size_t i = 0; i < table->n; i++)
    if (table->entries[i].report.until > now)
      table->entries[n++] = table->entries[i];
  table->n = n;
}
