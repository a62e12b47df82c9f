/* peer_ledger: this entry VM's replica of the ledger, and its calls to the
   replicas of other entry VMs.

   Heartbeats between entry VMs carry each VM's incarnation and monotonic
   clock, which tickets are made from and expire by; membership/liveness says
   who is called and what is passed on.  Thread-safe.  */

#ifndef ENTRY_PEER_LEDGER_H
#define ENTRY_PEER_LEDGER_H

#include "ledger/ledger.h"
#include "settings/settings_defs.h"
#include "wire/rpc.h"

typedef struct peer_ledger peer_ledger_t;

typedef struct peer_ledger_options
{
  const settings_t *settings;
  vm_id_t self;
  uint64_t incarnation;
  const unsigned char *key; /* TICKET_KEY_BYTES; copied */
  rpc_t *rpc;               /* not yet started */
} peer_ledger_options_t;

/* What a replica said to one ask.  */
typedef struct peer_vote
{
  uint64_t job_id; /* as in peer_ledger_call_t */
  uint8_t replica;
  bool is_answered; /* false: no answer */
  ledger_vote_t vote;
  char body[]; /* what vote.outcome.body points to */
} peer_vote_t;

/* Called once for each ask, on the RPC thread or in peer_ledger_call_replica;
 * VOTE is the receiver's to free.  */
typedef void (*peer_vote_receiver_t) (void *closure, peer_vote_t *vote);

typedef struct peer_ledger_call
{
  vm_id_t vm;
  uint64_t job_id;
  uint8_t replica;
  usec_t timeout;
  const ledger_request_t *message;
  peer_vote_receiver_t receiver;
  void *closure;
} peer_ledger_call_t;

/* Registers its calls with the RPC.  NULL with ERR_LIMIT where memory is
   short.  */
peer_ledger_t *peer_ledger_new (const peer_ledger_options_t *options,
                                err_t *err);

/* Start the thread of heartbeats; after rpc_start.  */
bool peer_ledger_start (peer_ledger_t *peers, err_t *err);

/* Stop it; before rpc_close.  */
void peer_ledger_stop (peer_ledger_t *peers);

/* After rpc_close.  */
void peer_ledger_free (peer_ledger_t *peers);

/* A new ticket's text.  */
bool peer_ledger_issue (peer_ledger_t *peers, char text[TICKET_TEXT_BYTES],
                        err_t *err);

/* Ask another VM's replica.  */
void peer_ledger_call_replica (peer_ledger_t *peers,
                               const peer_ledger_call_t *ask);

/* Ask the own replica; the vote is the caller's to free.  */
peer_vote_t *peer_ledger_call_local (peer_ledger_t *peers, uint64_t claimant,
                                     uint8_t replica,
                                     const ledger_request_t *message);

/* Whether VM can be reached, as far as is known.  */
bool peer_ledger_reachable (peer_ledger_t *peers, vm_id_t vm);

/* Whether new callers may be sent to VM: it is reachable and not leaving.  */
bool peer_ledger_takes_callers (peer_ledger_t *peers, vm_id_t vm);

/* Let the others know that this VM is about to stop.  */
void peer_ledger_leave (peer_ledger_t *peers);

const ticket_key_t *peer_ledger_key (const peer_ledger_t *peers);

#endif
