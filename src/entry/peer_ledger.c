#include "entry/peer_ledger.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "wire/generated/entry.h"

enum
{
  HEARTBEAT_MSEC = 500,
  REACHABLE_MSEC = 1500,
  CLOCK_DRIFT_PPM = 1000,
  KEPT_BODY_BYTES = 16 * 1024,
  KEPT_BYTES = 32 * 1024 * 1024,
  SWEEP_STEPS = 20000,
};

typedef struct peer
{
  uint64_t incarnation; /* 0: never heard */
  usec_t heard_at;
  bool leaving;
} peer_t;

struct peer_ledger
{
  peer_ledger_options_t options;
  ticket_key_t key;
  pthread_mutex_t lock; /* guards all below */
  pthread_cond_t stopped;
  bool stop;
  bool leaving;
  pthread_t thread;
  ledger_t *ledger;
  peer_t *peers;
  uint64_t sequence;
  random_state_t random;
};

/* --- Messages --------------------------------------------------------- */

static void
encode_ticket (entry_ticket_t *to, const ticket_t *from,
               entry_replica_t replicas[TICKET_REPLICAS_MAX])
{
  for (size_t i = 0; i < from->n_replicas; i++)
    replicas[i]
        = (entry_replica_t){ .vm = from->replicas[i].vm,
                             .incarnation = from->replicas[i].incarnation };
  *to = (entry_ticket_t){ .issuer = from->id.issuer,
                          .issuer_incarnation = from->id.issuer_incarnation,
                          .sequence = from->id.sequence,
                          .generation = from->generation,
                          .issued_at = from->issued_at,
                          .replicas = { .replicas_len = from->n_replicas,
                                        .replicas_val = replicas } };
}

static ticket_t
decode_ticket (const entry_ticket_t *from)
{
  ticket_t to = { .id = { .issuer = (vm_id_t)from->issuer,
                          .issuer_incarnation = from->issuer_incarnation,
                          .sequence = from->sequence },
                  .generation = from->generation,
                  .issued_at = from->issued_at,
                  .n_replicas = (uint8_t)from->replicas.replicas_len };
  for (size_t i = 0; i < to.n_replicas; i++)
    to.replicas[i]
        = (ticket_replica_t){ .vm = (vm_id_t)from->replicas.replicas_val[i].vm,
                              .incarnation
                              = from->replicas.replicas_val[i].incarnation };
  return to;
}

static entry_outcome_t
encode_outcome (const outcome_t *from)
{
  bool kept = from->body_kept && from->n_body <= ENTRY_BODY_BYTES_MAX;
  return (entry_outcome_t){ .status = from->status,
                            .body_kept = kept,
                            .body = { .body_len = kept ? from->n_body : 0,
                                      .body_val = (char *)from->body } };
}

static outcome_t
decode_outcome (const entry_outcome_t *from)
{
  return (outcome_t){ .status = (uint16_t)from->status,
                      .body_kept = from->body_kept,
                      .n_body = from->body.body_len,
                      .body = from->body.body_val };
}

static ledger_ask_t
decode_ask (const entry_ask_t *from)
{
  return (ledger_ask_t){ .op = (ledger_op_t)from->op,
                         .ticket = decode_ticket (&from->ticket),
                         .attempt = { .vm = (vm_id_t)from->attempt_vm,
                                      .incarnation = from->attempt_incarnation,
                                      .number = from->attempt_number },
                         .fingerprint = { .low = from->fingerprint_low,
                                          .high = from->fingerprint_high },
                         .outcome = decode_outcome (&from->outcome) };
}

static peer_vote_t *
vote_new (uint64_t claimant, uint8_t replica, const ledger_vote_t *vote)
{
  size_t n = vote && vote->outcome.body_kept ? vote->outcome.n_body : 0;
  peer_vote_t *copy = malloc (sizeof *copy + n + 1);
  if (!copy)
    abort ();
  *copy = (peer_vote_t){ .claimant = claimant,
                         .replica = replica,
                         .ok = vote != NULL };
  if (!vote)
    return copy;
  copy->vote = *vote;
  if (n > 0)
    memcpy (copy->body, vote->outcome.body, n);
  copy->vote.outcome.body = copy->body;
  return copy;
}

/* --- Serving ---------------------------------------------------------- */

static void
serve_ask (void *closure, rpc_call_t *call)
{
  peer_ledger_t *peers = closure;
  entry_ask_t args = { 0 };
  if (!rpc_call_args (call, (xdrproc_t)xdr_entry_ask_t, &args))
    return;
  ledger_ask_t ask = decode_ask (&args);
  pthread_mutex_lock (&peers->lock);
  ledger_vote_t vote = ledger_on_ask (peers->ledger, &ask, clock_monotonic ());
  entry_vote_t result = { .kind = vote.kind, .generation = vote.generation };
  if (vote.kind == VOTE_DONE)
    result.outcome = encode_outcome (&vote.outcome);
  rpc_reply (call, (xdrproc_t)xdr_entry_vote_t, &result);
  pthread_mutex_unlock (&peers->lock);
  xdr_free ((xdrproc_t)xdr_entry_ask_t, (char *)&args);
}

