/* The limit in a response's head.  Guards against odd texts that limit a
   backend server, or end its limit.  */

#include <glib.h>
#include <string.h>

#include "router/response_reader.h"

static limit_statement_t
read_limit (const char *fields, size_t *n_invalid)
{
  response_reader_t reader = { .id = "" };
  g_autofree char *head = g_strconcat (
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", fields, "\r\n", NULL);
  for (const char *line = head; *line;)
    {
      const char *end = strchr (line, '\n') + 1;
      g_assert_true (
          response_reader_head (&reader, line, (size_t)(end - line)));
      line = end;
    }
  limit_statement_t limit = reader.response.limit;
  *n_invalid = reader.response.n_invalid_notices;
  backend_response_clear (&reader.response);
  return limit;
}

static void
test_readable (void)
{
  const struct
  {
    const char *fields;
    double rate;
  } cases[] = {
    { "Server-Limit: 1.1\r\n", 1.1 },
    { "server-limit:  2.8 \r\n", 2.8 },
    { "Server-Limit: 0\r\n", 0 },
    { "Server-Limit: 0.3\r\n", 0.3 },
    { "Server-Limit: 12\r\nServer-Limit: 12.0\r\n", 12 },
    { "Server-Limit: 1000000.5\r\n", BACKEND_LIMIT_MAX },
    { "Server-Limit: 99999999999999999999\r\n", BACKEND_LIMIT_MAX },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      size_t n_invalid;
      limit_statement_t limit = read_limit (cases[i].fields, &n_invalid);
      g_assert_cmpint (limit.kind, ==, LIMIT_NAMED);
      g_assert_cmpfloat_with_epsilon (limit.rate, cases[i].rate, 1e-9);
      g_assert_cmpuint (n_invalid, ==, 0);
    }
}

static void
test_odd (void)
{
  const char *const cases[] = { "Server-Limit: nan\r\n",
                                "Server-Limit: inf\r\n",
                                "Server-Limit: -1\r\n",
                                "Server-Limit: +1\r\n",
                                "Server-Limit: 1e3\r\n",
                                "Server-Limit: 0x10\r\n",
                                "Server-Limit:\r\n",
                                "Server-Limit: 1,5\r\n",
                                "Server-Limit: 1 2\r\n",
                                "Server-Limit: 1.2.3\r\n",
                                "Server-Limit: 1\r\nServer-Limit: 2\r\n",
                                "Server-Limit: 1\r\nServer-Limit: x\r\n" };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      size_t n_invalid;
      limit_statement_t limit = read_limit (cases[i], &n_invalid);
      g_assert_cmpint (limit.kind, ==, LIMIT_UNREADABLE);
      g_assert_cmpuint (n_invalid, ==, 1);
    }
}

static void
test_none (void)
{
  size_t n_invalid;
  limit_statement_t limit = read_limit ("Server-Load: 1,0,3\r\n", &n_invalid);
  g_assert_cmpint (limit.kind, ==, LIMIT_NOT_NAMED);
  g_assert_cmpuint (n_invalid, ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/server-limit/readable", test_readable);
  g_test_add_func ("/server-limit/odd", test_odd);
  g_test_add_func ("/server-limit/none", test_none);
  return g_test_run ();
}
