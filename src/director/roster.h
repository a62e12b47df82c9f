/* roster: which director holds which slot of the replicated log.

   At the very first start the seed with the lowest address waits until all
   directors have announced themselves, and then gives each a slot, once and
   for all.  Everybody else learns the roster from it or from each other.  A
   director that the roster does not name stands by; the leader gives it the
   slot of one that has been silent for ROSTER_CLAIM_SILENCE.  */

#ifndef DIRECTOR_ROSTER_H
#define DIRECTOR_ROSTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "agreement/entry.h"
#include "base/time_defs.h"

enum
{
  ROSTER_MAX = REPLICAS_MAX,
};

/* All directors start within a fraction of a second.  */
#define ROSTER_FORM_AFTER (1500 * USEC_PER_MSEC)
#define ROSTER_FORM_QUIET (700 * USEC_PER_MSEC)
/* Longer than a restart; shorter than the time after which operators rely on
   the successor of a lost VM.  */
#define ROSTER_CLAIM_SILENCE (3 * USEC_PER_SEC)

typedef struct roster
{
  size_t n_slots; /* 0: not known yet */
  uint32_t addresses[ROSTER_MAX];
} roster_t;

/* SLOT_NONE where ADDRESS holds none.  */
slot_t roster_slot (const roster_t *roster, uint32_t address);

bool roster_equal (const roster_t *a, const roster_t *b);

/* How the roster is formed at the first start.  */
typedef struct roster_former
{
  uint32_t self;
  bool is_former; /* the first start, and the lowest seed */
  size_t n_seeds;
  uint32_t seeds[ROSTER_MAX];
  usec_t started_at;
  usec_t changed_at; /* when the newest director announced itself */
  size_t n_heard;
  uint32_t heard[ROSTER_MAX]; /* SELF among them */
} roster_former_t;

void roster_former_init (roster_former_t *former, uint32_t self,
                         const uint32_t *seeds, size_t n_seeds, bool is_first,
                         usec_t now);

/* ADDRESS says that it is there for the first time too.  */
void roster_former_hear (roster_former_t *former, uint32_t address,
                         usec_t now);

/* True where the roster is to be formed now; fills in *ROSTER.  */
bool roster_former_tick (const roster_former_t *former, usec_t now,
                         roster_t *roster);

/* The slot for a director that holds none, given the time since the leader
   heard each (0: itself): WANTED where that one is free, else the one that was
   silent longest; SLOT_NONE where none is free.  */
slot_t roster_free_slot (const roster_t *roster, const usec_t *silence,
                         slot_t wanted);

#endif
