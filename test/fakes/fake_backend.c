/* fake-backend: plays backend servers for tests and measurements, many in
   one process and one thread.

   A request may direct its own answer by query arguments: caller=ID and
   bytes=N make the body (fake_answer.h); us=N sets the service time; and
   poison=1, hangup=1, silent=1, short=1, chunked=1, crossed=1 bring about a
   fault. POST /fake?KEY=VALUE changes one backend server's behaviour while it
   runs: service_time_us, shed_permille, draining, load_busy, silent_after,
   stops_poison.  */

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <microhttpd.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "backend.h"
#include "base/clock.h"
#include "base/list.h"
#include "base/random.h"
#include "fake_answer.h"

enum
{
  TEXT_MAX_BYTES = 128,
  BODY_MAX_BYTES = 1024 * 1024,
  EVENTS_MAX = 256,
  SPARE_CONNECTIONS = 64, /* taken beyond the limit, to count violations */
  COLD_FACTOR = 10,
  EXIT_POISONED = 70,
};

struct run;

typedef struct client
{
  backend_t *backend;
  struct run *run;
  int requests;
} client_t;

typedef struct run
{
  list_t link; /* in `running` while it holds a slot */
  client_t *client;
  struct MHD_Connection *connection;
  const char *method;
  char path[TEXT_MAX_BYTES];
  char id[TEXT_MAX_BYTES];
  XXH64_hash_t body_hash;
  XXH64_state_t *body;
  size_t body_bytes;
  usec_t end_at;
  bool holds_slot;
  bool suspended;
  bool finished;
  bool cancelled;
} run_t;

static void __attribute__ ((format (printf, 1, 2)))
journal (const char *format, ...)
{
  if (fake.journal < 0)
    return;
  char line[1024];
  va_list arguments;
  va_start (arguments, format);
  int length = vsnprintf (line, sizeof line - 1, format, arguments);
  va_end (arguments);
  if (length > (int)sizeof line - 2)
    length = sizeof line - 2;
  line[length++] = '\n';
  if (write (fake.journal, line, (size_t)length) != length)
    abort ();
}

static const char *
argument (run_t *run, const char *key)
{
  const char *value = MHD_lookup_connection_value (run->connection,
                                                   MHD_GET_ARGUMENT_KIND, key);
  return value ? value : "";
}

static const char *
header (run_t *run, const char *key)
{
  const char *value
      = MHD_lookup_connection_value (run->connection, MHD_HEADER_KIND, key);
  return value ? value : "";
}

static enum MHD_Result
reply_with (run_t *run, unsigned status, struct MHD_Response *response)
{
  const char *id = argument (run, "crossed")[0] ? "another-request" : run->id;
  if (id[0])
    MHD_add_response_header (response, "X-Request-Id", id);
  enum MHD_Result result
      = MHD_queue_response (run->connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
reply_text (run_t *run, unsigned status, const char *text)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), (void *)text, MHD_RESPMEM_MUST_COPY);
  if (status == MHD_HTTP_SERVICE_UNAVAILABLE)
    MHD_add_response_header (response, "X-Not-Started", "1");
  return reply_with (run, status, response);
}

/* An answer's bytes while MHD reads them.  */
typedef struct content
{
  size_t size;
  size_t end; /* where a short answer stops */
  char bytes[];
} content_t;

static ssize_t
content_read (void *closure, uint64_t position, char *out, size_t size)
{
  const content_t *content = closure;
  if (position >= content->end)
    return content->end < content->size ? MHD_CONTENT_READER_END_WITH_ERROR
                                        : MHD_CONTENT_READER_END_OF_STREAM;
  size_t left = content->end - position;
  size_t n = left < size ? left : size;
  memcpy (out, content->bytes + position, n);
  return (ssize_t)n;
}

static enum MHD_Result
reply_answer (run_t *run)
{
  answer_key_t key = { .service = run->client->backend->service,
                       .method = run->method,
                       .caller = argument (run, "caller"),
                       .body_hash = run->body_hash,
                       .bytes = strtoul (argument (run, "bytes"), NULL, 10) };
  if (key.bytes > ANSWER_PAYLOAD_MAX)
    key.bytes = ANSWER_PAYLOAD_MAX;
  content_t *content = malloc (sizeof *content + answer_size_max (&key));
  content->size = content->end = answer_fill (content->bytes, &key);
  if (argument (run, "short")[0])
    content->end /= 2;
  bool chunked = argument (run, "chunked")[0] != '\0';
  struct MHD_Response *response = MHD_create_response_from_callback (
      chunked ? MHD_SIZE_UNKNOWN : content->size, 16384, content_read, content,
      free);
  return reply_with (run, MHD_HTTP_OK, response);
}

