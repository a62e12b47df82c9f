#include "entry/job_claim.h"
#include "entry/job_place.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "delivery/outcome.h"
#include "delivery/quarantine.h"
#include "entry/hop_credential.h"
#include "placement/topology.h"

enum
{
  LINGER_MSEC = 1000,
  REFUSE_MSEC = 300,
  CRASH_HOLD_MSEC = 50, /* until the other entry VMs know of a crash */
  SENDS_MAX = 16,
  STATUS_REQUEST_TIMEOUT = 408,
  STATUS_GATEWAY_TIMEOUT = 504,
  CANCEL_TIMEOUT_MSEC = 1000,
  RECORDED_BODY_BYTES = 16 * 1024,
};

void
job_handle_simple_event (job_t *job, request_event_kind_t kind, usec_t now)
{
  const request_event_t event
      = { .kind = kind, .request_id = job->request.send_id };
  job_handle_event (job, &event, now);
}

/* --- Sending ---------------------------------------------------------- */

static void
send_here (job_t *job, backend_request_t *request)
{
  const backend_t *backend
      = backend_table_get (job->context->backends, job->backend);
  request->address = backend->address;
  request->port = backend->port;
  request->path = job->exchange->service_path;
  job->is_crash_reported = false;
  shared_quarantine_on_send (job->context->quarantine, job->fingerprint,
                             job->backend);
  job->call = backend_client_call (job->context->client, request);
}

static void
send_forward (job_t *job, backend_request_t *request,
              char credential[HOP_CREDENTIAL_BYTES])
{
  const settings_t *settings = job->context->settings;
  const exchange_t *exchange = job->exchange;
  const hop_t hop = { .vm = job->context->self,
                      .id = job->send_id,
                      .method = exchange->method,
                      .target = exchange->target,
                      .ticket = exchange->ticket };
  hop_credential_write (credential, &hop,
                        peer_ledger_key (job->context->peers));
  request->address = settings->topology.vms[job->forward_vm].address;
  request->port = settings->ports.caller;
  request->path = exchange->target;
  request->headers[4] = (backend_header_t){ "X-Mulberry-Hop", credential };
  request->headers[5] = (backend_header_t){ "X-Tenant", exchange->tenant };
  job->call = backend_client_call (job->context->client, request);
}

static void
send_request (job_t *job, uint64_t send_id, usec_t now)
{
  const exchange_t *exchange = job->exchange;
  bool idempotent = job->request.options.idempotent;
  usec_t time_left = job->request.options.deadline - now;
  char deadline[32];
  char credential[HOP_CREDENTIAL_BYTES];
  snprintf (deadline, sizeof deadline, "%lld",
            (long long)(time_left / USEC_PER_MSEC));
  snprintf (job->send_id, sizeof job->send_id, "%016" PRIx64 "-%" PRIx64,
            job->context->incarnation, send_id);
  backend_request_t request
      = { .method = exchange->method,
          .id = job->send_id,
          .headers = { { "X-Deadline-Ms", deadline },
                       { "X-Caller-Request-Id", exchange->caller_id },
                       { "Idempotency-Key", exchange->ticket },
                       { "Content-Type", exchange->content_type } },
          .body = exchange->body,
          .body_bytes = exchange->body_bytes,
          /* An idempotent request keeps half of the time left for a retry.  */
          .timeout = idempotent ? time_left / 2 : time_left + USEC_PER_SEC,
          .no_resend = !idempotent,
          .owner = job };
  const placement_t placement
      = { .kind = job->request.forwarded ? PLACE_FORWARD : PLACE_LOCAL,
          .backend = job->backend };
  backend_run_begin (&job->backend_run, job->context->backends, &placement,
                     job->request.options.deadline, now);
  job->is_sent = true;
  if (job->request.forwarded)
    send_forward (job, &request, credential);
  else
    send_here (job, &request);
}

bool
job_before_send (job_t *job, usec_t now)
{
  const request_t *request = &job->request;
  if (now >= request->options.deadline
      || (request->slot_held
          && !slots_may_send (backend_table_slots (job->context->backends),
                              &request->token, now)))
    return false;
  job_handle_simple_event (job, EVENT_SEND_STARTED, now);
  return true;
}

static void
cancel_target (job_t *job, usec_t now)
{
  backend_client_t *client = job->context->client;
  backend_run_stop (&job->backend_run, job->context->backends, now);
  if (!job->call)
    return;
  if (job->request.forwarded)
    {
      /* The other entry VM sees its caller's connection close.  */
      backend_client_abort (client, job->call);
      job->call = NULL;
      return;
    }
  const backend_t *backend
      = backend_table_get (job->context->backends, job->backend);
  char path[SEND_ID_BYTES + 16];
  snprintf (path, sizeof path, "/cancel?id=%s", job->send_id);
  const backend_request_t request
      = { .address = backend->address,
          .port = backend->port,
          .method = "POST",
          .path = path,
          .id = job->send_id,
          .timeout = CANCEL_TIMEOUT_MSEC * USEC_PER_MSEC,
          .no_resend = true };
  backend_client_call (client, &request);
}

