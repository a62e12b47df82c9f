#include "entry/peer_ledger.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "base/log.h"
#include "entry/leave_watch.h"
#include "entry/peer_messages.h"
#include "membership/liveness.h"

enum
{
  HEARTBEAT_MSEC = 500,
  CLOCK_DRIFT_PPM = 1000,                /* of two VMs' clocks, at most */
  RECORDED_BODY_BYTES_MAX = 16 * 1024,   /* of one outcome */
  RECORDED_BYTES_MAX = 32 * 1024 * 1024, /* of all outcomes */
  SWEEP_STEPS = 20000, /* claims examined at each heartbeat */
  LEAVE_STEP_MSEC = 100,
  LEAVE_WAIT_MAX_MSEC = 3000, /* for entry VMs that don't answer */
  LEAVE_CALLS_MAX = 64,       /* in one step */
};

struct peer_ledger
{
  peer_ledger_options_t options;
  ticket_key_t key;
  pthread_mutex_t lock; /* guards all below */
  pthread_cond_t stopped;
  bool stop;
  pthread_t thread;
  ledger_t *ledger;
  liveness_t *liveness;
  leave_watch_t *leave_watch;
  bool is_leaving;
  size_t n_acknowledged;       /* of LEAVE_WATCH */
  pthread_cond_t acknowledged; /* the leaving, by one more entry VM */
  uint64_t sequence;
  random_state_t random;
};

/* --- Serving ---------------------------------------------------------- */

static void
serve_ledger_request (void *closure, rpc_call_t *call)
{
  peer_ledger_t *peers = closure;
  entry_ask_t args = { 0 };
  if (!rpc_call_args (call, (xdrproc_t)xdr_entry_ask_t, &args))
    return;
  ledger_request_t request = peer_messages_get_request (&args);
  pthread_mutex_lock (&peers->lock);
  ledger_vote_t vote
      = ledger_on_request (peers->ledger, &request, clock_monotonic ());
  entry_vote_t result = { .kind = vote.kind, .generation = vote.generation };
  if (vote.kind == VOTE_DONE)
    result.outcome = peer_messages_put_outcome (&vote.outcome);
  rpc_reply (call, (xdrproc_t)xdr_entry_vote_t, &result);
  pthread_mutex_unlock (&peers->lock);
  xdr_free ((xdrproc_t)xdr_entry_ask_t, (char *)&args);
}

/* Record the clock of a row's VM, which is at least what the row says,
   whichever VM passed the row on.  With the lock held.  */
static void
record_clock (peer_ledger_t *peers, const liveness_record_t *row, usec_t now)
{
  if (row->vm < peers->options.settings->topology.n_vms
      && row->incarnation > 0)
    ledger_on_heartbeat (peers->ledger, row->vm, row->incarnation,
                         row->vm_clock, now);
}

/* With the lock held.  */
static void
watch_leaving (peer_ledger_t *peers, vm_id_t vm, usec_t now)
{
  if (vm < peers->options.settings->topology.n_vms)
    leave_watch_record (peers->leave_watch,
                        liveness_record (peers->liveness, vm), now);
}

static void
merge_heartbeat (peer_ledger_t *peers, const rpc_sender_t *sender,
                 const entry_heartbeat_t *heartbeat)
{
  usec_t now = clock_monotonic ();
  liveness_record_t own = peer_messages_get_row (&heartbeat->own);
  if (own.vm != sender->vm || own.incarnation != sender->incarnation)
    return;
  pthread_mutex_lock (&peers->lock);
  liveness_heartbeat_received (peers->liveness, &own, now);
  record_clock (peers, &own, now);
  watch_leaving (peers, own.vm, now);
  for (u_int i = 0; i < heartbeat->changes.changes_len; i++)
    {
      liveness_record_t row
          = peer_messages_get_row (&heartbeat->changes.changes_val[i]);
      liveness_merge (peers->liveness, &row);
      record_clock (peers, &row, now);
      watch_leaving (peers, row.vm, now);
    }
  pthread_mutex_unlock (&peers->lock);
}

/* With the lock held.  */
static size_t
encode_changed_rows (peer_ledger_t *peers, entry_row_t *rows)
{
  liveness_record_t changes[LIVENESS_CHANGES_MAX];
  size_t n = liveness_changes (peers->liveness, changes);
  for (size_t i = 0; i < n; i++)
    rows[i] = peer_messages_put_row (&changes[i]);
  return n;
}