static void
run_end (run_t *run, const char *how)
{
  if (!run->holds_slot)
    return;
  backend_t *backend = run->client->backend;
  run->holds_slot = false;
  backend->busy--;
  list_remove (&run->link);
  journal ("end backend=%s id=%s how=%s", backend->name, run->id, how);
}

static void
run_resume (run_t *run)
{
  run->finished = true;
  if (run->suspended)
    {
      run->suspended = false;
      MHD_resume_connection (run->connection);
    }
}

static void
run_cancel (run_t *run)
{
  run_end (run, "cancelled");
  run->cancelled = true;
  run_resume (run);
}

static usec_t
service_time (run_t *run)
{
  const char *asked = argument (run, "us");
  if (asked[0])
    return strtol (asked, NULL, 10);
  double mean = (double)run->client->backend->behaviour.service_time;
  if (mean <= 0)
    return 0;
  usec_t age = clock_monotonic () - fake.started;
  if (age < fake.cold)
    mean *= 1.0
            + (COLD_FACTOR - 1.0) * (double)(fake.cold - age)
                  / (double)fake.cold;
  return (usec_t)(mean / 2 + random_exponential (&fake.random, mean / 2));
}

static enum MHD_Result
run_start (run_t *run)
{
  backend_t *backend = run->client->backend;
  journal ("start backend=%s id=%s ticket=%s caller=%s method=%s path=%s "
           "body=%016" PRIx64,
           backend->name, run->id, header (run, "Idempotency-Key"),
           argument (run, "caller"), run->method, run->path, run->body_hash);
  if (argument (run, "poison")[0] && backend->behaviour.stops_poison)
    {
      journal ("end backend=%s id=%s how=timeout", backend->name, run->id);
      return reply_text (run, MHD_HTTP_GATEWAY_TIMEOUT, "timed out\n");
    }
  if (argument (run, "poison")[0])
    {
      journal ("crash backend=%s id=%s", backend->name, run->id);
      _exit (EXIT_POISONED);
    }
  if (argument (run, "hangup")[0])
    {
      journal ("end backend=%s id=%s how=hangup", backend->name, run->id);
      return MHD_NO;
    }
  run->holds_slot = true;
  backend->busy++;
  list_push_back (&fake.running, &run->link);
  usec_t took = service_time (run);
  if (took <= 0)
    {
      run_end (run, "done");
      run->finished = true;
      return reply_answer (run);
    }
  run->end_at = clock_monotonic () + took;
  run->suspended = true;
  MHD_suspend_connection (run->connection);
  return MHD_YES;
}

/* Refuse, stay silent or start, in that order.  */
static enum MHD_Result
run_admit (run_t *run)
{
  backend_t *backend = run->client->backend;
  behaviour_t *behaviour = &backend->behaviour;
  int served = run->client->requests++;
  if (argument (run, "silent")[0]
      || (behaviour->silent_after > 0 && served >= behaviour->silent_after))
    {
      journal ("silent backend=%s id=%s", backend->name, run->id);
      run->suspended = true;
      MHD_suspend_connection (run->connection);
      return MHD_YES;
    }
  if (behaviour->draining)
    {
      journal ("refused backend=%s id=%s why=draining", backend->name,
               run->id);
      return reply_text (run, MHD_HTTP_SERVICE_UNAVAILABLE, "draining\n");
    }
  if (random_below (&fake.random, 1000) < (uint64_t)behaviour->shed_permille)
    {
      journal ("refused backend=%s id=%s why=shed", backend->name, run->id);
      return reply_text (run, MHD_HTTP_SERVICE_UNAVAILABLE, "shedding load\n");
    }
  if (backend->busy >= backend->slots)
    {
      journal ("violation backend=%s id=%s what=slots busy=%u", backend->name,
               run->id, backend->busy);
      return reply_text (run, MHD_HTTP_SERVICE_UNAVAILABLE, "no free slot\n");
    }
  return run_start (run);
}

static enum MHD_Result
reply_load (run_t *run)
{
  backend_t *backend = run->client->backend;
  unsigned busy = backend->behaviour.load_busy < 0
                      ? backend->busy
                      : (unsigned)backend->behaviour.load_busy;
  char text[TEXT_MAX_BYTES];
  snprintf (text, sizeof text, "{\"slots\":%u,\"busy\":%u,\"draining\":%s}\n",
            backend->slots, busy,
            backend->behaviour.draining ? "true" : "false");
  return reply_text (run, MHD_HTTP_OK, text);
}

