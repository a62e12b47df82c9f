/* Guards against uploads that are reset because their server pauses while it
   reads, against servers that fall silent and are noticed late, and against
   whole answers that are dropped because their upload has not ended.  */

#include <curl/curl.h>
#include <glib.h>
#include <string.h>

#include "balance/answer_class.h"
#include "base/clock.h"
#include "router/backend_http.h"

#include "../support/upload_server.h"

enum
{
  BUDGET_BYTES = 32 * 1024 * 1024,
  CALLS_MAX = 8,
};

#define CALL_TIMEOUT (30 * USEC_PER_SEC)

/* The result of one call; its owner.  */
typedef struct result
{
  bool has_ended;
  bool is_complete;
  unsigned int status;
  bool was_cut_off;
  bool timed_out;
  bool was_reused;
  usec_t started_at;
  usec_t took;
} result_t;

typedef struct fixture
{
  upload_server_t server;
  poller_t *poller;
  backend_http_t *client;
  body_budget_t budget;
  char *body;
  result_t results[CALLS_MAX];
} fixture_t;

static void
on_done (void *closure, void *owner, backend_response_t *response)
{
  fixture_t *fixture = closure;
  result_t *result = owner;
  result->has_ended = true;
  result->is_complete = response->is_complete && response->id_matches
                        && response->body_bytes == 2;
  result->status = response->status;
  result->was_cut_off = response->was_cut_off;
  result->timed_out = response->timed_out;
  result->was_reused = response->was_reused;
  result->took = clock_monotonic () - result->started_at;
  g_atomic_int_inc (&fixture->server.n_ended);
}

static void
fixture_open (fixture_t *fixture)
{
  *fixture = (fixture_t){ .budget = { .max = BUDGET_BYTES } };
  fixture->body = g_strnfill (UPLOAD_BYTES, 'x');
  upload_server_start (&fixture->server);
  fixture->poller = poller_new (NULL);
  const backend_http_options_t options = { .poller = fixture->poller,
                                           .own_address = "127.0.0.1",
                                           .budget = &fixture->budget,
                                           .closure = fixture,
                                           .done = on_done };
  fixture->client = backend_http_new (&options);
}

static void
fixture_close (fixture_t *fixture)
{
  g_atomic_int_set (&fixture->server.is_closing, 1);
  backend_http_free (fixture->client);
  poller_free (fixture->poller);
  upload_server_stop (&fixture->server);
  g_free (fixture->body);
}

static void
start_as (fixture_t *fixture, const char *id, size_t i, const char *target,
          size_t body_bytes)
{
  g_autofree char *field = g_strdup_printf ("Request-Id: %s", id);
  struct curl_slist *headers = curl_slist_append (NULL, field);
  result_t *result = &fixture->results[i];
  *result = (result_t){ .started_at = clock_monotonic () };
  const backend_request_t request
      = { .address = fixture->server.address,
          .method = body_bytes > 0 ? "POST" : "GET",
          .target = target,
          .id = id,
          .headers = curl_slist_append (headers, "Expect:"),
          .body = fixture->body,
          .body_bytes = body_bytes,
          .timeout = CALL_TIMEOUT,
          .connect_timeout = CALL_TIMEOUT,
          .owner = result };
  backend_http_call (fixture->client, &request);
}

/* The id is the one that the server answers with.  */
static void
start (fixture_t *fixture, size_t i, const char *target, size_t body_bytes)
{
  start_as (fixture, "id-1", i, target, body_bytes);
}

static void
run_once (fixture_t *fixture)
{
  poller_event_t event;
  if (poller_wait (fixture->poller, POLL_SPAN, &event))
    backend_http_socket_ready (fixture->client, event.watch, event.ready);
  backend_http_tick (fixture->client, clock_monotonic ());
}

/* Runs the client until N calls have ended.  */
static void
run_until_ended (fixture_t *fixture, gint n)
{
  while (g_atomic_int_get (&fixture->server.n_ended) < n)
    run_once (fixture);
}

static void
run_until (fixture_t *fixture, usec_t end)
{
  while (clock_monotonic () < end)
    run_once (fixture);
}

static void
assert_silence_noticed (const result_t *result, const char *what)
{
  g_test_message ("%s: noticed after %" G_GINT64_FORMAT " ms", what,
                  (gint64)(result->took / USEC_PER_MSEC));
  g_assert_true (result->was_cut_off);
  g_assert_false (result->is_complete);
  g_assert_false (result->timed_out);
}

/* A server that pauses and acknowledges is awaited, and beside it two that
   acknowledge nothing are noticed: one falls silent before the upload, one
   after its window has been closed for a while.  The first one goes on reading
   only when both were noticed.  */
