/* pool_internal: what the parts of the backend pool share.  */

#ifndef BALANCE_POOL_INTERNAL_H
#define BALANCE_POOL_INTERNAL_H

#include "balance/backend_pool.h"

struct backend_pool
{
  backend_pool_options_t options;
  uint32_t self; /* address */
  random_state_t random;
  list_t backends;
};

/* Whether BACKEND may take QUERY's request at all.  */
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
