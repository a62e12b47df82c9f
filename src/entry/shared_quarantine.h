/* shared_quarantine: the quarantine of requests that crash backend servers
   (delivery/quarantine), replicated to all entry VMs by RPC.  Thread-safe.  */

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

/* Registers its procedure with the RPC.  NULL with ERR set where memory is
   short.  */
shared_quarantine_t *
shared_quarantine_new (const shared_quarantine_options_t *options, err_t *err);

/* Call it after rpc_close.  */
void shared_quarantine_free (shared_quarantine_t *shared);

/* As quarantine_check, quarantine_on_send and quarantine_on_end at the present
   time.  */
quarantine_verdict_t shared_quarantine_check (shared_quarantine_t *shared,
                                              fingerprint_t fingerprint,
                                              uint32_t backend);
void shared_quarantine_on_send (shared_quarantine_t *shared,
                                fingerprint_t fingerprint, uint32_t backend);
void shared_quarantine_on_end (shared_quarantine_t *shared,
                               fingerprint_t fingerprint, uint32_t backend,
                               bool whole);

/* As quarantine_on_crash at the present time; also sends the marks to the
   other entry VMs.  */
void shared_quarantine_on_crash (shared_quarantine_t *shared, uint32_t backend,
                                 const fingerprint_t *in_flight,
                                 size_t n_in_flight);

/* Send the marks to the other entry VMs again, where there are any.  Call it
   about once a second: messages may be lost.  */
void shared_quarantine_rebroadcast (shared_quarantine_t *shared);

#endif
