#include "entry/wait_queue.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  ESTIMATE_SAMPLES_MIN = 16, /* answers before they are believed */
  AVERAGE_SAMPLES_MAX = 64,  /* answers that an average remembers */
};

typedef struct service_queue
{
  fair_share_t fair_share;
  wait_item_t *head;
  list_t requeued; /* of wait_item_t, by fair.link */
  size_t n_requeued;
  /* Since the line was last empty: */
  usec_t last_answer_at;  /* the last answer; 0: none */
  double answer_interval; /* moving average between two answers, usec */
  double run_time;        /* moving average of a run, usec */
  size_t n_answered;
} service_queue_t;

/* One tenant's name; anyone's where no request of it is under way.  */
typedef struct account
{
  char name[WAIT_QUEUE_TENANT_BYTES];
  size_t n_requests;
} account_t;

struct wait_queue
{
  account_t accounts[WAIT_QUEUE_TENANTS_MAX];
  size_t n_services;
  service_queue_t services[];
};

wait_queue_t *
wait_queue_new (size_t n_services)
{
  wait_queue_t *line
      = calloc (1, sizeof *line + n_services * sizeof line->services[0]);
  if (!line)
    abort ();
  line->n_services = n_services;
  for (size_t i = 0; i < n_services; i++)
    {
      fair_share_init (&line->services[i].fair_share);
      list_init (&line->services[i].requeued);
    }
  return line;
}

void
wait_queue_free (wait_queue_t *line)
{
  free (line);
}

static tenant_id_t
find_account (wait_queue_t *line, const char *name)
{
  tenant_id_t unused = WAIT_QUEUE_TENANTS_MAX;
  for (size_t i = 0; i < WAIT_QUEUE_TENANTS_MAX; i++)
    {
      if (strcmp (line->accounts[i].name, name) == 0)
        return (tenant_id_t)i;
      if (line->accounts[i].n_requests == 0
          && unused == WAIT_QUEUE_TENANTS_MAX)
        unused = (tenant_id_t)i;
    }
  if (unused < WAIT_QUEUE_TENANTS_MAX)
    memcpy (line->accounts[unused].name, name, strlen (name) + 1);
  return unused;
}

void
wait_queue_register (wait_queue_t *line, wait_item_t *item,
                     service_id_t service, const char *tenant)
{
  char name[WAIT_QUEUE_TENANT_BYTES];
  snprintf (name, sizeof name, "%s", tenant);
  item->service = service;
  item->tenant = find_account (line, name);
  if (item->tenant < WAIT_QUEUE_TENANTS_MAX)
    line->accounts[item->tenant].n_requests++;
}

void
wait_queue_unregister (wait_queue_t *line, wait_item_t *item)
{
  wait_queue_remove (line, item);
  if (item->is_running)
    fair_share_end (&line->services[item->service].fair_share, item->tenant);
  item->is_running = false;
  if (item->tenant < WAIT_QUEUE_TENANTS_MAX)
    line->accounts[item->tenant].n_requests--;
}

bool
wait_queue_is_empty (const wait_queue_t *line, service_id_t service)
{
  const service_queue_t *of = &line->services[service];
  return !of->head && of->n_requeued == 0 && of->fair_share.n_queued == 0;
}

void
wait_queue_push (wait_queue_t *line, wait_item_t *item)
{
  if (item->state != WAIT_NOT_QUEUED)
    return;
  service_queue_t *of = &line->services[item->service];
  if (item->is_running)
    {
      item->state = WAIT_REQUEUED;
      list_push_back (&of->requeued, &item->fair_item.link);
      of->n_requeued++;
      return;
    }
  item->state = WAIT_QUEUED;
  fair_share_push (&of->fair_share, &item->fair_item, item->tenant);
}

void
wait_queue_remove (wait_queue_t *line, wait_item_t *item)
{
  service_queue_t *of = &line->services[item->service];
  if (item->state == WAIT_QUEUED)
    fair_share_remove (&of->fair_share, &item->fair_item);
  if (item->state == WAIT_REQUEUED)
    {
      list_remove (&item->fair_item.link);
      of->n_requeued--;
    }
  if (item->state == WAIT_HEAD)
    of->head = NULL;
  item->state = WAIT_NOT_QUEUED;
  if (!wait_queue_is_empty (line, item->service))
    return;
  of->last_answer_at = 0;
  of->n_answered = 0;
}

wait_item_t *
wait_queue_head (wait_queue_t *line, service_id_t service)
{
  service_queue_t *of = &line->services[service];
  if (of->head)
    return of->head;
  list_t *returned = list_pop_front (&of->requeued);
  fair_item_t *fair = returned ? LIST_ENTRY (returned, fair_item_t, link)
                               : fair_share_pop (&of->fair_share);
  if (!fair)
    return NULL;
  if (returned)
    of->n_requeued--;
  of->head = LIST_ENTRY (fair, wait_item_t, fair_item);
  of->head->state = WAIT_HEAD;
  return of->head;
}

static void
average (double *mean, double value, size_t n)
{
  *mean += (value - *mean)
           / (double)(n < AVERAGE_SAMPLES_MAX ? n : AVERAGE_SAMPLES_MAX);
}

void
wait_queue_record_answer (wait_queue_t *line, service_id_t service, usec_t ran,
                          usec_t now)
{
  service_queue_t *of = &line->services[service];
  if (wait_queue_is_empty (line, service))
    return;
  if (of->last_answer_at > 0)
    {
      of->n_answered++;
      average (&of->answer_interval, (double)(now - of->last_answer_at),
               of->n_answered);
      average (&of->run_time, (double)ran, of->n_answered);
    }
  of->last_answer_at = now;
}

wait_estimate_t
wait_queue_estimate (const wait_queue_t *line, const wait_item_t *item)
{
  const service_queue_t *of = &line->services[item->service];
  if (of->n_answered < ESTIMATE_SAMPLES_MIN)
    return (wait_estimate_t){ 0 };
  size_t ahead
      = fair_share_ahead (&of->fair_share, item->tenant) + of->n_requeued + 1;
  return (wait_estimate_t){ .wait_time
                            = (usec_t)((double)ahead * of->answer_interval),
                            .run_time = (usec_t)of->run_time };
}

void
wait_queue_mark_running (wait_queue_t *line, wait_item_t *item)
{
  service_queue_t *of = &line->services[item->service];
  wait_queue_remove (line, item);
  if (!item->is_running)
    fair_share_run (&of->fair_share, item->tenant, 1);
  item->is_running = true;
}
