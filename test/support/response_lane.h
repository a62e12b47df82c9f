/* response_lane: a backend server for test_router_response_matrix.  It serves
   one connection at a time on a port of its own, in a thread of its own, and
   frames, cuts and ends each response as the number of a case says.  The
   target of a request, "/CASE/STEP", names the case and the place of the
   request within it.  */

#ifndef TEST_SUPPORT_RESPONSE_LANE_H
#define TEST_SUPPORT_RESPONSE_LANE_H

#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "wire/response_framing.h"

#include "loopback.h"

enum
{
  LANE_ID_BYTES = 16,
  LANE_BODY_BYTES = 18, /* twice the id */
  LANE_REQUEST_BODY = 3000,
  LANE_LATE_USEC = 1000,
  LANE_SEGMENT_USEC = 100,
};

/* Whether what follows the head is a body, and how.  */
typedef enum
{
  FORM_NONE,
  FORM_PLAIN,
  FORM_CHUNKS,
  FORM_TRAILER, /* chunks, and a field after them */
} lane_form_t;

/* A response as the backend server frames it, and how that is to be judged. */
typedef struct lane_framing
{
  const char *name;
  const char *start; /* up to the usual fields */
  const char *fields;
  lane_form_t form;
  unsigned int status;
  framing_kind_t kind;
  bool is_head;
  bool is_refusal; /* the request is not run */
  bool is_rare;
} lane_framing_t;

#define LANE_OK "HTTP/1.1 200 OK\r\n"
#define LANE_CHUNKED "Transfer-Encoding: chunked\r\n"

static const lane_framing_t lane_framings[] = {
  { "length", LANE_OK, "Content-Length: 18\r\n", FORM_PLAIN, 200,
    FRAMING_LENGTH, false, false, false },
  { "length-list", LANE_OK, "Content-Length: 18,\t018\r\n", FORM_PLAIN, 200,
    FRAMING_LENGTH, false, false, true },
  { "length-zero", LANE_OK, "Content-Length: 0\r\n", FORM_NONE, 200,
    FRAMING_LENGTH, false, false, true },
  { "length-205", "HTTP/1.1 205 Reset\r\n", "Content-Length: 18\r\n",
    FORM_PLAIN, 205, FRAMING_LENGTH, false, false, true },
  { "informational", "HTTP/1.1 103 Hints\r\nContent-Length: 7\r\n\r\n" LANE_OK,
    "Content-Length: 18\r\n", FORM_PLAIN, 200, FRAMING_LENGTH, false, false,
    true },
  { "chunks", LANE_OK, LANE_CHUNKED, FORM_CHUNKS, 200, FRAMING_CHUNKS, false,
    false, false },
  { "chunks-trailer", LANE_OK, "transfer-encoding:CHUNKED\r\n", FORM_TRAILER,
    200, FRAMING_CHUNKS, false, false, true },
  { "close", LANE_OK, "", FORM_PLAIN, 200, FRAMING_UNTIL_CLOSE, false, false,
    false },
  { "close-1.0", "HTTP/1.0 200 OK\r\n", "Connection: keep-alive\r\n",
    FORM_PLAIN, 200, FRAMING_UNTIL_CLOSE, false, false, true },
  { "close-500", "HTTP/1.1 500 Error\r\n", "Connection: close\r\n", FORM_PLAIN,
    500, FRAMING_UNTIL_CLOSE, false, false, true },
  { "head", LANE_OK, "Content-Length: 18\r\n", FORM_NONE, 200, FRAMING_NO_BODY,
    true, false, false },
  { "head-chunks", LANE_OK, LANE_CHUNKED, FORM_NONE, 200, FRAMING_NO_BODY,
    true, false, true },
  { "no-content", "HTTP/1.1 204 None\r\n", "", FORM_NONE, 204, FRAMING_NO_BODY,
    false, false, false },
  { "not-modified", "HTTP/1.1 304 Same\r\n", "Content-Length: 18\r\n",
    FORM_NONE, 304, FRAMING_NO_BODY, false, false, true },
  { "refusal", "HTTP/1.1 503 Full\r\nNot-Executed: full\r\n",
    "Content-Length: 0\r\n", FORM_NONE, 503, FRAMING_LENGTH, false, true,
    false },
  { "ran-408", "HTTP/1.1 408 Late\r\n", "Content-Length: 18\r\n", FORM_PLAIN,
    408, FRAMING_LENGTH, false, false, true },
  { "ran-421", "HTTP/1.1 421 Other\r\n", "Content-Length: 18\r\n", FORM_PLAIN,
    421, FRAMING_LENGTH, false, false, true },
  { "ran-429", "HTTP/1.1 429 Many\r\n", "Content-Length: 18\r\n", FORM_PLAIN,
    429, FRAMING_LENGTH, false, false, true },
  { "ran-503", "HTTP/1.1 503 Full\r\n", "Content-Length: 18\r\n", FORM_PLAIN,
    503, FRAMING_LENGTH, false, false, true },
  { "ran-stated", LANE_OK, "Not-Executed: full\r\nContent-Length: 18\r\n",
    FORM_PLAIN, 200, FRAMING_LENGTH, false, false, true },
  { "differs", LANE_OK, "Content-Length: 9, 18\r\n", FORM_PLAIN, 200,
    FRAMING_INVALID, false, false, true },
  { "letter", LANE_OK, "Content-Length: 9x\r\n", FORM_PLAIN, 200,
    FRAMING_INVALID, false, false, true },
  { "too-large", LANE_OK, "Content-Length: 9223372036854775808\r\n",
    FORM_PLAIN, 200, FRAMING_INVALID, false, false, true },
  { "blank", LANE_OK, "Content-Length : 9\r\n", FORM_PLAIN, 200,
    FRAMING_INVALID, false, false, true },
  { "folded", LANE_OK, "Content-Length: 9\r\n\t8\r\n", FORM_PLAIN, 200,
    FRAMING_INVALID, false, false, true },
  { "both", LANE_OK, "Content-Length: 9\r\n" LANE_CHUNKED, FORM_CHUNKS, 200,
    FRAMING_INVALID, false, false, true },
  { "chunked-twice", LANE_OK, LANE_CHUNKED LANE_CHUNKED, FORM_CHUNKS, 200,
    FRAMING_INVALID, false, false, true },
  { "gzip-chunked", LANE_OK, "Transfer-Encoding: gzip, chunked\r\n",
    FORM_CHUNKS, 200, FRAMING_INVALID, false, false, true },
};

