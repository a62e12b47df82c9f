/* fair_share: one queue shared fairly by several tenants (start-time fair
   queueing).

   Each item has a start tag: the later of the queue's virtual time and the
   finish tag of its tenant's previous item.  The item with the lowest tag is
   served first, so a burst of one tenant delays its own items and not those of
   other tenants.  A tenant may use the share that others leave unused; a
   tenant that becomes active again is served next, and running items are not
   interrupted.  The number of tenants is bounded: tenant identifiers are taken
   modulo FAIR_SHARE_TENANTS_MAX, so those above it share accounts.  Items are
   intrusive; nothing is allocated after the start.  Pure.  */

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

/* Embedded in the struct of the code that queues it, which owns it.  */
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
  double finish; /* virtual time at which the tenant's last item ends */
} fair_tenant_t;

typedef struct fair_share
{
  fair_tenant_t tenants[FAIR_SHARE_TENANTS_MAX];
  size_t n_queued;
  uint32_t n_running;
  double virtual_time;
} fair_share_t;

void fair_share_init (fair_share_t *fair);

/* Append ITEM to the queue of TENANT; it must stay valid until it is
   removed.  */
void fair_share_push (fair_share_t *fair, fair_item_t *item,
                      tenant_id_t tenant);

/* Remove and return the next item of the queue; NULL where the queue is empty.
   Call fair_share_run when the item starts to run.  */
fair_item_t *fair_share_pop (fair_share_t *fair);

/* Remove ITEM from the queue, for example because its caller disconnected or
   its deadline passed.  */
void fair_share_remove (fair_share_t *fair, fair_item_t *item);

/* An item of TENANT starts to run, whether or not it was queued.  COST is its
   amount of service, 1 for an ordinary request.  */
void fair_share_run (fair_share_t *fair, tenant_id_t tenant, double cost);

/* An item of TENANT ended.  */
void fair_share_end (fair_share_t *fair, tenant_id_t tenant);

/* Number of tenants with running or queued items, TENANT always included.  */
size_t fair_share_active (const fair_share_t *fair, tenant_id_t tenant);

/* Number of items expected to be served before a new one of TENANT: the queued
   items with an earlier tag, and those that the other active tenants may still
   send with an earlier tag, up to the length of the queue.  */
size_t fair_share_ahead (const fair_share_t *fair, tenant_id_t tenant);

/* The item to remove where the queue may hold only LIMIT items: the newest one
   of the tenant with the longest queue, if that tenant has more than its fair
   part of LIMIT; NULL otherwise.  The item stays queued.  */
fair_item_t *fair_share_victim (fair_share_t *fair, size_t limit);

#endif
