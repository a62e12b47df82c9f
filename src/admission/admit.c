#include "admission/admit.h"

#include <math.h>

/* Weight of a new run in the exponentially weighted moving averages.  */
static const double service_time_gain = 0.05;

/* Safety margin between the estimate and the deadline, in mean deviations of
   the service time: for the request's own run, and for the runs waited for
   (their deviations add up as the square root of their number).  */
static const double run_deviations = 1.0;
static const double wait_deviations = 1.0;

/* A queue that was not empty for standing_time is a standing queue; the wait
   in it is then limited to standing_wait_runs service times.  */
static const usec_t standing_time = 400 * USEC_PER_MSEC;
static const double standing_wait_runs = 3.0;

void
admit_init (admit_t *admit, const admit_options_t *options)
{
  *admit = (admit_t){ .options = *options,
                      .slots = options->slots,
                      .service_time = (double)options->service_time };
  fair_share_init (&admit->fair);
  list_init (&admit->refused);
}

void
admit_set_slots (admit_t *admit, uint32_t slots)
{
  admit->slots = slots;
}

static bool
slot_free (const admit_t *admit)
{
  return admit->n_running < admit->slots;
}

/* Expected time in usec, with a safety margin, until a request gets a slot
   that has N_AHEAD queued requests before it.  */
static double
expected_wait (const admit_t *admit, size_t n_ahead)
{
  if (slot_free (admit) && n_ahead == 0)
    return 0;
  double slots = admit->slots > 0 ? admit->slots : 1;
  double n_runs = (double)n_ahead + 1;
  return (n_runs * admit->service_time
          + wait_deviations * sqrt (n_runs) * admit->mean_deviation)
         / slots;
}

usec_t
admit_expected_wait (const admit_t *admit, tenant_id_t tenant)
{
  return (usec_t)expected_wait (admit,
                                fair_share_ahead (&admit->fair, tenant));
}

/* Time in usec within which ITEM must get a slot to meet its deadline with a
   run of mean length.  */
static double
slack (const admit_t *admit, const admit_item_t *item, usec_t now)
{
  return (double)(item->deadline - item->return_time - now)
         - admit->service_time;
}

/* The longest wait in usec with which ITEM is likely to meet its deadline.  */
static double
deadline_wait (const admit_t *admit, const admit_item_t *item, usec_t now)
{
  return slack (admit, item, now) - run_deviations * admit->mean_deviation;
}

/* The longest expected wait in usec with which ITEM may be queued.  */
static double
wait_bound (const admit_t *admit, const admit_item_t *item, usec_t now)
{
  double bound = deadline_wait (admit, item, now);
  double standing_wait = standing_wait_runs * admit->service_time;
  if (now - admit->last_empty_at > standing_time && standing_wait < bound)
    return standing_wait;
  return bound;
}

static bool
start (admit_t *admit, admit_item_t *item, usec_t now, refusal_t *refusal)
{
  uint32_t holdback
      = reservation_holdback_percent (admit->options.holdback_percent,
                                      item->weight, admit->options.weight_max);
  if (!reservation_take (&item->reservation, &item->budgets, &item->needs,
                         holdback, item->deadline, now, refusal))
    return false;
  admit->n_running++;
  fair_share_run (&admit->fair, item->fair.tenant, 1);
  return true;
}

/* Where the queue is longer than can be served within WAIT_MAX, remove and
   return the newest item of the tenant with the longest queue, unless it is
   NEWEST; NULL otherwise.  */
static admit_item_t *
displace (admit_t *admit, const admit_item_t *newest, double wait_max)
{
  double time_per_run
      = admit->service_time / (admit->slots > 0 ? admit->slots : 1);
  double n_in_time = wait_max / time_per_run;
  size_t limit = admit->options.queue_max;
  if (n_in_time < (double)limit)
    limit = (size_t)n_in_time;
  if (admit->fair.n_queued <= limit)
    return NULL;
  fair_item_t *victim = fair_share_victim (&admit->fair, limit);
  if (!victim || victim == &newest->fair)
    return NULL;
  fair_share_remove (&admit->fair, victim);
  admit_item_t *item = LIST_ENTRY (victim, admit_item_t, fair);
  item->refusal = REFUSAL_TENANT;
  return item;
}

