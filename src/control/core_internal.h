/* core_internal: what the parts of the core thread share.  */

#ifndef CONTROL_CORE_INTERNAL_H
#define CONTROL_CORE_INTERNAL_H

#include <pthread.h>
#include <stdatomic.h>

#include "agreement/storage_thread.h"
#include "base/ring.h"
#include "control/core_thread.h"
#include "control/peer_link.h"
#include "control/spend_book.h"

typedef enum
{
  CORE_ITEM_WAKE, /* the timer, or the storage thread */
  CORE_ITEM_MESSAGE,
  CORE_ITEM_SUBMISSION,
  CORE_ITEM_FORWARDED,
  CORE_ITEM_SPEND,
} core_item_kind_t;

/* An entry VM's ask for spend, from its call to its answer.  */
typedef struct spend_call
{
  list_t link;
  proposal_id_t id;
  usec_t deadline;
  rpc_call_t *call;
  control_spend_ask_t ask;
} spend_call_t;

typedef struct core_item
{
  core_item_kind_t kind;
  union
  {
    blob_t *message;
    submission_t *submission;
    struct
    {
      proposal_id_t id;
      bool is_settled;
      sheet_outcome_t outcome;
    } forwarded;
    spend_call_t *spend;
  } body;
} core_item_t;

struct core_thread
{
  core_thread_options_t options;
  ring_t *ring;
  pthread_t thread;
  pthread_t timer;
  _Atomic bool stops;
  _Atomic (metrics_page_t *) page; /* NULL until it is set */
  _Atomic bool is_awake;           /* a wake is in the ring */
  core_item_t wake;
  storage_thread_t *disk;
  peer_link_t *links;

  /* Of the core thread alone.  */
  replica_t *replica;
  sheet_registry_t *registry;
  list_t submissions;
  size_t n_submissions;
  spend_book_t *book;
  list_t spend_calls; /* proposed */
  size_t n_spend_calls;
  list_t records; /* persist actions that the storage thread had no room for */
  proposal_id_t next_id;
  uint64_t synced;
  bool is_halted;
  bool has_told;               /* the page that it has halted */
  log_index_t snapshot_wanted; /* 0: none */

  pthread_mutex_t lock; /* guards the status, and pushes against the stop */
  replica_status_t status;
};

/* core_thread.c */
/* False where the ring is full or the thread stops.  */
bool core_push (core_thread_t *core, const core_item_t *item);

/* core_actions.c */
/* Give EVENT to the replica and carry out what it asks for.  */
void core_step (core_thread_t *core, const event_t *event);

/* core_submissions.c */
submission_t *core_submission (core_thread_t *core, proposal_id_t id);
void core_submission_finish (core_thread_t *core, submission_t *submission,
                             submission_end_t end,
                             const sheet_outcome_t *outcome);
void core_submission_take (core_thread_t *core, submission_t *submission);
void core_submission_forwarded (core_thread_t *core, const core_item_t *item);
/* Try again those that wait, and end those whose time is over.  */
void core_submissions_tick (core_thread_t *core, usec_t now);

/* core_spend.c */
void core_spend_register (core_thread_t *core);
void core_spend_take (core_thread_t *core, spend_call_t *spend);
void core_spend_applied (core_thread_t *core, const entry_t *entry);
/* Answer as refused: the proposal ID, where it is one of a spend call.  */
void core_spend_refused (core_thread_t *core, proposal_id_t id);
void core_spend_tick (core_thread_t *core, usec_t now);
/* Answer CALL as refused and release it.  */
void core_spend_drop (spend_call_t *spend);

#endif
