/* Guards against requests that are broken off because their backend server
   pauses while it reads, and against whole answers that are dropped because
   their request has not ended.  */

#include <curl/curl.h>
#include <glib.h>
#include <string.h>

#include "base/clock.h"
#include "entry/backend_client.h"
#include "wire/send_watch.h"

#include "../support/upload_server.h"

enum
{
  CALLS_MAX = 2,
  ANSWER_BYTES_MAX = 1000,
  STEPS_MAX = 12, /* of the client, in which it writes a part of an upload */
};

#define CALL_TIMEOUT (30 * USEC_PER_SEC)
#define PAUSE (SEND_WATCH_SPAN / 2)

typedef struct result
{
  bool is_complete;
  bool timed_out;
} result_t;

typedef struct fixture
{
  upload_server_t server;
  backend_client_t *client;
  char *body;
  result_t results[CALLS_MAX];
} fixture_t;

static bool
before_send (void *closure, void *owner)
{
  (void)closure;
  (void)owner;
  return true;
}

static void
on_done (void *closure, void *owner, backend_reply_t *reply)
{
  fixture_t *fixture = closure;
  result_t *result = owner;
  result->is_complete = reply->is_complete && reply->id_matches
                        && reply->status == 200 && reply->body_bytes == 2;
  result->timed_out = reply->timed_out;
  g_atomic_int_inc (&fixture->server.n_ended);
}

static void
fixture_open (fixture_t *fixture)
{
  *fixture = (fixture_t){ .body = g_strnfill (UPLOAD_BYTES, 'x') };
  upload_server_start (&fixture->server);
  const backend_client_options_t options
      = { .address = "127.0.0.1",
          .answer_bytes_max = ANSWER_BYTES_MAX,
          .connection_idle = 10 * USEC_PER_SEC,
          .closure = fixture,
          .before_send = before_send,
          .done = on_done };
  fixture->client = backend_client_new (&options);
}

static void
fixture_close (fixture_t *fixture)
{
  g_atomic_int_set (&fixture->server.is_closing, 1);
  backend_client_free (fixture->client);
  upload_server_stop (&fixture->server);
  g_free (fixture->body);
}

static void
start (fixture_t *fixture, size_t i, const char *path, size_t body_bytes)
{
  const backend_request_t request
      = { .address = "127.0.0.1",
          .port = fixture->server.address.port,
          .method = body_bytes > 0 ? "POST" : "GET",
          .path = path,
          .id = "id-1",
          .body = fixture->body,
          .body_bytes = body_bytes,
          .timeout = CALL_TIMEOUT,
          .no_resend = true,
          .owner = &fixture->results[i] };
  backend_client_call (fixture->client, &request);
}

static void
run_until_ended (fixture_t *fixture, gint n)
{
  while (g_atomic_int_get (&fixture->server.n_ended) < n)
    backend_client_run (fixture->client, POLL_SPAN, -1);
}

/* A server that pauses and acknowledges is awaited, and beside it one that
   falls silent is noticed, for which it waits.  */
static void
test_slow_and_silent (void)
{
  fixture_t fixture;
  fixture_open (&fixture);
  g_atomic_int_set (&fixture.server.n_others, 1);
  start (&fixture, 0, "/slow-reader", UPLOAD_BYTES);
  start (&fixture, 1, "/silent-when-closed", UPLOAD_BYTES);
  run_until_ended (&fixture, 2);
  g_assert_true (fixture.results[0].is_complete);
  g_assert_false (fixture.results[1].is_complete);
  g_assert_false (fixture.results[1].timed_out);
  fixture_close (&fixture);
}

/* This process is not scheduled for a while, as the server's window is closed.
 */
static void
test_not_scheduled (void)
{
  fixture_t fixture;
  fixture_open (&fixture);
  start (&fixture, 0, "/slow-reader", UPLOAD_BYTES);
  usec_t end = clock_monotonic () + 1500 * USEC_PER_MSEC;
  while (clock_monotonic () < end)
    backend_client_run (fixture.client, POLL_SPAN, -1);
  g_usleep (USEC_PER_SEC);
  run_until_ended (&fixture, 1);
  g_assert_true (fixture.results[0].is_complete);
  fixture_close (&fixture);
}

/* The whole answer to an upload of N_BYTES is delivered while the server does
   not read, and the next request gets another connection.  */
static void
check_early_answer (const char *path, size_t n_bytes)
{
  fixture_t fixture;
  fixture_open (&fixture);
  g_atomic_int_set (&fixture.server.n_others, 2);
  start (&fixture, 0, path, n_bytes);
  run_until_ended (&fixture, 1);
  g_assert_true (fixture.results[0].is_complete);
  start (&fixture, 1, "/next", 0);
  run_until_ended (&fixture, 2);
  g_assert_true (fixture.results[1].is_complete);
  fixture_close (&fixture);
}

/* Guards against a connection that is used again although a part of the upload
   was never written: all that was written had arrived, as this process was not
   scheduled for a while.  */
static void
test_early_answer_not_scheduled (void)
{
  for (int n_runs = 1; n_runs <= STEPS_MAX; n_runs++)
    {
      fixture_t fixture;
      fixture_open (&fixture);
      g_atomic_int_set (&fixture.server.n_others, 2);
      start (&fixture, 0, "/early", BUFFERED_BYTES);
      for (int i = 0; i < n_runs; i++)
        backend_client_run (fixture.client, 0, -1);
      g_usleep (PAUSE);
      run_until_ended (&fixture, 1);
      g_assert_true (fixture.results[0].is_complete);
      start (&fixture, 1, "/next", 0);
      run_until_ended (&fixture, 2);
      g_assert_true (fixture.results[1].is_complete);
      fixture_close (&fixture);
    }
}

static void
test_early_answer (void)
{
  check_early_answer ("/early", UPLOAD_BYTES);
  check_early_answer ("/early-in-chunks", UPLOAD_BYTES);
  check_early_answer ("/early-then-close", UPLOAD_BYTES);
}

static void
test_early_answer_buffered (void)
{
  check_early_answer ("/early", BUFFERED_BYTES);
}

int
main (int argc, char **argv)
{
  curl_global_init (CURL_GLOBAL_DEFAULT);
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/entry/upload/slow-and-silent", test_slow_and_silent);
  g_test_add_func ("/entry/upload/not-scheduled", test_not_scheduled);
  g_test_add_func ("/entry/upload/early", test_early_answer);
  g_test_add_func ("/entry/upload/early-buffered", test_early_answer_buffered);
  g_test_add_func ("/entry/upload/early-not-scheduled",
                   test_early_answer_not_scheduled);
  return g_test_run ();
}
