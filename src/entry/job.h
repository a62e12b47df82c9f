/* job: one request in the dispatcher's hands.  For the dispatcher only.  */

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
  retry_budget_t *retry_budgets; /* by service */
  request_counters_t counters;
  uint64_t last_request_id;
  uint64_t last_attempt_number;
  void *closure;
  void (*outcome_ready) (void *closure, exchange_t *exchange);
  /* JOB's backend server closed the connection with the request on it.  */
  void (*backend_crashed) (void *closure, struct job *job);
  void (*receive_vote) (void *closure, peer_vote_t *vote);
} job_context_t;

typedef struct job
{
  list_t link; /* in the dispatcher's list */
  uint64_t id; /* names it in votes; never used twice */
  job_context_t *context;
  exchange_t *exchange;
  request_t request;
  claim_t claim;
  size_t n_record_votes;
  outcome_t recorded_outcome; /* its body is the job's */
  uint64_t excluded_vms;      /* entry VMs that refused it, a bit for each */
  backend_call_t *call;
  backend_run_t backend_run; /* the call as the table knows it */
  char send_id[SEND_ID_BYTES];
  spend_charge_t charge; /* of the present send */
  fingerprint_t fingerprint;
  usec_t broken_event_at; /* when its break is acted on; 0: none */
  wait_item_t wait_item;  /* for a slot, among other tenants */
  usec_t waiting_since;
  usec_t next_placement_at;
  uint32_t table_index; /* its place in the dispatcher's table */
  uint32_t backend;
  vm_id_t forward_vm;
  bool has_claim;
  bool is_sent;           /* it may have been run */
  bool is_crash_reported; /* in flight at a crash that was counted */
  bool is_waiting;        /* to be placed */
} job_t;

/* Begin with EXCHANGE; the job keeps one reference to it.  */
void job_start (job_t *job, job_context_t *world, exchange_t *exchange,
                usec_t now);

void job_on_vote (job_t *job, const peer_vote_t *vote, usec_t now);
void job_on_caller_closed (job_t *job, usec_t now);
void job_on_reply (job_t *job, backend_reply_t *reply, usec_t now);

/* The request is about to leave; false stops it.  */
bool job_before_send (job_t *job, usec_t now);

/* Whether its request is on BACKEND now.  */
bool job_is_running_on (const job_t *job, uint32_t backend);

/* Time passed.  */
void job_tick (job_t *job, usec_t now);

bool job_is_finished (const job_t *job);

/* Release what it holds; one not told is told "unknown".  */
void job_destroy (job_t *job);

#endif
