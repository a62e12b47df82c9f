#include "placement/observe.h"

#include <math.h>

enum
{
  EJECTION_RESULTS_MIN = 8,   /* results before a server can be ejected */
  EJECTION_DOUBLINGS_MAX = 6, /* then the ejection time stays the same */
};

static const usec_t hint_half_life = 500 * USEC_PER_MSEC;
static const usec_t latency_half_life = 10 * USEC_PER_SEC;
static const usec_t backoff_time = 10 * USEC_PER_MSEC;
static const usec_t overload_backoff_time = 4 * USEC_PER_SEC;
static const double overload_refusal_rate
    = 0.6; /* above it, the long back-off */
static const double refusal_gain = 0.1;
static const usec_t ejection_time = 2 * USEC_PER_SEC;
static const double latency_gain = 0.1;
static const double failure_gain = 0.1;
static const double baseline_gain = 0.002;
static const double ejection_failure_rate = 0.5;
static const double probation_failure_rate
    = 0.45; /* one more failure ejects */
static const double ejection_latency_multiple = 5; /* of the peers' median */
static const double endpoint_hint_weight = 0.5;

void
observe_init (observe_t *observe, bool ramped, usec_t now)
{
  *observe = (observe_t){ .last_result_at = now };
  ramp_options_t options = ramp_defaults ();
  ramp_begin (&observe->ramp, &options, now);
  if (!ramped)
    ramp_finish (&observe->ramp);
}

void
observe_start (observe_t *observe)
{
  observe->in_flight++;
}

void
observe_decrement_in_flight (observe_t *observe)
{
  if (observe->in_flight > 0)
    observe->in_flight--;
}

/* Spread by half to either side: servers that all VMs found full at one moment
   are not tried again by all at one moment.  */
static usec_t
overload_backoff (usec_t now)
{
  uint64_t hash = (uint64_t)now * UINT64_C (0x9e3779b97f4a7c15);
  return overload_backoff_time / 2
         + (usec_t)((hash >> 32) % (uint64_t)overload_backoff_time);
}

void
observe_back_off (observe_t *observe, usec_t now)
{
  observe->refusal_rate += refusal_gain * (1 - observe->refusal_rate);
  bool overload = observe->refusal_rate > overload_refusal_rate;
  if (overload && observe->backoff_until > now + backoff_time)
    return;
  usec_t until = now + (overload ? overload_backoff (now) : backoff_time);
  if (until > observe->backoff_until)
    observe->backoff_until = until;
}

bool
observe_backing_off (const observe_t *observe, usec_t now)
{
  return now < observe->backoff_until;
}

/* The baseline is the latency with a warm cache: it falls at once and rises
   slowly.  */
static void
update_baseline (observe_t *observe, double latency)
{
  if (observe->baseline_latency <= 0 || latency < observe->baseline_latency)
    observe->baseline_latency = latency;
  else
    observe->baseline_latency
        += baseline_gain * (latency - observe->baseline_latency);
}

static double
decay (usec_t age, usec_t half_life)
{
  return age <= 0 ? 1 : exp2 (-(double)age / (double)half_life);
}

/* The older the estimate, the more weight a new answer has, so that a server
   that was slow and therefore gets few requests is used again once it is
   fast.  */
static void
update_latency (observe_t *observe, double latency, usec_t now)
{
  double known = decay (now - observe->last_result_at, latency_half_life);
  double gain = fmax (latency_gain, 1 - known);
  if (observe->latency <= 0)
    observe->latency = latency;
  else
    observe->latency += gain * (latency - observe->latency);
  update_baseline (observe, observe->latency);
}

/* The server's start has ended: what it taught does not hold for the next one,
   which begins with a cold cache.  The baseline latency is that of a warm
   cache, and a server that stays down is ejected as one that fails.  */
static void
forget_start (observe_t *observe, usec_t now)
{
  observe->latency = 0;
  observe->backoff_until = 0;
  observe->refusal_rate = 0;
  observe->hints[HINT_ENDPOINT] = (hint_t){ 0 };
  observe->hints[HINT_PEER] = (hint_t){ 0 };
  ramp_options_t options = ramp_defaults ();
  ramp_begin (&observe->ramp, &options,
              now > observe->ejected_until ? now : observe->ejected_until);
}

