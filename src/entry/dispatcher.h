/* dispatcher: the thread that processes requests from their arrival to their
   outcome.  The state machines delivery/request, ledger/claim and
   delivery/slots make the decisions; the dispatcher passes events to them and
   performs the actions that they return.  */

#ifndef ENTRY_DISPATCHER_H
#define ENTRY_DISPATCHER_H

#include "entry/current_sheet.h"
#include "entry/exchange.h"
#include "entry/peer_ledger.h"
#include "entry/shared_quarantine.h"
#include "entry/spend_share.h"
#include "settings/settings_defs.h"

typedef struct dispatcher dispatcher_t;

typedef struct dispatcher_options
{
  const settings_t *settings;
  vm_id_t self;
  uint64_t incarnation;
  current_sheet_t *current_sheet;
  peer_ledger_t *peers;
  spend_share_t *spend;
  shared_quarantine_t *quarantine;
  void *closure;
  /* Called once for each submitted exchange, when its outcome is set; runs on
     the dispatcher's thread.  */
  void (*outcome_ready) (void *closure, exchange_t *exchange);
} dispatcher_options_t;

/* Start the thread.  NULL with ERR set where memory or threads are short.
   The options' objects must outlive the dispatcher.  */
dispatcher_t *dispatcher_start (const dispatcher_options_t *options,
                                err_t *err);

/* Queue EXCHANGE for processing; from any thread.  The dispatcher takes over
   one of its references.  False, and the reference stays with the caller,
   where the dispatcher's inbox is full.  */
bool dispatcher_submit (dispatcher_t *dispatcher, exchange_t *exchange);

/* Watch the caller's socket FD, so that its requests are cancelled when the
   caller closes it.  Call it once for each connection; from any thread.  */
void dispatcher_watch_caller (dispatcher_t *dispatcher, int fd);

/* End the thread.  Requests that are still in progress 1 s later get the
   outcome "unknown".  */
void dispatcher_stop (dispatcher_t *dispatcher);

/* Release the dispatcher.  Call it after rpc_close: RPC results may arrive
   until then.  */
void dispatcher_free (dispatcher_t *dispatcher);

#endif
