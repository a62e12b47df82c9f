#include "load_http.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  READ_STEP_BYTES = 16384,
};

void
load_conn_init (load_conn_t *conn, void *owner)
{
  memset (conn, 0, sizeof *conn);
  conn->fd = -1;
  conn->owner = owner;
}

void
load_conn_close (load_conn_t *conn)
{
  if (conn->fd >= 0)
    close (conn->fd);
  conn->fd = -1;
  conn->busy = false;
  conn->in_bytes = 0;
}

static bool
conn_open (load_conn_t *conn, int epoll, const struct sockaddr_in *to)
{
  conn->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (conn->fd < 0)
    return false;
  int on = 1;
  setsockopt (conn->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect (conn->fd, (const struct sockaddr *)to, sizeof *to) < 0
      && errno != EINPROGRESS)
    {
      load_conn_close (conn);
      return false;
    }
  struct epoll_event event
      = { .events = EPOLLIN | EPOLLOUT | EPOLLET, .data.ptr = conn };
  epoll_ctl (epoll, EPOLL_CTL_ADD, conn->fd, &event);
  return true;
}

/* False where the connection failed.  */
static bool
conn_flush (load_conn_t *conn)
{
  while (conn->busy && conn->out_sent < conn->out_bytes)
    {
      ssize_t n = send (conn->fd, conn->out + conn->out_sent,
                        conn->out_bytes - conn->out_sent, MSG_NOSIGNAL);
      if (n < 0)
        return errno == EAGAIN || errno == ENOTCONN;
      conn->sent = true;
      conn->out_sent += (size_t)n;
    }
  return true;
}

bool
load_conn_send (load_conn_t *conn, int epoll, const struct sockaddr_in *to)
{
  conn->in_bytes = 0;
  conn->out_sent = 0;
  conn->sent = false;
  if (conn->fd < 0 && !conn_open (conn, epoll, to))
    return false;
  conn->busy = true;
  if (conn_flush (conn))
    return true;
  load_conn_close (conn);
  return false;
}

/* Read all there is; false on the stream's end or an error.  */
static bool
conn_fill (load_conn_t *conn)
{
  for (;;)
    {
      if (conn->in_size - conn->in_bytes < READ_STEP_BYTES + 1)
        {
          conn->in_size = 2 * conn->in_size + 2 * READ_STEP_BYTES;
          conn->in = realloc (conn->in, conn->in_size);
          if (!conn->in)
            abort ();
        }
      ssize_t n
          = recv (conn->fd, conn->in + conn->in_bytes, READ_STEP_BYTES, 0);
      if (n < 0)
        return errno == EAGAIN;
      if (n == 0)
        return false;
      conn->in_bytes += (size_t)n;
      conn->in[conn->in_bytes] = '\0';
      if (n < READ_STEP_BYTES)
        return true;
    }
}

static void
header_copy (char *out, const char *value, const char *end)
{
  while (value < end && *value == ' ')
    value++;
  snprintf (out, LOAD_TEXT_BYTES, "%.*s", (int)(end - value), value);
}

/* Join the chunks at BODY in place; 1 whole, 0 not yet, -1 illegal.  */
static int
chunks_join (char *body, const char *end, size_t *length)
{
  const char *at = body;
  char *out = body;
  for (;;)
    {
      const char *line = memmem (at, (size_t)(end - at), "\r\n", 2);
      if (!line)
        return 0;
      char *stop;
      size_t size = strtoul (at, &stop, 16);
      if (stop == at)
        return -1;
      at = line + 2;
      if ((size_t)(end - at) < size + 2)
        return 0;
      if (size == 0)
        break;
      out += size;
      at += size + 2;
    }
  /* All is there: only now may the bytes move.  */
  out = body;
  for (at = body;;)
    {
      char *stop;
      size_t size = strtoul (at, &stop, 16);
      if (size == 0)
        break;
      at = strstr (stop, "\r\n") + 2;
      memmove (out, at, size);
      out += size;
      at += size + 2;
    }
  *length = (size_t)(out - body);
  return 1;
}

typedef struct framing
{
  size_t length;
  bool has_length;
  bool chunked;
} framing_t;

static void
header_line (load_answer_t *answer, framing_t *framing, const char *line,
             const char *end)
{
  char value[LOAD_TEXT_BYTES];
  const char *colon = memchr (line, ':', (size_t)(end - line));
  if (!colon)
    return;
  header_copy (value, colon + 1, end);
  if (strncasecmp (line, "Content-Length:", 15) == 0)
    {
      framing->has_length = true;
      framing->length = strtoul (value, NULL, 10);
    }
  else if (strncasecmp (line, "Transfer-Encoding:", 18) == 0)
    framing->chunked = strcasecmp (value, "chunked") == 0;
  else if (strncasecmp (line, "X-Request-Id:", 13) == 0)
    memcpy (answer->id, value, sizeof value);
  else if (strncasecmp (line, "X-Mulberry-Outcome:", 19) == 0)
    memcpy (answer->outcome, value, sizeof value);
  else if (strncasecmp (line, "X-Mulberry-Reason:", 18) == 0)
    memcpy (answer->reason, value, sizeof value);
  else if (strncasecmp (line, "Connection:", 11) == 0)
    answer->closes = strcasecmp (value, "close") == 0;
}

/* 1: ANSWER is whole; 0: not yet; -1: no legal message.  */
static int
answer_parse (load_conn_t *conn, load_answer_t *answer)
{
  char *head_end = memmem (conn->in, conn->in_bytes, "\r\n\r\n", 4);
  if (!head_end)
    return 0;
  memset (answer, 0, sizeof *answer);
  if (sscanf (conn->in, "HTTP/1.%*d %d", &answer->status) != 1)
    return -1;
  framing_t framing = { 0 };
  for (char *line = strstr (conn->in, "\r\n") + 2; line < head_end;)
    {
      char *end = strstr (line, "\r\n");
      header_line (answer, &framing, line, end);
      line = end + 2;
    }
  answer->body = head_end + 4;
  char *end = conn->in + conn->in_bytes;
  if (framing.chunked)
    return chunks_join (answer->body, end, &answer->body_bytes);
  if (!framing.has_length)
    return -1;
  answer->body_bytes = framing.length;
  return (size_t)(end - answer->body) >= framing.length;
}

load_result_t
load_conn_event (load_conn_t *conn, unsigned events, load_answer_t *answer)
{
  bool open = !(events & EPOLLERR) && conn_flush (conn);
  if (open && (events & (EPOLLIN | EPOLLHUP)))
    open = conn_fill (conn);
  int whole
      = conn->busy && conn->in_bytes > 0 ? answer_parse (conn, answer) : 0;
  if (whole > 0)
    {
      conn->busy = false;
      if (!open || answer->closes)
        {
          close (conn->fd);
          conn->fd = -1;
        }
      return LOAD_ANSWERED;
    }
  if (open && whole == 0)
    return LOAD_PENDING;
  load_conn_close (conn);
  return LOAD_BROKEN;
}
