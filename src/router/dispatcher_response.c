#include "router/dispatcher_internal.h"

#include <string.h>

#include "balance/answer_class.h"
#include "base/clock.h"
#include "base/log.h"

enum
{
  ATTEMPTS_MAX = 6, /* those that reached no backend server included */
};

answer_facts_t
dispatcher_response_facts (const backend_response_t *response)
{
  return (answer_facts_t){ .may_have_been_sent = response->may_have_reached,
                           .is_complete = response->is_complete,
                           .is_foreign = response->is_foreign,
                           .was_reused = response->was_reused,
                           .id_matches = response->id_matches,
                           .is_signed = response->is_signed,
                           .is_encoded = response->is_encoded,
                           .not_started = response->not_started,
                           .status = response->status };
}

/* How many backend servers may get EXCHANGE from this router.  */
static uint32_t
max_attempts (const exchange_t *exchange)
{
  uint32_t max = exchange->route->max_attempts;
  uint32_t left = exchange->carried_attempts;
  return left > 0 && left < max ? left : max;
}

/* Whether EXCHANGE may be sent to another backend server now, after a call
   that MAY_HAVE_RUN it or not.  Takes a retry from the budget if the request
   had REACHED a backend server.  */
static bool
may_retry (dispatcher_t *dispatcher, exchange_t *exchange, bool may_have_run,
           bool reached, usec_t now)
{
  if (exchange->n_attempts >= ATTEMPTS_MAX || now >= exchange->deadline
      || exchange->body_is_released
      || exchange->n_transmitted >= max_attempts (exchange)
      || exchange->query.n_excluded >= POOL_EXCLUDED_MAX)
    return false;
  if (may_have_run
      && (!exchange->route->is_idempotent
          || dispatcher_may_be_poison (dispatcher, exchange, now)))
    return false;
  return !reached
         || retry_share_take (dispatcher_retry_budget (dispatcher, exchange));
}

void
dispatcher_forward_response (dispatcher_t *dispatcher, exchange_t *exchange,
                             backend_response_t *response)
{
  exchange->response = *response;
  *response = (backend_response_t){ 0 };
  dispatcher_finish (dispatcher, exchange, REASON_NONE);
}

/* Finish EXCHANGE without a retry, by the RESULT of its last call.  */
static void
finish (dispatcher_t *dispatcher, exchange_t *exchange,
        backend_result_t result, backend_response_t *response, usec_t now)
{
  switch (result)
    {
    case BACKEND_ANSWERED:
    case BACKEND_SERVER_ERROR:
      dispatcher_forward_response (dispatcher, exchange, response);
      return;
    case BACKEND_REFUSED:
    case BACKEND_DOUBTFUL_REFUSAL:
    case BACKEND_MISDIRECTED:
      dispatcher_refuse (dispatcher, exchange, REASON_REFUSED, now);
      return;
    case BACKEND_NO_VALID_ANSWER:
    case BACKEND_OTHER_ANSWER:
    case BACKEND_CANCELLED:
      break;
    }
  if (response->timed_out && exchange->may_have_run)
    dispatcher_finish (dispatcher, exchange, REASON_TIMEOUT);
  else
    dispatcher_refuse (dispatcher, exchange, REASON_NO_BACKEND, now);
}

usec_t
dispatcher_expected_run_time (const exchange_t *exchange)
{
  const run_time_t *run = &exchange->query.run_time;
  if (!exchange->slot_was_free)
    return 0;
  return exchange->object_was_known ? run->cached : run->uncached;
}

static const char *
framing_name (const backend_response_t *response)
{
  return response->has_head ? framing_kind_name (response->framing)
                            : "unknown";
}

