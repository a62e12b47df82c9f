/* fake-relay: a TCP relay that can lose, delay and cut what passes.

   A control file holds one word and numbers a line, and is read again every
   20 ms:

     pass          all goes through
     cut           connections are reset, new ones too
     drop          both directions are swallowed without a word
     drop-to       only what goes to the target is swallowed
     drop-from     only what comes from the target is swallowed
                   (a stream has no gaps: connections that have lost bytes
                   are reset when they would pass again)
     silence N     connections open now are swallowed for good, new ones pass;
                   again for each new N
     delay MS      each direction is late by MS
     lose ADDRESS  connections from there are reset, new ones too
     mute ADDRESS  they are swallowed both ways

   A second file of the same form is read besides.  */

#include <argp.h>
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/list.h"

enum
{
  ROUTES_MAX = 64,
  CHUNK_BYTES = 16 * 1024,
  QUEUE_MAX = 64, /* chunks under way in one direction */
  EVENTS_MAX = 64,
  POLL_MSEC = 20,
  DELAY_POLL_MSEC = 1,
  EXIT_USAGE_ERROR = 2,
  CALLERS_MAX = 8, /* that are lost or muted */
};

typedef struct route
{
  int listener;
  struct sockaddr_in from;
  struct sockaddr_in to;
} route_t;

typedef struct chunk
{
  list_t link;
  usec_t due;
  size_t bytes; /* 0: the end of the stream */
  size_t sent;
  char data[];
} chunk_t;

/* One direction of a connection.  */
typedef struct pipe_end
{
  int fd; /* to read */
  struct pipe_end *peer;
  struct pair *pair;
  list_t queue; /* read from fd, to be written to the peer's */
  size_t n_queued;
  bool ended;
  bool has_lost; /* bytes or the end of its stream */
  bool to_target;
} pipe_end_t;

typedef struct pair
{
  list_t link;
  pipe_end_t ends[2];
  uint32_t from; /* address, network order */
  bool silent;
  bool broken;
} pair_t;

typedef struct callers
{
  size_t n;
  uint32_t addresses[CALLERS_MAX]; /* network order */
} callers_t;

typedef struct condition
{
  bool cut;
  bool drop_to;
  bool drop_from;
  long silence;
  usec_t delay;
  callers_t lost;
  callers_t muted;
} condition_t;

static struct
{
  route_t routes[ROUTES_MAX];
  size_t n_routes;
  const char *control;
  const char *cuts;
  condition_t condition;
  int epoll;
  list_t pairs;
} relay;

static bool
has_caller (const callers_t *callers, uint32_t address)
{
  for (size_t i = 0; i < callers->n; i++)
    if (callers->addresses[i] == address)
      return true;
  return false;
}

static void
add_caller (callers_t *callers, FILE *file)
{
  char text[INET_ADDRSTRLEN];
  if (fscanf (file, "%15s", text) == 1 && callers->n < CALLERS_MAX)
    callers->addresses[callers->n++] = inet_addr (text);
}

/* Add what the file at PATH says to NEXT.  Returns false if there is none.  */
static bool
read_conditions (const char *path, condition_t *out)
{
  FILE *file = path ? fopen (path, "re") : NULL;
  if (!file)
    return false;
  condition_t next = *out;
  char word[32];
  while (fscanf (file, "%31s", word) == 1)
    {
      long number = 0;
      if (strcmp (word, "cut") == 0)
        next.cut = true;
      else if (strcmp (word, "drop") == 0)
        next.drop_to = next.drop_from = true;
      else if (strcmp (word, "drop-to") == 0)
        next.drop_to = true;
      else if (strcmp (word, "drop-from") == 0)
        next.drop_from = true;
      else if (strcmp (word, "silence") == 0
               && fscanf (file, "%ld", &number) == 1)
        next.silence = number;
      else if (strcmp (word, "delay") == 0
               && fscanf (file, "%ld", &number) == 1)
        next.delay = number * USEC_PER_MSEC;
      else if (strcmp (word, "lose") == 0)
        add_caller (&next.lost, file);
      else if (strcmp (word, "mute") == 0)
        add_caller (&next.muted, file);
    }
  fclose (file);
  *out = next;
  return true;
}

static void
control_read (void)
{
  condition_t next = { .silence = relay.condition.silence };
  if (!read_conditions (relay.control, &next))
    return;
  read_conditions (relay.cuts, &next);
  if (next.silence != relay.condition.silence)
    LIST_FOREACH (link, &relay.pairs)
  LIST_ENTRY (link, pair_t, link)->silent = true;
  relay.condition = next;
}

