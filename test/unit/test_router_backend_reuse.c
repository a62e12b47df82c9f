/* Kept connections on which a backend server sends bytes that belong to no
   request, or that it has closed.  Guards against a request whose response is
   lost behind them.  The backend server is a thread for each connection.  */

#include <curl/curl.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "balance/answer_class.h"
#include "base/clock.h"
#include "router/backend_http.h"
#include "router/foreign_response.h"
#include "router/sent_ids.h"

#include "../support/loopback.h"

enum
{
  BUDGET_BYTES = 32 * 1024 * 1024,
  LARGE_BYTES = 3 * 1024 * 1024,
  HAND_ON_ROUNDS = 100,
  HAND_ON_TURNS_MAX = 8,
  ENDLESS_BLOCK_BYTES = 64 * 1024,
  N_ENDLESS_BLOCKS = 256,
  COPIES_READ_MAX = 64,
  N_MANY = 4 * SENT_IDS_MAX,
};

#define CALL_TIMEOUT (20 * USEC_PER_SEC)
#define PAUSE (60 * USEC_PER_MSEC)

/* What the server sends after its first response on each connection.  */
typedef enum
{
  SENDS_NOTHING,
  SENDS_COPY_AT_ONCE,
  SENDS_BYTES_AFTER_CHUNKS, /* at once */
  SENDS_COPY_LATE,
  SENDS_PART_LATE,
  SENDS_COPY_BEFORE_NEXT,
  SENDS_COPY_IN_PARTS, /* before the next, with a pause in its body */
  SENDS_COPIES_BEFORE_NEXT,
  SENDS_COPIES_WITHOUT_END,
  SENDS_ENDLESS_COPY_BEFORE_NEXT, /* its head, and chunks for its body */
  CLOSES_LATE,
} behaviour_t;

typedef struct fixture
{
  behaviour_t behaviour;
  const char *refusal; /* status of the first response of all; NULL: 200 */
  gint n_requests;     /* atomic */
  gint n_most;         /* requests on one connection; atomic */
  int listener;
  inet_t address;
  GThread *server;
  gint n_accepted; /* atomic */
  gint n_late;     /* late bytes or closes that are done; atomic */
  poller_t *poller;
  backend_http_t *client;
  body_budget_t budget;
  size_t n_ended;
  size_t n_answered;
  answer_facts_t last; /* of the call that ended last */
  bool was_reused;
  size_t n_extra;  /* reports of bytes on an idle connection */
  size_t n_before; /* of them, before a response */
  connection_use_t extra_use;
  extra_place_t extra_place;
} fixture_t;

typedef struct connection
{
  fixture_t *fixture;
  int fd;
} connection_t;

static void
write_text (int fd, const char *text)
{
  send (fd, text, strlen (text), MSG_NOSIGNAL);
}

/* The response to REQUEST, which has its id in the field Request-Id; that to
   the id "large" has LARGE_BYTES.  */
static char *
response_to (const char *request)
{
  char id[64] = "";
  const char *field = strstr (request, "Request-Id: ");
  if (field)
    sscanf (field, "Request-Id: %63s", id);
  if (strcmp (id, "large") == 0)
    {
      g_autofree char *body = g_strnfill (LARGE_BYTES, 'x');
      return g_strdup_printf ("HTTP/1.1 200 OK\r\nRequest-Id: large\r\n"
                              "Server-Stamp: s\r\nContent-Length: %d\r\n"
                              "\r\n%s",
                              LARGE_BYTES, body);
    }
  return g_strdup_printf ("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
                          "Server-Stamp: s\r\nContent-Length: 2\r\n\r\nok",
                          id);
}

/* As the server refuses REQUEST, with STATUS.  */
static char *
refusal_to (const char *request, const char *status)
{
  char id[64] = "";
  const char *field = strstr (request, "Request-Id: ");
  if (field)
    sscanf (field, "Request-Id: %63s", id);
  return g_strdup_printf ("HTTP/1.1 %s\r\nRequest-Id: %s\r\n"
                          "Not-Executed: full\r\nContent-Length: 2\r\n\r\nno",
                          status, id);
}

static char *
chunks_to (const char *response, const char *after)
{
  const char *field = strstr (response, "Content-Length");
  g_autofree char *head = g_strndup (response, (gsize)(field - response));
  return g_strconcat (head, "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
                      "0\r\n\r\n", after, NULL);
}

