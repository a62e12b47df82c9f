#include "agreement/message.h"

#include <stdlib.h>
#include <string.h>

#include "agreement/codec.h"

enum
{
  MESSAGE_FIXED_BYTES_MAX = 256, /* without a configuration and contents */
};

/* Each filter both encodes and decodes.  For decoding, x_public points to the
   input's length, so that a filter never allocates more than the input can
   hold.  */

void
message_clear (message_t *message)
{
  switch (message->kind)
    {
    case MESSAGE_APPEND:
      for (uint32_t i = 0; i < message->body.append.n_entries; i++)
        entry_unref (message->body.append.entries[i]);
      message->body.append.n_entries = 0;
      return;
    case MESSAGE_SNAPSHOT:
      blob_unref (message->body.snapshot.data);
      message->body.snapshot.data = NULL;
      return;
    case MESSAGE_VOTE_REQUEST:
    case MESSAGE_VOTE_RESPONSE:
    case MESSAGE_APPEND_RESPONSE:
    case MESSAGE_SNAPSHOT_RESPONSE:
    case MESSAGE_JOIN:
    case MESSAGE_BOOTSTRAP:
    case MESSAGE_LOG_QUERY:
    case MESSAGE_LOG_STATUS:
    case MESSAGE_KINDS:
      return;
    }
}

static bool
filter_usec (XDR *xdrs, usec_t *time)
{
  return xdr_int64_t (xdrs, time);
}

static bool
filter_bool (XDR *xdrs, bool *value)
{
  bool_t xdr_value = *value;
  if (!xdr_bool (xdrs, &xdr_value))
    return false;
  *value = xdr_value != 0;
  return true;
}

static bool
filter_vote_request (XDR *xdrs, vote_request_t *request)
{
  return filter_bool (xdrs, &request->is_pre_vote)
         && xdr_uint64_t (xdrs, &request->last_index)
         && xdr_uint64_t (xdrs, &request->last_term);
}

static bool
filter_append (XDR *xdrs, append_t *append)
{
  if (!xdr_uint64_t (xdrs, &append->prev_index)
      || !xdr_uint64_t (xdrs, &append->prev_term)
      || !xdr_uint64_t (xdrs, &append->commit_index)
      || !filter_usec (xdrs, &append->sent_at))
    return false;
  uint32_t n = append->n_entries;
  if (!xdr_uint32_t (xdrs, &n) || n > MESSAGE_ENTRIES_MAX)
    return false;
  if (xdrs->x_op == XDR_ENCODE)
    append->n_entries = n;
  for (uint32_t i = 0; i < n; i++)
    {
      if (!entry_filter (xdrs, &append->entries[i]))
        return false;
      append->n_entries = i + 1;
    }
  return true;
}

static bool
filter_append_response (XDR *xdrs, append_response_t *response)
{
  return filter_bool (xdrs, &response->success)
         && xdr_uint64_t (xdrs, &response->index)
         && filter_usec (xdrs, &response->sent_at);
}

static bool
filter_snapshot (XDR *xdrs, snapshot_chunk_t *chunk)
{
  return xdr_uint64_t (xdrs, &chunk->index)
         && xdr_uint64_t (xdrs, &chunk->index_term)
         && config_filter (xdrs, &chunk->config)
         && filter_usec (xdrs, &chunk->sent_at)
         && xdr_uint32_t (xdrs, &chunk->offset)
         && xdr_uint32_t (xdrs, &chunk->total_bytes)
         && chunk->total_bytes <= SNAPSHOT_BYTES_MAX
         && blob_filter (xdrs, &chunk->data, SNAPSHOT_CHUNK_BYTES)
         && chunk->data->length <= chunk->total_bytes
         && chunk->offset <= chunk->total_bytes - chunk->data->length;
}

static bool
filter_snapshot_response (XDR *xdrs, snapshot_response_t *response)
{
  return xdr_uint64_t (xdrs, &response->index)
         && xdr_uint32_t (xdrs, &response->next_offset)
         && filter_bool (xdrs, &response->is_installed)
         && filter_usec (xdrs, &response->sent_at);
}