/* --- Replies ---------------------------------------------------------- */

/* The reason with the NAME that another entry VM sent.  */
static request_reason_t
reason_parse (const char *name)
{
  for (int reason = REASON_BAD_REQUEST; reason <= REASON_ANSWER_NOT_KEPT;
       reason++)
    if (strcmp (request_reason_name ((request_reason_t)reason), name) == 0)
      return (request_reason_t)reason;
  return REASON_BACKEND_FAILED;
}

static void
reply_refused (job_t *job, const backend_reply_t *reply, usec_t now)
{
  request_event_t event
      = { .kind = EVENT_TARGET_REFUSED, .request_id = job->request.send_id };
  event.as.refusal.reason = REASON_BACKEND_FAILED;
  event.as.refusal.may_have_run = reply->was_resent;
  if (!reply->was_resent)
    costs_refund (job->context->costs, &job->charge);
  if (job->request.forwarded)
    {
      event.as.refusal.reason = reason_parse (reply->reason);
      event.as.refusal.generation = reply->generation;
      job->excluded_vms |= UINT64_C (1) << job->forward_vm;
      backend_table_peer_full (job->context->backends, job->forward_vm,
                               job->exchange->service, now);
    }
  job_handle_event (job, &event, now);
}

static void
reply_answer (job_t *job, backend_reply_t *reply, usec_t now)
{
  exchange_t *exchange = job->exchange;
  size_t n = reply->body_bytes;
  free (job->recorded_outcome.body_kept ? (char *)job->recorded_outcome.body
                                        : NULL);
  job->recorded_outcome = (outcome_t){ .status = (uint16_t)reply->status };
  if (job->request.claim_won && n <= RECORDED_BODY_BYTES)
    {
      char *copy = malloc (n + 1);
      if (!copy)
        abort ();
      if (n > 0)
        memcpy (copy, reply->body, n);
      job->recorded_outcome.body = copy;
      job->recorded_outcome.n_body = (uint32_t)n;
      job->recorded_outcome.body_kept = true;
    }
  if (!job->request.outcome_reported)
    {
      exchange->answer = reply->body;
      exchange->answer_bytes = n;
      reply->body = NULL;
      memcpy (exchange->answer_content_type, reply->content_type,
              sizeof reply->content_type);
    }
  request_event_t event
      = { .kind = EVENT_HEAD, .request_id = job->request.send_id };
  event.as.answer.status = (uint16_t)reply->status;
  event.as.answer.framing = FRAMING_LENGTH;
  event.as.answer.length = n;
  job_handle_event (job, &event, now);
  event.kind = EVENT_BODY;
  event.as.answer.n_bytes = n;
  job_handle_event (job, &event, now);
  event.kind = EVENT_END;
  event.as.answer.framed_end = true;
  job_handle_event (job, &event, now);
}

/* A call that ended without an answer, or with a refusal.  */
static void
log_call_failed (const job_t *job, const backend_reply_t *reply)
{
  const settings_t *settings = job->context->settings;
  const exchange_t *exchange = job->exchange;
  bool is_forwarded = job->request.forwarded;
  const char *target
      = is_forwarded ? settings->topology.vms[job->forward_vm].name.text
                     : backend_table_get (job->context->backends, job->backend)
                           ->name.text;
  LOG_EVENT (
      LOG_LEVEL_WARNING, "call_failed", LOG_S ("id", job->send_id),
      LOG_S ("caller_id", exchange->caller_id),
      LOG_S (is_forwarded ? "entry_vm" : "backend", target),
      LOG_S ("method", exchange->method), LOG_U ("status", reply->status),
      LOG_S ("outcome", reply->outcome), LOG_S ("reason", reply->reason),
      LOG_U ("sent", reply->maybe_sent),
      LOG_S ("error", reply->is_complete ? "" : reply->error));
}

/* CLOSED_IN_FLIGHT: the connection was closed while it carried the request,
   which counts as a crash of the backend server.  The request goes on after a
   delay, so that the other entry VMs have received the quarantine's marks.  */
static void
reply_broken (job_t *job, bool closed_in_flight, usec_t now)
{
  if (!job->request.forwarded)
    backend_table_attempt_failed (job->context->backends, job->backend, now);
  if (!job->request.forwarded && closed_in_flight)
    {
      job->context->backend_crashed (job->context->closure, job);
      job->failure_due_at = now + CRASH_HOLD_MSEC * USEC_PER_MSEC;
      return;
    }
  job_handle_simple_event (job, EVENT_CONNECTION_FAILED, now);
}

