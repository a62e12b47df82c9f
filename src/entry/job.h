/* job: one request that the dispatcher processes: its state machines
   (delivery/request and ledger/claim), its call to a backend server or to
   another entry VM, and its charge.  For the dispatcher's thread only.  */

#ifndef ENTRY_JOB_H
#define ENTRY_JOB_H

#include "base/list.h"
#include "delivery/request.h"
#include "entry/backend_client.h"
#include "entry/backend_run.h"
#include "entry/backend_table.h"
#include "entry/costs.h"
#include "entry/exchange.h"
#include "entry/shared_quarantine.h"
#include "entry/wait_queue.h"

enum
{
  SEND_ID_BYTES = 48,
};

struct job;

/* What all jobs share.  */
typedef struct job_context
{
  const settings_t *settings;
  vm_id_t self;
  uint64_t incarnation;
  peer_ledger_t *peers;
  shared_quarantine_t *quarantine;
  backend_table_t *backends;
  costs_t *costs;
  wait_queue_t *wait_queue;
  backend_client_t *client;
  retry_budget_t *retry_budgets; /* indexed by service */
  request_counters_t counters;
  uint64_t last_request_id;
  uint64_t last_attempt_number;
  void *closure;
  /* EXCHANGE has its outcome; called once for each job.  */
  void (*outcome_ready) (void *closure, exchange_t *exchange);
  /* JOB's backend server closed the connection while it carried the request,
     which counts as a crash.  */
  void (*backend_crashed) (void *closure, struct job *job);
  /* A replica's vote; may run on the RPC thread.  */
  void (*receive_vote) (void *closure, peer_vote_t *vote);
} job_context_t;

typedef struct job
{
  list_t link; /* in the dispatcher's list */
  uint64_t id; /* matches votes to the job; never reused */
  job_context_t *context;
  exchange_t *exchange;
  request_t request;
  claim_t claim;
  size_t n_record_votes;
  outcome_t recorded_outcome; /* owns its body */
  uint64_t excluded_vms;      /* a bit for each entry VM that refused it */
  backend_call_t *call;
  backend_run_t backend_run; /* the call, as counted in the table */
  char send_id[SEND_ID_BYTES];
  spend_charge_t charge; /* for the current send */
  fingerprint_t fingerprint;
  usec_t failure_due_at; /* when a failure is passed on; 0: none */
  wait_item_t wait_item; /* in the queue for a slot */
  usec_t waiting_since;
  usec_t next_placement_at;
  uint32_t table_index; /* in the dispatcher's job table */
  uint32_t backend;
  vm_id_t forward_vm;
  bool has_claim;
  bool is_sent;           /* may have run: no refund in job_destroy */
  bool is_crash_reported; /* in flight at a reported crash */
  bool is_waiting;        /* for a slot or a charge */
} job_t;

/* Start processing EXCHANGE; the job takes over one reference to it.  */
void job_start (job_t *job, job_context_t *context, exchange_t *exchange,
                usec_t now);

/* A replica of the ledger voted or did not answer.  */
void job_on_vote (job_t *job, const peer_vote_t *vote, usec_t now);
/* The caller closed its connection.  */
void job_on_caller_closed (job_t *job, usec_t now);
/* The call to the backend server or entry VM ended.  The job may take over
   REPLY's body.  */
void job_on_reply (job_t *job, backend_reply_t *reply, usec_t now);

/* Called right before the request is written to a connection; false stops
   the send, since the deadline has passed or the slot has expired.  */
bool job_before_send (job_t *job, usec_t now);

/* Whether a request of the job is in flight to BACKEND.  */
bool job_is_running_on (const job_t *job, uint32_t backend);

/* Handle timers that are due at NOW.  */
void job_tick (job_t *job, usec_t now);

/* Whether nothing is left to do for the job.  */
bool job_is_finished (const job_t *job);

/* Release what the job holds, but not JOB itself.  A job without an outcome
   reports "unknown".  */
void job_destroy (job_t *job);

#endif
