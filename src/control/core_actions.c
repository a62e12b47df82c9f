#include "control/core_internal.h"

#include <stdlib.h>

#include "base/clock.h"
#include "base/log.h"

static void
publish (core_thread_t *core)
{
  const sheet_record_t *newest = sheet_registry_newest (core->registry);
  if (!newest)
    return;
  const blob_t *content = sheet_registry_content (core->registry);
  accepted_put (core->options.accepted, newest, (const char *)content->bytes,
                content->length);
}

static void
apply (core_thread_t *core, const entry_t *entry)
{
  if (entry->kind == ENTRY_SWAP)
    LOG_EVENT (LOG_LEVEL_INFO, "replica_swapped",
               LOG_U ("slot", entry->body.swap.slot),
               LOG_U ("index", entry->index));
  if (entry->kind != ENTRY_SHEET)
    return;
  sheet_outcome_t outcome = sheet_registry_apply (core->registry, entry->index,
                                                  &entry->body.sheet);
  LOG_EVENT (LOG_LEVEL_INFO, "sheet_applied",
             LOG_U ("number", entry->body.sheet.number),
             LOG_S ("operator", entry->body.sheet.operator_name.text),
             LOG_U ("index", entry->index),
             LOG_U ("won", outcome.winner.index == entry->index));
  publish (core);
  submission_t *submission
      = entry->proposal ? core_submission (core, entry->proposal) : NULL;
  if (submission)
    core_submission_finish (core, submission, SUBMISSION_SETTLED, &outcome);
}

static void
restore (core_thread_t *core, const action_t *action)
{
  err_t err = { 0 };
  if (!sheet_registry_restore (core->registry, action->body.restore.data,
                               &err))
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
  submission_t *submission = core_submission (core, action->body.refuse.id);
  if (!submission)
    return;
  submission->state = SUBMISSION_WAITING;
  if (submission->origin == SUBMISSION_PEER)
    core_submission_finish (core, submission, SUBMISSION_REFUSED, NULL);
}

/* Persist actions go out in order, so a waiting one holds back the rest.  */
void
core_write_records (core_thread_t *core)
{
  list_t *link;
  while ((link = list_pop_front (&core->records)))
    {
      action_t *action = LIST_ENTRY (link, action_t, link);
      if (!storage_thread_write (core->disk, &action->body.persist))
        {
          list_push_front (&core->records, link);
          return;
        }
      action_free (action);
    }
}

/* True where ACTION was kept.  */
static bool
perform (core_thread_t *core, action_t *action)
{
  switch (action->kind)
    {
    case ACTION_SEND:
      peer_link_send (core->links, &action->body.send);
      break;
    case ACTION_PERSIST:
      list_push_back (&core->records, &action->link);
      core_write_records (core);
      return true;
    case ACTION_APPLY:
      apply (core, action->body.apply);
      break;
    case ACTION_RESTORE:
      restore (core, action);
      break;
    case ACTION_TAKE_SNAPSHOT:
      core->snapshot_wanted = action->body.take_snapshot;
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
  log_index_t index = core->snapshot_wanted;
  core->snapshot_wanted = 0;
  blob_t *data = sheet_registry_save (core->registry);
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
  if (core->snapshot_wanted > 0)
    save (core);
}
