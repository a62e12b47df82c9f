#include "router/cold_port.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/log.h"

enum
{
  /* Datagrams that are read before the traffic thread goes on.  */
  READ_MAX = 64,
  DROP_MAX = 4096,
};

#define EXPIRY_INTERVAL USEC_PER_SEC
/* After a longer time without a tick the process was paused, and what has
   arrived does not say when what is left of its times was read.  */
#define PAUSE_MIN USEC_PER_SEC

struct cold_port
{
  cold_port_options_t options;
  unsigned char key[COLD_DATAGRAM_KEY_BYTES];
  uint32_t self;
  uint16_t number; /* of the port, the same at all routers */
  watch_t watch;   /* its descriptor is -1 if the port is not open */
  cold_spread_t spread;
  uint64_t sequence; /* of the last datagram that was sent */
  usec_t next_expiry_at;
  usec_t ticked_at; /* 0: never */
};

static struct sockaddr_in
socket_address (uint32_t address, uint16_t number)
{
  return (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_port = htons (number),
                               .sin_addr.s_addr = htonl (address) };
}

static bool
open_socket (cold_port_t *port)
{
  const struct sockaddr_in at = socket_address (port->self, port->number);
  port->watch = (watch_t){
    .kind = WATCH_COLD_PORT,
    .fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)
  };
  if (port->watch.fd < 0)
    return false;
  if (bind (port->watch.fd, (const struct sockaddr *)&at, sizeof at) == 0
      && poller_add (port->options.poller, &port->watch, POLLER_READABLE))
    return true;
  int error = errno;
  close (port->watch.fd);
  port->watch.fd = -1;
  errno = error;
  return false;
}

cold_port_t *
cold_port_open (const cold_port_options_t *options)
{
  cold_port_t *port = calloc (1, sizeof *port);
  if (!port)
    abort ();
  port->options = *options;
  memcpy (port->key, options->key, sizeof port->key);
  port->number = options->settings->peer_port;
  inet_parse_address (&port->self, options->settings->address);
  cold_spread_init (&port->spread, port->self, options->incarnation);
  if (!open_socket (port))
    LOG_EVENT (LOG_LEVEL_WARNING, "cold_port_not_open",
               LOG_U ("port", port->number), LOG_I ("errno", errno));
  return port;
}

void
cold_port_close (cold_port_t *port)
{
  if (port->watch.fd >= 0)
    {
      poller_remove (port->options.poller, &port->watch);
      close (port->watch.fd);
    }
  cold_spread_clear (&port->spread);
  free (port);
}

void
cold_port_set_routers (cold_port_t *port, const pool_router_t *routers,
                       size_t n)
{
  uint32_t *addresses = calloc (n + 1, sizeof *addresses);
  if (!addresses)
    abort ();
  for (size_t i = 0; i < n; i++)
    addresses[i] = routers[i].address;
  cold_spread_set_routers (&port->spread, addresses, n);
  free (addresses);
}

static const char *const verdict_names[] = {
  [COLD_DATAGRAM_GOOD] = "not_later",
  [COLD_DATAGRAM_FORGED] = "forged",
  [COLD_DATAGRAM_MALFORMED] = "malformed",
  [COLD_DATAGRAM_OTHER_FORMAT] = "other_format",
};

/* LENGTH bytes at BYTES came from FROM.  */
static void
hear (cold_port_t *port, const struct sockaddr_in *from,
      const unsigned char *bytes, size_t length, usec_t now)
{
  cold_datagram_t datagram
      = { .from = ntohl (from->sin_addr.s_addr), .to = port->self };
  cold_datagram_verdict_t verdict
      = cold_datagram_read (&datagram, port->key, now, bytes, length);
  if (verdict != COLD_DATAGRAM_GOOD
      || !cold_spread_hear (&port->spread, &datagram, now))
    router_metrics_cold_datagram_ignored (port->options.metrics,
                                          verdict_names[verdict]);
  else
    port->options.heard (port->options.closure, datagram.reports, datagram.n,
                         now);
}

/* Drop what has arrived while the process was paused.  */
static void
drop_late (cold_port_t *port, usec_t now)
{
  char byte;
  if (port->ticked_at == 0 || now - port->ticked_at <= PAUSE_MIN)
    return;
  port->ticked_at = now;
  for (int i = 0;
       i < DROP_MAX && recv (port->watch.fd, &byte, sizeof byte, 0) >= 0; i++)
    router_metrics_cold_datagram_ignored (port->options.metrics, "late");
}

void
cold_port_socket_ready (cold_port_t *port, usec_t now)
{
  drop_late (port, now);
  for (int i = 0; i < READ_MAX; i++)
    {
      unsigned char bytes[COLD_DATAGRAM_BYTES_MAX + 1];
      struct sockaddr_in from = { 0 };
      socklen_t from_bytes = sizeof from;
      ssize_t length = recvfrom (port->watch.fd, bytes, sizeof bytes, 0,
                                 (struct sockaddr *)&from, &from_bytes);
      if (length < 0)
        return;
      hear (port, &from, bytes, (size_t)length, now);
    }
}

/* A datagram that the network has no room for is lost, as on its way.  */
static void
send_batch (cold_port_t *port, const cold_batch_t *batch, usec_t now)
{
  cold_datagram_t datagram = { .from = port->self,
                               .incarnation = port->options.incarnation,
                               .groups = batch->groups,
                               .n = batch->n };
  memcpy (datagram.reports, batch->reports, batch->n * sizeof *batch->reports);
  size_t n_sent = 0;
  for (size_t i = 0; i < batch->n_to; i++)
    {
      unsigned char bytes[COLD_DATAGRAM_BYTES_MAX];
      const struct sockaddr_in to
          = socket_address (batch->to[i], port->number);
      datagram.to = batch->to[i];
      datagram.sequence = ++port->sequence;
      size_t length = cold_datagram_write (&datagram, port->key, now, bytes);
      if (sendto (port->watch.fd, bytes, length, 0,
                  (const struct sockaddr *)&to, sizeof to)
          >= 0)
        n_sent++;
    }
  LOG_EVENT (LOG_LEVEL_INFO, "routers_told_cold", LOG_U ("backends", batch->n),
             LOG_U ("routers", n_sent), LOG_U ("failed", batch->n_to - n_sent),
             LOG_U ("groups", batch->groups));
  router_metrics_cold_datagrams_sent (port->options.metrics, n_sent);
}

usec_t
cold_port_tick (cold_port_t *port, const cold_table_t *seen,
                const cold_directors_t *directors, usec_t now)
{
  static cold_batch_t batch;
  if (port->watch.fd < 0)
    return INT64_MAX;
  drop_late (port, now);
  port->ticked_at = now;
  if (now >= port->next_expiry_at)
    {
      port->next_expiry_at = now + EXPIRY_INTERVAL;
      cold_spread_expire (&port->spread, now);
    }
  cold_spread_see (&port->spread, seen, directors, now);
  while (cold_spread_next (&port->spread, now, &batch))
    send_batch (port, &batch, now);
  return cold_spread_due_at (&port->spread);
}
