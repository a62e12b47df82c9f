/* Answers of backend servers that do not end, are cut short or come twice.
   Guards against a router whose
   memory fills, and against good answers that are lost beside bad ones.  The
   backend server is a thread for each connection.  */

#include <curl/curl.h>
#include <errno.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "balance/answer_class.h"
#include "base/clock.h"
#include "router/backend_http.h"

#include "../support/loopback.h"

enum
{
  CHUNK_BYTES = 16 * 1024,
  SHORT_CHUNK_BYTES = 1000,
  SHORT_CHUNKS = 8000,
  ENDLESS_BODIES = 8,
  GOOD_BYTES = 40 * 1024,
  BUDGET_BYTES = 32 * 1024 * 1024,
  SIZED_BYTES = 8 * 1024 * 1024,
  SIZED_BODIES = 6,
  SIZED_FITTING = 3, /* in the part of the budget for large bodies */
};

#define CALL_TIMEOUT (20 * USEC_PER_SEC)

typedef struct fixture
{
  int listener;
  inet_t address;
  GThread *server;
  gint n_sent;  /* bytes that the server has written; atomic */
  gint n_held;  /* requests that it does not answer; atomic */
  gint n_reset; /* those whose connection the client has reset; atomic */
  poller_t *poller;
  backend_http_t *client;
  body_budget_t budget;
  size_t n_ended;
  size_t n_complete;
  bool keeps; /* the responses, as callers who read slowly */
  size_t n_kept;
  backend_response_t kept[SIZED_BODIES];
  answer_facts_t last; /* of the call that ended last */
  backend_load_t last_load;
  usec_t last_cold_remaining;
  bool last_is_leaving;
  usec_t last_rest;
  size_t last_n_invalid;
} fixture_t;

typedef struct connection
{
  fixture_t *fixture;
  int fd;
} connection_t;

static bool
write_all (const connection_t *connection, const char *bytes, size_t length)
{
  while (length > 0)
    {
      ssize_t n = send (connection->fd, bytes, length, MSG_NOSIGNAL);
      if (n <= 0)
        return false;
      g_atomic_int_add (&connection->fixture->n_sent, (gint)n);
      bytes += n;
      length -= (size_t)n;
    }
  return true;
}

static bool
write_text (const connection_t *connection, const char *text)
{
  return write_all (connection, text, strlen (text));
}

static void
answer_well (const connection_t *connection)
{
  g_autofree char *body = g_strnfill (GOOD_BYTES, 'x');
  g_autofree char *head
      = g_strdup_printf ("HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\n"
                         "Content-Length: %d\r\n\r\n",
                         GOOD_BYTES);
  write_text (connection, head);
  write_text (connection, body);
}

static void
answer_endlessly (const connection_t *connection, const char *id)
{
  g_autofree char *data = g_strnfill (CHUNK_BYTES, 'x');
  g_autofree char *chunk = g_strdup_printf ("%x\r\n%s\r\n", CHUNK_BYTES, data);
  g_autofree char *head
      = g_strdup_printf ("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n",
                         id);
  write_text (connection, head);
  while (write_text (connection, chunk))
    ;
}

static void
answer_in_chunks (const connection_t *connection)
{
  g_autofree char *data = g_strnfill (SHORT_CHUNK_BYTES, 'x');
  g_autofree char *chunk
      = g_strdup_printf ("%x;a\r\n%s\r\n", SHORT_CHUNK_BYTES, data);
  write_text (connection, "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n");
  for (int i = 0; i < SHORT_CHUNKS; i++)
    write_text (connection, chunk);
  write_text (connection, "0\r\n\r\n");
}

static void
answer_with_length (const connection_t *connection)
{
  g_autofree char *body = g_strnfill (SIZED_BYTES, 'x');
  g_autofree char *head
      = g_strdup_printf ("HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\n"
                         "Content-Length: %d\r\n\r\n",
                         SIZED_BYTES);
  write_text (connection, head);
  write_text (connection, body);
}

static void
repeat (const connection_t *connection, const char *first, const char *text)
{
  write_text (connection, first);
  while (write_text (connection, text))
    ;
}

#define HEAD "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nServer-Stamp: s\r\n"
#define REFUSAL(id)                                                           \
  "HTTP/1.1 503 Full\r\nRequest-Id: " id "\r\nNot-Executed: full\r\n"         \
  "Content-Length: 0\r\n\r\n"
