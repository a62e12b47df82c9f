/* route_defs: types of the routing configuration, which operators supply:
   which requests go to which services, and how requests may be handled.  */

#ifndef ROUTING_ROUTE_DEFS_H
#define ROUTING_ROUTE_DEFS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/name_defs.h"
#include "base/time_defs.h"

enum
{
  ROUTE_TEXT_BYTES = 256,          /* host or path, including the NUL */
  ROUTE_CONFIG_VERSION_DIGITS = 8, /* hexadecimal */
};

/* The highest version of a configuration.  */
#define ROUTE_CONFIG_VERSION_MAX UINT32_MAX

/* The part of a route's requests that one service gets.  */
typedef struct route_share
{
  name_t service;
  double weight; /* relative to the route's other shares; finite, 0 or more */
} route_share_t;

typedef struct route
{
  name_t name;
  char host[ROUTE_TEXT_BYTES];
  char path_prefix[ROUTE_TEXT_BYTES];
  bool is_idempotent; /* a request may run more than once */
  /* Requests with the same affinity key run faster at a backend server that
     handled the key recently.  */
  bool has_affinity;
  bool is_anonymous;        /* a request needs no client account */
  usec_t timeout;           /* maximum time until the answer; 0: none */
  usec_t latency_objective; /* target latency; 0: none */
  uint32_t priority;        /* 0: highest priority */
  uint32_t max_attempts;    /* backend servers tried per request; >= 1 */
  size_t n_shares;
  route_share_t *shares;
  size_t n_home_regions;
  name_t *home_region_names; /* that may serve the route; none: all */
} route_t;

/* A service; its cold-start values apply to each of its backend servers.  */
typedef struct service_config
{
  name_t name;
  char health_path[ROUTE_TEXT_BYTES]; /* of the health check */
  uint32_t max_connections;   /* that one backend server accepts in total */
  usec_t cold_start_duration; /* from the start of a backend server */
  double cold_rate; /* requests per second that a cold one can handle */
} service_config_t;

/* A client account.  Its requests carry one of its keys.  */
typedef struct client_account
{
  name_t name;
  uint64_t id; /* a hash of NAME, the same in every configuration */
  bool has_priority;
  uint32_t priority; /* replaces the route's; valid if has_priority */
  double rate;       /* quota in requests per second, of all routers together;
                        0: no limit */
  double burst;      /* requests on top of that at once */
  size_t n_keys;
  char **keys; /* secrets: not for logs, errors or metrics */
  size_t n_home_regions;
  name_t *home_region_names; /* that may serve the account; none: all */
} client_account_t;

/* A key in the index of keys.  */
typedef struct account_key
{
  uint64_t hash;
  const char *text; /* owned by the account */
  const client_account_t *account;
} account_key_t;

/* Limits for a caller's request; 0: no limit.  */
typedef struct caller_limits
{
  uint64_t max_header_bytes;
  uint64_t max_body_bytes;
  usec_t header_timeout;
  usec_t idle_timeout;
} caller_limits_t;

/* A complete configuration; free it with route_config_free.  */
typedef struct route_config
{
  uint64_t version; /* a newer configuration has a higher one; at most
                       ROUTE_CONFIG_VERSION_MAX */
  size_t n_routes;
  route_t *routes;
  size_t n_services;
  service_config_t *services;
  caller_limits_t limits;
  bool has_accounts; /* a request needs a key, but for anonymous routes */
  size_t n_accounts;
  client_account_t *accounts;
  size_t n_keys;
  account_key_t *key_index; /* of all accounts, by hash; account_index_keys */
} route_config_t;

#endif
