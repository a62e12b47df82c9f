#include "router/shutdown_phase.h"

/* Fractions of the grace period.  New requests are accepted during the first,
   so that each has the rest of the period to run.  Callers with an outdated
   look-up result are answered with a refusal until the second, even if no
   request is active.  */
static const double serve_fraction = 0.45;
static const double linger_fraction = 0.88;

/* Requests are ended, and the process exits, this long before it would be
   killed.  */
#define FINISH_MARGIN (500 * USEC_PER_MSEC)
#define EXIT_MARGIN (350 * USEC_PER_MSEC)
/* What has arrived is read until this long before the process would be killed;
   the rest is for its threads to end.  */
#define KILL_MARGIN (100 * USEC_PER_MSEC)
/* If the kill is closer, it is read for so long all the same.  */
#define FINISH_TIME_MIN (50 * USEC_PER_MSEC)
/* All has been read when turns found nothing for so long.  */
#define QUIET_TIME (50 * USEC_PER_MSEC)
/* A turn after more than this is late: a turn that finds nothing waits for
   SHUTDOWN_TICK.  Less than QUIET_TIME, so that two turns at least find
   nothing.  */
#define TURN_MAX (SHUTDOWN_TICK + 10 * USEC_PER_MSEC)
/* A response takes this long from a backend server to the router.  */
#define RESPONSE_MARGIN (60 * USEC_PER_MSEC)

static bool
is_serving (usec_t elapsed, usec_t grace)
{
  return elapsed < (usec_t)((double)grace * serve_fraction)
         && elapsed < grace - FINISH_MARGIN;
}

shutdown_phase_t
shutdown_phase_at (usec_t elapsed, usec_t grace, size_t n_open)
{
  if (is_serving (elapsed, grace))
    return SHUTDOWN_SERVE;
  if (elapsed >= grace - EXIT_MARGIN)
    return SHUTDOWN_EXIT;
  if (elapsed >= grace - FINISH_MARGIN)
    return n_open == 0 ? SHUTDOWN_EXIT : SHUTDOWN_FINISH;
  if (n_open == 0 && elapsed >= (usec_t)((double)grace * linger_fraction))
    return SHUTDOWN_EXIT;
  return SHUTDOWN_REFUSE;
}

void
shutdown_add_turn (shutdown_turns_t *turns, usec_t elapsed, bool is_busy)
{
  if (is_busy || elapsed - turns->last_at > TURN_MAX)
    turns->quiet_since = elapsed;
  turns->last_at = elapsed;
}

static bool
may_exit (const shutdown_turns_t *turns, usec_t elapsed, usec_t grace)
{
  if (elapsed - turns->finish_since < FINISH_TIME_MIN)
    return false;
  return elapsed >= grace - KILL_MARGIN
         || elapsed - turns->quiet_since >= QUIET_TIME;
}

shutdown_phase_t
shutdown_phase_after (shutdown_turns_t *turns, shutdown_phase_t phase,
                      usec_t elapsed, usec_t grace)
{
  bool may_finish = elapsed >= grace - FINISH_MARGIN;
  if (phase != SHUTDOWN_EXIT && phase != SHUTDOWN_FINISH)
    return phase;
  if (turns->finish_since == 0)
    turns->finish_since = elapsed;
  if (phase == SHUTDOWN_EXIT && may_exit (turns, elapsed, grace))
    return SHUTDOWN_EXIT;
  /* Before that, requests that end in time are still sent.  */
  return may_finish ? SHUTDOWN_FINISH : SHUTDOWN_REFUSE;
}

usec_t
shutdown_last_deadline (usec_t grace)
{
  return grace - FINISH_MARGIN - RESPONSE_MARGIN;
}

bool
shutdown_may_send (usec_t elapsed, usec_t grace,
                   const shutdown_request_t *request)
{
  usec_t last_deadline = shutdown_last_deadline (grace);
  if (elapsed >= last_deadline)
    return false;
  if (request->deadline <= last_deadline)
    return true;
  return is_serving (request->received_at, grace)
         && elapsed + request->longest_run <= last_deadline;
}
