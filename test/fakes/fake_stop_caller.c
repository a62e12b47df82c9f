/* fake-stop-caller: callers who send requests at every moment of a planned
   stop, and never send one twice.

     fake-stop-caller ADDRESS:PORT SPAN_MSEC STEP_MSEC PREFIX

   All connections are opened at once; one of each kind then sends its request
   every STEP_MSEC, until SPAN_MSEC.  Kinds: see `kinds`.  Standard output has
   a line a request: "ID MSEC STATUS WHOLE", MSEC after the start
   when its last byte was sent, STATUS 000
   where no head came; WHOLE is 1 where all bytes of the answer came.  The
   paths are those that fake-platform knows.  */

#include <arpa/inet.h>
#include <pthread.h>
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

enum
{
  ANSWER_BYTES = 4 * 1024 * 1024,
  HEAD_BYTES = 8 * 1024,
  PIECE_BYTES = 64 * 1024,
  BODY_BYTES = 4,
  TIMEOUT_SECONDS = 12,
  BODY_PAUSE_USEC = 400 * 1000,
  READ_PAUSE_USEC = 10 * 1000,
  DEADLINE_MSEC = 20000,
  SHORT_DEADLINE_MSEC = 300,
  THREADS_MAX = 4096,
  STACK_BYTES = 256 * 1024,
};

typedef struct kind
{
  const char *name;
  const char *path;
  int deadline_msec;
  bool is_kept;      /* the connection carried a request before */
  bool is_pipelined; /* a second request follows at once */
  bool is_body_late; /* the body follows BODY_PAUSE_USEC after the head */
  bool reads_slowly;
} kind_t;

static const kind_t kinds[] = {
  { .name = "new", .deadline_msec = DEADLINE_MSEC },
  { .name = "short", .deadline_msec = SHORT_DEADLINE_MSEC },
  { .name = "kept", .deadline_msec = DEADLINE_MSEC, .is_kept = true },
  { .name = "piped", .deadline_msec = DEADLINE_MSEC, .is_pipelined = true },
  { .name = "late", .deadline_msec = DEADLINE_MSEC, .is_body_late = true },
  { .name = "slow", .path = "/x/slow", .deadline_msec = DEADLINE_MSEC },
  { .name = "long", .path = "/long/long", .deadline_msec = DEADLINE_MSEC },
  { .name = "large",
    .path = "/x/large",
    .deadline_msec = DEADLINE_MSEC,
    .reads_slowly = true },
};

enum
{
  N_KINDS = sizeof kinds / sizeof kinds[0],
};

typedef struct caller
{
  const kind_t *kind;
  int at_msec;
  pthread_t thread;
} caller_t;

static inet_t target;
static const char *prefix;
static struct timespec started;

static int
msec_since_start (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int)((now.tv_sec - started.tv_sec) * 1000
               + (now.tv_nsec - started.tv_nsec) / 1000000);
}