void
observe_end (observe_t *observe, run_outcome_t outcome, usec_t latency,
             usec_t now)
{
  switch (outcome)
    {
    case OUTCOME_CANCELLED:
    case OUTCOME_REFUSED:
      return;
    case OUTCOME_ANSWERED:
      observe->refusal_rate -= refusal_gain * observe->refusal_rate;
      update_latency (observe, (double)latency, now);
      observe->failure_rate -= failure_gain * observe->failure_rate;
      break;
    case OUTCOME_TIMED_OUT:
      update_latency (observe, (double)latency, now);
      observe->failure_rate += failure_gain * (1 - observe->failure_rate);
      break;
    case OUTCOME_DOWN:
      forget_start (observe, now);
      observe->failure_rate += failure_gain * (1 - observe->failure_rate);
      break;
    case OUTCOME_FAILED:
      observe->failure_rate += failure_gain * (1 - observe->failure_rate);
      break;
    }
  observe->n_results++;
  observe->last_result_at = now;
}

void
observe_hint (observe_t *observe, hint_source_t source, const hint_t *hint)
{
  if (hint->measured_at >= observe->hints[source].measured_at)
    observe->hints[source] = *hint;
}

bool
observe_eject_outlier (observe_t *observe, double peer_latency, usec_t now)
{
  uint64_t results_min = observe->n_ejections > 0 ? 1 : EJECTION_RESULTS_MIN;
  if (now < observe->ejected_until || observe->n_results < results_min)
    return false;
  bool slow = peer_latency > 0
              && observe->latency > ejection_latency_multiple * peer_latency;
  if (observe->failure_rate < ejection_failure_rate && !slow)
    {
      if (ramp_over (&observe->ramp))
        observe->n_ejections = 0;
      return false;
    }
  usec_t span = ejection_time << observe->n_ejections;
  if (observe->n_ejections < EJECTION_DOUBLINGS_MAX)
    observe->n_ejections++;
  observe->ejected_until = now + span;
  /* The server returns with new measurements and a slow start that begins when
     the ejection ends.  */
  observe->n_results = 0;
  observe->failure_rate = probation_failure_rate;
  observe->latency = 0;
  ramp_options_t options = ramp_defaults ();
  ramp_begin (&observe->ramp, &options, observe->ejected_until);
  return true;
}

bool
observe_usable (const observe_t *observe, usec_t now)
{
  return now >= observe->ejected_until;
}

/* Weight of a hint, from 0 to 1: it decays with age, and an endpoint's hint
   has less weight than a peer's.  */
static double
hint_weight (const observe_t *observe, hint_source_t source, usec_t now)
{
  const hint_t *hint = &observe->hints[source];
  if (hint->measured_at == 0)
    return 0;
  double weight = decay (now - hint->measured_at, hint_half_life);
  return source == HINT_PEER ? weight : weight * endpoint_hint_weight;
}

double
observe_load (const observe_t *observe, usec_t now)
{
  double load = observe->in_flight;
  for (int source = HINT_ENDPOINT; source <= HINT_PEER; source++)
    {
      double weight = hint_weight (observe, (hint_source_t)source, now);
      double more = observe->hints[source].load - (double)observe->in_flight;
      if (more > 0)
        load = fmax (load, (double)observe->in_flight + weight * more);
    }
  return load;
}

double
observe_limit (observe_t *observe, uint32_t slots, usec_t now)
{
  double fraction = ramp_step (&observe->ramp, (usec_t)observe->latency,
                               (usec_t)observe->baseline_latency, now);
  return fmax (1, fraction * slots);
}

/* Factor on the latency of a server that reports itself unhealthy, until the
   report is old or the server has given results since, most of them good.  */
static double
unhealthy_factor (const observe_t *observe, usec_t now)
{
  double factor = 1;
  for (int source = HINT_ENDPOINT; source <= HINT_PEER; source++)
    {
      const hint_t *hint = &observe->hints[source];
      bool overruled = observe->n_results > 0
                       && observe->failure_rate < ejection_failure_rate
                       && observe->last_result_at > hint->measured_at;
      if (!hint->healthy && !overruled)
        factor += hint_weight (observe, (hint_source_t)source, now);
    }
  return factor;
}

double
observe_latency (const observe_t *observe, double default_latency, usec_t now)
{
  if (observe->latency <= 0)
    return default_latency;
  double weight = decay (now - observe->last_result_at, latency_half_life);
  double latency = weight * observe->latency + (1 - weight) * default_latency;
  /* A failure costs one more attempt.  */
  return latency * (1 + observe->failure_rate * weight)
         * unhealthy_factor (observe, now);
}
