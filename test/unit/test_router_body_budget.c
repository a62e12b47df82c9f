/* The memory for bodies: guards against large bodies that take the room of all
   others, and against waiting for room that never comes.  */

#include <glib.h>
#include <string.h>

#include "router/body_budget.h"
#include "router/response_reader.h"

enum
{
  MAX_BYTES = 1024 * 1024,
  LARGE_MAX = MAX_BYTES / 4 * 3,
};

static void
test_large_leave_room (void)
{
  body_budget_t budget = { .max = MAX_BYTES };
  g_assert_true (body_budget_resize (&budget, BODY_CERTAIN, 0, LARGE_MAX));
  g_assert_false (
      body_budget_resize (&budget, BODY_CERTAIN, 0, SMALL_BODY_BYTES + 1));
  g_assert_false (body_budget_is_full (&budget));
  size_t n = 0;
  while (body_budget_resize (&budget, BODY_CERTAIN, 0, SMALL_BODY_BYTES))
    n++;
  g_assert_cmpuint (n, ==, (MAX_BYTES - LARGE_MAX) / SMALL_BODY_BYTES);
  g_assert_true (body_budget_is_full (&budget));
  g_assert_cmpuint (budget.used, ==, MAX_BYTES);
}

/* A body that has grown from small to large counts as a whole.  */
static void
test_growing (void)
{
  body_budget_t budget = { .max = MAX_BYTES };
  g_assert_true (
      body_budget_resize (&budget, BODY_GROWING, 0, SMALL_BODY_BYTES));
  g_assert_true (body_budget_resize (&budget, BODY_GROWING, SMALL_BODY_BYTES,
                                     2 * SMALL_BODY_BYTES));
  g_assert_cmpuint (budget.large, ==, 2 * SMALL_BODY_BYTES);
  g_assert_false (body_budget_will_free (&budget));
  g_assert_false (body_budget_resize (&budget, BODY_GROWING,
                                      2 * SMALL_BODY_BYTES, LARGE_MAX + 1));
  g_assert_cmpuint (budget.used, ==, 2 * SMALL_BODY_BYTES);
  uint64_t n_releases = budget.n_releases;
  body_budget_complete (&budget, 2 * SMALL_BODY_BYTES);
  g_assert_true (body_budget_will_free (&budget));
  g_assert_true (
      body_budget_resize (&budget, BODY_CERTAIN, 2 * SMALL_BODY_BYTES, 0));
  g_assert_cmpuint (budget.n_releases, ==, n_releases + 2);
  g_assert_cmpuint (budget.used + budget.large + budget.growing, ==, 0);
}

/* Sizes that a backend server claims must not wrap around.  */
static void
test_huge (void)
{
  body_budget_t budget = { .max = MAX_BYTES };
  g_assert_false (body_budget_resize (&budget, BODY_CERTAIN, 0, SIZE_MAX));
  g_assert_true (body_budget_resize (&budget, BODY_CERTAIN, 0, 10));
  g_assert_false (body_budget_resize (&budget, BODY_CERTAIN, 0, SIZE_MAX));
  g_assert_cmpuint (budget.used, ==, 10);
}

/* Guards against a budget that goes wrong for good: a backend server gives a
   length, and then sends more in chunks.  The head is rejected; the budget
   holds all the same if the body is read.  */
static void
test_length_exceeded (void)
{
  enum
  {
    LENGTH = 100000,
    PART = 50000,
    PARTS = 6,
  };
  static const char *const head[]
      = { "HTTP/1.1 200 OK\r\n", "Request-Id: id-1\r\n",
          "Content-Length: 100000\r\n", "Transfer-Encoding: chunked\r\n",
          "\r\n" };
  body_budget_t budget = { .max = 4 * MAX_BYTES };
  response_reader_t *reader = g_new0 (response_reader_t, 1);
  g_autofree char *part = g_strnfill (PART, 'x');
  reader->budget = &budget;
  g_strlcpy (reader->id, "id-1", sizeof reader->id);
  for (size_t i = 0; i < G_N_ELEMENTS (head); i++)
    {
      bool is_last = i + 1 == G_N_ELEMENTS (head);
      bool goes_on = response_reader_head (reader, head[i], strlen (head[i]));
      g_assert_cmpint (goes_on, ==, !is_last);
    }
  for (int i = 0; i < PARTS; i++)
    g_assert_cmpint (response_reader_body (reader, part, PART), ==, BODY_READ);
  response_reader_finish (reader, CONNECTION_KEPT);
  g_assert_cmpuint (reader->response.body_bytes, ==, PARTS * PART);
  g_assert_cmpuint (budget.used, ==, reader->response.held_bytes);
  g_assert_cmpuint (budget.growing, ==, 0);
  backend_response_clear (&reader->response);
  g_assert_cmpuint (budget.used + budget.large + budget.growing, ==, 0);
  g_free (reader);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/body-budget/large", test_large_leave_room);
  g_test_add_func ("/body-budget/growing", test_growing);
  g_test_add_func ("/body-budget/huge", test_huge);
  g_test_add_func ("/body-budget/length-exceeded", test_length_exceeded);
  return g_test_run ();
}
