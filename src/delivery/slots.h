/* slots: admission to the backend servers of the own failure domain.

   Each backend server is admitted by exactly one entry VM of its domain, by
   rendezvous hash over the domain's entry VMs as the settings name them.
   The owner keeps count in memory.  After a restart its former requests may
   still run, so it admits nothing until the longest allowed deadline has
   passed since its start; requests carry their deadline to the backend
   server, which stops them then.

   A slot is freed exactly once: its token carries a serial number that fits
   only while the slot is held.  */

#ifndef DELIVERY_SLOTS_H
#define DELIVERY_SLOTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/time_defs.h"
#include "placement/topology_defs.h"

enum
{
  SLOTS_PER_BACKEND_MAX = 16,
  SLOT_OWNERS_MAX = 64, /* entry VMs of one failure domain */
};

typedef struct slots slots_t;

typedef struct slot_token
{
  uint32_t backend;
  uint32_t slot;
  uint64_t serial; /* 0: no token */
} slot_token_t;

typedef enum
{
  SLOT_GRANTED,
  SLOT_FULL,
  SLOT_NOT_OWNER,    /* another entry VM admits */
  SLOT_STARTUP_WAIT, /* the quiet time after the start */
  SLOT_DRAINING,     /* the backend server takes nothing new */
  SLOT_DEADLINE,     /* passed, or longer than the longest allowed */
  SLOT_NO_BACKEND,
} slot_result_t;

typedef struct slots_options
{
  vm_id_t self;
  vm_id_t owners[SLOT_OWNERS_MAX]; /* entry VMs of the domain, from settings */
  size_t n_owners;
  uint32_t max_backends;
  usec_t max_time_to_deadline;
  usec_t stop_margin; /* for a backend server to stop at a deadline */
  usec_t started_at;  /* of this process */
} slots_options_t;

typedef struct slot_backend
{
  uint64_t key;             /* names it for the rendezvous hash; stable */
  uint16_t max_slots;       /* that it runs at once */
  uint16_t max_connections; /* that it takes */
} slot_backend_t;

slots_t *slots_new (const slots_options_t *options, err_t *err);
void slots_free (slots_t *slots);

/* Make BACKEND (an index below max_backends) known, or change its caps.
   Caps that shrink bind new requests only.  */
bool slots_set_backend (slots_t *slots, uint32_t backend,
                        const slot_backend_t *caps, err_t *err);

/* LEAVING backend servers admit nothing.  */
void slots_set_draining (slots_t *slots, uint32_t backend, bool leaving);

/* The entry VM that admits to the backend server named KEY.  */
vm_id_t slots_owner (const vm_id_t *owners, size_t n_owners, uint64_t key);

/* Take a slot until DEADLINE (on the own clock).  */
slot_result_t slots_admit (slots_t *slots, uint32_t backend, usec_t deadline,
                           usec_t now, slot_token_t *token);

/* To be asked right before the bytes leave, with a fresh clock: whether the
   slot is still this request's and its deadline not passed.  */
bool slots_may_send (const slots_t *slots, const slot_token_t *token,
                     usec_t now);

/* The work has ended (answered, failed, never sent, or the cancellation was
   confirmed).  False where the slot is not this token's any more.  */
bool slots_release (slots_t *slots, const slot_token_t *token);

/* The work was cancelled and may still run: keep the slot until slots_release,
   or until the deadline and the margin have passed.  */
bool slots_cancel (slots_t *slots, const slot_token_t *token);

/* Free cancelled slots whose deadline passed; returns how many.  */
size_t slots_tick (slots_t *slots, usec_t now);

/* Slots in use, and slots that could be taken now.  */
uint32_t slots_used (const slots_t *slots, uint32_t backend);
uint32_t slots_available (const slots_t *slots, uint32_t backend, usec_t now);

/* Connections: opened only where this says true; closed once for each.  */
bool slots_open_connection (slots_t *slots, uint32_t backend, usec_t now);
void slots_close_connection (slots_t *slots, uint32_t backend);

#endif
