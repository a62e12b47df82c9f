/* Guards against answers that a caller who reads slowly does not get to their
   end, and against requests that are passed on behind an answer that ends
   their connection, so that their own answers are dropped.  */

#include <errno.h>
#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "router/caller_connection.h"

#include "../support/loopback.h"

enum
{
  EXCHANGES_MAX = 8,
  RECEIVE_BUFFER_BYTES = 64 * 1024,
  LARGE_BYTES = 1000 * 1000,     /* a socket's send buffer holds it */
  HUGE_BYTES = 16 * 1000 * 1000, /* more than sockets hold */
  SMALL_BYTES = 100,
  BUDGET_BYTES = 64 * 1024 * 1024,
};

/* Longer than a caller may take to close after it has its answer.  */
#define SILENCE (7 * USEC_PER_SEC)
#define SHORT_SILENCE (2 * USEC_PER_SEC)
/* Longer than a connection is kept on which nothing happens.  */
#define KEPT_SILENCE (21 * USEC_PER_SEC)
/* A request that would be passed on is passed on sooner.  */
#define SETTLE (200 * USEC_PER_MSEC)
#define TIME_MAX (30 * USEC_PER_SEC)

/* Some systems do not tell what a socket holds.  */
static bool ioctl_fails;
int real_ioctl (int fd, unsigned long request, ...) __asm__("__real_ioctl");
int wrap_ioctl (int fd, unsigned long request, ...) __asm__("__wrap_ioctl");

int
wrap_ioctl (int fd, unsigned long request, ...)
{
  va_list arguments;
  va_start (arguments, request);
  void *value = va_arg (arguments, void *);
  va_end (arguments);
  if (!ioctl_fails)
    return real_ioctl (fd, request, value);
  errno = ENOTTY;
  return -1;
}

typedef struct fixture
{
  poller_t *poller;
  body_budget_t budget;
  caller_http_t *port;
  inet_t address;
  size_t n_received; /* requests that were passed on */
  size_t n_gone;
  exchange_t *received[EXCHANGES_MAX];
  int client;
  GString *answer; /* what the client has read */
  bool has_ended;
  bool was_reset;
} fixture_t;

static void
on_request (void *closure, exchange_t *exchange)
{
  fixture_t *fixture = closure;
  g_assert_cmpuint (fixture->n_received, <, EXCHANGES_MAX);
  fixture->received[fixture->n_received++] = exchange;
}

static bool
may_overlap (void *closure, const exchange_t *exchange)
{
  (void)closure;
  (void)exchange;
  return true;
}

static void
on_gone (void *closure, exchange_t *exchange)
{
  fixture_t *fixture = closure;
  fixture->n_gone++;
  caller_http_finish (exchange);
}

