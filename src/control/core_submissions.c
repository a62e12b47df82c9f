#include "control/core_internal.h"

#include <stdlib.h>

enum
{
  SUBMISSIONS_MAX = 128,
};

#define FORWARD_TIMEOUT USEC_PER_SEC

submission_t *
core_submission_find (core_thread_t *core, proposal_id_t id)
{
  LIST_FOREACH (link, &core->submissions)
  {
    submission_t *submission = LIST_ENTRY (link, submission_t, link);
    if (submission->id == id)
      return submission;
  }
  return NULL;
}

void
core_submission_finish (core_thread_t *core, submission_t *submission,
                        submission_completion_t completion,
                        const sheet_outcome_t *outcome)
{
  list_remove (&submission->link);
  core->n_submissions--;
  submission_complete (submission, completion, outcome);
}

/* Closure of a forwarded submission's call.  */
typedef struct forward
{
  core_thread_t *core;
  proposal_id_t id;
} forward_t;

/* Runs on the RPC thread.  */
static void
on_forward_answer (void *closure, const rpc_result_t *result)
{
  forward_t *forward = closure;
  core_item_t item = { .kind = CORE_ITEM_FORWARDED };
  item.body.forwarded.id = forward->id;
  item.body.forwarded.is_settled
      = submission_decode_answer (result, &item.body.forwarded.outcome);
  core_push (forward->core, &item);
  free (forward);
}

static void
forward_to_leader (core_thread_t *core, submission_t *submission,
                   slot_t leader)
{
  forward_t *forward = malloc (sizeof *forward);
  if (!forward)
    abort ();
  *forward = (forward_t){ .core = core, .id = submission->id };
  submission->state = SUBMISSION_FORWARDED;
  const settings_t *settings = core->options.settings;
  vm_id_t vm = core_thread_slot_vm (core, leader);
  submission_forward (core->options.rpc, &submission->sheet,
                      settings->topology.vms[vm].address,
                      settings->ports.control_peer, FORWARD_TIMEOUT,
                      on_forward_answer, forward);
}

static void
propose (core_thread_t *core, submission_t *submission)
{
  const sheet_submission_t *sheet = &submission->sheet;
  entry_t *entry
      = entry_new_sheet (sheet->number, &sheet->operator_name, sheet->content);
  submission->state = SUBMISSION_PROPOSED;
  event_t event = { .kind = EVENT_PROPOSE };
  event.body.propose.id = submission->id;
  event.body.propose.entry = entry;
  core_step (core, &event);
  entry_unref (entry);
}

/* Proposing and forwarding may be repeated at any time: only one content is
   ever accepted under a number.  */
static void
try_submit (core_thread_t *core, submission_t *submission)
{
  sheet_outcome_t outcome;
  if (sheet_registry_find (core->registry, &submission->sheet, &outcome))
    {
      core_submission_finish (core, submission, SUBMISSION_SETTLED, &outcome);
      return;
    }
  if (submission->state != SUBMISSION_WAITING)
    return;
  replica_status_t status = replica_status (core->replica);
  if (status.role == ROLE_HALTED)
    core_submission_finish (core, submission, SUBMISSION_HALTED, NULL);
  else if (status.role == ROLE_LEADER)
    propose (core, submission);
  else if (submission->origin == SUBMISSION_PEER)
    core_submission_finish (core, submission, SUBMISSION_REFUSED, NULL);
  else if (status.leader != SLOT_NONE)
    forward_to_leader (core, submission, status.leader);
}

void
core_submissions_tick (core_thread_t *core, usec_t now)
{
  LIST_FOREACH (link, &core->submissions)
  {
    submission_t *submission = LIST_ENTRY (link, submission_t, link);
    if (now >= submission->deadline)
      core_submission_finish (core, submission, SUBMISSION_UNKNOWN, NULL);
    else
      try_submit (core, submission);
  }
}

void
core_submission_start (core_thread_t *core, submission_t *submission)
{
  submission->id = ++core->next_id;
  list_push_back (&core->submissions, &submission->link);
  core->n_submissions++;
  if (core->n_submissions > SUBMISSIONS_MAX)
    core_submission_finish (core, submission, SUBMISSION_REFUSED, NULL);
  else
    try_submit (core, submission);
}

void
core_submission_forwarded (core_thread_t *core, const core_item_t *item)
{
  submission_t *submission
      = core_submission_find (core, item->body.forwarded.id);
  if (!submission || submission->state != SUBMISSION_FORWARDED)
    return;
  submission->state = SUBMISSION_WAITING;
  if (item->body.forwarded.is_settled)
    core_submission_finish (core, submission, SUBMISSION_SETTLED,
                            &item->body.forwarded.outcome);
}
