/* fake-platform: stands in for the users' platform: the list of backend
   servers, and the backend servers themselves, by its published protocol.

     fake-platform LIST_ADDRESS:PORT FOLDER OFFSET DOMAIN...

   Each DOMAIN gets two backend servers of the service "search", on the ports
   after the list's; the list tells their ports with OFFSET added, for a relay
   that stands before them.  Each run of a request is appended to FOLDER/runs
   as "ID BACKEND MSEC TYPE", by the time of day; TYPE is the request's
   Content-Type, or "-".  FOLDER/draining names the backend
   servers that drain, one a line; FOLDER/gone those that run on but are not
   listed; a line "BACKEND ID" of FOLDER/renamed lists BACKEND's address under
   ID, too.  A path that ends in "slow" runs for half a second; one that ends
   in "long" for LONG_USEC; one that ends in "large" is answered with
   LARGE_BYTES; one that ends in "held" runs until FOLDER/release exists; one
   that ends in "lost" runs, and its connection ends without an answer; one
   that ends in "other" is answered as if it were another request; one that
   ends in "crash" ends the backend server, with all that runs there, which
   starts again after DOWN_USEC under another id, and one that ends in
   "crash-N" does so after N msec; each such end is appended to FOLDER/ends as
   "ID BACKEND MSEC -". Where
   "-504" follows, each second one is answered 504 instead, as at a deadline.
   One that ends in "restart" ends the backend server, which starts again after
   DOWN_USEC under the same id, and is cold for COLD_MSEC; the list shows that
   LIST_LAG_MSEC later, and the start is appended to FOLDER/starts as "-
   BACKEND MSEC -". A backend server that FOLDER/leaving names says in all its
   answers that it leaves; one that FOLDER/resting names refuses all requests,
   and wants a rest of REST_SECONDS; one that FOLDER/limited names with a text
   behind a blank has that text as Server-Limit in the answers to its requests.
   FOLDER/cut cuts links to the backend servers (platform_cut.h).
   A request that reaches a backend server is
   appended to FOLDER/reached as "ID BACKEND MSEC KIND"; KIND is "run" or
   "refused".  Each run is also appended to FOLDER/accounts as "ID ACCOUNT MSEC
   KEY": the client account that the request names, or "-", and "key" if it
   bears a key, else "no-key".  */

#include <arpa/inet.h>
#include <microhttpd.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "platform_cut.h"

#define REST_SECONDS "4"

enum
{
  BACKENDS_MAX = 16,
  BACKENDS_OF_DOMAIN = 2,
  SLOTS = 4,
  TEXT_BYTES = 8192,
  MSEC_PER_SEC = 1000,
  USEC_PER_MSEC = 1000,
  NSEC_PER_MSEC = 1000 * 1000,
  SLOW_USEC = 500 * 1000,
  LONG_USEC = 1200 * 1000,
  LARGE_BYTES = 3 * 1024 * 1024,
  HELD_STEP_USEC = 10 * 1000,
  HELD_STEPS_MAX = 2000,
  RUN_STEP_USEC = 5 * 1000,
  DOWN_USEC = 1000 * 1000,
  COLD_MSEC = 3000,
  LIST_LAG_MSEC = 800,
  CUT_STEP_USEC = 20 * 1000,
};

typedef struct fake_backend
{
  char id[32];
  const char *domain;
  unsigned int number; /* within its domain */
  unsigned int port;
  struct MHD_Daemon *daemon;
  unsigned int boot; /* counts its starts; guarded by fake.lock */
  bool is_down;      /* guarded by fake.lock */
  bool keeps_id;     /* at its next start; guarded by fake.lock */
  long long born;    /* Unix msec of a start under the same id; 0: none */
} fake_backend_t;

static struct
{
  char address[16];
  unsigned int offset; /* of the ports that the list tells */
  const char *folder;
  size_t n_backends;
  fake_backend_t backends[BACKENDS_MAX];
  pthread_mutex_t lock;
} fake = { .lock = PTHREAD_MUTEX_INITIALIZER };

static char large_body[LARGE_BYTES + 1];

enum
{
  LINE_BYTES = 64,
};

