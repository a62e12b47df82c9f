#include "entry/wait_line.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  PACE_SAMPLES = 16, /* answers before they are believed */
  PACE_MEMORY = 64,  /* answers that an average remembers */
};

typedef struct service_line
{
  fair_share_t fair;
  wait_item_t *first;
  list_t returned; /* of wait_item_t, by fair.link */
  size_t n_returned;
  /* Since the line was last empty: */
  usec_t answered_at; /* the last answer; 0: none */
  double pace;        /* moving average between two answers, usec */
  double run;         /* moving average of a run, usec */
  size_t n_answered;
} service_line_t;

/* One tenant's name; anyone's where no request of it is under way.  */
typedef struct account
{
  char name[TENANT_BYTES];
  size_t n_requests;
} account_t;

struct wait_line
{
  account_t accounts[TENANTS_NAMED];
  size_t n_services;
  service_line_t services[];
};

wait_line_t *
wait_line_new (size_t n_services)
{
  wait_line_t *line
      = calloc (1, sizeof *line + n_services * sizeof line->services[0]);
  if (!line)
    abort ();
  line->n_services = n_services;
  for (size_t i = 0; i < n_services; i++)
    {
      fair_share_init (&line->services[i].fair);
      list_init (&line->services[i].returned);
    }
  return line;
}

void
wait_line_free (wait_line_t *line)
{
  free (line);
}

static tenant_id_t
find_account (wait_line_t *line, const char *name)
{
  tenant_id_t unused = TENANTS_NAMED;
  for (size_t i = 0; i < TENANTS_NAMED; i++)
    {
      if (strcmp (line->accounts[i].name, name) == 0)
        return (tenant_id_t)i;
      if (line->accounts[i].n_requests == 0 && unused == TENANTS_NAMED)
        unused = (tenant_id_t)i;
    }
  if (unused < TENANTS_NAMED)
    memcpy (line->accounts[unused].name, name, strlen (name) + 1);
  return unused;
}

void
wait_line_enter (wait_line_t *line, wait_item_t *item, service_id_t service,
                 const char *tenant)
{
  char name[TENANT_BYTES];
  snprintf (name, sizeof name, "%s", tenant);
  item->service = service;
  item->tenant = find_account (line, name);
  if (item->tenant < TENANTS_NAMED)
    line->accounts[item->tenant].n_requests++;
}

void
wait_line_leave (wait_line_t *line, wait_item_t *item)
{
  wait_line_remove (line, item);
  if (item->runs)
    fair_share_end (&line->services[item->service].fair, item->tenant);
  item->runs = false;
  if (item->tenant < TENANTS_NAMED)
    line->accounts[item->tenant].n_requests--;
}

bool
wait_line_is_empty (const wait_line_t *line, service_id_t service)
{
  const service_line_t *of = &line->services[service];
  return !of->first && of->n_returned == 0 && of->fair.n_queued == 0;
}

void
wait_line_push (wait_line_t *line, wait_item_t *item)
{
  if (item->place != WAIT_OUT)
    return;
  service_line_t *of = &line->services[item->service];
  if (item->runs)
    {
      item->place = WAIT_RETURNED;
      list_push_back (&of->returned, &item->fair.link);
      of->n_returned++;
      return;
    }
  item->place = WAIT_QUEUED;
  fair_share_push (&of->fair, &item->fair, item->tenant);
}

void
wait_line_remove (wait_line_t *line, wait_item_t *item)
{
  service_line_t *of = &line->services[item->service];
  if (item->place == WAIT_QUEUED)
    fair_share_remove (&of->fair, &item->fair);
  if (item->place == WAIT_RETURNED)
    {
      list_remove (&item->fair.link);
      of->n_returned--;
    }
  if (item->place == WAIT_FIRST)
    of->first = NULL;
  item->place = WAIT_OUT;
  if (!wait_line_is_empty (line, item->service))
    return;
  of->answered_at = 0;
  of->n_answered = 0;
}

wait_item_t *
wait_line_first (wait_line_t *line, service_id_t service)
{
  service_line_t *of = &line->services[service];
  if (of->first)
    return of->first;
  list_t *returned = list_pop_front (&of->returned);
  fair_item_t *fair = returned ? LIST_ENTRY (returned, fair_item_t, link)
                               : fair_share_pop (&of->fair);
  if (!fair)
    return NULL;
  if (returned)
    of->n_returned--;
  of->first = LIST_ENTRY (fair, wait_item_t, fair);
  of->first->place = WAIT_FIRST;
  return of->first;
}

static void
average (double *mean, double value, size_t n)
{
  *mean += (value - *mean) / (double)(n < PACE_MEMORY ? n : PACE_MEMORY);
}

void
wait_line_answered (wait_line_t *line, service_id_t service, usec_t ran,
                    usec_t now)
{
  service_line_t *of = &line->services[service];
  if (wait_line_is_empty (line, service))
    return;
  if (of->answered_at > 0)
    {
      of->n_answered++;
      average (&of->pace, (double)(now - of->answered_at), of->n_answered);
      average (&of->run, (double)ran, of->n_answered);
    }
  of->answered_at = now;
}

wait_forecast_t
wait_line_forecast (const wait_line_t *line, const wait_item_t *item)
{
  const service_line_t *of = &line->services[item->service];
  if (of->n_answered < PACE_SAMPLES)
    return (wait_forecast_t){ 0 };
  size_t ahead
      = fair_share_ahead (&of->fair, item->tenant) + of->n_returned + 1;
  return (wait_forecast_t){ .wait = (usec_t)((double)ahead * of->pace),
                            .run = (usec_t)of->run };
}

void
wait_line_run (wait_line_t *line, wait_item_t *item)
{
  service_line_t *of = &line->services[item->service];
  wait_line_remove (line, item);
  if (!item->runs)
    fair_share_run (&of->fair, item->tenant, 1);
  item->runs = true;
}
