/* standin-servers: the platform's list of servers, and the servers themselves.

     standin-servers ADDRESS LIST_PORT RECORD SERVICE:ZONE... [-u SERVICE:ZONE]
                     [-e ENTRY]...

   Each SERVICE:ZONE gets a server of that service in that zone, a process of
   its own with the port LIST_PORT + N, N from 1 on.  Its id is "i-N", and
   "i-N-B" after its B-th crash.  The list tells all of them but those after a
   -u, each with all fields of the platform's page, and then each ENTRY, as
   "ZONE=JSON", which another writer has put there.

   A path tells the server what to do, by these parts:

     len-N      answer with a body of N bytes and its length
     open-N     answer with a body of N bytes without a length, which ends with
                the connection
     pause-N    begin to read the request's body, pause for N msec, and read on
     wait-N     work for N msec before the answer
     crash-N    work for N msec, whether or not the connection goes on, and
   then end the server's process; it starts again after DOWN_MSEC

   Other paths are answered with a short body.  Bodies are made from the
   request's id (net_fill).  A health path is answered as the page has it.  A
   request that names another instance is answered 421 and not run.  RECORD
   gets a line for each run: "MSEC run ID SERVER SERVICE METHOD", when it
   begins, "MSEC end ID SERVER how", when it ends, and "MSEC crash ID SERVER",
   when it ends the process.  */

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "net.h"

enum
{
  SERVERS_MAX = 32,
  ENTRIES_MAX = 8,
  NAME_BYTES = 48,
  LIST_BYTES = 32 * 1024,
  BLOCK_BYTES = 64 * 1024,
  SHORT_BODY_BYTES = 100,
  SLOTS = 8,
  DOWN_MSEC = 2000,
  MSEC_PER_SEC = 1000,
  NSEC_PER_MSEC = 1000 * 1000,
};

typedef struct server
{
  char id[NAME_BYTES];
  char service[NAME_BYTES];
  char zone[NAME_BYTES];
  unsigned int port;
  bool is_unlisted;
  unsigned int boot;    /* how often it has crashed */
  long long started_at; /* Unix time in msec */
} server_t;

typedef struct connection
{
  int fd;
  const server_t *server; /* NULL: of the list */
} connection_t;

static const char *address;
static const char *record;
static server_t servers[SERVERS_MAX];
/* Guards the ids and starts of the servers.  */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static size_t n_servers;
static const char *entries[ENTRIES_MAX];
static size_t n_entries;

/* --- The list ----------------------------------------------------------- */

/* Append the servers and entries of ZONE to LIST.  */
static void
append_zone (char *list, const char *zone)
{
  const char *comma = "";
  size_t used = strlen (list);
  for (size_t i = 0; i < n_servers; i++)
    {
      const server_t *server = &servers[i];
      if (server->is_unlisted || strcmp (server->zone, zone) != 0)
        continue;
      used += (size_t)snprintf (
          list + used, LIST_BYTES - used,
          "%s{\"id\":\"%s\",\"service\":\"%s\",\"address\":\"%s:%u\","
          "\"zone\":\"%s\",\"version\":\"v1\",\"capacity\":%d,"
          "\"state\":\"ready\",\"cold_left\":\"0ms\",\"born\":%lld}",
          comma, server->id, server->service, address, server->port, zone,
          SLOTS, server->started_at);
      comma = ",";
    }
  size_t n = strlen (zone);
  for (size_t i = 0; i < n_entries; i++)
    if (strncmp (entries[i], zone, n) == 0 && entries[i][n] == '=')
      {
        used += (size_t)snprintf (list + used, LIST_BYTES - used, "%s%s",
                                  comma, entries[i] + n + 1);
        comma = ",";
      }
}

/* Whether an earlier server than I is in its zone.  */
static bool
is_zone_told (size_t i)
{
  for (size_t j = 0; j < i; j++)
    if (strcmp (servers[j].zone, servers[i].zone) == 0)
      return true;
  return false;
}

static void
answer_list (int fd)
{
  char list[LIST_BYTES] = "{\"instances\":{";
  const char *comma = "";
  pthread_mutex_lock (&lock);
  for (size_t i = 0; i < n_servers; i++)
    {
      if (is_zone_told (i))
        continue;
      size_t used = strlen (list);
      snprintf (list + used, sizeof list - used, "%s\"%s\":[", comma,
                servers[i].zone);
      append_zone (list, servers[i].zone);
      strncat (list, "]", sizeof list - strlen (list) - 1);
      comma = ",";
    }
  pthread_mutex_unlock (&lock);
  strncat (list, "},\"next_token\":null}", sizeof list - strlen (list) - 1);
  char head[NET_FIELD_BYTES];
  int n = snprintf (head, sizeof head,
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    "Content-Length: %zu\r\n\r\n",
                    strlen (list));
  if (net_write (fd, head, (size_t)n))
    net_write (fd, list, strlen (list));
}

