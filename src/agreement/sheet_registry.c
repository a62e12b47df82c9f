#include "agreement/sheet_registry.h"

#include <openssl/sha.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "agreement/codec.h"

enum
{
  RECORD_BYTES = 8 + NAME_BYTES + SHEET_DIGEST_BYTES + 8,
};

struct sheet_registry
{
  sheet_record_t *records; /* a ring in ascending order of number */
  size_t start;            /* of the oldest */
  size_t n_records;
  blob_t *content; /* of the newest sheet */
};

sheet_registry_t *
sheet_registry_new (void)
{
  sheet_registry_t *registry = calloc (1, sizeof *registry);
  if (!registry)
    abort ();
  registry->records = calloc (SHEET_HISTORY, sizeof *registry->records);
  if (!registry->records)
    abort ();
  return registry;
}

void
sheet_registry_free (sheet_registry_t *registry)
{
  blob_unref (registry->content);
  free (registry->records);
  free (registry);
}

static sheet_record_t *
record_at (const sheet_registry_t *registry, size_t i)
{
  return &registry->records[(registry->start + i) % SHEET_HISTORY];
}

const sheet_record_t *
sheet_registry_newest (const sheet_registry_t *registry)
{
  if (registry->n_records == 0)
    return NULL;
  return record_at (registry, registry->n_records - 1);
}

blob_t *
sheet_registry_content (const sheet_registry_t *registry)
{
  return registry->content;
}

static const sheet_record_t *
record_find (const sheet_registry_t *registry, uint64_t number)
{
  size_t low = 0;
  size_t high = registry->n_records;
  while (low < high)
    {
      size_t middle = (low + high) / 2;
      const sheet_record_t *record = record_at (registry, middle);
      if (record->number == number)
        return record;
      if (record->number < number)
        low = middle + 1;
      else
        high = middle;
    }
  return NULL;
}

static void
digest_of (const blob_t *content, uint8_t digest[SHEET_DIGEST_BYTES])
{
  SHA256 (content->bytes, content->length, digest);
}

bool
sheet_registry_find (const sheet_registry_t *registry,
                     const sheet_submission_t *submission,
                     sheet_outcome_t *outcome)
{
  const sheet_record_t *newest = sheet_registry_newest (registry);
  if (!newest || submission->number > newest->number)
    return false;
  const sheet_record_t *record = record_find (registry, submission->number);
  if (!record)
    {
      *outcome
          = (sheet_outcome_t){ .verdict = SHEET_STALE, .record = *newest };
      return true;
    }
  uint8_t digest[SHEET_DIGEST_BYTES];
  digest_of (submission->content, digest);
  outcome->record = *record;
  outcome->verdict = memcmp (digest, record->digest, sizeof digest) == 0
                         ? SHEET_ACCEPTED
                         : SHEET_CONFLICT;
  return true;
}

sheet_outcome_t
sheet_registry_apply (sheet_registry_t *registry, log_index_t index,
                      const sheet_submission_t *submission)
{
  sheet_outcome_t outcome = { .verdict = SHEET_ACCEPTED };
  if (sheet_registry_find (registry, submission, &outcome))
    return outcome;
  if (registry->n_records == SHEET_HISTORY)
    registry->start = (registry->start + 1) % SHEET_HISTORY;
  else
    registry->n_records++;
  sheet_record_t *record = record_at (registry, registry->n_records - 1);
  record->number = submission->number;
  record->operator_name = submission->operator_name;
  record->index = index;
  digest_of (submission->content, record->digest);
  blob_unref (registry->content);
  registry->content = blob_ref (submission->content);
  outcome.record = *record;
  return outcome;
}

static bool
record_filter (XDR *xdrs, sheet_record_t *record)
{
  return xdr_uint64_t (xdrs, &record->number)
         && name_filter (xdrs, &record->operator_name)
         && xdr_opaque (xdrs, (char *)record->digest, SHEET_DIGEST_BYTES)
         && xdr_uint64_t (xdrs, &record->index);
}

/* Records are encoded oldest first.  Decoding needs an empty REGISTRY, so that
   the ring starts at 0.  */
static bool
registry_filter (XDR *xdrs, sheet_registry_t *registry)
{
  uint32_t n = (uint32_t)registry->n_records;
  if (!xdr_uint32_t (xdrs, &n) || n > SHEET_HISTORY)
    return false;
  registry->n_records = n;
  for (uint32_t i = 0; i < n; i++)
    if (!record_filter (xdrs, record_at (registry, i)))
      return false;
  return n == 0
         || blob_filter (xdrs, &registry->content, ENTRY_CONTENT_BYTES_MAX);
}

blob_t *
sheet_registry_save (const sheet_registry_t *registry)
{
  size_t content = registry->content ? registry->content->length : 0;
  size_t bytes = 16 + registry->n_records * RECORD_BYTES + content;
  blob_t *saved = blob_new (NULL, bytes);
  XDR xdrs;
  xdrmem_create (&xdrs, (char *)saved->bytes, saved->length, XDR_ENCODE);
  sheet_registry_t copy = *registry;
  if (!registry_filter (&xdrs, &copy))
    abort ();
  saved->length = xdr_getpos (&xdrs);
  return saved;
}

static bool
numbers_increase (const sheet_registry_t *registry)
{
  for (size_t i = 1; i < registry->n_records; i++)
    if (record_at (registry, i)->number <= record_at (registry, i - 1)->number)
      return false;
  return true;
}

bool
sheet_registry_restore (sheet_registry_t *registry, const blob_t *saved,
                        err_t *err)
{
  sheet_registry_t *restored = sheet_registry_new ();
  size_t length = saved->length;
  XDR xdrs;
  xdrmem_create (&xdrs, (char *)saved->bytes, saved->length, XDR_DECODE);
  xdrs.x_public = (char *)&length;
  bool is_legal = registry_filter (&xdrs, restored)
                  && xdr_getpos (&xdrs) == saved->length
                  && numbers_increase (restored);
  if (is_legal)
    {
      sheet_registry_t old = *registry;
      *registry = *restored;
      *restored = old;
    }
  sheet_registry_free (restored);
  if (is_legal)
    return true;
  return err_set (err, ERR_PROTOCOL, "run the same release on all control VMs",
                  "malformed sheet registry in a snapshot: %zu bytes", length);
}

void
sheet_digest_text (const sheet_record_t *record,
                   char text[2 * SHEET_DIGEST_BYTES + 1])
{
  for (int i = 0; i < SHEET_DIGEST_BYTES; i++)
    snprintf (text + 2 * i, 3, "%02x", record->digest[i]);
}
