/* upload_server: a server within a test that reads uploads slowly, falls
   silent, or answers before it has read them.  Each connection has a thread;
   the path of a request names what is done (see upload_server_handle).  */

#ifndef TEST_SUPPORT_UPLOAD_SERVER_H
#define TEST_SUPPORT_UPLOAD_SERVER_H

#include <glib.h>
#include <linux/filter.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/inet.h"
#include "base/time_defs.h"

#include "loopback.h"

enum
{
  TRICKLE_WINDOW_BYTES = 8 * 1024,
  TRICKLE_READ_BYTES = 2000,
  TRICKLE_UPLOAD_BYTES = 40 * 1000,
  UPLOAD_BYTES = 8 * 1000 * 1000, /* more than all buffers on the way */
  BUFFERED_BYTES = 1000 * 1000,   /* more than the server's buffer */
  READ_BYTES = 64 * 1024,
};

#define POLL_SPAN (10 * USEC_PER_MSEC)
/* More than twice TCP_USER_TIMEOUT.  */
#define READER_PAUSE (3200 * USEC_PER_MSEC)
/* More than the 200 ms after which TCP probes the window.  */
#define TRICKLE_PAUSE (300 * USEC_PER_MSEC)
/* The window is closed by then, and probes are acknowledged.  */
#define SILENT_AFTER (2500 * USEC_PER_MSEC)

#define IDS "Request-Id: id-1\r\nX-Request-Id: id-1\r\n"
#define LENGTH_FIELD "Content-Length: "
#define ANSWER                                                                \
  "HTTP/1.1 200 OK\r\n" IDS "Server-Stamp: s\r\n"                             \
  "Content-Length: 2\r\n\r\nok"
#define ANSWER_IN_CHUNKS                                                      \
  "HTTP/1.1 200 OK\r\n" IDS "Server-Stamp: s\r\n"                             \
  "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
#define REFUSAL                                                               \
  "HTTP/1.1 503 Full\r\n" IDS "Not-Executed: full\r\n"                        \
  "Content-Length: 2\r\n\r\nno"
#define NO_WHOLE_ANSWER                                                       \
  "HTTP/1.1 200 OK\r\n" IDS "Server-Stamp: s\r\n"                             \
  "Content-Length: 3\r\n\r\nok"

typedef struct upload_server
{
  int listener;
  inet_t address;
  GThread *thread;
  gint n_ended;    /* calls, as the test counts them; atomic */
  gint n_others;   /* that end while the server pauses; atomic */
  gint is_closing; /* atomic */
  gint n_requests; /* of which a head was read; atomic */
  gint n_whole;    /* uploads that were read to their end; atomic */
  gint n_cut;      /* those whose connection has ended before; atomic */
} upload_server_t;

typedef struct connection
{
  upload_server_t *server;
  int fd;
} connection_t;

/* From now on the kernel drops what comes on FD, without an acknowledgement.
 */
static inline void
fall_silent (int fd)
{
  struct sock_filter drop = BPF_STMT (BPF_RET | BPF_K, 0);
  struct sock_fprog program = { .len = 1, .filter = &drop };
  int result = setsockopt (fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                           sizeof program);
  g_assert_cmpint (result, ==, 0);
}

static inline void
write_text (const connection_t *connection, const char *text)
{
  send (connection->fd, text, strlen (text), MSG_NOSIGNAL);
}

static inline void
wait_until_closing (const connection_t *connection)
{
  while (!g_atomic_int_get (&connection->server->is_closing))
    g_usleep (POLL_SPAN);
}

static inline void
wait_for_others (const connection_t *connection)
{
  upload_server_t *server = connection->server;
  while (!g_atomic_int_get (&server->is_closing)
         && g_atomic_int_get (&server->n_ended)
                < g_atomic_int_get (&server->n_others))
    g_usleep (POLL_SPAN);
}

/* Read the rest of REQUEST, of which N_READ bytes were read, with its head.
   PAUSE: before each further read, of AT_ONCE bytes.  */
