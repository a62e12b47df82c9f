/* caller_port: an entry VM's HTTP server for callers.

   GET /v1/lookup?service=S&block=B   which entry VMs to use; with &ticket=1
                                      also a ticket
   any /s/SERVICE/...                 a request to a backend server

   Every answer to a request carries X-Mulberry-Outcome: answer, not-run or
   unknown.  docs/API.md describes the interface in full.  */

#ifndef ENTRY_CALLER_PORT_H
#define ENTRY_CALLER_PORT_H

#include "entry/current_sheet.h"
#include "entry/exchange.h"
#include "entry/peer_ledger.h"
#include "entry/shared_quarantine.h"
#include "entry/spend_share.h"
#include "settings/settings_defs.h"

typedef struct caller_port caller_port_t;

typedef struct caller_port_options
{
  const settings_t *settings;
  vm_id_t self;
  uint64_t incarnation;
  current_sheet_t *current_sheet;
  peer_ledger_t *peers;
  spend_share_t *spend;
  shared_quarantine_t *quarantine;
  entry_metrics_t *metrics;
} caller_port_options_t;

/* Start the dispatcher and listen.  NULL with ERR set on an error.  */
caller_port_t *caller_port_open (const caller_port_options_t *options,
                                 err_t *err);

/* Drain: answer look-ups with other entry VMs only and serve requests until
   the look-ups that callers have cached are too old; then refuse new requests
   as "not run", finish those in progress and stop.  Takes the maximum age of a
   look-up and at most the longest deadline on top.  */
void caller_port_close (caller_port_t *port);

/* Call it after caller_port_close and rpc_close.  */
void caller_port_free (caller_port_t *port);

#endif
