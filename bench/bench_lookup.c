/* bench-lookup: look-ups a second in the pure table and over HTTP.

     bench-lookup                       the table, and a bare HTTP handler
     bench-lookup ADDRESS:PORT PATH     the same, and GET PATH at an entry VM

   The table is built at the size to design for and at a quarter and a half of
   it, so that time and memory have a slope.  Over HTTP the bare handler (a
   fixed two-byte body, one network thread) and the entry VM take turns under
   the same load, and the median of the turns is told.  */

#include <arpa/inet.h>
#include <errno.h>
#include <microhttpd.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/histogram.h"
#include "base/random.h"
#include "placement/lookup_table.h"

enum
{
  BLOCKS = 110000,
  SITES = 400,
  REGIONS = 18,
  DOMAINS = 64,
  SIZES = 3, /* a quarter, a half and the whole */
  PROBES = 1 << 20,
  FINDS = 50 * 1000 * 1000,
  BUILDS = 5,
  SEED = 7,

  CONNECTIONS = 64,
  LOAD_THREADS = 2,
  TURNS = 3,
  TURN_SECONDS = 3,
  BARE_PORT = 18080,
  BUFFER_BYTES = 4096,
  REQUEST_BYTES = 512,
};

static const char bare_address[] = "127.44.9.1";

/* --- The pure table ----------------------------------------------------- */

/* A system at SCALE quarters of the size to design for.  */
typedef struct world
{
  lookup_site_t sites[SITES];
  uint32_t region_share[REGIONS];
  region_id_t block_region[BLOCKS];
  lookup_table_options_t options;
} world_t;

static void
world_fill (world_t *world, size_t scale, size_t full)
{
  random_state_t random;
  random_seed (&random, SEED);
  size_t n_sites = SITES * scale / full;
  size_t n_blocks = BLOCKS * scale / full;
  for (size_t i = 0; i < n_sites; i++)
    world->sites[i]
        = (lookup_site_t){ .vm = (vm_id_t)i,
                           .region = (region_id_t)(i % REGIONS),
                           .domain = (domain_id_t)(i % DOMAINS),
                           .weight = 50 + random_below (&random, 100) };
  for (size_t i = 0; i < REGIONS; i++)
    world->region_share[i] = 50 + random_below (&random, 100);
  for (size_t i = 0; i < n_blocks; i++)
    world->block_region[i] = (region_id_t)random_below (&random, REGIONS);
  world->options
      = (lookup_table_options_t){ .sites = world->sites,
                                  .n_sites = n_sites,
                                  .n_regions = REGIONS,
                                  .region_share = world->region_share,
                                  .block_region = world->block_region,
                                  .n_blocks = n_blocks };
}

static lookup_table_t *
build (const world_t *world, usec_t *took)
{
  err_t err = { 0 };
  usec_t start = clock_monotonic ();
  lookup_table_t *table = lookup_table_new (&world->options, &err);
  *took = clock_monotonic () - start;
  if (!table)
    {
      fprintf (stderr, "bench-lookup: %s\n", err.message);
      exit (EXIT_FAILURE);
    }
  return table;
}

/* Look-ups a second of TABLE on one core, blocks in random order.  */
static double
find_rate (const lookup_table_t *table, size_t n_blocks)
{
  static uint32_t probe[PROBES];
  random_state_t random;
  random_seed (&random, SEED);
  for (size_t i = 0; i < PROBES; i++)
    probe[i] = (uint32_t)random_below (&random, n_blocks);
  uint64_t sum = 0;
  usec_t start = clock_monotonic ();
  for (size_t i = 0; i < FINDS; i++)
    sum += lookup_table_find (table, probe[i % PROBES]).vms[0];
  double seconds = (double)(clock_monotonic () - start) / USEC_PER_SEC;
  if (sum == 0)
    puts ("all look-ups gave the first VM");
  return FINDS / seconds;
}

static void
bench_table (void)
{
  static world_t world;
  printf ("%-24s %8s %6s %14s %10s %10s\n", "table", "blocks", "sites",
          "look-ups/s", "bytes", "build ms");
  for (size_t scale = 1; scale <= 4; scale *= 2)
    {
      world_fill (&world, scale, 4);
      usec_t best = INT64_MAX;
      lookup_table_t *table = NULL;
      for (int i = 0; i < BUILDS; i++)
        {
          usec_t took;
          lookup_table_free (table);
          table = build (&world, &took);
          best = took < best ? took : best;
        }
      printf ("%-24s %8zu %6zu %14.0f %10zu %10.2f\n", "", /* one row */
              world.options.n_blocks, world.options.n_sites,
              find_rate (table, world.options.n_blocks),
              lookup_table_bytes (table), (double)best / USEC_PER_MSEC);
      lookup_table_free (table);
    }
}

