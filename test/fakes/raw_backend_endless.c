#include "raw_backend.h"

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  ENDLESS_BYTES = 256 * 1024 * 1024, /* more than a small VM has */
  ENDLESS_MSEC = 3000,
  BEGIN_BYTES = 1024,
  WRITE_BYTES = 64 * 1024,
  STALL_BYTES = 60 * 1024, /* of a head that then neither goes on nor ends */
  MSEC_PER_SEC = 1000,
  NSEC_PER_MSEC = 1000 * 1000,
};

/* BEGIN, after the usual fields if HAS_FIELDS, and then PATTERN without end;
   if STALLS, only STALL_BYTES of it.  */
static const struct
{
  const char *name;
  const char *begin;
  const char *pattern;
  bool has_fields;
  bool stalls;
} endless[] = {
  { "endless-reason", "HTTP/1.1 200 ", "a", false, false },
  { "endless-field", "X-Long: ", "a", true, false },
  { "endless-name", "", "a", true, false },
  { "endless-fields", "", "X-Field: value\r\n", true, false },
  { "endless-folded", "X-Long: a\r\n", " a\r\n", true, false },
  { "endless-informational", "",
    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", false, false },
  { "endless-bytes", "", "\001\002\003\004", false, false },
  { "endless-lines", "", "this is no response\r\n", false, false },
  { "endless-body", "\r\n", "a", true, false },
  { "endless-other-body", "HTTP/1.1 200 OK\r\n\r\n", "a", false, false },
  { "endless-chunks", "Transfer-Encoding: chunked\r\n\r\n",
    "10\r\naaaaaaaaaaaaaaaa\r\n", true, false },
  { "endless-small-chunks", "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n",
    true, false },
  { "endless-size", "Transfer-Encoding: chunked\r\n\r\n", "0", true, false },
  { "endless-extension", "Transfer-Encoding: chunked\r\n\r\n1;", "a", true,
    false },
  { "endless-trailer", "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Sum: ", "a",
    true, false },
  { "endless-trailers", "Transfer-Encoding: chunked\r\n\r\n0\r\n",
    "X-Sum: 1\r\n", true, false },
  { "endless-length", "Content-Length: 9223372036854775807\r\n\r\n", "a", true,
    false },
  { "endless-after", "Content-Length: 2\r\n\r\nok", "a", true, false },
  { "endless-others", "",
    "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nX-Request-Id: other\r\n"
    "Content-Length: 2\r\n\r\nok",
    false, false },
  { "stalled-field", "X-Long: ", "a", true, true },
  { "stalled-fields", "", "X-Long-Field-Name-Of-A-Response: value\r\n", true,
    true },
};

enum
{
  N_ENDLESS = sizeof endless / sizeof endless[0],
};

static size_t
find (const char *name)
{
  size_t i = 0;
  while (i < N_ENDLESS && strcmp (name, endless[i].name) != 0)
    i++;
  return i;
}

bool
raw_backend_is_endless (const char *name)
{
  return find (name) < N_ENDLESS;
}

static long long
now_msec (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return (long long)now.tv_sec * MSEC_PER_SEC + now.tv_nsec / NSEC_PER_MSEC;
}

static bool
send_begin (int fd, size_t kind, const char *id, const char *instance)
{
  char begin[BEGIN_BYTES];
  int n = 0;
  if (endless[kind].has_fields)
    n = snprintf (begin, sizeof begin,
                  "HTTP/1.1 200 OK\r\nServer-Stamp: fake\r\nRequest-Id: %s\r\n"
                  "X-Request-Id: %s\r\nInstance-Id: %s\r\n",
                  id, id, instance);
  return raw_backend_write (fd, begin, (size_t)n)
         && raw_backend_write (fd, endless[kind].begin,
                               strlen (endless[kind].begin));
}

/* Wait until the peer closes, for ENDLESS_MSEC at most.  */
static void
await_close (int fd)
{
  struct pollfd end = { .fd = fd, .events = POLLRDHUP };
  poll (&end, 1, ENDLESS_MSEC);
}

size_t
raw_backend_send_endless (int fd, const char *name, const char *id,
                          const char *instance)
{
  size_t kind = find (name);
  const char *pattern = endless[kind].pattern;
  size_t length = strlen (pattern);
  size_t n_max = endless[kind].stalls ? STALL_BYTES : ENDLESS_BYTES;
  long long end = now_msec () + ENDLESS_MSEC;
  size_t n_sent = 0;
  if (!send_begin (fd, kind, id, instance))
    return 0;
  char *bytes = malloc (WRITE_BYTES);
  if (!bytes)
    abort ();
  size_t n_bytes = WRITE_BYTES / length * length;
  for (size_t i = 0; i < n_bytes; i++)
    bytes[i] = pattern[i % length];
  if (n_bytes > n_max)
    n_bytes = n_max / length * length;
  while (n_sent + n_bytes <= n_max && now_msec () < end
         && raw_backend_write (fd, bytes, n_bytes))
    n_sent += n_bytes;
  free (bytes);
  if (endless[kind].stalls)
    await_close (fd);
  return n_sent;
}
