#include "control/accepted_sheet.h"

#include <pthread.h>
#include <stdlib.h>

struct accepted_sheet
{
  pthread_mutex_t lock; /* guards all other members */
  version_store_t *store;
  version_table_t *table;
  usec_t confirmed_at;
  bool is_confirmed;
};

accepted_sheet_t *
accepted_sheet_new (size_t n_vms)
{
  accepted_sheet_t *accepted = calloc (1, sizeof *accepted);
  if (!accepted)
    abort ();
  pthread_mutex_init (&accepted->lock, NULL);
  accepted->store = version_store_new ();
  accepted->table = version_table_new (n_vms);
  return accepted;
}

void
accepted_sheet_free (accepted_sheet_t *accepted)
{
  if (!accepted)
    return;
  version_store_free (accepted->store);
  version_table_free (accepted->table);
  pthread_mutex_destroy (&accepted->lock);
  free (accepted);
}

void
accepted_sheet_put (accepted_sheet_t *accepted, const sheet_record_t *record,
                    const char *text, size_t length)
{
  text_t copy = text_copy (text, length);
  pthread_mutex_lock (&accepted->lock);
  version_store_put (accepted->store, record->number, &copy);
  pthread_mutex_unlock (&accepted->lock);
}

void
accepted_sheet_confirm (accepted_sheet_t *accepted, usec_t at)
{
  pthread_mutex_lock (&accepted->lock);
  accepted->confirmed_at = at;
  accepted->is_confirmed = true;
  pthread_mutex_unlock (&accepted->lock);
}

uint64_t
accepted_sheet_number (accepted_sheet_t *accepted)
{
  pthread_mutex_lock (&accepted->lock);
  uint64_t number = version_store_version (accepted->store);
  pthread_mutex_unlock (&accepted->lock);
  return number;
}

char *
accepted_sheet_text (accepted_sheet_t *accepted, size_t *length)
{
  pthread_mutex_lock (&accepted->lock);
  const text_t *text = version_store_text (accepted->store);
  char *copy = NULL;
  if (text)
    {
      copy = text_copy (text->bytes, text->length).bytes;
      *length = text->length;
    }
  pthread_mutex_unlock (&accepted->lock);
  return copy;
}

version_answer_t
accepted_sheet_answer_pull (accepted_sheet_t *accepted, usec_t now,
                            uint64_t version, const version_report_t *reports,
                            size_t n_reports)
{
  pthread_mutex_lock (&accepted->lock);
  for (size_t i = 0; i < n_reports; i++)
    version_table_report (accepted->table, now, &reports[i]);
  usec_t freshness = accepted->is_confirmed ? now - accepted->confirmed_at
                                            : FRESHNESS_UNKNOWN;
  version_answer_t answer
      = version_store_answer (accepted->store, version, freshness);
  pthread_mutex_unlock (&accepted->lock);
  return answer;
}

version_row_t
accepted_sheet_row (accepted_sheet_t *accepted, vm_id_t vm)
{
  pthread_mutex_lock (&accepted->lock);
  const version_row_t *found = version_table_row (accepted->table, vm);
  version_row_t row = found ? *found : (version_row_t){ 0 };
  pthread_mutex_unlock (&accepted->lock);
  return row;
}
