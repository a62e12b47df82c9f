/* release_filter: a Bloom filter of the tickets and generations that a full
   ledger refused.

   The filter has two halves, one of which is written while the other one is
   only read.  After each rotation interval the read-only half is cleared and
   becomes the written one, so that an entry is kept for one to two
   intervals.  */

#ifndef LEDGER_RELEASE_FILTER_H
#define LEDGER_RELEASE_FILTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time_defs.h"
#include "ledger/ticket.h"

typedef struct release_filter
{
  uint64_t *halves[2];
  size_t n_bits;    /* of one half; a power of two */
  int written_half; /* index of the half that is written */
  usec_t rotation_interval;
  usec_t rotate_at;
} release_filter_t;

/* Make an empty filter with at least MIN_BITS bits in each half.  Returns
   false where memory is short.  */
bool release_filter_init (release_filter_t *filter, size_t min_bits,
                          usec_t rotation_interval, usec_t now);

void release_filter_destroy (release_filter_t *filter);

void release_filter_add (release_filter_t *filter, const ticket_id_t *id,
                         uint32_t generation, usec_t now);

/* Whether the entry was added within the last rotation interval.  May also
   return true for an older entry, or for one that was never added.  */
bool release_filter_has (release_filter_t *filter, const ticket_id_t *id,
                         uint32_t generation, usec_t now);

#endif
