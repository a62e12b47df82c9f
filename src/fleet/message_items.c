#include "fleet/message_items.h"

#include <arpa/inet.h>
#include <string.h>

/* Whether bytes are left to be read.  */
static bool
has_more (XDR *xdr)
{
  u_int at = xdr_getpos (xdr);
  bool has_unit = XDR_INLINE (xdr, BYTES_PER_XDR_UNIT) != NULL;
  return has_unit && xdr_setpos (xdr, at);
}

static bool_t
encode_items (XDR *xdr)
{
  uint32_t form = htonl (MESSAGE_FORM);
  fleet_item_t item = { .kind = ITEM_KIND_FORM };
  item.value.value_val = (char *)&form;
  item.value.value_len = sizeof form;
  fleet_items_t items = { 0 };
  items.items.items_val = &item;
  items.items.items_len = 1;
  return xdr_fleet_items_t (xdr, &items);
}

static void
decode_items (XDR *xdr, message_items_t *items)
{
  if (!has_more (xdr) || xdr_fleet_items_t (xdr, &items->wire))
    return;
  xdr_free ((xdrproc_t)xdr_fleet_items_t, (char *)&items->wire);
  *items = (message_items_t){ .is_damaged = true };
}

static bool_t
xdr_items (XDR *xdr, message_items_t *items)
{
  switch (xdr->x_op)
    {
    case XDR_ENCODE:
      return encode_items (xdr);
    case XDR_DECODE:
      decode_items (xdr, items);
      return TRUE;
    case XDR_FREE:
      break;
    }
  return xdr_fleet_items_t (xdr, &items->wire);
}

bool_t
message_xdr_pull (XDR *xdr, pull_message_t *message)
{
  return xdr_fleet_pull_args_t (xdr, &message->fixed)
         && xdr_items (xdr, &message->items);
}

bool_t
message_xdr_pull_reply (XDR *xdr, pull_reply_t *message)
{
  return xdr_fleet_pull_result_t (xdr, &message->fixed)
         && xdr_items (xdr, &message->items);
}

bool_t
message_xdr_share (XDR *xdr, share_message_t *message)
{
  return xdr_fleet_share_args_t (xdr, &message->fixed)
         && xdr_items (xdr, &message->items);
}

bool_t
message_xdr_share_reply (XDR *xdr, share_reply_t *message)
{
  return xdr_fleet_share_result_t (xdr, &message->fixed)
         && xdr_items (xdr, &message->items);
}

/* The value of the item KIND; NULL if there is none of LENGTH bytes.  */
static const char *
find_value (const message_items_t *items, item_kind_t kind, size_t length)
{
  for (u_int i = 0; i < items->wire.items.items_len; i++)
    {
      const fleet_item_t *item = &items->wire.items.items_val[i];
      if (item->kind == (uint32_t)kind && item->value.value_len == length)
        return item->value.value_val;
    }
  return NULL;
}

uint32_t
message_items_form (const message_items_t *items)
{
  uint32_t form;
  if (items->is_damaged)
    return MESSAGE_FORM_NOT_TOLD;
  const char *value = find_value (items, ITEM_KIND_FORM, sizeof form);
  if (!value)
    return MESSAGE_FORM_FIRST;
  memcpy (&form, value, sizeof form);
  return ntohl (form);
}