#define ANSWER(id)                                                            \
  "HTTP/1.1 200 OK\r\nRequest-Id: " id "\r\nServer-Stamp: s\r\n"              \
  "Content-Length: 2\r\n\r\nok"

/* Paths and what the server writes before it closes the connection: no whole
   answer.  */
static const struct
{
  const char *path;
  const char *text;
} broken_answers[] = {
  { "/cut-after-stamp", HEAD },
  { "/cut-in-a-name", HEAD "Content-Len" },
  { "/cut-in-a-value", HEAD "Content-Length: 1" },
  { "/cut-after-length", HEAD "Content-Length: 0\r\n" },
  { "/cut-in-the-end", HEAD "Content-Length: 0\r\n\r" },
  { "/cut-after-chunked", HEAD "Transfer-Encoding: chunked\r\n" },
  { "/cut-status-line", "HTTP/1.1 200 OK\r\n" },
  { "/only-informational", "HTTP/1.1 103 Hints\r\nRequest-Id: id-1\r\n\r\n" },
  { "/head-in-a-head",
    "HTTP/1.1 503 Full\r\nRequest-Id: id-1\r\nNot-Executed: 1\r\n" HEAD
    "Content-Length: 0\r\n\r\n" },
};

/* Paths, fields of a whole answer, and what they tell.  */
static const struct
{
  const char *path;
  const char *fields;
  bool is_leaving;
  usec_t rest;
  size_t n_invalid;
} notices[] = {
  { "/notice-none", "", false, 0, 0 },
  { "/notice-leaving", "Server-Leaving: 1\r\n", true, 0, 0 },
  { "/notice-zero", "Server-Leaving: 0\r\n", false, 0, 1 },
  { "/notice-empty", "Server-Leaving:\r\nRetry-After:\r\n", false, 0, 2 },
  { "/notice-same", "Server-Leaving: 1\r\nServer-Leaving: 1\r\n", true, 0, 0 },
  { "/notice-differs", "Retry-After: 1\r\nRetry-After: 2\r\n", false, 0, 1 },
  { "/notice-rest", "Retry-After: 1.5\r\n", false, 3 * USEC_PER_SEC / 2, 0 },
  { "/notice-negative", "Retry-After: -1\r\n", false, 0, 1 },
  { "/notice-huge", "Retry-After: 99999999999999999999\r\n", false, 0, 1 },
  { "/notice-date", "Retry-After: Fri, 31 Dec 1999 23:59:59 GMT\r\n", false, 0,
    1 },
};

static bool
write_notice (const connection_t *connection, const char *request)
{
  for (size_t i = 0; i < G_N_ELEMENTS (notices); i++)
    if (strstr (request, notices[i].path))
      {
        g_autofree char *text = g_strdup_printf (
            HEAD "%sContent-Length: 0\r\n\r\n", notices[i].fields);
        return write_text (connection, text);
      }
  return false;
}

static const char *
broken_answer (const char *request)
{
  for (size_t i = 0; i < G_N_ELEMENTS (broken_answers); i++)
    if (strstr (request, broken_answers[i].path))
      return broken_answers[i].text;
  return NULL;
}

static void
answer_with_trailer (const connection_t *connection)
{
  g_autofree char *data = g_strnfill (GOOD_BYTES, 'x');
  g_autofree char *text = g_strdup_printf (
      HEAD "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n"
           "Not-Executed: 1\r\nRequest-Id: id-2\r\n\r\n",
      GOOD_BYTES, data);
  write_text (connection, text);
}

static bool
read_request (const connection_t *connection)
{
  char request[4096];
  return recv (connection->fd, request, sizeof request, 0) > 0;
}

enum
{
  COPY_AT_ONCE,
  COPY_WHILE_IDLE,
  COPY_BEFORE_ANSWER,
};

#define PAUSE (60 * USEC_PER_MSEC)

/* Refuse the first request, id-1, answer the second, id-2, and write the
   refusal once more in between.  */
static void
refuse_twice (const connection_t *connection, int order)
{
  write_text (connection, order == COPY_AT_ONCE ? REFUSAL ("id-1")
                                  REFUSAL ("id-1")
                                                : REFUSAL ("id-1"));
  if (order == COPY_WHILE_IDLE)
    {
      g_usleep (PAUSE / 2);
      write_text (connection, REFUSAL ("id-1"));
    }
  if (!read_request (connection))
    return;
  if (order == COPY_BEFORE_ANSWER)
    {
      write_text (connection, REFUSAL ("id-1"));
      g_usleep (PAUSE);
    }
  write_text (connection, ANSWER ("id-2"));
  if (read_request (connection))
    write_text (connection, ANSWER ("id-3"));
}