static size_t
encode_all_rows (peer_ledger_t *peers, entry_row_t *rows)
{
  size_t n = 0;
  size_t n_vms = peers->options.settings->topology.n_vms;
  for (size_t i = 0; i < n_vms && n < ENTRY_ROWS_MAX; i++)
    {
      const liveness_record_t *row
          = liveness_record (peers->liveness, (vm_id_t)i);
      if (row->incarnation > 0)
        rows[n++] = peer_messages_put_row (row);
    }
  return n;
}

/* The next heartbeat, with the changes to pass on, or with ALL rows; it refers
   to ROWS, which has room for ENTRY_ROWS_MAX.  */
static entry_heartbeat_t
make_heartbeat (peer_ledger_t *peers, bool all, entry_row_t *rows)
{
  usec_t now = clock_monotonic ();
  entry_heartbeat_t heartbeat = { 0 };
  pthread_mutex_lock (&peers->lock);
  liveness_record_t own = liveness_own_record (peers->liveness, now);
  record_clock (peers, &own, now);
  heartbeat.own = peer_messages_put_row (&own);
  heartbeat.changes.changes_val = rows;
  heartbeat.changes.changes_len
      = (u_int)(all ? encode_all_rows (peers, rows)
                    : encode_changed_rows (peers, rows));
  heartbeat.wants_all = liveness_needs_full_state (peers->liveness);
  pthread_mutex_unlock (&peers->lock);
  return heartbeat;
}

static void
serve_heartbeat (void *closure, rpc_call_t *call)
{
  entry_heartbeat_t args = { 0 };
  if (!rpc_call_args (call, (xdrproc_t)xdr_entry_heartbeat_t, &args))
    return;
  rpc_sender_t sender = rpc_call_sender (call);
  merge_heartbeat (closure, &sender, &args);
  entry_row_t rows[ENTRY_ROWS_MAX];
  entry_heartbeat_t own = make_heartbeat (closure, args.wants_all, rows);
  xdr_free ((xdrproc_t)xdr_entry_heartbeat_t, (char *)&args);
  rpc_reply (call, (xdrproc_t)xdr_entry_heartbeat_t, &own);
}

/* --- Calling ---------------------------------------------------------- */

typedef struct pending_call
{
  uint64_t job_id;
  uint8_t replica;
  peer_vote_receiver_t receiver;
  void *closure;
} pending_call_t;

static void
on_vote (void *closure, const rpc_result_t *result)
{
  pending_call_t *pending = closure;
  entry_vote_t from = { 0 };
  bool ok = result->ok
            && rpc_result_decode (result, (xdrproc_t)xdr_entry_vote_t, &from);
  const ledger_vote_t vote
      = { .kind = (vote_kind_t)from.kind,
          .generation = from.generation,
          .outcome = peer_messages_get_outcome (&from.outcome) };
  pending->receiver (
      pending->closure,
      peer_vote_copy (pending->job_id, pending->replica, ok ? &vote : NULL));
  if (ok)
    xdr_free ((xdrproc_t)xdr_entry_vote_t, (char *)&from);
  free (pending);
}

peer_vote_t *
peer_ledger_call_local (peer_ledger_t *peers, uint64_t job_id, uint8_t replica,
                        const ledger_request_t *message)
{
  pthread_mutex_lock (&peers->lock);
  ledger_vote_t vote
      = ledger_on_request (peers->ledger, message, clock_monotonic ());
  peer_vote_t *copy = peer_vote_copy (job_id, replica, &vote);
  pthread_mutex_unlock (&peers->lock);
  return copy;
}

static void
call_peer (peer_ledger_t *peers, vm_id_t vm, rpc_request_t *request)
{
  const settings_t *settings = peers->options.settings;
  request->address = settings->topology.vms[vm].address;
  request->port = settings->ports.entry_peer;
  request->program = MULBERRY_ENTRY;
  request->version = MULBERRY_ENTRY_V1;
  rpc_send (peers->options.rpc, request);
}

void
peer_ledger_call_replica (peer_ledger_t *peers, const peer_ledger_call_t *call)
{
  if (call->vm >= peers->options.settings->topology.n_vms)
    {
      call->receiver (call->closure,
                      peer_vote_copy (call->job_id, call->replica, NULL));
      return;
    }
  const ledger_request_t *request = call->message;
  entry_replica_t replicas[TICKET_REPLICAS_MAX];
  entry_ask_t args = { .op = request->op,
                       .attempt_vm = request->attempt.vm,
                       .attempt_incarnation = request->attempt.incarnation,
                       .attempt_number = request->attempt.number,
                       .fingerprint_low = request->fingerprint.low,
                       .fingerprint_high = request->fingerprint.high };
  peer_messages_put_ticket (&args.ticket, &request->ticket, replicas);
  if (request->op == LEDGER_RECORD)
    args.outcome = peer_messages_put_outcome (&request->outcome);
  pending_call_t *pending = malloc (sizeof *pending);
  if (!pending)
    abort ();
  *pending = (pending_call_t){ .job_id = call->job_id,
                               .replica = call->replica,
                               .receiver = call->receiver,
                               .closure = call->closure };
  call_peer (peers, call->vm,
             &(rpc_request_t){ .procedure = ENTRY_LEDGER,
                               .encode = (xdrproc_t)xdr_entry_ask_t,
                               .args = &args,
                               .timeout = call->timeout,
                               .done = on_vote,
                               .closure = pending });
}

