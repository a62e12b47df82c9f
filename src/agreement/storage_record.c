#include "agreement/storage_record.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "agreement/codec.h"
#include "agreement/storage.h"

enum
{
  RECORD_MAGIC = 0x6d756c62, /* "mulb" */
  SECTOR_BYTES = 512,        /* the smallest unit that a disk writes */
  PERSIST_FIXED_BYTES_MAX = 256,
  RECORD_ENTRIES_MAX = 65536,
};

static bool
filter_vote (XDR *xdrs, replica_vote_t *vote)
{
  return xdr_uint64_t (xdrs, &vote->term) && xdr_uint8_t (xdrs, &vote->slot)
         && xdr_uint64_t (xdrs, &vote->incarnation);
}

static bool
filter_snapshot (XDR *xdrs, replica_snapshot_t *snapshot)
{
  bool_t has_data = snapshot->data != NULL;
  return xdr_uint64_t (xdrs, &snapshot->index)
         && xdr_uint64_t (xdrs, &snapshot->term)
         && config_filter (xdrs, &snapshot->config)
         && xdr_bool (xdrs, &has_data)
         && (!has_data
             || blob_filter (xdrs, &snapshot->data, SNAPSHOT_BYTES_MAX));
}

static bool
filter_entries (XDR *xdrs, persist_t *persist)
{
  uint32_t n = (uint32_t)persist->n_entries;
  if (!xdr_uint32_t (xdrs, &n) || n > RECORD_ENTRIES_MAX)
    return false;
  if (xdrs->x_op == XDR_DECODE)
    {
      persist->entries = calloc (n + 1, sizeof (entry_t *));
      if (!persist->entries)
        abort ();
    }
  for (uint32_t i = 0; i < n; i++)
    {
      if (!entry_filter (xdrs, &persist->entries[i]))
        return false;
      persist->n_entries = i + 1;
    }
  return true;
}

static bool
filter_persist (XDR *xdrs, persist_t *persist)
{
  bool_t replaces = persist->replaces_log;
  if (!xdr_uint64_t (xdrs, &persist->incarnation)
      || !filter_vote (xdrs, &persist->vote) || !xdr_bool (xdrs, &replaces)
      || !xdr_uint64_t (xdrs, &persist->keep_index))
    return false;
  persist->replaces_log = replaces != 0;
  return (!persist->replaces_log || filter_snapshot (xdrs, &persist->snapshot))
         && filter_entries (xdrs, persist);
}

blob_t *
storage_encode (const persist_t *persist)
{
  size_t bytes = PERSIST_FIXED_BYTES_MAX + CONFIG_BYTES_MAX;
  if (persist->replaces_log && persist->snapshot.data)
    bytes += persist->snapshot.data->length;
  for (size_t i = 0; i < persist->n_entries; i++)
    bytes += entry_bytes (persist->entries[i]);
  blob_t *blob = blob_new (NULL, bytes);
  XDR xdrs;
  xdrmem_create (&xdrs, (char *)blob->bytes, blob->length, XDR_ENCODE);
  persist_t copy = *persist;
  if (!filter_persist (&xdrs, &copy))
    abort ();
  blob->length = xdr_getpos (&xdrs);
  return blob;
}

size_t
record_padded_bytes (size_t length)
{
  return (length + RECORD_ALIGN_BYTES - 1) & ~(size_t)(RECORD_ALIGN_BYTES - 1);
}

static bool
filter_header (XDR *xdrs, record_header_t *header)
{
  uint32_t magic = RECORD_MAGIC;
  return xdr_uint32_t (xdrs, &magic) && magic == RECORD_MAGIC
         && xdr_uint32_t (xdrs, &header->length)
         && header->length <= RECORD_PAYLOAD_BYTES_MAX
         && xdr_uint64_t (xdrs, &header->synced_end)
         && xdr_uint64_t (xdrs, &header->payload_checksum);
}

/* The checksum of the header's other bytes, stored in its last 8 bytes.  */
static uint64_t
header_checksum (const uint8_t *bytes)
{
  return XXH3_64bits (bytes, RECORD_HEADER_BYTES - sizeof (uint64_t));
}

void
record_header_encode (uint8_t bytes[RECORD_HEADER_BYTES],
                      const blob_t *payload, uint64_t synced_end)
{
  memset (bytes, 0, RECORD_HEADER_BYTES);
  record_header_t header
      = { .length = payload->length,
          .synced_end = synced_end,
          .payload_checksum = XXH3_64bits (payload->bytes, payload->length) };
  XDR xdrs;
  xdrmem_create (&xdrs, (char *)bytes, RECORD_HEADER_BYTES, XDR_ENCODE);
  if (!filter_header (&xdrs, &header))
    abort ();
  uint64_t checksum = header_checksum (bytes);
  memcpy (bytes + RECORD_HEADER_BYTES - sizeof checksum, &checksum,
          sizeof checksum);
}

