#include "control/core_internal.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "shift/sheet.h"

/* Put the budget and the cost cap of the newest sheet into the spend book.  */
static void
update_budget (core_thread_t *core, const blob_t *content)
{
  sheet_faults_t faults;
  err_t err = { 0 };
  sheet_t *sheet
      = sheet_parse ((const char *)content->bytes, content->length,
                     &core->options.settings->topology, &faults, &err);
  if (!sheet)
    {
      log_error (LOG_LEVEL_ERROR, "sheet_not_understood", &err);
      return;
    }
  spend_book_open (core->book, sheet->budget, sheet->cost_cap);
  sheet_free (sheet);
}

static void
publish (core_thread_t *core)
{
  const sheet_record_t *newest = sheet_registry_newest (core->registry);
  if (!newest)
    return;
  const blob_t *content = sheet_registry_content (core->registry);
  accepted_sheet_put (core->options.accepted, newest,
                      (const char *)content->bytes, content->length);
  update_budget (core, content);
}

static void
apply (core_thread_t *core, const entry_t *entry)
{
  if (entry->kind == ENTRY_VOTER_CHANGE)
    LOG_EVENT (LOG_LEVEL_INFO, "replica_swapped",
               LOG_U ("slot", entry->body.voter_change.slot),
               LOG_U ("index", entry->index));
  if (entry->kind == ENTRY_GRANT)
    core_spend_applied (core, entry);
  if (entry->kind != ENTRY_SHEET)
    return;
  sheet_outcome_t outcome = sheet_registry_apply (core->registry, entry->index,
                                                  &entry->body.sheet);
  LOG_EVENT (LOG_LEVEL_INFO, "sheet_applied",
             LOG_U ("number", entry->body.sheet.number),
             LOG_S ("operator", entry->body.sheet.operator_name.text),
             LOG_U ("index", entry->index),
             LOG_U ("won", outcome.record.index == entry->index));
  publish (core);
  submission_t *submission
      = entry->proposal ? core_submission_find (core, entry->proposal) : NULL;
  if (submission)
    core_submission_finish (core, submission, SUBMISSION_SETTLED, &outcome);
}

/* Encode the applied state for a snapshot: the length in bytes of the sheet
   registry (32 bits, network byte order), the registry, the spend book.  */
static blob_t *
state_save (const core_thread_t *core)
{
  blob_t *registry = sheet_registry_save (core->registry);
  blob_t *book = spend_book_save (core->book);
  uint32_t length = htonl (registry->length);
  blob_t *state
      = blob_new (NULL, sizeof length + registry->length + book->length);
  memcpy (state->bytes, &length, sizeof length);
  memcpy (state->bytes + sizeof length, registry->bytes, registry->length);
  memcpy (state->bytes + sizeof length + registry->length, book->bytes,
          book->length);
  blob_unref (registry);
  blob_unref (book);
  return state;
}

static bool
state_restore (core_thread_t *core, const blob_t *state, err_t *err)
{
  uint32_t length = 0;
  if (state->length >= sizeof length)
    memcpy (&length, state->bytes, sizeof length);
  length = ntohl (length);
  if (state->length < sizeof length || length > state->length - sizeof length)
    return err_set (err, ERR_PROTOCOL,
                    "empty this data folder; the replica then rejoins",
                    "the snapshot of %u bytes is truncated", state->length);
  const uint8_t *at = state->bytes + sizeof length;
  blob_t *registry = blob_new (at, length);
  bool ok = spend_book_restore (core->book, at + length,
                                state->length - sizeof length - length, err)
            && sheet_registry_restore (core->registry, registry, err);
  blob_unref (registry);
  return ok;
}

static void
restore (core_thread_t *core, const action_t *action)
{
  err_t err = { 0 };
  if (!state_restore (core, action->body.restore.data, &err))
    {
      log_error (LOG_LEVEL_ERROR, "snapshot_not_understood", &err);
      event_t failed = { .kind = EVENT_DISK_FAILED };
      core_step (core, &failed);
      return;
    }
  LOG_EVENT (LOG_LEVEL_INFO, "snapshot_restored",
             LOG_U ("index", action->body.restore.index));
  publish (core);
}

static void
refuse (core_thread_t *core, const action_t *action)
{
  core_spend_refuse_proposal (core, action->body.refuse.id);
  submission_t *submission
      = core_submission_find (core, action->body.refuse.id);
  if (!submission)
    return;
  submission->state = SUBMISSION_WAITING;
  if (submission->origin == SUBMISSION_PEER)
    core_submission_finish (core, submission, SUBMISSION_REFUSED, NULL);
}

/* Returns true if ACTION was queued, so that the caller must not free it.  */
static bool
perform (core_thread_t *core, action_t *action)
{
  switch (action->kind)
    {
    case ACTION_SEND:
      peer_link_send (core->links, &action->body.send);
      break;
    case ACTION_PERSIST:
      replica_disk_write (&core->disk, action);
      return true;
    case ACTION_APPLY:
      apply (core, action->body.apply);
      break;
    case ACTION_RESTORE:
      restore (core, action);
      break;
    case ACTION_TAKE_SNAPSHOT:
      core->snapshot_index = action->body.take_snapshot;
      break;
    case ACTION_REFUSE:
      refuse (core, action);
      break;
    }
  return false;
}

static void
save (core_thread_t *core)
{
  log_index_t index = core->snapshot_index;
  core->snapshot_index = 0;
  blob_t *data = state_save (core);
  event_t event = { .kind = EVENT_SNAPSHOT };
  event.body.snapshot.index = index;
  event.body.snapshot.data = data;
  core_step (core, &event);
  blob_unref (data);
}

void
core_step (core_thread_t *core, const event_t *event)
{
  list_t actions;
  list_init (&actions);
  replica_step (core->replica, clock_monotonic (), event, &actions);
  list_t *link;
  while ((link = list_pop_front (&actions)))
    {
      action_t *action = LIST_ENTRY (link, action_t, link);
      if (!perform (core, action))
        action_free (action);
    }
  if (core->snapshot_index > 0)
    save (core);
}
