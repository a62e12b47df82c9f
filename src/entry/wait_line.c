#include "entry/wait_line.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  PACE_SAMPLES = 16, /* before the pace is believed, and its memory */
};

typedef struct service_line
{
  fair_share_t fair;
  wait_item_t *first;
  usec_t moved_at; /* when the last one that waited got its slot; 0: none */
  double pace;     /* moving average between two of them, usec */
  size_t n_paced;
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
    fair_share_init (&line->services[i].fair);
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
  return !of->first && of->fair.n_queued == 0;
}

void
wait_line_push (wait_line_t *line, wait_item_t *item)
{
  if (item->place != WAIT_OUT)
    return;
  item->place = WAIT_QUEUED;
  fair_share_push (&line->services[item->service].fair, &item->fair,
                   item->tenant);
}

void
wait_line_remove (wait_line_t *line, wait_item_t *item)
{
  service_line_t *of = &line->services[item->service];
  if (item->place == WAIT_QUEUED)
    fair_share_remove (&of->fair, &item->fair);
  if (item->place == WAIT_FIRST)
    of->first = NULL;
  item->place = WAIT_OUT;
  if (!wait_line_is_empty (line, item->service))
    return;
  of->moved_at = 0;
  of->n_paced = 0;
}

wait_item_t *
wait_line_first (wait_line_t *line, service_id_t service)
{
  service_line_t *of = &line->services[service];
  if (of->first)
    return of->first;
  fair_item_t *fair = fair_share_pop (&of->fair);
  if (!fair)
    return NULL;
  of->first = LIST_ENTRY (fair, wait_item_t, fair);
  of->first->place = WAIT_FIRST;
  return of->first;
}

/* One that waited got its slot.  */
static void
measure_pace (service_line_t *of, usec_t now)
{
  if (of->moved_at > 0)
    {
      double span = (double)(now - of->moved_at);
      of->n_paced++;
      size_t n = of->n_paced < PACE_SAMPLES ? of->n_paced : PACE_SAMPLES;
      of->pace += (span - of->pace) / (double)n;
    }
  of->moved_at = now;
}

usec_t
wait_line_expected (const wait_line_t *line, const wait_item_t *item)
{
  const service_line_t *of = &line->services[item->service];
  if (of->n_paced < PACE_SAMPLES)
    return 0;
  size_t ahead = fair_share_ahead (&of->fair, item->tenant) + 1;
  return (usec_t)((double)ahead * of->pace);
}

void
wait_line_run (wait_line_t *line, wait_item_t *item, usec_t now)
{
  service_line_t *of = &line->services[item->service];
  if (item->place != WAIT_OUT)
    measure_pace (of, now);
  wait_line_remove (line, item);
  if (!item->runs)
    fair_share_run (&of->fair, item->tenant, 1);
  item->runs = true;
}