static void
reply_truncated (job_t *job, usec_t now)
{
  job_handle_simple_event (job, EVENT_SEND_STARTED, now);
  request_event_t event
      = { .kind = EVENT_HEAD, .request_id = job->request.send_id };
  event.as.answer.framing = FRAMING_CLOSE;
  job_handle_event (job, &event, now);
  event.kind = EVENT_END;
  job_handle_event (job, &event, now);
}

/* Whether the backend server ran the request to its end.  One that answers
   with a timeout has stopped it before that.  */
static bool
is_complete_run (const backend_reply_t *reply)
{
  bool is_timeout = reply->status == STATUS_REQUEST_TIMEOUT
                    || reply->status == STATUS_GATEWAY_TIMEOUT;
  return reply->is_complete && reply->id_matches && !reply->not_started
         && !is_timeout;
}

void
job_on_reply (job_t *job, backend_reply_t *reply, usec_t now)
{
  job->call = NULL;
  bool is_forwarded = job->request.forwarded;
  bool is_own_answer = reply->is_complete && reply->id_matches;
  usec_t run_time = backend_run_reply (&job->backend_run,
                                       job->context->backends, reply, now);
  if (!job->request.outcome_reported)
    job->exchange->run_time = run_time;
  bool is_refused = backend_reply_is_refusal (reply, is_forwarded);
  if (is_own_answer && !is_forwarded)
    backend_table_attempt_succeeded (job->context->backends, job->backend);
  if (!is_forwarded)
    shared_quarantine_on_end (job->context->quarantine, job->fingerprint,
                              job->backend, is_complete_run (reply));
  if (!is_own_answer || is_refused)
    log_call_failed (job, reply);
  if (reply->is_complete && !reply->id_matches)
    {
      job->context->counters.mismatched_answers++;
      job_handle_simple_event (job, EVENT_CONNECTION_FAILED, now);
    }
  else if (is_refused)
    reply_refused (job, reply, now);
  else if (is_own_answer && is_forwarded
           && strcmp (reply->outcome, "unknown") == 0)
    {
      request_event_t event = { .kind = EVENT_TARGET_UNKNOWN,
                                .request_id = job->request.send_id };
      event.as.reason = reason_parse (reply->reason);
      job_handle_event (job, &event, now);
    }
  else if (is_own_answer
           && (!is_forwarded || strcmp (reply->outcome, "answer") == 0))
    {
      if (job->request.options.role == REQUEST_ORIGIN)
        wait_queue_record_answer (job->context->wait_queue,
                                  job->exchange->service, run_time, now);
      reply_answer (job, reply, now);
    }
  else if (reply->is_truncated)
    reply_truncated (job, now);
  else
    reply_broken (job, reply->maybe_sent && !reply->timed_out, now);
}

bool
job_is_running_on (const job_t *job, uint32_t backend)
{
  return job->call && !job->request.forwarded && job->backend == backend;
}

/* --- Outcomes --------------------------------------------------------- */

static const char *
remedy_of (request_reason_t reason)
{
  switch (reason)
    {
    case REASON_BAD_REQUEST:
    case REASON_TICKET_EXPIRED:
      return "get a new ticket with GET /v1/lookup?...&ticket=1";
    case REASON_TICKET_CONFLICT:
      return "get a new ticket for each request";
    case REASON_COST_CAP:
      return "wait for the next shift, or submit a sheet with a higher cap";
    case REASON_QUARANTINED:
      return "don't send this request again: it makes backend servers crash";
    case REASON_ANSWER_NOT_KEPT:
      return "the request ran, but its answer was not kept: ask the service "
             "for "
             "the result";
    default:
      return "send it again, with the same ticket where it has one";
    }
}

static void
report_outcome (job_t *job, const request_outcome_t *outcome)
{
  exchange_t *exchange = job->exchange;
  exchange->reason = outcome->reason;
  exchange->generation = outcome->generation;
  switch (outcome->kind)
    {
    case OUTCOME_ANSWER:
      exchange->outcome = EXCHANGE_ANSWER;
      exchange->status = outcome->status;
      if (outcome->from_record)
        {
          size_t n = job->claim.outcome.n_body;
          exchange->answer = malloc (n + 1);
          if (!exchange->answer)
            abort ();
          if (n > 0)
            memcpy (exchange->answer, job->claim.outcome.body, n);
          exchange->answer_bytes = n;
        }
      break;
    case OUTCOME_NOT_RUN:
      exchange->outcome = EXCHANGE_NOT_RUN;
      costs_refund (job->context->costs, &job->charge);
      break;
    case OUTCOME_UNKNOWN:
      exchange->outcome = EXCHANGE_UNKNOWN;
      break;
    }
  if (outcome->kind != OUTCOME_ANSWER)
    err_set (&exchange->error,
             outcome->reason == REASON_DEADLINE ? ERR_TIMEOUT
                                                : ERR_UNAVAILABLE,
             remedy_of (outcome->reason), "%s",
             request_reason_name (outcome->reason));
  job->context->outcome_ready (job->context->closure, exchange);
}

