/* backend_pool: what one router knows of the backend servers, and which of
   them a request goes to.

   Pure.  A router sees its own requests exactly, and those of the other
   routers through the load that a backend server reports with each answer,
   which is trusted less as it ages.  Objects (by the hash of their key) are
   kept with few backend servers, so that these remember them.  */

#ifndef BALANCE_BACKEND_POOL_H
#define BALANCE_BACKEND_POOL_H

#include "balance/backend_quality.h"
#include "balance/recent_objects.h"
#include "balance/run_estimate.h"
#include "base/list.h"
#include "base/random.h"
#include "fleet/fleet_defs.h"
#include "routing/route_defs.h"
#include "settings/fleet_settings.h"

enum
{
  POOL_EXCLUDED_MAX = 8, /* backend servers that one request avoids */
};

/* How a backend server stands with this router.  */
typedef enum
{
  BACKEND_UP,
  BACKEND_DOWN, /* its own requests failed; a probe decides */
} backend_health_t;

/* How one request to it ended.  */
typedef enum
{
  BACKEND_ANSWERED,        /* a whole answer of its own, other than a 5xx */
  BACKEND_SERVER_ERROR,    /* a whole answer that is a 5xx of its own */
  BACKEND_REFUSED,         /* it refused before it started */
  BACKEND_MISDIRECTED,     /* another backend server has its address */
  BACKEND_NO_VALID_ANSWER, /* no connection, or no whole answer */
  BACKEND_CANCELLED,       /* we ended it */
} backend_result_t;

typedef struct backend_load
{
  bool is_known;
  uint32_t running;
  uint32_t waiting;
  uint32_t slots;
} backend_load_t;

typedef struct backend
{
  list_t link;
  backend_record_t record;
  name_t region;
  uint64_t id_hash;
  bool is_listed;
  bool is_evacuated;
  double weight; /* of its slots in the order of this region's objects */

  uint32_t in_flight;      /* of this router */
  uint32_t other_load;     /* of others, when it last reported */
  usec_t load_reported_at; /* 0: never */
  double other_load_mean;  /* of its reports, smoothed */
  usec_t latency;          /* smoothed, of whole answers; 0: none yet */
  recent_objects_t recent_objects; /* that it handled for this router */

  backend_quality_t quality;
  backend_health_t health;
  uint32_t consecutive_failures;
  usec_t next_probe_at; /* when it is down: the next probe */
  bool is_probing;

  usec_t cold_until;
  double cold_rate;   /* requests a second of this router while it is cold */
  double cold_tokens; /* requests that may go now */
  usec_t cold_refilled_at; /* when the credit was worked out */
} backend_t;

typedef struct backend_pool backend_pool_t;

typedef struct backend_pool_options
{
  const fleet_settings_t *settings; /* until others are set */
  uint64_t seed;
} backend_pool_options_t;

backend_pool_t *backend_pool_new (const backend_pool_options_t *options);
void backend_pool_free (backend_pool_t *pool);

/* Follow other SETTINGS, from the next update on.  */
void backend_pool_set_settings (backend_pool_t *pool,
                                const fleet_settings_t *settings);

/* Who else routes; a cold backend server's rate is shared with those of its
   region.  */
typedef struct pool_router
{
  uint32_t address;
  name_t region;
} pool_router_t;

typedef struct pool_update
{
  const backend_list_t *list;
  const route_config_t *config; /* NULL: none yet */
  const name_t *evacuated;
  size_t n_evacuated;
  const pool_router_t *routers;
  size_t n_routers;
} pool_update_t;

/* Follow what the directors tell.  */
void backend_pool_update (backend_pool_t *pool, const pool_update_t *update,
                          usec_t now);

typedef struct pool_query
{
  const char *service;
  const route_t *route; /* for its homes; NULL: none */
  bool has_object;
  uint64_t object_hash; /* hash of the object's key */
  run_time_t run_time;  /* how long it is expected to run */
  size_t n_excluded;
  uint64_t excluded[POOL_EXCLUDED_MAX]; /* hashes of ids to avoid */
} pool_query_t;

/* The backend server to send to now; NULL where none has room.  Changes
   nothing but random numbers.  */
backend_t *backend_pool_pick (backend_pool_t *pool, const pool_query_t *query,
                              usec_t now);

/* Whether QUERY's service has any backend server that may take requests, with
   room or without.  */
bool backend_pool_has_eligible (const backend_pool_t *pool,
                                const pool_query_t *query);

/* QUERY's request goes to BACKEND.  True where BACKEND handled its object for
   this router before.  */
bool backend_pool_request_sent (backend_pool_t *pool, backend_t *backend,
                                const pool_query_t *query, usec_t now);

/* What became of a request.  */
typedef struct backend_outcome
{
  backend_result_t result;
  backend_load_t load;
  usec_t latency;
  usec_t expected_latency; /* 0: not known, or no slot was free */
} backend_outcome_t;

/* It ended.  BACKEND may be gone afterwards.  */
void backend_pool_request_ended (backend_pool_t *pool, backend_t *backend,
                                 const backend_outcome_t *outcome, usec_t now);

/* A backend server that a probe should be sent to now, marked as probing;
   NULL where there is none.  */
backend_t *backend_pool_due_probe (backend_pool_t *pool, usec_t now);

/* The probe's outcome.  COLD_LEFT is what it told.  BACKEND may be gone
   afterwards.  */
void backend_pool_probe_ended (backend_pool_t *pool, backend_t *backend,
                               bool is_healthy, usec_t cold_left, usec_t now);

/* How many requests run or wait at BACKEND, as far as is known.  */
double backend_load_at (const backend_t *backend, usec_t now);

/* Slots of SERVICE that this router may use, and the smoothed latency of its
   backend servers.  */
typedef struct pool_capacity
{
  uint32_t slots;
  usec_t mean_latency; /* 0: not known */
} pool_capacity_t;

pool_capacity_t backend_pool_capacity (const backend_pool_t *pool,
                                       const pool_query_t *query);

#endif
