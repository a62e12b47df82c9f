/* Requests of callers, in pieces of any size.  Guards against a request that
   is read in two ways, so that a second one hides in it, against bytes of one
   request taken for the next, and against heads without end.  */

#include <glib.h>
#include <string.h>

#include "router/request_parser.h"

/* What was read: a line a request, "METHOD TARGET [NAME=VALUE ...] BODY", and
   the end.  */
static char *
read_all (const char *data, size_t length, size_t piece)
{
  request_parser_t parser;
  GString *log = g_string_new ("");
  request_event_t event = REQUEST_MORE;
  request_parser_init (&parser);
  for (size_t at = 0;
       at < length && event != REQUEST_BAD && event != REQUEST_TOO_LARGE;)
    {
      size_t n_read = 0;
      size_t n = MIN (piece, length - at);
      event = request_parser_read (&parser, data + at, n, &n_read);
      at += n_read;
      if (event == REQUEST_HEAD)
        {
          g_string_append_printf (log, "%s %s [",
                                  request_parser_method (&parser),
                                  request_head_target (&parser.head));
          for (size_t i = 0; i < parser.head.n_fields; i++)
            g_string_append_printf (log, "%s%s=%s", i ? " " : "",
                                    request_field_name (&parser.head, i),
                                    request_field_value (&parser.head, i));
          g_string_append (log, "] ");
        }
      if (event == REQUEST_BODY)
        g_string_append_len (log, parser.body, (gssize)parser.body_bytes);
      if (event == REQUEST_WHOLE)
        g_string_append (log, parser.keeps_alive ? ";" : ".");
    }
  if (event == REQUEST_BAD)
    g_string_append (log, "BAD");
  if (event == REQUEST_TOO_LARGE)
    g_string_append (log, "TOO LARGE");
  request_parser_clear (&parser);
  return g_string_free (log, FALSE);
}

/* The result must not depend on the sizes of the pieces.  */
static void
assert_reads (const char *data, const char *expected)
{
  size_t length = strlen (data);
  for (size_t piece = 1; piece <= length; piece++)
    {
      char *log = read_all (data, length, piece);
      g_assert_cmpstr (log, ==, expected);
      g_free (log);
    }
}

static void
test_requests (void)
{
  assert_reads ("GET /a?b=1 HTTP/1.1\r\nHost: x\r\nA:  b \r\nE:\r\n\r\n",
                "GET /a?b=1 [Host=x A=b E=] ;");
  assert_reads (
      "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello",
      "POST /a [Host=x Content-Length=5] hello;");
  assert_reads ("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
                "chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: v\r\n\r\n",
                "POST /a [Host=x Transfer-Encoding=chunked] abcde;");
  assert_reads ("GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
                "GET /a [Host=x Connection=close] .");
  assert_reads ("GET /a HTTP/1.0\r\nHost: x\r\n\r\n", "GET /a [Host=x] .");
  assert_reads ("GET /a HTTP/1.1\r\nHost: x\r\nConnection: upgrade\r\n"
                "Upgrade: h2c\r\n\r\n",
                "GET /a [Host=x Connection=upgrade Upgrade=h2c] ;");
}

static void
test_pipelined (void)
{
  assert_reads ("GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
                "POST /b HTTP/1.1\r\nHost: y\r\nContent-Length: 2\r\n\r\nhi"
                "\r\nHEAD /c HTTP/1.1\r\nHost: z\r\n\r\n",
                "GET /a [Host=x] ;POST /b [Host=y Content-Length=2] hi;"
                "HEAD /c [Host=z] ;");
}

static void
test_ambiguous (void)
{
  assert_reads ("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n"
                "Content-Length: 1\r\n\r\na",
                "BAD");
  assert_reads ("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n"
                "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "BAD");
  assert_reads ("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: +1\r\n\r\na",
                "BAD");
  assert_reads ("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, "
                "chunked\r\n\r\n0\r\n\r\n",
                "BAD");
  assert_reads ("POST / HTTP/1.1\r\nHost: x\r\nContent-Length : 1\r\n\r\na",
                "BAD");
  assert_reads ("GET / HTTP/1.1\r\nHost: x\r\nA: b\r\n c\r\n\r\n", "BAD");
  assert_reads ("GET / HTTP/1.1\r\nHost: x\r\nA: b\r\n\tc\r\n\r\n", "BAD");
  assert_reads ("GET / HTTP/1.1\r\nA: b\r\n\r\n", "BAD");
  assert_reads ("GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", "BAD");
  assert_reads ("GET / HTTP/2.0\r\nHost: x\r\n\r\n", "BAD");
  assert_reads ("nonsense\r\n\r\n", "BAD");
}

static void
test_bad_chunk (void)
{
  assert_reads ("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
                "chunked\r\n\r\nzz\r\n",
                "POST / [Host=x Transfer-Encoding=chunked] BAD");
}

static void
test_long_heads (void)
{
  GString *head = g_string_new ("GET / HTTP/1.1\r\nHost: x\r\n");
  for (int i = 0; i < REQUEST_FIELDS_MAX; i++)
    g_string_append_printf (head, "A%d: b\r\n", i);
  char *log = read_all (head->str, head->len, 1000);
  g_assert_cmpstr (log, ==, "TOO LARGE");
  g_free (log);
  g_string_assign (head, "GET /");
  for (int i = 0; i < REQUEST_HEAD_BYTES_MAX + 1; i++)
    g_string_append_c (head, 'a');
  log = read_all (head->str, head->len, 1000);
  g_assert_cmpstr (log, ==, "TOO LARGE");
  g_free (log);
  g_string_free (head, TRUE);
}

static char *
cookie (const char *field, const char *name)
{
  char *data = g_strdup_printf (
      "GET / HTTP/1.1\r\nHost: x\r\nCookie: %s\r\n\r\n", field);
  request_parser_t parser;
  size_t n_read;
  size_t length = 0;
  request_parser_init (&parser);
  g_assert_cmpint (request_parser_read (&parser, data, strlen (data), &n_read),
                   ==, REQUEST_HEAD);
  const char *value = request_head_cookie (&parser.head, name, &length);
  char *copy = value ? g_strndup (value, length) : NULL;
  request_parser_clear (&parser);
  g_free (data);
  return copy;
}

static void
test_cookies (void)
{
  static const struct
  {
    const char *field;
    const char *expected;
  } cases[] = { { "Key=17", "17" },      { "A=b; Key=17; C=d", "17" },
                { "XKey=1;Key=2", "2" }, { "Key=", "" },
                { "A=Key=3", NULL },     { "Key", NULL } };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *value = cookie (cases[i].field, "Key");
      g_assert_cmpstr (value, ==, cases[i].expected);
      g_free (value);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/request-parser/requests", test_requests);
  g_test_add_func ("/request-parser/pipelined", test_pipelined);
  g_test_add_func ("/request-parser/ambiguous", test_ambiguous);
  g_test_add_func ("/request-parser/bad-chunk", test_bad_chunk);
  g_test_add_func ("/request-parser/long-heads", test_long_heads);
  g_test_add_func ("/request-parser/cookies", test_cookies);
  return g_test_run ();
}
