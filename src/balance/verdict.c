#include "balance/verdict.h"

enum
{
  STATUS_MISDIRECTED = 421,
  STATUS_ERRORS = 500,
};

/* An answer without the request's id belongs to another request, whatever it
   says.  */
static bool
is_own_answer (const answer_facts_t *facts)
{
  return facts->whole && facts->id_matches;
}

/* Success is believed only whole, signed and as it was made.  */
static bool
is_sound (const answer_facts_t *facts)
{
  bool is_success = facts->status >= 200 && facts->status < 300;
  return !facts->is_encoded && (facts->is_stamped || !is_success);
}

backend_end_t
verdict_of (const answer_facts_t *facts)
{
  if (!is_own_answer (facts))
    return BACKEND_BROKE_OFF;
  if (facts->status == STATUS_MISDIRECTED)
    return BACKEND_MISTAKEN;
  if (facts->not_started)
    return BACKEND_FULL;
  if (!is_sound (facts))
    return BACKEND_BROKE_OFF;
  return facts->status >= STATUS_ERRORS ? BACKEND_FAILED : BACKEND_ANSWERED;
}

bool
verdict_may_have_run (const answer_facts_t *facts)
{
  if (!facts->reached)
    return false;
  backend_end_t how = verdict_of (facts);
  return how != BACKEND_FULL && how != BACKEND_MISTAKEN;
}
