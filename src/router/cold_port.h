/* cold_port: tells the other routers which backend servers are cold, and hears
   it of them, by UDP datagrams between the peer ports (fleet/cold_spread).
   Used by the traffic thread only.  */

#ifndef ROUTER_COLD_PORT_H
#define ROUTER_COLD_PORT_H

#include "balance/backend_pool.h"
#include "fleet/cold_spread.h"
#include "router/poller.h"
#include "router/router_metrics.h"
#include "settings/fleet_settings.h"

typedef struct cold_port cold_port_t;

typedef struct cold_port_options
{
  poller_t *poller;
  const fleet_settings_t *settings; /* read by cold_port_open only */
  const unsigned char *key;         /* COLD_DATAGRAM_KEY_BYTES bytes, copied */
  uint64_t incarnation;
  router_metrics_t *metrics;
  void *closure;
  /* Another router told N REPORTS.  */
  void (*heard) (void *closure, const cold_report_t *reports, size_t n,
                 usec_t now);
} cold_port_options_t;

/* If the port can't be opened, that is logged, and the port tells and hears
   nothing: directors still do.  */
cold_port_t *cold_port_open (const cold_port_options_t *options);
void cold_port_close (cold_port_t *port);

/* The N routers of the newest list.  */
void cold_port_set_routers (cold_port_t *port, const pool_router_t *routers,
                            size_t n);

/* Datagrams have arrived.  */
void cold_port_socket_ready (cold_port_t *port, usec_t now);

/* Send what is due of SEEN, what this router has seen.  Returns the monotonic
   time of the next call; INT64_MAX: when something is seen or heard.  */
usec_t cold_port_tick (cold_port_t *port, const cold_table_t *seen,
                       const cold_directors_t *directors, usec_t now);

#endif
