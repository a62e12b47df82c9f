/* backend_table: the backend servers of the sheet in force, and the slots that
   this entry VM admits requests to.  Each backend server belongs to one entry
   VM of its failure domain, by rendezvous hashing; that VM alone grants its
   slots.  For one thread only.

   placement/steer chooses a backend server twice: among all backend servers,
   which gives the one to run a request or the entry VM to forward it to, and
   among those that this VM grants slots of.  delivery/slots alone admits a
   request.  */

#ifndef ENTRY_BACKEND_TABLE_H
#define ENTRY_BACKEND_TABLE_H

#include "delivery/slots.h"
#include "entry/current_sheet.h"
#include "entry/peer_ledger.h"
#include "placement/observe.h"
#include "settings/settings_defs.h"

typedef struct backend_table backend_table_t;

typedef struct backend_table_options
{
  const settings_t *settings;
  vm_id_t self;
  current_sheet_t *current_sheet;
  peer_ledger_t *peers; /* NULL: every entry VM counts as reachable */
  uint64_t seed;        /* of the random numbers; 0: from the clock */
} backend_table_options_t;

typedef enum
{
  PLACE_LOCAL,       /* a slot of this VM was taken */
  PLACE_FORWARD,     /* another entry VM grants the slots */
  PLACE_WAIT,        /* no slot is free at the moment */
  PLACE_NONE,        /* no backend server can be used */
  PLACE_QUARANTINED, /* set by the caller: the request may not run */
} placement_kind_t;

typedef struct placement
{
  placement_kind_t kind;
  uint32_t backend;   /* the chosen one, with PLACE_LOCAL and PLACE_FORWARD */
  slot_token_t token; /* PLACE_LOCAL */
  vm_id_t vm;         /* PLACE_FORWARD: the entry VM that grants its slots */
} placement_t;

/* NULL where memory is short.  */
backend_table_t *backend_table_new (const backend_table_options_t *options,
                                    err_t *err);
void backend_table_free (backend_table_t *table);

/* Apply a newer sheet, free the slots of cancelled requests that can no longer
   run, and once a second evaluate the backend servers' outcomes for outlier
   ejection.  Call it every few milliseconds.  */
void backend_table_tick (backend_table_t *table, usec_t now);
/* Whether a sheet was applied.  */
bool backend_table_has_sheet (const backend_table_t *table);

/* Choose where a request for SERVICE goes and take a slot where that is a
   local one.  EXCLUDED_VMS has a bit for each entry VM that must not be
   chosen; with MAY_FORWARD false, only backend servers whose slots this VM
   grants are considered.  */
placement_t backend_table_place (backend_table_t *table, service_id_t service,
                                 usec_t deadline, uint64_t excluded_vms,
                                 bool may_forward, usec_t now);

/* The entry VM refused a request for SERVICE for lack of a free slot: do not
   forward to it for the next 2 ms.  */
void backend_table_peer_full (backend_table_t *table, vm_id_t vm,
                              service_id_t service, usec_t now);

/* A request is sent to BACKEND, or to the entry VM that grants its slots.  */
void backend_table_run_started (backend_table_t *table, uint32_t backend);

/* That request ended; call it once for each start.  LATENCY is the time at the
   backend server, without the wait for a slot and without the network time to
   another entry VM.  */
void backend_table_run_ended (backend_table_t *table, uint32_t backend,
                              run_outcome_t outcome, usec_t latency,
                              usec_t now);

/* BACKEND reported its own load; the weight of this hint decays with time.  */
void backend_table_report (backend_table_t *table, uint32_t backend,
                           const hint_t *hint);

/* An attempt at BACKEND failed without an answer, or was answered.  After a
   failure BACKEND gets no requests for a back-off time that doubles with each
   further failure, from 100 ms to 1.6 s; an answer ends it.  */
void backend_table_attempt_failed (backend_table_t *table, uint32_t backend,
                                   usec_t now);
void backend_table_attempt_succeeded (backend_table_t *table,
                                      uint32_t backend);

/* The table's own; valid until the table is released.  */
const backend_t *backend_table_get (const backend_table_t *table,
                                    uint32_t backend);

slots_t *backend_table_slots (backend_table_t *table);

#endif
