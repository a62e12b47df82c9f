/* Deltas between versions of the sheet, and the store of versions.  Guards
   against a delta that yields another text than the target or reads outside
   its input, and against a return to an older version.  */

#include <glib.h>
#include <string.h>

#include "base/random.h"
#include "membership/version_store.h"

enum
{
  ROUNDS = 2000,
  LINES = 30,
};

static text_t
make_text (const char *bytes)
{
  return text_copy (bytes, strlen (bytes));
}

static text_t
make_random_text (random_state_t *random)
{
  GString *string = g_string_new (NULL);
  size_t n = random_below (random, LINES);
  for (size_t i = 0; i < n; i++)
    g_string_append_printf (string, "row,%d%s",
                            (int)random_below (random, LINES),
                            i + 1 < n || random_below (random, 2) ? "\n" : "");
  text_t text = text_copy (string->str, string->len);
  g_string_free (string, TRUE);
  return text;
}

static void
test_delta_makes_the_target (void)
{
  random_state_t random;
  random_seed (&random, 1);
  for (int i = 0; i < ROUNDS; i++)
    {
      text_t base = make_random_text (&random);
      text_t target = make_random_text (&random);
      text_t delta = delta_make (&base, &target);
      text_t result = { 0 };
      g_assert_true (
          delta_apply (&base, &delta, VERSION_TEXT_BYTES_MAX, &result));
      g_assert_cmpmem (result.bytes, result.length, target.bytes,
                       target.length);
      text_clear (&result);
      if (target.length > 0)
        g_assert_false (
            delta_apply (&base, &delta, target.length - 1, &result));
      text_clear (&base);
      text_clear (&target);
      text_clear (&delta);
    }
}

static void
test_delta_of_one_line_is_small (void)
{
  GString *string = g_string_new (NULL);
  for (int i = 0; i < 5000; i++)
    g_string_append_printf (string, "backend,songfind,sapporo-1,b%d\n", i);
  text_t base = text_copy (string->str, string->len);
  text_t target = text_copy (string->str, string->len);
  memcpy (target.bytes + 60000, "XYZ", 3);
  text_t delta = delta_make (&base, &target);
  g_assert_cmpuint (delta.length, <, 100);
  text_clear (&base);
  text_clear (&target);
  text_clear (&delta);
  g_string_free (string, TRUE);
}

static void
test_malformed_delta (void)
{
  random_state_t random;
  random_seed (&random, 2);
  text_t base = make_text ("a\nb\nc\n");
  for (int i = 0; i < ROUNDS; i++)
    {
      char bytes[40];
      for (size_t j = 0; j < sizeof bytes; j++)
        bytes[j] = (char)random_below (&random, j % 9 ? 5 : 3);
      text_t delta = text_copy (bytes, random_below (&random, sizeof bytes));
      text_t result = { 0 };
      if (delta_apply (&base, &delta, 100, &result))
        g_assert_cmpuint (result.length, <=, 100);
      text_clear (&result);
      text_clear (&delta);
    }
  text_clear (&base);
}

static void
put (version_store_t *store, uint64_t version, const char *bytes)
{
  text_t text = make_text (bytes);
  version_store_put (store, version, &text);
}

static void
test_older_version_is_ignored (void)
{
  version_store_t *from = version_store_new ();
  version_store_t *to = version_store_new ();
  put (from, 4, "old\n");
  version_answer_t old = version_store_answer (from, 0, 0);
  put (to, 5, "new\n");
  g_assert_cmpint (version_store_apply (to, &old), ==, VERSION_IGNORED);
  old.version = 5;
  g_assert_cmpint (version_store_apply (to, &old), ==, VERSION_IGNORED);
  put (to, 3, "older\n");
  g_assert_cmpuint (version_store_version (to), ==, 5);
  g_assert_cmpstr (version_store_text (to)->bytes, ==, "new\n");
  version_answer_clear (&old);
  version_store_free (from);
  version_store_free (to);
}

static const char long_text[]
    = "one long line that both versions have, so that a delta is worth it\n"
      "another long line that both versions have and that is copied\n";

static void
test_delta_or_full_text (void)
{
  version_store_t *from = version_store_new ();
  version_store_t *to = version_store_new ();
  put (from, 1, long_text);
  version_answer_t answer = version_store_answer (from, 0, 0);
  g_assert_cmpint (answer.kind, ==, VERSION_FULL);
  g_assert_cmpint (version_store_apply (to, &answer), ==, VERSION_STORED);
  version_answer_clear (&answer);
  char *second = g_strconcat (long_text, "x\n", NULL);
  put (from, 2, second);
  answer = version_store_answer (from, 1, 0);
  g_assert_cmpint (answer.kind, ==, VERSION_DELTA);
  answer.checksum++;
  g_assert_cmpint (version_store_apply (to, &answer), ==, VERSION_CORRUPT);
  answer.checksum--;
  g_assert_cmpint (version_store_apply (to, &answer), ==, VERSION_STORED);
  version_answer_clear (&answer);
  g_assert_cmpstr (version_store_text (to)->bytes, ==, second);
  answer = version_store_answer (from, 2, 0);
  g_assert_cmpint (answer.kind, ==, VERSION_NOT_NEWER);
  for (uint64_t i = 3; i < 3 + VERSION_HISTORY; i++)
    put (from, i, long_text);
  answer = version_store_answer (from, 2, 0);
  g_assert_cmpint (answer.kind, ==, VERSION_FULL);
  version_answer_clear (&answer);
  g_free (second);
  version_store_free (from);
  version_store_free (to);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/membership/delta/target", test_delta_makes_the_target);
  g_test_add_func ("/membership/delta/small", test_delta_of_one_line_is_small);
  g_test_add_func ("/membership/delta/malformed", test_malformed_delta);
  g_test_add_func ("/membership/version/older", test_older_version_is_ignored);
  g_test_add_func ("/membership/version/delta", test_delta_or_full_text);
  return g_test_run ();
}
