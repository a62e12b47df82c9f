/* random: a seeded pseudo-random number generator (xoshiro256**).  Functions
   that make random decisions take its state as an argument, so that a run can
   be reproduced from its seed.  Not cryptographically secure: don't generate
   keys with it.  */

#ifndef BASE_RANDOM_H
#define BASE_RANDOM_H

#include <stdint.h>

typedef struct random_state
{
  uint64_t word[4];
} random_state_t;

/* Initialise STATE from SEED.  */
void random_seed (random_state_t *state, uint64_t seed);

/* Returns 64 uniformly distributed bits.  */
uint64_t random_next (random_state_t *state);

/* Returns a uniformly distributed number from 0 to BOUND - 1, or 0 if BOUND is
   0.  */
uint64_t random_below (random_state_t *state, uint64_t bound);

/* Returns a uniformly distributed number in [0, 1).  */
double random_unit (random_state_t *state);

/* Returns an exponentially distributed number with the mean MEAN.  */
double random_exponential (random_state_t *state, double mean);

#endif
