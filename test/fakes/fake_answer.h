/* fake_answer: the answer that a fake backend server gives, worked out from
   the request alone, so that the load tool can tell a whole answer of its
   own from a short one or another caller's.

   The body is one line of text and then BYTES bytes of a sequence seeded by
   that line.  */

#ifndef FAKE_ANSWER_H
#define FAKE_ANSWER_H

#include <inttypes.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <xxhash.h>

enum
{
  ANSWER_LINE_BYTES = 256,
  ANSWER_PAYLOAD_MAX = 4 * 1024 * 1024,
};

/* What an answer depends on.  */
typedef struct answer_key
{
  const char *service;
  const char *method;
  const char *caller; /* the caller's own id */
  uint64_t body_hash; /* XXH64 of the request's body, seed 0 */
  size_t bytes;       /* of payload */
} answer_key_t;

/* The longest body that KEY gives.  */
static inline size_t
answer_size_max (const answer_key_t *key)
{
  return ANSWER_LINE_BYTES + key->bytes;
}

/* Write KEY's body to OUT, which holds answer_size_max bytes; returns its
   length.  */
static inline size_t
answer_fill (char *out, const answer_key_t *key)
{
  int line = snprintf (out, ANSWER_LINE_BYTES,
                       "service=%.40s method=%.10s caller=%.80s "
                       "body=%016" PRIx64 " bytes=%zu\n",
                       key->service, key->method, key->caller, key->body_hash,
                       key->bytes);
  uint64_t word = XXH64 (out, (size_t)line, 1);
  for (size_t i = 0; i < key->bytes; i += sizeof word)
    {
      word = word * UINT64_C (6364136223846793005) + 1442695040888963407U;
      size_t left = key->bytes - i;
      memcpy (out + line + i, &word, left < sizeof word ? left : sizeof word);
    }
  return (size_t)line + key->bytes;
}

#endif
