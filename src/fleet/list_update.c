#include "fleet/list_update.h"

#include <stdlib.h>
#include <string.h>

#include "fleet/backend_list.h"
#include "fleet/fleet_wire.h"

/* A delta longer than 1 / full_list_divisor of the packed full list is not
   kept; followers get the full list instead.  */
static const size_t full_list_divisor = 2;

static void
drop_deltas (list_source_t *source, size_t n)
{
  for (size_t i = 0; i < n; i++)
    free (source->deltas[i].packed.bytes);
  source->n_deltas -= n;
  memmove (source->deltas, source->deltas + n,
           source->n_deltas * sizeof source->deltas[0]);
}

static bool
has_cold_backend (const backend_list_t *list)
{
  for (size_t i = 0; i < list->n_records; i++)
    if (list->records[i].cold_left > 0)
      return true;
  return false;
}

/* The packed list of the same digest is reused.  If it has cold records it is
   packed again after each reading, because cold_left counts from read_at.  */
static void
pack_full_list (list_source_t *source, const backend_list_t *list)
{
  if (source->full_digest == list->digest
      && (!source->full_has_cold || source->full_read_at == list->read_at))
    return;
  free (source->full.bytes);
  source->full = fleet_wire_pack_list (list);
  source->full_digest = list->digest;
  source->full_read_at = list->read_at;
  source->full_has_cold = has_cold_backend (list);
}

void
list_source_record_change (list_source_t *source, const backend_list_t *from,
                           const backend_list_t *to)
{
  if (from->digest == to->digest)
    return;
  pack_full_list (source, to);
  if (source->n_deltas == LIST_DELTAS_MAX)
    drop_deltas (source, 1);
  const list_delta_t delta = { .from_digest = from->digest,
                               .to_digest = to->digest,
                               .packed = fleet_wire_pack_delta (from, to) };
  if (delta.packed.length * full_list_divisor > source->full.length)
    {
      free (delta.packed.bytes);
      drop_deltas (source, source->n_deltas);
      return;
    }
  source->deltas[source->n_deltas++] = delta;
}

void
list_source_clear (list_source_t *source)
{
  drop_deltas (source, source->n_deltas);
  free (source->full.bytes);
  *source = (list_source_t){ 0 };
}

/* The index of the first delta of the chain that leads from KNOWN to the
   current list; n_deltas if there is none.  */
static size_t
first_delta (const list_source_t *source, uint64_t known)
{
  for (size_t i = source->n_deltas; i > 0; i--)
    if (source->deltas[i - 1].from_digest == known)
      return i - 1;
  return source->n_deltas;
}

fleet_list_update_t
list_source_build_update (list_source_t *source, const backend_list_t *list,
                          uint64_t known, fleet_packed_t *deltas, usec_t now)
{
  fleet_list_update_t update = { .digest = list->digest,
                                 .read_at = list->read_at,
                                 .age = now - list->read_at };
  if (list->digest == 0 || known == list->digest)
    return update;
  size_t length = 0;
  u_int n = 0;
  for (size_t i = first_delta (source, known); i < source->n_deltas; i++)
    {
      const packed_t *packed = &source->deltas[i].packed;
      deltas[n++]
          = (fleet_packed_t){ .fleet_packed_t_val = packed->bytes,
                              .fleet_packed_t_len = (u_int)packed->length };
      length += packed->length;
    }
  pack_full_list (source, list);
  if (n > 0 && length < source->full.length)
    {
      update.deltas.deltas_val = deltas;
      update.deltas.deltas_len = n;
      return update;
    }
  update.whole.fleet_packed_t_val = source->full.bytes;
  update.whole.fleet_packed_t_len = (u_int)source->full.length;
  return update;
}

/* --- The follower's side ------------------------------------------------ */

usec_t
list_update_read_at (const fleet_list_update_t *update, usec_t now)
{
  usec_t age = update->age > 0 ? update->age : 0;
  return now - (age < FLEET_TIME_MAX ? age : FLEET_TIME_MAX);
}

