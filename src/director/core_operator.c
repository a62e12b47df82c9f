#include "director/core_internal.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"

/* How long a request waits to be answered or proposed; by then the operator's
   program has moved on to another director.  */
#define UNPROPOSED_TIMEOUT (900 * USEC_PER_MSEC)
/* How long a proposed request waits to be committed.  */
#define PROPOSED_TIMEOUT (3500 * USEC_PER_MSEC)

static const char *
outcome_name (operator_outcome_t outcome)
{
  switch (outcome)
    {
    case OUTCOME_DONE:
      return "done";
    case OUTCOME_REDIRECT:
      return "elsewhere";
    case OUTCOME_UNAVAILABLE:
      return "unavailable";
    case OUTCOME_NOT_FOUND:
      return "not_found";
    case OUTCOME_NO_VERSION:
      return "no_version";
    case OUTCOME_UNKNOWN:
      return "unknown";
    }
  return "unknown";
}

static const char *
kind_name (operator_request_kind_t kind)
{
  switch (kind)
    {
    case OPERATOR_PUT_CONFIG:
      return "put_config";
    case OPERATOR_GET_CONFIG:
      return "get_config";
    case OPERATOR_EVACUATE:
      return "evacuate";
    case OPERATOR_TAKE_BACK:
      return "take_back";
    case OPERATOR_RELEASE:
      return "release";
    case OPERATOR_SHOW:
      return "show";
    }
  return "unknown";
}

static void
finish (director_core_t *core, operator_request_t *request,
        operator_outcome_t outcome)
{
  list_remove (&request->link);
  request->outcome = outcome;
  LOG_EVENT (LOG_LEVEL_INFO, "order_ended",
             LOG_S ("order", kind_name (request->kind)),
             LOG_S ("end", outcome_name (outcome)),
             LOG_U ("version", request->config_version),
             LOG_S ("domain", request->domain.text),
             LOG_U ("in_force", core->state.config_version),
             LOG_I ("usec", clock_monotonic () - request->received_at));
  request->done (request);
}

/* The address of the leader; 0 where no leader is known or this director is
   the leader itself.  */
static uint32_t
leader_address (const director_core_t *core)
{
  slot_t leader = core->leader_slot;
  if (!core->replica || leader >= core->roster.n_slots
      || core->roster.addresses[leader] == core->own_address)
    return 0;
  return core->roster.addresses[leader];
}

static void
propose (director_core_t *core, operator_request_t *request)
{
  blob_t *command
      = request->kind == OPERATOR_PUT_CONFIG
            ? director_command_config (request->config_version, request->text,
                                       request->length)
            : director_command_evacuate (&request->domain,
                                         request->kind == OPERATOR_EVACUATE);
  entry_t *entry = entry_new_command (command);
  blob_unref (command);
  request->proposal_id = ++core->last_proposal_id;
  event_t event = { .kind = EVENT_PROPOSE };
  event.body.propose.id = request->proposal_id;
  event.body.propose.entry = entry;
  core_step_replica (core, &event);
  entry_unref (entry);
}

static void
answer_config (director_core_t *core, operator_request_t *request)
{
  const blob_t *config = core->state.config;
  if (!config)
    {
      finish (core, request, OUTCOME_UNAVAILABLE);
      return;
    }
  request->text = malloc (config->length + 1);
  if (!request->text)
    abort ();
  memcpy (request->text, config->bytes, config->length);
  request->text[config->length] = '\0';
  request->length = config->length;
  request->config_version = core->state.config_version;
  finish (core, request, OUTCOME_DONE);
}

static void
answer_view (director_core_t *core, operator_request_t *request)
{
  request->text = core_view_json (core);
  request->length = strlen (request->text);
  finish (core, request, OUTCOME_DONE);
}

/* Finish REQUEST if the applied state already holds its result, or if another
   director is the leader.  True where REQUEST is finished.  */
static bool
try_answer (director_core_t *core, operator_request_t *request)
{
  if (request->kind == OPERATOR_SHOW)
    {
      answer_view (core, request);
      return true;
    }
  if (request->kind == OPERATOR_RELEASE)
    {
      bool ok = core_crashes_release (core, request->fingerprint,
                                      clock_monotonic ());
      finish (core, request, ok ? OUTCOME_DONE : OUTCOME_NOT_FOUND);
      return true;
    }
  bool is_current = core->replica
                    && replica_is_current (core->replica, clock_monotonic ());
  if (is_current && request->kind == OPERATOR_GET_CONFIG)
    {
      answer_config (core, request);
      return true;
    }
  /* This or a later version is committed, so the request would change
     nothing.  */
  if (is_current && request->kind == OPERATOR_PUT_CONFIG
      && request->config_version <= core->state.config_version)
    {
      finish (core, request,
              core->state.config ? OUTCOME_DONE : OUTCOME_NO_VERSION);
      return true;
    }
  request->leader_address = leader_address (core);
  if (request->leader_address == 0)
    return false;
  finish (core, request, OUTCOME_REDIRECT);
  return true;
}

/* Whether REQUEST may change the state.  A configuration of version 0 can't:
   proposed, it would be acknowledged and not be kept.  */
static bool
is_change (const operator_request_t *request)
{
  return request->kind != OPERATOR_GET_CONFIG
         && (request->kind != OPERATOR_PUT_CONFIG
             || request->config_version > 0);
}

/* Finish REQUEST now or, on the leader, propose it.  Otherwise it waits for
   the next tick.  */
static void
process (director_core_t *core, operator_request_t *request)
{
  if (try_answer (core, request))
    return;
  if (core->replica && core->role == ROLE_LEADER && is_change (request))
    propose (core, request);
}

void
core_operator_submit (director_core_t *core, operator_request_t *request)
{
  list_push_back (&core->operator_requests, &request->link);
  process (core, request);
}

static operator_request_t *
find_by_proposal (director_core_t *core, proposal_id_t id)
{
  LIST_FOREACH (link, &core->operator_requests)
  {
    operator_request_t *request = LIST_ENTRY (link, operator_request_t, link);
    if (id != 0 && request->proposal_id == id)
      return request;
  }
  return NULL;
}

void
core_operator_applied (director_core_t *core, proposal_id_t id)
{
  operator_request_t *request = find_by_proposal (core, id);
  if (request)
    finish (core, request, OUTCOME_DONE);
}

void
core_operator_refused (director_core_t *core, proposal_id_t id,
                       refuse_reason_t reason)
{
  operator_request_t *request = find_by_proposal (core, id);
  if (!request)
    return;
  request->proposal_id = 0;
  /* All requests are idempotent.  One that was refused, also with an unknown
     outcome, is therefore proposed again at the next tick.  */
  if (reason == REFUSE_HALTED)
    finish (core, request, OUTCOME_UNAVAILABLE);
}

void
core_operator_tick (director_core_t *core, usec_t now)
{
  LIST_FOREACH (link, &core->operator_requests)
  {
    operator_request_t *request = LIST_ENTRY (link, operator_request_t, link);
    usec_t timeout
        = request->proposal_id != 0 ? PROPOSED_TIMEOUT : UNPROPOSED_TIMEOUT;
    if (now >= request->received_at + timeout || now == INT64_MAX)
      finish (core, request,
              request->kind == OPERATOR_GET_CONFIG ? OUTCOME_UNAVAILABLE
                                                   : OUTCOME_UNKNOWN);
    else if (request->proposal_id == 0)
      process (core, request);
  }
}
