#include "balance/backend_quality.h"

enum
{
  MEAN_DIVISOR = 4, /* a new request has a weight of 1/4 in the means */
};

/* The means decay linearly to 0 within this time after the last request.  */
#define DECAY_TIME (6 * USEC_PER_SEC)

/* Smaller means count as 0: runs differ without a fault of the backend
   server.  */
static const double slowness_tolerance = 0.8;
static const double failure_rate_tolerance = 0.1;

/* Upper bound for the slowness of one request in the mean.  */
static const double request_slowness_max = 8.0;

/* Returns the fraction of the means that is left at NOW.  */
static double
decay_factor (const backend_quality_t *quality, usec_t now)
{
  usec_t age = now - quality->updated_at;
  if (quality->updated_at == 0 || age >= DECAY_TIME)
    return 0;
  return 1.0 - (double)age / (double)DECAY_TIME;
}

static double
clamp (double value, double low, double high)
{
  return value < low ? low : (value > high ? high : value);
}

void
backend_quality_update (backend_quality_t *quality, bool failed,
                        usec_t latency, usec_t expected, usec_t now)
{
  double factor = decay_factor (quality, now);
  quality->slowness *= factor;
  quality->failure_rate *= factor;
  quality->updated_at = now;
  quality->failure_rate
      += ((failed ? 1.0 : 0.0) - quality->failure_rate) / MEAN_DIVISOR;
  if (expected <= 0 || latency <= 0)
    return;
  double slowness = clamp ((double)latency / (double)expected - 1.0, 0,
                           request_slowness_max);
  quality->slowness += (slowness - quality->slowness) / MEAN_DIVISOR;
}

double
backend_quality_slowness (const backend_quality_t *quality, usec_t now)
{
  double slowness = quality->slowness * decay_factor (quality, now);
  return slowness > slowness_tolerance ? 1.0 + slowness : 1.0;
}

double
backend_quality_weight_factor (const backend_quality_t *quality, usec_t now)
{
  double failure_rate = quality->failure_rate * decay_factor (quality, now);
  double success_rate
      = failure_rate > failure_rate_tolerance ? 1.0 - failure_rate : 1.0;
  /* Not 0: some requests must remain for the recovery to show.  */
  return clamp (success_rate * success_rate
                    / backend_quality_slowness (quality, now),
                0.02, 1.0);
}