/* One heartbeat call in progress.  */
typedef struct heartbeat_call
{
  peer_ledger_t *peers;
  vm_id_t vm;
  bool says_leaving; /* that this VM is about to stop */
} heartbeat_call_t;

static void
note_acknowledgement (peer_ledger_t *peers, vm_id_t vm)
{
  pthread_mutex_lock (&peers->lock);
  if (!leave_watch_is_acknowledged (peers->leave_watch, vm))
    peers->n_acknowledged++;
  leave_watch_acknowledged (peers->leave_watch, vm);
  pthread_cond_signal (&peers->acknowledged);
  pthread_mutex_unlock (&peers->lock);
}

static void
on_heartbeat (void *closure, const rpc_result_t *result)
{
  heartbeat_call_t *call = closure;
  entry_heartbeat_t heartbeat = { 0 };
  if (result->ok
      && rpc_result_decode (result, (xdrproc_t)xdr_entry_heartbeat_t,
                            &heartbeat))
    {
      merge_heartbeat (call->peers, &result->sender, &heartbeat);
      if (call->says_leaving)
        note_acknowledgement (call->peers, call->vm);
    }
  else
    {
      pthread_mutex_lock (&call->peers->lock);
      liveness_call_failed (call->peers->liveness, call->vm,
                            clock_monotonic ());
      pthread_mutex_unlock (&call->peers->lock);
    }
  xdr_free ((xdrproc_t)xdr_entry_heartbeat_t, (char *)&heartbeat);
  free (call);
}

static void
send_heartbeat (peer_ledger_t *peers, vm_id_t vm)
{
  entry_row_t rows[LIVENESS_CHANGES_MAX];
  pthread_mutex_lock (&peers->lock);
  bool says_leaving = peers->is_leaving;
  pthread_mutex_unlock (&peers->lock);
  entry_heartbeat_t args = make_heartbeat (peers, false, rows);
  heartbeat_call_t *call = malloc (sizeof *call);
  if (!call)
    abort ();
  *call = (heartbeat_call_t){ .peers = peers,
                              .vm = vm,
                              .says_leaving = says_leaving };
  call_peer (peers, vm,
             &(rpc_request_t){ .procedure = ENTRY_HEARTBEAT,
                               .encode = (xdrproc_t)xdr_entry_heartbeat_t,
                               .args = &args,
                               .timeout = HEARTBEAT_MSEC * USEC_PER_MSEC,
                               .done = on_heartbeat,
                               .closure = call });
}

static void
send_heartbeats (peer_ledger_t *peers)
{
  vm_id_t partners[LIVENESS_PEERS_MAX];
  pthread_mutex_lock (&peers->lock);
  size_t n = liveness_next_peers (peers->liveness, partners);
  pthread_mutex_unlock (&peers->lock);
  for (size_t i = 0; i < n; i++)
    send_heartbeat (peers, partners[i]);
}

static void *
heartbeat_thread (void *closure)
{
  peer_ledger_t *peers = closure;
  pthread_mutex_lock (&peers->lock);
  while (!peers->stop)
    {
      ledger_sweep (peers->ledger, SWEEP_STEPS, clock_monotonic ());
      pthread_mutex_unlock (&peers->lock);
      send_heartbeats (peers);
      pthread_mutex_lock (&peers->lock);
      if (!peers->stop)
        clock_wait (&peers->stopped, &peers->lock,
                    HEARTBEAT_MSEC * USEC_PER_MSEC);
    }
  pthread_mutex_unlock (&peers->lock);
  return NULL;
}

/* --- Start and end ---------------------------------------------------- */