static void
hear (peer_ledger_t *peers, const rpc_sender_t *sender,
      const entry_heartbeat_t *heartbeat)
{
  if (sender->vm >= peers->options.settings->topology.n_vms)
    return;
  usec_t now = clock_monotonic ();
  pthread_mutex_lock (&peers->lock);
  peer_t *peer = &peers->peers[sender->vm];
  if (sender->incarnation >= peer->incarnation)
    *peer = (peer_t){ .incarnation = sender->incarnation,
                      .heard_at = now,
                      .leaving = heartbeat->leaving };
  ledger_on_heartbeat (peers->ledger, (vm_id_t)sender->vm, sender->incarnation,
                       heartbeat->stamp, now);
  pthread_mutex_unlock (&peers->lock);
}

static entry_heartbeat_t
own_heartbeat (peer_ledger_t *peers)
{
  pthread_mutex_lock (&peers->lock);
  bool leaving = peers->leaving;
  pthread_mutex_unlock (&peers->lock);
  return (entry_heartbeat_t){ .stamp = clock_monotonic (),
                              .leaving = leaving };
}

static void
serve_heartbeat (void *closure, rpc_call_t *call)
{
  entry_heartbeat_t args = { 0 };
  if (!rpc_call_args (call, (xdrproc_t)xdr_entry_heartbeat_t, &args))
    return;
  rpc_sender_t sender = rpc_call_sender (call);
  hear (closure, &sender, &args);
  entry_heartbeat_t own = own_heartbeat (closure);
  rpc_reply (call, (xdrproc_t)xdr_entry_heartbeat_t, &own);
}

/* --- Calling ---------------------------------------------------------- */

typedef struct pending_ask
{
  uint64_t claimant;
  uint8_t replica;
  peer_vote_receiver_t receiver;
  void *closure;
} pending_ask_t;

static void
on_vote (void *closure, const rpc_result_t *result)
{
  pending_ask_t *pending = closure;
  entry_vote_t from = { 0 };
  bool ok = result->ok
            && rpc_result_decode (result, (xdrproc_t)xdr_entry_vote_t, &from);
  const ledger_vote_t vote = { .kind = (vote_kind_t)from.kind,
                               .generation = from.generation,
                               .outcome = decode_outcome (&from.outcome) };
  pending->receiver (
      pending->closure,
      vote_new (pending->claimant, pending->replica, ok ? &vote : NULL));
  if (ok)
    xdr_free ((xdrproc_t)xdr_entry_vote_t, (char *)&from);
  free (pending);
}