bool
record_header_decode (record_header_t *header, const uint8_t *bytes)
{
  XDR xdrs;
  xdrmem_create (&xdrs, (char *)bytes, RECORD_HEADER_BYTES, XDR_DECODE);
  if (!filter_header (&xdrs, header))
    return false;
  uint64_t checksum = header_checksum (bytes);
  return memcmp (bytes + RECORD_HEADER_BYTES - sizeof checksum, &checksum,
                 sizeof checksum)
         == 0;
}

static void
persist_clear (persist_t *persist)
{
  for (size_t i = 0; i < persist->n_entries; i++)
    entry_unref (persist->entries[i]);
  free (persist->entries);
  blob_unref (persist->snapshot.data);
}

static void
image_apply (replica_image_t *image, persist_t *persist)
{
  image->incarnation = persist->incarnation;
  image->vote = persist->vote;
  LIST_FOREACH (link, &image->log)
  {
    entry_t *entry = LIST_ENTRY (link, entry_t, link);
    if (!persist->replaces_log && entry->index <= persist->keep_index)
      continue;
    list_remove (link);
    entry_unref (entry);
  }
  if (persist->replaces_log)
    {
      blob_unref (image->snapshot.data);
      image->snapshot = persist->snapshot;
      persist->snapshot.data = NULL;
    }
  for (size_t i = 0; i < persist->n_entries; i++)
    list_push_back (&image->log, &entry_ref (persist->entries[i])->link);
}

/* The entries must follow the snapshot without gaps.  */
static bool
image_is_contiguous (const replica_image_t *image)
{
  log_index_t expected = image->snapshot.index;
  LIST_FOREACH (link, &image->log)
  if (LIST_ENTRY (link, entry_t, link)->index != ++expected)
    return false;
  return image->incarnation != 0;
}

static bool
payload_apply (replica_image_t *image, const uint8_t *bytes, size_t length)
{
  persist_t persist = { 0 };
  XDR xdrs;
  xdrmem_create (&xdrs, (char *)bytes, (u_int)length, XDR_DECODE);
  xdrs.x_public = (char *)&length;
  bool is_legal = filter_persist (&xdrs, &persist);
  if (is_legal)
    image_apply (image, &persist);
  persist_clear (&persist);
  return is_legal && image_is_contiguous (image);
}

static bool
is_zero (const uint8_t *data, size_t from, size_t to)
{
  for (size_t i = from; i < to; i++)
    if (data[i] != 0)
      return false;
  return true;
}

/* Whether a sector, or a part of one, from START on is all zeros, so that it
   was never written.  */
static bool
has_unwritten_sector (const uint8_t *data, size_t length, size_t start)
{
  for (size_t from = start; from < length;)
    {
      size_t to = (from / SECTOR_BYTES + 1) * SECTOR_BYTES;
      if (to > length)
        to = length;
      if (is_zero (data, from, to))
        return true;
      from = to;
    }
  return false;
}

/* Whether the header of a later record shows that the one at START was
   synced.  */
static bool
was_synced (const uint8_t *data, size_t length, size_t start)
{
  record_header_t header;
  for (size_t at = start + RECORD_ALIGN_BYTES;
       at + RECORD_HEADER_BYTES <= length; at += RECORD_ALIGN_BYTES)
    if (record_header_decode (&header, data + at) && header.synced_end > start)
      return true;
  return false;
}

/* Whether the invalid record at START was being written at a crash, as opposed
   to a synced record that was damaged later.  */
static bool
is_torn (const uint8_t *data, size_t length, size_t start)
{
  if (start == 0 || was_synced (data, length, start))
    return false;
  record_header_t header;
  if (length - start < RECORD_HEADER_BYTES
      || has_unwritten_sector (data, length, start))
    return true;
  return record_header_decode (&header, data + start)
         && record_padded_bytes (header.length)
                > length - start - RECORD_HEADER_BYTES;
}

static bool
record_read (replica_image_t *image, const uint8_t *data, size_t length,
             size_t *at)
{
  record_header_t header;
  size_t remaining = length - *at;
  if (remaining < RECORD_HEADER_BYTES
      || !record_header_decode (&header, data + *at)
      || record_padded_bytes (header.length) > remaining - RECORD_HEADER_BYTES)
    return false;
  const uint8_t *payload = data + *at + RECORD_HEADER_BYTES;
  if (XXH3_64bits (payload, header.length) != header.payload_checksum
      || !payload_apply (image, payload, header.length))
    return false;
  *at += RECORD_HEADER_BYTES + record_padded_bytes (header.length);
  return true;
}

bool
records_read (replica_image_t *image, const uint8_t *data, size_t length,
              size_t *end, err_t *err)
{
  *end = 0;
  while (*end < length)
    if (!record_read (image, data, length, end))
      break;
  if (*end == length && length > 0)
    return true;
  if (is_torn (data, length, *end))
    return true;
  return err_set (err, ERR_STORAGE,
                  "replace the disk or empty the data folder; the replica "
                  "then rejoins the cluster without its vote",
                  "damaged log record at byte %zu of %zu", *end, length);
}
