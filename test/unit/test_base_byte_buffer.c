#include <glib.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "base/byte_buffer.h"

enum
{
  LENGTH_MAX = 100 * 1000,
};

/* A body that came in pieces of a byte was copied once for each of them.  */
static void
test_small_pieces (void)
{
  byte_buffer_t buffer = { 0 };
  size_t n_moves = 0;
  for (size_t i = 0; i < LENGTH_MAX; i++)
    {
      size_t capacity = buffer.capacity;
      const char piece = (char)('a' + i % 26);
      g_assert_true (byte_buffer_append (&buffer, &piece, 1, LENGTH_MAX));
      n_moves += buffer.capacity != capacity;
    }
  g_assert_cmpuint (n_moves, <, 20);
  g_assert_cmpuint (strlen (buffer.bytes), ==, LENGTH_MAX);
  for (size_t i = 0; i < LENGTH_MAX; i++)
    g_assert_cmpint (buffer.bytes[i], ==, 'a' + (int)(i % 26));
  g_assert_false (byte_buffer_append (&buffer, "x", 1, LENGTH_MAX));
  g_assert_cmpuint (buffer.length, ==, LENGTH_MAX);
  free (buffer.bytes);
}

static void
test_limit (void)
{
  byte_buffer_t buffer = { 0 };
  g_assert_false (byte_buffer_append (&buffer, "abcd", 4, 3));
  g_assert_null (buffer.bytes);
  g_assert_true (byte_buffer_append (&buffer, "abc", 3, 3));
  g_assert_false (byte_buffer_append (&buffer, "d", 1, 2));
  g_assert_false (byte_buffer_append (&buffer, "d", SIZE_MAX, SIZE_MAX));
  char *text = byte_buffer_take (&buffer);
  g_assert_cmpstr (text, ==, "abc");
  g_assert_null (buffer.bytes);
  g_assert_cmpuint (buffer.length + buffer.capacity, ==, 0);
  free (text);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/base/byte-buffer/small-pieces", test_small_pieces);
  g_test_add_func ("/base/byte-buffer/limit", test_limit);
  return g_test_run ();
}
