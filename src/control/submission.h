/* submission: a sheet that is being submitted to the replicated log, by an
   operator's request to this process or by another control process.

   A local submission belongs to the thread that created it, which frees it
   after submission_wait; a peer's submission is freed by submission_complete.
   The reference to the content passes to the core thread, which drops it at
   submission_complete.  */

#ifndef CONTROL_SUBMISSION_H
#define CONTROL_SUBMISSION_H

#include <pthread.h>

#include "agreement/sheet_registry.h"
#include "base/time_defs.h"
#include "wire/rpc.h"

typedef enum
{
  SUBMISSION_LOCAL, /* a thread of this process waits for it */
  SUBMISSION_PEER,  /* an RPC call of a peer waits for it */
} submission_origin_t;

typedef enum
{
  SUBMISSION_WAITING,   /* for a leader to be known */
  SUBMISSION_PROPOSED,  /* in this replica's log */
  SUBMISSION_FORWARDED, /* to the leader, whose answer is pending */
} submission_state_t;

typedef enum
{
  SUBMISSION_SETTLED, /* OUTCOME is final */
  SUBMISSION_REFUSED, /* certainly not carried out by this replica */
  SUBMISSION_HALTED,  /* the disk of this replica has failed */
  SUBMISSION_UNKNOWN, /* no quorum in time: it may still be accepted */
} submission_completion_t;

typedef struct submission
{
  list_t link; /* in the core thread's list */
  submission_origin_t origin;
  submission_state_t state;
  proposal_id_t id;
  usec_t deadline; /* monotonic clock */
  sheet_submission_t sheet;
  rpc_call_t *call; /* of a peer's submission */

  pthread_mutex_t lock; /* guards the members below; local only */
  pthread_cond_t completed;
  bool is_complete;
  submission_completion_t completion;
  sheet_outcome_t outcome; /* if SUBMISSION_SETTLED */
} submission_t;

/* Create a submission for a thread of this process; takes the reference to
   CONTENT.  */
submission_t *submission_new_local (uint64_t number,
                                    const name_t *operator_name,
                                    blob_t *content, usec_t deadline);

/* Create a submission for a CONTROL_SUBMIT call, and take over CALL.  Returns
   NULL if the arguments can't be decoded; CALL has then been answered.  */
submission_t *submission_new_peer (rpc_call_t *call, usec_t deadline);

/* Doesn't drop the content.  */
void submission_free (submission_t *submission);

/* Drop the content, then wake the waiting thread or, for a peer's submission,
   answer the call and free SUBMISSION.  OUTCOME may be NULL unless COMPLETION
   is SUBMISSION_SETTLED.  */
void submission_complete (submission_t *submission,
                          submission_completion_t completion,
                          const sheet_outcome_t *outcome);

/* Block until the local SUBMISSION is complete.  */
void submission_wait (submission_t *submission);

/* Send SHEET to the leader's control process at ADDRESS and PORT; DONE is
   called with CLOSURE on the RPC thread.  */
void submission_forward (rpc_t *rpc, const sheet_submission_t *sheet,
                         const char *address, uint16_t port, usec_t timeout,
                         rpc_done_t done, void *closure);

/* Decode the leader's answer in RESULT.  Returns false if the call failed or
   the leader refused, so that OUTCOME is not final.  */
bool submission_decode_answer (const rpc_result_t *result,
                               sheet_outcome_t *outcome);

#endif
