/* roster: which director holds which slot of the replicated log.

   At the very first start one director, the coordinator, creates the roster:
   the seed with the lowest address.  It waits until all seeds, and whichever
   other directors start at the same time, have announced themselves, and
   assigns a slot to each, once and for all.  The other directors receive the
   roster from the coordinator or from each other.  A director that the roster
   does not name is a standby; the leader assigns to it the slot of a director
   that has been silent for ROSTER_SLOT_TIMEOUT.  */

#ifndef DIRECTOR_ROSTER_H
#define DIRECTOR_ROSTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "agreement/entry.h"
#include "base/time_defs.h"

enum
{
  ROSTER_MAX = REPLICAS_MAX, /* slots */
};

/* The coordinator creates the roster no earlier than this after its own start
   and this after the last new announcement.  All directors start within a
   fraction of a second.  */
#define ROSTER_BOOTSTRAP_DELAY (1500 * USEC_PER_MSEC)
#define ROSTER_BOOTSTRAP_QUIET_TIME (700 * USEC_PER_MSEC)
/* Longer than a restart of a director; shorter than the time after which
   operators rely on the successor of a lost VM.  */
#define ROSTER_SLOT_TIMEOUT (3 * USEC_PER_SEC)

typedef struct roster
{
  size_t n_slots;                 /* 0: the roster is not known yet */
  uint32_t addresses[ROSTER_MAX]; /* IPv4, by slot */
} roster_t;

/* The slot of the director at ADDRESS, or SLOT_NONE.  */
slot_t roster_slot (const roster_t *roster, uint32_t address);

bool roster_equal (const roster_t *a, const roster_t *b);

/* State of the creation of the roster at the first start.  */
typedef struct roster_bootstrap
{
  uint32_t own_address;
  bool is_coordinator; /* at the first start, on the lowest seed */
  size_t n_seeds;
  uint32_t seeds[ROSTER_MAX];
  usec_t started_at;
  usec_t last_announced_at; /* when a new director last announced itself */
  size_t n_announced;
  uint32_t announced[ROSTER_MAX]; /* first OWN_ADDRESS */
} roster_bootstrap_t;

/* IS_FIRST_START: this is the first start and no roster is stored.  */
void roster_bootstrap_init (roster_bootstrap_t *bootstrap,
                            uint32_t own_address, const uint32_t *seeds,
                            size_t n_seeds, bool is_first_start, usec_t now);

/* Record that the director at ADDRESS, at its first start too, has announced
   itself.  If there is no room, a seed replaces a director that is not one.
   Returns false if a director remains without a slot.  */
bool roster_bootstrap_add (roster_bootstrap_t *bootstrap, uint32_t address,
                           usec_t now);

/* True where this director is to create the roster at NOW; fills in *ROSTER
   then, with slots in the order of the addresses.  */
bool roster_bootstrap_tick (const roster_bootstrap_t *bootstrap, usec_t now,
                            roster_t *roster);

/* The slot to assign to a director that holds none.  SILENCE is, by slot, the
   time since the leader last heard from the holder, 0 for the leader itself.
   Slots whose holder was silent for ROSTER_SLOT_TIMEOUT are free.  Returns
   WANTED if that slot is free, else the free slot with the longest silence,
   else SLOT_NONE.  */
slot_t roster_find_free_slot (const roster_t *roster, const usec_t *silence,
                              slot_t wanted);

#endif
