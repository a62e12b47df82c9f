#include "balance/request_limit.h"

/* Rates that differ by less are the same one.  */
static const double rate_tolerance = 0.0005;

static bool
name (request_limit_t *limit, double rate, usec_t now)
{
  double difference = rate - limit->rate;
  bool is_same = limit->is_in_force && difference < rate_tolerance
                 && difference > -rate_tolerance;
  *limit = (request_limit_t){ .is_in_force = true,
                              .rate = is_same ? limit->rate : rate,
                              .named_at = now };
  return !is_same;
}

bool
request_limit_hear (request_limit_t *limit, const limit_statement_t *statement,
                    usec_t sent_at, usec_t now)
{
  switch (statement->kind)
    {
    case LIMIT_NAMED:
      return name (limit, statement->rate, now);
    case LIMIT_NOT_NAMED:
      if (!limit->is_in_force || sent_at < limit->named_at)
        return false;
      limit->is_in_force = false;
      return true;
    case LIMIT_UNREADABLE:
      break;
    }
  return false;
}
