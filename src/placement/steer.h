/* steer: which region, failure domain and backend server a request goes to.

   Nearest first: the better of two sampled servers in the home domain where
   it has a free slot, then the home region, then other regions with a
   planned share whose link and spend are open, by expected answer time,
   price and headroom as the objective weighs them.  Where no slot is free
   anywhere, the least expected answer time decides, queueing included.

   A backend server is named by its slot in the table, which stays the same
   over sheets for as long as a request is in flight to it.  Pure; not
   thread-safe; one a VM.  */

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
  const topology_t *topology; /* outlives the table */
  domain_id_t home;           /* of this VM */
} steer_options_t;

typedef struct steer_request
{
  service_id_t service;
  usec_t deadline;       /* own clock */
  uint64_t regions_open; /* bit a region: link, spend and capacity allow it */
  backend_slot_t tried[STEER_TRIED_MAX]; /* refused it before */
  size_t n_tried;
  uint64_t domains_refused; /* bit a domain: its gate refused this request */
} steer_request_t;

typedef struct steer_choice
{
  backend_slot_t slot;
  region_id_t region;
  domain_id_t domain;
  bool has_free_slot;   /* a free slot is expected */
  usec_t expected_time; /* time to the answer */
} steer_choice_t;

/* NULL with ERR_USAGE where the topology is too large.  */
steer_t *steer_new (const steer_options_t *options, err_t *err);

void steer_free (steer_t *steer);

/* A sheet came into force: take its backend servers, shares and prices.
   What is known of servers that stay is kept; new ones ramp where they join
   or where RAMPED.  SHEET is not kept.  */
bool steer_update (steer_t *steer, const sheet_t *sheet, usec_t now,
                   err_t *err);

/* Choose; false where no backend server of the service may take it.  */
bool steer_choose (steer_t *steer, const steer_request_t *request, usec_t now,
                   random_state_t *random, steer_choice_t *choice);

/* Choose among the servers of DOMAIN only, for the VM that admits there.  */
bool steer_choose_in_domain (steer_t *steer, const steer_request_t *request,
                             domain_id_t domain, usec_t now,
                             random_state_t *random, steer_choice_t *choice);

void steer_started (steer_t *steer, backend_slot_t slot);

/* A request that was sent towards SLOT ended; it ran on RAN_ON, which the
   admitting VM may have chosen anew (the same where it did not run).  LATENCY
   is the run at that server, as the admitting VM measured it: without the
   wait for a slot and the way there.  Returns true when the server was
   ejected for it.  */
bool steer_finished (steer_t *steer, backend_slot_t slot,
                     backend_slot_t ran_on, run_outcome_t outcome,
                     usec_t latency, usec_t now);

/* A report of the backend server NAME; unknown names are dropped.  */
void steer_report (steer_t *steer, const char *name, hint_source_t source,
                   const hint_t *hint);

/* As steer_report, by slot.  */
void steer_report_slot (steer_t *steer, backend_slot_t slot,
                        hint_source_t source, const hint_t *hint);

/* How the servers answer now against how they do when warm: the mean of the
   ratios over those of REGION that were measured, 1 where none was.  For the
   ramp of a share that moves to REGION.  */
double steer_slowdown (const steer_t *steer, region_id_t region, usec_t now);

/* Once a second or so: judge outliers against their peers.  Returns how many
   were ejected.  */
size_t steer_tick (steer_t *steer, usec_t now);

/* Requests that the server in SLOT should run at once now: 0 while it is
   ejected or leaving, less than all while it ramps.  */
uint32_t steer_slots (steer_t *steer, backend_slot_t slot, usec_t now);

/* The backend server in SLOT; valid until the next steer_update.  */
const backend_t *steer_backend (const steer_t *steer, backend_slot_t slot);

const observe_t *steer_observe (const steer_t *steer, backend_slot_t slot);

/* Slot of the backend server NAME; false where there is none.  */
bool steer_find (const steer_t *steer, const char *name, backend_slot_t *slot);

#endif