/* Answer nothing; note how the client ends the connection.  */
static void
wait_for_end (const connection_t *connection)
{
  char byte;
  fixture_t *fixture = connection->fixture;
  g_atomic_int_inc (&fixture->n_held);
  if (recv (connection->fd, &byte, 1, 0) < 0 && errno == ECONNRESET)
    g_atomic_int_inc (&fixture->n_reset);
}

static gpointer
serve (gpointer data)
{
  connection_t *connection = data;
  char request[4096] = "";
  if (recv (connection->fd, request, sizeof request - 1, 0) > 0)
    {
      const char *broken = broken_answer (request);
      if (strstr (request, "/held"))
        wait_for_end (connection);
      else if (write_notice (connection, request))
        ;
      else if (broken)
        write_text (connection, broken);
      else if (strstr (request, "/refused-at-once"))
        refuse_twice (connection, COPY_AT_ONCE);
      else if (strstr (request, "/refused-while-idle"))
        refuse_twice (connection, COPY_WHILE_IDLE);
      else if (strstr (request, "/refused-before-answer"))
        refuse_twice (connection, COPY_BEFORE_ANSWER);
      else if (strstr (request, "/second"))
        write_text (connection, ANSWER ("id-2"));
      else if (strstr (request, "/third"))
        write_text (connection, ANSWER ("id-3"));
      else if (strstr (request, "/two-ids"))
        write_text (connection, HEAD "Not-Executed: 1\r\nRequest-Id: id-2\r\n"
                                     "Content-Length: 0\r\n\r\n");
      else if (strstr (request, "/odd-numbers"))
        write_text (connection, HEAD "Server-Load: -1,0,8\r\nCold-Ms: -5\r\n"
                                     "Content-Length: 0\r\n\r\n");
      else if (strstr (request, "/great-numbers"))
        write_text (connection, HEAD "Server-Load: 3,0,4294967295\r\n"
                                     "Cold-Ms: 9223372036854775807\r\n"
                                     "Content-Length: 0\r\n\r\n");
      else if (strstr (request, "/numbers"))
        write_text (connection, HEAD "Server-Load: 3,0,8\r\nCold-Ms: 1500\r\n"
                                     "Content-Length: 0\r\n\r\n");
      else if (strstr (request, "/trailer"))
        answer_with_trailer (connection);
      else if (strstr (request, "/head"))
        repeat (connection, "HTTP/1.1 200 OK\r\n", "X-Field: 1234567890\r\n");
      else if (strstr (request, "/informational"))
        repeat (connection, "", "HTTP/1.1 102 Processing\r\n\r\n");
      else if (strstr (request, "/chunk-size"))
        repeat (connection,
                "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\n"
                "Transfer-Encoding: chunked\r\n\r\n",
                "0000000000");
      else if (strstr (request, "/many-chunks"))
        answer_in_chunks (connection);
      else if (strstr (request, "/other"))
        answer_endlessly (connection, "id-2");
      else if (strstr (request, "/sized"))
        answer_with_length (connection);
      else if (strstr (request, "/body"))
        answer_endlessly (connection, "id-1");
      else
        answer_well (connection);
    }
  close (connection->fd);
  g_free (connection);
  return NULL;
}

/* Ends when the listener is shut down and all connections are closed.  */
static gpointer
accept_all (gpointer data)
{
  fixture_t *fixture = data;
  g_autoptr (GPtrArray) threads = g_ptr_array_new ();
  int fd;
  while ((fd = accept (fixture->listener, NULL, NULL)) >= 0)
    {
      connection_t *connection = g_new (connection_t, 1);
      *connection = (connection_t){ .fixture = fixture, .fd = fd };
      g_ptr_array_add (threads,
                       g_thread_new ("connection", serve, connection));
    }
  for (guint i = 0; i < threads->len; i++)
    g_thread_join (threads->pdata[i]);
  return NULL;
}