static enum MHD_Result
reply_cancel (run_t *run)
{
  const char *id = argument (run, "id");
  LIST_FOREACH (link, &fake.running)
  {
    run_t *other = LIST_ENTRY (link, run_t, link);
    if (other->client->backend == run->client->backend
        && strcmp (other->id, id) == 0)
      {
        run_cancel (other);
        return reply_text (run, MHD_HTTP_OK, "cancelled\n");
      }
  }
  return reply_text (run, MHD_HTTP_NOT_FOUND, "no such run\n");
}

static enum MHD_Result
change_behaviour (void *closure, enum MHD_ValueKind kind, const char *key,
                  const char *value)
{
  (void)kind;
  behaviour_t *behaviour = closure;
  int number = value ? (int)strtol (value, NULL, 10) : 0;
  if (strcmp (key, "service_time_us") == 0)
    behaviour->service_time = number;
  else if (strcmp (key, "shed_permille") == 0)
    behaviour->shed_permille = number;
  else if (strcmp (key, "draining") == 0)
    behaviour->draining = number;
  else if (strcmp (key, "load_busy") == 0)
    behaviour->load_busy = number;
  else if (strcmp (key, "silent_after") == 0)
    behaviour->silent_after = number;
  else if (strcmp (key, "stops_poison") == 0)
    behaviour->stops_poison = number;
  return MHD_YES;
}

static enum MHD_Result
run_dispatch (run_t *run)
{
  if (run->finished)
    return run->cancelled ? MHD_NO : reply_answer (run);
  if (run->body_bytes > BODY_MAX_BYTES)
    return reply_text (run, MHD_HTTP_CONTENT_TOO_LARGE, "body too large\n");
  run->body_hash = XXH64_digest (run->body);
  snprintf (run->id, sizeof run->id, "%s", header (run, "X-Request-Id"));
  if (strcmp (run->path, "/health") == 0)
    return reply_text (run, MHD_HTTP_OK, "ok\n");
  if (strcmp (run->path, "/load") == 0)
    return reply_load (run);
  if (strcmp (run->path, "/cancel") == 0)
    return reply_cancel (run);
  if (strcmp (run->path, "/fake") == 0)
    {
      MHD_get_connection_values (run->connection, MHD_GET_ARGUMENT_KIND,
                                 change_behaviour,
                                 &run->client->backend->behaviour);
      return reply_text (run, MHD_HTTP_OK, "changed\n");
    }
  return run_admit (run);
}

