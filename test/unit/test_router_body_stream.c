/* Guards against bytes that are lost, doubled or reordered while a body is
   passed on as it comes.  */

#include <glib.h>
#include <string.h>

#include "router/body_stream.h"

enum
{
  SEEDS = 50,
  STEPS = 500,
};

static char
byte_at (uint64_t position)
{
  return (char)(position * 7 + position / 251);
}

static void
put (body_stream_t *stream, uint64_t *n_put, size_t n)
{
  g_autofree char *bytes = g_malloc (n + 1);
  for (size_t i = 0; i < n; i++)
    bytes[i] = byte_at (*n_put + i);
  body_stream_put (stream, bytes, n);
  *n_put += n;
}

static size_t
take (body_stream_t *stream, uint64_t *n_taken, size_t n)
{
  g_autofree char *bytes = g_malloc (n + 1);
  size_t n_got = body_stream_take (stream, bytes, n);
  for (size_t i = 0; i < n_got; i++)
    g_assert_cmpint (bytes[i], ==, byte_at (*n_taken + i));
  *n_taken += n_got;
  return n_got;
}

static void
test_any_order (void)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    {
      g_autoptr (GRand) random = g_rand_new_with_seed (seed);
      body_stream_t *stream = body_stream_new (1);
      uint64_t n_put = 0;
      uint64_t n_taken = 0;
      for (int step = 0; step < STEPS; step++)
        {
          size_t room = body_stream_room (stream);
          g_assert_cmpuint (room, ==, BODY_STREAM_BYTES - (n_put - n_taken));
          size_t n = (size_t)g_rand_int_range (random, 0, (gint32)room + 1);
          put (stream, &n_put, n);
          take (stream, &n_taken,
                (size_t)g_rand_int_range (random, 0, BODY_STREAM_BYTES));
        }
      take (stream, &n_taken, BODY_STREAM_BYTES);
      g_assert_cmpuint (n_taken, ==, n_put);
      g_assert_cmpuint (take (stream, &n_taken, 1), ==, 0);
      body_stream_free (stream);
    }
}

static void
test_full (void)
{
  body_stream_t *stream = body_stream_new (BODY_STREAM_BYTES);
  uint64_t n_put = 0;
  uint64_t n_taken = 0;
  put (stream, &n_put, BODY_STREAM_BYTES);
  g_assert_cmpuint (body_stream_room (stream), ==, 0);
  g_assert_cmpuint (take (stream, &n_taken, BODY_STREAM_BYTES), ==,
                    BODY_STREAM_BYTES);
  g_assert_cmpuint (body_stream_length (stream), ==, BODY_STREAM_BYTES);
  body_stream_free (stream);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/body-stream/any-order", test_any_order);
  g_test_add_func ("/body-stream/full", test_full);
  return g_test_run ();
}
