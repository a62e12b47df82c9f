/* fake-raw-backend: backend servers that frame and end their responses in
   every way, also in wrong ones.

     fake-raw-backend ADDRESS FIRST_PORT N FOLDER [NAME]

   Listens on N ports, for fake-platform's list with an offset.  The last part
   of a request's path names the response (raw_backend_responses.c); some come
   twice, one in TWICE_EVERY of those of a port (see `repeats`).  "reads-late"
   pauses before it reads a request's body, "answers-early" answers first,
   "keeps-body" stores it in FOLDER/body-ID.  A
   body is BODY_BYTES long and made from the request's id; a HEAD gets none.  A
   health check is answered as by the backend server that the last request
   expected at that port, also of an earlier process (FOLDER/instance-PORT).
   Each request that is run is appended to FOLDER/runs as "ID BACKEND MSEC". If
   NAME is given, each request gets this response, also a health check;
   responses without end are in raw_backend_endless.c, and the bytes that were
   sent of each go to FOLDER/endless.  SIGUSR1 closes the listeners alone.  */

#include <arpa/inet.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "raw_backend.h"
#include "raw_client.h"
#include "raw_response.h"

enum
{
  REQUEST_BYTES = 8192,
  NAME_BYTES = 256,
  LISTEN_BACKLOG = 128,
  LISTENERS_MAX = 64,
  MSEC_PER_SEC = 1000,
  NSEC_PER_MSEC = 1000 * 1000,
  TWICE_EVERY = 8,
  TWICE_LATE_MSEC = 60,   /* at most */
  SEEN_MAX = 64,          /* requests whose ids are kept */
  READ_PAUSE_MSEC = 3200, /* more than twice the router's send timeout */
};

typedef enum
{
  REPEAT_NONE,
  REPEAT_AT_ONCE,
  REPEAT_LATE,   /* 1 to TWICE_LATE_MSEC later */
  REPEAT_BEFORE, /* before the next response on the connection */
} repeat_t;

/* Responses as "length", whole, that come twice.  */
static const struct
{
  const char *name;
  repeat_t repeat;
} repeats[] = {
  { "twice-at-once", REPEAT_AT_ONCE },
  { "twice-late", REPEAT_LATE },
  { "twice-before", REPEAT_BEFORE },
};

typedef struct port
{
  int listener;
  unsigned int number;
  unsigned int n_requests; /* guarded by LOCK */
  /* That the last request expected, also of an earlier process; guarded by
     LOCK.  */
  char instance[ID_BYTES];
} port_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static int listeners[LISTENERS_MAX];
static size_t n_listeners;
static const char *folder;
static const char *name_of_all; /* of each response; NULL: by the path */

bool
raw_backend_write (int fd, const char *bytes, size_t length)
{
  while (length > 0)
    {
      ssize_t n = send (fd, bytes, length, MSG_NOSIGNAL);
      if (n <= 0)
        return false;
      bytes += n;
      length -= (size_t)n;
    }
  return true;
}

/* The value of the field NAME in HEAD; "" if it has none.  */
static void
find_field (const char *head, const char *name, char value[ID_BYTES])
{
  size_t length = strlen (name);
  value[0] = '\0';
  for (const char *line = strstr (head, "\r\n"); line;
       line = strstr (line, "\r\n"))
    {
      line += 2;
      if (strncasecmp (line, name, length) == 0 && line[length] == ':')
        sscanf (line + length + 1, " %127[^\r]", value);
    }
}

/* Read a request's head into REQUEST, with what comes along of its body, up to
 *N_READ bytes in all; the rest of that, by its length, is *N_LEFT.  */
static bool
read_head (int fd, char request[REQUEST_BYTES], size_t *n_read, size_t *n_left)
{
  size_t used = 0;
  for (;;)
    {
      ssize_t n = recv (fd, request + used, REQUEST_BYTES - 1 - used, 0);
      if (n <= 0)
        return false;
      used += (size_t)n;
      request[used] = '\0';
      const char *end = strstr (request, "\r\n\r\n");
      if (!end)
        continue;
      char length[ID_BYTES];
      find_field (request, "Content-Length", length);
      size_t bytes = (size_t)(end - request) + 4 + strtoul (length, NULL, 10);
      *n_read = used;
      *n_left = bytes > used ? bytes - used : 0;
      return true;
    }
}

/* Read the N_LEFT bytes that are left of a body, and append them to KEPT
   unless it is NULL.  */
static bool
read_rest (int fd, size_t n_left, FILE *kept)
{
  char buffer[REQUEST_BYTES];
  while (n_left > 0)
    {
      ssize_t n = recv (fd, buffer,
                        n_left < sizeof buffer ? n_left : sizeof buffer, 0);
      if (n <= 0)
        return false;
      if (kept)
        fwrite (buffer, 1, (size_t)n, kept);
      n_left -= (size_t)n;
    }
  return true;
}

