/* peer_ledger: this entry VM's replica of the ledger of tickets, and its calls
   to the replicas of other entry VMs.

   Heartbeats between entry VMs carry the incarnation and the monotonic clock
   of each VM; tickets name the incarnations of their replicas and expire by
   these clocks.  membership/liveness selects the VMs to call and the changes
   to pass on.  Thread-safe.  */

#ifndef ENTRY_PEER_LEDGER_H
#define ENTRY_PEER_LEDGER_H

#include "entry/peer_vote.h"
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

/* Called once for each call, on the RPC thread or from within
   peer_ledger_call_replica.  The receiver frees VOTE.  */
typedef void (*peer_vote_receiver_t) (void *closure, peer_vote_t *vote);

/* One call to a replica; nothing of it but CLOSURE is kept.  */
typedef struct peer_ledger_call
{
  vm_id_t vm;      /* of the replica */
  uint64_t job_id; /* given back in the vote */
  uint8_t replica; /* index in the ticket; given back in the vote */
  usec_t timeout;
  const ledger_request_t *message;
  peer_vote_receiver_t receiver;
  void *closure;
} peer_ledger_call_t;

/* Registers its procedures with the RPC.  NULL with ERR_LIMIT where memory is
   short.  */
peer_ledger_t *peer_ledger_new (const peer_ledger_options_t *options,
                                err_t *err);

/* Start the thread that sends heartbeats; call it after rpc_start.  */
bool peer_ledger_start (peer_ledger_t *peers, err_t *err);

/* Stop that thread; call it before rpc_close.  */
void peer_ledger_stop (peer_ledger_t *peers);

/* Call it after rpc_close.  */
void peer_ledger_free (peer_ledger_t *peers);

/* Write the text of a new ticket.  False with ERR set where this VM is not
   among the settings' first TICKET_CANDIDATES_MAX.  */
bool peer_ledger_issue (peer_ledger_t *peers, char text[TICKET_TEXT_BYTES],
                        err_t *err);

/* Call the replica of another VM.  */
void peer_ledger_call_replica (peer_ledger_t *peers,
                               const peer_ledger_call_t *call);

/* Call this VM's own replica; the caller frees the vote.  */
peer_vote_t *peer_ledger_call_local (peer_ledger_t *peers, uint64_t job_id,
                                     uint8_t replica,
                                     const ledger_request_t *message);

/* This VM can serve from now on: tell the other entry VMs.  Does nothing after
   peer_ledger_leave.  */
void peer_ledger_serve (peer_ledger_t *peers);

/* Whether new callers may be sent to VM: it is reachable, can serve, and is
   not about to stop.  */
bool peer_ledger_takes_callers (peer_ledger_t *peers, vm_id_t vm);

/* Whether requests may be forwarded to VM: it is reachable, can serve, and has
   not been known to leave for as long as callers keep a look-up.  */
bool peer_ledger_takes_forwarded (peer_ledger_t *peers, vm_id_t vm);

/* Tell the other entry VMs that this VM is about to stop, and wait until all
   that can be reached have acknowledged it, for some seconds at most.  */
void peer_ledger_leave (peer_ledger_t *peers);

/* The key that signs tickets and hop credentials; the ledger's own.  */
const ticket_key_t *peer_ledger_key (const peer_ledger_t *peers);

#endif
