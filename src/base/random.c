#include "base/random.h"

#include <math.h>

enum
{
  DOUBLE_MANTISSA_BITS = 53,
};

static uint64_t
rotate_left (uint64_t value, int bits)
{
  return (value << bits) | (value >> (64 - bits));
}

/* One step of splitmix64, which expands the seed into the state.  */
static uint64_t
seed_step (uint64_t *seed)
{
  *seed += 0x9e3779b97f4a7c15u;
  uint64_t z = *seed;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
  return z ^ (z >> 31);
}

void
random_seed (random_state_t *state, uint64_t seed)
{
  for (int i = 0; i < 4; i++)
    state->word[i] = seed_step (&seed);
}

uint64_t
random_next (random_state_t *state)
{
  uint64_t *w = state->word;
  uint64_t result = rotate_left (w[1] * 5, 7) * 9;
  uint64_t t = w[1] << 17;
  w[2] ^= w[0];
  w[3] ^= w[1];
  w[1] ^= w[2];
  w[0] ^= w[3];
  w[2] ^= t;
  w[3] = rotate_left (w[3], 45);
  return result;
}

uint64_t
random_below (random_state_t *state, uint64_t bound)
{
  return (uint64_t)(((__uint128_t)random_next (state) * bound) >> 64);
}

double
random_unit (random_state_t *state)
{
  return (double)(random_next (state) >> (64 - DOUBLE_MANTISSA_BITS))
         / (double)((uint64_t)1 << DOUBLE_MANTISSA_BITS);
}

double
random_exponential (random_state_t *state, double mean)
{
  return -mean * log (1.0 - random_unit (state));
}
