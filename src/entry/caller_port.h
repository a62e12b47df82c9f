/* caller_port: what callers see of an entry VM, over HTTP.

   GET /v1/lookup?service=S&block=B   which entry VMs to use; with &ticket=1
                                      also a ticket
   any /s/SERVICE/...                 a request to a backend server

   Every answer to a request carries X-Mulberry-Outcome: answer, not-run or
   unknown.  docs/API.md has the whole of it.  */

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

caller_port_t *caller_port_open (const caller_port_options_t *options,
                                 err_t *err);

/* Name other entry VMs to look-ups and serve until the last cached one is too
   old; then refuse new requests as "not run", finish what is under way and
   end.  Takes a look-up's age and at most the longest deadline.  */
void caller_port_close (caller_port_t *port);

/* After rpc_close.  */
void caller_port_free (caller_port_t *port);

#endif
