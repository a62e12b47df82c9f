#include "placement/observe.h"

#include <math.h>

enum
{
  EJECTION_SAMPLES = 8,  /* ended requests before it is judged */
  EJECTIONS_COUNTED = 6, /* the time doubles up to here */
};

static const usec_t hint_half_life = 500 * USEC_PER_MSEC;
static const usec_t latency_half_life = 10 * USEC_PER_SEC;
static const usec_t refusal_time = 10 * USEC_PER_MSEC;
static const usec_t overload_time = 4 * USEC_PER_SEC;
static const double overload_refusal = 0.6; /* of the requests */
static const double refusal_gain = 0.1;
static const usec_t ejection_time = 2 * USEC_PER_SEC;
static const double latency_gain = 0.1;
static const double failure_gain = 0.1;
static const double warm_rise = 0.002;
static const double failure_eject = 0.5;
static const double failure_probation = 0.45; /* one more failure ejects */
static const double latency_eject = 5;        /* times the peers' median */
static const double endpoint_trust = 0.5;

void
observe_init (observe_t *observe, bool ramped, usec_t now)
{
  *observe = (observe_t){ .ended_at = now };
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
observe_leave (observe_t *observe)
{
  if (observe->in_flight > 0)
    observe->in_flight--;
}

void
observe_back_off (observe_t *observe, usec_t now)
{
  observe->refusal += refusal_gain * (1 - observe->refusal);
  bool overload = observe->refusal > overload_refusal;
  usec_t until = now + (overload ? overload_time : refusal_time);
  if (until > observe->refused_until)
    observe->refused_until = until;
}

bool
observe_backing_off (const observe_t *observe, usec_t now)
{
  return now < observe->refused_until;
}

/* WARM follows a low level of latency: down at once, up slowly.  */
static void
observe_warm (observe_t *observe, double latency)
{
  if (observe->warm <= 0 || latency < observe->warm)
    observe->warm = latency;
  else
    observe->warm += warm_rise * (latency - observe->warm);
}

static double
fade (usec_t age, usec_t half_life)
{
  return age <= 0 ? 1 : exp2 (-(double)age / (double)half_life);
}

/* What was known long ago counts little against a new answer, so that a
   server that was slow and is little used is found back.  */
static void
observe_answer (observe_t *observe, double latency, usec_t now)
{
  double known = fade (now - observe->ended_at, latency_half_life);
  double gain = fmax (latency_gain, 1 - known);
  if (observe->latency <= 0)
    observe->latency = latency;
  else
    observe->latency += gain * (latency - observe->latency);
  observe_warm (observe, observe->latency);
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
      observe->refusal -= refusal_gain * observe->refusal;
      observe_answer (observe, (double)latency, now);
      observe->failure -= failure_gain * observe->failure;
      break;
    case OUTCOME_TIMED_OUT:
      observe_answer (observe, (double)latency, now);
      observe->failure += failure_gain * (1 - observe->failure);
      break;
    case OUTCOME_FAILED:
      observe->failure += failure_gain * (1 - observe->failure);
      break;
    }
  observe->n_ended++;
  observe->ended_at = now;
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
  uint64_t samples = observe->n_ejections > 0 ? 1 : EJECTION_SAMPLES;
  if (now < observe->ejected_until || observe->n_ended < samples)
    return false;
  bool slow
      = peer_latency > 0 && observe->latency > latency_eject * peer_latency;
  if (observe->failure < failure_eject && !slow)
    {
      if (ramp_over (&observe->ramp))
        observe->n_ejections = 0;
      return false;
    }
  usec_t span = ejection_time << observe->n_ejections;
  if (observe->n_ejections < EJECTIONS_COUNTED)
    observe->n_ejections++;
  observe->ejected_until = now + span;
  /* Judged afresh on its return, through a ramp that starts there.  */
  observe->n_ended = 0;
  observe->failure = failure_probation;
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

/* An endpoint's claim is taken in part only; a peer's in full.  */
static double
hint_weight (const observe_t *observe, hint_source_t source, usec_t now)
{
  const hint_t *hint = &observe->hints[source];
  if (hint->measured_at == 0)
    return 0;
  double weight = fade (now - hint->measured_at, hint_half_life);
  return source == HINT_PEER ? weight : weight * endpoint_trust;
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
                               (usec_t)observe->warm, now);
  return fmax (1, fraction * slots);
}

/* A server that calls itself unhealthy is less wanted, until its report is
   old or answers from it came since.  */
static double
unhealthy_factor (const observe_t *observe, usec_t now)
{
  double factor = 1;
  for (int source = HINT_ENDPOINT; source <= HINT_PEER; source++)
    {
      const hint_t *hint = &observe->hints[source];
      bool overruled = observe->n_ended > 0 && observe->failure < failure_eject
                       && observe->ended_at > hint->measured_at;
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
  double weight = fade (now - observe->ended_at, latency_half_life);
  double latency = weight * observe->latency + (1 - weight) * default_latency;
  /* A failure costs a whole try more.  */
  return latency * (1 + observe->failure * weight)
         * unhealthy_factor (observe, now);
}
