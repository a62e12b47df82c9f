/* fleet_settings: what a router or a director is told at its start.

   Routers and directors find each other at run time; the settings name just
   this VM, the failure domains, and a few directors to ask first (the seeds).
   The file is YAML; docs/OPERATIONS.md lists its keys.  */

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
  FLEET_SEEDS_MAX = 8,
};

typedef struct fleet_domain
{
  name_t name;
  name_t region;
} fleet_domain_t;

/* Promises that the operators set for the whole deployment.  */
typedef struct fleet_bounds
{
  usec_t drain;        /* until a draining backend server gets nothing new */
  usec_t grace;        /* from SIGTERM to SIGKILL */
  usec_t config_apply; /* until a configuration is in force everywhere */
  usec_t settle;       /* of calm, after which the bounds hold again */
  usec_t lookup_age;   /* the longest that callers may keep an answer */
  double retry_ratio;  /* retries as a share of a service's requests */
  double retry_base;   /* and so many more, in each RETRY_WINDOW */
  usec_t retry_window;
  double cold_overshoot; /* a cold backend server's rate times this, */
  double cold_slack;     /* and so many more, in a second */
  double shift_ratio; /* of a region's requests that may change region in 2 s
                       */
} fleet_bounds_t;

typedef struct fleet_settings
{
  name_t vm;
  char address[ADDRESS_BYTES];
  name_t domain;
  name_t region;
  inet_t requests;  /* routers: callers' requests */
  inet_t readiness; /* routers: the readiness page */
  inet_t operators; /* directors: configurations */
  inet_t lookups;   /* directors: where callers are to go */
  uint16_t peer_port;
  uint16_t metrics_port;
  name_t peer_secret; /* shared by all VMs of the deployment */
  bool first_start;   /* the whole deployment starts for the first time */
  char data_folder[SETTINGS_PATH_BYTES]; /* "": no disk */
  inet_t backend_list;      /* the service that lists the backend servers */
  double backend_list_rate; /* calls a second, of all VMs together */
  size_t n_domains;
  fleet_domain_t domains[FLEET_DOMAINS_MAX];
  size_t n_seeds;
  inet_t seeds[FLEET_SEEDS_MAX]; /* directors; the port is not used */
  fleet_bounds_t bounds;
} fleet_settings_t;

/* Read FILE.  The result is malloc'd; NULL with ERR_SETTINGS.  Bytes that no
   value takes are 0, so that two of them may be compared with memcmp.  */
fleet_settings_t *fleet_settings_load (const char *file, err_t *err);

/* The region of a failure domain; NULL where the settings don't list it.  */
const name_t *fleet_settings_region (const fleet_settings_t *settings,
                                     const char *domain);

#endif
