/* fleet_settings: settings of a router or a director.

   Routers and directors discover each other at run time; the settings name
   only this VM, the failure domains, and a few directors to contact first (the
   seeds).  The file is YAML; docs/OPERATIONS.md lists its keys.  */

#ifndef SETTINGS_FLEET_SETTINGS_H
#define SETTINGS_FLEET_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/inet.h"
#include "base/name_defs.h"
#include "base/time_defs.h"
#include "settings/settings_defs.h"

enum
{
  FLEET_DOMAINS_MAX = 128,
  FLEET_SEEDS_MAX = 63,
};

/* backend_list_lag where the settings don't give it.  */
#define FLEET_LIST_LAG_DEFAULT (1 * USEC_PER_SEC)
/* body_memory where the settings don't give it, in bytes; it leaves room for
   the rest of a router on a VM with 160 MB.  */
#define FLEET_BODY_MEMORY_DEFAULT (64ul * 1024 * 1024)
/* bounds.lookup_age where the settings don't give it: no caller keeps an
   answer for long that no promise bounds.  */
#define FLEET_LOOKUP_AGE_DEFAULT (1 * USEC_PER_SEC)

typedef struct fleet_domain
{
  name_t name;
  name_t region;
} fleet_domain_t;

/* Time and rate limits that the operators set for the whole deployment; 0
   where one that may be missing is not given, but for lookup_age.  */
typedef struct fleet_bounds
{
  usec_t drain; /* until a draining backend server gets no new request */
  usec_t grace; /* from a process's SIGTERM to its SIGKILL */
  usec_t config_apply; /* until a configuration is in force on all VMs */
  usec_t settle;       /* without faults, after which the bounds hold again */
  usec_t lookup_age;   /* longest time that callers may cache an answer */
  double retry_ratio;  /* retries as a share of a service's requests */
  double retry_base;   /* retries on top of that in each RETRY_WINDOW */
  usec_t retry_window;
  double cold_overshoot; /* factor on a cold backend server's rate */
  double cold_slack;     /* requests per second on top of that */
  /* share of a region's requests that may change region within 2 s */
  double shift_ratio;
} fleet_bounds_t;

typedef struct fleet_settings
{
  name_t vm;
  char address[ADDRESS_BYTES];
  name_t domain;
  name_t region;
  inet_t requests;  /* routers: listens for callers' requests */
  inet_t readiness; /* routers: listens for readiness probes */
  inet_t operators; /* directors: listens for operators' configurations */
  inet_t lookups;   /* directors: listens for callers' look-ups */
  uint16_t peer_port;
  uint16_t metrics_port;
  name_t peer_secret; /* shared by all VMs of the deployment */
  bool first_start;   /* this is the first start of the whole deployment */
  char data_folder[SETTINGS_PATH_BYTES]; /* "": nothing is stored on disk */
  inet_t backend_list;      /* the service that lists the backend servers */
  double backend_list_rate; /* calls per second to it, of all VMs together */
  usec_t backend_list_lag;  /* longest delay until it shows a change */
  uint64_t body_memory;     /* routers: bytes for the bodies of requests and
                               responses, all together */
  bool shares_load;         /* routers tell each other what they hear of the
                               load of backend servers */
  size_t n_domains;
  fleet_domain_t domains[FLEET_DOMAINS_MAX];
  size_t n_seeds;
  inet_t seeds[FLEET_SEEDS_MAX]; /* directors; the port is not used */
  fleet_bounds_t bounds;
} fleet_settings_t;

/* Read and check FILE.  Returns a structure that the caller releases with
   free, or NULL with ERR_SETTINGS in ERR.  Padding and unused array elements
   are zero, so that two structures may be compared with memcmp.  */
fleet_settings_t *fleet_settings_load (const char *file, err_t *err);

/* The region of the failure domain DOMAIN, or NULL if SETTINGS doesn't list
   that domain.  The result points into SETTINGS.  */
const name_t *fleet_settings_region (const fleet_settings_t *settings,
                                     const char *domain);

#endif