/* Before and after a case; the last one leaves no connection to the next
   case.  */
static const lane_framing_t lane_first
    = { "first",    LANE_OK, "Content-Length: 18\r\n",
        FORM_PLAIN, 200,     FRAMING_LENGTH,
        false,      false };
static const lane_framing_t lane_last
    = { "last",     LANE_OK, "Connection: close\r\nContent-Length: 18\r\n",
        FORM_PLAIN, 200,     FRAMING_LENGTH,
        false,      false };

typedef enum
{
  LANE_CLOSE,
  LANE_RESET,
  LANE_OPEN, /* what has not come never comes */
} lane_ending_t;

typedef enum
{
  SECOND_NONE,
  SECOND_AT_ONCE,
  SECOND_LATE,
  SECOND_BEFORE, /* the next request's response */
} lane_second_t;

/* CUT counts the bytes that are sent of the response, or of the second one if
   there is one.  */
typedef struct lane_case
{
  const lane_framing_t *framing;
  size_t cut;
  lane_ending_t ending;
  unsigned int n_segments;
  lane_second_t second;
  bool is_reused;    /* the connection has served the step before */
  bool is_body_read; /* the request's, before the response is sent */
} lane_case_t;

/* The requests of a case, in this order.  */
enum
{
  STEP_BEFORE, /* only if the connection is to be used again */
  STEP_CASE,
  STEP_AFTER,
  STEPS,
};

typedef struct lane
{
  int listener;
  inet_t address;
  GThread *server;
  const lane_case_t *cases; /* borrowed */
  gint *runs;               /* of case times STEPS plus step; atomic */
} lane_t;

static inline void
lane_id (char id[LANE_ID_BYTES], size_t number, unsigned int step)
{
  snprintf (id, LANE_ID_BYTES, "c%06zu-%u", number, step);
}

/* The text of the response to the request ID, to be freed.  */
static inline char *
lane_response (const lane_framing_t *framing, const char *id)
{
  const char *form = "";
  switch (framing->form)
    {
    case FORM_NONE:
      break;
    case FORM_PLAIN:
      form = "%s%s";
      break;
    case FORM_CHUNKS:
      form = "9\r\n%s\r\n9\r\n%s\r\n0\r\n\r\n";
      break;
    case FORM_TRAILER:
      form = "9;x\r\n%s\r\n09\r\n%s\r\n0\r\nRequest-Id: other\r\n\r\n";
      break;
    }
  g_autofree char *head
      = g_strdup_printf ("%sRequest-Id: %s\r\nServer-Stamp: s\r\n%s\r\n",
                         framing->start, id, framing->fields);
  g_autoptr (GString) body = g_string_new (form);
  g_string_replace (body, "%s", id, 0);
  return g_strconcat (head, body->str, NULL);
}

static inline bool
lane_write (int fd, const char *text, size_t length, unsigned int n_segments)
{
  for (size_t i = 0; i < n_segments; i++)
    {
      size_t from = i * length / n_segments;
      size_t to = (i + 1) * length / n_segments;
      if (i > 0)
        g_usleep (LANE_SEGMENT_USEC);
      if (to > from
          && send (fd, text + from, to - from, MSG_NOSIGNAL)
                 != (ssize_t)(to - from))
        return false;
    }
  return true;
}

