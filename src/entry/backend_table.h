/* backend_table: the dispatcher's view of the sheet in force: where a request
   may go, and the slots that this entry VM admits to.  One thread's.  */

#ifndef ENTRY_BACKEND_TABLE_H
#define ENTRY_BACKEND_TABLE_H

#include "delivery/slots.h"
#include "entry/peer_ledger.h"
#include "entry/route_table.h"
#include "settings/settings_defs.h"

typedef struct backend_table backend_table_t;

typedef struct backend_table_options
{
  const settings_t *settings;
  vm_id_t self;
  route_table_t *routes;
  peer_ledger_t *peers;
} backend_table_options_t;

typedef enum
{
  PLACE_HERE,    /* a slot was taken */
  PLACE_FORWARD, /* another entry VM admits */
  PLACE_WAIT,    /* every slot that is ours is taken */
  PLACE_NOWHERE,
} place_kind_t;

typedef struct place
{
  place_kind_t kind;
  uint32_t backend; /* PLACE_HERE */
  slot_token_t token;
  vm_id_t vm; /* PLACE_FORWARD */
} place_t;

backend_table_t *backend_table_new (const backend_table_options_t *options,
                                    err_t *err);
void backend_table_free (backend_table_t *table);

/* Take over a newer sheet, and free the slots of cancelled work that is
   surely over.  Call it every few milliseconds.  */
void backend_table_tick (backend_table_t *table, usec_t now);

/* Where a request for SERVICE goes.  TRIED has a bit for each entry VM that
   refused it; with MAY_FORWARD false only backend servers admitted here
   count.  */
place_t backend_table_place (backend_table_t *table, service_id_t service,
                             usec_t deadline, uint64_t tried, bool may_forward,
                             usec_t now);

/* VM has no room for SERVICE at the moment.  */
void backend_table_peer_full (backend_table_t *table, vm_id_t vm,
                              service_id_t service, usec_t now);

/* An attempt at BACKEND broke, or was answered.  One that breaks again and
   again is passed over for a while, where others are left.  */
void backend_table_broke (backend_table_t *table, uint32_t backend,
                          usec_t now);
void backend_table_worked (backend_table_t *table, uint32_t backend);

const backend_t *backend_table_get (const backend_table_t *table,
                                    uint32_t backend);

slots_t *backend_table_slots (backend_table_t *table);

#endif
