#include "router/dispatcher_internal.h"

#include "balance/verdict.h"
#include "base/clock.h"
#include "base/log.h"

enum
{
  TRIES_MAX = 6, /* with those that reached no backend server */
};

static answer_facts_t
facts_of (const backend_answer_t *answer)
{
  return (answer_facts_t){ .reached = answer->sent,
                           .whole = answer->whole,
                           .id_matches = answer->id_matches,
                           .is_stamped = answer->is_stamped,
                           .is_encoded = answer->is_encoded,
                           .not_started = answer->not_started,
                           .status = answer->status };
}

/* Whether it may go to another backend server now.  */
static bool
may_try_again (dispatcher_t *dispatcher, const exchange_t *exchange,
               backend_end_t how, bool reached, usec_t now)
{
  bool not_run = how == BACKEND_MISTAKEN || how == BACKEND_FULL || !reached;
  if (exchange->n_tries >= TRIES_MAX || now >= exchange->deadline
      || exchange->n_sent >= exchange->route->attempts
      || exchange->query.n_tried >= POOL_TRIED_MAX)
    return false;
  if (!not_run && !exchange->route->is_idempotent)
    return false;
  return !reached
         || retry_share_spend (dispatcher_retries (dispatcher, exchange));
}

static void
answer_with (dispatcher_t *dispatcher, exchange_t *exchange,
             backend_answer_t *answer)
{
  exchange->answer = *answer;
  *answer = (backend_answer_t){ 0 };
  dispatcher_end (dispatcher, exchange, REASON_NONE);
}

/* Nothing more is tried: say what is known.  */
static void
conclude (dispatcher_t *dispatcher, exchange_t *exchange, backend_end_t how,
          backend_answer_t *answer, usec_t now)
{
  switch (how)
    {
    case BACKEND_ANSWERED:
    case BACKEND_FAILED:
      answer_with (dispatcher, exchange, answer);
      return;
    case BACKEND_FULL:
    case BACKEND_MISTAKEN:
      dispatcher_refuse (dispatcher, exchange, REASON_REFUSED, now);
      return;
    case BACKEND_BROKE_OFF:
    case BACKEND_LEFT:
      break;
    }
  if (answer->timed_out && exchange->may_have_run)
    dispatcher_end (dispatcher, exchange, REASON_TIMEOUT);
  else
    dispatcher_refuse (dispatcher, exchange, REASON_NO_BACKEND, now);
}

/* How long it was expected to run where it is; 0 where it had to wait.  */
usec_t
dispatcher_expected_run (const exchange_t *exchange)
{
  const run_span_t *run = &exchange->query.run;
  if (!exchange->had_slot)
    return 0;
  return exchange->was_known ? run->known : run->fresh;
}

void
dispatcher_answer (dispatcher_t *dispatcher, exchange_t *exchange,
                   backend_answer_t *answer)
{
  usec_t now = clock_monotonic ();
  backend_t *backend = exchange->backend;
  answer_facts_t facts = facts_of (answer);
  backend_end_t how = verdict_of (&facts);
  bool reached = facts.reached;
  exchange->call = NULL;
  LOG_EVENT (LOG_LEVEL_INFO, "backend_answered", LOG_S ("id", exchange->id),
             LOG_S ("backend", backend->record.id),
             LOG_U ("status", answer->status), LOG_U ("whole", answer->whole),
             LOG_U ("sent", answer->sent),
             LOG_U ("not_started", answer->not_started),
             LOG_U ("id_matches", answer->id_matches),
             LOG_S ("error", answer->whole ? "" : answer->error),
             LOG_I ("usec", now - exchange->sent_at));
  if (!reached)
    exchange->n_sent--;
  if (verdict_may_have_run (&facts))
    exchange->may_have_run = true;
  exchange->was_full = exchange->was_full || how == BACKEND_FULL;
  exchange->query.tried[exchange->query.n_tried++ % POOL_TRIED_MAX]
      = backend->hash;
  if (how == BACKEND_ANSWERED && exchange->had_slot)
    run_estimate_note (&dispatcher->runs, exchange->route, exchange->was_known,
                       now - exchange->sent_at);
  bool again = how != BACKEND_ANSWERED
               && may_try_again (dispatcher, exchange, how, reached, now);
  const backend_outcome_t outcome
      = { .end = how,
          .load = answer->load,
          .latency = now - exchange->sent_at,
          .expected = dispatcher_expected_run (exchange) };
  backend_pool_ended (dispatcher->pool, backend, &outcome, now);
  if (again)
    {
      exchange->backend = NULL;
      dispatcher_place (dispatcher, exchange, now);
    }
  else
    conclude (dispatcher, exchange, how, answer, now);
  dispatcher_serve_waiting (dispatcher, now);
}