static void
test_slow_and_silent (void)
{
  enum
  {
    SLOW,
    OPEN,
    CLOSED,
    FIRST,
  };
  fixture_t fixture;
  fixture_open (&fixture);
  g_atomic_int_set (&fixture.server.n_others, 3);
  start (&fixture, FIRST, "/silent-next", 0);
  run_until_ended (&fixture, 1);
  g_assert_true (fixture.results[FIRST].is_complete);
  start_as (&fixture, "id-2", OPEN, "/upload", UPLOAD_BYTES);
  start (&fixture, CLOSED, "/silent-when-closed", UPLOAD_BYTES);
  start (&fixture, SLOW, "/slow-reader", UPLOAD_BYTES);
  run_until_ended (&fixture, 4);
  g_assert_true (fixture.results[OPEN].was_reused);
  assert_silence_noticed (&fixture.results[OPEN], "silent from the start");
  assert_silence_noticed (&fixture.results[CLOSED], "silent after 2500 ms");
  g_assert_true (fixture.results[SLOW].is_complete);
  g_assert_cmpint (g_atomic_int_get (&fixture.server.n_whole), ==, 1);
  fixture_close (&fixture);
}

/* This process is not scheduled for a while, as the server's window is closed
   and before it can be seen to be: the kernel does not end the connection
   meanwhile.  */
static void
test_not_scheduled (void)
{
  static const struct
  {
    usec_t runs, absent;
  } cases[] = {
    { 1500 * USEC_PER_MSEC, 1000 * USEC_PER_MSEC },
    { 50 * USEC_PER_MSEC, 2500 * USEC_PER_MSEC },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fixture_t fixture;
      fixture_open (&fixture);
      start (&fixture, 0, "/slow-reader", UPLOAD_BYTES);
      run_until (&fixture, clock_monotonic () + cases[i].runs);
      g_usleep ((gulong)cases[i].absent);
      run_until_ended (&fixture, 1);
      g_assert_true (fixture.results[0].is_complete);
      fixture_close (&fixture);
    }
}

/* A server with a small window reads a little at a time: Linux counts the time
   in which it probes that window as a whole, although bytes arrive meanwhile.
 */
static void
test_trickle (void)
{
  fixture_t fixture;
  fixture_open (&fixture);
  upload_server_set_window (&fixture.server, TRICKLE_WINDOW_BYTES);
  start (&fixture, 0, "/trickle", TRICKLE_UPLOAD_BYTES);
  run_until_ended (&fixture, 1);
  g_assert_true (fixture.results[0].is_complete);
  g_assert_cmpint (g_atomic_int_get (&fixture.server.n_whole), ==, 1);
  fixture_close (&fixture);
}

/* The whole answer to DATA, a path, is delivered while the server does not
   read; its connection is closed, and the next request gets another.  */
static void
test_early_answer (gconstpointer data)
{
  fixture_t fixture;
  fixture_open (&fixture);
  g_atomic_int_set (&fixture.server.n_others, 1);
  start (&fixture, 0, data, UPLOAD_BYTES);
  run_until_ended (&fixture, 1);
  g_assert_true (fixture.results[0].is_complete);
  g_assert_cmpuint (fixture.results[0].status, ==,
                    g_str_equal (data, "/early-refused") ? 503 : 200);
  g_assert_false (fixture.results[0].was_cut_off);
  start (&fixture, 1, "/next", 0);
  run_until_ended (&fixture, 2);
  g_assert_true (fixture.results[1].is_complete);
  g_assert_false (fixture.results[1].was_reused);
  fixture_close (&fixture);
  g_assert_cmpint (fixture.server.n_requests, ==, 2);
  g_assert_cmpint (fixture.server.n_whole, ==, 0);
}

/* The rest of the upload is in the kernel's buffer when the answer comes: the
   next request does not wait behind it.  */
static void
test_early_answer_buffered (void)
{
  fixture_t fixture;
  fixture_open (&fixture);
  g_atomic_int_set (&fixture.server.n_others, 2);
  start (&fixture, 0, "/early", BUFFERED_BYTES);
  run_until_ended (&fixture, 1);
  g_assert_true (fixture.results[0].is_complete);
  start (&fixture, 1, "/next", 0);
  run_until_ended (&fixture, 2);
  g_assert_true (fixture.results[1].is_complete);
  g_assert_false (fixture.results[1].was_reused);
  fixture_close (&fixture);
}

/* An answer of which a part has come before the connection ends is not whole.
 */
static void
test_no_whole_answer (void)
{
  fixture_t fixture;
  fixture_open (&fixture);
  start (&fixture, 0, "/no-whole-answer", UPLOAD_BYTES);
  run_until_ended (&fixture, 1);
  g_assert_false (fixture.results[0].is_complete);
  fixture_close (&fixture);
}

int
main (int argc, char **argv)
{
  curl_global_init (CURL_GLOBAL_DEFAULT);
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/router/upload/slow-and-silent", test_slow_and_silent);
  g_test_add_func ("/router/upload/not-scheduled", test_not_scheduled);
  g_test_add_func ("/router/upload/trickle", test_trickle);
  g_test_add_data_func ("/router/upload/early", "/early", test_early_answer);
  g_test_add_data_func ("/router/upload/early-in-chunks", "/early-in-chunks",
                        test_early_answer);
  g_test_add_data_func ("/router/upload/early-refused", "/early-refused",
                        test_early_answer);
  g_test_add_data_func ("/router/upload/early-then-close", "/early-then-close",
                        test_early_answer);
  g_test_add_func ("/router/upload/early-buffered",
                   test_early_answer_buffered);
  g_test_add_func ("/router/upload/no-whole-answer", test_no_whole_answer);
  return g_test_run ();
}
