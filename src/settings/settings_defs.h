/* settings_defs: what a settings file says.  One file serves all VMs of an
   organisation; a process is told which VM it is on its command line.  */

#ifndef SETTINGS_SETTINGS_DEFS_H
#define SETTINGS_SETTINGS_DEFS_H

#include "placement/topology_defs.h"

enum
{
  SETTINGS_PATH_BYTES = 256,
};

/* TCP ports, the same on every VM.  */
typedef struct settings_ports
{
  uint16_t caller;          /* entry: look-ups and requests, HTTP */
  uint16_t entry_peer;      /* entry: RPC */
  uint16_t entry_metrics;   /* entry: metrics, HTTP */
  uint16_t admin;           /* control: administration, HTTP */
  uint16_t control_peer;    /* control: RPC */
  uint16_t control_metrics; /* control: metrics, HTTP */
} settings_ports_t;

typedef struct settings_limits
{
  uint32_t body_bytes;         /* of one request or answer */
  uint32_t caller_connections; /* to one entry VM */
  uint32_t requests_in_flight; /* in one entry VM */
  uint32_t tickets;            /* claims remembered by one entry VM */
  usec_t ticket_lifetime;
  usec_t deadline_max;    /* the longest that a caller may ask */
  usec_t lookup_age;      /* how long a caller may cache a look-up */
  usec_t pull_interval;   /* between asking for a newer version */
  usec_t connection_idle; /* before an unused connection is closed */
} settings_limits_t;

typedef struct settings
{
  topology_t topology;
  settings_ports_t ports;
  settings_limits_t limits;
  char key_file[SETTINGS_PATH_BYTES];       /* for calls between VMs */
  char data_folder[SETTINGS_PATH_BYTES];    /* of the control process */
  char operators_file[SETTINGS_PATH_BYTES]; /* operators' keys; "": none */
} settings_t;

#endif
