/* job: one request in the dispatcher's hands.  For the dispatcher only.  */

#ifndef ENTRY_JOB_H
#define ENTRY_JOB_H

#include "base/list.h"
#include "delivery/request.h"
#include "entry/backend_client.h"
#include "entry/backend_run.h"
#include "entry/backend_table.h"
#include "entry/exchange.h"

enum
{
  JOB_ID_BYTES = 48,
};

/* What all jobs share.  */
typedef struct job_world
{
  const settings_t *settings;
  vm_id_t self;
  uint64_t incarnation;
  peer_ledger_t *peers;
  backend_table_t *table;
  backend_client_t *client;
  retry_budget_t *budgets; /* by service */
  request_counters_t counters;
  uint64_t last_request;
  uint64_t last_attempt;
  void *closure;
  void (*told) (void *closure, exchange_t *exchange);
  void (*receive_vote) (void *closure, peer_vote_t *vote);
} job_world_t;

typedef struct job
{
  list_t link;     /* in the dispatcher's list */
  uint64_t number; /* names it in votes; never used twice */
  uint32_t slot;   /* its place in the dispatcher's table */
  job_world_t *world;
  exchange_t *exchange;
  request_t request;
  claim_t claim;
  bool claim_live;
  size_t n_recorded;
  outcome_t record; /* its body is the job's */
  uint32_t backend;
  vm_id_t forward;
  uint64_t tried; /* entry VMs that refused it, a bit for each */
  backend_call_t *call;
  backend_run_t run; /* the call as the table knows it */
  char send_id[JOB_ID_BYTES];
  bool waiting; /* for a slot */
  usec_t waiting_since;
  usec_t place_again;
  int depth; /* of nested events */
} job_t;

/* Begin with EXCHANGE; the job keeps one reference to it.  */
void job_start (job_t *job, job_world_t *world, exchange_t *exchange,
                usec_t now);

void job_on_vote (job_t *job, const peer_vote_t *vote, usec_t now);
void job_on_caller_gone (job_t *job, usec_t now);
void job_on_reply (job_t *job, backend_reply_t *reply, usec_t now);

/* The request is about to leave; false stops it.  */
bool job_on_leaving (job_t *job, usec_t now);

/* Time passed, or a slot came free.  */
void job_tick (job_t *job, usec_t now);

bool job_is_over (const job_t *job);

/* Release what it holds; one not told is told "unknown".  */
void job_end (job_t *job);

#endif