/* --- Servers ------------------------------------------------------------ */

/* One request at a server.  */
typedef struct run
{
  const connection_t *connection;
  net_head_t head;
  char id[NET_FIELD_BYTES];
  char path[NET_FIELD_BYTES];
  size_t body_left; /* of the request */
} run_t;

/* The N of a path part "NAME-N"; -1 if the path has none.  */
static long
path_number (const run_t *run, const char *name)
{
  const char *part = strstr (run->path, name);
  return part ? strtol (part + strlen (name), NULL, 10) : -1;
}

/* Read up to LENGTH bytes of the request's body.  */
static bool
read_body (run_t *run, size_t length)
{
  static _Thread_local char block[BLOCK_BYTES];
  while (run->body_left > 0 && length > 0)
    {
      size_t wanted = run->body_left < length ? run->body_left : length;
      if (wanted > sizeof block)
        wanted = sizeof block;
      ssize_t n = recv (run->connection->fd, block, wanted, 0);
      if (n <= 0)
        return false;
      run->body_left -= (size_t)n;
      length -= (size_t)n;
    }
  return true;
}

static bool
write_body (const run_t *run, size_t length)
{
  static _Thread_local char block[BLOCK_BYTES];
  for (size_t at = 0; at < length;)
    {
      size_t n = length - at < sizeof block ? length - at : sizeof block;
      net_fill (block, n, at, run->id);
      if (!net_write (run->connection->fd, block, n))
        return false;
      at += n;
    }
  return true;
}

/* Answer with LENGTH bytes.  Returns false if the connection ends with it.  */
static bool
answer_run (const run_t *run, size_t length, bool has_length)
{
  const server_t *server = run->connection->server;
  char head[2 * NET_FIELD_BYTES];
  char framing[NET_FIELD_BYTES] = "Connection: close\r\n";
  if (has_length)
    snprintf (framing, sizeof framing, "Content-Length: %zu\r\n", length);
  int n = snprintf (head, sizeof head,
                    "HTTP/1.1 200 OK\r\nRequest-Id: %.64s\r\n"
                    "Server-Stamp: stamp-%s\r\n%s\r\n",
                    run->id, server->id, framing);
  bool is_whole = net_write (run->connection->fd, head, (size_t)n)
                  && write_body (run, length);
  net_record (record, "%lld end %.64s %s %s", net_msec (), run->id, server->id,
              is_whole ? "answered" : "broken-off");
  return is_whole && has_length;
}

static bool
answer_other (const run_t *run, const char *status, const char *fields)
{
  char head[2 * NET_FIELD_BYTES];
  int n = snprintf (head, sizeof head,
                    "HTTP/1.1 %s\r\n%sRequest-Id: %.64s\r\n"
                    "Content-Length: 0\r\n\r\n",
                    status, fields, run->id);
  return net_write (run->connection->fd, head, (size_t)n);
}

static bool
answer_health (const run_t *run)
{
  char head[NET_FIELD_BYTES];
  int n = snprintf (head, sizeof head,
                    "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\n"
                    "Content-Length: 0\r\n\r\n",
                    run->connection->server->id);
  return net_write (run->connection->fd, head, (size_t)n);
}

/* Run what the path asks for.  */
static bool
execute (run_t *run)
{
  const server_t *server = run->connection->server;
  char method[NET_FIELD_BYTES] = "";
  sscanf (run->head.text, "%15s", method);
  net_record (record, "%lld run %.64s %s %s %s", net_msec (), run->id,
              server->id, server->service, method);
  long crash = path_number (run, "/crash-");
  if (crash >= 0)
    {
      net_sleep (crash);
      net_record (record, "%lld crash %.64s %s", net_msec (), run->id,
                  server->id);
      _exit (EXIT_FAILURE);
    }
  long pause = path_number (run, "/pause-");
  if (pause > 0)
    {
      if (!read_body (run, BLOCK_BYTES))
        return false;
      net_sleep (pause);
    }
  if (!read_body (run, run->body_left))
    {
      net_record (record, "%lld end %.64s %s body-cut-off-by-the-sender",
                  net_msec (), run->id, server->id);
      return false;
    }
  long wait = path_number (run, "/wait-");
  if (wait > 0)
    net_sleep (wait);
  long length = path_number (run, "/len-");
  if (length >= 0)
    return answer_run (run, (size_t)length, true);
  length = path_number (run, "/open-");
  if (length >= 0)
    return answer_run (run, (size_t)length, false);
  return answer_run (run, SHORT_BODY_BYTES, true);
}

