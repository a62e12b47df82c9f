#include "admission/fair_share.h"

static fair_tenant_t *
tenant_of (fair_share_t *fair, tenant_id_t tenant)
{
  return &fair->tenants[tenant % FAIR_SHARE_TENANTS_MAX];
}

static const fair_tenant_t *
tenant_of_const (const fair_share_t *fair, tenant_id_t tenant)
{
  return &fair->tenants[tenant % FAIR_SHARE_TENANTS_MAX];
}

static double
later (double a, double b)
{
  return a > b ? a : b;
}

void
fair_share_init (fair_share_t *fair)
{
  *fair = (fair_share_t){ 0 };
  for (int i = 0; i < FAIR_SHARE_TENANTS_MAX; i++)
    list_init (&fair->tenants[i].queue);
}

void
fair_share_push (fair_share_t *fair, fair_item_t *item, tenant_id_t tenant)
{
  fair_tenant_t *owner = tenant_of (fair, tenant);
  item->tenant = tenant;
  list_push_back (&owner->queue, &item->link);
  owner->n_queued++;
  fair->n_queued++;
}

void
fair_share_remove (fair_share_t *fair, fair_item_t *item)
{
  list_remove (&item->link);
  tenant_of (fair, item->tenant)->n_queued--;
  fair->n_queued--;
}

/* The start tag of the first queued item of TENANT.  */
static double
tenant_start (const fair_share_t *fair, const fair_tenant_t *tenant)
{
  return later (fair->virtual_time, tenant->finish);
}

fair_item_t *
fair_share_pop (fair_share_t *fair)
{
  fair_tenant_t *best = NULL;
  for (int i = 0; i < FAIR_SHARE_TENANTS_MAX; i++)
    {
      fair_tenant_t *tenant = &fair->tenants[i];
      if (tenant->n_queued == 0)
        continue;
      if (!best || tenant_start (fair, tenant) < tenant_start (fair, best)
          || (tenant_start (fair, tenant) == tenant_start (fair, best)
              && tenant->n_running < best->n_running))
        best = tenant;
    }
  if (!best)
    return NULL;
  fair_item_t *item = LIST_ENTRY (best->queue.next, fair_item_t, link);
  fair_share_remove (fair, item);
  return item;
}

void
fair_share_run (fair_share_t *fair, tenant_id_t tenant, double cost)
{
  fair_tenant_t *owner = tenant_of (fair, tenant);
  double start = tenant_start (fair, owner);
  fair->virtual_time = start;
  owner->finish = start + cost;
  owner->n_running++;
  fair->n_running++;
}

void
fair_share_end (fair_share_t *fair, tenant_id_t tenant)
{
  tenant_of (fair, tenant)->n_running--;
  fair->n_running--;
  if (fair->n_running > 0 || fair->n_queued > 0)
    return;
  /* Idle: no tenant has used more than its share of a contended queue, so the
     tags restart at 0.  */
  fair->virtual_time = 0;
  for (int i = 0; i < FAIR_SHARE_TENANTS_MAX; i++)
    fair->tenants[i].finish = 0;
}

size_t
fair_share_active (const fair_share_t *fair, tenant_id_t tenant)
{
  const fair_tenant_t *self = tenant_of_const (fair, tenant);
  size_t n_active = 0;
  for (int i = 0; i < FAIR_SHARE_TENANTS_MAX; i++)
    {
      const fair_tenant_t *other = &fair->tenants[i];
      n_active += other == self || other->n_running > 0 || other->n_queued > 0;
    }
  return n_active;
}

/* Number of queued items of OTHER with a start tag up to TAG.  */
static size_t
items_before (const fair_share_t *fair, const fair_tenant_t *other, double tag)
{
  double start = tenant_start (fair, other);
  if (other->n_queued == 0 || start > tag)
    return 0;
  double n = tag - start + 1;
  return n < (double)other->n_queued ? (size_t)n : other->n_queued;
}

size_t
fair_share_ahead (const fair_share_t *fair, tenant_id_t tenant)
{
  const fair_tenant_t *self = tenant_of_const (fair, tenant);
  double tag = tenant_start (fair, self) + (double)self->n_queued;
  size_t n_ahead = self->n_queued;
  for (int i = 0; i < FAIR_SHARE_TENANTS_MAX; i++)
    if (&fair->tenants[i] != self)
      n_ahead += items_before (fair, &fair->tenants[i], tag);
  double turns = tag - fair->virtual_time;
  double served_max = turns * (double)fair_share_active (fair, tenant);
  size_t n_in_turn = served_max < (double)fair->n_queued ? (size_t)served_max
                                                         : fair->n_queued;
  return n_ahead > n_in_turn ? n_ahead : n_in_turn;
}

fair_item_t *
fair_share_victim (fair_share_t *fair, size_t limit)
{
  fair_tenant_t *longest = NULL;
  size_t n_waiting = 0;
  for (int i = 0; i < FAIR_SHARE_TENANTS_MAX; i++)
    {
      fair_tenant_t *tenant = &fair->tenants[i];
      n_waiting += tenant->n_queued > 0;
      if (!longest || tenant->n_queued > longest->n_queued)
        longest = tenant;
    }
  if (n_waiting == 0 || longest->n_queued <= limit / (n_waiting + 1))
    return NULL;
  return LIST_ENTRY (longest->queue.prev, fair_item_t, link);
}