peer_vote_t *
peer_ledger_ask_own (peer_ledger_t *peers, uint64_t claimant, uint8_t replica,
                     const ledger_ask_t *message)
{
  pthread_mutex_lock (&peers->lock);
  ledger_vote_t vote
      = ledger_on_ask (peers->ledger, message, clock_monotonic ());
  peer_vote_t *copy = vote_new (claimant, replica, &vote);
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
peer_ledger_ask (peer_ledger_t *peers, const peer_ask_t *ask)
{
  if (ask->vm >= peers->options.settings->topology.n_vms)
    {
      ask->receiver (ask->closure,
                     vote_new (ask->claimant, ask->replica, NULL));
      return;
    }
  const ledger_ask_t *from = ask->message;
  entry_replica_t replicas[TICKET_REPLICAS_MAX];
  entry_ask_t args = { .op = from->op,
                       .attempt_vm = from->attempt.vm,
                       .attempt_incarnation = from->attempt.incarnation,
                       .attempt_number = from->attempt.number,
                       .fingerprint_low = from->fingerprint.low,
                       .fingerprint_high = from->fingerprint.high };
  encode_ticket (&args.ticket, &from->ticket, replicas);
  if (from->op == LEDGER_RECORD)
    args.outcome = encode_outcome (&from->outcome);
  pending_ask_t *pending = malloc (sizeof *pending);
  if (!pending)
    abort ();
  *pending = (pending_ask_t){ .claimant = ask->claimant,
                              .replica = ask->replica,
                              .receiver = ask->receiver,
                              .closure = ask->closure };
  call_peer (peers, ask->vm,
             &(rpc_request_t){ .procedure = ENTRY_LEDGER,
                               .encode = (xdrproc_t)xdr_entry_ask_t,
                               .args = &args,
                               .timeout = ask->timeout,
                               .done = on_vote,
                               .closure = pending });
}

static void
on_heartbeat (void *closure, const rpc_result_t *result)
{
  entry_heartbeat_t heartbeat = { 0 };
  if (result->ok
      && rpc_result_decode (result, (xdrproc_t)xdr_entry_heartbeat_t,
                            &heartbeat))
    hear (closure, &result->sender, &heartbeat);
}

static void
beat (peer_ledger_t *peers)
{
  entry_heartbeat_t args = own_heartbeat (peers);
  for (size_t i = 0; i < peers->options.settings->topology.n_vms; i++)
    {
      if (i == peers->options.self)
        continue;
      call_peer (peers, (vm_id_t)i,
                 &(rpc_request_t){ .procedure = ENTRY_HEARTBEAT,
                                   .encode = (xdrproc_t)xdr_entry_heartbeat_t,
                                   .args = &args,
                                   .timeout = HEARTBEAT_MSEC * USEC_PER_MSEC,
                                   .done = on_heartbeat,
                                   .closure = peers });
    }
}

static void *
peers_run (void *closure)
{
  peer_ledger_t *peers = closure;
  const rpc_sender_t self = { .vm = peers->options.self,
                              .incarnation = peers->options.incarnation };
  pthread_mutex_lock (&peers->lock);
  while (!peers->stop)
    {
      ledger_sweep (peers->ledger, SWEEP_STEPS, clock_monotonic ());
      pthread_mutex_unlock (&peers->lock);
      entry_heartbeat_t own = own_heartbeat (peers);
      hear (peers, &self, &own);
      beat (peers);
      pthread_mutex_lock (&peers->lock);
      if (!peers->stop)
        clock_wait (&peers->stopped, &peers->lock,
                    HEARTBEAT_MSEC * USEC_PER_MSEC);
    }
  pthread_mutex_unlock (&peers->lock);
  return NULL;
}

/* --- Life ------------------------------------------------------------- */

peer_ledger_t *
peer_ledger_new (const peer_ledger_options_t *options, err_t *err)
{
  const settings_t *settings = options->settings;
  peer_ledger_t *peers = calloc (1, sizeof *peers);
  if (!peers)
    abort ();
  peers->options = *options;
  memcpy (peers->key.bytes, options->key, TICKET_KEY_BYTES);
  peers->peers = calloc (settings->topology.n_vms, sizeof *peers->peers);
  const ledger_options_t ledger_options
      = { .self = options->self,
          .incarnation = options->incarnation,
          .max_vms = settings->topology.n_vms,
          .max_claims = settings->limits.tickets,
          .max_bytes = KEPT_BYTES,
          .max_body = KEPT_BODY_BYTES,
          .ticket_life = settings->limits.ticket_lifetime,
          .drift_ppm = CLOCK_DRIFT_PPM };
  peers->ledger = ledger_new (&ledger_options, clock_monotonic (), err);
  if (!peers->ledger || !peers->peers)
    {
      free (peers->peers);
      free (peers);
      return NULL;
    }
  random_seed (&peers->random, options->incarnation);
  pthread_mutex_init (&peers->lock, NULL);
  pthread_cond_init (&peers->stopped, NULL);
  rpc_register (options->rpc, MULBERRY_ENTRY, MULBERRY_ENTRY_V1, ENTRY_LEDGER,
                serve_ask, peers);
  rpc_register (options->rpc, MULBERRY_ENTRY, MULBERRY_ENTRY_V1,
                ENTRY_HEARTBEAT, serve_heartbeat, peers);
  return peers;
}

bool
peer_ledger_start (peer_ledger_t *peers, err_t *err)
{
  if (pthread_create (&peers->thread, NULL, peers_run, peers) == 0)
    return true;
  return err_set (err, ERR_IO, "raise the limit of threads",
                  "no thread for heartbeats");
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
  free (peers->peers);
  free (peers);
}

static bool
is_reachable (const peer_ledger_t *peers, vm_id_t vm, usec_t now)
{
  const peer_t *peer = &peers->peers[vm];
  return peer->incarnation != 0
         && now - peer->heard_at < REACHABLE_MSEC * USEC_PER_MSEC;
}

bool
peer_ledger_reachable (peer_ledger_t *peers, vm_id_t vm)
{
  pthread_mutex_lock (&peers->lock);
  bool reachable = is_reachable (peers, vm, clock_monotonic ());
  pthread_mutex_unlock (&peers->lock);
  return reachable;
}

bool
peer_ledger_takes_callers (peer_ledger_t *peers, vm_id_t vm)
{
  pthread_mutex_lock (&peers->lock);
  bool takes = is_reachable (peers, vm, clock_monotonic ())
               && !peers->peers[vm].leaving;
  pthread_mutex_unlock (&peers->lock);
  return takes;
}

void
peer_ledger_leave (peer_ledger_t *peers)
{
  pthread_mutex_lock (&peers->lock);
  peers->leaving = true;
  pthread_mutex_unlock (&peers->lock);
  beat (peers);
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
      bool own = i == peers->options.self;
      candidates[n++] = (ticket_candidate_t){
        .vm = (vm_id_t)i,
        .incarnation
        = own ? peers->options.incarnation : peers->peers[i].incarnation,
        .domain = topology->vms[i].domain,
        .region = topology->domains[topology->vms[i].domain].region,
        .reachable = own
                     || (is_reachable (peers, (vm_id_t)i, now)
                         && !peers->peers[i].leaving)
      };
    }
  const ticket_issue_t issue = { .issuer = peers->options.self,
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