static void
on_done (void *closure, void *owner, backend_response_t *response)
{
  fixture_t *fixture = closure;
  (void)owner;
  g_test_message ("ended: %s, connection %s", response->error,
                  connection_end_name (response->connection_end));
  fixture->n_ended++;
  fixture->last
      = (answer_facts_t){ .may_have_been_sent = response->may_have_reached,
                          .is_complete = response->is_complete,
                          .id_matches = response->id_matches,
                          .is_signed = response->is_signed,
                          .is_encoded = response->is_encoded,
                          .not_started = response->not_started,
                          .status = response->status };
  fixture->last_load = response->load;
  fixture->last_cold_remaining = response->cold_remaining;
  fixture->last_is_leaving = response->is_leaving;
  fixture->last_rest = response->rest;
  fixture->last_n_invalid = response->n_invalid_notices;
  fixture->n_complete += response->is_complete;
  if (fixture->keeps)
    {
      fixture->kept[fixture->n_kept++] = *response;
      *response = (backend_response_t){ 0 };
      return;
    }
  if (response->is_complete && response->body_bytes > 2)
    g_assert_cmpuint (response->body_bytes, ==, GOOD_BYTES);
}

static void
fixture_open (fixture_t *fixture)
{
  *fixture = (fixture_t){ .budget = { .max = BUDGET_BYTES } };
  fixture->listener = loopback_listen (&fixture->address);
  fixture->poller = poller_new (NULL);
  const backend_http_options_t options = { .poller = fixture->poller,
                                           .own_address = "127.0.0.1",
                                           .budget = &fixture->budget,
                                           .closure = fixture,
                                           .done = on_done };
  fixture->client = backend_http_new (&options);
  fixture->server = g_thread_new ("accept", accept_all, fixture);
}

static void
fixture_close (fixture_t *fixture)
{
  backend_http_free (fixture->client);
  poller_free (fixture->poller);
  shutdown (fixture->listener, SHUT_RDWR);
  g_thread_join (fixture->server);
  close (fixture->listener);
}

static backend_call_t *
start_held_call (fixture_t *fixture, usec_t timeout)
{
  const backend_request_t request
      = { .address = fixture->address,
          .method = "GET",
          .target = "/held",
          .id = "id-1",
          .headers = curl_slist_append (NULL, "Request-Id: id-1"),
          .timeout = timeout,
          .connect_timeout = CALL_TIMEOUT };
  return backend_http_call (fixture->client, &request);
}

static void
start_call_with_id (fixture_t *fixture, const char *target, const char *id)
{
  g_autofree char *header = g_strdup_printf ("Request-Id: %s", id);
  const backend_request_t request
      = { .address = fixture->address,
          .method = "GET",
          .target = target,
          .id = id,
          .headers = curl_slist_append (NULL, header),
          .timeout = CALL_TIMEOUT,
          .connect_timeout = CALL_TIMEOUT };
  backend_http_call (fixture->client, &request);
}

static void
start_call (fixture_t *fixture, const char *target)
{
  start_call_with_id (fixture, target, "id-1");
}

/* On a connection of its own: the server closes one after its response.  */
static void
start_call_anew (fixture_t *fixture, const char *target)
{
  const backend_request_t request
      = { .address = fixture->address,
          .needs_new_connection = true,
          .method = "GET",
          .target = target,
          .id = "id-1",
          .headers = curl_slist_append (NULL, "Request-Id: id-1"),
          .timeout = CALL_TIMEOUT,
          .connect_timeout = CALL_TIMEOUT };
  backend_http_call (fixture->client, &request);
}

/* Runs the client until N calls have ended.  */
static void
run_until_ended (fixture_t *fixture, size_t n)
{
  while (fixture->n_ended < n)
    {
      poller_event_t event;
      if (poller_wait (fixture->poller, 10 * USEC_PER_MSEC, &event))
        backend_http_socket_ready (fixture->client, event.watch, event.ready);
      backend_http_tick (fixture->client, clock_monotonic ());
      g_assert_cmpuint (fixture->budget.used, <=, BUDGET_BYTES);
    }
}

/* The call of DATA, a path, ends as incomplete and long before its timeout,
   and the connection is closed.  */
static void
test_head (gconstpointer data)
{
  fixture_t fixture;
  fixture_open (&fixture);
  usec_t start = clock_monotonic ();
  start_call (&fixture, data);
  run_until_ended (&fixture, 1);
  g_assert_cmpuint (fixture.n_complete, ==, 0);
  g_assert_cmpint (clock_monotonic () - start, <, CALL_TIMEOUT / 2);
  fixture_close (&fixture);
}

