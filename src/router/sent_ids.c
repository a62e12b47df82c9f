#include "router/sent_ids.h"

#include <string.h>
#include <xxhash.h>

enum
{
  BITS_OF_ID = 8,
};

/* The Ith bit of the id with HASH.  */
static uint64_t
bit_of (XXH128_hash_t hash, unsigned int i)
{
  uint64_t step = hash.high64 | 1; /* odd: all bits differ */
  return (hash.low64 + i * step) % SENT_IDS_BITS;
}

static XXH128_hash_t
hash_of (const char *id)
{
  return XXH3_128bits (id, strlen (id));
}

void
sent_ids_add (sent_ids_t *sent, const char *id)
{
  XXH128_hash_t hash = hash_of (id);
  for (unsigned int i = 0; i < BITS_OF_ID; i++)
    {
      uint64_t bit = bit_of (hash, i);
      sent->words[bit / SENT_IDS_WORD_BITS] |= UINT64_C (1)
                                               << bit % SENT_IDS_WORD_BITS;
    }
  sent->n++;
}

bool
sent_ids_may_contain (const sent_ids_t *sent, const char *id)
{
  XXH128_hash_t hash = hash_of (id);
  for (unsigned int i = 0; i < BITS_OF_ID; i++)
    {
      uint64_t bit = bit_of (hash, i);
      if (!(sent->words[bit / SENT_IDS_WORD_BITS] >> bit % SENT_IDS_WORD_BITS
            & 1))
        return false;
    }
  return true;
}

bool
sent_ids_is_full (const sent_ids_t *sent)
{
  return sent->n >= SENT_IDS_MAX;
}
