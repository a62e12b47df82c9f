/* fake-caller: one caller, who sends requests on kept connections, one after
   the other or a few at once, and never sends a request twice.

     fake-caller [--ends NAME,...] [--deadline MSEC] [--again MSEC] SEED
                 STOP_FILE ADDRESS:PORT...

   Goes on until STOP_FILE exists.  Each connection goes to one of the
   addresses and carries up to ten requests; it is left when an answer closes
   it, fails or takes too long.  On each second connection they are sent by
   threes.  Two thirds are POST of paths that begin with /x/ and may run once,
   the others GET of paths that begin with /p/, their ids with "g".  Each bears
   the key "soak-key-N", N from 0 to 3 by SEED, and names another account.
   Standard output has a line a request: "ID STATUS ANSWER_ID BODY FROM TO",
   status 000 where no whole answer came; BODY is "whole", "part", or "unsure"
   where the answer ended with its connection; the times are Unix msec, from
   before it was sent until it was answered.  With --again a request that was
   sent alone and told not to have run is sent again after so long, with the
   same id, TRIES_MAX times in all, each with a line.  Paths that end in
   "-copied" or "-copied-N" begin with /q/, and are POST. The paths are those
   that fake-platform or fake-raw-backend knows, or the NAMEs in turn.  */

#include <arpa/inet.h>
#include <getopt.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include "base/inet.h"
#include "base/random.h"

enum
{
  REQUESTS_OF_CONNECTION = 10,
  OBJECTS = 7,
  ACCOUNTS = 4,
  PIPELINED = 3, /* requests sent at once */
  STATUS_QUOTA = 429,
  QUOTA_PAUSE_USEC = 10 * 1000, /* less than it is told: it presses */
  ANSWER_BYTES = 16 * 1024,
  RAW_BODY_BYTES = 900,     /* of fake-raw-backend */
  PLATFORM_BODY_BYTES = 32, /* of fake-platform, at most */
  TIMEOUT_SECONDS = 4,
  DEADLINE_MSEC = 3000,
  PAUSE_USEC = 50 * 1000, /* after a connection that could not be opened */
  EXIT_USAGE_ERROR = 2,
  ENDS_MAX = 32,
  TRIES_MAX = 3, /* of a request, with --again */
  MSEC_PER_SEC = 1000,
  USEC_PER_MSEC = 1000,
  NSEC_PER_MSEC = 1000 * 1000,
};

static struct
{
  unsigned int deadline_msec;
  unsigned int again_msec; /* 0: no request is sent again */
  size_t n_ends;           /* 0: those of `path_end` */
  const char *ends[ENDS_MAX];
} options = { .deadline_msec = DEADLINE_MSEC };

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

/* The value of header NAME in the head that TEXT begins with, copied into
   VALUE; "" where there is none.  */
