/* standin-client: clients that send requests on kept connections, as the
   published protocol says.

     standin-client [OPTION=VALUE]...

   directory=HOST:PORT[,HOST:PORT...]  where to ask for addresses
   host=NAME region=NAME zone=NAME     what they ask for, and where they are
   method=GET|POST path=PATH           of all requests; a number is appended
   clients=N                           connections at the same time
   gap=MSEC                            pause of a client after an answer
   stagger=MSEC                        between the starts of the clients
   for=MSEC                            then no new request is sent
   requests=N                          of each client; 0: no limit
   deadline=MSEC body=BYTES
   read=BYTES_A_SECOND                 0: as fast as possible
   tag=TEXT                            begins the ids of the requests

   Recorded are "send", "answer ID STATUS", "closed ID" (no byte of an answer
   came) and "broken ID" (the answer ended before its end).  */

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "io.h"

enum
{
  ADDRESSES_MAX = 64,
  DIRECTORIES_MAX = 8,
  ADDRESS_BYTES = 32,
  LOOKUP_MSEC = 2000, /* for which a look-up's answer is used */
  READ_BYTES = 16 * 1024,
  SLOW_RECEIVE_BYTES = 16 * 1024,
  RETRY_MSEC = 200,
  ANSWER_GRACE_MSEC = 1000, /* beyond the deadline */
};

static struct
{
  const char *directory;
  const char *host;
  const char *region;
  const char *zone;
  const char *method;
  const char *path;
  const char *tag;
  long clients;
  long gap;
  long stagger;
  long span;
  long requests;
  long deadline;
  long body;
  long read;
} options = { .method = "GET", .path = "/", .tag = "c", .clients = 1 };

typedef struct client
{
  long number;
  long n_sent;
  unsigned int random;
  int fd; /* -1: not connected */
  int64_t looked_up_at;
  int n_addresses;
  char addresses[ADDRESSES_MAX][ADDRESS_BYTES];
  io_stream_t stream;
  io_head_t head;
} client_t;

static int64_t started_at;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static long n_ended;

/* --- Where to connect --------------------------------------------------- */

static void
read_addresses (client_t *client, char *text)
{
  char *at = strstr (text, "\"addresses\":[");
  char *end = at ? strchr (at, ']') : NULL;
  client->n_addresses = 0;
  if (!end)
    return;
  *end = '\0';
  at += strlen ("\"addresses\":[");
  while ((at = strchr (at, '"')) && client->n_addresses < ADDRESSES_MAX)
    {
      size_t length = strcspn (at + 1, "\"");
      snprintf (client->addresses[client->n_addresses++], ADDRESS_BYTES,
                "%.*s", (int)length, at + 1);
      at += length + 2;
    }
}

static bool
look_up_at (client_t *client, const char *directory)
{
  io_address_t at;
  char text[4096];
  int fd = io_address_parse (&at, directory) ? io_connect (&at, 0) : -1;
  if (fd < 0)
    return false;
  int n = snprintf (text, sizeof text,
                    "GET /resolve?name=%s&region=%s&zone=%s HTTP/1.1\r\n"
                    "Host: directory\r\nConnection: close\r\n\r\n",
                    options.host, options.region, options.zone);
  io_stream_init (&client->stream, fd);
  client->n_addresses = 0;
  if (io_write (fd, text, (size_t)n)
      && io_read_head (&client->stream, &client->head))
    {
      size_t used = 0;
      long got;
      while (used < sizeof text - 1
             && (got = io_read (&client->stream, text + used,
                                sizeof text - 1 - used))
                    > 0)
        used += (size_t)got;
      text[used] = '\0';
      read_addresses (client, text);
    }
  close (fd);
  return client->n_addresses > 0;
}

/* Ask up to three directories, beginning with another one for each client.  */
static void
look_up (client_t *client)
{
  char copy[DIRECTORIES_MAX * ADDRESS_BYTES];
  char *names[DIRECTORIES_MAX];
  int n = 0;
  char *rest = NULL;
  snprintf (copy, sizeof copy, "%s", options.directory);
  for (char *name = strtok_r (copy, ",", &rest); name && n < DIRECTORIES_MAX;
       name = strtok_r (NULL, ",", &rest))
    names[n++] = name;
  for (int i = 0; i < n; i++)
    if (look_up_at (client, names[(client->number + i) % n]))
      break;
  client->looked_up_at = io_now ();
}

static bool
connect_client (client_t *client)
{
  io_address_t at;
  if (client->n_addresses == 0
      || io_now () >= client->looked_up_at + LOOKUP_MSEC)
    look_up (client);
  if (client->n_addresses == 0)
    return false;
  int i = rand_r (&client->random) % client->n_addresses;
  if (!io_address_parse (&at, client->addresses[i]))
    return false;
  client->fd = io_connect (&at, options.read > 0 ? SLOW_RECEIVE_BYTES : 0);
  io_stream_init (&client->stream, client->fd);
  return client->fd >= 0;
}

static void
disconnect (client_t *client)
{
  if (client->fd >= 0)
    close (client->fd);
  client->fd = -1;
}

