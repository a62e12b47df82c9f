/* core_internal: declarations shared by the source files of the core thread.
   Unless noted, functions run on the core thread.  */

#ifndef CONTROL_CORE_INTERNAL_H
#define CONTROL_CORE_INTERNAL_H

#include <pthread.h>
#include <stdatomic.h>

#include "agreement/replica_disk.h"
#include "base/ring.h"
#include "control/core_thread.h"
#include "control/peer_link.h"
#include "control/spend_book.h"

typedef enum
{
  CORE_ITEM_WAKE, /* from the timer or the storage thread */
  CORE_ITEM_MESSAGE,
  CORE_ITEM_SUBMISSION,
  CORE_ITEM_FORWARDED,
  CORE_ITEM_SPEND,
} core_item_kind_t;

/* A CONTROL_SPEND call of an entry VM that has not been answered yet.  */
typedef struct spend_call
{
  list_t link; /* in core_thread's spend_calls */
  proposal_id_t id;
  usec_t deadline; /* monotonic clock; refused after it */
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
  _Atomic bool is_stopping;
  _Atomic (metrics_page_t *) page; /* NULL until core_thread_set_page */
  _Atomic bool is_wake_queued;     /* WAKE is in the ring */
  core_item_t wake;
  peer_link_t *links;

  /* Used by the core thread only.  */
  replica_t *replica; /* halted while DISK is not open */
  replica_disk_t disk;
  sheet_registry_t *registry;
  list_t submissions;
  size_t n_submissions;
  spend_book_t *book;
  list_t spend_calls; /* whose entry has been proposed */
  size_t n_spend_calls;
  proposal_id_t next_id;
  bool has_reported_halt;     /* to the metrics page */
  log_index_t snapshot_index; /* requested by the replica; 0: none */

  pthread_mutex_t lock; /* guards STATUS; orders core_push before the stop */
  replica_status_t status;
};

/* core_thread.c */
/* Append a copy of ITEM to the ring.  Returns false if the ring is full or the
   thread is stopping; the body then stays the caller's.  Any thread.  */
bool core_push (core_thread_t *core, const core_item_t *item);

/* core_actions.c */
/* Pass EVENT to the replica and perform the actions that it returns.  */
void core_step (core_thread_t *core, const event_t *event);

/* core_submissions.c */
/* The submission with the proposal ID; NULL if there is none.  */
submission_t *core_submission_find (core_thread_t *core, proposal_id_t id);
/* Remove SUBMISSION from the list and complete it.  OUTCOME may be NULL unless
   COMPLETION is SUBMISSION_SETTLED.  */
void core_submission_finish (core_thread_t *core, submission_t *submission,
                             submission_completion_t completion,
                             const sheet_outcome_t *outcome);
/* Take over SUBMISSION: answer, propose or forward it, or let it wait for a
   leader.  */
void core_submission_start (core_thread_t *core, submission_t *submission);
/* Handle the leader's answer to a forwarded submission.  */
void core_submission_forwarded (core_thread_t *core, const core_item_t *item);
/* Retry the waiting submissions and complete those whose deadline has
   passed.  */
void core_submissions_tick (core_thread_t *core, usec_t now);

/* core_spend.c */
/* Register the CONTROL_SPEND procedure.  Called before rpc_start.  */
void core_spend_register (core_thread_t *core);
/* Take over SPEND: propose its entry or answer at once.  */
void core_spend_start (core_thread_t *core, spend_call_t *spend);
/* Apply an ENTRY_GRANT and answer the call that proposed it, if any.  */
void core_spend_applied (core_thread_t *core, const entry_t *entry);
/* Refuse the spend call with the proposal ID, if there is one.  */
void core_spend_refuse_proposal (core_thread_t *core, proposal_id_t id);
/* Refuse the spend calls whose deadline has passed.  */
void core_spend_tick (core_thread_t *core, usec_t now);
/* Answer SPEND with CONTROL_SPEND_REFUSED and free it.  Any thread.  */
void core_spend_refuse (spend_call_t *spend);

#endif