/* Whether FOLDER/NAME has a line of ID, or of ID and a text behind a blank,
   which is copied to TEXT if that isn't NULL.  */
static bool
find_line (const char *name, const char *id, char text[LINE_BYTES])
{
  char path[512];
  char line[LINE_BYTES];
  bool found = false;
  snprintf (path, sizeof path, "%s/%s", fake.folder, name);
  FILE *file = fopen (path, "r");
  if (!file)
    return false;
  while (!found && fgets (line, sizeof line, file))
    {
      line[strcspn (line, "\n")] = '\0';
      size_t length = strcspn (line, " ");
      found = length == strlen (id) && memcmp (line, id, length) == 0;
      if (found && text)
        snprintf (text, LINE_BYTES, "%s",
                  line + length + (line[length] == ' '));
    }
  fclose (file);
  return found;
}

/* Whether FOLDER/NAME has the line ID.  */
static bool
is_named (const char *name, const char *id)
{
  return find_line (name, id, NULL);
}

static long long
now_msec (void)
{
  struct timespec now;
  clock_gettime (CLOCK_REALTIME, &now);
  return (long long)now.tv_sec * MSEC_PER_SEC + now.tv_nsec / NSEC_PER_MSEC;
}

/* Append a line to FOLDER/NAME.  */
static void
note (const char *name, const char *request, const char *backend,
      const char *type)
{
  char path[512];
  snprintf (path, sizeof path, "%s/%s", fake.folder, name);
  pthread_mutex_lock (&fake.lock);
  FILE *file = fopen (path, "a");
  if (file)
    {
      fprintf (file, "%s %s %lld %s\n", request, backend, now_msec (),
               type ? type : "-");
      fclose (file);
    }
  pthread_mutex_unlock (&fake.lock);
}

/* What an answer says of its backend server.  */
typedef struct said
{
  bool leaves;
  const char *limit; /* NULL: names none */
} said_t;

static enum MHD_Result
answer_as (struct MHD_Connection *connection, unsigned int status,
           const char *text, const char *id, const char *backend,
           const said_t *said)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), (void *)(uintptr_t)text, MHD_RESPMEM_MUST_COPY);
  if (id)
    MHD_add_response_header (response, "Request-Id", id);
  if (backend)
    MHD_add_response_header (response, "Instance-Id", backend);
  if (status == MHD_HTTP_OK && id)
    MHD_add_response_header (response, "Server-Stamp", "fake");
  if (status == MHD_HTTP_MISDIRECTED_REQUEST
      || status == MHD_HTTP_SERVICE_UNAVAILABLE)
    MHD_add_response_header (response, "Not-Executed", "1");
  if (status == MHD_HTTP_SERVICE_UNAVAILABLE)
    MHD_add_response_header (response, "Retry-After", REST_SECONDS);
  if (said->limit)
    MHD_add_response_header (response, "Server-Limit", said->limit);
  if (said->leaves)
    MHD_add_response_header (response, "Server-Leaving", "1");
  enum MHD_Result result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

/* For how many msec BACKEND, which was born at BORN, is still cold.  */
static long long
cold_left (long long born)
{
  long long left = born > 0 ? born + COLD_MSEC - now_msec () : 0;
  return left > 0 ? left : 0;
}