/* One connection.  */
typedef struct lane_connection
{
  lane_t *lane;
  int fd;
  size_t unread;   /* bytes of the last request's body */
  char *kept_back; /* a second response, to be sent before the next */
} lane_connection_t;

/* Read N bytes and throw them away.  */
static inline bool
lane_skip (lane_connection_t *connection, size_t n)
{
  char bytes[4096];
  while (n > 0)
    {
      ssize_t got = recv (connection->fd, bytes, MIN (n, sizeof bytes), 0);
      if (got <= 0)
        return false;
      n -= (size_t)got;
    }
  return true;
}

/* Read the head of the next request, and no byte more.  */
static inline bool
lane_read_head (lane_connection_t *connection, char *head, size_t size)
{
  if (!lane_skip (connection, connection->unread))
    return false;
  for (;;)
    {
      ssize_t n = recv (connection->fd, head, size - 1, MSG_PEEK);
      if (n <= 0)
        return false;
      head[n] = '\0';
      const char *end = strstr (head, "\r\n\r\n");
      size_t take = end ? (size_t)(end - head) + 4 : 0;
      if (end && lane_skip (connection, take))
        {
          head[take] = '\0';
          const char *field = strstr (head, "Content-Length: ");
          connection->unread = field ? strtoul (field + 16, NULL, 10) : 0;
          return true;
        }
      g_usleep (LANE_SEGMENT_USEC);
    }
}

/* Send the response of CASE to ID; false if the connection ends now.  */
static inline bool
lane_answer_case (lane_connection_t *connection, const lane_case_t *this_case,
                  const char *id)
{
  int fd = connection->fd;
  g_autofree char *text = lane_response (this_case->framing, id);
  size_t length = strlen (text);
  size_t cut = MIN (this_case->cut, length);
  bool is_ok = true;
  switch (this_case->second)
    {
    case SECOND_NONE:
      is_ok = lane_write (fd, text, cut, this_case->n_segments);
      break;
    case SECOND_AT_ONCE:
      {
        g_autofree char *both = g_strconcat (text, text, NULL);
        is_ok = lane_write (fd, both, length + cut, this_case->n_segments);
        break;
      }
    case SECOND_LATE:
      is_ok = lane_write (fd, text, length, this_case->n_segments);
      g_usleep (LANE_LATE_USEC);
      is_ok = is_ok && lane_write (fd, text, cut, this_case->n_segments);
      break;
    case SECOND_BEFORE:
      is_ok = lane_write (fd, text, length, this_case->n_segments);
      connection->kept_back = g_strndup (text, cut);
      break;
    }
  if (this_case->ending == LANE_RESET)
    {
      const struct linger at_once = { .l_onoff = 1, .l_linger = 0 };
      setsockopt (fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    }
  return is_ok && this_case->ending == LANE_OPEN;
}

static inline bool
lane_answer (lane_connection_t *connection, const char *head)
{
  size_t number = 0;
  unsigned int step = 0;
  char id[LANE_ID_BYTES];
  if (sscanf (head, "%*s /%zu/%u ", &number, &step) != 2 || step >= STEPS)
    g_error ("not a request of this test: %s", head);
  const lane_case_t *this_case = &connection->lane->cases[number];
  lane_id (id, number, step);
  bool is_case = step == STEP_CASE;
  if (!is_case || !this_case->framing->is_refusal)
    g_atomic_int_inc (&connection->lane->runs[number * STEPS + step]);
  if (!is_case || this_case->is_body_read)
    {
      if (!lane_skip (connection, connection->unread))
        return false;
      connection->unread = 0;
    }
  if (is_case)
    return lane_answer_case (connection, this_case, id);
  g_autofree char *text
      = lane_response (step == STEP_BEFORE ? &lane_first : &lane_last, id);
  if (connection->kept_back)
    lane_write (connection->fd, connection->kept_back,
                strlen (connection->kept_back), 1);
  bool is_ok = lane_write (connection->fd, text, strlen (text), 1);
  return is_ok && step == STEP_BEFORE;
}

static inline gpointer
lane_serve (gpointer data)
{
  lane_t *lane = data;
  int on = 1;
  int fd;
  while ((fd = accept (lane->listener, NULL, NULL)) >= 0)
    {
      char head[2048];
      lane_connection_t connection = { .lane = lane, .fd = fd };
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      while (lane_read_head (&connection, head, sizeof head)
             && lane_answer (&connection, head))
        ;
      g_free (connection.kept_back);
      close (fd);
    }
  return NULL;
}

static inline void
lane_open (lane_t *lane, const lane_case_t *cases, gint *runs)
{
  lane->cases = cases;
  lane->runs = runs;
  lane->listener = loopback_listen (&lane->address);
  lane->server = g_thread_new ("lane", lane_serve, lane);
}

/* After all its connections were closed by the client.  */
static inline void
lane_close (lane_t *lane)
{
  shutdown (lane->listener, SHUT_RDWR);
  g_thread_join (lane->server);
  close (lane->listener);
}

#endif
