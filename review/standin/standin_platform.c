/* standin-platform: the platform's list of endpoints, and the endpoints
   themselves, by the published protocol.

     standin-platform LIST_HOST:PORT FOLDER ENDPOINT...

   ENDPOINT is NAME,SERVICE,ZONE,HOST:PORT,SLOTS.  The path of a request says
   what it takes: ".../work-N/..." runs for N ms, ".../bytes-N/..." is answered
   with N bytes, ".../crash/..." crashes the endpoint if FOLDER/crashes exists.

   Files in FOLDER steer it:

     foreign         its bytes are one more entry of the list's last zone
     draining.NAME   the endpoint is listed as draining
     gone.NAME       the endpoint has ended

   A draining endpoint closes each connection with its answer.  A crashed one
   stays listed for LISTED_MSEC, and is back after DOWN_MSEC under a new id.
   Requests are recorded as "reach", "run" and "end", those that its end cut
   off as "cut".  */

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "io.h"

enum
{
  ENDPOINTS_MAX = 32,
  CONNECTIONS_MAX = 330, /* of one endpoint */
  QUEUE_MAX = 9,
  NAME_BYTES = 32,
  ID_BYTES = 64,
  LIST_BYTES = 32 * 1024,
  POLL_MSEC = 20,
  STEP_MSEC = 5, /* of waiting for a slot */
  DOWN_MSEC = 2500,
  LISTED_MSEC = 1000,
  DEADLINE_DEFAULT_MSEC = 30000,
  STATUS_OK = 200,
  STATUS_MISDIRECTED = 421,
  STATUS_UNAVAILABLE = 503,
  CHUNK_BYTES = 16 * 1024,
};

typedef struct endpoint
{
  char name[NAME_BYTES];
  char service[NAME_BYTES];
  char zone[NAME_BYTES];
  io_address_t address;
  int slots;

  pthread_mutex_t lock; /* guards all below */
  int boot;
  int listener; /* -1: it is down */
  int64_t down_since;
  bool is_draining;
  bool is_gone;
  int running;
  int waiting;
  int fds[CONNECTIONS_MAX]; /* open connections; 0: unused */
} endpoint_t;

typedef struct connection
{
  endpoint_t *endpoint; /* NULL: a connection to the list */
  int fd;
  int boot; /* of the endpoint, when the connection was accepted */
  io_stream_t stream;
  io_head_t head;
} connection_t;

static const char *folder;
static size_t n_endpoints;
static endpoint_t endpoints[ENDPOINTS_MAX];

static bool
file_exists (const char *name, const char *suffix)
{
  char path[IO_VALUE_BYTES];
  snprintf (path, sizeof path, "%s/%s%s", folder, name, suffix);
  return access (path, F_OK) == 0;
}

static void
endpoint_id (const endpoint_t *endpoint, char id[ID_BYTES])
{
  snprintf (id, ID_BYTES, "i-%s-%d", endpoint->name, endpoint->boot);
}

/* --- The list ----------------------------------------------------------- */

static size_t
append_foreign (char *text, size_t room, bool is_first)
{
  char path[IO_VALUE_BYTES];
  size_t used = 0;
  snprintf (path, sizeof path, "%s/foreign", folder);
  FILE *file = fopen (path, "r");
  if (!file)
    return 0;
  if (!is_first && room > 1)
    text[used++] = ',';
  used += fread (text + used, 1, room - used, file);
  fclose (file);
  return used;
}

static size_t
append_endpoint (endpoint_t *endpoint, char *text, size_t room, bool is_first)
{
  char id[ID_BYTES];
  pthread_mutex_lock (&endpoint->lock);
  endpoint_id (endpoint, id);
  bool is_listed = !endpoint->is_gone
                   && (endpoint->listener >= 0
                       || io_now () < endpoint->down_since + LISTED_MSEC);
  const char *state = endpoint->is_draining ? "draining" : "ready";
  pthread_mutex_unlock (&endpoint->lock);
  if (!is_listed)
    return 0;
  return (size_t)snprintf (
      text, room,
      "%s{\"service\":\"%s\",\"address\":\"%s:%d\",\"version\":\"v1\","
      "\"capacity\":%d,\"state\":\"%s\",\"cold_left\":\"0ms\",\"id\":\"%s\"}",
      is_first ? "" : ",", endpoint->service, endpoint->address.host,
      endpoint->address.port, endpoint->slots, state, id);
}