/* Store the body of REQUEST, which came with its first bytes; N_LEFT bytes are
   still to come.  */
static bool
keep_body (int fd, const char *request, size_t n_read, size_t n_left)
{
  char path[512];
  char id[ID_BYTES];
  find_field (request, "Request-Id", id);
  snprintf (path, sizeof path, "%s/body-%s", folder, id);
  FILE *kept = fopen (path, "w");
  if (!kept)
    return false;
  size_t begin = (size_t)(strstr (request, "\r\n\r\n") - request) + 4;
  fwrite (request + begin, 1, n_read - begin, kept);
  bool is_whole = read_rest (fd, n_left, kept);
  return fclose (kept) == 0 && is_whole;
}

static void
make_body (char *body, size_t body_bytes, const char *id)
{
  size_t length = strlen (id);
  for (size_t i = 0; i < body_bytes; i++)
    body[i] = (char)(length > 0 && i % 2 == 0 ? id[i / 2 % length]
                                              : 'a' + (int)(i % 26));
}

/* Whether a request with this ID came before, among the last SEEN_MAX.  */
static bool
came_before (const char *id)
{
  static char seen[SEEN_MAX][ID_BYTES]; /* guarded by LOCK */
  static size_t n_seen;
  bool is_found = false;
  pthread_mutex_lock (&lock);
  for (size_t i = 0; i < SEEN_MAX && !is_found; i++)
    is_found = strcmp (seen[i], id) == 0;
  if (!is_found)
    snprintf (seen[n_seen++ % SEEN_MAX], ID_BYTES, "%s", id);
  pthread_mutex_unlock (&lock);
  return is_found;
}

/* The response with this NAME to the request with this ID.  */
static const raw_response_t *
find_response (const char *name, const char *id)
{
  const raw_response_t *response = raw_response_find (name);
  return response->next && came_before (id)
             ? raw_response_find (response->next)
             : response;
}

/* Append "ID TEXT NUMBER" to FOLDER/FILE.  */
static void
note (const char *file_name, const char *id, const char *text,
      long long number)
{
  char path[512];
  snprintf (path, sizeof path, "%s/%s", folder, file_name);
  FILE *file = fopen (path, "a");
  if (!file)
    return;
  fprintf (file, "%s %s %lld\n", id, text, number);
  fclose (file);
}

static void
note_run (const char *id, const char *instance)
{
  struct timespec now;
  clock_gettime (CLOCK_REALTIME, &now);
  note ("runs", id, instance,
        (long long)now.tv_sec * MSEC_PER_SEC + now.tv_nsec / NSEC_PER_MSEC);
}

/* The name of the response to REQUEST: the last part of its path.  */
static void
find_name (const char *request, char name[NAME_BYTES])
{
  char path[NAME_BYTES] = "";
  sscanf (request, "%*s %255[^? ]", path);
  const char *slash = strrchr (path, '/');
  snprintf (name, NAME_BYTES, "%s",
            name_of_all ? name_of_all
            : slash     ? slash + 1
                        : "");
}

/* Whether NAME is the last part of REQUEST's path.  */
static bool
is_named (const char *request, const char *name)
{
  char path[256] = "";
  sscanf (request, "%*s %255s", path);
  const char *last = strrchr (path, '/');
  return last && strcmp (last + 1, name) == 0;
}

static repeat_t
find_repeat (const char *name)
{
  for (size_t i = 0; i < sizeof repeats / sizeof repeats[0]; i++)
    if (strcmp (name, repeats[i].name) == 0)
      return repeats[i].repeat;
  return REPEAT_NONE;
}

/* The number of PORT's next request.  */
static unsigned int
next_number (port_t *port)
{
  pthread_mutex_lock (&lock);
  unsigned int number = port->n_requests++;
  pthread_mutex_unlock (&lock);
  return number;
}

/* Send the response BYTES, and once more as REPEAT has it.  */
static bool
send_repeated (raw_client_t *client, repeat_t repeat, const char *bytes,
               size_t length)
{
  unsigned int number = next_number (client->port);
  if (!raw_backend_write (client->fd, client->held, client->n_held))
    return false;
  client->n_held = 0;
  if (!raw_backend_write (client->fd, bytes, length))
    return false;
  if (number % TWICE_EVERY != TWICE_EVERY - 1)
    return true;
  if (repeat == REPEAT_AT_ONCE)
    return raw_backend_write (client->fd, bytes, length);
  if (repeat == REPEAT_LATE)
    raw_client_send_later (client, bytes, length,
                           1 + number * 7 % TWICE_LATE_MSEC);
  if (repeat == REPEAT_BEFORE)
    {
      client->n_held = length;
      memcpy (client->held, bytes, length);
    }
  return true;
}