peer_ledger_t *
peer_ledger_new (const peer_ledger_options_t *options, err_t *err)
{
  const settings_t *settings = options->settings;
  peer_ledger_t *peers = calloc (1, sizeof *peers);
  if (!peers)
    abort ();
  peers->options = *options;
  memcpy (peers->key.bytes, options->key, TICKET_KEY_BYTES);
  const ledger_options_t ledger_options
      = { .self = options->self,
          .incarnation = options->incarnation,
          .max_vms = settings->topology.n_vms,
          .max_claims = settings->limits.tickets,
          .max_total_body_bytes = RECORDED_BYTES_MAX,
          .max_body_bytes = RECORDED_BODY_BYTES_MAX,
          .ticket_lifetime = settings->limits.ticket_lifetime,
          .drift_ppm = CLOCK_DRIFT_PPM };
  peers->ledger = ledger_new (&ledger_options, clock_monotonic (), err);
  if (!peers->ledger)
    {
      free (peers);
      return NULL;
    }
  const liveness_options_t liveness = { .n_vms = settings->topology.n_vms,
                                        .self = options->self,
                                        .incarnation = options->incarnation,
                                        .seed = options->incarnation };
  peers->liveness = liveness_new (&liveness);
  random_seed (&peers->random, options->incarnation);
  pthread_mutex_init (&peers->lock, NULL);
  peers->leave_watch = leave_watch_new (settings->topology.n_vms);
  pthread_cond_init (&peers->stopped, NULL);
  pthread_cond_init (&peers->acknowledged, NULL);
  rpc_register (options->rpc, MULBERRY_ENTRY, MULBERRY_ENTRY_V1, ENTRY_LEDGER,
                serve_ledger_request, peers);
  rpc_register (options->rpc, MULBERRY_ENTRY, MULBERRY_ENTRY_V1,
                ENTRY_HEARTBEAT, serve_heartbeat, peers);
  return peers;
}

bool
peer_ledger_start (peer_ledger_t *peers, err_t *err)
{
  if (pthread_create (&peers->thread, NULL, heartbeat_thread, peers) == 0)
    return true;
  return err_set (err, ERR_IO, "raise the limit of threads",
                  "can't start the thread that sends heartbeats");
}

void
peer_ledger_stop (peer_ledger_t *peers)
{
  pthread_mutex_lock (&peers->lock);
  peers->stop = true;
  pthread_cond_signal (&peers->stopped);
  pthread_mutex_unlock (&peers->lock);
  pthread_join (peers->thread, NULL);
}

void
peer_ledger_free (peer_ledger_t *peers)
{
  ledger_free (peers->ledger);
  pthread_mutex_destroy (&peers->lock);
  pthread_cond_destroy (&peers->stopped);
  pthread_cond_destroy (&peers->acknowledged);
  leave_watch_free (peers->leave_watch);
  liveness_free (peers->liveness);
  free (peers);
}

/* With the lock held.  */
static bool
takes_callers (const peer_ledger_t *peers, vm_id_t vm, usec_t now)
{
  return liveness_is_reachable (peers->liveness, vm, now)
         && !liveness_record (peers->liveness, vm)->takes_no_callers;
}

bool
peer_ledger_takes_callers (peer_ledger_t *peers, vm_id_t vm)
{
  pthread_mutex_lock (&peers->lock);
  bool accepted = takes_callers (peers, vm, clock_monotonic ());
  pthread_mutex_unlock (&peers->lock);
  return accepted;
}

bool
peer_ledger_takes_forwarded (peer_ledger_t *peers, vm_id_t vm)
{
  usec_t lookup_age = peers->options.settings->limits.lookup_age;
  usec_t now = clock_monotonic ();
  pthread_mutex_lock (&peers->lock);
  bool takes
      = liveness_is_reachable (peers->liveness, vm, now)
        && !liveness_is_starting (liveness_record (peers->liveness, vm))
        && !leave_watch_has_left (peers->leave_watch, vm, lookup_age, now);
  pthread_mutex_unlock (&peers->lock);
  return takes;
}

/* Whether VM may still send callers or requests to this VM.  With the lock
   held.  */
static bool
must_acknowledge (const peer_ledger_t *peers, vm_id_t vm, usec_t now)
{
  return vm != peers->options.self
         && liveness_is_reachable (peers->liveness, vm, now)
         && !leave_watch_is_acknowledged (peers->leave_watch, vm);
}

/* Tell up to LEAVE_CALLS_MAX entry VMs, from *NEXT on, that this VM leaves.
   Returns the number of those that have not acknowledged it.  */
