/* wait_queue: requests that wait for a slot, a line for each service, in turn
   by tenant (admission/fair_share), so that a burst of one tenant waits behind
   itself.  A tenant is the text of X-Tenant; beyond WAIT_QUEUE_TENANTS_MAX at
   once the others share one account.  One thread's.  */

#ifndef ENTRY_WAIT_QUEUE_H
#define ENTRY_WAIT_QUEUE_H

#include "admission/fair_share.h"
#include "base/time_defs.h"
#include "placement/topology_defs.h"

enum
{
  WAIT_QUEUE_TENANTS_MAX = FAIR_SHARE_TENANTS_MAX - 1,
  WAIT_QUEUE_TENANT_BYTES
  = 64, /* of its name that count, with the closing NUL */
};

typedef struct wait_queue wait_queue_t;

typedef enum
{
  WAIT_NOT_QUEUED, /* not in the line */
  WAIT_QUEUED,
  WAIT_REQUEUED, /* had its turn and found no slot: before the others */
  WAIT_HEAD,     /* its turn has come */
} wait_state_t;

/* In the request's own struct; zeroed before wait_queue_register.  */
typedef struct wait_item
{
  fair_item_t fair_item;
  service_id_t service;
  tenant_id_t tenant;
  wait_state_t state;
  bool is_running; /* counts as its tenant's running work */
} wait_item_t;

wait_queue_t *wait_queue_new (size_t n_services);
void wait_queue_free (wait_queue_t *line);

/* A request of TENANT for SERVICE begins; it isn't in the line yet.  */
void wait_queue_register (wait_queue_t *line, wait_item_t *item,
                          service_id_t service, const char *tenant);

/* It is over: out of the line and off its tenant's account.  */
void wait_queue_unregister (wait_queue_t *line, wait_item_t *item);

bool wait_queue_is_empty (const wait_queue_t *line, service_id_t service);

/* Put ITEM into the line where it isn't in it; take it out.  One that had its
   turn and comes back (another entry VM had no slot for it after all) goes
   before all others, else it would wait anew and again.  */
void wait_queue_push (wait_queue_t *line, wait_item_t *item);
void wait_queue_remove (wait_queue_t *line, wait_item_t *item);

/* Whose turn it is; NULL where nobody waits.  It stays the first until it
   runs or is taken out.  */
wait_item_t *wait_queue_head (wait_queue_t *line, service_id_t service);

/* ITEM has its slot, with or without having waited.  */
void wait_queue_mark_running (wait_queue_t *line, wait_item_t *item);

/* A request for SERVICE was answered at NOW; its run took RAN.  */
void wait_queue_record_answer (wait_queue_t *line, service_id_t service,
                               usec_t ran, usec_t now);

/* What the answers since the line was last empty tell; zeros while they are
   too few.  */
typedef struct wait_estimate
{
  usec_t wait_time; /* of an item that comes now, until its turn */
  usec_t run_time;  /* of one request */
} wait_estimate_t;

/* For ITEM, whether it is in the line yet or not.  */
wait_estimate_t wait_queue_estimate (const wait_queue_t *line,
                                     const wait_item_t *item);

#endif