static enum MHD_Result
answer_health (struct MHD_Connection *connection,
               const fake_backend_t *backend)
{
  char left[32];
  struct MHD_Response *response
      = MHD_create_response_from_buffer (0, "", MHD_RESPMEM_PERSISTENT);
  snprintf (left, sizeof left, "%lld", cold_left (backend->born));
  MHD_add_response_header (response, "Instance-Id", backend->id);
  MHD_add_response_header (response, "Cold-Ms", left);
  enum MHD_Result result
      = MHD_queue_response (connection, MHD_HTTP_OK, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
answer (struct MHD_Connection *connection, unsigned int status,
        const char *text, const char *id, const char *backend)
{
  return answer_as (connection, status, text, id, backend, &(said_t){ 0 });
}

static const char *
header (struct MHD_Connection *connection, const char *name)
{
  return MHD_lookup_connection_value (connection, MHD_HEADER_KIND, name);
}

static const struct sockaddr *
caller_address (struct MHD_Connection *connection)
{
  return MHD_get_connection_info (connection,
                                  MHD_CONNECTION_INFO_CLIENT_ADDRESS)
      ->client_addr;
}

static enum MHD_Result
accept_caller (void *closure, const struct sockaddr *address, socklen_t length)
{
  (void)closure;
  (void)length;
  return cut_of (fake.folder, address) == CUT_RESET ? MHD_NO : MHD_YES;
}

static bool
ends_with (const char *text, const char *end)
{
  size_t length = strlen (text);
  size_t n = strlen (end);
  return length >= n && strcmp (text + length - n, end) == 0;
}

static void
wait_for_release (void)
{
  char path[512];
  snprintf (path, sizeof path, "%s/release", fake.folder);
  for (int i = 0; i < HELD_STEPS_MAX && access (path, F_OK) != 0; i++)
    usleep (HELD_STEP_USEC);
}

static struct MHD_Daemon *open_port (unsigned int port,
                                     MHD_AccessHandlerCallback handler,
                                     void *closure);

static void start_backend (fake_backend_t *backend);

/* Closes the connections of a backend server that crashed, and waits until it
   is due to start again.  */
static void *
restart_backend (void *closure)
{
  fake_backend_t *backend = closure;
  MHD_stop_daemon (backend->daemon);
  usleep (DOWN_USEC);
  start_backend (backend);
  return NULL;
}

/* The port refuses connections from now on, and the open ones are closed.  */
static void
crash_backend (fake_backend_t *backend, const char *request, bool keeps_id)
{
  pthread_t thread;
  pthread_mutex_lock (&fake.lock);
  bool was_down = backend->is_down;
  backend->is_down = true;
  if (!was_down)
    backend->keeps_id = keeps_id;
  pthread_mutex_unlock (&fake.lock);
  if (was_down)
    return;
  note ("ends", request, backend->id, NULL);
  close (MHD_quiesce_daemon (backend->daemon));
  if (pthread_create (&thread, NULL, restart_backend, backend) != 0)
    abort ();
  pthread_detach (thread);
}

/* Whether BACKEND still runs, since its start number BOOT.  */
static bool
is_boot (const fake_backend_t *backend, unsigned int boot)
{
  pthread_mutex_lock (&fake.lock);
  bool is_same = backend->boot == boot && !backend->is_down;
  pthread_mutex_unlock (&fake.lock);
  return is_same;
}

/* Run a request for USEC, or until BACKEND ends.  */
static void
run_for (const fake_backend_t *backend, unsigned int boot, unsigned long usec)
{
  for (unsigned long ran = 0; ran < usec && is_boot (backend, boot);
       ran += RUN_STEP_USEC)
    usleep (RUN_STEP_USEC);
}

static enum MHD_Result
serve_backend (void *closure, struct MHD_Connection *connection,
               const char *url, const char *method, const char *version,
               const char *data, size_t *data_bytes, void **context)
{
  (void)method;
  (void)version;
  (void)data;
  fake_backend_t *backend = closure;
  unsigned int boot = backend->boot;
  static int seen;
  if (!*context)
    {
      *context = &seen;
      return MHD_YES;
    }
  if (*data_bytes > 0)
    {
      *data_bytes = 0;
      return MHD_YES;
    }
  const struct sockaddr *from = caller_address (connection);
  cut_wait (fake.folder, from);
  if (!is_boot (backend, boot) || cut_of (fake.folder, from) == CUT_RESET)
    return MHD_NO;
  const char *id = header (connection, "Request-Id");
  const char *expected = header (connection, "Expect-Instance");
  if (strcmp (url, "/health") == 0)
    {
      note ("checks", "-", backend->id, NULL);
      return answer_health (connection, backend);
    }
  if (!id || !header (connection, "Deadline-Ms"))
    return answer (connection, MHD_HTTP_BAD_REQUEST, "no id or deadline", NULL,
                   NULL);
  if (expected && strcmp (expected, backend->id) != 0)
    return answer (connection, MHD_HTTP_MISDIRECTED_REQUEST, "", id,
                   backend->id);
  bool is_resting = is_named ("resting", backend->id);
  note ("reached", id, backend->id, is_resting ? "refused" : "run");
  if (is_resting)
    return answer (connection, MHD_HTTP_SERVICE_UNAVAILABLE, "", id, NULL);
  note ("runs", id, backend->id, header (connection, "Content-Type"));
  const char *account = header (connection, "Tenant");
  note ("accounts", id, account ? account : "-",
        header (connection, "Authorization") ? "key" : "no-key");
  if (ends_with (url, "lost"))
    return MHD_NO;
  if (ends_with (url, "crash"))
    crash_backend (backend, id, false);
  if (ends_with (url, "restart"))
    crash_backend (backend, id, true);
  const char *delay = strstr (url, "crash-");
  if (delay)
    {
      run_for (backend, boot,
               strtoul (delay + strlen ("crash-"), NULL, 10) * USEC_PER_MSEC);
      static atomic_uint n_runs;
      if (ends_with (url, "-504") && atomic_fetch_add (&n_runs, 1) % 2 == 1)
        return answer (connection, MHD_HTTP_GATEWAY_TIMEOUT, "", id,
                       backend->id);
      if (is_boot (backend, boot))
        crash_backend (backend, id, false);
    }
  if (ends_with (url, "slow") || ends_with (url, "slow-large"))
    run_for (backend, boot, SLOW_USEC);
  if (ends_with (url, "long"))
    run_for (backend, boot, LONG_USEC);
  if (ends_with (url, "held"))
    wait_for_release ();
  if (!is_boot (backend, boot))
    return MHD_NO;
  char limit[LINE_BYTES];
  const said_t said
      = { .leaves = is_named ("leaving", backend->id),
          .limit = find_line ("limited", backend->id, limit) ? limit : NULL };
  return answer_as (connection, MHD_HTTP_OK,
                    ends_with (url, "large") ? large_body : backend->id,
                    ends_with (url, "other") ? "of-another" : id, NULL, &said);
}

/* Write BACKEND's entry in the list, under ID, to TEXT of SIZE bytes.  Returns
   its length.  */
static size_t
write_entry (char *text, size_t size, const fake_backend_t *backend,
             const char *id, bool is_first)
{
  bool is_shown = now_msec () >= backend->born + LIST_LAG_MSEC;
  long long born = is_shown ? backend->born : 0;
  size_t used = (size_t)snprintf (
      text, size,
      "%s{\"service\":\"search\",\"address\":\"%s:%u\",\"version\":\"v1\","
      "\"capacity\":"
      "%d,\"state\":\"%s\",\"cold_left\":\"%lldms\",\"id\":\"%s\"",
      is_first ? "" : ",", fake.address, backend->port + fake.offset, SLOTS,
      is_named ("draining", backend->id) ? "draining" : "ready",
      cold_left (born), id);
  if (born > 0)
    used
        += (size_t)snprintf (text + used, size - used, ",\"born\":%lld", born);
  used += (size_t)snprintf (text + used, size - used, "}");
  return used;
}

static enum MHD_Result
serve_list (void *closure, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *data,
            size_t *data_bytes, void **context)
{
  (void)closure;
  (void)url;
  (void)method;
  (void)version;
  (void)data;
  (void)data_bytes;
  (void)context;
  char text[TEXT_BYTES];
  char renamed[LINE_BYTES];
  size_t used = (size_t)snprintf (text, sizeof text, "{\"instances\":{");
  bool is_first = true; /* of its domain */
  for (size_t i = 0; i < fake.n_backends; i++)
    {
      const fake_backend_t *backend = &fake.backends[i];
      if (i % BACKENDS_OF_DOMAIN == 0)
        {
          used += (size_t)snprintf (text + used, sizeof text - used,
                                    "%s\"%s\":[", i > 0 ? "]," : "",
                                    backend->domain);
          is_first = true;
        }
      if (is_named ("gone", backend->id))
        continue;
      used += write_entry (text + used, sizeof text - used, backend,
                           backend->id, is_first);
      if (find_line ("renamed", backend->id, renamed))
        used += write_entry (text + used, sizeof text - used, backend, renamed,
                             false);
      is_first = false;
    }
  snprintf (text + used, sizeof text - used, "]},\"next_token\":null}");
  return answer (connection, MHD_HTTP_OK, text, NULL, NULL);
}

static struct MHD_Daemon *
open_port (unsigned int port, MHD_AccessHandlerCallback handler, void *closure)
{
  bool is_backend = handler == serve_backend;
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  inet_pton (AF_INET, fake.address, &address.sin_addr);
  return MHD_start_daemon (
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
      (uint16_t)port, is_backend ? accept_caller : NULL, NULL, handler,
      closure, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
}

/* Keep the listening sockets to FOLDER/cut.  */
static void *
watch_cuts (void *closure)
{
  (void)closure;
  for (;;)
    {
      pthread_mutex_lock (&fake.lock);
      for (size_t i = 0; i < fake.n_backends; i++)
        if (!fake.backends[i].is_down)
          cut_filter (fake.folder,
                      MHD_get_daemon_info (fake.backends[i].daemon,
                                           MHD_DAEMON_INFO_LISTEN_FD)
                          ->listen_fd);
      pthread_mutex_unlock (&fake.lock);
      usleep (CUT_STEP_USEC);
    }
  return NULL;
}

/* Give BACKEND an id for its next start.  */
static void
name_start (fake_backend_t *backend)
{
  int n = snprintf (backend->id, sizeof backend->id, "%s-%u", backend->domain,
                    backend->number);
  if (backend->boot > 0)
    snprintf (backend->id + n, sizeof backend->id - (size_t)n, "-%u",
              backend->boot);
}

/* Each start has an id of its own, but one after a request for a restart.  */
static void
start_backend (fake_backend_t *backend)
{
  struct MHD_Daemon *daemon
      = open_port (backend->port, serve_backend, backend);
  pthread_mutex_lock (&fake.lock);
  backend->daemon = daemon;
  bool is_restart = backend->keeps_id;
  if (!is_restart)
    name_start (backend);
  backend->boot++;
  backend->born = is_restart ? now_msec () : 0;
  backend->keeps_id = false;
  backend->is_down = false;
  pthread_mutex_unlock (&fake.lock);
  if (is_restart)
    note ("starts", "-", backend->id, NULL);
}

static bool
open_domain (const char *domain, unsigned int first_port)
{
  for (unsigned int i = 0; i < BACKENDS_OF_DOMAIN; i++)
    {
      if (fake.n_backends == BACKENDS_MAX)
        return false;
      fake_backend_t *backend = &fake.backends[fake.n_backends];
      backend->domain = domain;
      backend->port = first_port + (unsigned int)fake.n_backends++;
      backend->number = i;
      start_backend (backend);
      if (!backend->daemon)
        return false;
    }
  return true;
}

int
main (int argc, char **argv)
{
  unsigned int port = 0;
  if (argc < 5 || sscanf (argv[1], "%15[0-9.]:%u", fake.address, &port) != 2)
    {
      fprintf (stderr,
               "usage: fake-platform ADDRESS:PORT FOLDER OFFSET DOMAIN...\n");
      return 2;
    }
  memset (large_body, 'l', LARGE_BYTES);
  fake.folder = argv[2];
  fake.offset = (unsigned int)strtoul (argv[3], NULL, 10);
  sigset_t stop;
  sigemptyset (&stop);
  sigaddset (&stop, SIGTERM);
  pthread_sigmask (SIG_BLOCK, &stop, NULL);
  for (int i = 4; i < argc; i++)
    if (!open_domain (argv[i], port + 1))
      {
        fprintf (stderr, "fake-platform: can't open %s\n", argv[i]);
        return 1;
      }
  struct MHD_Daemon *list = open_port (port, serve_list, NULL);
  pthread_t cuts;
  if (!list || pthread_create (&cuts, NULL, watch_cuts, NULL) != 0)
    return 1;
  int number;
  sigwait (&stop, &number);
  MHD_stop_daemon (list);
  pthread_mutex_lock (&fake.lock); /* the cuts are watched no more */
  for (size_t i = 0; i < fake.n_backends; i++)
    MHD_stop_daemon (fake.backends[i].daemon);
  return 0;
}
