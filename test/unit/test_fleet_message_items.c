/* Guards against builds of different versions that do not understand each
   other: a message without items, with items of a later build, and with
   damaged ones.  */

#include <glib.h>
#include <string.h>

#include "fleet/message_items.h"

enum
{
  BYTES_MAX = 4096,
  KIND_OF_LATER_BUILD = 77,
};

typedef struct record
{
  char bytes[BYTES_MAX];
  u_int length;
} record_t;

static fleet_share_result_t fixed = { .list_digest = 5, .incarnation = 6 };

/* The fixed fields, and ITEMS behind them unless it is NULL.  */
static record_t
write_reply (fleet_items_t *items)
{
  record_t record = { 0 };
  XDR xdr;
  xdrmem_create (&xdr, record.bytes, BYTES_MAX, XDR_ENCODE);
  g_assert_true (xdr_fleet_share_result_t (&xdr, &fixed));
  g_assert_true (!items || xdr_fleet_items_t (&xdr, items));
  record.length = xdr_getpos (&xdr);
  return record;
}

/* Returns the form that RECORD, a reply, tells; its fixed fields are read.  */
static uint32_t
read_form (record_t *record)
{
  share_reply_t reply = { 0 };
  XDR xdr;
  xdrmem_create (&xdr, record->bytes, record->length, XDR_DECODE);
  g_assert_true (message_xdr_share_reply (&xdr, &reply));
  g_assert_cmpuint (reply.fixed.list_digest, ==, 5);
  g_assert_cmpuint (reply.fixed.incarnation, ==, 6);
  uint32_t form = message_items_form (&reply.items);
  xdr_free ((xdrproc_t)message_xdr_share_reply, (char *)&reply);
  return form;
}

static void
test_from_earlier_build (void)
{
  record_t record = write_reply (NULL);
  g_assert_cmpuint (read_form (&record), ==, MESSAGE_FORM_FIRST);
}

static void
test_own (void)
{
  share_reply_t reply = { .fixed = fixed };
  record_t record;
  XDR xdr;
  xdrmem_create (&xdr, record.bytes, BYTES_MAX, XDR_ENCODE);
  g_assert_true (message_xdr_share_reply (&xdr, &reply));
  record.length = xdr_getpos (&xdr);
  g_assert_cmpuint (read_form (&record), ==, MESSAGE_FORM);
}

/* An earlier build reads the fixed fields and passes over the rest.  */
static void
test_by_earlier_build (void)
{
  share_reply_t reply = { .fixed = fixed };
  fleet_share_result_t earlier = { 0 };
  char bytes[BYTES_MAX];
  XDR xdr;
  xdrmem_create (&xdr, bytes, BYTES_MAX, XDR_ENCODE);
  g_assert_true (message_xdr_share_reply (&xdr, &reply));
  u_int length = xdr_getpos (&xdr);
  xdrmem_create (&xdr, bytes, length, XDR_DECODE);
  g_assert_true (xdr_fleet_share_result_t (&xdr, &earlier));
  g_assert_cmpuint (earlier.list_digest, ==, 5);
}

static fleet_item_t
make_item (uint32_t kind, char *value, u_int length)
{
  return (fleet_item_t){ .kind = kind, .value = { length, value } };
}

static void
test_from_later_build (void)
{
  char other[] = "what is not known here";
  char form[] = { 0, 0, 1, 4 };
  fleet_item_t items[]
      = { make_item (KIND_OF_LATER_BUILD, other, sizeof other),
          make_item (ITEM_KIND_FORM, form, sizeof form) };
  fleet_items_t wire = { .items = { G_N_ELEMENTS (items), items } };
  record_t record = write_reply (&wire);
  g_assert_cmpuint (read_form (&record), ==, 260);
}

/* A form of another length is none.  */
static void
test_form_of_other_length (void)
{
  char form[] = { 0, 0, 0, 0, 0, 0, 0, 9 };
  fleet_item_t item = make_item (ITEM_KIND_FORM, form, sizeof form);
  fleet_items_t wire = { .items = { 1, &item } };
  record_t record = write_reply (&wire);
  g_assert_cmpuint (read_form (&record), ==, MESSAGE_FORM_FIRST);
}

/* Items that are cut short at any byte cost the items, not the message.  */
static void
test_damaged (void)
{
  char form[] = { 0, 0, 0, 9 };
  fleet_item_t item = make_item (ITEM_KIND_FORM, form, sizeof form);
  fleet_items_t wire = { .items = { 1, &item } };
  record_t whole = write_reply (&wire);
  u_int fixed_bytes = write_reply (NULL).length;
  for (u_int length = fixed_bytes + BYTES_PER_XDR_UNIT; length < whole.length;
       length++)
    {
      record_t record = whole;
      record.length = length;
      g_assert_cmpuint (read_form (&record), ==, MESSAGE_FORM_NOT_TOLD);
    }
  memset (whole.bytes + fixed_bytes, 0xff, BYTES_PER_XDR_UNIT);
  g_assert_cmpuint (read_form (&whole), ==, MESSAGE_FORM_NOT_TOLD);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/fleet/message-items/from-earlier-build",
                   test_from_earlier_build);
  g_test_add_func ("/fleet/message-items/own", test_own);
  g_test_add_func ("/fleet/message-items/by-earlier-build",
                   test_by_earlier_build);
  g_test_add_func ("/fleet/message-items/from-later-build",
                   test_from_later_build);
  g_test_add_func ("/fleet/message-items/form-of-other-length",
                   test_form_of_other_length);
  g_test_add_func ("/fleet/message-items/damaged", test_damaged);
  return g_test_run ();
}
