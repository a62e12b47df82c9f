/* Answers of backend servers that do not end.  Guards against a router whose
   memory fills, and against good answers that are lost beside bad ones.  The
   backend server is a thread for each connection.  */

#include <curl/curl.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "router/backend_http.h"

#include "../support/loopback.h"

enum
{
  CHUNK_BYTES = 16 * 1024,
  ENDLESS_BODIES = 8,
  GOOD_BYTES = 40 * 1024,
};

#define CALL_TIMEOUT (20 * USEC_PER_SEC)

typedef struct fixture
{
  int listener;
  inet_t address;
  GThread *server;
  gint n_sent; /* bytes that the server has written; atomic */
  poller_t *poller;
  backend_http_t *client;
  size_t n_ended;
  size_t n_complete;
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
repeat (const connection_t *connection, const char *first, const char *text)
{
  write_text (connection, first);
  while (write_text (connection, text))
    ;
}

static gpointer
serve (gpointer data)
{
  connection_t *connection = data;
  char request[4096] = "";
  if (recv (connection->fd, request, sizeof request - 1, 0) > 0)
    {
      if (strstr (request, "/head"))
        repeat (connection, "HTTP/1.1 200 OK\r\n", "X-Field: 1234567890\r\n");
      else if (strstr (request, "/informational"))
        repeat (connection, "", "HTTP/1.1 102 Processing\r\n\r\n");
      else if (strstr (request, "/chunk-size"))
        repeat (connection,
                "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\n"
                "Transfer-Encoding: chunked\r\n\r\n",
                "0000000000");
      else if (strstr (request, "/other"))
        answer_endlessly (connection, "id-2");
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
  fixture->n_ended++;
  if (!response->is_complete)
    return;
  fixture->n_complete++;
  g_assert_cmpuint (response->body_bytes, ==, GOOD_BYTES);
}

static void
fixture_open (fixture_t *fixture)
{
  *fixture = (fixture_t){ 0 };
  fixture->listener = loopback_listen (&fixture->address);
  fixture->poller = poller_new (NULL);
  const backend_http_options_t options = { .poller = fixture->poller,
                                           .own_address = "127.0.0.1",
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

static void
start_call (fixture_t *fixture, const char *target)
{
  const backend_request_t request
      = { .address = fixture->address,
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
      g_assert_cmpuint (backend_http_large_bytes (fixture->client), <=,
                        RESPONSES_BYTES_MAX);
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
  g_assert_cmpuint (backend_http_large_bytes (fixture.client), ==, 0);
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
  return g_test_run ();
}
