#include "net.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

enum
{
  MSEC_PER_SEC = 1000,
  USEC_PER_MSEC = 1000,
  NSEC_PER_MSEC = 1000 * 1000,
  BACKLOG = 128,
  LINE_BYTES = 1024,
};

long long
net_msec (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return (long long)now.tv_sec * MSEC_PER_SEC + now.tv_nsec / NSEC_PER_MSEC;
}

void
net_sleep (long long msec)
{
  struct timespec span = { .tv_sec = msec / MSEC_PER_SEC,
                           .tv_nsec = msec % MSEC_PER_SEC * NSEC_PER_MSEC };
  while (nanosleep (&span, &span) != 0 && errno == EINTR)
    ;
}

static bool
parse_address (const char *text, struct sockaddr_in *address)
{
  char host[INET_ADDRSTRLEN] = "";
  unsigned int port = 0;
  *address = (struct sockaddr_in){ .sin_family = AF_INET };
  if (sscanf (text, "%15[0-9.]:%u", host, &port) != 2)
    return false;
  address->sin_port = htons ((uint16_t)port);
  return inet_pton (AF_INET, host, &address->sin_addr) == 1;
}

int
net_listen (const char *address, unsigned int port)
{
  const int on = 1;
  struct sockaddr_in at
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd >= 0 && inet_pton (AF_INET, address, &at.sin_addr) == 1
      && setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) == 0
      && bind (fd, (struct sockaddr *)&at, sizeof at) == 0
      && listen (fd, BACKLOG) == 0)
    return fd;
  perror (address);
  exit (EXIT_FAILURE);
}

int
net_connect (const char *address, int receive_bytes, int timeout_msec)
{
  struct sockaddr_in to;
  const struct timeval timeout
      = { .tv_sec = timeout_msec / MSEC_PER_SEC,
          .tv_usec = timeout_msec % MSEC_PER_SEC * USEC_PER_MSEC };
  if (!parse_address (address, &to))
    return -1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  if (receive_bytes > 0)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                sizeof receive_bytes);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  if (connect (fd, (struct sockaddr *)&to, sizeof to) == 0)
    return fd;
  close (fd);
  return -1;
}

bool
net_write (int fd, const void *bytes, size_t length)
{
  const char *at = bytes;
  while (length > 0)
    {
      ssize_t n = send (fd, at, length, MSG_NOSIGNAL);
      if (n < 0 && errno == EINTR)
        continue;
      if (n <= 0)
        return false;
      at += n;
      length -= (size_t)n;
    }
  return true;
}

bool
net_read_head (int fd, net_head_t *head)
{
  head->n_bytes = 0;
  head->text[0] = '\0';
  for (;;)
    {
      const char *end = strstr (head->text, "\r\n\r\n");
      if (end)
        {
          head->n_head = (size_t)(end - head->text) + 4;
          return true;
        }
      ssize_t n = recv (fd, head->text + head->n_bytes,
                        NET_HEAD_BYTES - head->n_bytes, 0);
      if (n <= 0)
        return false;
      head->n_bytes += (size_t)n;
      head->text[head->n_bytes] = '\0';
    }
}

void
net_field (const char *text, const char *name, char value[NET_FIELD_BYTES])
{
  size_t length = strlen (name);
  const char *end = strstr (text, "\r\n\r\n");
  value[0] = '\0';
  for (const char *line = strstr (text, "\r\n"); line && line != end;
       line = strstr (line, "\r\n"))
    {
      line += 2;
      if (strncasecmp (line, name, length) != 0 || line[length] != ':')
        continue;
      sscanf (line + length + 1, " %255[^\r]", value);
      return;
    }
}

void
net_fill (char *body, size_t length, size_t first, const char *id)
{
  size_t n = strlen (id);
  for (size_t i = 0; i < length; i++)
    {
      size_t at = first + i;
      body[i] = (char)(n > 0 && at % 2 == 0 ? id[at / 2 % n]
                                            : 'a' + (int)(at % 26));
    }
}

void
net_record (const char *path, const char *format, ...)
{
  char line[LINE_BYTES];
  va_list args;
  va_start (args, format);
  int n = vsnprintf (line, sizeof line - 1, format, args);
  va_end (args);
  if (n < 0)
    return;
  size_t length = (size_t)n < sizeof line - 1 ? (size_t)n : sizeof line - 2;
  line[length++] = '\n';
  int fd = open (path, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
  if (fd < 0)
    return;
  if (write (fd, line, length) < 0)
    perror (path);
  close (fd);
}