/* --- Load over HTTP ----------------------------------------------------- */

typedef struct target
{
  const char *name;
  struct sockaddr_in address;
  char request[REQUEST_BYTES];
  double rate[TURNS];
  usec_t p99[TURNS];
} target_t;

typedef struct connection
{
  int fd;
  usec_t sent_at;
  size_t length;
  char buffer[BUFFER_BYTES];
} connection_t;

/* One thread's share of the load.  */
typedef struct load
{
  const target_t *target;
  usec_t end;
  uint64_t n_answers;
  uint64_t n_bad;
  histogram_t latency;
  connection_t connections[CONNECTIONS / LOAD_THREADS];
} load_t;

static void
die (const char *what)
{
  fprintf (stderr, "bench-lookup: %s: %s\n", what, strerror (errno));
  exit (EXIT_FAILURE);
}

static void
send_request (const target_t *target, connection_t *connection)
{
  size_t length = strlen (target->request);
  connection->length = 0;
  connection->sent_at = clock_monotonic ();
  if (send (connection->fd, target->request, length, MSG_NOSIGNAL)
      != (ssize_t)length)
    die ("send");
}

static void
connection_open (const target_t *target, connection_t *connection, int poll)
{
  const int on = 1;
  connection->fd = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (connection->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect (connection->fd, (const struct sockaddr *)&target->address,
               sizeof target->address)
      != 0)
    die ("connect");
  struct epoll_event event = { .events = EPOLLIN, .data.ptr = connection };
  epoll_ctl (poll, EPOLL_CTL_ADD, connection->fd, &event);
  send_request (target, connection);
}

/* Whether a whole answer stands in the buffer.  */
static bool
answer_is_whole (const connection_t *connection)
{
  static const char key[] = "Content-Length: ";
  const char *end = strstr (connection->buffer, "\r\n\r\n");
  const char *length = strcasestr (connection->buffer, key);
  if (!end || !length || length > end)
    return false;
  size_t body = strtoul (length + strlen (key), NULL, 10);
  size_t header = (size_t)(end - connection->buffer) + 4;
  return connection->length >= header + body;
}

/* Read what came; an answer that is whole is counted and asked again.  */
static void
connection_read (load_t *load, connection_t *connection)
{
  ssize_t n = recv (connection->fd, connection->buffer + connection->length,
                    BUFFER_BYTES - 1 - connection->length, MSG_DONTWAIT);
  if (n < 0 && errno == EAGAIN)
    return;
  if (n <= 0)
    die ("connection ended");
  connection->length += (size_t)n;
  connection->buffer[connection->length] = '\0';
  if (!answer_is_whole (connection))
    return;
  load->n_answers++;
  load->n_bad += strncmp (connection->buffer, "HTTP/1.1 200", 12) != 0;
  histogram_record (&load->latency, clock_monotonic () - connection->sent_at);
  send_request (load->target, connection);
}

static void *
load_run (void *closure)
{
  load_t *load = closure;
  const int n = CONNECTIONS / LOAD_THREADS;
  struct epoll_event events[CONNECTIONS / LOAD_THREADS];
  int poll = epoll_create1 (0);
  for (int i = 0; i < n; i++)
    connection_open (load->target, &load->connections[i], poll);
  while (clock_monotonic () < load->end)
    {
      int ready = epoll_wait (poll, events, n, 100);
      for (int i = 0; i < ready; i++)
        connection_read (load, events[i].data.ptr);
    }
  for (int i = 0; i < n; i++)
    close (load->connections[i].fd);
  close (poll);
  return NULL;
}

