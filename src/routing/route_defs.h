/* route_defs: the configuration that operators give: which requests go to
   which services, and how they may be handled.  */

#ifndef ROUTING_ROUTE_DEFS_H
#define ROUTING_ROUTE_DEFS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/name_defs.h"
#include "base/time_defs.h"

enum
{
  ROUTE_TEXT_BYTES = 256, /* of a host or a path prefix, with its NUL */
};

typedef struct route_share
{
  name_t service;
  double weight; /* relative to the route's other shares */
} route_share_t;

typedef struct route
{
  name_t name;
  char host[ROUTE_TEXT_BYTES];
  char path_prefix[ROUTE_TEXT_BYTES]; /* of the path */
  bool is_idempotent;                 /* may run more than once */
  bool has_affinity; /* objects run faster where they ran lately */
  usec_t timeout;    /* the longest that a caller is kept waiting; 0: none */
  usec_t latency_objective; /* the latency that callers want */
  uint32_t priority;        /* 0: the most urgent */
  uint32_t max_attempts; /* backend servers that one request may be sent to */
  size_t n_shares;
  route_share_t *shares;
  size_t n_home_regions;
  name_t *home_regions; /* regions that may serve it; none: all */
} route_t;

typedef struct service_config
{
  name_t name;
  char health_path[ROUTE_TEXT_BYTES];
  uint32_t
      max_connections; /* that one backend server accepts, of all callers */
  usec_t
      cold_start_duration; /* how long a started backend server stays cold */
  double cold_rate;        /* requests a second that a cold one bears */
} service_config_t;

/* What a caller may send; zero: no limit.  */
typedef struct caller_limits
{
  uint64_t max_header_bytes;
  uint64_t max_body_bytes;
  usec_t header_timeout;
  usec_t idle_timeout;
} caller_limits_t;

typedef struct route_config
{
  uint64_t version;
  size_t n_routes;
  route_t *routes;
  size_t n_services;
  service_config_t *services;
  caller_limits_t limits;
} route_config_t;

#endif
