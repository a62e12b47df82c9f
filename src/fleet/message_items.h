/* message_items: what messages between directors and routers say behind their
   fixed fields, so that builds of different versions understand each other.

   The fixed fields of a message never change.  What is new is an item at the
   end: a kind and its value.  An older reader reads the fixed fields and
   passes over the rest; a newer one takes what is missing as not told, which
   differs from any value.  Items that can't be read cost the items, not the
   message.  The form is the number of the newest items that a build knows; a
   build that tells none has form 1.  Pure.  */

#ifndef FLEET_MESSAGE_ITEMS_H
#define FLEET_MESSAGE_ITEMS_H

#include <stdbool.h>
#include <stdint.h>

#include "wire/generated/fleet.h"

enum
{
  MESSAGE_FORM = 2, /* of this build */
  MESSAGE_FORM_FIRST = 1,
  MESSAGE_FORM_NOT_TOLD = 0,
};

/* Kinds of items.  A number is never used again.  */
typedef enum
{
  ITEM_KIND_FORM = 1, /* 4 bytes, big-endian */
} item_kind_t;

/* A message with its fixed fields and its items.  All zero at first.  */
typedef struct message_items
{
  fleet_items_t wire;
  bool is_damaged; /* there are items that could not be read */
} message_items_t;

typedef struct pull_message
{
  fleet_pull_args_t fixed;
  message_items_t items;
} pull_message_t;

typedef struct pull_reply
{
  fleet_pull_result_t fixed;
  message_items_t items;
} pull_reply_t;

typedef struct share_message
{
  fleet_share_args_t fixed;
  message_items_t items;
} share_message_t;

typedef struct share_reply
{
  fleet_share_result_t fixed;
  message_items_t items;
} share_reply_t;

/* XDR filters.  While a message is encoded, its items are those of this build,
   whatever it holds.  */
bool_t message_xdr_pull (XDR *xdr, pull_message_t *message);
bool_t message_xdr_pull_reply (XDR *xdr, pull_reply_t *message);
bool_t message_xdr_share (XDR *xdr, share_message_t *message);
bool_t message_xdr_share_reply (XDR *xdr, share_reply_t *message);

/* The form that ITEMS tell; MESSAGE_FORM_FIRST if they tell none, or
   MESSAGE_FORM_NOT_TOLD if they could not be read.  */
uint32_t message_items_form (const message_items_t *items);

#endif
