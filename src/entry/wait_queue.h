/* wait_queue: the requests that wait for a slot, with a queue for each
   service.  Fair queueing by tenant (admission/fair_share) sets their order,
   so that a burst of one tenant delays mainly that tenant's own requests.  A
   tenant is the text of X-Tenant; while WAIT_QUEUE_TENANTS_MAX tenants have
   requests, all further tenants are queued as one.  For one thread only.  */

#ifndef ENTRY_WAIT_QUEUE_H
#define ENTRY_WAIT_QUEUE_H

#include "admission/fair_share.h"
#include "base/time_defs.h"
#include "placement/topology_defs.h"

enum
{
  WAIT_QUEUE_TENANTS_MAX = FAIR_SHARE_TENANTS_MAX - 1,
  WAIT_QUEUE_TENANT_BYTES = 64, /* compared of a name, with the final NUL */
};

typedef struct wait_queue wait_queue_t;

typedef enum
{
  WAIT_NOT_QUEUED, /* not in the queue */
  WAIT_QUEUED,     /* behind the requests of its fair share */
  WAIT_REQUEUED,   /* had its turn and got no slot: before those queued */
  WAIT_HEAD,       /* its turn has come */
} wait_state_t;

/* Embedded in the request's struct, which keeps it at one address while it is
   registered.  Zero it before wait_queue_register.  */
typedef struct wait_item
{
  fair_item_t fair_item;
  service_id_t service;
  tenant_id_t tenant;
  wait_state_t state;
  bool is_running; /* counts towards its tenant's running requests */
} wait_item_t;

/* For services 0 to N_SERVICES - 1.  */
wait_queue_t *wait_queue_new (size_t n_services);
void wait_queue_free (wait_queue_t *queue);

/* Register a request of TENANT for SERVICE; it is not in the queue yet.  */
void wait_queue_register (wait_queue_t *queue, wait_item_t *item,
                          service_id_t service, const char *tenant);

/* The request has ended: take it out of the queue and out of its tenant's
   counts.  Call it once for each registered item.  */
void wait_queue_unregister (wait_queue_t *queue, wait_item_t *item);

/* Whether no request for SERVICE waits.  */
bool wait_queue_is_empty (const wait_queue_t *queue, service_id_t service);

/* Put ITEM into the queue, where it is not in it; take it out.  An item that
   had its turn and returns, since another entry VM had no free slot for it,
   goes before all queued items: else it could wait its whole turn again and
   again.  */
void wait_queue_push (wait_queue_t *queue, wait_item_t *item);
void wait_queue_remove (wait_queue_t *queue, wait_item_t *item);

/* The item whose turn it is; NULL where the queue is empty.  It stays at the
   head until it runs or is removed.  */
wait_item_t *wait_queue_head (wait_queue_t *queue, service_id_t service);

/* ITEM got a slot, whether it waited or not.  */
void wait_queue_mark_running (wait_queue_t *queue, wait_item_t *item);

/* A request for SERVICE was answered at NOW after RUN_TIME at the backend
   server.  */
void wait_queue_record_answer (wait_queue_t *queue, service_id_t service,
                               usec_t run_time, usec_t now);

/* Estimates from the answers since the queue was last empty; zeros until there
   are 16.  */
typedef struct wait_estimate
{
  usec_t wait_time; /* of an item queued now, until its turn */
  usec_t run_time;  /* of one request at its backend server */
} wait_estimate_t;

/* The estimate for ITEM, whether it is in the queue or not.  */
wait_estimate_t wait_queue_estimate (const wait_queue_t *queue,
                                     const wait_item_t *item);

#endif
