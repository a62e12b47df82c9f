/* pool_internal: declarations shared by the source files of the backend
   pool.  */

#ifndef BALANCE_POOL_INTERNAL_H
#define BALANCE_POOL_INTERNAL_H

#include "balance/backend_pool.h"

/* The backend servers of one service.  */
typedef struct pool_service
{
  name_t name;
  size_t n;
  backend_t **backends; /* malloc'd; the backend servers are borrowed */
} pool_service_t;

struct backend_pool
{
  backend_pool_options_t options;
  uint32_t self; /* address of this router */
  random_state_t random;
  list_t backends; /* sorted by id; owned */
  size_t n_services;
  pool_service_t *services; /* malloc'd */
  size_t n_down;            /* backend servers that are BACKEND_DOWN */
  bool has_wanted_probes;   /* one that is not BACKEND_DOWN may want a probe */
  backend_notices_t notices;
  cold_table_t colds; /* all that was seen and told, also of unlisted ones */
  size_t n_by_id;
  backend_t **by_load_id; /* malloc'd; all, by the id in load reports */
  backend_t **by_id_hash; /* the same ones, by the hash of their id */
};

enum
{
  /* A leaving backend server serves for the time `drain`; what is sent to it
     in the first part of that time can still end.  */
  LAST_RESORT_DIVISOR = 2,
};

/* Where this router stands in the order of a backend server, which is another
   one for each.  */
typedef struct region_rank
{
  size_t rank; /* routers before it; SIZE_MAX: it is not listed, and has no
                  share, as the others divide all among themselves */
  size_t n;    /* routers in the order */
} region_rank_t;

/* The order is that of the routers of BACKEND's region; those that are cut off
   from backend servers do not count, unless all are.  */
region_rank_t pool_region_rank (const backend_pool_t *pool,
                                const backend_t *backend,
                                const pool_update_t *update);

/* Returns the backend servers of SERVICE; an empty entry if there are none.
   Valid until the index changes.  */
const pool_service_t *pool_index_find (const backend_pool_t *pool,
                                       const char *service);
void pool_index_rebuild (backend_pool_t *pool);
/* Returns the backend server whose id has the hash ID_HASH, or NULL.  */
backend_t *pool_index_find_id (const backend_pool_t *pool, uint64_t id_hash);
/* Must be called before BACKEND is freed.  */
void pool_index_remove (backend_pool_t *pool, const backend_t *backend);
void pool_index_clear (backend_pool_t *pool);

/* Returns whether BACKEND, of QUERY's service, may get the request, if it does
   not leave.  */
bool pool_may_serve (const backend_t *backend, const pool_query_t *query);

/* Returns whether BACKEND, of QUERY's service, is eligible for the request,
   regardless of free capacity, health, rest and cold start.  */
bool pool_is_eligible (const backend_t *backend, const pool_query_t *query);

/* Returns whether BACKEND has said that it leaves so recently that it may get
   the request if no other is eligible.  */
bool pool_is_last_resort (const backend_pool_t *pool, const backend_t *backend,
                          const pool_query_t *query, usec_t now);

/* Records that TOTAL requests ran or waited at BACKEND at AT, and its PACE. */
void pool_load_update (backend_t *backend, uint32_t total, uint32_t pace,
                       usec_t at);

/* Sets BACKEND's notice to what its present start has said before.  */
void pool_notices_load (const backend_pool_t *pool, backend_t *backend);

/* Keeps that the list shows BACKEND leaving, if it does, also for the time
   after it is freed.  */
void pool_notices_keep_draining (backend_pool_t *pool, backend_t *backend,
                                 usec_t now);

/* Sets the rendezvous weights of all backend servers.  */
void pool_update_weights (backend_pool_t *pool, const pool_update_t *update);

/* Discards what was observed of BACKEND's last start, but not its health.  */
void pool_forget_start (backend_t *backend);

/* Returns whether a cold BACKEND may get one more request; true if BACKEND is
   not cold.  */
bool pool_cold_start_allows (const backend_t *backend, usec_t now);
/* BACKEND is cold until UNTIL, as it said itself or is listed.  */
void pool_cold_start_set (backend_t *backend, usec_t until);
/* BACKEND is warm at UNTIL at the latest.  Returns true if it was not limited
   at NOW before.  */
bool pool_cold_start_suspect (backend_t *backend, usec_t until, usec_t now);
/* If this router may send nothing to BACKEND at NOW as others share the rate
   that it bears, returns until when; otherwise 0, also if that is not known.
 */
usec_t pool_cold_start_closed_until (const backend_t *backend, usec_t now);
/* Whether BACKEND has refused a connection since the latest start that is
   known.  */
bool pool_cold_start_is_suspect (const backend_t *backend, usec_t now);
/* When BACKEND is to be probed by this router, if by its state alone it would
   be at AT.  */
usec_t pool_cold_start_probe_at (const backend_t *backend, usec_t at,
                                 usec_t now);
/* Takes one token if BACKEND is cold.  */
void pool_cold_start_take (backend_t *backend, usec_t now);
/* Takes part of a token if BACKEND is cold.  */
void pool_cold_start_take_probe (backend_t *backend, usec_t now);
/* Sets the part of the cold-start request rate of BACKEND that this router may
   use.  */
void pool_cold_start_set_rate (backend_pool_t *pool, backend_t *backend,
                               const pool_update_t *update,
                               const region_rank_t *place, usec_t now);

/* Sets this router's place among those that may share BACKEND's limit.  */
void pool_limit_set_place (const backend_pool_t *pool, backend_t *backend,
                           const pool_update_t *update,
                           const region_rank_t *rank);
/* Whether BACKEND's limit allows one more request or health check.  */
bool pool_limit_allows (const backend_t *backend, usec_t now);
/* A request or health check is sent to BACKEND.  */
void pool_limit_take (backend_t *backend, usec_t now);
/* If other routers share BACKEND's limit, returns when this one may try it;
   otherwise 0.  */
usec_t pool_limit_closed_until (const backend_t *backend, usec_t now);
/* Whether BACKEND's limit is less than what its slots allow.  */
bool pool_limit_binds (const backend_t *backend);
/* Requests a second that this router may send to BACKEND; valid if it has a
   limit.  */
double pool_limit_rate (const backend_t *backend);
/* Another router told LIMIT of BACKEND, heard at AT.  Returns whether it has
   changed.  */
bool pool_limit_hear_told (backend_pool_t *pool, backend_t *backend,
                           load_limit_t limit, usec_t at, usec_t now);
/* Keeps BACKEND's notice, also for the time after it is freed.  */
void pool_notices_store (backend_pool_t *pool, backend_t *backend, usec_t now);

#endif