/* Returns false if the connection is to be closed.  */
static bool
follow_first_response (connection_t *connection, const char *response)
{
  fixture_t *fixture = connection->fixture;
  bool is_kept = fixture->behaviour != CLOSES_LATE;
  if (fixture->behaviour != SENDS_COPY_LATE
      && fixture->behaviour != SENDS_PART_LATE
      && fixture->behaviour != CLOSES_LATE)
    return true;
  g_usleep (PAUSE / 2);
  if (fixture->behaviour == SENDS_COPY_LATE)
    write_text (connection->fd, response);
  if (fixture->behaviour == SENDS_PART_LATE)
    write_text (connection->fd, "H");
  if (fixture->behaviour == CLOSES_LATE)
    shutdown (connection->fd, SHUT_RDWR);
  g_atomic_int_inc (&fixture->n_late);
  return is_kept;
}

/* N_ENDLESS_BLOCKS are more than the client may read.  */
static void
write_copies_without_end (int fd, const char *copy)
{
  g_autoptr (GString) block = g_string_new (NULL);
  while (block->len < ENDLESS_BLOCK_BYTES)
    g_string_append (block, copy);
  for (int i = 0; i < N_ENDLESS_BLOCKS; i++)
    write_text (fd, block->str);
}

static void
write_chunks (int fd, const char *copy)
{
  g_autofree char *chunks = chunks_to (copy, "");
  write_text (fd, chunks);
}

/* COPY is the response that was sent before.  */
static void
precede_second_response (const connection_t *connection, const char *copy)
{
  switch (connection->fixture->behaviour)
    {
    case SENDS_COPIES_BEFORE_NEXT:
      write_text (connection->fd, copy);
      write_text (connection->fd, copy);
      return;
    case SENDS_COPY_BEFORE_NEXT:
      write_text (connection->fd, copy);
      return;
    case SENDS_COPIES_WITHOUT_END:
      write_copies_without_end (connection->fd, copy);
      return;
    case SENDS_ENDLESS_COPY_BEFORE_NEXT:
      write_chunks (connection->fd, copy);
      return;
    case SENDS_COPY_IN_PARTS:
      send (connection->fd, copy, strlen (copy) - 1, MSG_NOSIGNAL);
      g_usleep (PAUSE);
      write_text (connection->fd, copy + strlen (copy) - 1);
      g_usleep (PAUSE);
      return;
    case SENDS_NOTHING:
    case SENDS_COPY_AT_ONCE:
    case SENDS_BYTES_AFTER_CHUNKS:
    case SENDS_COPY_LATE:
    case SENDS_PART_LATE:
    case CLOSES_LATE:
      break;
    }
}