static int
connect_to_target (void)
{
  const struct timeval timeout = { .tv_sec = TIMEOUT_SECONDS };
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (target.port),
                                 .sin_addr.s_addr = htonl (target.address) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

typedef struct answer
{
  int status; /* 0: none */
  bool is_whole;
  bool closes; /* the connection */
} answer_t;

/* Read one answer; what follows it is left in the socket or dropped.  */
static void
read_answer (int fd, const kind_t *kind, answer_t *answer)
{
  static _Thread_local char text[HEAD_BYTES + 1];
  static _Thread_local char piece[PIECE_BYTES];
  size_t used = 0;
  const char *end = NULL;
  while (!end)
    {
      ssize_t n = recv (fd, text + used, HEAD_BYTES - used, 0);
      if (n <= 0)
        return;
      used += (size_t)n;
      text[used] = '\0';
      end = strstr (text, "\r\n\r\n");
    }
  answer->status = atoi (text + strlen ("HTTP/1.1 "));
  answer->closes = strcasestr (text, "\r\nConnection: close") != NULL;
  const char *length = strcasestr (text, "\r\nContent-Length:");
  size_t left = length ? strtoul (length + 17, NULL, 10) : 0;
  size_t have = used - (size_t)(end + 4 - text);
  left = left > have ? left - have : 0;
  while (left > 0)
    {
      if (kind->reads_slowly)
        usleep (READ_PAUSE_USEC);
      ssize_t n = recv (fd, piece, left < PIECE_BYTES ? left : PIECE_BYTES, 0);
      if (n <= 0)
        return;
      left -= (size_t)n;
    }
  answer->is_whole = true;
}

static int
write_head (char *text, size_t size, const kind_t *kind, const char *id,
            const char *path)
{
  return snprintf (text, size,
                   "POST %s HTTP/1.1\r\nHost: a.example\r\n"
                   "Request-Id: %s\r\nDeadline-Ms: %d\r\n"
                   "Content-Length: %d\r\n\r\n",
                   path ? path : "/x/1", id, kind->deadline_msec, BODY_BYTES);
}

/* Returns true if the connection can carry another request.  */
static bool
ask (int fd, const kind_t *kind, const char *id, const char *path)
{
  char text[1024];
  char second[128] = "";
  answer_t answer = { .closes = true };
  int n = write_head (text, sizeof text, kind, id, path);
  if (kind->is_body_late)
    {
      send (fd, text, (size_t)n, MSG_NOSIGNAL);
      usleep (BODY_PAUSE_USEC);
      n = 0;
    }
  n += snprintf (text + n, sizeof text - (size_t)n, "body");
  if (kind->is_pipelined)
    {
      snprintf (second, sizeof second, "%s-second", id);
      n += write_head (text + n, sizeof text - (size_t)n, kind, second, NULL);
      n += snprintf (text + n, sizeof text - (size_t)n, "body");
    }
  int sent_at = msec_since_start ();
  if (send (fd, text, (size_t)n, MSG_NOSIGNAL) == n)
    read_answer (fd, kind, &answer);
  printf ("%s %d %03d %d\n", id, sent_at, answer.status, answer.is_whole);
  return !answer.closes;
}

static void *
run (void *closure)
{
  const caller_t *caller = closure;
  const kind_t *kind = caller->kind;
  char id[96];
  int fd = kind->is_kept ? connect_to_target () : -1;
  if (fd >= 0)
    {
      snprintf (id, sizeof id, "%s-first-%d", prefix, caller->at_msec);
      if (!ask (fd, kind, id, NULL))
        {
          close (fd);
          fd = -1;
        }
    }
  int wait = caller->at_msec - msec_since_start ();
  if (wait > 0)
    usleep ((useconds_t)wait * 1000);
  if (fd < 0)
    fd = connect_to_target ();
  snprintf (id, sizeof id, "%s-%s-%d", prefix, kind->name, caller->at_msec);
  if (fd >= 0)
    ask (fd, kind, id, kind->path);
  close (fd);
  return NULL;
}

int
main (int argc, char **argv)
{
  if (argc != 5 || !inet_parse (&target, argv[1]))
    {
      fprintf (stderr, "usage: fake-stop-caller ADDRESS:PORT SPAN_MSEC "
                       "STEP_MSEC PREFIX\n");
      return 2;
    }
  int span = atoi (argv[2]);
  int step = atoi (argv[3]);
  prefix = argv[4];
  clock_gettime (CLOCK_MONOTONIC, &started);
  static caller_t callers[THREADS_MAX];
  size_t n = 0;
  pthread_attr_t attributes;
  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, STACK_BYTES);
  for (int at = 0; at < span; at += step)
    for (size_t i = 0; i < N_KINDS && n < THREADS_MAX; i++, n++)
      {
        callers[n] = (caller_t){ .kind = &kinds[i], .at_msec = at };
        if (pthread_create (&callers[n].thread, &attributes, run, &callers[n])
            != 0)
          return 1;
      }
  for (size_t i = 0; i < n; i++)
    pthread_join (callers[i].thread, NULL);
  return 0;
}