void
list_update_advance_time (backend_list_t *list, usec_t at)
{
  for (size_t i = 0; i < list->n_records; i++)
    {
      backend_record_t *record = &list->records[i];
      if (record->cold_left <= 0)
        continue;
      /* Stays positive: only a delta may make a record warm, because the
         digest covers whether it is cold.  */
      record->cold_left -= at - list->read_at;
      if (record->cold_left <= 0)
        record->cold_left = 1;
    }
  list->read_at = at;
}

static bool
is_possible_clock (usec_t at)
{
  return at >= 0 && at <= FLEET_TIME_MAX;
}

static int
compare_ids (const void *a, const void *b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

/* The binary search relies on ids that the sender sorted.  If they are not
   sorted, the resulting list has the wrong digest and is rejected.  */
static bool
is_removed (const fleet_delta_t *delta, const char *id)
{
  return delta->gone.gone_len > 0
         && bsearch (&id, delta->gone.gone_val, delta->gone.gone_len,
                     sizeof delta->gone.gone_val[0], compare_ids);
}

static void
merge_delta (backend_list_t *list, const fleet_delta_t *delta)
{
  backend_list_t changed = { 0 };
  fleet_wire_decode_backends (delta->changed.changed_val,
                              delta->changed.changed_len, &changed);
  backend_list_finalize (&changed);
  backend_list_t next = { .read_at = list->read_at };
  for (size_t i = 0; i < list->n_records; i++)
    {
      const backend_record_t *record = &list->records[i];
      if (!is_removed (delta, record->id)
          && !backend_list_find (&changed, record->id))
        backend_list_add (&next, record);
    }
  for (size_t i = 0; i < changed.n_records; i++)
    backend_list_add (&next, &changed.records[i]);
  backend_list_finalize (&next);
  backend_list_clear (&changed);
  backend_list_clear (list);
  *list = next;
}

/* CLOCK_OFFSET is the local monotonic clock minus the sender's.  Returns false
   if the delta can't be decoded or the result has the wrong digest.  */
static bool
apply_one_delta (const fleet_packed_t *packed, usec_t clock_offset,
                 backend_list_t *list)
{
  fleet_delta_t delta = { 0 };
  if (!fleet_wire_unpack ((xdrproc_t)xdr_fleet_delta_t, &delta, packed))
    return false;
  bool ok = is_possible_clock (delta.read_at);
  if (ok)
    {
      list_update_advance_time (list, delta.read_at + clock_offset);
      merge_delta (list, &delta);
      ok = list->digest == delta.digest;
    }
  xdr_free ((xdrproc_t)xdr_fleet_delta_t, (char *)&delta);
  return ok;
}

static list_update_result_t
apply_deltas (const fleet_list_update_t *update, usec_t clock_offset,
              backend_list_t *list)
{
  backend_list_t next;
  backend_list_copy (&next, list);
  bool ok = true;
  for (u_int i = 0; ok && i < update->deltas.deltas_len; i++)
    ok = apply_one_delta (&update->deltas.deltas_val[i], clock_offset, &next);
  if (!ok || next.digest != update->digest)
    {
      backend_list_clear (&next);
      return LIST_UPDATE_MISMATCH;
    }
  backend_list_clear (list);
  *list = next;
  list_update_advance_time (list, update->read_at + clock_offset);
  return LIST_UPDATE_APPLIED;
}

static list_update_result_t
replace_list (const fleet_list_update_t *update, usec_t read_at,
              backend_list_t *list)
{
  backend_list_t next;
  if (!fleet_wire_unpack_list (&update->whole, read_at, &next))
    return LIST_UPDATE_MISMATCH;
  backend_list_clear (list);
  *list = next;
  return LIST_UPDATE_APPLIED;
}

list_update_result_t
list_update_apply (const fleet_list_update_t *update, usec_t now,
                   backend_list_t *list)
{
  usec_t read_at = list_update_read_at (update, now);
  if (update->digest == 0 || read_at < list->read_at)
    return LIST_UPDATE_UNCHANGED;
  if (update->whole.fleet_packed_t_len > 0)
    return replace_list (update, read_at, list);
  if (update->deltas.deltas_len > 0 && !is_possible_clock (update->read_at))
    return LIST_UPDATE_MISMATCH;
  if (update->deltas.deltas_len > 0)
    return apply_deltas (update, read_at - update->read_at, list);
  return LIST_UPDATE_UNCHANGED;
}
