#include "entry/spend_share.h"

#include <pthread.h>
#include <stdlib.h>
#include <time.h>

#include "admission/escrow.h"
#include "base/clock.h"
#include "base/log.h"
#include "wire/generated/control.h"

enum
{
  PARTS_PER_UNIT = 1000,
  STEP_DIVISOR = 20, /* a step is 1/20 of a VM's even part of the cap */
};

#define REQUEST_INTERVAL (50 * USEC_PER_MSEC)
/* Each answered request is an entry of the replicated log, so a request that
   was granted less than asked for is repeated after increasing intervals.  */
#define REQUEST_INTERVAL_MAX (1 * USEC_PER_SEC)
#define REQUEST_TIMEOUT (1 * USEC_PER_SEC)
#define RETURN_TIMEOUT (1 * USEC_PER_SEC)
/* Without a leader; several elections in a row are over by then.  */
#define LEADER_WAIT (4 * USEC_PER_SEC)

struct spend_share
{
  spend_share_options_t options;
  pthread_t thread;
  pthread_cond_t changed;
  pthread_mutex_t lock; /* guards what follows */
  bool stop;
  uint64_t budget; /* number of the budget; 0: no sheet yet */
  escrow_holder_t holder;
  bool is_request_pending;
  usec_t next_request_at;
  usec_t request_interval;    /* from the next request to the one after it */
  int64_t returned_confirmed; /* that the control processes have recorded */
  int64_t returned_sent;      /* in the pending request */
  int64_t wanted_sent;        /* in the pending request */
  bool is_last_grant_short;   /* it was less than requested */
  usec_t unanswered_since;    /* by a leader; 0: the last request was */
  bool is_known;              /* a leader has answered for this budget */
  size_t leader_vm;           /* the control VM that is asked; its VM index */
};

static void
reset_holder (spend_share_t *share, uint64_t generation, int64_t step)
{
  const escrow_holder_options_t options = { .kind = BUDGET_SPEND,
                                            .self = share->options.self,
                                            .generation = generation,
                                            .increase_min = step };
  escrow_holder_init (&share->holder, &options, clock_monotonic ());
  share->returned_confirmed = 0;
}

void
spend_share_set_cap (spend_share_t *share, uint64_t budget, money_t cap)
{
  size_t n_vms = share->options.settings->topology.n_vms;
  int64_t step = cap * PARTS_PER_UNIT / (int64_t)n_vms / STEP_DIVISOR;
  pthread_mutex_lock (&share->lock);
  share->holder.options.increase_min = step + 1;
  if (budget > share->budget)
    {
      uint64_t generation = share->budget > 0
                                ? share->holder.account.generation
                                : share->options.generation;
      share->budget = budget;
      share->is_last_grant_short = false;
      share->is_known = false;
      reset_holder (share, generation, step + 1);
      share->next_request_at = 0;
      share->request_interval = REQUEST_INTERVAL;
      pthread_cond_signal (&share->changed);
    }
  pthread_mutex_unlock (&share->lock);
}

static bool
has_no_leader (const spend_share_t *share, usec_t now)
{
  return share->unanswered_since > 0
         && now - share->unanswered_since >= LEADER_WAIT;
}

/* Whether no further grant is to be expected soon.  */
static bool
is_exhausted (const spend_share_t *share, usec_t now)
{
  return share->is_last_grant_short || has_no_leader (share, now);
}

bool
spend_share_is_known (spend_share_t *share)
{
  pthread_mutex_lock (&share->lock);
  bool is_known = share->is_known || has_no_leader (share, clock_monotonic ());
  pthread_mutex_unlock (&share->lock);
  return is_known;
}

spend_result_t
spend_share_charge (spend_share_t *share, int64_t amount,
                    spend_charge_t *charge)
{
  usec_t now = clock_monotonic ();
  spend_result_t result = SPEND_CHARGED;
  pthread_mutex_lock (&share->lock);
  if (share->budget > 0
      && escrow_holder_charge (&share->holder, amount, now, now))
    *charge = (spend_charge_t){ .budget = share->budget,
                                .generation = share->holder.account.generation,
                                .amount = amount };
  else
    {
      result = is_exhausted (share, now) ? SPEND_REFUSED : SPEND_RETRY_LATER;
      pthread_cond_signal (&share->changed);
    }
  pthread_mutex_unlock (&share->lock);
  return result;
}

void
spend_share_refund (spend_share_t *share, spend_charge_t *charge)
{
  pthread_mutex_lock (&share->lock);
  if (charge->budget > 0 && charge->budget == share->budget)
    escrow_holder_release (&share->holder, charge->amount, charge->generation);
  pthread_mutex_unlock (&share->lock);
  *charge = (spend_charge_t){ 0 };
}

/* Select the next control VM after one that did not answer as the leader.  */
static void
select_next_leader (spend_share_t *share)
{
  const topology_t *topology = &share->options.settings->topology;
  do
    share->leader_vm = (share->leader_vm + 1) % topology->n_vms;
  while (!topology->vms[share->leader_vm].has_control);
}

static void
apply_answer (spend_share_t *share, const control_spend_answer_t *answer)
{
  usec_t now = clock_monotonic ();
  if (answer->verdict == CONTROL_SPEND_STALE
      && answer->budget == share->budget)
    {
      reset_holder (share, answer->generation + 1,
                    share->holder.options.increase_min);
      return;
    }
  if (answer->verdict != CONTROL_SPEND_GRANTED)
    return;
  share->is_known = true;
  const escrow_answer_t grant
      = { .account = { share->options.self, answer->generation },
          .granted = answer->granted,
          .recall = answer->recall };
  if (answer->generation == share->holder.account.generation)
    {
      share->returned_confirmed = share->returned_sent;
      share->is_last_grant_short = answer->granted < share->wanted_sent;
    }
  escrow_holder_answer (&share->holder, &grant, now);
}