/* Serve one request.  Returns false if the connection has to be closed.  */
static bool
serve_request (const connection_t *connection)
{
  static _Thread_local run_t run;
  char value[NET_FIELD_BYTES];
  run.connection = connection;
  if (!net_read_head (connection->fd, &run.head))
    return false;
  net_field (run.head.text, "Content-Length", value);
  run.body_left = strtoul (value, NULL, 10);
  size_t n_read = run.head.n_bytes - run.head.n_head;
  run.body_left -= n_read < run.body_left ? n_read : run.body_left;
  net_field (run.head.text, "Request-Id", run.id);
  sscanf (run.head.text, "%*s %255s", run.path);
  if (!connection->server)
    {
      answer_list (connection->fd);
      return true;
    }
  if (strcmp (run.path, "/health") == 0)
    return answer_health (&run);
  net_field (run.head.text, "Expect-Instance", value);
  if (value[0] && strcmp (value, connection->server->id) != 0)
    return read_body (&run, run.body_left)
           && answer_other (&run, "421 Misdirected Request",
                            "Not-Executed: 1\r\n");
  if (!run.id[0])
    return answer_other (&run, "400 Bad Request", "Not-Executed: 1\r\n");
  return execute (&run);
}

static void *
serve (void *closure)
{
  connection_t *connection = closure;
  while (serve_request (connection))
    ;
  shutdown (connection->fd, SHUT_WR);
  close (connection->fd);
  free (connection);
  return NULL;
}

/* Accept connections to SERVER, or to the list, at LISTENER for good.  */
static void
accept_all (int listener, const server_t *server)
{
  int fd;
  while ((fd = accept (listener, NULL, NULL)) >= 0)
    {
      pthread_t thread;
      connection_t *connection = calloc (1, sizeof *connection);
      if (!connection)
        abort ();
      *connection = (connection_t){ .fd = fd, .server = server };
      if (pthread_create (&thread, NULL, serve, connection) != 0)
        abort ();
      pthread_detach (thread);
    }
}

static void
start_boot (server_t *server, size_t number)
{
  struct timespec now;
  clock_gettime (CLOCK_REALTIME, &now);
  pthread_mutex_lock (&lock);
  server->started_at
      = (long long)now.tv_sec * MSEC_PER_SEC + now.tv_nsec / NSEC_PER_MSEC;
  if (server->boot == 0)
    snprintf (server->id, sizeof server->id, "i-%zu", number);
  else
    snprintf (server->id, sizeof server->id, "i-%zu-%u", number, server->boot);
  pthread_mutex_unlock (&lock);
}

/* Run a server's process, and start it again after each crash.  */
static void *
run_server (void *closure)
{
  server_t *server = closure;
  size_t number = (size_t)(server - servers) + 1;
  for (;; server->boot++)
    {
      start_boot (server, number);
      pid_t pid = fork ();
      if (pid < 0)
        abort ();
      if (pid == 0)
        {
          prctl (PR_SET_PDEATHSIG, SIGKILL);
          accept_all (net_listen (address, server->port), server);
          _exit (EXIT_FAILURE);
        }
      waitpid (pid, NULL, 0);
      net_sleep (DOWN_MSEC);
    }
  return NULL;
}

static bool
add_server (const char *text, unsigned int list_port)
{
  server_t *server = &servers[n_servers];
  if (n_servers + 1 >= SERVERS_MAX
      || sscanf (text, "%47[^:]:%47s", server->service, server->zone) != 2)
    return false;
  n_servers++;
  server->port = list_port + (unsigned int)n_servers;
  return true;
}

int
main (int argc, char **argv)
{
  if (argc < 5)
    {
      fprintf (stderr, "usage: standin-servers ADDRESS LIST_PORT RECORD "
                       "SERVICE:ZONE... [-u SERVICE:ZONE] [-e ENTRY]...\n");
      return EXIT_FAILURE;
    }
  signal (SIGPIPE, SIG_IGN);
  address = argv[1];
  unsigned int list_port = (unsigned int)strtoul (argv[2], NULL, 10);
  record = argv[3];
  for (int i = 4; i < argc; i++)
    if (strcmp (argv[i], "-e") == 0 && i + 1 < argc && n_entries < ENTRIES_MAX)
      entries[n_entries++] = argv[++i];
    else if (strcmp (argv[i], "-u") == 0 && i + 1 < argc)
      {
        servers[n_servers].is_unlisted = true;
        if (!add_server (argv[++i], list_port))
          return EXIT_FAILURE;
      }
    else if (!add_server (argv[i], list_port))
      return EXIT_FAILURE;
  for (size_t i = 0; i < n_servers; i++)
    {
      pthread_t thread;
      if (pthread_create (&thread, NULL, run_server, &servers[i]) != 0)
        return EXIT_FAILURE;
    }
  accept_all (net_listen (address, list_port), NULL);
  return EXIT_SUCCESS;
}
