/* submission: a sheet on its way to the log, from an operator's request here
   or from another control process.

   Whoever submits makes it and owns it until the core thread completes it.
   The content's reference passes to the core thread with it.  */

#ifndef CONTROL_SUBMISSION_H
#define CONTROL_SUBMISSION_H

#include <pthread.h>

#include "agreement/sheet_registry.h"
#include "base/time_defs.h"
#include "wire/rpc.h"

typedef enum
{
  SUBMISSION_LOCAL, /* a thread waits for it */
  SUBMISSION_PEER,  /* a call waits for it */
} submission_origin_t;

typedef enum
{
  SUBMISSION_WAITING,   /* for a leader */
  SUBMISSION_PROPOSED,  /* in this replica's log */
  SUBMISSION_FORWARDED, /* to the leader */
} submission_state_t;

typedef enum
{
  SUBMISSION_SETTLED, /* the outcome is filled in */
  SUBMISSION_REFUSED, /* surely not carried out by this replica */
  SUBMISSION_HALTED,  /* the disk failed */
  SUBMISSION_UNKNOWN, /* no quorum in time: it may yet be accepted */
} submission_end_t;

typedef struct submission
{
  list_t link; /* of the core thread's */
  submission_origin_t origin;
  submission_state_t state;
  proposal_id_t id;
  usec_t deadline;
  sheet_submission_t sheet;
  rpc_call_t *call; /* of a peer */

  pthread_mutex_t lock; /* of a local one; guards what follows */
  pthread_cond_t completed;
  bool is_complete;
  submission_end_t end;
  sheet_outcome_t outcome;
} submission_t;

/* For a thread of this process; takes over CONTENT.  */
submission_t *submission_new_local (uint64_t number,
                                    const name_t *operator_name,
                                    blob_t *content, usec_t deadline);

/* For a CONTROL_SUBMIT call; NULL where it was garbage and is gone.  */
submission_t *submission_new_peer (rpc_call_t *call, usec_t deadline);

void submission_free (submission_t *submission);

/* Wake the waiting thread, or answer the call and free the submission.  */
void submission_complete (submission_t *submission, submission_end_t end,
                          const sheet_outcome_t *outcome);

/* Wait for a local one to be complete.  */
void submission_wait (submission_t *submission);

/* Send SHEET to the leader's control process.  */
void submission_forward (rpc_t *rpc, const sheet_submission_t *sheet,
                         const char *address, uint16_t port, usec_t timeout,
                         rpc_done_t done, void *closure);

/* The leader's answer; false where it settles nothing.  */
bool submission_forwarded (const rpc_result_t *result,
                           sheet_outcome_t *outcome);

#endif
