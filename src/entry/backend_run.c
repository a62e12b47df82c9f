#include "entry/backend_run.h"

#include <string.h>

enum
{
  STATUS_BAD_REQUEST = 400,
  STATUS_FORBIDDEN = 403,
  STATUS_FAULT = 500, /* from here on, the server has failed */
  STATUS_UNAVAILABLE = 503,
};

bool
backend_reply_is_refusal (const backend_reply_t *reply, bool is_forwarded)
{
  if (!reply->is_complete || !reply->id_matches)
    return false;
  if (!is_forwarded)
    return reply->not_started && reply->status == STATUS_UNAVAILABLE;
  return strcmp (reply->outcome, "not-run") == 0
         && (reply->status == STATUS_BAD_REQUEST
             || reply->status == STATUS_FORBIDDEN
             || reply->status == STATUS_UNAVAILABLE);
}

void
backend_run_begin (backend_run_t *run, backend_table_t *table,
                   const placement_t *place, usec_t deadline, usec_t now)
{
  *run = (backend_run_t){ .is_active = true,
                          .backend = place->backend,
                          .is_forwarded = place->kind == PLACE_FORWARD,
                          .deadline = deadline,
                          .started_at = now };
  backend_table_run_started (table, place->backend);
}

static void
report_end (backend_run_t *run, backend_table_t *table, run_outcome_t outcome,
            usec_t latency, usec_t now)
{
  if (!run->is_active)
    return;
  run->is_active = false;
  backend_table_run_ended (table, run->backend, outcome, latency, now);
}

static run_outcome_t
outcome_of (const backend_run_t *run, const backend_reply_t *reply, usec_t now)
{
  if (reply->is_complete && reply->id_matches)
    {
      if (backend_reply_is_refusal (reply, run->is_forwarded))
        return OUTCOME_REFUSED;
      return reply->status >= STATUS_FAULT ? OUTCOME_FAILED : OUTCOME_ANSWERED;
    }
  if (reply->was_refused && !run->is_forwarded)
    return OUTCOME_DOWN;
  if (!reply->maybe_sent && now >= run->deadline)
    return OUTCOME_CANCELLED;
  return reply->timed_out ? OUTCOME_TIMED_OUT : OUTCOME_FAILED;
}

usec_t
backend_run_reply (backend_run_t *run, backend_table_t *table,
                   const backend_reply_t *reply, usec_t now)
{
  bool is_reported = run->is_forwarded && reply->run_time > 0;
  usec_t run_time = is_reported ? reply->run_time : now - run->started_at;
  report_end (run, table, outcome_of (run, reply, now), run_time, now);
  return run_time;
}

void
backend_run_stop (backend_run_t *run, backend_table_t *table, usec_t now)
{
  bool is_late = now >= run->deadline;
  report_end (run, table, is_late ? OUTCOME_TIMED_OUT : OUTCOME_CANCELLED,
              now - run->started_at, now);
}
