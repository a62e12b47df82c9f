/* dispatcher: the thread that carries requests from their arrival to their
   outcome.  The decisions are delivery/request's, ledger/claim's and
   delivery/slots'; this gives them events and acts on what they say.  */

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
  /* The exchange has its outcome; on the dispatcher's thread.  */
  void (*outcome_ready) (void *closure, exchange_t *exchange);
} dispatcher_options_t;

dispatcher_t *dispatcher_start (const dispatcher_options_t *options,
                                err_t *err);

/* Carry EXCHANGE; from any thread.  False where too many are under way.  */
bool dispatcher_submit (dispatcher_t *dispatcher, exchange_t *exchange);

/* Notice when the caller closes its socket FD; once for each connection.  */
void dispatcher_watch_caller (dispatcher_t *dispatcher, int fd);

/* End the thread; what is under way is told "unknown".  */
void dispatcher_stop (dispatcher_t *dispatcher);

/* After rpc_close, whose last answers still come here.  */
void dispatcher_free (dispatcher_t *dispatcher);

#endif