/* Keep INSTANCE as the one expected at PORT; if it is "", set it to the last
   one.  */
static void
expected_instance (port_t *port, char instance[ID_BYTES])
{
  pthread_mutex_lock (&lock);
  if (instance[0] && strcmp (port->instance, instance) != 0)
    {
      memcpy (port->instance, instance, ID_BYTES);
      raw_backend_store_instance (folder, port->number, instance);
    }
  memcpy (instance, port->instance, ID_BYTES);
  pthread_mutex_unlock (&lock);
}

static bool
send_chunk (int fd, const char *size, const char *bytes, size_t length)
{
  char line[64];
  int n = size ? snprintf (line, sizeof line, "%s\r\n", size)
               : snprintf (line, sizeof line, "%zx\r\n", length);
  return raw_backend_write (fd, line, (size_t)n)
         && raw_backend_write (fd, bytes, length)
         && raw_backend_write (fd, "\r\n", 2);
}

static bool
send_chunks (int fd, const raw_response_t *response, const char *body,
             size_t left)
{
  while (left > 0)
    {
      size_t length = left;
      if (response->chunk_bytes > 0 && response->chunk_bytes < left)
        length = response->chunk_bytes;
      if (!send_chunk (fd, response->size, body, length))
        return false;
      body += length;
      left -= length;
    }
  if (response->ending != ENDS_KEPT)
    return true;
  const char *trailers = response->trailers ? response->trailers : "";
  return raw_backend_write (fd, "0\r\n", 3)
         && raw_backend_write (fd, trailers, strlen (trailers))
         && raw_backend_write (fd, "\r\n", 2);
}

static bool
send_body (int fd, const raw_response_t *response, const char *id)
{
  if (response->text)
    return send_chunks (fd, response, response->text, strlen (response->text));
  char *body = malloc (response->n_sent + 1);
  if (!body)
    abort ();
  make_body (body, response->n_sent, id);
  bool is_sent = response->is_chunked
                     ? send_chunks (fd, response, body, response->n_sent)
                     : raw_backend_write (fd, body, response->n_sent);
  free (body);
  return is_sent;
}

static const raw_response_t *
choose_response (const port_t *port, const char *name, const char *id)
{
  const raw_response_t *response = find_response (name, id);
  return response->is_refused_by_odd && port->number % 2 == 1
             ? raw_response_find ("refused")
             : response;
}

/* Send HEAD, of LENGTH bytes, with the body for ID, as often as RESPONSE or
   the response NAME comes.  */
static bool
send_packet (raw_client_t *client, const raw_response_t *response,
             const char *name, const char *head, size_t length, const char *id)
{
  char packet[PACKET_BYTES];
  memcpy (packet, head, length);
  make_body (packet + length, BODY_BYTES, id);
  length += BODY_BYTES;
  if (response->copy_msec == 0)
    return send_repeated (client, find_repeat (name), packet, length);
  raw_client_send_later (client, packet, length, response->copy_msec);
  return raw_backend_write (client->fd, packet, length);
}

/* Write RESPONSE, with the NAME, HEAD of LENGTH bytes and, if HAS_BODY, the
   body for ID.  Returns false if the connection has to be closed.  */
