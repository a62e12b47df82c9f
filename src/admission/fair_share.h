/* fair_share: rival tenants in one queue, by start-time fair queueing.

   Each item carries a tag: the later of the queue's virtual time and its
   tenant's last finish.  The least tag goes first, so a burst of one tenant
   waits behind itself and not before others.  Unused share is lent at once;
   a tenant that comes back is served next and nothing that runs is cut.
   The number of tenants is bounded: those above it share one account.
   Items are intrusive; nothing is allocated after the start.  Pure.  */

#ifndef ADMISSION_FAIR_SHARE_H
#define ADMISSION_FAIR_SHARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/list.h"

enum
{
  FAIR_SHARE_TENANTS_MAX = 64,
};

typedef uint16_t tenant_id_t;

/* In a caller's own struct.  */
typedef struct fair_item
{
  list_t link;
  tenant_id_t tenant;
  double start; /* tag in virtual time */
} fair_item_t;

typedef struct fair_tenant
{
  list_t queue;
  size_t n_queued;
  uint32_t n_running;
  double finish; /* virtual time at which its last item ends */
} fair_tenant_t;

typedef struct fair_share
{
  fair_tenant_t tenants[FAIR_SHARE_TENANTS_MAX];
  size_t n_queued;
  uint32_t n_running;
  double virtual_time;
} fair_share_t;

void fair_share_init (fair_share_t *fair);

void fair_share_push (fair_share_t *fair, fair_item_t *item,
                      tenant_id_t tenant);

/* Take the next item off the queue; NULL where it is empty.  Charge it as
   running with fair_share_run.  */
fair_item_t *fair_share_pop (fair_share_t *fair);

/* Take ITEM out of the queue (its caller went, or its deadline passed).  */
void fair_share_remove (fair_share_t *fair, fair_item_t *item);

/* An item of TENANT runs, with or without having been queued; COST is its
   part of the service, 1 for an ordinary request.  */
void fair_share_run (fair_share_t *fair, tenant_id_t tenant, double cost);

void fair_share_end (fair_share_t *fair, tenant_id_t tenant);

/* Tenants that run or wait now, counting TENANT.  */
size_t fair_share_active (const fair_share_t *fair, tenant_id_t tenant);

/* How many items are expected to be served before a new one of TENANT: what
   is queued with an earlier tag, and what the other tenants that are active
   now may still send with one, up to the whole queue.  */
size_t fair_share_ahead (const fair_share_t *fair, tenant_id_t tenant);

/* The last item of the tenant with the longest queue where that tenant holds
   more than a fair part of LIMIT; NULL otherwise.  It stays queued.  */
fair_item_t *fair_share_victim (fair_share_t *fair, size_t limit);

#endif
