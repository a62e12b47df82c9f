/* backend_table: the dispatcher's view of the sheet in force: where a request
   may go, and the slots that this entry VM admits to.  One thread's.

   placement/steer chooses: once over all backend servers, which gives the one
   to run it or the entry VM to ask, and once over those that are admitted
   here.  Only slots admit.  */

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
  uint64_t seed;        /* of its random numbers; 0: from the clock */
} backend_table_options_t;

typedef enum
{
  PLACE_LOCAL,   /* a slot was taken */
  PLACE_FORWARD, /* another entry VM admits */
  PLACE_WAIT,    /* every slot that is ours is taken */
  PLACE_NONE,
  PLACE_QUARANTINED, /* the caller's word: it may not run */
} placement_kind_t;

typedef struct place
{
  placement_kind_t kind;
  uint32_t backend; /* PLACE_LOCAL; PLACE_FORWARD: the one it was chosen for */
  slot_token_t token; /* PLACE_LOCAL */
  vm_id_t vm;         /* PLACE_FORWARD: who admits to it */
} placement_t;

backend_table_t *backend_table_new (const backend_table_options_t *options,
                                    err_t *err);
void backend_table_free (backend_table_t *table);

/* Take over a newer sheet, free the slots of cancelled work that is surely
   over, and once a second judge the backend servers.  Call it every few
   milliseconds.  */
void backend_table_tick (backend_table_t *table, usec_t now);

/* Where a request for SERVICE goes.  TRIED has a bit for each entry VM that
   refused it; with MAY_FORWARD false only backend servers admitted here
   count.  */
placement_t backend_table_place (backend_table_t *table, service_id_t service,
                                 usec_t deadline, uint64_t tried,
                                 bool may_forward, usec_t now);

/* VM has no room for SERVICE at the moment.  */
void backend_table_peer_full (backend_table_t *table, vm_id_t vm,
                              service_id_t service, usec_t now);

/* A request left for BACKEND, or for the entry VM that admits to it.  */
void backend_table_run_started (backend_table_t *table, uint32_t backend);

/* That request ended; once for each start.  LATENCY is the run at the backend
   server, without the wait for a slot and the way to another entry VM.  */
void backend_table_run_ended (backend_table_t *table, uint32_t backend,
                              run_outcome_t outcome, usec_t latency,
                              usec_t now);

/* BACKEND's own word on its load: a hint that fades.  */
void backend_table_report (backend_table_t *table, uint32_t backend,
                           const hint_t *hint);

/* An attempt at BACKEND broke, or was answered.  One that breaks again and
   again is passed over for a while, where others are left.  */
void backend_table_attempt_failed (backend_table_t *table, uint32_t backend,
                                   usec_t now);
void backend_table_attempt_succeeded (backend_table_t *table,
                                      uint32_t backend);

const backend_t *backend_table_get (const backend_table_t *table,
                                    uint32_t backend);

slots_t *backend_table_slots (backend_table_t *table);

#endif
