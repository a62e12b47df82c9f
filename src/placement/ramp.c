#include "placement/ramp.h"

static const double shrink_factor = 0.7;
static const double unmeasured_growth_part
    = 0.5;                                 /* of the growth, unmeasured */
static const double overload_multiple = 2; /* of latency_ratio_max */

ramp_options_t
ramp_defaults (void)
{
  return (ramp_options_t){ .start = 0.1,
                           .growth = 1.3,
                           .period = 250 * USEC_PER_MSEC,
                           .max_duration = 20 * USEC_PER_SEC,
                           .latency_ratio_max = 1.5 };
}

void
ramp_begin (ramp_t *ramp, const ramp_options_t *options, usec_t now)
{
  *ramp = (ramp_t){ .options = *options,
                    .fraction = options->start,
                    .started_at = now,
                    .stepped_at = now };
}

void
ramp_finish (ramp_t *ramp)
{
  ramp->fraction = 1;
}

bool
ramp_over (const ramp_t *ramp)
{
  return ramp->fraction >= 1;
}

/* The factor by which the fraction changes in one period.  */
static double
ramp_factor (const ramp_t *ramp, usec_t measured, usec_t baseline)
{
  const ramp_options_t *options = &ramp->options;
  if (measured <= 0 || baseline <= 0)
    return 1 + (options->growth - 1) * unmeasured_growth_part;
  double ratio = (double)measured / (double)baseline;
  if (ratio <= options->latency_ratio_max)
    return options->growth;
  if (ratio <= options->latency_ratio_max * overload_multiple)
    return 1;
  return shrink_factor;
}

double
ramp_step (ramp_t *ramp, usec_t measured, usec_t baseline, usec_t now)
{
  if (ramp_over (ramp) || now - ramp->stepped_at < ramp->options.period)
    return ramp->fraction;
  ramp->stepped_at = now;
  ramp->fraction *= ramp_factor (ramp, measured, baseline);
  if (ramp->fraction < ramp->options.start)
    ramp->fraction = ramp->options.start;
  if (ramp->fraction > 1
      || now - ramp->started_at >= ramp->options.max_duration)
    ramp->fraction = 1;
  return ramp->fraction;
}