admit_verdict_t
admit_offer (admit_t *admit, admit_item_t *item, usec_t now,
             refusal_t *refusal, admit_item_t **displaced)
{
  tenant_id_t tenant = item->fair.tenant;
  *displaced = NULL;
  *refusal = REFUSAL_NONE;
  if (admit->slots == 0)
    {
      *refusal = REFUSAL_DRAINING;
      return ADMIT_REFUSE;
    }
  size_t n_ahead = fair_share_ahead (&admit->fair, tenant);
  if (admit->fair.n_queued == 0)
    admit->last_empty_at = now;
  if (expected_wait (admit, n_ahead) > wait_bound (admit, item, now))
    {
      *refusal = REFUSAL_DEADLINE;
      return ADMIT_REFUSE;
    }
  if (slot_free (admit) && admit->fair.n_queued == 0)
    return start (admit, item, now, refusal) ? ADMIT_RUN : ADMIT_REFUSE;
  fair_share_push (&admit->fair, &item->fair, tenant);
  *displaced = displace (admit, item, deadline_wait (admit, item, now));
  if (!*displaced && admit->fair.n_queued > admit->options.queue_max)
    {
      fair_share_remove (&admit->fair, &item->fair);
      *refusal = REFUSAL_TENANT;
      return ADMIT_REFUSE;
    }
  return ADMIT_QUEUE;
}

static void
refuse_queued (admit_t *admit, admit_item_t *item, refusal_t refusal)
{
  item->refusal = refusal;
  list_push_back (&admit->refused, &item->fair.link);
}

admit_item_t *
admit_next (admit_t *admit, usec_t now)
{
  while (slot_free (admit))
    {
      fair_item_t *fair = fair_share_pop (&admit->fair);
      if (!fair)
        return NULL;
      admit_item_t *item = LIST_ENTRY (fair, admit_item_t, fair);
      refusal_t refusal = REFUSAL_DEADLINE;
      if (slack (admit, item, now) >= 0 && start (admit, item, now, &refusal))
        return item;
      refuse_queued (admit, item, refusal);
    }
  return NULL;
}

/* Move the items at the heads of all tenants' queues that can't meet their
   deadlines to the refused list.  */
static void
refuse_late_queued (admit_t *admit, usec_t now)
{
  for (int i = 0; i < FAIR_SHARE_TENANTS_MAX; i++)
    {
      list_t *queue = &admit->fair.tenants[i].queue;
      while (!list_empty (queue))
        {
          fair_item_t *fair = LIST_ENTRY (queue->next, fair_item_t, link);
          admit_item_t *item = LIST_ENTRY (fair, admit_item_t, fair);
          if (slack (admit, item, now) >= 0 && admit->slots > 0)
            break;
          fair_share_remove (&admit->fair, fair);
          refuse_queued (admit, item,
                         admit->slots > 0 ? REFUSAL_DEADLINE
                                          : REFUSAL_DRAINING);
        }
    }
}

admit_item_t *
admit_expired (admit_t *admit, usec_t now, refusal_t *refusal)
{
  if (list_empty (&admit->refused))
    refuse_late_queued (admit, now);
  list_t *link = list_pop_front (&admit->refused);
  if (!link)
    return NULL;
  admit_item_t *item
      = LIST_ENTRY (LIST_ENTRY (link, fair_item_t, link), admit_item_t, fair);
  *refusal = item->refusal;
  return item;
}

void
admit_cancel (admit_t *admit, admit_item_t *item)
{
  fair_share_remove (&admit->fair, &item->fair);
}

void
admit_end (admit_t *admit, admit_item_t *item, usec_t ran)
{
  if (!item->reservation.held)
    return;
  reservation_end (&item->reservation, ran > 0);
  admit->n_running--;
  fair_share_end (&admit->fair, item->fair.tenant);
  if (ran <= 0)
    return;
  double error = (double)ran - admit->service_time;
  admit->service_time += service_time_gain * error;
  admit->mean_deviation
      += service_time_gain * (fabs (error) - admit->mean_deviation);
}
