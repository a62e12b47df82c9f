/* fake-caller: one caller, who sends requests one after the other on kept
   connections, and never sends a request twice.

     fake-caller SEED STOP_FILE ADDRESS:PORT...

   Goes on until STOP_FILE exists.  Each connection goes to one of the
   addresses and carries up to ten requests; it is left when an answer closes
   it, fails or takes too long.  Standard output has a line a request:
   "ID STATUS ANSWER_ID BODY", status 000 where no whole answer came; BODY is
   "whole", "part", or "unsure" where the answer ended with its connection. The
   paths are those that fake-platform or fake-raw-backend knows.  */

#include <arpa/inet.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "base/inet.h"
#include "base/random.h"

enum
{
  REQUESTS_OF_CONNECTION = 10,
  OBJECTS = 7,
  ANSWER_BYTES = 16 * 1024,
  RAW_BODY_BYTES = 900,     /* of fake-raw-backend */
  PLATFORM_BODY_BYTES = 32, /* of fake-platform, at most */
  TIMEOUT_SECONDS = 4,
  DEADLINE_MSEC = 3000,
  PAUSE_USEC = 50 * 1000, /* after a connection that could not be opened */
  EXIT_USAGE_ERROR = 2,
};

typedef struct answer
{
  int status; /* 0: no whole answer */
  char id[64];
  bool closes;
  const char *body; /* "whole", "part" or "unsure" */
} answer_t;

static int
connect_to (const inet_t *to)
{
  const struct timeval timeout = { .tv_sec = TIMEOUT_SECONDS };
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (to->port),
                                 .sin_addr.s_addr = htonl (to->address) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  usleep (PAUSE_USEC);
  return -1;
}

/* The value of header NAME in HEAD, copied into VALUE; "" where there is
   none.  */
static void
find_header (const char *head, const char *name, char *value, size_t size)
{
  size_t length = strlen (name);
  value[0] = '\0';
  for (const char *line = strstr (head, "\r\n"); line;
       line = strstr (line, "\r\n"))
    {
      line += 2;
      if (strncasecmp (line, name, length) != 0 || line[length] != ':')
        continue;
      const char *from = line + length + 1;
      from += strspn (from, " ");
      snprintf (value, size, "%.*s", (int)strcspn (from, "\r"), from);
      return;
    }
}

/* Whether BODY is the whole answer to ID, of either kind of backend server. */
static bool
is_whole_body (const char *body, size_t length, const char *id)
{
  if (length > 0 && length <= PLATFORM_BODY_BYTES)
    return body[length - 1] >= '0' && body[length - 1] <= '9';
  size_t id_bytes = strlen (id);
  if (length != RAW_BODY_BYTES || id_bytes == 0)
    return false;
  for (size_t i = 0; i < length; i++)
    if (body[i] != (i % 2 == 0 ? id[i / 2 % id_bytes] : (char)('a' + i % 26)))
      return false;
  return true;
}

/* Read an answer into TEXT until it is whole by its length, or its connection
   ends.  Returns its bytes, or 0 if it is not whole.  */
static size_t
read_text (int fd, char text[ANSWER_BYTES + 1], bool *has_length)
{
  char value[64];
  size_t n = 0;
  *has_length = false;
  for (;;)
    {
      text[n] = '\0';
      const char *end = strstr (text, "\r\n\r\n");
      if (end)
        {
          find_header (text, "Content-Length", value, sizeof value);
          *has_length = value[0] != '\0';
          size_t whole = (size_t)(end + 4 - text) + strtoul (value, NULL, 10);
          if (*has_length && n >= whole)
            return n;
        }
      ssize_t got
          = n < ANSWER_BYTES ? read (fd, text + n, ANSWER_BYTES - n) : -1;
      if (got == 0 && end && !*has_length)
        return n;
      if (got <= 0)
        return 0;
      n += (size_t)got;
    }
}

static void
read_answer (int fd, answer_t *answer)
{
  char text[ANSWER_BYTES + 1];
  char value[64];
  bool has_length;
  *answer = (answer_t){ .closes = true, .body = "part" };
  size_t n = read_text (fd, text, &has_length);
  if (n == 0)
    return;
  find_header (text, "Request-Id", answer->id, sizeof answer->id);
  find_header (text, "Connection", value, sizeof value);
  answer->closes = !has_length || strcasecmp (value, "close") == 0;
  answer->status = atoi (text + strlen ("HTTP/1.1 "));
  const char *body = strstr (text, "\r\n\r\n") + 4;
  if (!has_length)
    answer->body = "unsure";
  else if (is_whole_body (body, n - (size_t)(body - text), answer->id))
    answer->body = "whole";
}

/* What the backend server does with request N.  */
static const char *
path_end (unsigned int n)
{
  static const char *const ends[]
      = { "lost",  "close",       "close-early",   "length",
          "other", "reset-early", "length-early",  "chunks",
          "lost",  "length-list", "length-letter", "chunks-early",
          "other", "close-empty", "length-reset",  "" };
  return ends[n % (sizeof ends / sizeof ends[0])];
}

static void
ask (int fd, const char *id, unsigned int n, answer_t *answer)
{
  char text[1024];
  int length = snprintf (
      text, sizeof text,
      "POST /x/%u/%s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\n"
      "Deadline-Ms: %d\r\nCookie: Affinity-Key=%u\r\nContent-Length: 4\r\n"
      "\r\nbody",
      n, path_end (n), id, DEADLINE_MSEC, n % OBJECTS);
  *answer = (answer_t){ .closes = true, .body = "part" };
  if (send (fd, text, (size_t)length, MSG_NOSIGNAL) == length)
    read_answer (fd, answer);
}

int
main (int argc, char **argv)
{
  if (argc < 4)
    {
      fprintf (stderr, "usage: fake-caller SEED STOP_FILE ADDRESS:PORT...\n");
      return EXIT_USAGE_ERROR;
    }
  random_state_t random;
  random_seed (&random, strtoull (argv[1], NULL, 10));
  size_t n_addresses = (size_t)argc - 3;
  unsigned int n = 0;
  while (access (argv[2], F_OK) != 0)
    {
      inet_t to;
      const char *text = argv[3 + random_next (&random) % n_addresses];
      if (!inet_parse (&to, text))
        return EXIT_USAGE_ERROR;
      int fd = connect_to (&to);
      answer_t answer = { .closes = fd < 0 };
      for (int i = 0; i < REQUESTS_OF_CONNECTION && !answer.closes; i++)
        {
          char id[64];
          snprintf (id, sizeof id, "s%s-%u", argv[1], ++n);
          ask (fd, id, n, &answer);
          printf ("%s %03d %s %s\n", id, answer.status,
                  answer.id[0] ? answer.id : "-", answer.body);
          fflush (stdout);
        }
      if (fd >= 0)
        close (fd);
    }
  return 0;
}
