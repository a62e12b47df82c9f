/* release_filter: a Bloom filter of the tickets and generations that a full
   ledger refused.

   Two halves take turns: one is written, the other only read; they change
   over after each span, so that an entry lasts for one to two spans.  */

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
  size_t n_bits; /* of one half; a power of two */
  int writing;
  usec_t span;
  usec_t turn_at;
} release_filter_t;

/* False where memory is short.  */
bool release_filter_init (release_filter_t *filter, size_t min_bits,
                          usec_t span, usec_t now);

void release_filter_destroy (release_filter_t *filter);

void release_filter_add (release_filter_t *filter, const ticket_id_t *id,
                         uint32_t generation, usec_t now);

/* Whether it was added; sometimes true where it was not.  */
bool release_filter_has (release_filter_t *filter, const ticket_id_t *id,
                         uint32_t generation, usec_t now);

#endif