static void
log_answered (const exchange_t *exchange, const backend_response_t *response,
              const answer_facts_t *facts, usec_t now)
{
  LOG_EVENT (LOG_LEVEL_INFO, "backend_answered", LOG_S ("id", exchange->id),
             LOG_S ("backend", exchange->backend->record.id),
             LOG_U ("status", response->status),
             LOG_S ("class", answer_class_name (answer_classify (facts))),
             LOG_U ("may_have_run", answer_may_have_run (facts)),
             LOG_U ("whole", response->is_complete),
             LOG_U ("sent", response->may_have_reached),
             LOG_U ("not_started", response->not_started),
             LOG_U ("id_matches", response->id_matches),
             LOG_S ("framing", framing_name (response)),
             LOG_U ("announced", response->announced_bytes),
             LOG_U ("read", response->body_bytes),
             LOG_S ("end", connection_end_name (response->connection_end)),
             LOG_U ("reused", response->was_reused),
             LOG_U ("load_known", response->load.is_known),
             LOG_U ("running", response->load.running),
             LOG_U ("waiting", response->load.waiting),
             LOG_U ("pace", response->load.pace),
             LOG_S ("error", response->is_complete ? "" : response->error),
             LOG_I ("usec", now - exchange->sent_at));
}

void
dispatcher_call_ended (dispatcher_t *dispatcher, exchange_t *exchange,
                       backend_response_t *response)
{
  usec_t now = clock_monotonic ();
  backend_t *backend = exchange->backend;
  answer_facts_t facts = dispatcher_response_facts (response);
  backend_result_t result = answer_classify (&facts);
  bool reached = facts.may_have_been_sent;
  exchange->call = NULL;
  dispatcher_reach_evidence (dispatcher, &exchange->owner, backend, response,
                             now);
  log_answered (exchange, response, &facts, now);
  router_metrics_response_ended (
      dispatcher->options.metrics, exchange->query.service,
      framing_name (response), connection_end_name (response->connection_end));
  if (response->has_head && !response->is_complete)
    router_metrics_not_whole (dispatcher->options.metrics, backend->record.id);
  if (!reached)
    exchange->n_transmitted--;
  bool may_have_run = answer_may_have_run (&facts);
  exchange->may_have_run = exchange->may_have_run || may_have_run;
  exchange->was_refused = exchange->was_refused || result == BACKEND_REFUSED;
  exchange->query.excluded[exchange->query.n_excluded++ % POOL_EXCLUDED_MAX]
      = backend->id_hash;
  if (result == BACKEND_ANSWERED && !facts.not_started
      && exchange->slot_was_free)
    run_estimate_update (&dispatcher->run_estimates, exchange->route,
                         exchange->object_was_known, now - exchange->sent_at);
  dispatcher_crash_evidence (
      dispatcher, exchange, answer_shows_complete_run (&facts), response, now);
  if (result == BACKEND_OTHER_ANSWER)
    dispatcher_stutter_seen_in_response (dispatcher, exchange, response, now);
  dispatcher_read_notices (dispatcher, exchange, result, response, now);
  bool will_retry
      = result != BACKEND_ANSWERED && !answer_limits_caller (&facts)
        && may_retry (dispatcher, exchange, may_have_run, reached, now);
  bool is_of_caller = response->timed_out && exchange_awaits_caller (exchange);
  const backend_outcome_t outcome
      = { .result = is_of_caller ? BACKEND_CANCELLED : result,
          .may_have_run = may_have_run,
          .not_started = facts.not_started,
          .load = response->load,
          .latency = now - exchange->sent_at,
          .expected_latency = dispatcher_expected_run_time (exchange) };
  if (!response->is_foreign)
    dispatcher_hear_load (dispatcher, backend, &outcome, now);
  dispatcher_cold_evidence (dispatcher, backend, response, now);
  if (!will_retry)
    memcpy (exchange->last_backend_id, backend->record.id,
            sizeof exchange->last_backend_id);
  dispatcher_release_backend (dispatcher, exchange, &outcome, now);
  if (will_retry)
    dispatcher_send_or_queue (dispatcher, exchange, now);
  else
    finish (dispatcher, exchange, result, response, now);
  dispatcher_serve_queue (dispatcher, now);
}