static gpointer
serve (gpointer data)
{
  connection_t *connection = data;
  char request[4096] = "";
  g_autofree char *first = NULL;
  bool is_first = true;
  bool is_kept = true;
  gint n = 0;
  while (is_kept && recv (connection->fd, request, sizeof request - 1, 0) > 0)
    {
      if (++n > g_atomic_int_get (&connection->fixture->n_most))
        g_atomic_int_set (&connection->fixture->n_most, n);
      const char *refusal = connection->fixture->refusal;
      bool is_refused
          = g_atomic_int_add (&connection->fixture->n_requests, 1) == 0
            && refusal;
      g_autofree char *response
          = is_refused ? refusal_to (request, refusal) : response_to (request);
      g_autofree char *twice = g_strconcat (response, response, NULL);
      g_autofree char *chunks = chunks_to (response, "HTTP/1.1 200 OK");
      behaviour_t behaviour = connection->fixture->behaviour;
      bool is_copied = is_first && behaviour == SENDS_COPY_AT_ONCE;
      bool is_in_chunks = is_first && behaviour == SENDS_BYTES_AFTER_CHUNKS;
      if (!is_first)
        precede_second_response (connection, first);
      else
        first = g_strdup (response);
      write_text (connection->fd, is_copied      ? twice
                                  : is_in_chunks ? chunks
                                                 : response);
      if (is_first)
        is_kept = follow_first_response (connection, response);
      is_first = false;
      memset (request, 0, sizeof request);
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
      g_atomic_int_inc (&fixture->n_accepted);
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
  fixture->n_ended++;
  fixture->was_reused = response->was_reused;
  fixture->last
      = (answer_facts_t){ .may_have_been_sent = response->may_have_reached,
                          .is_complete = response->is_complete,
                          .id_matches = response->id_matches,
                          .is_foreign = response->is_foreign,
                          .is_signed = response->is_signed,
                          .not_started = response->not_started,
                          .status = response->status };
  fixture->n_answered += answer_classify (&fixture->last) == BACKEND_ANSWERED;
}

static void
on_extra_bytes (void *closure, const connection_use_t *use,
                extra_place_t place, size_t n_bytes)
{
  fixture_t *fixture = closure;
  g_assert_cmpuint (n_bytes, >, 0);
  fixture->n_extra++;
  fixture->n_before += place == EXTRA_BEFORE_RESPONSE;
  fixture->extra_use = *use;
  fixture->extra_place = place;
}

static void
fixture_open (fixture_t *fixture, behaviour_t behaviour)
{
  *fixture = (fixture_t){ .behaviour = behaviour,
                          .budget = { .max = BUDGET_BYTES } };
  fixture->listener = loopback_listen (&fixture->address);
  fixture->poller = poller_new (NULL);
  const backend_http_options_t options = { .poller = fixture->poller,
                                           .own_address = "127.0.0.1",
                                           .budget = &fixture->budget,
                                           .closure = fixture,
                                           .done = on_done,
                                           .extra_bytes = on_extra_bytes };
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

static void
handle_event (fixture_t *fixture)
{
  poller_event_t event;
  if (poller_wait (fixture->poller, 10 * USEC_PER_MSEC, &event))
    backend_http_socket_ready (fixture->client, event.watch, event.ready);
}

static void
run_once (fixture_t *fixture)
{
  handle_event (fixture);
  backend_http_tick (fixture->client, clock_monotonic ());
}

static void
start_call (fixture_t *fixture, const char *id, bool needs_new_connection)
{
  g_autofree char *header = g_strdup_printf ("Request-Id: %s", id);
  const backend_request_t request
      = { .address = fixture->address,
          .boot = 7,
          .backend_id = "b-1",
          .needs_new_connection = needs_new_connection,
          .method = "POST",
          .target = "/",
          .id = id,
          .headers = curl_slist_append (NULL, header),
          .timeout = CALL_TIMEOUT,
          .connect_timeout = CALL_TIMEOUT };
  backend_http_call (fixture->client, &request);
}

/* A request with ID, to its end.  */
static void
call (fixture_t *fixture, const char *id, bool needs_new_connection)
{
  size_t n = fixture->n_ended + 1;
  start_call (fixture, id, needs_new_connection);
  while (fixture->n_ended < n)
    run_once (fixture);
}

static void
assert_answered (const fixture_t *fixture)
{
  g_assert_cmpint (answer_classify (&fixture->last), ==, BACKEND_ANSWERED);
}

static void
assert_extra_of_first (const fixture_t *fixture)
{
  g_assert_cmpuint (fixture->n_extra, ==, 1);
  g_assert_cmpint (fixture->extra_use.boot, ==, 7);
  g_assert_cmpstr (fixture->extra_use.backend_id, ==, "b-1");
  g_assert_cmpstr (fixture->extra_use.id, ==, "id-1");
}

static void
wait_for_late (fixture_t *fixture)
{
  while (g_atomic_int_get (&fixture->n_late) < 1)
    g_usleep (USEC_PER_MSEC);
  g_usleep (PAUSE / 10);
}

/* The bytes wait when the next request is sent; nothing has looked at the
   connection meanwhile.  libcurl by itself reads them as its response.  */
static void
test_bytes_before_request (gconstpointer data)
{
  fixture_t fixture;
  fixture_open (&fixture, (behaviour_t)GPOINTER_TO_INT (data));
  call (&fixture, "id-1", false);
  wait_for_late (&fixture);
  call (&fixture, "id-2", false);
  assert_answered (&fixture);
  g_assert_false (fixture.was_reused);
  assert_extra_of_first (&fixture);
  fixture_close (&fixture);
}

/* They are seen as they come, without a next request.  */
static void
test_bytes_while_idle (void)
{
  fixture_t fixture;
  fixture_open (&fixture, SENDS_COPY_LATE);
  call (&fixture, "id-1", false);
  while (fixture.n_extra == 0)
    run_once (&fixture);
  assert_extra_of_first (&fixture);
  call (&fixture, "id-2", false);
  assert_answered (&fixture);
  fixture_close (&fixture);
}

/* libcurl by itself sends the request, and reports that there was no
   response.  */
static void
test_closed_before_request (void)
{
  fixture_t fixture;
  fixture_open (&fixture, CLOSES_LATE);
  call (&fixture, "id-1", false);
  wait_for_late (&fixture);
  call (&fixture, "id-2", false);
  assert_answered (&fixture);
  g_assert_cmpuint (fixture.n_extra, ==, 0);
  fixture_close (&fixture);
}

/* libcurl drops what follows a length and closes the connection by itself, but
   keeps a connection with bytes after the last chunk.  */
static void
test_bytes_at_once (gconstpointer data)
{
  fixture_t fixture;
  fixture_open (&fixture, (behaviour_t)GPOINTER_TO_INT (data));
  call (&fixture, "id-1", false);
  assert_answered (&fixture);
  assert_extra_of_first (&fixture);
  g_assert_cmpint (fixture.extra_place, ==, EXTRA_AFTER_RESPONSE);
  g_usleep (PAUSE);
  call (&fixture, "id-2", false);
  assert_answered (&fixture);
  g_assert_false (fixture.was_reused);
  fixture_close (&fixture);
}

/* A copy of the first response comes after the second request was sent, before
   its response, which is read all the same; the connection is not used
   again.  */
static void
test_copy_before_response (gconstpointer data)
{
  fixture_t fixture;
  fixture_open (&fixture, (behaviour_t)GPOINTER_TO_INT (data));
  bool is_single = fixture.behaviour != SENDS_COPIES_BEFORE_NEXT;
  call (&fixture, "id-1", false);
  call (&fixture, "id-2", false);
  assert_answered (&fixture);
  g_assert_true (fixture.was_reused);
  g_assert_cmpuint (fixture.n_extra, ==, is_single ? 1 : 2);
  g_assert_cmpint (fixture.extra_place, ==, EXTRA_BEFORE_RESPONSE);
  g_assert_cmpstr (fixture.extra_use.id, ==, "id-2");
  call (&fixture, "id-3", false);
  assert_answered (&fixture);
  g_assert_false (fixture.was_reused);
  fixture_close (&fixture);
}

typedef struct copy_case
{
  const char *path;
  const char *refusal;
  behaviour_t behaviour;
} copy_case_t;

static const copy_case_t copy_cases[] = {
  { "/backend-reuse/refusal-copy-503", "503 Full", SENDS_COPY_BEFORE_NEXT },
  { "/backend-reuse/refusal-copy-429", "429 Busy", SENDS_COPY_BEFORE_NEXT },
  { "/backend-reuse/refusal-copy-408", "408 Late", SENDS_COPY_BEFORE_NEXT },
  { "/backend-reuse/refusal-copy-421", "421 Other", SENDS_COPY_BEFORE_NEXT },
  { "/backend-reuse/refusal-copy-400", "400 Bad", SENDS_COPY_BEFORE_NEXT },
  { "/backend-reuse/refusal-copy-in-parts", "503 Full", SENDS_COPY_IN_PARTS },
  { "/backend-reuse/refusal-copies", "503 Full", SENDS_COPIES_BEFORE_NEXT },
  { "/backend-reuse/answer-copy", NULL, SENDS_COPY_BEFORE_NEXT },
};

/* Guards against a request that is told as not run and runs: a copy of the
   answer to an attempt with the same id is taken for its own.  */
static void
test_copy_with_own_id (gconstpointer data)
{
  const copy_case_t *copy_case = data;
  fixture_t fixture;
  fixture_open (&fixture, copy_case->behaviour);
  fixture.refusal = copy_case->refusal;
  call (&fixture, "id-1", false);
  g_assert_cmpint (answer_may_have_run (&fixture.last), ==,
                   !copy_case->refusal);
  call (&fixture, "id-1", false);
  assert_answered (&fixture);
  g_assert_false (fixture.was_reused);
  call (&fixture, "id-2", false);
  assert_answered (&fixture);
  fixture_close (&fixture);
}

/* Guards against a router that reads responses to an earlier request for as
   long as a backend server sends them: none of its other requests goes on
   meanwhile.  */
static void
test_copies_without_end (void)
{
  fixture_t fixture;
  fixture_open (&fixture, SENDS_COPIES_WITHOUT_END);
  call (&fixture, "id-1", false);
  call (&fixture, "id-2", false);
  g_assert_cmpint (answer_classify (&fixture.last), !=, BACKEND_ANSWERED);
  g_assert_cmpuint (fixture.n_before, <=, COPIES_READ_MAX);
  g_assert_cmpuint (fixture.n_extra, <=, fixture.n_before + 1);
  call (&fixture, "id-3", false);
  assert_answered (&fixture);
  g_assert_false (fixture.was_reused);
  fixture_close (&fixture);
}

/* Guards against a response of one's own that is left out, and against an end
   that is guessed.  */
static void
test_foreign_response_bytes (void)
{
  static const struct
  {
    const char *data;
    uint64_t n;
  } cases[] = {
    { "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 2\r\n\r\nok", 55 },
    { "HTTP/1.1 204 No\r\nrequest-id:a \r\n\r\n", 34 },
    { "HTTP/1.1 200 OK\r\nRequest-Id: b\r\nContent-Length: 2\r\n\r\nok", 0 },
    { "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nRequest-Id: b\r\n"
      "Content-Length: 2\r\n\r\nok",
      0 },
    { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 0 },
    { "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 2\r\n\r", 0 },
    { "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 2x\r\n\r\nok", 0 },
    { "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 99999999\r\n\r\n",
      0 },
    { "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nok", 0 },
    { "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n",
      0 },
    { "HTTP/1.1 200 OK\r\nRequest-Id: b\ra\r\nContent-Length: 2\r\n\r\nok",
      0 },
    { "HTTP/1.1 103 Hints\r\nRequest-Id: a\r\n\r\n", 0 },
    { "Request-Id: a\r\n\r\n", 0 },
    { "", 0 },
  };
  sent_ids_t sent = { 0 };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const char *data = cases[i].data;
      g_test_message ("%s", data);
      g_assert_cmpuint (
          foreign_response_bytes (data, strlen (data), "b", &sent), ==,
          cases[i].n);
    }
  /* To a health check, which has no id.  */
  const char *copy = cases[0].data;
  g_assert_cmpuint (foreign_response_bytes (copy, strlen (copy), "", &sent),
                    ==, 0);
  sent_ids_add (&sent, "a");
  g_assert_cmpuint (foreign_response_bytes (copy, strlen (copy), "", &sent),
                    ==, cases[0].n);
}

/* Guards against a health check that is judged by the copy of a request's
   refusal, whose rest, limit and cold time are not its own.  */
static void
test_health_check_behind_copy (gconstpointer data)
{
  fixture_t fixture;
  fixture_open (&fixture, (behaviour_t)GPOINTER_TO_INT (data));
  fixture.refusal = "503 Full";
  call (&fixture, "id-1", false);
  call (&fixture, "", false);
  g_assert_true (fixture.was_reused);
  g_assert_cmpuint (fixture.last.status, ==, 200);
  g_assert_false (fixture.last.is_foreign);
  fixture_close (&fixture);
}

/* The copy has no end that is known, so that it can't be left out.  */
static void
test_health_check_reads_copy (void)
{
  fixture_t fixture;
  fixture_open (&fixture, SENDS_ENDLESS_COPY_BEFORE_NEXT);
  call (&fixture, "id-1", false);
  call (&fixture, "", false);
  g_assert_true (fixture.was_reused);
  g_assert_true (fixture.last.is_foreign);
  call (&fixture, "id-2", false);
  assert_answered (&fixture);
  g_assert_false (fixture.was_reused);
  fixture_close (&fixture);
}

/* Guards against a connection that carries requests for as long as it is
   open: too many ids would be taken for those that it has carried.  */
static void
test_many_requests (void)
{
  fixture_t fixture;
  fixture_open (&fixture, SENDS_NOTHING);
  for (int i = 0; i < N_MANY; i++)
    {
      g_autofree char *id = g_strdup_printf ("id-%d", i);
      start_call (&fixture, id, false);
      backend_http_tick (fixture.client, clock_monotonic ());
      while (fixture.n_ended <= (size_t)i)
        run_once (&fixture);
      assert_answered (&fixture);
    }
  g_assert_cmpint (g_atomic_int_get (&fixture.n_most), <=, SENT_IDS_MAX);
  g_assert_cmpint (g_atomic_int_get (&fixture.n_accepted), <=, N_MANY / 100);
  fixture_close (&fixture);
}

static void
test_new_connection (void)
{
  fixture_t fixture;
  fixture_open (&fixture, SENDS_NOTHING);
  call (&fixture, "id-1", false);
  call (&fixture, "id-2", false);
  assert_answered (&fixture);
  g_assert_true (fixture.was_reused);
  call (&fixture, "id-3", true);
  assert_answered (&fixture);
  g_assert_false (fixture.was_reused);
  g_assert_cmpint (g_atomic_int_get (&fixture.n_accepted), ==, 2);
  g_assert_cmpuint (fixture.n_extra, ==, 0);
  fixture_close (&fixture);
}

/* Guards against a connection that is shut down while it serves a request,
   because it was to get no other once.  */
static void
test_used_again_after_all (void)
{
  fixture_t fixture;
  fixture_open (&fixture, SENDS_NOTHING);
  call (&fixture, "id-1", true);
  call (&fixture, "id-2", false);
  g_assert_true (fixture.was_reused);
  usec_t end = clock_monotonic () + USEC_PER_SEC;
  while (clock_monotonic () < end)
    run_once (&fixture);
  call (&fixture, "id-3", false);
  assert_answered (&fixture);
  g_assert_true (fixture.was_reused);
  fixture_close (&fixture);
}

/* Guards against a response that is taken for bytes on an idle connection:
   libcurl may give a connection to the next request before it tells that the
   one before has ended.  With a large response that needs several turns, this
   depends on how far it has come when the next request begins.  */
static void
test_handed_on_at_once (void)
{
  fixture_t fixture;
  fixture_open (&fixture, SENDS_NOTHING);
  for (int i = 0; i < HAND_ON_ROUNDS; i++)
    {
      size_t n = fixture.n_ended + 2;
      start_call (&fixture, "large", false);
      backend_http_tick (fixture.client, clock_monotonic ());
      g_usleep (USEC_PER_MSEC);
      for (int turn = 0; turn < i % HAND_ON_TURNS_MAX; turn++)
        handle_event (&fixture);
      start_call (&fixture, "id-2", false);
      while (fixture.n_ended < n)
        run_once (&fixture);
    }
  g_assert_cmpuint (fixture.n_extra, ==, 0);
  g_assert_cmpuint (fixture.n_answered, ==, 2 * HAND_ON_ROUNDS);
  fixture_close (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  g_test_add_data_func ("/backend-reuse/copy-before-request",
                        GINT_TO_POINTER (SENDS_COPY_LATE),
                        test_bytes_before_request);
  g_test_add_data_func ("/backend-reuse/part-before-request",
                        GINT_TO_POINTER (SENDS_PART_LATE),
                        test_bytes_before_request);
  g_test_add_func ("/backend-reuse/copy-while-idle", test_bytes_while_idle);
  g_test_add_func ("/backend-reuse/closed-before-request",
                   test_closed_before_request);
  g_test_add_data_func ("/backend-reuse/copy-at-once",
                        GINT_TO_POINTER (SENDS_COPY_AT_ONCE),
                        test_bytes_at_once);
  g_test_add_data_func ("/backend-reuse/bytes-after-chunks",
                        GINT_TO_POINTER (SENDS_BYTES_AFTER_CHUNKS),
                        test_bytes_at_once);
  g_test_add_data_func ("/backend-reuse/copy-before-response",
                        GINT_TO_POINTER (SENDS_COPY_BEFORE_NEXT),
                        test_copy_before_response);
  g_test_add_data_func ("/backend-reuse/copy-in-parts",
                        GINT_TO_POINTER (SENDS_COPY_IN_PARTS),
                        test_copy_before_response);
  g_test_add_data_func ("/backend-reuse/two-copies",
                        GINT_TO_POINTER (SENDS_COPIES_BEFORE_NEXT),
                        test_copy_before_response);
  for (size_t i = 0; i < G_N_ELEMENTS (copy_cases); i++)
    g_test_add_data_func (copy_cases[i].path, &copy_cases[i],
                          test_copy_with_own_id);
  g_test_add_func ("/backend-reuse/copies-without-end",
                   test_copies_without_end);
  g_test_add_func ("/backend-reuse/foreign-response",
                   test_foreign_response_bytes);
  g_test_add_data_func ("/backend-reuse/health-check-behind-copy",
                        GINT_TO_POINTER (SENDS_COPY_BEFORE_NEXT),
                        test_health_check_behind_copy);
  g_test_add_data_func ("/backend-reuse/health-check-behind-copies",
                        GINT_TO_POINTER (SENDS_COPIES_BEFORE_NEXT),
                        test_health_check_behind_copy);
  g_test_add_func ("/backend-reuse/health-check-reads-copy",
                   test_health_check_reads_copy);
  g_test_add_func ("/backend-reuse/many-requests", test_many_requests);
  g_test_add_func ("/backend-reuse/new-connection", test_new_connection);
  g_test_add_func ("/backend-reuse/used-again", test_used_again_after_all);
  g_test_add_func ("/backend-reuse/handed-on-at-once", test_handed_on_at_once);
  return g_test_run ();
}