/* --- Requests ----------------------------------------------------------- */

static bool
send_request (client_t *client, const char *id)
{
  char head[1024];
  static const char zeros[READ_BYTES];
  int n = snprintf (head, sizeof head,
                    "%s %s%ld HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n"
                    "Deadline-Ms: %ld\r\nContent-Length: %ld\r\n\r\n",
                    options.method, options.path, client->number, options.host,
                    id, options.deadline, options.body);
  io_set_timeout (client->fd, options.deadline + ANSWER_GRACE_MSEC);
  io_record ("send %s", id);
  if (!io_write (client->fd, head, (size_t)n))
    return false;
  for (long left = options.body; left > 0; left -= READ_BYTES)
    if (!io_write (client->fd, zeros,
                   left < READ_BYTES ? (size_t)left : (size_t)READ_BYTES))
      return false;
  return true;
}

/* Read the body at the speed that the options ask for.  */
static bool
read_body (client_t *client)
{
  char bytes[READ_BYTES];
  long long left = client->head.body_bytes;
  long long got = 0;
  int64_t first_at = io_now ();
  while (left > 0)
    {
      long n = io_read (&client->stream, bytes,
                        left < READ_BYTES ? (size_t)left : sizeof bytes);
      if (n <= 0)
        return false;
      left -= n;
      got += n;
      if (options.read > 0)
        io_sleep (first_at + got * IO_MSEC_PER_SEC / options.read - io_now ());
    }
  return true;
}

/* False if the connection can't be used again.  */
static bool
receive_answer (client_t *client, const char *id)
{
  char connection[IO_VALUE_BYTES];
  char status[4];
  if (!io_read_head (&client->stream, &client->head))
    {
      io_record ("closed %s", id);
      return false;
    }
  snprintf (status, sizeof status, "%.3s",
            client->head.text + strlen ("HTTP/1.1 "));
  io_header (&client->head, "Connection", connection);
  if (!read_body (client))
    {
      io_record ("broken %s %s of %lld bytes", id, status,
                 client->head.body_bytes);
      return false;
    }
  io_record ("answer %s %s", id, status);
  return strcmp (connection, "close") != 0;
}

static bool
is_over (const client_t *client)
{
  return io_now () >= started_at + options.span
         || (options.requests > 0 && client->n_sent >= options.requests);
}

static void *
run_client (void *closure)
{
  client_t *client = closure;
  char id[IO_VALUE_BYTES];
  io_sleep (client->number * options.stagger);
  while (!is_over (client))
    {
      if (client->fd < 0 && !connect_client (client))
        {
          io_sleep (RETRY_MSEC);
          continue;
        }
      snprintf (id, sizeof id, "%s-%ld-%ld", options.tag, client->number,
                client->n_sent++);
      bool sent = send_request (client, id);
      if (!receive_answer (client, id) || !sent)
        disconnect (client);
      io_sleep (options.gap);
    }
  disconnect (client);
  free (client);
  pthread_mutex_lock (&lock);
  n_ended++;
  pthread_mutex_unlock (&lock);
  return NULL;
}

/* --- Options ------------------------------------------------------------ */

typedef struct option
{
  const char *name;
  const char **text;
  long *number;
} option_t;

static bool
set_option (const char *argument)
{
  const option_t all[] = {
    { "directory=", &options.directory, NULL },
    { "host=", &options.host, NULL },
    { "region=", &options.region, NULL },
    { "zone=", &options.zone, NULL },
    { "method=", &options.method, NULL },
    { "path=", &options.path, NULL },
    { "tag=", &options.tag, NULL },
    { "clients=", NULL, &options.clients },
    { "gap=", NULL, &options.gap },
    { "stagger=", NULL, &options.stagger },
    { "for=", NULL, &options.span },
    { "requests=", NULL, &options.requests },
    { "deadline=", NULL, &options.deadline },
    { "body=", NULL, &options.body },
    { "read=", NULL, &options.read },
  };
  for (size_t i = 0; i < sizeof all / sizeof all[0]; i++)
    {
      size_t length = strlen (all[i].name);
      if (strncmp (argument, all[i].name, length) != 0)
        continue;
      if (all[i].text)
        *all[i].text = argument + length;
      else
        *all[i].number = strtol (argument + length, NULL, 10);
      return true;
    }
  return false;
}

int
main (int argc, char **argv)
{
  for (int i = 1; i < argc; i++)
    if (!set_option (argv[i]))
      {
        fprintf (stderr, "standin-client: unknown option %s\n", argv[i]);
        return 2;
      }
  started_at = io_now ();
  for (long i = 0; i < options.clients; i++)
    {
      client_t *client = calloc (1, sizeof *client);
      if (!client)
        abort ();
      client->number = i;
      client->random = (unsigned int)(i * 7919 + started_at);
      client->fd = -1;
      io_thread (run_client, client);
    }
  for (;;)
    {
      pthread_mutex_lock (&lock);
      bool done = n_ended == options.clients;
      pthread_mutex_unlock (&lock);
      if (done)
        return 0;
      io_sleep (RETRY_MSEC / 4);
    }
}
