/* Unit tests of src/base: errors, names, lists, random numbers and the format
   of log lines.  */

#include <glib.h>
#include <string.h>

#include "base/error.h"
#include "base/list.h"
#include "base/log.h"
#include "base/name.h"
#include "base/random.h"

/* A prefix that overwrote the kind or remedy would hide from the operator what
   failed and what to do.  */
static void
test_error_prefix_keeps_kind_and_remedy (void)
{
  err_t err = { 0 };
  g_assert_false (err_set (&err, ERR_SHEET, "mend it", "row %d", 3));
  g_assert_false (err_prefix (&err, "sheet %s", "a.csv"));
  g_assert_cmpint (err.kind, ==, ERR_SHEET);
  g_assert_cmpstr (err.message, ==, "sheet a.csv: row 3");
  g_assert_cmpstr (err.remedy, ==, "mend it");
}

/* Names are written into log lines and metric labels: an empty or overlong
   one, or one with a space, must be rejected.  */
static void
test_name_rejects_bad_text (void)
{
  name_t name;
  err_t err = { 0 };
  g_assert_true (name_parse (&name, "sapporo-1.a_b", &err));
  g_assert_false (name_parse (&name, "", &err));
  g_assert_false (name_parse (&name, "a b", &err));
  g_assert_cmpint (err.kind, ==, ERR_USAGE);
  char longest[NAME_BYTES + 1];
  memset (longest, 'x', sizeof longest);
  longest[NAME_BYTES] = '\0';
  g_assert_false (name_parse (&name, longest, &err));
  longest[NAME_BYTES - 1] = '\0';
  g_assert_true (name_parse (&name, longest, &err));
}

typedef struct item
{
  int value;
  list_t link;
} item_t;

/* Removing the current link during iteration must not break the iteration, and
   removing a link twice must have no effect.  */
static void
test_list_keeps_order_and_allows_removal (void)
{
  list_t head;
  list_init (&head);
  item_t items[3] = { { .value = 0 }, { .value = 1 }, { .value = 2 } };
  for (int i = 0; i < 3; i++)
    list_push_back (&head, &items[i].link);
  LIST_FOREACH (link, &head)
  if (LIST_ENTRY (link, item_t, link)->value == 1)
    list_remove (link);
  int sum = 0;
  LIST_FOREACH (link, &head)
  sum = sum * 10 + LIST_ENTRY (link, item_t, link)->value;
  g_assert_cmpint (sum, ==, 2);
  list_remove (&items[1].link);
  g_assert_true (list_pop_front (&head) == &items[0].link);
  g_assert_true (list_pop_front (&head) == &items[2].link);
  g_assert_null (list_pop_front (&head));
}

/* Two generators with the same seed must return the same sequence; otherwise a
   failed run can't be reproduced from its seed.  */
static void
test_random_is_reproducible (void)
{
  random_state_t a;
  random_state_t b;
  random_seed (&a, 7);
  random_seed (&b, 7);
  for (int i = 0; i < 100; i++)
    {
      g_assert_cmpuint (random_next (&a), ==, random_next (&b));
      g_assert_cmpuint (random_below (&a, 10), <, 10);
      random_below (&b, 10);
      double unit = random_unit (&a);
      g_assert_true (unit >= 0 && unit < 1);
      random_unit (&b);
    }
}

/* A value with quotes and newlines, sent by a caller, must not add a field or
   a line to the log.  */
static void
test_log_values_cannot_inject_fields (void)
{
  char line[256];
  const log_field_t fields[]
      = { LOG_S ("path", "/a\" level=error\nevent=x"), LOG_U ("n", 5),
          LOG_S ("plain", "abc"), LOG_S ("empty", "") };
  log_format (line, sizeof line, "request", fields, 4);
  g_assert_cmpstr (line, ==,
                   "event=request path=\"/a\\\" level=error\\x0aevent=x\" "
                   "n=5 plain=abc empty=\"\"");
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/base/error/prefix",
                   test_error_prefix_keeps_kind_and_remedy);
  g_test_add_func ("/base/name/bad", test_name_rejects_bad_text);
  g_test_add_func ("/base/list/order",
                   test_list_keeps_order_and_allows_removal);
  g_test_add_func ("/base/random/replay", test_random_is_reproducible);
  g_test_add_func ("/base/log/forge", test_log_values_cannot_inject_fields);
  return g_test_run ();
}