static void
target_turn (target_t *target, int turn)
{
  load_t *loads = calloc (LOAD_THREADS, sizeof *loads);
  pthread_t threads[LOAD_THREADS];
  usec_t start = clock_monotonic ();
  uint64_t n_answers = 0;
  uint64_t n_bad = 0;
  for (int i = 0; i < LOAD_THREADS; i++)
    {
      loads[i].target = target;
      loads[i].end = start + TURN_SECONDS * USEC_PER_SEC;
      pthread_create (&threads[i], NULL, load_run, &loads[i]);
    }
  for (int i = 0; i < LOAD_THREADS; i++)
    {
      pthread_join (threads[i], NULL);
      n_answers += loads[i].n_answers;
      n_bad += loads[i].n_bad;
      if (i > 0)
        histogram_merge (&loads[0].latency, &loads[i].latency);
    }
  target->rate[turn] = (double)n_answers / TURN_SECONDS;
  target->p99[turn] = histogram_quantile (&loads[0].latency, 0.99);
  if (n_bad > 0)
    printf ("%s: %llu answers were not 200\n", target->name,
            (unsigned long long)n_bad);
  free (loads);
}

static enum MHD_Result
serve_bare (void *closure, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *body,
            size_t *body_bytes, void **state)
{
  (void)url;
  (void)method;
  (void)version;
  (void)body;
  (void)body_bytes;
  if (!*state)
    {
      *state = closure;
      return MHD_YES;
    }
  return MHD_queue_response (connection, MHD_HTTP_OK, closure);
}

static void
target_init (target_t *target, const char *name, const char *address,
             uint16_t port, const char *path)
{
  target->name = name;
  target->address = (struct sockaddr_in){ .sin_family = AF_INET,
                                          .sin_port = htons (port) };
  if (inet_pton (AF_INET, address, &target->address.sin_addr) != 1)
    die ("address");
  snprintf (target->request, sizeof target->request,
            "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, address);
}

static int
compare_double (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;
  return (x > y) - (x < y);
}

/* Print the medians; returns that of the rate.  */
static double
target_report (target_t *target)
{
  usec_t worst = 0;
  for (int i = 0; i < TURNS; i++)
    worst = target->p99[i] > worst ? target->p99[i] : worst;
  qsort (target->rate, TURNS, sizeof target->rate[0], compare_double);
  printf ("%-24s %10.0f a second (%.0f to %.0f), worst p99 %.2f ms\n",
          target->name, target->rate[TURNS / 2], target->rate[0],
          target->rate[TURNS - 1], (double)worst / USEC_PER_MSEC);
  return target->rate[TURNS / 2];
}

static struct MHD_Daemon *
bare_start (target_t *bare, struct MHD_Response *response)
{
  target_init (bare, "bare handler", bare_address, BARE_PORT, "/");
  struct MHD_Daemon *daemon = MHD_start_daemon (
      MHD_USE_EPOLL_INTERNAL_THREAD, BARE_PORT, NULL, NULL, serve_bare,
      response, MHD_OPTION_SOCK_ADDR, &bare->address, MHD_OPTION_END);
  if (!daemon)
    die ("the bare handler's port");
  return daemon;
}

/* ENTRY is ADDRESS:PORT or NULL.  */
static void
bench_http (const char *entry, const char *path)
{
  target_t targets[2] = { 0 };
  int n_targets = 1;
  struct MHD_Response *response = MHD_create_response_from_buffer (
      2, (void *)"ok", MHD_RESPMEM_PERSISTENT);
  struct MHD_Daemon *daemon = bare_start (&targets[0], response);
  if (entry)
    {
      char address[32];
      snprintf (address, sizeof address, "%s", entry);
      char *colon = strchr (address, ':');
      if (!colon)
        die ("ADDRESS:PORT");
      *colon = '\0';
      target_init (&targets[n_targets++], "entry VM", address,
                   (uint16_t)strtoul (colon + 1, NULL, 10), path);
    }
  for (int turn = 0; turn < TURNS; turn++)
    for (int i = 0; i < n_targets; i++)
      target_turn (&targets[i], turn);
  printf ("over HTTP, %d kept-alive connections, %d turns of %d s\n",
          CONNECTIONS, TURNS, TURN_SECONDS);
  double bare = target_report (&targets[0]);
  if (entry)
    printf ("entry VM / bare: %.2f (goal 0.70)\n",
            target_report (&targets[1]) / bare);
  MHD_stop_daemon (daemon);
  MHD_destroy_response (response);
}

int
main (int argc, char **argv)
{
  bench_table ();
  bench_http (argc > 2 ? argv[1] : NULL, argc > 2 ? argv[2] : NULL);
  return EXIT_SUCCESS;
}