static bool
write_response (raw_client_t *client, const raw_response_t *response,
                const char *name, const char *head, size_t length,
                const char *id, bool has_body)
{
  if (find_repeat (name) != REPEAT_NONE || response->copy_msec > 0)
    return send_packet (client, response, name, head, length, id);
  bool is_sent
      = response->is_silent || raw_backend_write (client->fd, head, length);
  if (has_body && !response->is_silent)
    is_sent = is_sent && send_body (client->fd, response, id);
  usleep (response->linger_msec * USEC_PER_MSEC);
  if (response->ending == ENDS_RESET)
    {
      const struct linger at_once = { .l_onoff = 1, .l_linger = 0 };
      setsockopt (client->fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    }
  return is_sent && response->ending == ENDS_KEPT;
}

/* Returns false if the connection has to be closed.  */
static bool
answer (raw_client_t *client, const char *request)
{
  char id[ID_BYTES];
  char instance[ID_BYTES];
  char head[HEAD_BYTES];
  char name[NAME_BYTES];
  find_name (request, name);
  find_field (request, "Request-Id", id);
  if (!id[0])
    find_field (request, "X-Request-Id", id);
  find_field (request, "Expect-Instance", instance);
  expected_instance (client->port, instance);
  const raw_response_t *response = choose_response (client->port, name, id);
  if (id[0] && !response->is_refusal)
    note_run (id, instance);
  usleep (response->pause_msec * USEC_PER_MSEC);
  if (raw_backend_is_endless (name))
    {
      size_t n_sent
          = raw_backend_send_endless (client->fd, name, id, instance);
      note ("endless", name, id, (long long)n_sent);
      return false;
    }
  int n = snprintf (head, sizeof head,
                    "HTTP/%s %s\r\nServer-Stamp: fake\r\n"
                    "Request-Id: %s\r\nX-Request-Id: %s\r\n"
                    "Instance-Id: %s\r\n%s\r\n",
                    response->version ? response->version : "1.1",
                    response->status ? response->status : "200 OK", id, id,
                    instance, response->fields);
  bool has_body = strncmp (request, "HEAD ", 5) != 0;
  pthread_mutex_lock (&client->lock);
  bool is_kept
      = write_response (client, response, name, head, (size_t)n, id, has_body);
  if (!is_kept)
    raw_client_close (client);
  pthread_mutex_unlock (&client->lock);
  return is_kept;
}

/* Returns false if the connection has to be closed.  */
static bool
serve_request (raw_client_t *client)
{
  char request[REQUEST_BYTES];
  size_t n_read = 0;
  size_t n_left = 0;
  if (!read_head (client->fd, request, &n_read, &n_left))
    return false;
  if (is_named (request, "keeps-body"))
    return keep_body (client->fd, request, n_read, n_left)
           && answer (client, request);
  if (is_named (request, "answers-early"))
    {
      bool is_kept = answer (client, request);
      usleep (READ_PAUSE_MSEC * USEC_PER_MSEC);
      return is_kept && read_rest (client->fd, n_left, NULL);
    }
  if (is_named (request, "reads-late"))
    usleep (READ_PAUSE_MSEC * USEC_PER_MSEC);
  return read_rest (client->fd, n_left, NULL) && answer (client, request);
}

static void *
serve (void *closure)
{
  raw_client_t *client = closure;
  while (serve_request (client))
    ;
  pthread_mutex_lock (&client->lock);
  raw_client_close (client);
  raw_client_release (client);
  return NULL;
}

static void *
accept_all (void *closure)
{
  port_t *port = closure;
  int fd;
  while ((fd = accept (port->listener, NULL, NULL)) >= 0)
    {
      pthread_t thread;
      raw_client_t *client = malloc (sizeof *client);
      if (!client)
        abort ();
      *client = (raw_client_t){
        .lock = PTHREAD_MUTEX_INITIALIZER, .n_users = 1, .fd = fd, .port = port
      };
      if (pthread_create (&thread, NULL, serve, client) != 0)
        abort ();
      pthread_detach (thread);
    }
  return NULL;
}

static bool
open_port (const char *address, unsigned int number)
{
  pthread_t thread;
  int on = 1;
  struct sockaddr_in at
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)number) };
  if (inet_pton (AF_INET, address, &at.sin_addr) != 1)
    return false;
  port_t *port = calloc (1, sizeof *port);
  if (!port)
    abort ();
  port->listener = socket (AF_INET, SOCK_STREAM, 0);
  port->number = number;
  raw_backend_load_instance (folder, number, port->instance);
  setsockopt (port->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (port->listener, (struct sockaddr *)&at, sizeof at) != 0
      || listen (port->listener, LISTEN_BACKLOG) != 0
      || pthread_create (&thread, NULL, accept_all, port) != 0)
    {
      free (port);
      return false;
    }
  if (n_listeners < LISTENERS_MAX)
    listeners[n_listeners++] = port->listener;
  return true;
}

/* Connections that are open stay so.  */
static void
close_listeners (void)
{
  for (size_t i = 0; i < n_listeners; i++)
    shutdown (listeners[i], SHUT_RDWR);
}

int
main (int argc, char **argv)
{
  if (argc != 5 && argc != 6)
    {
      fprintf (stderr, "usage: fake-raw-backend ADDRESS FIRST_PORT N FOLDER "
                       "[NAME]\n");
      return 2;
    }
  unsigned int first = (unsigned int)strtoul (argv[2], NULL, 10);
  unsigned int n = (unsigned int)strtoul (argv[3], NULL, 10);
  folder = argv[4];
  name_of_all = argc == 6 ? argv[5] : NULL;
  sigset_t stop;
  sigemptyset (&stop);
  sigaddset (&stop, SIGTERM);
  sigaddset (&stop, SIGUSR1);
  pthread_sigmask (SIG_BLOCK, &stop, NULL);
  for (unsigned int i = 0; i < n; i++)
    if (!open_port (argv[1], first + i))
      {
        perror ("fake-raw-backend: can't listen");
        return 1;
      }
  int number;
  while (sigwait (&stop, &number) == 0 && number == SIGUSR1)
    close_listeners ();
  return 0;
}