static size_t
tell_leaving (peer_ledger_t *peers, size_t *next)
{
  size_t n_vms = peers->options.settings->topology.n_vms;
  vm_id_t unaware[LEAVE_CALLS_MAX];
  size_t n_unaware = 0;
  size_t last = 0;
  usec_t now = clock_monotonic ();
  pthread_mutex_lock (&peers->lock);
  for (size_t i = 0; i < n_vms; i++)
    {
      vm_id_t vm = (vm_id_t)((*next + i) % n_vms);
      if (!must_acknowledge (peers, vm, now))
        continue;
      if (n_unaware < LEAVE_CALLS_MAX)
        {
          unaware[n_unaware] = vm;
          last = vm;
        }
      n_unaware++;
    }
  pthread_mutex_unlock (&peers->lock);
  *next = last + 1;
  for (size_t i = 0; i < n_unaware && i < LEAVE_CALLS_MAX; i++)
    send_heartbeat (peers, unaware[i]);
  return n_unaware;
}

/* Wait until N more acknowledgements have come, LEAVE_STEP_MSEC at most.  */
static void
wait_for_acknowledgements (peer_ledger_t *peers, size_t n)
{
  usec_t now = clock_monotonic ();
  usec_t end = now + LEAVE_STEP_MSEC * USEC_PER_MSEC;
  pthread_mutex_lock (&peers->lock);
  size_t enough = peers->n_acknowledged + n;
  while (peers->n_acknowledged < enough && now < end)
    {
      clock_wait (&peers->acknowledged, &peers->lock, end - now);
      now = clock_monotonic ();
    }
  pthread_mutex_unlock (&peers->lock);
}

void
peer_ledger_serve (peer_ledger_t *peers)
{
  pthread_mutex_lock (&peers->lock);
  bool is_leaving = peers->is_leaving;
  if (!is_leaving)
    {
      liveness_announce_serving (peers->liveness);
      pthread_cond_signal (&peers->stopped);
    }
  pthread_mutex_unlock (&peers->lock);
  if (!is_leaving)
    LOG_EVENT (LOG_LEVEL_INFO, "serving");
}

void
peer_ledger_leave (peer_ledger_t *peers)
{
  usec_t started_at = clock_monotonic ();
  usec_t end = started_at + LEAVE_WAIT_MAX_MSEC * USEC_PER_MSEC;
  size_t n_unaware;
  size_t next = 0;
  pthread_mutex_lock (&peers->lock);
  peers->is_leaving = true;
  liveness_announce_leaving (peers->liveness);
  pthread_mutex_unlock (&peers->lock);
  while ((n_unaware = tell_leaving (peers, &next)) > 0
         && clock_monotonic () < end)
    wait_for_acknowledgements (peers, n_unaware);
  LOG_EVENT (LOG_LEVEL_INFO, "leaving", LOG_U ("unaware", n_unaware),
             LOG_I ("usec", clock_monotonic () - started_at));
}

/* Whether VM may hold a replica of a new ticket's claim; one that can't serve
   yet votes all the same.  With the lock held.  */
static bool
may_hold_replica (const peer_ledger_t *peers, vm_id_t vm, usec_t now)
{
  return takes_callers (peers, vm, now)
         || (liveness_is_reachable (peers->liveness, vm, now)
             && liveness_is_starting (liveness_record (peers->liveness, vm)));
}

bool
peer_ledger_issue (peer_ledger_t *peers, char text[TICKET_TEXT_BYTES],
                   err_t *err)
{
  const topology_t *topology = &peers->options.settings->topology;
  ticket_candidate_t candidates[TICKET_CANDIDATES_MAX];
  usec_t now = clock_monotonic ();
  size_t n = 0;
  pthread_mutex_lock (&peers->lock);
  for (size_t i = 0; i < topology->n_vms && n < TICKET_CANDIDATES_MAX; i++)
    {
      bool is_self = i == peers->options.self;
      candidates[n++] = (ticket_candidate_t){
        .vm = (vm_id_t)i,
        .incarnation
        = liveness_record (peers->liveness, (vm_id_t)i)->incarnation,
        .domain = topology->vms[i].domain,
        .region = topology->domains[topology->vms[i].domain].region,
        .reachable = is_self || may_hold_replica (peers, (vm_id_t)i, now)
      };
    }
  const ticket_issue_options_t issue
      = { .issuer = peers->options.self,
          .incarnation = peers->options.incarnation,
          .sequence = ++peers->sequence,
          .now = now,
          .candidates = candidates,
          .n_candidates = n };
  ticket_t ticket;
  bool issued = ticket_issue (&ticket, &issue, &peers->random, err);
  pthread_mutex_unlock (&peers->lock);
  if (issued)
    ticket_format (text, &ticket, &peers->key);
  return issued;
}

const ticket_key_t *
peer_ledger_key (const peer_ledger_t *peers)
{
  return &peers->key;
}