/* The head shows that the answer belongs to another request: its body is not
   read.  What the kernel's buffers hold was sent all the same.  */
static void
test_other_request (void)
{
  fixture_t fixture;
  fixture_open (&fixture);
  start_call (&fixture, "/other");
  run_until_ended (&fixture, 1);
  g_assert_cmpuint (fixture.n_complete, ==, 0);
  g_assert_cmpint (g_atomic_int_get (&fixture.n_sent), <, RESPONSE_BYTES_MAX);
  fixture_close (&fixture);
}

/* Several endless bodies at once: their buffers stay within the limit, and the
   answers of other backend servers arrive whole.  */
static void
test_many_bodies (void)
{
  fixture_t fixture;
  fixture_open (&fixture);
  for (int i = 0; i < ENDLESS_BODIES; i++)
    {
      start_call (&fixture, "/body");
      start_call (&fixture, "/good");
    }
  run_until_ended (&fixture, 2 * ENDLESS_BODIES);
  g_assert_cmpuint (fixture.n_complete, ==, ENDLESS_BODIES);
  g_assert_cmpuint (fixture.budget.used, ==, 0);
  g_assert_cmpuint (fixture.budget.growing, ==, 0);
  fixture_close (&fixture);
}

/* Guards against an answer whose connection ends within its head and that is
   passed on as a whole one, with an empty body; and against two heads that are
   taken for one.  */
static void
test_broken_answers (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (broken_answers); i++)
    {
      fixture_t fixture;
      fixture_open (&fixture);
      start_call (&fixture, broken_answers[i].path);
      run_until_ended (&fixture, 1);
      if (fixture.n_complete > 0)
        g_error ("%s is taken for a whole answer", broken_answers[i].path);
      g_assert_true (answer_may_have_run (&fixture.last));
      fixture_close (&fixture);
    }
}

/* Runs the client for SPAN.  */
static void
run_for (fixture_t *fixture, usec_t span)
{
  usec_t end = clock_monotonic () + span;
  while (clock_monotonic () < end)
    {
      poller_event_t event;
      if (poller_wait (fixture->poller, 10 * USEC_PER_MSEC, &event))
        backend_http_socket_ready (fixture->client, event.watch, event.ready);
      backend_http_tick (fixture->client, clock_monotonic ());
      g_assert_cmpuint (fixture->budget.used, <=, BUDGET_BYTES);
    }
}

/* Guards against a router whose memory fills with answers that slow callers
   read: those that don't fit wait at their backend servers, small ones go on,
   and each arrives whole as soon as others are gone.  */
static void
test_answers_wait_for_memory (void)
{
  fixture_t fixture;
  fixture_open (&fixture);
  fixture.keeps = true;
  for (int i = 0; i < SIZED_BODIES; i++)
    start_call (&fixture, "/sized");
  run_until_ended (&fixture, SIZED_FITTING);
  run_for (&fixture, 4 * PAUSE);
  g_assert_cmpuint (fixture.n_ended, ==, SIZED_FITTING);
  fixture.keeps = false;
  start_call (&fixture, "/good");
  run_until_ended (&fixture, SIZED_FITTING + 1);
  g_assert_cmpuint (fixture.n_complete, ==, SIZED_FITTING + 1);
  fixture.keeps = true;
  for (size_t i = 0; i < SIZED_FITTING; i++)
    backend_response_clear (&fixture.kept[i]);
  run_until_ended (&fixture, SIZED_BODIES + 1);
  g_assert_cmpuint (fixture.n_complete, ==, SIZED_BODIES + 1);
  for (size_t i = SIZED_FITTING; i < SIZED_BODIES; i++)
    {
      g_assert_cmpuint (fixture.kept[i].body_bytes, ==, SIZED_BYTES);
      backend_response_clear (&fixture.kept[i]);
    }
  g_assert_cmpuint (fixture.budget.used, ==, 0);
  fixture_close (&fixture);
}

/* Guards against bytes in chunks that are decoded twice, since libcurl passes
   on again what had to wait for memory.  */