/* The table of the zones; each zone's entries follow each other.  */
static size_t
write_list (char *text)
{
  size_t used = (size_t)snprintf (text, LIST_BYTES, "{\"instances\":{");
  const char *zone = "";
  bool is_first = true;
  for (size_t i = 0; i < n_endpoints; i++)
    {
      if (strcmp (endpoints[i].zone, zone) != 0)
        {
          used += (size_t)snprintf (text + used, LIST_BYTES - used,
                                    "%s\"%s\":[", i > 0 ? "]," : "",
                                    endpoints[i].zone);
          zone = endpoints[i].zone;
          is_first = true;
        }
      size_t length = append_endpoint (&endpoints[i], text + used,
                                       LIST_BYTES - used, is_first);
      used += length;
      is_first = is_first && length == 0;
    }
  used += append_foreign (text + used, LIST_BYTES - used, is_first);
  used += (size_t)snprintf (text + used, LIST_BYTES - used,
                            "]},\"next_token\":null}");
  return used;
}

static bool
answer_list (connection_t *connection)
{
  char head[IO_VALUE_BYTES];
  char *text = calloc (1, LIST_BYTES);
  if (!text)
    abort ();
  size_t length = write_list (text);
  int n = snprintf (head, sizeof head,
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    "Content-Length: %zu\r\n\r\n",
                    length);
  bool ok = io_write (connection->fd, head, (size_t)n)
            && io_write (connection->fd, text, length);
  free (text);
  return ok;
}

/* --- Endpoints ---------------------------------------------------------- */

/* The number after NAME in the request's path; 0 if it is not there.  */
static long long
path_number (const io_head_t *head, const char *name)
{
  const char *found = strstr (head->text, name);
  return found ? strtoll (found + strlen (name), NULL, 10) : 0;
}

static bool
write_zeros (int fd, long long length)
{
  static const char zeros[CHUNK_BYTES];
  while (length > 0)
    {
      size_t part
          = length < CHUNK_BYTES ? (size_t)length : (size_t)CHUNK_BYTES;
      if (!io_write (fd, zeros, part))
        return false;
      length -= (long long)part;
    }
  return true;
}

/* False if the connection has to be closed.  */
static bool
answer (connection_t *connection, int status, const char *id,
        const char *more_headers, long long body_bytes)
{
  endpoint_t *endpoint = connection->endpoint;
  char head[1024];
  pthread_mutex_lock (&endpoint->lock);
  bool closes = endpoint->is_draining;
  int n = snprintf (
      head, sizeof head,
      "HTTP/1.1 %d X\r\nRequest-Id: %s\r\nServer-Stamp: s.%s.%d\r\n"
      "Server-Load: %d,%d,%d\r\n%s%sContent-Length: %lld\r\n\r\n",
      status, id, endpoint->name, endpoint->boot, endpoint->running,
      endpoint->waiting, endpoint->slots, more_headers,
      closes ? "Connection: close\r\n" : "", body_bytes);
  pthread_mutex_unlock (&endpoint->lock);
  return io_write (connection->fd, head, (size_t)n)
         && write_zeros (connection->fd, body_bytes) && !closes;
}

/* Whether the endpoint is still the one that accepted the connection.  */
static bool
is_same_boot (connection_t *connection)
{
  endpoint_t *endpoint = connection->endpoint;
  pthread_mutex_lock (&endpoint->lock);
  bool is_same = endpoint->boot == connection->boot && endpoint->listener >= 0;
  pthread_mutex_unlock (&endpoint->lock);
  return is_same;
}

