/* random: a seeded generator (xoshiro256**), passed in wherever a decision
   needs chance, so that each run replays from its seed.  Not for keys.  */

#ifndef BASE_RANDOM_H
#define BASE_RANDOM_H

#include <stdint.h>

typedef struct random_state
{
  uint64_t word[4];
} random_state_t;

void random_seed (random_state_t *state, uint64_t seed);

uint64_t random_next (random_state_t *state);

/* A number from 0 to BOUND - 1; 0 where BOUND is 0.  */
uint64_t random_below (random_state_t *state, uint64_t bound);

/* A number in [0, 1).  */
double random_unit (random_state_t *state);

/* A span with mean MEAN, exponentially distributed.  */
double random_exponential (random_state_t *state, double mean);

#endif
