#include "agreement/codec.h"

#include <string.h>

bool
blob_filter (XDR *xdrs, blob_t **blob, uint32_t limit)
{
  uint32_t length = xdrs->x_op == XDR_ENCODE ? (*blob)->length : 0;
  if (!xdr_uint32_t (xdrs, &length) || length > limit)
    return false;
  if (xdrs->x_op == XDR_DECODE)
    {
      size_t input_length = *(const size_t *)(const void *)xdrs->x_public;
      if (length > input_length - xdr_getpos (xdrs))
        return false;
      *blob = blob_new (NULL, length);
    }
  return xdr_opaque (xdrs, (char *)(*blob)->bytes, length);
}

bool
name_filter (XDR *xdrs, name_t *name)
{
  if (!xdr_opaque (xdrs, name->text, NAME_BYTES))
    return false;
  return name->text[NAME_BYTES - 1] == '\0';
}

bool
config_filter (XDR *xdrs, replica_config_t *config)
{
  if (!xdr_uint64_t (xdrs, &config->cluster)
      || !xdr_uint8_t (xdrs, &config->n_slots)
      || config->n_slots > REPLICAS_MAX)
    return false;
  for (int i = 0; i < config->n_slots; i++)
    if (!xdr_uint64_t (xdrs, &config->incarnation[i]))
      return false;
  return true;
}

static bool
filter_body (XDR *xdrs, entry_t *entry)
{
  switch (entry->kind)
    {
    case ENTRY_NOOP:
      return true;
    case ENTRY_SHEET:
      return xdr_uint64_t (xdrs, &entry->body.sheet.number)
             && name_filter (xdrs, &entry->body.sheet.operator_name)
             && blob_filter (xdrs, &entry->body.sheet.content,
                             ENTRY_CONTENT_BYTES_MAX);
    case ENTRY_VOTER_CHANGE:
      return xdr_uint8_t (xdrs, &entry->body.voter_change.slot)
             && entry->body.voter_change.slot < REPLICAS_MAX
             && xdr_uint64_t (xdrs, &entry->body.voter_change.old_incarnation)
             && xdr_uint64_t (xdrs, &entry->body.voter_change.new_incarnation);
    case ENTRY_GRANT:
      return blob_filter (xdrs, &entry->body.grant, ENTRY_CONTENT_BYTES_MAX);
    case ENTRY_COMMAND:
      return blob_filter (xdrs, &entry->body.command, ENTRY_CONTENT_BYTES_MAX);
    case ENTRY_KINDS:
      break;
    }
  return false;
}

bool
entry_filter (XDR *xdrs, entry_t **entry)
{
  bool is_decoding = xdrs->x_op == XDR_DECODE;
  uint32_t kind = is_decoding ? 0 : (*entry)->kind;
  if (is_decoding)
    *entry = NULL;
  if (!xdr_uint32_t (xdrs, &kind) || kind >= ENTRY_KINDS)
    return false;
  if (is_decoding)
    *entry = entry_new (kind);
  if (xdr_uint64_t (xdrs, &(*entry)->index)
      && xdr_uint64_t (xdrs, &(*entry)->term) && filter_body (xdrs, *entry))
    return true;
  if (is_decoding)
    {
      entry_unref (*entry);
      *entry = NULL;
    }
  return false;
}
