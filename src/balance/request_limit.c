#include "balance/request_limit.h"

/* Rates that differ by less are the same one.  */
static const double rate_tolerance = 0.0005;

/* The end of a limit is told for so long: until all routers have it, and their
   own reports do not replace it.  */
#define END_TOLD_TIME (3 * USEC_PER_SEC)
/* The clocks of two routers are compared with messages that take up to this;
   an end that may be older than the last naming ends nothing.  */
#define CLOCK_TOLERANCE (50 * USEC_PER_MSEC)

static bool
set (request_limit_t *limit, double rate, usec_t at)
{
  double difference = rate - limit->rate;
  bool is_same = limit->is_in_force && difference < rate_tolerance
                 && difference > -rate_tolerance;
  *limit = (request_limit_t){ .is_in_force = true,
                              .rate = is_same ? limit->rate : rate,
                              .heard_at = at };
  return !is_same;
}

static bool
end (request_limit_t *limit, usec_t at)
{
  bool was_in_force = limit->is_in_force;
  if (was_in_force)
    *limit = (request_limit_t){ .heard_at = at };
  return was_in_force;
}

bool
request_limit_hear (request_limit_t *limit, const limit_statement_t *statement,
                    usec_t sent_at, usec_t now)
{
  switch (statement->kind)
    {
    case LIMIT_NAMED:
      return set (limit, statement->rate, now);
    case LIMIT_NOT_NAMED:
      return sent_at >= limit->heard_at && end (limit, now);
    case LIMIT_UNREADABLE:
      break;
    }
  return false;
}

load_limit_t
request_limit_tell (const request_limit_t *limit, usec_t now)
{
  if (limit->heard_at == 0)
    return LOAD_LIMIT_NOT_TOLD;
  if (!limit->is_in_force)
    return now - limit->heard_at < END_TOLD_TIME ? LOAD_LIMIT_ENDED
                                                 : LOAD_LIMIT_NOT_TOLD;
  double tenths = limit->rate * LOAD_LIMIT_UNITS;
  if (tenths >= LOAD_LIMIT_MAX - LOAD_LIMIT_ZERO)
    return LOAD_LIMIT_NOT_TOLD;
  return (load_limit_t)(LOAD_LIMIT_ZERO
                        + (load_limit_t)(tenths + rate_tolerance));
}

bool
request_limit_hear_told (request_limit_t *limit, load_limit_t told, usec_t at)
{
  if (told == LOAD_LIMIT_NOT_TOLD || at <= limit->heard_at)
    return false;
  if (told == LOAD_LIMIT_ENDED)
    return at > limit->heard_at + CLOCK_TOLERANCE && end (limit, at);
  if (told == request_limit_tell (limit, at))
    {
      limit->heard_at = at;
      return false;
    }
  return set (limit, (double)(told - LOAD_LIMIT_ZERO) / LOAD_LIMIT_UNITS, at);
}
