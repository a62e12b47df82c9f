#include "router/dispatcher_internal.h"

/* A backend server that shares its machine with others tells its pace.  Where
   one does, what is known of loads is outdated soon, so that the routers share
   it whatever the settings say.  */
static bool
shares_load (dispatcher_t *dispatcher, const backend_load_t *load)
{
  dispatcher->shares_machines = dispatcher->shares_machines || load->pace > 0;
  return load->is_known
         && (dispatcher->options.settings->shares_load
             || dispatcher->shares_machines);
}

static uint16_t
to_count (uint64_t n)
{
  return n < LOAD_COUNT_MAX ? (uint16_t)n : LOAD_COUNT_MAX;
}

/* In percent of the expected duration; 0 if that is not known.  */
static uint16_t
relative_duration (const backend_outcome_t *outcome)
{
  if (!backend_outcome_shows_run (outcome) || outcome->expected_latency <= 0
      || outcome->latency <= 0)
    return 0;
  return to_count ((uint64_t)(outcome->latency * LOAD_PACE_NORMAL
                              / outcome->expected_latency));
}

void
dispatcher_hear_load (dispatcher_t *dispatcher, const backend_t *backend,
                      const backend_outcome_t *outcome, usec_t now)
{
  const backend_load_t *load = &outcome->load;
  load_limit_t limit = request_limit_tell (&backend->notice.limit, now);
  bool has_load = shares_load (dispatcher, load);
  if (!has_load && limit == LOAD_LIMIT_NOT_TOLD)
    return;
  const load_report_t report
      = { .server = backend->load_id,
          .lacks_load = !has_load,
          .limit = limit,
          .running = to_count (load->running),
          .waiting = to_count (load->waiting),
          .pace = to_count (load->pace),
          .duration = relative_duration (outcome),
          .has_failed = backend_outcome_is_failure (outcome),
          .at = now };
  load_table_put (&dispatcher->heard_loads, &report);
}
