/* steer: chooses the region, failure domain and backend server of a request.

   Nearest first: the better of two random servers in the home failure domain
   where one has a free slot, then the home region, then other regions with a
   planned share whose link and spend budgets allow it.  Servers are compared
   by expected answer time, price and headroom, with the weights of the
   objective.  Where no slot is free anywhere, the lowest expected answer time
   decides, queueing included.

   A backend server is identified by its slot in the table, which does not
   change across sheets while a request is in flight to the server.  Pure; not
   thread-safe; one table per VM.  */

#ifndef PLACEMENT_STEER_H
#define PLACEMENT_STEER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"
#include "base/random.h"
#include "placement/observe.h"
#include "placement/topology.h"
#include "shift/sheet_defs.h"

enum
{
  STEER_TRIED_MAX = 4,
  STEER_REGIONS_MAX = 64,
  STEER_DOMAINS_MAX = 64,
  STEER_BACKENDS_MAX = 65534,
};

/* Index into the table of backend servers.  */
typedef uint16_t backend_slot_t;

typedef struct steer steer_t;

typedef struct steer_options
{
  const topology_t *topology; /* must outlive the table */
  domain_id_t home;           /* of this VM */
} steer_options_t;

typedef struct steer_request
{
  service_id_t service;
  usec_t deadline;       /* this VM's clock */
  uint64_t regions_open; /* one bit per region: its budgets allow it */
  backend_slot_t tried[STEER_TRIED_MAX]; /* excluded: they refused it before */
  size_t n_tried;
  uint64_t domains_refused; /* one bit per failure domain, excluded: its
                               gate refused this request */
} steer_request_t;

typedef struct steer_choice
{
  backend_slot_t slot;
  region_id_t region;
  domain_id_t domain;
  bool has_free_slot;   /* as far as this VM knows */
  usec_t expected_time; /* from now to the answer */
} steer_choice_t;

/* Create a table.  Returns NULL with ERR_USAGE where the topology is too large
   or does not contain HOME.  The caller frees the result with steer_free.  */
steer_t *steer_new (const steer_options_t *options, err_t *err);

void steer_free (steer_t *steer);

/* Apply the backend servers, shares and prices of SHEET, which came into
   force.  Measurements of servers that stay are kept.  New servers get a slow
   start if they are joining or if this is not the first sheet.  SHEET is not
   kept.  False with ERR_LIMIT where it lists too many backend servers.  */
bool steer_update (steer_t *steer, const sheet_t *sheet, usec_t now,
                   err_t *err);

/* Choose a backend server for REQUEST.  False where none may take it.  */
bool steer_choose (steer_t *steer, const steer_request_t *request, usec_t now,
                   random_state_t *random, steer_choice_t *choice);

/* As steer_choose, among the servers of DOMAIN only, for the VM that grants
   their slots.  */
bool steer_choose_in_domain (steer_t *steer, const steer_request_t *request,
                             domain_id_t domain, usec_t now,
                             random_state_t *random, steer_choice_t *choice);

/* A request was sent towards SLOT.  */
void steer_started (steer_t *steer, backend_slot_t slot);

/* A request that was sent towards SLOT ended.  It ran on RAN_ON, which differs
   from SLOT where the admitting VM chose another server; pass SLOT where it
   did not run.  LATENCY is the run time at that server as the admitting VM
   measured it, without the wait for a slot and the network delay.  Returns
   true if the server was ejected because of this result.  */
bool steer_finished (steer_t *steer, backend_slot_t slot,
                     backend_slot_t ran_on, run_outcome_t outcome,
                     usec_t latency, usec_t now);

/* Pass on a load or health report of the backend server NAME; unknown names
   are ignored.  */
void steer_report (steer_t *steer, const char *name, hint_source_t source,
                   const hint_t *hint);

/* As steer_report, for the server in SLOT.  */
void steer_report_slot (steer_t *steer, backend_slot_t slot,
                        hint_source_t source, const hint_t *hint);

/* The mean ratio of the latency to the baseline latency over the servers of
   REGION that were measured within the last second; 1 where none was.  Used
   for the slow start of a share that moves to REGION.  */
double steer_slowdown (const steer_t *steer, region_id_t region, usec_t now);

/* Eject outliers.  Call it about once a second.  Returns the number of servers
   that were ejected.  */
size_t steer_tick (steer_t *steer, usec_t now);

/* Number of requests that the server in SLOT should run at once now: 0 while
   it is ejected or takes no new requests, reduced during slow start.  */
uint32_t steer_slots (steer_t *steer, backend_slot_t slot, usec_t now);

/* The backend server in SLOT; valid until the next steer_update.  */
const backend_t *steer_backend (const steer_t *steer, backend_slot_t slot);

const observe_t *steer_observe (const steer_t *steer, backend_slot_t slot);

/* Slot of the backend server NAME; false where there is none.  */
bool steer_find (const steer_t *steer, const char *name, backend_slot_t *slot);

#endif