/* Wait for a slot until DEADLINE.  False if there is none.  */
static bool
take_slot (endpoint_t *endpoint, int64_t deadline)
{
  bool waits = false;
  bool got = false;
  for (;;)
    {
      pthread_mutex_lock (&endpoint->lock);
      got = endpoint->running < endpoint->slots;
      endpoint->running += got;
      bool gives_up = !got
                      && (io_now () >= deadline
                          || (!waits && endpoint->waiting >= QUEUE_MAX));
      if (!got && !gives_up && !waits)
        endpoint->waiting++;
      if ((got || gives_up) && waits)
        endpoint->waiting--;
      pthread_mutex_unlock (&endpoint->lock);
      if (got || gives_up)
        return got;
      waits = true;
      io_sleep (STEP_MSEC);
    }
}

/* Close all connections and the port; the caller holds the lock.  */
static void
go_down (endpoint_t *endpoint)
{
  if (endpoint->listener < 0)
    return;
  shutdown (endpoint->listener, SHUT_RDWR);
  close (endpoint->listener);
  endpoint->listener = -1;
  endpoint->down_since = io_now ();
  for (size_t i = 0; i < CONNECTIONS_MAX; i++)
    if (endpoint->fds[i] > 0)
      shutdown (endpoint->fds[i], SHUT_RDWR);
  io_record ("down %s boot %d", endpoint->name, endpoint->boot);
}

static bool
run (connection_t *connection, const char *id, int64_t deadline)
{
  endpoint_t *endpoint = connection->endpoint;
  const io_head_t *head = &connection->head;
  if (!take_slot (endpoint, deadline))
    return answer (connection, STATUS_UNAVAILABLE, id,
                   "Not-Executed: full\r\n", 0);
  io_record ("run %s %s", endpoint->name, id);
  if (strstr (head->text, "/crash/") && file_exists ("crashes", ""))
    {
      pthread_mutex_lock (&endpoint->lock);
      if (endpoint->boot == connection->boot)
        go_down (endpoint);
      pthread_mutex_unlock (&endpoint->lock);
    }
  io_sleep (path_number (head, "/work-"));
  bool is_alive = is_same_boot (connection);
  pthread_mutex_lock (&endpoint->lock);
  endpoint->running--;
  pthread_mutex_unlock (&endpoint->lock);
  io_record ("%s %s %s", is_alive ? "end" : "cut", endpoint->name, id);
  return is_alive
         && answer (connection, STATUS_OK, id, "",
                    path_number (head, "/bytes-"));
}

static bool
serve_request (connection_t *connection)
{
  endpoint_t *endpoint = connection->endpoint;
  const io_head_t *head = &connection->head;
  char id[IO_VALUE_BYTES];
  char expected[IO_VALUE_BYTES];
  char deadline[IO_VALUE_BYTES];
  char own_id[ID_BYTES];
  char headers[IO_VALUE_BYTES];
  pthread_mutex_lock (&endpoint->lock);
  endpoint_id (endpoint, own_id);
  bool is_draining = endpoint->is_draining;
  pthread_mutex_unlock (&endpoint->lock);
  if (strncmp (head->text, "GET /health ", strlen ("GET /health ")) == 0)
    {
      snprintf (headers, sizeof headers, "Instance-Id: %s\r\nCold-Ms: 0\r\n",
                own_id);
      return answer (connection, is_draining ? STATUS_UNAVAILABLE : STATUS_OK,
                     "", headers, 0);
    }
  io_header (head, "Request-Id", id);
  io_header (head, "Expect-Instance", expected);
  io_header (head, "Deadline-Ms", deadline);
  if (expected[0] && strcmp (expected, own_id) != 0)
    return answer (connection, STATUS_MISDIRECTED, id,
                   "Not-Executed: other\r\n", 0);
  io_record ("reach %s %s %s", endpoint->name, id,
             is_draining ? "draining" : "ready");
  int64_t left = strtoll (deadline, NULL, 10);
  return run (connection, id,
              io_now () + (left > 0 ? left : DEADLINE_DEFAULT_MSEC));
}

static void
remember_fd (connection_t *connection, bool is_open)
{
  endpoint_t *endpoint = connection->endpoint;
  if (!endpoint)
    return;
  pthread_mutex_lock (&endpoint->lock);
  for (size_t i = 0; i < CONNECTIONS_MAX; i++)
    if (endpoint->fds[i] == (is_open ? 0 : connection->fd))
      {
        endpoint->fds[i] = is_open ? connection->fd : 0;
        break;
      }
  pthread_mutex_unlock (&endpoint->lock);
}

