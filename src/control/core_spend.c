#include "control/core_internal.h"

#include <stdlib.h>

#include "base/clock.h"
#include "wire/generated/control.h"

enum
{
  SPEND_CALLS_MAX = 48, /* proposed and not yet applied; bounded so that a
                           sheet can always be proposed */
};

#define SPEND_TIMEOUT (2 * USEC_PER_SEC)

static void
spend_answer (spend_call_t *spend, control_spend_answer_t *answer)
{
  rpc_reply (spend->call, (xdrproc_t)xdr_control_spend_answer_t, answer);
  free (spend);
}

void
core_spend_refuse (spend_call_t *spend)
{
  control_spend_answer_t refused = { .verdict = CONTROL_SPEND_REFUSED };
  spend_answer (spend, &refused);
}

static void
spend_remove (core_thread_t *core, spend_call_t *spend)
{
  list_remove (&spend->link);
  core->n_spend_calls--;
}

static spend_call_t *
spend_find (core_thread_t *core, proposal_id_t id)
{
  LIST_FOREACH (link, &core->spend_calls)
  {
    spend_call_t *spend = LIST_ENTRY (link, spend_call_t, link);
    if (spend->id == id)
      return spend;
  }
  return NULL;
}

/* Only the leader proposes.  Repeated asks are idempotent, as their amounts
   are running totals.  */
void
core_spend_start (core_thread_t *core, spend_call_t *spend)
{
  if (replica_status (core->replica).role != ROLE_LEADER
      || core->n_spend_calls >= SPEND_CALLS_MAX)
    {
      core_spend_refuse (spend);
      return;
    }
  if (spend->ask.budget != spend_book_budget (core->book))
    {
      control_spend_answer_t stale
          = { .verdict = CONTROL_SPEND_STALE,
              .budget = spend_book_budget (core->book) };
      spend_answer (spend, &stale);
      return;
    }
  spend->id = ++core->next_id;
  list_push_back (&core->spend_calls, &spend->link);
  core->n_spend_calls++;
  entry_t *entry = entry_new (ENTRY_GRANT);
  entry->body.grant = spend_book_encode (&spend->ask);
  event_t event = { .kind = EVENT_PROPOSE };
  event.body.propose.id = spend->id;
  event.body.propose.entry = entry;
  core_step (core, &event);
  entry_unref (entry);
}

void
core_spend_applied (core_thread_t *core, const entry_t *entry)
{
  control_spend_answer_t answer
      = spend_book_apply (core->book, entry->body.grant);
  spend_call_t *spend
      = entry->proposal ? spend_find (core, entry->proposal) : NULL;
  if (!spend)
    return;
  spend_remove (core, spend);
  spend_answer (spend, &answer);
}

void
core_spend_refuse_proposal (core_thread_t *core, proposal_id_t id)
{
  spend_call_t *spend = spend_find (core, id);
  if (!spend)
    return;
  spend_remove (core, spend);
  core_spend_refuse (spend);
}

void
core_spend_tick (core_thread_t *core, usec_t now)
{
  LIST_FOREACH (link, &core->spend_calls)
  {
    spend_call_t *spend = LIST_ENTRY (link, spend_call_t, link);
    if (now < spend->deadline)
      continue;
    spend_remove (core, spend);
    core_spend_refuse (spend);
  }
}

/* Runs on the RPC thread.  A VM may ask only for itself.  */
static void
on_spend (void *closure, rpc_call_t *call)
{
  core_thread_t *core = closure;
  spend_call_t *spend = calloc (1, sizeof *spend);
  if (!spend)
    abort ();
  if (!rpc_call_args (call, (xdrproc_t)xdr_control_spend_ask_t, &spend->ask))
    {
      free (spend);
      return;
    }
  list_init (&spend->link);
  spend->call = call;
  spend->deadline = clock_monotonic () + SPEND_TIMEOUT;
  core_item_t item = { .kind = CORE_ITEM_SPEND, .body.spend = spend };
  if (spend->ask.holder != rpc_call_sender (call).vm
      || !core_push (core, &item))
    core_spend_refuse (spend);
}

void
core_spend_register (core_thread_t *core)
{
  rpc_register (core->options.rpc, MULBERRY_CONTROL, MULBERRY_CONTROL_V1,
                CONTROL_SPEND, on_spend, core);
}