/* RESETS: the peers are told by a reset.  */
static void
pair_close (pair_t *pair, bool resets)
{
  const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
  for (int i = 0; i < 2; i++)
    {
      pipe_end_t *end = &pair->ends[i];
      if (resets)
        setsockopt (end->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      close (end->fd);
      LIST_FOREACH (link, &end->queue)
      free (LIST_ENTRY (link, chunk_t, link));
    }
  list_remove (&pair->link);
  free (pair);
}

static void
end_open (pair_t *pair, int index, int fd)
{
  pipe_end_t *end = &pair->ends[index];
  *end = (pipe_end_t){ .fd = fd,
                       .peer = &pair->ends[1 - index],
                       .pair = pair,
                       .to_target = index == 0 };
  list_init (&end->queue);
  int on = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  struct epoll_event event
      = { .events = EPOLLIN | EPOLLOUT | EPOLLET, .data.ptr = end };
  epoll_ctl (relay.epoll, EPOLL_CTL_ADD, fd, &event);
}

static void
route_accept (route_t *route)
{
  struct sockaddr_in caller = { 0 };
  socklen_t length = sizeof caller;
  int from = accept4 (route->listener, (struct sockaddr *)&caller, &length,
                      SOCK_NONBLOCK);
  if (from < 0)
    return;
  int to = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  uint32_t address = caller.sin_addr.s_addr;
  if (relay.condition.cut || has_caller (&relay.condition.lost, address)
      || (connect (to, (struct sockaddr *)&route->to, sizeof route->to) < 0
          && errno != EINPROGRESS))
    {
      close (from);
      close (to);
      return;
    }
  pair_t *pair = calloc (1, sizeof *pair);
  if (!pair)
    abort ();
  pair->from = address;
  list_push_back (&relay.pairs, &pair->link);
  end_open (pair, 0, from);
  end_open (pair, 1, to);
}

static bool
is_swallowed (const pipe_end_t *end)
{
  return end->pair->silent
         || has_caller (&relay.condition.muted, end->pair->from)
         || (end->to_target ? relay.condition.drop_to
                            : relay.condition.drop_from);
}

/* Whether the next bytes would come behind a gap.  */
static bool
has_gap (const pair_t *pair)
{
  for (int i = 0; i < 2; i++)
    if (pair->ends[i].has_lost && !is_swallowed (&pair->ends[i]))
      return true;
  return false;
}

static void
end_read (pipe_end_t *end)
{
  while (!end->ended && end->n_queued < QUEUE_MAX)
    {
      chunk_t *chunk = malloc (sizeof *chunk + CHUNK_BYTES);
      if (!chunk)
        abort ();
      ssize_t n = recv (end->fd, chunk->data, CHUNK_BYTES, 0);
      if (n < 0 && (errno == EAGAIN || errno == ENOTCONN))
        {
          free (chunk);
          return;
        }
      end->ended = n <= 0;
      if (is_swallowed (end))
        {
          end->has_lost = true;
          free (chunk);
          continue;
        }
      chunk->bytes = n > 0 ? (size_t)n : 0;
      chunk->sent = 0;
      chunk->due = clock_monotonic () + relay.condition.delay;
      list_push_back (&end->queue, &chunk->link);
      end->n_queued++;
    }
}

/* Write one chunk: 1 done, 0 not yet, -1 the other side is gone.  */
static int
chunk_write (const pipe_end_t *end, chunk_t *chunk)
{
  if (chunk->bytes == 0)
    shutdown (end->peer->fd, SHUT_WR);
  while (chunk->sent < chunk->bytes)
    {
      ssize_t n = send (end->peer->fd, chunk->data + chunk->sent,
                        chunk->bytes - chunk->sent, MSG_NOSIGNAL);
      if (n < 0)
        return errno == EAGAIN || errno == ENOTCONN ? 0 : -1;
      chunk->sent += (size_t)n;
    }
  return 1;
}

/* Write what is due; false where the other side is gone.  */
static bool
end_write (pipe_end_t *end, usec_t now)
{
  LIST_FOREACH (link, &end->queue)
  {
    chunk_t *chunk = LIST_ENTRY (link, chunk_t, link);
    int written = chunk->due > now ? 0 : chunk_write (end, chunk);
    if (written <= 0)
      return written == 0;
    list_remove (link);
    end->n_queued--;
    free (chunk);
  }
  return true;
}

static void
pump_all (void)
{
  usec_t now = clock_monotonic ();
  LIST_FOREACH (link, &relay.pairs)
  {
    pair_t *pair = LIST_ENTRY (link, pair_t, link);
    bool is_cut = relay.condition.cut
                  || has_caller (&relay.condition.lost, pair->from);
    bool open = !is_cut && !has_gap (pair);
    for (int i = 0; i < 2 && open; i++)
      {
        end_read (&pair->ends[i]);
        open = end_write (&pair->ends[i], now);
      }
    bool over = pair->ends[0].ended && pair->ends[1].ended
                && list_empty (&pair->ends[0].queue)
                && list_empty (&pair->ends[1].queue);
    if (!open || over)
      pair_close (pair, is_cut || has_gap (pair));
  }
}

static bool
is_route (const void *pointer)
{
  const route_t *route = pointer;
  return route >= relay.routes && route < relay.routes + ROUTES_MAX;
}

static void
serve (int signals)
{
  usec_t read_at = 0;
  for (;;)
    {
      struct epoll_event events[EVENTS_MAX];
      int wait = relay.condition.delay ? DELAY_POLL_MSEC : POLL_MSEC;
      int n = epoll_wait (relay.epoll, events, EVENTS_MAX, wait);
      for (int i = 0; i < n; i++)
        {
          struct signalfd_siginfo info;
          if (events[i].data.ptr == &relay.epoll
              && read (signals, &info, sizeof info) > 0)
            return;
          if (is_route (events[i].data.ptr))
            route_accept (events[i].data.ptr);
        }
      usec_t now = clock_monotonic ();
      if (now - read_at >= POLL_MSEC * USEC_PER_MSEC)
        {
          read_at = now;
          control_read ();
        }
      pump_all ();
    }
}

static bool
parse_address (char *text, struct sockaddr_in *address)
{
  char *colon = strchr (text, ':');
  if (!colon)
    return false;
  *colon = '\0';
  address->sin_family = AF_INET;
  address->sin_port = htons ((uint16_t)strtoul (colon + 1, NULL, 10));
  return inet_pton (AF_INET, text, &address->sin_addr) == 1;
}

static void
parse_route (char *text, struct argp_state *state)
{
  char *comma = strchr (text, ',');
  if (relay.n_routes == ROUTES_MAX || !comma)
    {
      argp_error (state, "--route is IP:PORT,IP:PORT, at most %d of them",
                  ROUTES_MAX);
      return;
    }
  *comma = '\0';
  route_t *route = &relay.routes[relay.n_routes++];
  if (!parse_address (text, &route->from)
      || !parse_address (comma + 1, &route->to))
    argp_error (state, "--route is IP:PORT,IP:PORT");
}

static error_t
parse_option (int key, char *text, struct argp_state *state)
{
  switch (key)
    {
    case 'r':
      parse_route (text, state);
      return 0;
    case 'c':
      relay.control = text;
      return 0;
    case 'u':
      relay.cuts = text;
      return 0;
    case ARGP_KEY_END:
      if (relay.n_routes == 0)
        argp_error (state, "give at least one --route");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static void
route_listen (route_t *route)
{
  int on = 1;
  route->listener
      = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  setsockopt (route->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (route->listener, (struct sockaddr *)&route->from,
            sizeof route->from)
          < 0
      || listen (route->listener, SOMAXCONN) < 0)
    {
      perror ("fake-relay: can't listen");
      exit (EXIT_USAGE_ERROR);
    }
  struct epoll_event event = { .events = EPOLLIN, .data.ptr = route };
  epoll_ctl (relay.epoll, EPOLL_CTL_ADD, route->listener, &event);
}

static const struct argp_option options[] = {
  { "route", 'r', "IP:PORT,IP:PORT", 0,
    "Listen on the first, pass on to the second (repeated)" },
  { "control", 'c', "FILE", 0, "What to do, read again every 20 ms" },
  { "cuts", 'u', "FILE", 0, "The same, besides" },
  { 0 },
};

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { options, parse_option, NULL,
          "A TCP relay that can lose, delay and cut what passes.\v"
          "Words of the control file: pass, cut, drop, drop-to, drop-from, "
          "silence N, delay MS, lose ADDRESS, mute ADDRESS." };
  argp_parse (&argp, argc, argv, 0, NULL, NULL);
  list_init (&relay.pairs);
  relay.epoll = epoll_create1 (EPOLL_CLOEXEC);
  sigset_t set;
  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  sigprocmask (SIG_BLOCK, &set, NULL);
  int signals = signalfd (-1, &set, SFD_CLOEXEC);
  struct epoll_event event = { .events = EPOLLIN, .data.ptr = &relay.epoll };
  epoll_ctl (relay.epoll, EPOLL_CTL_ADD, signals, &event);
  for (size_t i = 0; i < relay.n_routes; i++)
    route_listen (&relay.routes[i]);
  printf ("ready routes=%zu\n", relay.n_routes);
  fflush (stdout);
  serve (signals);
  return EXIT_SUCCESS;
}
