#include "fleet/backend_list.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

bool
backend_list_add (backend_list_t *list, const backend_record_t *record)
{
  if (list->n_records >= FLEET_BACKENDS_MAX)
    return false;
  if ((list->n_records & (list->n_records - 1)) == 0)
    {
      size_t room = list->n_records ? 2 * list->n_records : 1;
      backend_record_t *grown
          = realloc (list->records, room * sizeof *list->records);
      if (!grown)
        abort ();
      list->records = grown;
    }
  list->records[list->n_records++] = *record;
  return true;
}

void
backend_list_extend_cold_left (backend_list_t *list, size_t first,
                               usec_t elapsed)
{
  for (size_t i = first; i < list->n_records; i++)
    if (list->records[i].cold_left > 0)
      list->records[i].cold_left += elapsed;
}

/* Order by id, and by start time in descending order where ids are equal.  */
static int
compare_records (const void *a, const void *b)
{
  const backend_record_t *x = a;
  const backend_record_t *y = b;
  int order = strcmp (x->id, y->id);
  if (order != 0)
    return order;
  return (x->started_unix_ms < y->started_unix_ms)
         - (x->started_unix_ms > y->started_unix_ms);
}

bool
backend_record_equal (const backend_record_t *a, const backend_record_t *b)
{
  return strcmp (a->id, b->id) == 0
         && strcmp (a->service.text, b->service.text) == 0
         && strcmp (a->domain.text, b->domain.text) == 0
         && inet_equal (&a->address, &b->address)
         && a->is_draining == b->is_draining && a->slots == b->slots
         && (a->cold_left > 0) == (b->cold_left > 0)
         && a->started_unix_ms == b->started_unix_ms
         && a->cold_mark == b->cold_mark;
}

static void
digest_record (XXH3_state_t *state, const backend_record_t *record)
{
  const uint64_t numbers[]
      = { record->address.address,    record->address.port,
          record->is_draining,        record->slots,
          record->cold_left > 0,      (uint64_t)record->started_unix_ms,
          (uint64_t)record->cold_mark };
  XXH3_64bits_update (state, record->id, strlen (record->id) + 1);
  XXH3_64bits_update (state, record->service.text,
                      strlen (record->service.text) + 1);
  XXH3_64bits_update (state, record->domain.text,
                      strlen (record->domain.text) + 1);
  XXH3_64bits_update (state, numbers, sizeof numbers);
}

void
backend_list_finalize (backend_list_t *list)
{
  if (list->n_records > 0)
    qsort (list->records, list->n_records, sizeof *list->records,
           compare_records);
  size_t n = 0;
  for (size_t i = 0; i < list->n_records; i++)
    if (n == 0 || strcmp (list->records[n - 1].id, list->records[i].id) != 0)
      list->records[n++] = list->records[i];
  list->n_records = n;
  XXH3_state_t *state = XXH3_createState ();
  if (!state)
    abort ();
  XXH3_64bits_reset (state);
  for (size_t i = 0; i < n; i++)
    digest_record (state, &list->records[i]);
  list->digest = XXH3_64bits_digest (state) | 1; /* never 0 */
  XXH3_freeState (state);
}

void
backend_list_clear (backend_list_t *list)
{
  free (list->records);
  *list = (backend_list_t){ 0 };
}

void
backend_list_copy (backend_list_t *copy, const backend_list_t *source)
{
  *copy = *source;
  size_t room = 1; /* a power of 2, as backend_list_add relies on */
  while (room < source->n_records)
    room *= 2;
  copy->records = malloc (room * sizeof *copy->records);
  if (!copy->records)
    abort ();
  if (source->n_records > 0)
    memcpy (copy->records, source->records,
            source->n_records * sizeof *copy->records);
}

const backend_record_t *
backend_list_find (const backend_list_t *list, const char *id)
{
  size_t low = 0;
  size_t high = list->n_records;
  while (low < high)
    {
      size_t middle = (low + high) / 2;
      int order = strcmp (list->records[middle].id, id);
      if (order == 0)
        return &list->records[middle];
      if (order < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return NULL;
}

uint64_t
backend_record_boot (const backend_record_t *record)
{
  return XXH3_64bits_withSeed (record->id, strlen (record->id),
                               (XXH64_hash_t)record->started_unix_ms);
}

/* The end of a cold start, computed from two readings, differs by what these
   took.  */
#define COLD_END_TOLERANCE (500 * USEC_PER_MSEC)

void
backend_list_mark_cold (backend_list_t *list, const backend_list_t *before)
{
  for (size_t i = 0; i < list->n_records; i++)
    {
      backend_record_t *record = &list->records[i];
      if (record->cold_left <= 0)
        continue;
      const backend_record_t *known = backend_list_find (before, record->id);
      usec_t end = list->read_at + record->cold_left;
      bool is_same
          = known && known->cold_mark != 0
            && end <= before->read_at + known->cold_left + COLD_END_TOLERANCE;
      record->cold_mark = is_same ? known->cold_mark : end;
    }
  backend_list_finalize (list);
}