static void *
serve_connection (void *closure)
{
  connection_t *connection = closure;
  bool ok = true;
  remember_fd (connection, true);
  io_stream_init (&connection->stream, connection->fd);
  while (ok && io_read_head (&connection->stream, &connection->head))
    {
      ok = io_skip_body (&connection->stream, &connection->head)
           && (connection->endpoint
                   ? is_same_boot (connection) && serve_request (connection)
                   : answer_list (connection));
    }
  remember_fd (connection, false);
  close (connection->fd);
  free (connection);
  return NULL;
}

static void
accept_all (int listener, endpoint_t *endpoint, int boot)
{
  int fd;
  while ((fd = accept (listener, NULL, NULL)) >= 0)
    {
      connection_t *connection = calloc (1, sizeof *connection);
      if (!connection)
        abort ();
      connection->endpoint = endpoint;
      connection->boot = boot;
      connection->fd = fd;
      io_thread (serve_connection, connection);
    }
}

/* One boot after the other.  */
static void *
run_endpoint (void *closure)
{
  endpoint_t *endpoint = closure;
  for (;;)
    {
      int listener = io_listen (&endpoint->address);
      if (listener < 0)
        {
          fprintf (stderr, "standin-platform: can't listen on %s:%d\n",
                   endpoint->address.host, endpoint->address.port);
          exit (2);
        }
      pthread_mutex_lock (&endpoint->lock);
      int boot = ++endpoint->boot;
      endpoint->listener = listener;
      pthread_mutex_unlock (&endpoint->lock);
      accept_all (listener, endpoint, boot);
      io_sleep (DOWN_MSEC);
      pthread_mutex_lock (&endpoint->lock);
      bool is_gone = endpoint->is_gone;
      pthread_mutex_unlock (&endpoint->lock);
      if (is_gone)
        return NULL;
    }
}

static void
follow_files (void)
{
  for (size_t i = 0; i < n_endpoints; i++)
    {
      endpoint_t *endpoint = &endpoints[i];
      bool is_draining = file_exists ("draining.", endpoint->name);
      bool is_gone = file_exists ("gone.", endpoint->name);
      pthread_mutex_lock (&endpoint->lock);
      if (is_draining && !endpoint->is_draining)
        io_record ("listed-draining %s", endpoint->name);
      endpoint->is_draining = is_draining;
      if (is_gone && !endpoint->is_gone)
        {
          endpoint->is_gone = true;
          go_down (endpoint);
        }
      pthread_mutex_unlock (&endpoint->lock);
    }
}

static bool
add_endpoint (const char *text)
{
  endpoint_t *endpoint = &endpoints[n_endpoints];
  char address[32];
  if (n_endpoints == ENDPOINTS_MAX
      || sscanf (text, "%31[^,],%31[^,],%31[^,],%31[^,],%d", endpoint->name,
                 endpoint->service, endpoint->zone, address, &endpoint->slots)
             != 5
      || !io_address_parse (&endpoint->address, address))
    return false;
  pthread_mutex_init (&endpoint->lock, NULL);
  endpoint->listener = -1;
  n_endpoints++;
  return true;
}

static void *
run_list (void *closure)
{
  accept_all (*(int *)closure, NULL, 0);
  return NULL;
}

int
main (int argc, char **argv)
{
  io_address_t at;
  bool ok = argc > 3 && io_address_parse (&at, argv[1]);
  for (int i = 3; ok && i < argc; i++)
    ok = add_endpoint (argv[i]);
  int listener = ok ? io_listen (&at) : -1;
  if (listener < 0)
    {
      fprintf (stderr, "usage: standin-platform LIST_HOST:PORT FOLDER "
                       "NAME,SERVICE,ZONE,HOST:PORT,SLOTS...\n");
      return 2;
    }
  folder = argv[2];
  for (size_t i = 0; i < n_endpoints; i++)
    io_thread (run_endpoint, &endpoints[i]);
  io_thread (run_list, &listener);
  for (;;)
    {
      follow_files ();
      io_sleep (POLL_MSEC);
    }
}
