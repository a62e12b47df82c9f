/* settings_defs: contents of a settings file.  All VMs of an organisation use
   the same file; the command line of a process names its own VM.  */

#ifndef SETTINGS_SETTINGS_DEFS_H
#define SETTINGS_SETTINGS_DEFS_H

#include "placement/topology_defs.h"

enum
{
  SETTINGS_PATH_BYTES = 256, /* with the terminating null */
};

/* TCP ports, the same on every VM.  */
typedef struct settings_ports
{
  uint16_t caller;          /* entry: callers' look-ups and requests, HTTP */
  uint16_t entry_peer;      /* entry: RPC */
  uint16_t entry_metrics;   /* entry: metrics, HTTP */
  uint16_t admin;           /* control: administration, HTTP */
  uint16_t control_peer;    /* control: RPC */
  uint16_t control_metrics; /* control: metrics, HTTP */
} settings_ports_t;

typedef struct settings_limits
{
  uint32_t body_bytes;         /* of one request or answer */
  uint32_t caller_connections; /* open to one entry VM */
  uint32_t requests_in_flight; /* on one entry VM */
  uint32_t tickets;            /* claimed tickets stored by one entry VM */
  usec_t ticket_lifetime;
  usec_t deadline_max;    /* longest deadline that a caller may set */
  usec_t lookup_age;      /* how long a caller may cache a look-up */
  usec_t pull_interval;   /* between requests for a newer version */
  usec_t connection_idle; /* after which an unused connection is closed */
} settings_limits_t;

typedef struct settings
{
  topology_t topology;
  settings_ports_t ports;
  settings_limits_t limits;
  char key_file[SETTINGS_PATH_BYTES];    /* key that signs calls between VMs */
  char data_folder[SETTINGS_PATH_BYTES]; /* of the control process */
  char operators_file[SETTINGS_PATH_BYTES]; /* operators' keys; "": none */
} settings_t;

#endif
