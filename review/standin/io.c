#include "io.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum
{
  LINE_BYTES = 512,
  BACKLOG = 256,
  NSEC_PER_MSEC = 1000 * 1000,
};

int64_t
io_now (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * IO_MSEC_PER_SEC + now.tv_nsec / NSEC_PER_MSEC;
}

void
io_sleep (int64_t msec)
{
  if (msec <= 0)
    return;
  struct timespec span
      = { .tv_sec = msec / IO_MSEC_PER_SEC,
          .tv_nsec = (long)(msec % IO_MSEC_PER_SEC) * NSEC_PER_MSEC };
  nanosleep (&span, NULL);
}

void
io_record (const char *format, ...)
{
  const char *path = getenv ("RECORD");
  char line[LINE_BYTES];
  int used = snprintf (line, sizeof line, "%lld ", (long long)io_now ());
  va_list args;
  va_start (args, format);
  vsnprintf (line + used, sizeof line - (size_t)used - 1, format, args);
  va_end (args);
  size_t length = strlen (line);
  line[length++] = '\n';
  int fd = path ? open (path, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644)
                : -1;
  if (fd < 0)
    return;
  (void)!write (fd, line, length);
  close (fd);
}

bool
io_address_parse (io_address_t *address, const char *text)
{
  const char *colon = strchr (text, ':');
  if (!colon || (size_t)(colon - text) >= sizeof address->host)
    return false;
  memset (address, 0, sizeof *address);
  memcpy (address->host, text, (size_t)(colon - text));
  address->port = (int)strtol (colon + 1, NULL, 10);
  return address->port > 0;
}

static struct sockaddr_in
socket_address (const io_address_t *address)
{
  struct sockaddr_in at
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)address->port) };
  inet_pton (AF_INET, address->host, &at.sin_addr);
  return at;
}

int
io_listen (const io_address_t *address)
{
  int on = 1;
  struct sockaddr_in at = socket_address (address);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&at, sizeof at) == 0
      && listen (fd, BACKLOG) == 0)
    return fd;
  close (fd);
  return -1;
}

void
io_set_timeout (int fd, int64_t msec)
{
  struct timeval span
      = { .tv_sec = msec / IO_MSEC_PER_SEC,
          .tv_usec = (msec % IO_MSEC_PER_SEC) * IO_MSEC_PER_SEC };
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &span, sizeof span);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &span, sizeof span);
}

int
io_connect (const io_address_t *address, int receive_bytes)
{
  int on = 1;
  struct sockaddr_in at = socket_address (address);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  if (receive_bytes > 0)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                sizeof receive_bytes);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  io_set_timeout (fd, IO_MSEC_PER_SEC);
  if (connect (fd, (struct sockaddr *)&at, sizeof at) == 0)
    return fd;
  close (fd);
  return -1;
}

void
io_stream_init (io_stream_t *stream, int fd)
{
  stream->fd = fd;
  stream->start = 0;
  stream->end = 0;
}

/* Read more into the buffer.  False at the end, on error and if it is full. */
static bool
fill (io_stream_t *stream)
{
  if (stream->start > 0)
    {
      memmove (stream->buffer, stream->buffer + stream->start,
               stream->end - stream->start);
      stream->end -= stream->start;
      stream->start = 0;
    }
  if (stream->end == sizeof stream->buffer)
    return false;
  ssize_t n;
  do
    n = recv (stream->fd, stream->buffer + stream->end,
              sizeof stream->buffer - stream->end, 0);
  while (n < 0 && errno == EINTR);
  if (n <= 0)
    return false;
  stream->end += (size_t)n;
  return true;
}

/* The length of the head in the buffer, with its empty line; 0 if it is not
   complete.  */
static size_t
head_bytes (const io_stream_t *stream)
{
  for (size_t at = stream->start; at + 4 <= stream->end; at++)
    if (memcmp (stream->buffer + at, "\r\n\r\n", 4) == 0)
      return at + 4 - stream->start;
  return 0;
}

bool
io_read_head (io_stream_t *stream, io_head_t *head)
{
  size_t length;
  while ((length = head_bytes (stream)) == 0)
    if (!fill (stream))
      return false;
  size_t used = 0;
  for (size_t i = 0; i < length - 2; i++)
    {
      char c = stream->buffer[stream->start + i];
      if (c != '\r')
        head->text[used++] = c == '\n' ? '\0' : c;
    }
  head->text[used] = '\0';
  stream->start += length;
  char value[IO_VALUE_BYTES];
  io_header (head, "Content-Length", value);
  head->body_bytes = strtoll (value, NULL, 10);
  io_header (head, "Transfer-Encoding", value);
  head->is_chunked = strcasecmp (value, "chunked") == 0;
  return true;
}

void
io_header (const io_head_t *head, const char *name, char value[IO_VALUE_BYTES])
{
  size_t length = strlen (name);
  value[0] = '\0';
  for (const char *line = head->text; *line; line += strlen (line) + 1)
    if (strncasecmp (line, name, length) == 0 && line[length] == ':')
      {
        const char *text = line + length + 1;
        text += strspn (text, " ");
        snprintf (value, IO_VALUE_BYTES, "%s", text);
        return;
      }
}

long
io_read (io_stream_t *stream, char *bytes, size_t length)
{
  size_t buffered = stream->end - stream->start;
  if (buffered == 0)
    {
      ssize_t n;
      do
        n = recv (stream->fd, bytes, length, 0);
      while (n < 0 && errno == EINTR);
      return n;
    }
  if (length > buffered)
    length = buffered;
  memcpy (bytes, stream->buffer + stream->start, length);
  stream->start += length;
  return (long)length;
}

bool
io_skip_body (io_stream_t *stream, const io_head_t *head)
{
  char bytes[4096];
  long long left = head->body_bytes;
  while (left > 0)
    {
      size_t part
          = left < (long long)sizeof bytes ? (size_t)left : sizeof bytes;
      long n = io_read (stream, bytes, part);
      if (n <= 0)
        return false;
      left -= n;
    }
  return !head->is_chunked;
}

bool
io_write (int fd, const char *bytes, size_t length)
{
  while (length > 0)
    {
      ssize_t n = send (fd, bytes, length, MSG_NOSIGNAL);
      if (n < 0 && errno == EINTR)
        continue;
      if (n <= 0)
        return false;
      bytes += n;
      length -= (size_t)n;
    }
  return true;
}

void
io_thread (void *(*run) (void *closure), void *closure)
{
  pthread_t thread;
  if (pthread_create (&thread, NULL, run, closure) != 0)
    abort ();
  pthread_detach (thread);
}
