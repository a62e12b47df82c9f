/* pool_internal: what the parts of the backend pool share.  */

#ifndef BALANCE_POOL_INTERNAL_H
#define BALANCE_POOL_INTERNAL_H

#include "balance/backend_pool.h"

/* The backend servers of one service.  */
typedef struct pool_service
{
  name_t name;
  size_t n;
  backend_t **backends; /* malloc'd */
} pool_service_t;

struct backend_pool
{
  backend_pool_options_t options;
  uint32_t self; /* address */
  random_state_t random;
  list_t backends; /* by id */
  size_t n_services;
  pool_service_t *services; /* malloc'd */
  size_t n_down;            /* backend servers that a probe decides on */
};

/* The backend servers of SERVICE; an empty one where none is known.  */
const pool_service_t *pool_index_find (const backend_pool_t *pool,
                                       const char *service);
void pool_index_rebuild (backend_pool_t *pool);
/* BACKEND is about to go.  */
void pool_index_remove (backend_pool_t *pool, const backend_t *backend);
void pool_index_clear (backend_pool_t *pool);

/* Whether BACKEND, of QUERY's service, may take its request at all.  */
bool pool_is_eligible (const backend_t *backend, const pool_query_t *query);

/* Work out the weights of all backend servers.  */
void pool_weigh (backend_pool_t *pool, const pool_update_t *update);

/* Credit for one more request to a cold BACKEND; always true for others.  */
bool pool_cold_allows (const backend_t *backend, usec_t now);
void pool_cold_spend (backend_t *backend, usec_t now);
/* This router's share of the rate that a cold BACKEND bears.  */
void pool_cold_share (backend_pool_t *pool, backend_t *backend,
                      const pool_update_t *update, usec_t now);

#endif
