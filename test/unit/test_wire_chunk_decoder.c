/* Guards against a size of a chunk that is read in part ("0x384" as 0, the
   last chunk), and a body in chunks that is told as whole without its end.  */

#include <glib.h>
#include <string.h>

#include "wire/chunk_decoder.h"

#define CHUNK "2\r\nok\r\n"
#define LAST "0\r\n\r\n"

/* What was sent, and its data: NULL, it is malformed.  */
static const struct
{
  const char *sent;
  const char *data;
  size_t n_beyond;
} bodies[] = {
  { LAST, "", 0 },
  { CHUNK LAST, "ok", 0 },
  { "00000000000002\r\nok\r\n000\r\n\r\n", "ok", 0 },
  { "a\r\n0123456789\r\nB\r\n0123456789a\r\n" LAST, "01234567890123456789a",
    0 },
  { "4\r\n\r\n\r\n\r\n" LAST, "\r\n\r\n", 0 },
  { "2;\r\nok\r\n0;x\r\n\r\n", "ok", 0 },
  { "2;a=\"b;c\"; d\t=e\r\nok\r\n" LAST, "ok", 0 },
  { CHUNK "0\r\nX-Sum: 1\r\nY:\r\n\r\n", "ok", 0 },
  { CHUNK "0\r\nContent-Length: 9\r\n\r\n", "ok", 0 },
  { CHUNK LAST "HTTP", "ok", 4 },
  { CHUNK LAST LAST, "ok", 5 },
  { "0x2\r\nok\r\n" LAST, NULL, 0 },
  { "0x\r\nok\r\n" LAST, NULL, 0 },
  { "2x\r\nok\r\n" LAST, NULL, 0 },
  { "+2\r\nok\r\n" LAST, NULL, 0 },
  { "-2\r\nok\r\n" LAST, NULL, 0 },
  { " 2\r\nok\r\n" LAST, NULL, 0 },
  { "2 \r\nok\r\n" LAST, NULL, 0 },
  { "2 ;a\r\nok\r\n" LAST, NULL, 0 },
  { "\t2\r\nok\r\n" LAST, NULL, 0 },
  { "2,2\r\nok\r\n" LAST, NULL, 0 },
  { "2.0\r\nok\r\n" LAST, NULL, 0 },
  { "\r\nok\r\n" LAST, NULL, 0 },
  { ";a\r\nok\r\n" LAST, NULL, 0 },
  { "2\nok\r\n" LAST, NULL, 0 },
  { "2\r\r\nok\r\n" LAST, NULL, 0 },
  { "2;a\nok\r\n" LAST, NULL, 0 },
  { "2;a\rb\r\nok\r\n" LAST, NULL, 0 },
  { "2;\x01\r\nok\r\n" LAST, NULL, 0 },
  { "2\r\nokay\r\n" LAST, NULL, 0 },
  { "2\r\nok\n" LAST, NULL, 0 },
  { "2\r\nok" LAST, NULL, 0 },
  { CHUNK "\r\n" LAST, NULL, 0 },
  { "10000000000000002\r\nok\r\n" LAST, NULL, 0 },
  { "00000000000000002\r\nok\r\n" LAST, NULL, 0 },
  { "8000000000000000\r\nok\r\n" LAST, NULL, 0 },
  { "0\r\n\n", NULL, 0 },
  { "0\n\n", NULL, 0 },
  { "0\r\n\r\r\n", NULL, 0 },
  { "0\r\nHTTP/1.1 200 OK\r\n\r\n", NULL, 0 },
  { "0\r\nX-Sum\r\n\r\n", NULL, 0 },
  { "0\r\nX-Sum : 1\r\n\r\n", NULL, 0 },
  { "0\r\n: 1\r\n\r\n", NULL, 0 },
  { "0\r\nX: 1\r\n folded\r\n\r\n", NULL, 0 },
  { "0\r\nX: 1\n\r\n", NULL, 0 },
  { "0\r\nX: 1\x7f\r\n\r\n", NULL, 0 },
};

/* Read the bytes from BEGIN to END, each in memory of its own.  */
static void
read_part (chunk_decoder_t *decoder, GString *data, const char *begin,
           const char *end)
{
  size_t length = (size_t)(end - begin);
  g_autofree char *copy = g_memdup2 (begin, length);
  g_autofree char *body = g_malloc (length + 1);
  chunk_decoder_t counted = *decoder;
  size_t n = chunk_decoder_read (decoder, copy, length, body);
  g_assert_cmpuint (chunk_decoder_read (&counted, copy, length, NULL), ==, n);
  g_assert_cmpint (counted.state, ==, decoder->state);
  g_string_append_len (data, body, (gssize)n);
}

/* Also if the body comes in two parts, wherever it is split.  */
static void
test_bodies (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (bodies); i++)
    for (const char *cut = bodies[i].sent;; cut++)
      {
        const char *sent = bodies[i].sent;
        chunk_decoder_t decoder = { 0 };
        g_autoptr (GString) data = g_string_new ("");
        read_part (&decoder, data, sent, cut);
        read_part (&decoder, data, cut, sent + strlen (sent));
        bool is_good = bodies[i].data != NULL;
        if (chunk_decoder_has_ended (&decoder) != is_good
            || chunk_decoder_is_malformed (&decoder) == is_good)
          g_error ("read wrongly: %s", sent);
        if (is_good)
          g_assert_cmpstr (data->str, ==, bodies[i].data);
        g_assert_cmpuint (decoder.n_beyond, ==, bodies[i].n_beyond);
        if (*cut == '\0')
          break;
      }
}

/* A part is neither whole nor malformed.  */
static void
test_parts (void)
{
  static const char whole[] = "2;a=b\r\nok\r\n1\r\n!\r\n0\r\nX: 1\r\n\r\n";
  for (size_t n = 0; n < sizeof whole - 1; n++)
    {
      chunk_decoder_t decoder = { 0 };
      chunk_decoder_read (&decoder, whole, n, NULL);
      g_assert_false (chunk_decoder_has_ended (&decoder));
      g_assert_false (chunk_decoder_is_malformed (&decoder));
    }
}

/* Guards against a response without end that has no data.  */
static void
test_bounds (void)
{
  static const char *const begins[] = { "1;", "0\r\n", "0\r\nX:" };
  g_autofree char *filler = g_strnfill (CHUNK_SPARE_BYTES_MAX, 'a');
  for (size_t i = 0; i < G_N_ELEMENTS (begins); i++)
    {
      chunk_decoder_t decoder = { 0 };
      chunk_decoder_read (&decoder, begins[i], strlen (begins[i]), NULL);
      chunk_decoder_read (&decoder, filler, CHUNK_SPARE_BYTES_MAX - 2, NULL);
      g_assert_false (chunk_decoder_is_malformed (&decoder));
      chunk_decoder_read (&decoder, filler, 3, NULL);
      g_assert_true (chunk_decoder_is_malformed (&decoder));
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/chunk_decoder/bodies", test_bodies);
  g_test_add_func ("/chunk_decoder/parts", test_parts);
  g_test_add_func ("/chunk_decoder/bounds", test_bounds);
  return g_test_run ();
}
