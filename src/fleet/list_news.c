#include "fleet/list_news.h"

#include <stdlib.h>
#include <string.h>

#include "fleet/backend_list.h"
#include "fleet/fleet_wire.h"

/* Steps that are longer than this part of the whole list are not kept.  */
static const size_t whole_parts = 2;

static void
drop_steps (list_source_t *source, size_t n)
{
  for (size_t i = 0; i < n; i++)
    free (source->steps[i].packed.bytes);
  source->n_steps -= n;
  memmove (source->steps, source->steps + n,
           source->n_steps * sizeof source->steps[0]);
}

static bool
has_cold (const backend_list_t *list)
{
  for (size_t i = 0; i < list->n_records; i++)
    if (list->records[i].cold_left > 0)
      return true;
  return false;
}

/* How long they stay cold counts from the reading.  */
static void
pack_whole (list_source_t *source, const backend_list_t *list)
{
  if (source->whole_digest == list->digest
      && (!source->whole_has_cold || source->whole_read_at == list->read_at))
    return;
  free (source->whole.bytes);
  source->whole = fleet_wire_pack_list (list);
  source->whole_digest = list->digest;
  source->whole_read_at = list->read_at;
  source->whole_has_cold = has_cold (list);
}

void
list_source_note (list_source_t *source, const backend_list_t *from,
                  const backend_list_t *to)
{
  if (from->digest == to->digest)
    return;
  pack_whole (source, to);
  if (source->n_steps == LIST_STEPS_MAX)
    drop_steps (source, 1);
  const list_step_t step = { .from = from->digest,
                             .to = to->digest,
                             .packed = fleet_wire_pack_step (from, to) };
  if (step.packed.length * whole_parts > source->whole.length)
    {
      free (step.packed.bytes);
      drop_steps (source, source->n_steps);
      return;
    }
  source->steps[source->n_steps++] = step;
}

void
list_source_clear (list_source_t *source)
{
  drop_steps (source, source->n_steps);
  free (source->whole.bytes);
  *source = (list_source_t){ 0 };
}

/* The first of the steps that lead from KNOWN to the list; n_steps where none
   do.  */
static size_t
first_step (const list_source_t *source, uint64_t known)
{
  for (size_t i = source->n_steps; i > 0; i--)
    if (source->steps[i - 1].from == known)
      return i - 1;
  return source->n_steps;
}

fleet_list_news_t
list_source_tell (list_source_t *source, const backend_list_t *list,
                  uint64_t known, fleet_packed_t *steps, usec_t now)
{
  fleet_list_news_t news = { .digest = list->digest,
                             .read_at = list->read_at,
                             .age = now - list->read_at };
  if (list->digest == 0 || known == list->digest)
    return news;
  size_t length = 0;
  u_int n = 0;
  for (size_t i = first_step (source, known); i < source->n_steps; i++)
    {
      const packed_t *packed = &source->steps[i].packed;
      steps[n++]
          = (fleet_packed_t){ .fleet_packed_t_val = packed->bytes,
                              .fleet_packed_t_len = (u_int)packed->length };
      length += packed->length;
    }
  pack_whole (source, list);
  if (n > 0 && length < source->whole.length)
    {
      news.steps.steps_val = steps;
      news.steps.steps_len = n;
      return news;
    }
  news.whole.fleet_packed_t_val = source->whole.bytes;
  news.whole.fleet_packed_t_len = (u_int)source->whole.length;
  return news;
}

/* --- Following ---------------------------------------------------------- */

void
list_news_pass_time (backend_list_t *list, usec_t at)
{
  for (size_t i = 0; i < list->n_records; i++)
    {
      backend_record_t *record = &list->records[i];
      if (record->cold_left <= 0)
        continue;
      /* That it is warm is told by a step of its own.  */
      record->cold_left -= at - list->read_at;
      if (record->cold_left <= 0)
        record->cold_left = 1;
    }
  list->read_at = at;
}

static bool
is_in_step (const fleet_step_t *step, const char *id)
{
  for (u_int i = 0; i < step->gone.gone_len; i++)
    if (strcmp (step->gone.gone_val[i], id) == 0)
      return true;
  for (u_int i = 0; i < step->changed.changed_len; i++)
    if (strcmp (step->changed.changed_val[i].id, id) == 0)
      return true;
  return false;
}

static void
apply_step (backend_list_t *list, const fleet_step_t *step)
{
  size_t n = 0;
  for (size_t i = 0; i < list->n_records; i++)
    if (!is_in_step (step, list->records[i].id))
      list->records[n++] = list->records[i];
  list->n_records = n;
  backend_list_t next = { .read_at = list->read_at };
  for (size_t i = 0; i < n; i++)
    backend_list_add (&next, &list->records[i]);
  fleet_wire_add_backends (step->changed.changed_val,
                           step->changed.changed_len, &next);
  backend_list_seal (&next);
  backend_list_clear (list);
  *list = next;
}

/* SHIFT is how far the own clock is ahead of the sender's.  */
static bool
take_step (const fleet_packed_t *packed, usec_t shift, backend_list_t *list)
{
  fleet_step_t step = { 0 };
  bool ok = fleet_wire_unpack ((xdrproc_t)xdr_fleet_step_t, &step, packed);
  if (ok)
    {
      list_news_pass_time (list, step.read_at + shift);
      apply_step (list, &step);
      ok = list->digest == step.digest;
    }
  xdr_free ((xdrproc_t)xdr_fleet_step_t, (char *)&step);
  return ok;
}

static list_news_end_t
take_steps (const fleet_list_news_t *news, usec_t shift, backend_list_t *list)
{
  backend_list_t next;
  backend_list_copy (&next, list);
  bool ok = true;
  for (u_int i = 0; ok && i < news->steps.steps_len; i++)
    ok = take_step (&news->steps.steps_val[i], shift, &next);
  if (!ok || next.digest != news->digest)
    {
      backend_list_clear (&next);
      return LIST_NEWS_BROKEN;
    }
  backend_list_clear (list);
  *list = next;
  list_news_pass_time (list, news->read_at + shift);
  return LIST_NEWS_TAKEN;
}

static list_news_end_t
take_whole (const fleet_list_news_t *news, usec_t read_at,
            backend_list_t *list)
{
  backend_list_t next;
  if (!fleet_wire_unpack_list (&news->whole, read_at, &next))
    return LIST_NEWS_BROKEN;
  backend_list_clear (list);
  *list = next;
  return LIST_NEWS_TAKEN;
}

list_news_end_t
list_news_take (const fleet_list_news_t *news, usec_t now,
                backend_list_t *list)
{
  usec_t read_at = now - (news->age > 0 ? news->age : 0);
  if (news->digest == 0 || read_at < list->read_at)
    return LIST_NEWS_NONE;
  if (news->whole.fleet_packed_t_len > 0)
    return take_whole (news, read_at, list);
  if (news->steps.steps_len > 0)
    return take_steps (news, read_at - news->read_at, list);
  return LIST_NEWS_NONE;
}