/* --- Actions ---------------------------------------------------------- */

static void
perform_action (job_t *job, const request_action_t *action, usec_t now)
{
  slots_t *slots = backend_table_slots (job->context->backends);
  switch (action->kind)
    {
    case ACTION_PLACE:
      job_place_begin (job, now);
      break;
    case ACTION_CLAIM:
      job_claim_start (job, action->as.intent, now);
      break;
    case ACTION_SEND:
      send_request (job, action->as.send_id, now);
      break;
    case ACTION_REPORT_OUTCOME:
      report_outcome (job, &action->as.outcome);
      break;
    case ACTION_RELEASE_CLAIM:
      job_claim_release (job, now);
      break;
    case ACTION_RECORD:
      job_claim_record (job, now);
      break;
    case ACTION_CANCEL_TARGET:
      cancel_target (job, now);
      break;
    case ACTION_RELEASE_SLOT:
      slots_release (slots, &action->as.token);
      break;
    case ACTION_CANCEL_SLOT:
      slots_cancel (slots, &action->as.token);
      break;
    }
}

static void
perform_actions (job_t *job, const request_actions_t *actions, usec_t now)
{
  for (size_t i = 0; i < actions->n; i++)
    perform_action (job, &actions->items[i], now);
}

void
job_handle_event (job_t *job, const request_event_t *event, usec_t now)
{
  request_actions_t actions = { 0 };
  request_on_event (&job->request, event,
                    &job->context->retry_budgets[job->exchange->service],
                    &job->context->counters, now, &actions);
  perform_actions (job, &actions, now);
  if (job->request.phase != REQUEST_PLACING)
    wait_queue_remove (job->context->wait_queue, &job->wait_item);
}

static fingerprint_t
fingerprint_of (const job_t *job)
{
  const exchange_t *exchange = job->exchange;
  const topology_t *topology = &job->context->settings->topology;
  return quarantine_fingerprint (
      topology->services[exchange->service].name.text, exchange->method,
      exchange->service_path, exchange->body, exchange->body_bytes);
}

void
job_start (job_t *job, job_context_t *context, exchange_t *exchange,
           usec_t now)
{
  job->context = context;
  job->exchange = exchange;
  job->fingerprint = fingerprint_of (job);
  wait_queue_register (context->wait_queue, &job->wait_item, exchange->service,
                       exchange->tenant);
  const request_options_t options
      = { .role = exchange->is_hop ? REQUEST_HOP : REQUEST_ORIGIN,
          .idempotent = exchange_is_idempotent (exchange),
          .id = ++context->last_request_id << 8,
          .deadline = exchange->deadline,
          .linger_timeout = LINGER_MSEC * USEC_PER_MSEC,
          .refusal_timeout = REFUSE_MSEC * USEC_PER_MSEC,
          .generation = exchange->parsed_ticket.generation,
          .max_sends = SENDS_MAX };
  request_actions_t actions = { 0 };
  request_start (&job->request, &options, now, &actions);
  perform_actions (job, &actions, now);
}

void
job_on_caller_closed (job_t *job, usec_t now)
{
  job_handle_simple_event (job, EVENT_CANCEL, now);
}

void
job_tick (job_t *job, usec_t now)
{
  job_claim_tick (job, now);
  if (job->failure_due_at && now >= job->failure_due_at)
    {
      job->failure_due_at = 0;
      job_handle_simple_event (job, EVENT_CONNECTION_FAILED, now);
    }
  if (now >= request_wakeup (&job->request))
    job_handle_simple_event (job, EVENT_TICK, now);
  else
    job_place_tick (job, now);
}

bool
job_is_finished (const job_t *job)
{
  return job->request.phase == REQUEST_SETTLED;
}

void
job_destroy (job_t *job)
{
  if (job->call)
    backend_client_abort (job->context->client, job->call);
  backend_run_stop (&job->backend_run, job->context->backends,
                    clock_monotonic ());
  wait_queue_unregister (job->context->wait_queue, &job->wait_item);
  if (!job->request.outcome_reported)
    report_outcome (job, &(request_outcome_t){ .kind = OUTCOME_UNKNOWN,
                                               .reason = REASON_DRAINING });
  if (!job->is_sent)
    costs_refund (job->context->costs, &job->charge);
  if (job->has_claim)
    claim_destroy (&job->claim);
  if (job->recorded_outcome.body_kept)
    free ((char *)job->recorded_outcome.body);
  exchange_free (job->exchange);
}
