#include "fleet/recent_answers.h"

#include <stdbool.h>
#include <stddef.h>

static size_t
slot_of (fingerprint_t fingerprint)
{
  return fingerprint.low % RECENT_ANSWERS_MAX;
}

void
recent_answers_add (recent_answers_t *answers, fingerprint_t fingerprint,
                    usec_t at)
{
  answers->slots[slot_of (fingerprint)]
      = (recent_answer_t){ .fingerprint = fingerprint, .at = at };
}

usec_t
recent_answers_find (const recent_answers_t *answers,
                     fingerprint_t fingerprint)
{
  const recent_answer_t *slot = &answers->slots[slot_of (fingerprint)];
  bool is_same = slot->fingerprint.low == fingerprint.low
                 && slot->fingerprint.high == fingerprint.high;
  return is_same ? slot->at : 0;
}