/* A refusal is not an entry of the log, so the next control VM may be asked
   after the shortest interval.  */
static void
update_request_interval (spend_share_t *share,
                         const control_spend_answer_t *answer)
{
  bool is_served = answer->verdict == CONTROL_SPEND_GRANTED
                   && answer->granted >= share->wanted_sent;
  if (is_served || answer->verdict == CONTROL_SPEND_REFUSED)
    share->request_interval = REQUEST_INTERVAL;
  else if (share->request_interval < REQUEST_INTERVAL_MAX)
    share->request_interval *= 2;
}

/* Runs on the RPC thread.  */
static void
on_answer (void *closure, const rpc_result_t *result)
{
  spend_share_t *share = closure;
  control_spend_answer_t answer = { .verdict = CONTROL_SPEND_REFUSED };
  rpc_result_decode (result, (xdrproc_t)xdr_control_spend_answer_t, &answer);
  pthread_mutex_lock (&share->lock);
  share->is_request_pending = false;
  if (answer.verdict == CONTROL_SPEND_REFUSED)
    {
      if (share->unanswered_since == 0)
        share->unanswered_since = clock_monotonic ();
      select_next_leader (share);
    }
  else
    share->unanswered_since = 0;
  if (answer.verdict != CONTROL_SPEND_REFUSED
      && answer.budget == share->budget)
    apply_answer (share, &answer);
  update_request_interval (share, &answer);
  pthread_cond_signal (&share->changed);
  pthread_mutex_unlock (&share->lock);
}

/* Send ASK, unless it would change nothing.  With the lock held.  */
static void
send_request_for_share (spend_share_t *share, const escrow_ask_t *ask)
{
  if (ask->wanted <= share->holder.granted
      && ask->returned <= share->returned_confirmed)
    return;
  const settings_t *settings = share->options.settings;
  control_spend_ask_t args = { .budget = share->budget,
                               .holder = share->options.self,
                               .generation = ask->account.generation,
                               .wanted = ask->wanted,
                               .returned = ask->returned };
  const rpc_request_t request
      = { .address = settings->topology.vms[share->leader_vm].address,
          .port = settings->ports.control_peer,
          .program = MULBERRY_CONTROL,
          .version = MULBERRY_CONTROL_V1,
          .procedure = CONTROL_SPEND,
          .encode = (xdrproc_t)xdr_control_spend_ask_t,
          .args = &args,
          .timeout = REQUEST_TIMEOUT,
          .done = on_answer,
          .closure = share };
  share->returned_sent = ask->returned;
  share->wanted_sent = ask->wanted;
  share->is_request_pending = true;
  rpc_send (share->options.rpc, &request);
}

/* Return the unspent rest, and wait for the confirmation at most
   RETURN_TIMEOUT.  */
static void
return_remainder (spend_share_t *share)
{
  usec_t give_up_at = clock_monotonic () + RETURN_TIMEOUT;
  while (share->budget > 0 && clock_monotonic () < give_up_at)
    {
      escrow_ask_t ask
          = escrow_holder_close (&share->holder, clock_monotonic ());
      if (!share->is_request_pending
          && ask.returned <= share->returned_confirmed)
        return;
      if (!share->is_request_pending)
        send_request_for_share (share, &ask);
      clock_wait (&share->changed, &share->lock, REQUEST_INTERVAL);
    }
}

static void *
spend_share_thread (void *closure)
{
  spend_share_t *share = closure;
  pthread_mutex_lock (&share->lock);
  while (!share->stop)
    {
      usec_t now = clock_monotonic ();
      if (share->budget > 0 && !share->is_request_pending
          && now >= share->next_request_at)
        {
          share->next_request_at = now + share->request_interval;
          escrow_ask_t ask
              = escrow_holder_ask (&share->holder, clock_monotonic ());
          send_request_for_share (share, &ask);
        }
      clock_wait (&share->changed, &share->lock, REQUEST_INTERVAL);
    }
  return_remainder (share);
  pthread_mutex_unlock (&share->lock);
  return NULL;
}

spend_share_t *
spend_share_start (const spend_share_options_t *options, err_t *err)
{
  spend_share_t *share = calloc (1, sizeof *share);
  if (!share)
    abort ();
  share->options = *options;
  share->leader_vm = options->settings->topology.n_vms - 1;
  select_next_leader (share);
  pthread_mutex_init (&share->lock, NULL);
  pthread_cond_init (&share->changed, NULL);
  if (pthread_create (&share->thread, NULL, spend_share_thread, share) == 0)
    return share;
  err_set (err, ERR_IO, "raise the limit of threads",
           "can't start the thread that requests shares of the cost cap");
  free (share);
  return NULL;
}

void
spend_share_stop (spend_share_t *share)
{
  pthread_mutex_lock (&share->lock);
  share->stop = true;
  pthread_cond_signal (&share->changed);
  pthread_mutex_unlock (&share->lock);
  pthread_join (share->thread, NULL);
}

void
spend_share_free (spend_share_t *share)
{
  pthread_mutex_destroy (&share->lock);
  pthread_cond_destroy (&share->changed);
  free (share);
}
