#include "entry/wait_queue.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  ESTIMATE_SAMPLES_MIN = 16, /* answers, before there is an estimate */
  AVERAGE_SAMPLES_MAX = 64,  /* the weight of a new sample is 1/64 at least */
};

typedef struct service_queue
{
  fair_share_t fair_share;
  wait_item_t *head;
  list_t requeued; /* of wait_item_t, by fair_item.link */
  size_t n_requeued;
  /* Since the queue was last empty: */
  usec_t last_answer_at; /* time of the last answer; 0: none */
  double
      answer_interval; /* moving average of the time between answers, usec */
  double run_time; /* moving average of the time at the backend server, usec */
  size_t n_answered;
} service_queue_t;

/* A tenant's name; the record is free where the tenant has no requests.  */
typedef struct tenant_record
{
  char name[WAIT_QUEUE_TENANT_BYTES];
  size_t n_requests;
} tenant_record_t;

struct wait_queue
{
  tenant_record_t tenants[WAIT_QUEUE_TENANTS_MAX];
  size_t n_services;
  service_queue_t services[];
};

wait_queue_t *
wait_queue_new (size_t n_services)
{
  wait_queue_t *queue
      = calloc (1, sizeof *queue + n_services * sizeof queue->services[0]);
  if (!queue)
    abort ();
  queue->n_services = n_services;
  for (size_t i = 0; i < n_services; i++)
    {
      fair_share_init (&queue->services[i].fair_share);
      list_init (&queue->services[i].requeued);
    }
  return queue;
}

void
wait_queue_free (wait_queue_t *queue)
{
  free (queue);
}

static tenant_id_t
find_tenant (wait_queue_t *queue, const char *name)
{
  tenant_id_t free_index = WAIT_QUEUE_TENANTS_MAX;
  for (size_t i = 0; i < WAIT_QUEUE_TENANTS_MAX; i++)
    {
      if (strcmp (queue->tenants[i].name, name) == 0)
        return (tenant_id_t)i;
      if (queue->tenants[i].n_requests == 0
          && free_index == WAIT_QUEUE_TENANTS_MAX)
        free_index = (tenant_id_t)i;
    }
  if (free_index < WAIT_QUEUE_TENANTS_MAX)
    memcpy (queue->tenants[free_index].name, name, strlen (name) + 1);
  return free_index;
}

void
wait_queue_register (wait_queue_t *queue, wait_item_t *item,
                     service_id_t service, const char *tenant)
{
  char name[WAIT_QUEUE_TENANT_BYTES];
  snprintf (name, sizeof name, "%s", tenant);
  item->service = service;
  item->tenant = find_tenant (queue, name);
  if (item->tenant < WAIT_QUEUE_TENANTS_MAX)
    queue->tenants[item->tenant].n_requests++;
}

void
wait_queue_unregister (wait_queue_t *queue, wait_item_t *item)
{
  wait_queue_remove (queue, item);
  if (item->is_running)
    fair_share_end (&queue->services[item->service].fair_share, item->tenant);
  item->is_running = false;
  if (item->tenant < WAIT_QUEUE_TENANTS_MAX)
    queue->tenants[item->tenant].n_requests--;
}

bool
wait_queue_is_empty (const wait_queue_t *queue, service_id_t service)
{
  const service_queue_t *service_queue = &queue->services[service];
  return !service_queue->head && service_queue->n_requeued == 0
         && service_queue->fair_share.n_queued == 0;
}

void
wait_queue_push (wait_queue_t *queue, wait_item_t *item)
{
  if (item->state != WAIT_NOT_QUEUED)
    return;
  service_queue_t *service_queue = &queue->services[item->service];
  if (item->is_running)
    {
      item->state = WAIT_REQUEUED;
      list_push_back (&service_queue->requeued, &item->fair_item.link);
      service_queue->n_requeued++;
      return;
    }
  item->state = WAIT_QUEUED;
  fair_share_push (&service_queue->fair_share, &item->fair_item, item->tenant);
}

void
wait_queue_remove (wait_queue_t *queue, wait_item_t *item)
{
  service_queue_t *service_queue = &queue->services[item->service];
  if (item->state == WAIT_QUEUED)
    fair_share_remove (&service_queue->fair_share, &item->fair_item);
  if (item->state == WAIT_REQUEUED)
    {
      list_remove (&item->fair_item.link);
      service_queue->n_requeued--;
    }
  if (item->state == WAIT_HEAD)
    service_queue->head = NULL;
  item->state = WAIT_NOT_QUEUED;
  if (!wait_queue_is_empty (queue, item->service))
    return;
  service_queue->last_answer_at = 0;
  service_queue->n_answered = 0;
}

wait_item_t *
wait_queue_head (wait_queue_t *queue, service_id_t service)
{
  service_queue_t *service_queue = &queue->services[service];
  if (service_queue->head)
    return service_queue->head;
  list_t *requeued = list_pop_front (&service_queue->requeued);
  fair_item_t *item = requeued ? LIST_ENTRY (requeued, fair_item_t, link)
                               : fair_share_pop (&service_queue->fair_share);
  if (!item)
    return NULL;
  if (requeued)
    service_queue->n_requeued--;
  service_queue->head = LIST_ENTRY (item, wait_item_t, fair_item);
  service_queue->head->state = WAIT_HEAD;
  return service_queue->head;
}

static void
update_mean (double *mean, double value, size_t n)
{
  *mean += (value - *mean)
           / (double)(n < AVERAGE_SAMPLES_MAX ? n : AVERAGE_SAMPLES_MAX);
}

void
wait_queue_record_answer (wait_queue_t *queue, service_id_t service,
                          usec_t run_time, usec_t now)
{
  service_queue_t *service_queue = &queue->services[service];
  if (wait_queue_is_empty (queue, service))
    return;
  if (service_queue->last_answer_at > 0)
    {
      service_queue->n_answered++;
      update_mean (&service_queue->answer_interval,
                   (double)(now - service_queue->last_answer_at),
                   service_queue->n_answered);
      update_mean (&service_queue->run_time, (double)run_time,
                   service_queue->n_answered);
    }
  service_queue->last_answer_at = now;
}

wait_estimate_t
wait_queue_estimate (const wait_queue_t *queue, const wait_item_t *item)
{
  const service_queue_t *service_queue = &queue->services[item->service];
  if (service_queue->n_answered < ESTIMATE_SAMPLES_MIN)
    return (wait_estimate_t){ 0 };
  size_t n_ahead = fair_share_ahead (&service_queue->fair_share, item->tenant)
                   + service_queue->n_requeued + 1;
  return (wait_estimate_t){
    .wait_time = (usec_t)((double)n_ahead * service_queue->answer_interval),
    .run_time = (usec_t)service_queue->run_time
  };
}

void
wait_queue_mark_running (wait_queue_t *queue, wait_item_t *item)
{
  service_queue_t *service_queue = &queue->services[item->service];
  wait_queue_remove (queue, item);
  if (!item->is_running)
    fair_share_run (&service_queue->fair_share, item->tenant, 1);
  item->is_running = true;
}