static void
test_chunks_wait_for_memory (void)
{
  fixture_t fixture;
  fixture_open (&fixture);
  fixture.keeps = true;
  for (int i = 0; i < SIZED_FITTING; i++)
    start_call (&fixture, "/sized");
  run_until_ended (&fixture, SIZED_FITTING);
  g_assert_cmpuint (fixture.n_complete, ==, SIZED_FITTING);
  start_call_anew (&fixture, "/many-chunks");
  run_for (&fixture, 4 * PAUSE);
  g_assert_cmpuint (fixture.n_complete, ==, SIZED_FITTING);
  g_assert_cmpuint (fixture.n_ended, ==, SIZED_FITTING);
  for (size_t i = 0; i < SIZED_FITTING; i++)
    backend_response_clear (&fixture.kept[i]);
  run_until_ended (&fixture, SIZED_FITTING + 1);
  g_assert_cmpuint (fixture.n_complete, ==, SIZED_FITTING + 1);
  backend_response_t *last = &fixture.kept[SIZED_FITTING];
  g_assert_cmpuint (last->body_bytes, ==, SHORT_CHUNKS * SHORT_CHUNK_BYTES);
  for (size_t i = 0; i < last->body_bytes; i++)
    g_assert_true (last->body[i] == 'x');
  backend_response_clear (last);
  g_assert_cmpuint (fixture.budget.used, ==, 0);
  fixture_close (&fixture);
}

/* Guards against a body that is rejected when it is read on after a wait, and
   whose call then goes on until its timeout.  */
static void
test_rejected_after_wait (void)
{
  fixture_t fixture;
  fixture_open (&fixture);
  fixture.keeps = true;
  for (int i = 0; i < SIZED_FITTING; i++)
    start_call (&fixture, "/sized");
  run_until_ended (&fixture, SIZED_FITTING);
  start_call_anew (&fixture, "/many-chunks");
  run_for (&fixture, 4 * PAUSE);
  g_assert_cmpuint (fixture.n_ended, ==, SIZED_FITTING);
  fixture.budget.max = SMALL_BODY_BYTES;
  usec_t began_at = clock_monotonic ();
  for (size_t i = 0; i < SIZED_FITTING; i++)
    backend_response_clear (&fixture.kept[i]);
  run_until_ended (&fixture, SIZED_FITTING + 1);
  g_assert_cmpuint (fixture.n_complete, ==, SIZED_FITTING);
  g_assert_cmpint (clock_monotonic () - began_at, <, CALL_TIMEOUT / 4);
  backend_response_clear (&fixture.kept[SIZED_FITTING]);
  g_assert_cmpuint (fixture.budget.used, ==, 0);
  fixture_close (&fixture);
}

static void
run_until_held (fixture_t *fixture, gint n)
{
  while (g_atomic_int_get (&fixture->n_held) < n)
    {
      poller_event_t event;
      if (poller_wait (fixture->poller, 10 * USEC_PER_MSEC, &event))
        backend_http_socket_ready (fixture->client, event.watch, event.ready);
      backend_http_tick (fixture->client, clock_monotonic ());
    }
}

/* Guards against requests that were given up and whose bytes are still sent,
   once a cut of the network has healed: a call that is aborted, one whose
   timeout is over and one in flight at the client's end are all reset.  */
static void
test_given_up_is_reset (void)
{
  fixture_t fixture;
  fixture_open (&fixture);
  backend_call_t *aborted = start_held_call (&fixture, CALL_TIMEOUT);
  run_until_held (&fixture, 1);
  backend_http_abort (fixture.client, aborted);
  start_held_call (&fixture, PAUSE);
  run_until_ended (&fixture, 1);
  start_held_call (&fixture, CALL_TIMEOUT);
  run_until_held (&fixture, 3);
  fixture_close (&fixture);
  g_assert_cmpint (g_atomic_int_get (&fixture.n_reset), ==, 3);
}

/* Guards against a leaving or a rest that the backend server did not mean, or
   that a router does not see.  */
static void
test_notices (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (notices); i++)
    {
      fixture_t fixture;
      fixture_open (&fixture);
      start_call (&fixture, notices[i].path);
      run_until_ended (&fixture, 1);
      g_assert_cmpuint (fixture.n_complete, ==, 1);
      g_test_message ("%s", notices[i].path);
      g_assert_cmpint (fixture.last_is_leaving, ==, notices[i].is_leaving);
      g_assert_cmpint (fixture.last_rest, ==, notices[i].rest);
      g_assert_cmpuint (fixture.last_n_invalid, ==, notices[i].n_invalid);
      fixture_close (&fixture);
    }
}

/* Guards against numbers of a backend server that another reading makes huge:
   a load of 2^32 - 1, or a cold start that lasts for ever.  */