static void
set_up (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  err_t err = { 0 };
  const int small = RECEIVE_BUFFER_BYTES;
  close (loopback_listen (&fixture->address));
  fixture->budget.max = BUDGET_BYTES;
  fixture->answer = g_string_new (NULL);
  fixture->poller = poller_new (&err);
  const caller_http_options_t options = { .poller = fixture->poller,
                                          .address = fixture->address,
                                          .budget = &fixture->budget,
                                          .closure = fixture,
                                          .request_received = on_request,
                                          .may_overlap = may_overlap,
                                          .caller_gone = on_gone };
  fixture->port = caller_http_new (&options, &err);
  g_assert_nonnull (fixture->port);
  struct sockaddr_in at
      = { .sin_family = AF_INET,
          .sin_addr.s_addr = htonl (fixture->address.address),
          .sin_port = htons (fixture->address.port) };
  fixture->client = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (fixture->client, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  g_assert_cmpint (
      connect (fixture->client, (struct sockaddr *)&at, sizeof at), ==, 0);
}

static void
tear_down (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  if (fixture->port)
    caller_http_free (fixture->port);
  poller_free (fixture->poller);
  if (fixture->client >= 0)
    close (fixture->client);
  g_string_free (fixture->answer, TRUE);
}

static void
step (fixture_t *fixture)
{
  poller_event_t event;
  if (poller_wait (fixture->poller, USEC_PER_MSEC, &event))
    caller_http_socket_ready (fixture->port, event.watch, event.ready);
  caller_http_run (fixture->port);
}

static void
run_for (fixture_t *fixture, usec_t span)
{
  usec_t end = clock_monotonic () + span;
  while (clock_monotonic () < end)
    step (fixture);
}

/* Run until N requests have been passed on.  */
static void
await_requests (fixture_t *fixture, size_t n)
{
  usec_t end = clock_monotonic () + TIME_MAX;
  while (fixture->n_received < n && clock_monotonic () < end)
    step (fixture);
  g_assert_cmpuint (fixture->n_received, ==, n);
}

static void
send_request (fixture_t *fixture, const char *id, const char *field)
{
  char text[256];
  int n = snprintf (text, sizeof text, "GET /%s HTTP/1.1\r\nHost: a\r\n%s\r\n",
                    id, field);
  g_assert_cmpint (send (fixture->client, text, (size_t)n, MSG_NOSIGNAL), ==,
                   n);
}

/* Answer the request INDEX with LENGTH bytes.  */
static void
answer (fixture_t *fixture, size_t index, framing_kind_t framing,
        size_t length)
{
  exchange_t *exchange = fixture->received[index];
  char *body = malloc (length);
  g_assert_nonnull (body);
  memset (body, 'a' + (int)index, length);
  exchange->response.status = 200;
  exchange->response.framing = framing;
  exchange->response.body = body;
  exchange->response.body_bytes = length;
  caller_http_finish (exchange);
}

/* Read as much as has arrived.  */
static void
read_some (fixture_t *fixture)
{
  static char piece[RECEIVE_BUFFER_BYTES];
  ssize_t n = recv (fixture->client, piece, sizeof piece, MSG_DONTWAIT);
  if (n > 0)
    g_string_append_len (fixture->answer, piece, n);
  else if (n == 0)
    fixture->has_ended = true;
  else if (errno != EAGAIN)
    fixture->was_reset = true;
}

/* Read to the end of the connection.  */
static void
read_all (fixture_t *fixture)
{
  usec_t end = clock_monotonic () + TIME_MAX;
  while (!fixture->has_ended && !fixture->was_reset
         && clock_monotonic () < end)
    {
      read_some (fixture);
      if (fixture->port)
        step (fixture);
    }
}

/* The number of bytes C in what the client got behind the first head.  */
static size_t
n_of_body (const fixture_t *fixture, char c)
{
  size_t n = 0;
  const char *body = strstr (fixture->answer->str, "\r\n\r\n");
  if (!body)
    return 0;
  for (const char *at = body + 4; *at; at++)
    n += *at == c;
  return n;
}

/* After SIGTERM: the caller sends a further request, and reads late.  */
static void
check_read_late (fixture_t *fixture, usec_t silence)
{
  caller_http_disable_keep_alive (fixture->port);
  send_request (fixture, "1", "");
  await_requests (fixture, 1);
  answer (fixture, 0, FRAMING_LENGTH, LARGE_BYTES);
  run_for (fixture, silence);
  send_request (fixture, "2", "");
  run_for (fixture, SETTLE);
  read_all (fixture);
  g_assert_cmpuint (n_of_body (fixture, 'a'), ==, LARGE_BYTES);
  g_assert_false (fixture->was_reset);
  g_assert_cmpuint (fixture->n_received, ==, 1);
}

static void
test_answer_is_read_late (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  check_read_late (fixture, SILENCE);
}

static void
test_system_does_not_tell (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  ioctl_fails = true;
  check_read_late (fixture, SHORT_SILENCE);
  g_assert_cmpuint (caller_http_n_undelivered (fixture->port), ==, 1);
  close (fixture->client);
  fixture->client = -1;
  run_for (fixture, SETTLE);
  g_assert_cmpuint (caller_http_n_undelivered (fixture->port), ==, 0);
  ioctl_fails = false;
}

/* A connection that is kept is closed when nothing happens on it for long;
   that a caller takes what the kernel holds goes unnoticed.  */
static void
test_kept_is_read_late (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  send_request (fixture, "1", "");
  await_requests (fixture, 1);
  answer (fixture, 0, FRAMING_LENGTH, LARGE_BYTES);
  run_for (fixture, KEPT_SILENCE);
  send_request (fixture, "2", "Connection: close\r\n");
  await_requests (fixture, 2);
  answer (fixture, 1, FRAMING_LENGTH, SMALL_BYTES);
  read_all (fixture);
  g_assert_cmpuint (n_of_body (fixture, 'a'), >=, LARGE_BYTES);
  g_assert_false (fixture->was_reset);
}

/* A caller may close its side and read on.  */
static void
test_closes_its_side (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  caller_http_disable_keep_alive (fixture->port);
  send_request (fixture, "1", "");
  await_requests (fixture, 1);
  answer (fixture, 0, FRAMING_LENGTH, LARGE_BYTES);
  run_for (fixture, SETTLE);
  shutdown (fixture->client, SHUT_WR);
  run_for (fixture, SETTLE);
  g_assert_cmpuint (caller_http_n_undelivered (fixture->port), ==, 1);
  read_all (fixture);
  g_assert_cmpuint (n_of_body (fixture, 'a'), ==, LARGE_BYTES);
  usec_t end = clock_monotonic () + TIME_MAX;
  while (caller_http_n_undelivered (fixture->port) > 0
         && clock_monotonic () < end)
    step (fixture);
  g_assert_cmpuint (caller_http_n_undelivered (fixture->port), ==, 0);
}

/* The end of the process, while the caller has sent more than is read.  */
static void
test_port_ends (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  caller_http_disable_keep_alive (fixture->port);
  send_request (fixture, "1", "");
  await_requests (fixture, 1);
  answer (fixture, 0, FRAMING_LENGTH, LARGE_BYTES);
  run_for (fixture, SETTLE);
  send_request (fixture, "2", "");
  caller_http_free (fixture->port);
  fixture->port = NULL;
  read_all (fixture);
  g_assert_cmpuint (n_of_body (fixture, 'a'), ==, LARGE_BYTES);
  g_assert_false (fixture->was_reset);
}

/* A request behind an answer that is being written and ends its connection,
   as FIELD or FRAMING says.  */
static void
check_behind (fixture_t *fixture, const char *field, framing_kind_t framing)
{
  send_request (fixture, "1", field);
  await_requests (fixture, 1);
  answer (fixture, 0, framing, HUGE_BYTES);
  run_for (fixture, SETTLE);
  send_request (fixture, "2", "");
  run_for (fixture, SETTLE);
  g_assert_cmpuint (fixture->n_received, ==, 1);
  read_all (fixture);
  g_assert_cmpuint (n_of_body (fixture, 'a'), ==, HUGE_BYTES);
  g_assert_false (fixture->was_reset);
  g_assert_cmpuint (fixture->n_received, ==, 1);
}

static void
test_behind_no_length (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  check_behind (fixture, "", FRAMING_UNTIL_CLOSE);
}

static void
test_behind_close (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  check_behind (fixture, "Connection: close\r\n", FRAMING_LENGTH);
}

static void
test_behind_stop (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  caller_http_disable_keep_alive (fixture->port);
  check_behind (fixture, "", FRAMING_LENGTH);
}

/* An answer that will end its connection waits for one that is being
   written.  */
static void
test_behind_waiting_answer (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  send_request (fixture, "1", "");
  send_request (fixture, "2", "");
  await_requests (fixture, 2);
  answer (fixture, 0, FRAMING_LENGTH, HUGE_BYTES);
  answer (fixture, 1, FRAMING_UNTIL_CLOSE, SMALL_BYTES);
  run_for (fixture, SETTLE);
  send_request (fixture, "3", "");
  run_for (fixture, SETTLE);
  g_assert_cmpuint (fixture->n_received, ==, 2);
  read_all (fixture);
  g_assert_nonnull (strstr (fixture->answer->str + HUGE_BYTES, "200 OK"));
  g_assert_false (fixture->was_reset);
  g_assert_cmpuint (fixture->n_received, ==, 2);
  g_assert_cmpuint (fixture->n_gone, ==, 0);
}

/* An answer to a request that is too large comes before its body has.  */
static void
test_behind_early_answer (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  static const char head[]
      = "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 30000000\r\n\r\n";
  static const char body[RECEIVE_BUFFER_BYTES];
  const size_t total = 30 * 1000 * 1000;
  caller_http_set_max_body (fixture->port, total - 1);
  g_assert_cmpint (send (fixture->client, head, sizeof head - 1, MSG_NOSIGNAL),
                   ==, sizeof head - 1);
  for (size_t n = 0; n < total;)
    {
      ssize_t n_sent
          = send (fixture->client, body, MIN (sizeof body, total - n),
                  MSG_NOSIGNAL | MSG_DONTWAIT);
      g_assert_true (n_sent > 0 || errno == EAGAIN);
      n += n_sent > 0 ? (size_t)n_sent : 0;
      step (fixture);
    }
  send_request (fixture, "2", "");
  run_for (fixture, SETTLE);
  read_all (fixture);
  g_assert_nonnull (strstr (fixture->answer->str, "HTTP/1.1 413 "));
  g_assert_false (fixture->was_reset);
  g_assert_cmpuint (fixture->n_received, ==, 0);
}

/* Earlier answers fill the socket when a caller waits to be told to go on with
   the body of a further request.  */
static void
test_continue_waits_for_room (fixture_t *fixture, gconstpointer data)
{
  (void)data;
  static char filler[RECEIVE_BUFFER_BYTES];
  size_t n_filled = 0;
  ssize_t n;
  memset (filler, 'x', sizeof filler);
  send_request (fixture, "1", "");
  await_requests (fixture, 1);
  int fd = fixture->received[0]->connection->watch.fd;
  answer (fixture, 0, FRAMING_LENGTH, SMALL_BYTES);
  run_for (fixture, SETTLE);
  while ((n = send (fd, filler, sizeof filler, MSG_NOSIGNAL | MSG_DONTWAIT))
         > 0)
    n_filled += (size_t)n;
  send_request (fixture, "2", "Expect: 100-continue\r\nContent-Length: 2\r\n");
  run_for (fixture, SETTLE);
  usec_t end = clock_monotonic () + TIME_MAX;
  while ((fixture->answer->len < n_filled
          || !g_str_has_suffix (fixture->answer->str + n_filled, "\r\n\r\n"))
         && !fixture->has_ended && !fixture->was_reset
         && clock_monotonic () < end)
    {
      read_some (fixture);
      step (fixture);
    }
  g_assert_false (fixture->has_ended);
  g_assert_false (fixture->was_reset);
  g_assert_nonnull (strstr (fixture->answer->str + n_filled, "100 Continue"));
  g_assert_cmpint (send (fixture->client, "ab", 2, MSG_NOSIGNAL), ==, 2);
  await_requests (fixture, 2);
  answer (fixture, 1, FRAMING_LENGTH, SMALL_BYTES);
}

static void
add (const char *path, void (*test) (fixture_t *, gconstpointer))
{
  g_test_add (path, fixture_t, NULL, set_up, test, tear_down);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  add ("/caller-close/read-late", test_answer_is_read_late);
  add ("/caller-close/system-does-not-tell", test_system_does_not_tell);
  add ("/caller-close/kept-read-late", test_kept_is_read_late);
  add ("/caller-close/closes-its-side", test_closes_its_side);
  add ("/caller-close/port-ends", test_port_ends);
  add ("/caller-close/behind-no-length", test_behind_no_length);
  add ("/caller-close/behind-close", test_behind_close);
  add ("/caller-close/behind-stop", test_behind_stop);
  add ("/caller-close/behind-waiting-answer", test_behind_waiting_answer);
  add ("/caller-close/behind-early-answer", test_behind_early_answer);
  add ("/caller-close/continue-waits-for-room", test_continue_waits_for_room);
  return g_test_run ();
}
