/* shared_quarantine: the quarantine of requests that crash backend servers, as
   all entry VMs share it.  Thread-safe.  */

#ifndef ENTRY_SHARED_QUARANTINE_H
#define ENTRY_SHARED_QUARANTINE_H

#include "delivery/quarantine.h"
#include "settings/settings_defs.h"
#include "wire/rpc.h"

typedef struct shared_quarantine shared_quarantine_t;

typedef struct shared_quarantine_options
{
  const settings_t *settings;
  vm_id_t self;
  uint64_t incarnation;
  rpc_t *rpc; /* not yet started */
} shared_quarantine_options_t;

/* Registers its call with the RPC.  */
shared_quarantine_t *
shared_quarantine_new (const shared_quarantine_options_t *options, err_t *err);

/* After rpc_close.  */
void shared_quarantine_free (shared_quarantine_t *shared);

/* As quarantine_check, quarantine_on_send and quarantine_on_end.  */
quarantine_verdict_t shared_quarantine_check (shared_quarantine_t *shared,
                                              fingerprint_t fingerprint,
                                              uint32_t backend);
void shared_quarantine_on_send (shared_quarantine_t *shared,
                                fingerprint_t fingerprint, uint32_t backend);
void shared_quarantine_on_end (shared_quarantine_t *shared,
                               fingerprint_t fingerprint, uint32_t backend,
                               bool whole);

/* As quarantine_on_crash; the other entry VMs are told.  */
void shared_quarantine_on_crash (shared_quarantine_t *shared, uint32_t backend,
                                 const fingerprint_t *in_flight,
                                 size_t n_in_flight);

/* Tell the others again, where there is something to tell.  */
void shared_quarantine_rebroadcast (shared_quarantine_t *shared);

#endif