static inline bool
read_slowly (const connection_t *connection, const char *request,
             size_t n_read, size_t at_once, usec_t pause)
{
  char buffer[READ_BYTES];
  const char *end = strstr (request, "\r\n\r\n");
  const char *length = strstr (request, LENGTH_FIELD);
  g_assert_nonnull (end);
  g_assert_nonnull (length);
  size_t head_bytes = (size_t)(end - request) + strlen ("\r\n\r\n");
  size_t n_left = strtoul (length + strlen (LENGTH_FIELD), NULL, 10)
                  - (n_read - head_bytes);
  while (n_left > 0)
    {
      size_t wanted = n_left < at_once ? n_left : at_once;
      g_usleep ((gulong)pause);
      ssize_t n = recv (connection->fd, buffer, wanted, 0);
      if (n <= 0)
        {
          g_atomic_int_inc (&connection->server->n_cut);
          return false;
        }
      n_left -= (size_t)n;
    }
  g_atomic_int_inc (&connection->server->n_whole);
  return true;
}

static inline bool
read_upload (const connection_t *connection, const char *request,
             size_t n_read)
{
  return read_slowly (connection, request, n_read, READ_BYTES, 0);
}

static inline const char *
early_answer (const char *request)
{
  if (strstr (request, "/early-in-chunks"))
    return ANSWER_IN_CHUNKS;
  return strstr (request, "/early-refused") ? REFUSAL : ANSWER;
}

/* Handle one request; false: it was the last one.  */
static inline bool
upload_server_handle (const connection_t *connection, const char *request,
                      size_t n)
{
  if (strstr (request, "/slow-reader"))
    {
      g_usleep (READER_PAUSE);
      wait_for_others (connection);
      if (read_upload (connection, request, n))
        write_text (connection, ANSWER);
      return false;
    }
  if (strstr (request, "/trickle"))
    {
      if (read_slowly (connection, request, n, TRICKLE_READ_BYTES,
                       TRICKLE_PAUSE))
        write_text (connection, ANSWER);
      return false;
    }
  if (strstr (request, "/silent-when-closed"))
    {
      g_usleep (SILENT_AFTER);
      fall_silent (connection->fd);
      wait_until_closing (connection);
      return false;
    }
  if (strstr (request, "/silent-next"))
    {
      fall_silent (connection->fd);
      write_text (connection, ANSWER);
      wait_until_closing (connection);
      return false;
    }
  if (strstr (request, "/early-then-close"))
    {
      write_text (connection, ANSWER);
      g_usleep (READER_PAUSE / 10);
      return false;
    }
  if (strstr (request, "/early"))
    {
      write_text (connection, early_answer (request));
      wait_for_others (connection);
      return read_upload (connection, request, n);
    }
  if (strstr (request, "/no-whole-answer"))
    {
      write_text (connection, NO_WHOLE_ANSWER);
      g_usleep (READER_PAUSE / 10);
      return false;
    }
  write_text (connection, ANSWER);
  return true;
}

static inline gpointer
serve (gpointer data)
{
  connection_t *connection = data;
  char request[4096];
  ssize_t n;
  do
    {
      n = recv (connection->fd, request, sizeof request - 1, 0);
      if (n <= 0)
        break;
      request[n] = '\0';
      g_atomic_int_inc (&connection->server->n_requests);
    }
  while (upload_server_handle (connection, request, (size_t)n));
  close (connection->fd);
  g_free (connection);
  return NULL;
}

static inline gpointer
accept_all (gpointer data)
{
  upload_server_t *server = data;
  g_autoptr (GPtrArray) threads = g_ptr_array_new ();
  int fd;
  while ((fd = accept (server->listener, NULL, NULL)) >= 0)
    {
      connection_t *connection = g_new0 (connection_t, 1);
      *connection = (connection_t){ .server = server, .fd = fd };
      g_ptr_array_add (threads,
                       g_thread_new ("connection", serve, connection));
    }
  for (guint i = 0; i < threads->len; i++)
    g_thread_join (threads->pdata[i]);
  return NULL;
}

static inline void
upload_server_start (upload_server_t *server)
{
  *server = (upload_server_t){ 0 };
  server->listener = loopback_listen (&server->address);
  server->thread = g_thread_new ("accept", accept_all, server);
}

/* The test's connections must have been closed.  */
static inline void
upload_server_stop (upload_server_t *server)
{
  shutdown (server->listener, SHUT_RDWR);
  g_thread_join (server->thread);
  close (server->listener);
}

/* Receive windows are small from now on.  */
static inline void
upload_server_set_window (const upload_server_t *server, int n_bytes)
{
  setsockopt (server->listener, SOL_SOCKET, SO_RCVBUF, &n_bytes,
              sizeof n_bytes);
}

#endif