static void
find_header (const char *text, const char *name, char *value, size_t size)
{
  size_t length = strlen (name);
  value[0] = '\0';
  for (const char *line = strstr (text, "\r\n"); line;
       line = strstr (line, "\r\n"))
    {
      line += 2;
      if (strncmp (line, "\r\n", 2) == 0)
        return;
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

/* A connection, and what was read of it and belongs to no answer yet.  */
typedef struct stream
{
  int fd;
  size_t n;
  char text[ANSWER_BYTES + 1];
} stream_t;

/* Read an answer to the begin of the stream's text, until it is whole by its
   length, or its connection ends.  Returns its bytes, or 0 if it is not
   whole.  */
static size_t
read_text (stream_t *stream, bool *has_length)
{
  char value[64];
  char *text = stream->text;
  *has_length = false;
  for (;;)
    {
      text[stream->n] = '\0';
      const char *end = strstr (text, "\r\n\r\n");
      if (end)
        {
          find_header (text, "Content-Length", value, sizeof value);
          *has_length = value[0] != '\0';
          size_t whole = (size_t)(end + 4 - text) + strtoul (value, NULL, 10);
          if (*has_length && stream->n >= whole)
            return whole;
        }
      ssize_t got
          = stream->n < ANSWER_BYTES
                ? read (stream->fd, text + stream->n, ANSWER_BYTES - stream->n)
                : -1;
      if (got == 0 && end && !*has_length)
        return stream->n;
      if (got <= 0)
        return 0;
      stream->n += (size_t)got;
    }
}

static void
read_answer (stream_t *stream, answer_t *answer)
{
  const char *text = stream->text;
  char value[64];
  bool has_length;
  *answer = (answer_t){ .closes = true, .body = "part" };
  size_t n = read_text (stream, &has_length);
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
  stream->n -= n;
  memmove (stream->text, stream->text + n, stream->n);
}

/* What the backend server does with request N.  */
static const char *
path_end (unsigned int n)
{
  static const char *const ends[] = { "lost",
                                      "close",
                                      "close-early",
                                      "length",
                                      "other",
                                      "reset-early",
                                      "length-early",
                                      "chunks",
                                      "lost",
                                      "length-list",
                                      "length-letter",
                                      "chunks-early",
                                      "other",
                                      "close-empty",
                                      "length-reset",
                                      "",
                                      "ran-503",
                                      "ran-429",
                                      "ran-408",
                                      "ran-421",
                                      "ran-200-stated",
                                      "ran-500-stated",
                                      "status-000",
                                      "status-999",
                                      "length",
                                      "refused-copied-60",
                                      "refused-copied-30" };
  if (options.n_ends > 0)
    return options.ends[n % options.n_ends];
  return ends[n % (sizeof ends / sizeof ends[0])];
}

/* Whether the backend server refuses request N, and writes that twice.  */
static bool
is_copied (unsigned int n)
{
  return strstr (path_end (n), "-copied") != NULL;
}

static bool
is_idempotent (unsigned int n)
{
  return n % 3 == 0 && !is_copied (n);
}

static char
first_letter (unsigned int n)
{
  if (is_copied (n))
    return 'q';
  return is_idempotent (n) ? 'p' : 'x';
}

static void
make_id (char id[64], const char *seed, unsigned int n)
{
  snprintf (id, 64, "%c%s-%u", is_idempotent (n) ? 'g' : 's', seed, n);
}

static bool
send_request (const stream_t *stream, const char *seed, unsigned int n)
{
  char text[1024];
  char id[64];
  bool is_get = is_idempotent (n);
  make_id (id, seed, n);
  int length = snprintf (
      text, sizeof text,
      "%s /%c/%u/%s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\n"
      "Deadline-Ms: %u\r\nCookie: Affinity-Key=%u\r\n"
      "Authorization: Token soak-key-%u\r\nTenant: forged\r\n%s",
      is_get ? "GET" : "POST", first_letter (n), n, path_end (n), id,
      options.deadline_msec, n % OBJECTS,
      (unsigned int)(strtoul (seed, NULL, 10) % ACCOUNTS),
      is_get ? "\r\n" : "Content-Length: 4\r\n\r\nbody");
  return send (stream->fd, text, (size_t)length, MSG_NOSIGNAL) == length;
}

static long long
now_msec (void)
{
  struct timespec now;
  clock_gettime (CLOCK_REALTIME, &now);
  return (long long)now.tv_sec * MSEC_PER_SEC + now.tv_nsec / NSEC_PER_MSEC;
}

/* Whether ANSWER promises that its request has not run and never will.  */
static bool
promises_not_run (const answer_t *answer)
{
  return answer->status == 408 || answer->status == 421
         || answer->status == 429 || answer->status == 503;
}

/* Send the N_SENT requests from number N on, and print what came of each;
 *LAST is the last answer.  Returns false if the connection is to be left. */
static bool
try_once (stream_t *stream, const char *seed, unsigned int n,
          unsigned int n_sent, answer_t *last)
{
  answer_t answer = { .closes = false };
  bool is_sent[PIPELINED] = { false };
  long long from = now_msec ();
  for (unsigned int i = 0; i < n_sent; i++)
    is_sent[i] = send_request (stream, seed, n + i);
  for (unsigned int i = 0; i < n_sent; i++)
    {
      char id[64];
      bool was_closed = answer.closes;
      answer = (answer_t){ .closes = true, .body = "part" };
      if (!was_closed && is_sent[i])
        read_answer (stream, &answer);
      make_id (id, seed, n + i);
      printf ("%s %03d %s %s %lld %lld\n", id, answer.status,
              answer.id[0] ? answer.id : "-", answer.body, from, now_msec ());
    }
  fflush (stdout);
  *last = answer;
  if (answer.status == STATUS_QUOTA)
    usleep (QUOTA_PAUSE_USEC);
  return !answer.closes;
}

/* The same; one that was sent alone comes again as --again has it.  */
static bool
ask (stream_t *stream, const char *seed, unsigned int n, unsigned int n_sent)
{
  answer_t answer;
  bool goes_on = try_once (stream, seed, n, n_sent, &answer);
  for (int tries = 1; goes_on && options.again_msec > 0 && n_sent == 1
                      && tries < TRIES_MAX && promises_not_run (&answer);
       tries++)
    {
      usleep (options.again_msec * USEC_PER_MSEC);
      goes_on = try_once (stream, seed, n, n_sent, &answer);
    }
  return goes_on;
}

/* Send up to REQUESTS_OF_CONNECTION requests on STREAM, N_SENT at once, after
   number N.  Returns the last number.  */
static unsigned int
use_connection (stream_t *stream, const char *seed, unsigned int n,
                unsigned int n_sent)
{
  bool goes_on = true;
  for (unsigned int i = 0; i < REQUESTS_OF_CONNECTION && goes_on; i += n_sent)
    {
      goes_on = ask (stream, seed, n + 1, n_sent);
      n += n_sent;
    }
  return n;
}

static void
set_ends (char *names)
{
  char *rest = names;
  char *name;
  while (options.n_ends < ENDS_MAX && (name = strsep (&rest, ",")))
    options.ends[options.n_ends++] = name;
}

static bool
read_options (int argc, char **argv)
{
  static const struct option known[]
      = { { "ends", required_argument, NULL, 'e' },
          { "deadline", required_argument, NULL, 'd' },
          { "again", required_argument, NULL, 'a' },
          { 0 } };
  int option;
  while ((option = getopt_long (argc, argv, "+", known, NULL)) != -1)
    {
      if (option == 'e')
        set_ends (optarg);
      else if (option == 'd')
        options.deadline_msec = (unsigned int)strtoul (optarg, NULL, 10);
      else if (option == 'a')
        options.again_msec = (unsigned int)strtoul (optarg, NULL, 10);
      else
        return false;
    }
  return argc - optind >= 3;
}

int
main (int argc, char **argv)
{
  if (!read_options (argc, argv))
    {
      fprintf (stderr, "usage: fake-caller [--ends NAME,...] [--deadline MSEC]"
                       " [--again MSEC] SEED STOP_FILE ADDRESS:PORT...\n");
      return EXIT_USAGE_ERROR;
    }
  argc -= optind - 1;
  argv += optind - 1;
  random_state_t random;
  random_seed (&random, strtoull (argv[1], NULL, 10));
  size_t n_addresses = (size_t)argc - 3;
  unsigned int n = 0;
  for (unsigned int i = 0; access (argv[2], F_OK) != 0; i++)
    {
      inet_t to;
      stream_t stream = { 0 };
      const char *text = argv[3 + random_next (&random) % n_addresses];
      if (!inet_parse (&to, text))
        return EXIT_USAGE_ERROR;
      stream.fd = connect_to (&to);
      if (stream.fd < 0)
        continue;
      n = use_connection (&stream, argv[1], n, i % 2 == 0 ? 1 : PIPELINED);
      close (stream.fd);
    }
  return 0;
}
