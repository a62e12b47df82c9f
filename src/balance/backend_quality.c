#include "balance/backend_quality.h"

enum
{
  SMOOTHING = 4, /* a request counts one in so many */
};

/* What is known has faded after so long.  */
#define QUALITY_FADE (6 * USEC_PER_SEC)

/* Runs differ by themselves, so this much is no difference.  */
static const double slowness_ignored = 0.8;
static const double failures_ignored = 0.1;

/* One run counts as slower by this at most.  */
static const double slowness_max = 8.0;

static double
remaining (const backend_quality_t *quality, usec_t now)
{
  usec_t age = now - quality->updated_at;
  if (quality->updated_at == 0 || age >= QUALITY_FADE)
    return 0;
  return 1.0 - (double)age / (double)QUALITY_FADE;
}

static double
clamp (double value, double low, double high)
{
  return value < low ? low : (value > high ? high : value);
}

void
backend_quality_update (backend_quality_t *quality, bool failed, usec_t span,
                        usec_t expected, usec_t now)
{
  double part = remaining (quality, now);
  quality->slowness *= part;
  quality->failure_rate *= part;
  quality->updated_at = now;
  quality->failure_rate
      += ((failed ? 1.0 : 0.0) - quality->failure_rate) / SMOOTHING;
  if (expected <= 0 || span <= 0)
    return;
  double slower
      = clamp ((double)span / (double)expected - 1.0, 0, slowness_max);
  quality->slowness += (slower - quality->slowness) / SMOOTHING;
}

double
backend_quality_slowness (const backend_quality_t *quality, usec_t now)
{
  double slowness = quality->slowness * remaining (quality, now);
  return slowness > slowness_ignored ? 1.0 + slowness : 1.0;
}

double
backend_quality_weight_factor (const backend_quality_t *quality, usec_t now)
{
  double failures = quality->failure_rate * remaining (quality, now);
  double sound = failures > failures_ignored ? 1.0 - failures : 1.0;
  return clamp (sound * sound / backend_quality_slowness (quality, now), 0.02,
                1.0);
}