static enum MHD_Result
handle_request (void *closure, struct MHD_Connection *connection,
                const char *url, const char *method, const char *version,
                const char *upload, size_t *upload_size, void **request)
{
  (void)closure;
  (void)version;
  run_t *run = *request;
  if (!run)
    {
      client_t *client = MHD_get_connection_info (
                             connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
                             ->socket_context;
      run = calloc (1, sizeof *run);
      list_init (&run->link);
      run->client = client;
      run->connection = connection;
      run->method = method;
      snprintf (run->path, sizeof run->path, "%s", url);
      run->body = XXH64_createState ();
      XXH64_reset (run->body, 0);
      client->run = run;
      *request = run;
      return MHD_YES;
    }
  if (*upload_size > 0)
    {
      XXH64_update (run->body, upload, *upload_size);
      run->body_bytes += *upload_size;
      *upload_size = 0;
      return MHD_YES;
    }
  return run_dispatch (run);
}

static void
request_completed (void *closure, struct MHD_Connection *connection,
                   void **request, enum MHD_RequestTerminationCode code)
{
  (void)closure;
  (void)connection;
  (void)code;
  run_t *run = *request;
  if (!run)
    return;
  run_end (run, "cut");
  run->client->run = NULL;
  XXH64_freeState (run->body);
  free (run);
  *request = NULL;
}

/* Each client's socket is watched here too, since MHD does not see a close
   while the connection is suspended.  */
static void
connection_changed (void *closure, struct MHD_Connection *connection,
                    void **context, enum MHD_ConnectionNotificationCode code)
{
  backend_t *backend = closure;
  if (code == MHD_CONNECTION_NOTIFY_CLOSED)
    {
      backend->connections--;
      free (*context);
      return;
    }
  client_t *client = calloc (1, sizeof *client);
  client->backend = backend;
  *context = client;
  if (++backend->connections > backend->connections_max)
    journal ("violation backend=%s what=connections open=%u", backend->name,
             backend->connections);
  int fd
      = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd;
  struct epoll_event event
      = { .events = EPOLLRDHUP | EPOLLET, .data.ptr = client };
  epoll_ctl (fake.epoll, EPOLL_CTL_ADD, fd, &event);
}

static void
backend_listen (backend_t *backend)
{
  backend->behaviour = fake.behaviour;
  backend->daemon
      = MHD_start_daemon (MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL,
                          NULL, handle_request, backend, MHD_OPTION_SOCK_ADDR,
                          &backend->address, MHD_OPTION_CONNECTION_LIMIT,
                          backend->connections_max + SPARE_CONNECTIONS,
                          MHD_OPTION_NOTIFY_COMPLETED, request_completed, NULL,
                          MHD_OPTION_NOTIFY_CONNECTION, connection_changed,
                          backend, MHD_OPTION_END);
  if (!backend->daemon)
    {
      fprintf (stderr, "fake-backend: can't listen for %s on %s:%u: %s\n",
               backend->name, inet_ntoa (backend->address.sin_addr),
               ntohs (backend->address.sin_port), strerror (errno));
      exit (EXIT_USAGE_ERROR);
    }
  int fd = MHD_get_daemon_info (backend->daemon, MHD_DAEMON_INFO_EPOLL_FD)
               ->epoll_fd;
  struct epoll_event event = { .events = EPOLLIN, .data.ptr = backend };
  epoll_ctl (fake.epoll, EPOLL_CTL_ADD, fd, &event);
}

static bool
is_backend (const void *pointer)
{
  const backend_t *backend = pointer;
  return backend >= fake.backends && backend < fake.backends + BACKENDS_MAX;
}

static void
backend_serve (backend_t *backend)
{
  MHD_UNSIGNED_LONG_LONG wait;
  do
    MHD_run (backend->daemon);
  while (MHD_get_timeout (backend->daemon, &wait) == MHD_YES && wait == 0);
}

/* End what is due; returns the time until the next end, -1 for none.  */
static usec_t
finish_due (void)
{
  usec_t now = clock_monotonic ();
  usec_t next = -1;
  LIST_FOREACH (link, &fake.running)
  {
    run_t *run = LIST_ENTRY (link, run_t, link);
    usec_t left = run->end_at - now;
    if (left > 0)
      {
        if (next < 0 || left < next)
          next = left;
        continue;
      }
    backend_t *backend = run->client->backend;
    run_end (run, "done");
    run_resume (run);
    backend_serve (backend);
    return 0;
  }
  return next;
}

/* CLIENT has closed its connection.  Returns the backend server to be served
   for that; NULL: none.  */
static backend_t *
client_closed (client_t *client)
{
  if (!client->run || !client->run->suspended)
    return NULL;
  run_cancel (client->run);
  return client->backend;
}

static void
serve (int signals)
{
  for (;;)
    {
      usec_t wait = finish_due ();
      struct timespec limit = { .tv_sec = wait / USEC_PER_SEC,
                                .tv_nsec = wait % USEC_PER_SEC * 1000 };
      struct epoll_event events[EVENTS_MAX];
      int n = epoll_pwait2 (fake.epoll, events, EVENTS_MAX,
                            wait < 0 ? NULL : &limit, NULL);
      /* Clients first: MHD frees them only further down.  */
      for (int i = 0; i < n; i++)
        {
          client_t *client = events[i].data.ptr;
          if (events[i].data.ptr == &fake.epoll)
            {
              struct signalfd_siginfo info;
              if (read (signals, &info, sizeof info) > 0)
                return;
            }
          else if (!is_backend (client))
            events[i].data.ptr = client_closed (client);
        }
      for (int i = 0; i < n; i++)
        if (is_backend (events[i].data.ptr))
          backend_serve (events[i].data.ptr);
    }
}

static int
open_signals (void)
{
  sigset_t set;
  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  sigprocmask (SIG_BLOCK, &set, NULL);
  signal (SIGPIPE, SIG_IGN);
  int fd = signalfd (-1, &set, SFD_CLOEXEC);
  struct epoll_event event = { .events = EPOLLIN, .data.ptr = &fake.epoll };
  epoll_ctl (fake.epoll, EPOLL_CTL_ADD, fd, &event);
  return fd;
}

int
main (int argc, char **argv)
{
  fake_parse (argc, argv);
  list_init (&fake.running);
  random_seed (&fake.random, fake.seed);
  fake.started = clock_monotonic ();
  fake.epoll = epoll_create1 (EPOLL_CLOEXEC);
  if (fake.journal_path)
    fake.journal = open (fake.journal_path,
                         O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  int signals = open_signals ();
  for (size_t i = 0; i < fake.n_backends; i++)
    backend_listen (&fake.backends[i]);
  printf ("ready backends=%zu\n", fake.n_backends);
  fflush (stdout);
  serve (signals);
  return EXIT_SUCCESS;
}
