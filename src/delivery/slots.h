/* slots: admission control for the backend servers of this VM's own failure
   domain.  A slot is the right to run one request on a backend server.

   Exactly one entry VM of the failure domain admits requests to a given
   backend server: its owner, chosen by rendezvous hashing over the failure
   domain's entry VMs as listed in the settings.  The owner counts the slots
   in memory only.  After a restart, requests that the former process
   admitted may still be running, so the owner admits nothing until the
   longest permitted time to a deadline and the stop margin have passed since
   its start.  Each request carries its deadline to the backend server, which
   stops the request then.

   A slot is released exactly once: its token carries a serial number that
   matches only while the slot is held.  */

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

/* Identifies one held slot.  */
typedef struct slot_token
{
  uint32_t backend; /* index of the backend server */
  uint32_t slot;    /* index among the backend server's slots */
  uint64_t serial;  /* 0: no slot is held */
} slot_token_t;

typedef enum
{
  SLOT_GRANTED,
  SLOT_FULL,         /* all slots of the backend server are in use */
  SLOT_NOT_OWNER,    /* another entry VM admits to this backend server */
  SLOT_STARTUP_WAIT, /* requests from before the restart may still run */
  SLOT_DRAINING,     /* the backend server accepts no new requests */
  SLOT_DEADLINE,     /* the deadline has passed, or is too far ahead */
  SLOT_NO_BACKEND,   /* no backend server is known under this index */
} slot_result_t;

typedef struct slots_options
{
  vm_id_t self;
  vm_id_t owners[SLOT_OWNERS_MAX]; /* the failure domain's entry VMs, from
                                      the settings */
  size_t n_owners;
  uint32_t max_backends;
  usec_t max_time_to_deadline; /* a request's deadline may lie no further
                                  ahead of its admission */
  usec_t stop_margin; /* time that a backend server needs to stop a request
                         after its deadline */
  usec_t started_at;  /* start of this process, on its monotonic clock */
} slots_options_t;

/* The limits of one backend server.  */
typedef struct slot_backend
{
  uint64_t key;       /* stable identity, the input of the rendezvous hash */
  uint16_t max_slots; /* requests that it runs at the same time */
  uint16_t max_connections; /* connections that it accepts */
} slot_backend_t;

/* Returns NULL with ERR_SETTINGS where an option is out of range, and with
   ERR_LIMIT where memory is short.  Free the result with slots_free.  */
slots_t *slots_new (const slots_options_t *options, err_t *err);
void slots_free (slots_t *slots);

/* Add the backend server with the index BACKEND, or change its limits.  A
   lower limit applies to new requests only.  Fails with ERR_LIMIT where
   BACKEND isn't below max_backends, or where CAPS asks for more than
   SLOTS_PER_BACKEND_MAX slots.  */
bool slots_set_backend (slots_t *slots, uint32_t backend,
                        const slot_backend_t *caps, err_t *err);

/* A draining backend server is admitted no new requests.  */
void slots_set_draining (slots_t *slots, uint32_t backend, bool draining);

/* The entry VM that admits to the backend server with the identity KEY;
   TOPOLOGY_NONE where OWNERS is empty.  */
vm_id_t slots_owner (const vm_id_t *owners, size_t n_owners, uint64_t key);

/* Take a slot for a request with DEADLINE (on this VM's monotonic clock).
   TOKEN is filled in where the result is SLOT_GRANTED, and zeroed
   otherwise.  */
slot_result_t slots_admit (slots_t *slots, uint32_t backend, usec_t deadline,
                           usec_t now, slot_token_t *token);

/* Whether the request still holds its slot, was not cancelled and has not
   reached its deadline.  Call it with a freshly read clock immediately
   before the request is sent.  */
bool slots_may_send (const slots_t *slots, const slot_token_t *token,
                     usec_t now);

/* Release a slot whose work has ended: it was answered, failed or never
   sent, or the backend server confirmed the cancellation.  Returns false
   where TOKEN no longer holds the slot.  */
bool slots_release (slots_t *slots, const slot_token_t *token);

/* The work was cancelled but may still run: keep the slot until
   slots_release, or until the deadline and the stop margin have passed.
   Returns false where TOKEN no longer holds the slot.  */
bool slots_cancel (slots_t *slots, const slot_token_t *token);

/* Release the cancelled slots whose deadline and stop margin have passed;
   returns how many were released.  */
size_t slots_tick (slots_t *slots, usec_t now);

/* The number of slots in use, and of slots that slots_admit would grant.  */
uint32_t slots_used (const slots_t *slots, uint32_t backend);
uint32_t slots_available (const slots_t *slots, uint32_t backend, usec_t now);

/* Count one more connection to the backend server.  The caller opens the
   connection only where this returns true, and then calls
   slots_close_connection once.  */
bool slots_open_connection (slots_t *slots, uint32_t backend, usec_t now);
void slots_close_connection (slots_t *slots, uint32_t backend);

#endif