static void
test_numbers (void)
{
  static const char *const invalid[] = { "/odd-numbers", "/great-numbers" };
  for (size_t i = 0; i < G_N_ELEMENTS (invalid); i++)
    {
      fixture_t fixture;
      fixture_open (&fixture);
      start_call (&fixture, invalid[i]);
      run_until_ended (&fixture, 1);
      g_assert_cmpuint (fixture.n_complete, ==, 1);
      g_assert_false (fixture.last_load.is_known);
      g_assert_cmpint (fixture.last_cold_remaining, ==, 0);
      fixture_close (&fixture);
    }
  fixture_t fixture;
  fixture_open (&fixture);
  start_call (&fixture, "/numbers");
  run_until_ended (&fixture, 1);
  g_assert_true (fixture.last_load.is_known);
  g_assert_cmpuint (fixture.last_load.slots, ==, 8);
  g_assert_cmpint (fixture.last_cold_remaining, ==, 1500 * USEC_PER_MSEC);
  fixture_close (&fixture);
}

/* Guards against fields after the body that change what the head said.  */
static void
test_trailer (void)
{
  fixture_t fixture;
  fixture_open (&fixture);
  start_call (&fixture, "/trailer");
  run_until_ended (&fixture, 1);
  g_assert_cmpint (answer_classify (&fixture.last), ==, BACKEND_ANSWERED);
  fixture_close (&fixture);
}

static void
test_two_ids (void)
{
  fixture_t fixture;
  fixture_open (&fixture);
  start_call (&fixture, "/two-ids");
  run_until_ended (&fixture, 1);
  g_assert_true (answer_may_have_run (&fixture.last));
  fixture_close (&fixture);
}

/* Guards against a refusal that is written once more and taken for that of the
   next request on the connection: the caller would be told that a request has
   not run which runs.  The request after that must get its own answer.  */
static void
test_refusal_twice (gconstpointer data)
{
  fixture_t fixture;
  fixture_open (&fixture);
  start_call_with_id (&fixture, data, "id-1");
  run_until_ended (&fixture, 1);
  g_assert_cmpint (answer_classify (&fixture.last), ==, BACKEND_REFUSED);
  g_usleep (PAUSE);
  start_call_with_id (&fixture, "/second", "id-2");
  run_until_ended (&fixture, 2);
  backend_result_t second = answer_classify (&fixture.last);
  g_assert_true (second == BACKEND_ANSWERED
                 || second == BACKEND_NO_VALID_ANSWER);
  g_assert_true (answer_may_have_run (&fixture.last));
  g_usleep (2 * PAUSE);
  start_call_with_id (&fixture, "/third", "id-3");
  run_until_ended (&fixture, 3);
  g_assert_cmpint (answer_classify (&fixture.last), ==, BACKEND_ANSWERED);
  fixture_close (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  g_test_add_data_func ("/backend-http/endless-head", "/head", test_head);
  g_test_add_data_func ("/backend-http/endless-informational",
                        "/informational", test_head);
  g_test_add_data_func ("/backend-http/endless-chunk-size", "/chunk-size",
                        test_head);
  g_test_add_func ("/backend-http/other-request", test_other_request);
  g_test_add_func ("/backend-http/endless-bodies", test_many_bodies);
  g_test_add_func ("/backend-http/broken-answers", test_broken_answers);
  g_test_add_func ("/backend-http/trailer", test_trailer);
  g_test_add_func ("/backend-http/numbers", test_numbers);
  g_test_add_func ("/backend-http/notices", test_notices);
  g_test_add_func ("/backend-http/answers-wait", test_answers_wait_for_memory);
  g_test_add_func ("/backend-http/chunks-wait-for-memory",
                   test_chunks_wait_for_memory);
  g_test_add_func ("/backend-http/rejected-after-wait",
                   test_rejected_after_wait);
  g_test_add_func ("/backend-http/given-up", test_given_up_is_reset);
  g_test_add_func ("/backend-http/two-ids", test_two_ids);
  g_test_add_data_func ("/backend-http/refusal-twice-at-once",
                        "/refused-at-once", test_refusal_twice);
  g_test_add_data_func ("/backend-http/refusal-twice-while-idle",
                        "/refused-while-idle", test_refusal_twice);
  g_test_add_data_func ("/backend-http/refusal-twice-before-answer",
                        "/refused-before-answer", test_refusal_twice);
  return g_test_run ();
}