static bool
filter_log_status (XDR *xdrs, log_status_t *status)
{
  return xdr_uint64_t (xdrs, &status->last_index)
         && xdr_uint64_t (xdrs, &status->last_term)
         && filter_usec (xdrs, &status->sent_at);
}

static bool
filter_body (XDR *xdrs, message_t *message)
{
  switch (message->kind)
    {
    case MESSAGE_VOTE_REQUEST:
      return filter_vote_request (xdrs, &message->body.vote_request);
    case MESSAGE_VOTE_RESPONSE:
      return filter_bool (xdrs, &message->body.vote_response.is_pre_vote)
             && filter_bool (xdrs, &message->body.vote_response.granted);
    case MESSAGE_APPEND:
      return filter_append (xdrs, &message->body.append);
    case MESSAGE_APPEND_RESPONSE:
      return filter_append_response (xdrs, &message->body.append_response);
    case MESSAGE_SNAPSHOT:
      return filter_snapshot (xdrs, &message->body.snapshot);
    case MESSAGE_SNAPSHOT_RESPONSE:
      return filter_snapshot_response (xdrs, &message->body.snapshot_response);
    case MESSAGE_JOIN:
      return filter_bool (xdrs, &message->body.join.is_blank);
    case MESSAGE_BOOTSTRAP:
      return config_filter (xdrs, &message->body.bootstrap);
    case MESSAGE_LOG_QUERY:
      return filter_usec (xdrs, &message->body.log_query.sent_at);
    case MESSAGE_LOG_STATUS:
      return filter_log_status (xdrs, &message->body.log_status);
    case MESSAGE_KINDS:
      break;
    }
  return false;
}

static bool
filter_message (XDR *xdrs, message_t *message)
{
  uint32_t kind = message->kind;
  if (!xdr_uint32_t (xdrs, &kind) || kind >= MESSAGE_KINDS)
    return false;
  message->kind = kind;
  return xdr_uint8_t (xdrs, &message->from) && message->from < REPLICAS_MAX
         && xdr_uint8_t (xdrs, &message->to) && message->to < REPLICAS_MAX
         && xdr_uint64_t (xdrs, &message->from_incarnation)
         && xdr_uint64_t (xdrs, &message->to_incarnation)
         && xdr_uint64_t (xdrs, &message->cluster)
         && xdr_uint64_t (xdrs, &message->term) && filter_body (xdrs, message);
}

static size_t
message_bytes (const message_t *message)
{
  size_t bytes = MESSAGE_FIXED_BYTES_MAX + CONFIG_BYTES_MAX;
  if (message->kind == MESSAGE_APPEND)
    for (uint32_t i = 0; i < message->body.append.n_entries; i++)
      bytes += entry_bytes (message->body.append.entries[i]);
  if (message->kind == MESSAGE_SNAPSHOT)
    bytes += message->body.snapshot.data->length;
  return bytes;
}

blob_t *
message_encode (const message_t *message)
{
  blob_t *blob = blob_new (NULL, message_bytes (message));
  XDR xdrs;
  xdrmem_create (&xdrs, (char *)blob->bytes, blob->length, XDR_ENCODE);
  message_t copy = *message;
  if (!filter_message (&xdrs, &copy))
    abort ();
  blob->length = xdr_getpos (&xdrs);
  return blob;
}

bool
message_decode (message_t *message, const void *bytes, size_t length,
                err_t *err)
{
  memset (message, 0, sizeof *message);
  if (length <= MESSAGE_ENCODED_BYTES_MAX)
    {
      XDR xdrs;
      xdrmem_create (&xdrs, (char *)bytes, (u_int)length, XDR_DECODE);
      xdrs.x_public = (char *)&length;
      if (filter_message (&xdrs, message))
        return true;
      message_clear (message);
    }
  return err_set (err, ERR_PROTOCOL, "run the same release on all control VMs",
                  "malformed replica message of %zu bytes", length);
}
