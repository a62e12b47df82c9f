#include "balance/answer_class.h"

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
  return facts->is_complete && facts->id_matches;
}

/* Success is believed only whole, signed and as it was made.  */
static bool
is_sound (const answer_facts_t *facts)
{
  bool is_success = facts->status >= 200 && facts->status < 300;
  return !facts->is_encoded && (facts->is_signed || !is_success);
}

backend_result_t
answer_classify (const answer_facts_t *facts)
{
  if (!is_own_answer (facts))
    return BACKEND_NO_VALID_ANSWER;
  if (facts->status == STATUS_MISDIRECTED)
    return BACKEND_MISDIRECTED;
  if (facts->not_started)
    return BACKEND_REFUSED;
  if (!is_sound (facts))
    return BACKEND_NO_VALID_ANSWER;
  return facts->status >= STATUS_ERRORS ? BACKEND_SERVER_ERROR
                                        : BACKEND_ANSWERED;
}

bool
answer_may_have_run (const answer_facts_t *facts)
{
  if (!facts->may_be_sent)
    return false;
  backend_result_t how = answer_classify (facts);
  return how != BACKEND_REFUSED && how != BACKEND_MISDIRECTED;
}
