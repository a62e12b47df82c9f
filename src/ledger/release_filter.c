#include "ledger/release_filter.h"

#include <limits.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum
{
  N_PROBES = 4, /* bits that are set for one entry */
  WORD_BITS = 64,
};

bool
release_filter_init (release_filter_t *filter, size_t min_bits,
                     usec_t rotation_interval, usec_t now)
{
  size_t n_bits = WORD_BITS;
  while (n_bits < min_bits)
    n_bits *= 2;
  *filter = (release_filter_t){ .n_bits = n_bits,
                                .rotation_interval = rotation_interval,
                                .rotate_at = now + rotation_interval };
  for (int i = 0; i < 2; i++)
    filter->halves[i] = calloc (n_bits / WORD_BITS, sizeof (uint64_t));
  if (filter->halves[0] && filter->halves[1])
    return true;
  release_filter_destroy (filter);
  return false;
}

void
release_filter_destroy (release_filter_t *filter)
{
  for (int i = 0; i < 2; i++)
    {
      free (filter->halves[i]);
      filter->halves[i] = NULL;
    }
}

static void
rotate (release_filter_t *filter, usec_t now)
{
  /* Two rotations clear both halves.  */
  for (int i = 0; i < 2 && now >= filter->rotate_at; i++)
    {
      filter->written_half = 1 - filter->written_half;
      memset (filter->halves[filter->written_half], 0,
              filter->n_bits / CHAR_BIT);
      filter->rotate_at += filter->rotation_interval;
    }
  if (now >= filter->rotate_at)
    filter->rotate_at = now + filter->rotation_interval;
}

static XXH128_hash_t
entry_hash (const ticket_id_t *id, uint32_t generation)
{
  const uint64_t words[4]
      = { id->issuer, id->issuer_incarnation, id->sequence, generation };
  return XXH3_128bits (words, sizeof words);
}

static size_t
bit_index (const release_filter_t *filter, XXH128_hash_t hash, uint64_t i)
{
  return (size_t)((hash.low64 + i * (hash.high64 | 1)) & (filter->n_bits - 1));
}

void
release_filter_add (release_filter_t *filter, const ticket_id_t *id,
                    uint32_t generation, usec_t now)
{
  rotate (filter, now);
  XXH128_hash_t hash = entry_hash (id, generation);
  uint64_t *half = filter->halves[filter->written_half];
  for (uint64_t i = 0; i < N_PROBES; i++)
    {
      size_t bit = bit_index (filter, hash, i);
      half[bit / WORD_BITS] |= (uint64_t)1 << (bit % WORD_BITS);
    }
}

static bool
half_has (const release_filter_t *filter, int half, XXH128_hash_t hash)
{
  for (uint64_t i = 0; i < N_PROBES; i++)
    {
      size_t bit = bit_index (filter, hash, i);
      if (!(filter->halves[half][bit / WORD_BITS]
            & (uint64_t)1 << (bit % WORD_BITS)))
        return false;
    }
  return true;
}

bool
release_filter_has (release_filter_t *filter, const ticket_id_t *id,
                    uint32_t generation, usec_t now)
{
  rotate (filter, now);
  XXH128_hash_t hash = entry_hash (id, generation);
  return half_has (filter, 0, hash) || half_has (filter, 1, hash);
}
