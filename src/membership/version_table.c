#include "membership/version_table.h"

#include <stdlib.h>

typedef struct table_entry
{
  version_row_t row;
  bool is_new; /* not returned by version_table_collect yet */
} table_entry_t;

struct version_table
{
  size_t n_vms;
  size_t next_vm; /* VM at which the next version_table_collect begins */
  table_entry_t entries[];
};

version_table_t *
version_table_new (size_t n_vms)
{
  version_table_t *table
      = calloc (1, sizeof *table + n_vms * sizeof table->entries[0]);
  if (!table)
    abort ();
  table->n_vms = n_vms;
  return table;
}

void
version_table_free (version_table_t *table)
{
  free (table);
}

void
version_table_report (version_table_t *table, usec_t now,
                      const version_report_t *report)
{
  if (report->vm >= table->n_vms)
    return;
  table_entry_t *entry = &table->entries[report->vm];
  usec_t heard_at = now - report->heard_age_ms * USEC_PER_MSEC;
  if (entry->row.is_heard && heard_at <= entry->row.heard_at)
    return;
  entry->row = (version_row_t){
    .version = report->version,
    .in_force_at = now - report->in_force_age_ms * USEC_PER_MSEC,
    .heard_at = heard_at,
    .is_heard = true,
  };
  entry->is_new = true;
}

static uint32_t
age_ms (usec_t now, usec_t at)
{
  usec_t ms = (now - at) / USEC_PER_MSEC;
  return ms < 0 ? 0 : (ms > UINT32_MAX ? UINT32_MAX : (uint32_t)ms);
}

size_t
version_table_collect (version_table_t *table, usec_t now, usec_t max_age,
                       version_report_t reports[VERSION_REPORTS_MAX])
{
  size_t n = 0;
  size_t i = 0;
  for (; i < table->n_vms && n < VERSION_REPORTS_MAX; i++)
    {
      size_t vm = (table->next_vm + i) % table->n_vms;
      table_entry_t *entry = &table->entries[vm];
      if (!entry->is_new || now - entry->row.heard_at > max_age)
        continue;
      entry->is_new = false;
      reports[n++] = (version_report_t){
        .vm = (vm_id_t)vm,
        .version = entry->row.version,
        .in_force_age_ms = age_ms (now, entry->row.in_force_at),
        .heard_age_ms = age_ms (now, entry->row.heard_at),
      };
    }
  if (table->n_vms > 0)
    table->next_vm = (table->next_vm + i) % table->n_vms;
  return n;
}

const version_row_t *
version_table_row (const version_table_t *table, vm_id_t vm)
{
  return vm < table->n_vms ? &table->entries[vm].row : NULL;
}
